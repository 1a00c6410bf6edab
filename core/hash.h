// Hashes by which processes agree without talking.

#ifndef FIGRACK_CORE_HASH_H
#define FIGRACK_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace figrack {

/// @return a well mixed hash of two numbers
auto mixHash(std::uint64_t one, std::uint64_t other) -> std::uint64_t;
/// @return the weight of a name for a key; the highest wins the key
auto rendezvousWeight(std::uint64_t key, std::string_view name) -> std::uint64_t;

} // namespace figrack

#endif // FIGRACK_CORE_HASH_H
