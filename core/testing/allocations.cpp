// Replaces the global allocation functions of the test program by ones that count.

#include "core/testing/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

thread_local auto bytesOfThread = std::size_t { 0 };
std::atomic<std::size_t> largest { 0 };

} // namespace

auto figrack::allocatedBytes() -> std::size_t
{
    return bytesOfThread;
}

auto figrack::largestAllocation() -> std::size_t
{
    return largest;
}

auto figrack::resetLargestAllocation() -> void
{
    largest = 0;
}

auto operator new(std::size_t size) -> void *
{
    bytesOfThread += size;
    for (auto before = largest.load(); before < size;) {
        if (largest.compare_exchange_weak(before, size))
            break;
    }
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
