// Learned load times: how long a load takes by the tier it reads from and its
// size, and how slow the weight store is at present.
//
//   auto times = LoadTimes { options };
//   times.learn(Tier::Remote, memoryMb, took, now);
//   times.noticeOverdue(memoryMb, runningFor, now);  // a load in flight is late
//   auto ms = times.predict(Tier::Remote, memoryMb, now);
//
// Two time scales: a slow mean for each tier and size (by powers of two, since a load
// has a fixed part that small models feel and large ones do not), and for the store a
// fast factor on top of it that follows a slow-down within a few loads and
// fades back to one when no load says otherwise. Not thread-safe.

#ifndef FIGRACK_POLICY_LOADTIME_H
#define FIGRACK_POLICY_LOADTIME_H

#include <array>

#include "policy/tables.h"

namespace figrack::policy {

struct LoadTimeOptions
{
    std::uint32_t storeConcurrency = 4; ///< Loads at once at the store's full speed.
    double storeLoadsPerSecond = 3.0;
};

class LoadTimes
{
public:
    explicit LoadTimes(LoadTimeOptions options);
    /// A load ended well.
    /// @param took from order to ready, ms
    auto learn(Tier tier, std::uint64_t memoryMb, Millis took, Millis now) -> void;
    /// A load from the store has run for longer than predicted and has not ended.
    auto noticeOverdue(std::uint64_t memoryMb, Millis runningFor, Millis now) -> void;
    /// @return ms that a load started now takes, at least 1
    auto predict(Tier tier, std::uint64_t memoryMb, Millis now) const -> Millis;
    /// @return present slowness of the store; 1 is its usual speed, never below 1/4
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
    double prior_; ///< ms of a load from the store before any was seen.
    double factor_ = 1.0;
    Millis factorAt_ = 0;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_LOADTIME_H
