// Chained hashes of a prompt's blocks, by which replicas that hold its prefix are found.

#ifndef FIGRACK_ROUTER_PREFIX_H
#define FIGRACK_ROUTER_PREFIX_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace figrack::router {

constexpr auto prefixBlockBytes = std::size_t { 64 };
constexpr auto maxPrefixBlocks = std::size_t { 256 };

/// @param model starts the chain: equal prompts of two models share nothing
/// @param prompt the text; a last block that is not full is left out
/// @return one hash a block, each over its block and the hash before, at most maxPrefixBlocks
auto prefixHashes(std::string_view model, std::string_view prompt) -> std::vector<std::uint64_t>;

/// @return a hash of a request's body and path, for claims
auto bodyHash(std::string_view path, std::string_view body) -> std::uint64_t;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_PREFIX_H
