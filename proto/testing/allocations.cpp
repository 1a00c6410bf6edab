// Replaces the global allocation functions of the test program by ones that count.

#include "proto/testing/allocations.h"

#include <cstdlib>
#include <new>

namespace {

thread_local auto bytesOfThread = std::size_t { 0 };

} // namespace

auto figrack::allocatedBytes() -> std::size_t
{
    return bytesOfThread;
}

auto operator new(std::size_t size) -> void *
{
    bytesOfThread += size;
    if (auto *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc {};
}

auto operator delete(void *memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete(void *memory, std::size_t /*size*/) noexcept -> void
{
    std::free(memory);
}
