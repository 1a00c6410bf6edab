// Learned load times: how long a load takes, by the tier it reads from and its size, and how
// slow the weight store currently is.
//
//   auto times = LoadTimes { options };
//   times.learn(Tier::Remote, memoryMb, took, now);
//   times.noticeOverdue(memoryMb, runningFor, now);  // a load in flight is late
//   auto ms = times.predict(Tier::Remote, memoryMb, now);
//
// There are two time scales. A slow mean for each tier and size follows usual load times; sizes
// are grouped by powers of two, since the fixed part of a load matters for small models and
// not for large ones. For the store, a fast factor on top of the mean follows a slow-down
// within a few loads and decays back to one when no load confirms it. Not thread-safe.

#ifndef FIGRACK_POLICY_LOADTIME_H
#define FIGRACK_POLICY_LOADTIME_H

#include <array>

#include "policy/tables.h"

namespace figrack::policy {

struct LoadTimeOptions
{
    std::uint32_t storeConcurrency = 4; ///< Concurrent loads that the store serves at full speed.
    double storeLoadsPerSecond = 3.0;
};

class LoadTimes
{
public:
    explicit LoadTimes(LoadTimeOptions options);
    /// Records a load that succeeded.
    /// @param took from order to ready, ms
    auto learn(Tier tier, std::uint64_t memoryMb, Millis took, Millis now) -> void;
    /// Records that a load from the store has run for longer than predicted and has not ended.
    /// @param runningFor ms
    auto noticeOverdue(std::uint64_t memoryMb, Millis runningFor, Millis now) -> void;
    /// @return predicted duration of a load started now, at least 1 ms
    auto predict(Tier tier, std::uint64_t memoryMb, Millis now) const -> Millis;
    /// @return current slowness of the store: 1 is its usual speed, 2 half of it; never below 1/4
    auto storeFactor(Millis now) const -> double;

private:
    static constexpr auto sizes = std::size_t { 24 };
    /// Decayed means over the loads of one size.
    struct Mean
    {
        double millis = 0;
        double sizeMb = 0;
        double loads = 0;
    };
    using Means = std::array<Mean, sizes>;
    static auto sizeIndex(std::uint64_t memoryMb) -> std::size_t;
    static auto fromNearest(const Means &means, std::uint64_t memoryMb) -> double;
    auto usual(Tier tier, std::uint64_t memoryMb) const -> double;

    std::array<Means, 3> means_ {};
    double prior_; ///< ms of a load from the store before any was recorded.
    double factor_ = 1.0;
    Millis factorAt_ = 0;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_LOADTIME_H
