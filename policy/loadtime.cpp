// ms = fixed part + slope * MiB, with a fixed part small enough to leave to a
// floor. The slope is a quotient of decayed sums, so that one odd load does not
// upset it and a change of hardware is learned within some tens of loads. The
// store's factor is kept apart: mixing a ten-fold slow-down into the slope would
// make predictions wrong for long after the store has recovered.

#include "policy/loadtime.h"

#include <algorithm>
#include <cmath>

#include "core/check.h"

namespace figrack::policy {

namespace {

constexpr auto slopeKeep = 0.95;      ///< Decay of the slope's sums a load.
constexpr auto factorStep = 0.4;      ///< Weight of the newest load in the store's factor.
constexpr auto factorFade = 120000.0; ///< ms in which an unconfirmed factor falls to 1/e.
constexpr auto factorMin = 0.25;
constexpr auto factorMax = 100.0;
constexpr auto diskShare = 0.4;    ///< Prior of a load from disk against one from the store.
constexpr auto memoryShare = 0.12; ///< The same from memory.
constexpr auto odd = 4.0;          ///< A load this many times off says nothing of the slope.

auto tierIndex(Tier tier) -> std::size_t
{
    return static_cast<std::size_t>(tier);
}

auto priorShare(Tier tier) -> double
{
    switch (tier) {
    case Tier::Remote:
        return 1.0;
    case Tier::Disk:
        return diskShare;
    case Tier::Memory:
        return memoryShare;
    }
    return 1.0;
}

} // namespace

LoadTimes::LoadTimes(LoadTimeOptions options)
    : prior_(1000.0 * options.storeConcurrency / options.storeLoadsPerSecond)
{
    FIGRACK_CHECK(options.storeLoadsPerSecond > 0, "the store's speed is positive");
    FIGRACK_CHECK(options.storeConcurrency > 0, "the store takes at least one load");
}

auto LoadTimes::usual(Tier tier, std::uint64_t memoryMb) const -> double
{
    const auto &own = slopes_[tierIndex(tier)];
    if (own.loads > 0)
        return std::max(1.0, own.millis / own.sizeMb * static_cast<double>(memoryMb));
    const auto &remote = slopes_[tierIndex(Tier::Remote)];
    if (remote.loads > 0)
        return std::max(1.0,
                        priorShare(tier) * remote.millis / remote.sizeMb
                                * static_cast<double>(memoryMb));
    return std::max(1.0, priorShare(tier) * prior_);
}

auto LoadTimes::learn(Tier tier, std::uint64_t memoryMb, Millis took, Millis now) -> void
{
    const auto millis = static_cast<double>(std::max<Millis>(took, 1));
    auto &slope = slopes_[tierIndex(tier)];
    const auto ratio = millis / usual(tier, memoryMb);
    const auto known = slope.loads >= 1;
    if (tier == Tier::Remote && known) {
        const auto before = storeFactor(now);
        factor_ = std::clamp(before + factorStep * (ratio - before), factorMin, factorMax);
        factorAt_ = now;
    }
    if (known && (ratio > odd || ratio < 1.0 / odd))
        return;
    slope.millis = slope.millis * slopeKeep + millis;
    slope.sizeMb
            = slope.sizeMb * slopeKeep + static_cast<double>(std::max<std::uint64_t>(memoryMb, 1));
    slope.loads += 1;
}

auto LoadTimes::noticeOverdue(std::uint64_t memoryMb, Millis runningFor, Millis now) -> void
{
    const auto ratio = static_cast<double>(runningFor) / usual(Tier::Remote, memoryMb);
    if (ratio <= storeFactor(now))
        return;
    factor_ = std::min(ratio, factorMax);
    factorAt_ = now;
}

auto LoadTimes::storeFactor(Millis now) const -> double
{
    const auto age = static_cast<double>(std::max<Millis>(now - factorAt_, 0));
    return 1.0 + (factor_ - 1.0) * std::exp(-age / factorFade);
}

auto LoadTimes::predict(Tier tier, std::uint64_t memoryMb, Millis now) const -> Millis
{
    auto millis = usual(tier, memoryMb);
    if (tier == Tier::Remote)
        millis *= storeFactor(now);
    return std::max<Millis>(1, static_cast<Millis>(std::llround(millis)));
}

} // namespace figrack::policy
