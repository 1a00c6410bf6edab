#include "core/hash.h"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figrack {

auto mixHash(std::uint64_t one, std::uint64_t other) -> std::uint64_t
{
    const auto both = std::array<std::uint64_t, 2> { one, other };
    return XXH3_64bits(both.data(), sizeof(both));
}

auto rendezvousWeight(std::uint64_t key, std::string_view name) -> std::uint64_t
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

} // namespace figrack
