// One list by use; a prefix of it fits in memory, a longer one on disk.

#include "bench/policysimcache.h"

#include <algorithm>

namespace figrack::bench {

using policy::Tier;

auto SimCache::tier(std::uint32_t model) const -> Tier
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return entry.model == model; });
    return found == entries_.end() ? Tier::Remote : found->tier;
}

auto SimCache::use(std::uint32_t model, std::uint64_t sizeMb) -> std::vector<TierChange>
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return entry.model == model; });
    if (found == entries_.end())
        entries_.insert(entries_.begin(), { model, sizeMb, Tier::Remote });
    else
        std::rotate(entries_.begin(), found, found + 1);
    auto changes = std::vector<TierChange> {};
    auto memory = std::uint64_t { 0 };
    auto disk = std::uint64_t { 0 };
    for (auto &entry : entries_) {
        memory += entry.sizeMb;
        disk += entry.sizeMb;
        const auto tier = memory <= hostMemoryMb_ ? Tier::Memory
                : disk <= diskMb_                 ? Tier::Disk
                                                  : Tier::Remote;
        if (tier != entry.tier)
            changes.push_back({ entry.model, tier });
        entry.tier = tier;
    }
    std::erase_if(entries_, [](const Entry &entry) { return entry.tier == Tier::Remote; });
    return changes;
}

} // namespace figrack::bench
