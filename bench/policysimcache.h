// Where one endpoint has checkpoints: host memory over disk, least recently used out.

#ifndef FIGRACK_BENCH_POLICYSIMCACHE_H
#define FIGRACK_BENCH_POLICYSIMCACHE_H

#include <cstdint>
#include <vector>

#include "policy/tables.h"

namespace figrack::bench {

/// A change of the tier a checkpoint is read from.
struct TierChange
{
    std::uint32_t model = 0;
    policy::Tier tier = policy::Tier::Remote;
};

class SimCache
{
public:
    SimCache(std::uint64_t diskMb, std::uint64_t hostMemoryMb)
        : diskMb_(diskMb)
        , hostMemoryMb_(hostMemoryMb)
    { }
    /// The checkpoint was read: it is in memory and on disk now.
    auto use(std::uint32_t model, std::uint64_t sizeMb) -> std::vector<TierChange>;
    auto tier(std::uint32_t model) const -> policy::Tier;

private:
    struct Entry
    {
        std::uint32_t model = 0;
        std::uint64_t sizeMb = 0;
        policy::Tier tier = policy::Tier::Remote;
    };
    std::uint64_t diskMb_;
    std::uint64_t hostMemoryMb_;
    std::vector<Entry> entries_; ///< Most recently used first.
};

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMCACHE_H
