// A batch is applied only when it starts where the last one ended. A batch that ended before that
// is a repeat and is ignored, but several repeats in a row mean that the endpoint restarted its
// sequence. A batch that overlaps cannot be split, since it does not tell how additions and
// removals were interleaved. After repeats in a row, an overlap or a gap, the endpoint is
// distrusted.

#include "policy/prefixindex.h"

#include <algorithm>

namespace figrack::policy {
namespace {

constexpr auto firstEvent = std::uint64_t { 1 }; ///< Engines count from 0 or from 1.
constexpr auto maxStaleBatches = std::uint32_t { 3 };
constexpr auto maxProbes = std::size_t { 256 };

} // namespace

auto PrefixIndex::apply(Slot slot, const PrefixBatch &batch) -> bool
{
    auto &cache = caches_[slot];
    if (batch.snapshot) {
        clear(slot, cache);
        cache.started = true;
        cache.distrusted = false;
        cache.staleBatches = 0;
        cache.next = batch.first;
        for (const auto block : batch.added)
            add(slot, cache, block);
        return true;
    }
    if (cache.distrusted) {
        if (batch.first > firstEvent)
            return false;
        cache = Cache {}; // A batch from the first event on is equivalent to a snapshot.
    }
    const auto end = batch.first + batch.added.size() + batch.removed.size();
    if (!cache.started) {
        cache.started = true;
        cache.next = batch.first;
        if (batch.first > firstEvent) // Events before it were missed.
            return distrust(slot, cache);
    }
    if (end <= cache.next && batch.first < cache.next)
        return ++cache.staleBatches < maxStaleBatches || distrust(slot, cache);
    if (batch.first != cache.next)
        return distrust(slot, cache);
    cache.staleBatches = 0;
    cache.next = end;
    for (const auto block : batch.added)
        add(slot, cache, block);
    for (const auto block : batch.removed)
        remove(slot, cache, block);
    return true;
}

auto PrefixIndex::isDistrusted(Slot slot) const -> bool
{
    const auto found = caches_.find(slot);
    return found != caches_.end() && found->second.distrusted;
}

auto PrefixIndex::deepest(std::span<const std::uint64_t> prefix) const -> Match
{
    if (holders_.empty())
        return {};
    const auto probes = std::min(prefix.size(), maxProbes);
    for (auto depth = probes; depth > 0; --depth) {
        const auto found = holders_.find(prefix[depth - 1]);
        if (found != holders_.end())
            return { depth, found->second };
    }
    return {};
}

auto PrefixIndex::forget(Slot slot) -> void
{
    const auto found = caches_.find(slot);
    if (found == caches_.end())
        return;
    clear(slot, found->second);
    caches_.erase(found);
}

auto PrefixIndex::distrust(Slot slot, Cache &cache) -> bool
{
    clear(slot, cache);
    cache.distrusted = true;
    return false;
}

auto PrefixIndex::add(Slot slot, Cache &cache, std::uint64_t block) -> void
{
    if (cache.blocks.size() >= bounds_.blocksPerEndpoint || total_ >= bounds_.blocks)
        return;
    if (cache.blocks.contains(block))
        return;
    auto &holders = holders_[block];
    if (holders.size() >= bounds_.holders)
        return;
    holders.push_back(slot);
    cache.blocks.insert(block);
    ++total_;
}

auto PrefixIndex::remove(Slot slot, Cache &cache, std::uint64_t block) -> void
{
    if (cache.blocks.erase(block) == 0)
        return;
    --total_;
    dropHolder(slot, block);
}

auto PrefixIndex::clear(Slot slot, Cache &cache) -> void
{
    for (const auto block : cache.blocks)
        dropHolder(slot, block);
    total_ -= cache.blocks.size();
    cache.blocks.clear();
}

auto PrefixIndex::dropHolder(Slot slot, std::uint64_t block) -> void
{
    const auto found = holders_.find(block);
    std::erase(found->second, slot);
    if (found->second.empty())
        holders_.erase(found);
}

} // namespace figrack::policy
