// Computes chained hashes of a prompt's blocks. The scheduler uses them to find
// replicas that have the prompt's prefix in their cache.

#ifndef FIGRACK_ROUTER_PREFIX_H
#define FIGRACK_ROUTER_PREFIX_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace figrack::router {

constexpr auto prefixBlockBytes = std::size_t { 64 };
constexpr auto maxPrefixBlocks = std::size_t { 256 };

/// @param model seeds the chain, so that equal prompts for two models have different hashes
/// @param prompt the text; an incomplete last block is ignored
/// @return one hash per block, computed over the block and the previous hash; at most
/// maxPrefixBlocks
auto prefixHashes(std::string_view model, std::string_view prompt) -> std::vector<std::uint64_t>;

/// @return a hash of a request's path and body, used to detect a reused idempotency key
auto bodyHash(std::string_view path, std::string_view body) -> std::uint64_t;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_PREFIX_H
