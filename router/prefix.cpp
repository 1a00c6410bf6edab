#include "router/prefix.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figrack::router {

auto prefixHashes(std::string_view model, std::string_view prompt) -> std::vector<std::uint64_t>
{
    const auto blocks = std::min(prompt.size() / prefixBlockBytes, maxPrefixBlocks);
    auto hashes = std::vector<std::uint64_t> {};
    hashes.reserve(blocks);
    auto chain = XXH64(model.data(), model.size(), 0);
    for (auto i = std::size_t { 0 }; i < blocks; ++i) {
        chain = XXH64(prompt.data() + i * prefixBlockBytes, prefixBlockBytes, chain);
        hashes.push_back(chain);
    }
    return hashes;
}

auto bodyHash(std::string_view path, std::string_view body) -> std::uint64_t
{
    return XXH64(body.data(), body.size(), XXH64(path.data(), path.size(), 0));
}

} // namespace figrack::router
