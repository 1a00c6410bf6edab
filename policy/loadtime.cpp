// There is a mean for each power of two of the size; a size not seen yet is scaled from the
// nearest one seen. A single line through the origin does not fit: loads of small adapters, which
// are nearly all fixed cost, would make those of large bases look ten times as long. The store's
// factor is kept separately and divided out of each learned load time: mixing a ten-fold
// slow-down into the means would make predictions wrong long after the store has recovered. An
// outlier moves its mean by a bounded step but is never ignored, so that a wrong mean cannot
// reject the loads that would correct it.

#include "policy/loadtime.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "core/check.h"

namespace figrack::policy {

namespace {

constexpr auto meanStep = 0.1;             ///< Weight of the newest load in its mean.
constexpr auto factorStep = 0.4;           ///< Weight of the newest load in the store's factor.
constexpr auto factorDecayTime = 120000.0; ///< ms in which an unconfirmed factor decays to 1/e.
constexpr auto factorMin = 0.25;
constexpr auto factorMax = 100.0;
constexpr auto diskShare = 0.4;    ///< Prior duration of a load from disk, relative to the store.
constexpr auto memoryShare = 0.12; ///< Prior duration of a load from memory, relative to the store.
constexpr auto maxSampleRatio = 4.0; ///< A load counts as at most this many times its mean.

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

auto LoadTimes::sizeIndex(std::uint64_t memoryMb) -> std::size_t
{
    return std::min<std::size_t>(std::bit_width(memoryMb), sizes - 1);
}

/// @return ms, scaled by size from the nearest size seen; 0 when none was seen
auto LoadTimes::fromNearest(const Means &means, std::uint64_t memoryMb) -> double
{
    const auto own = sizeIndex(memoryMb);
    for (auto away = std::size_t { 0 }; away < sizes; ++away) {
        for (const auto index : { own - away, own + away }) {
            if (index >= sizes || means[index].loads == 0)
                continue;
            return means[index].millis * static_cast<double>(memoryMb) / means[index].sizeMb;
        }
    }
    return 0;
}

auto LoadTimes::usual(Tier tier, std::uint64_t memoryMb) const -> double
{
    auto millis = fromNearest(means_[tierIndex(tier)], memoryMb);
    if (millis == 0)
        millis = priorShare(tier) * fromNearest(means_[tierIndex(Tier::Remote)], memoryMb);
    if (millis == 0)
        millis = priorShare(tier) * prior_;
    return std::max(1.0, millis);
}

auto LoadTimes::learn(Tier tier, std::uint64_t memoryMb, Millis took, Millis now) -> void
{
    const auto size = static_cast<double>(std::max<std::uint64_t>(memoryMb, 1));
    auto millis = static_cast<double>(std::max<Millis>(took, 1));
    auto &mean = means_[tierIndex(tier)][sizeIndex(memoryMb)];
    const auto expected = usual(tier, memoryMb);
    if (tier == Tier::Remote && mean.loads > 0) {
        const auto before = storeFactor(now);
        const auto ratio = millis / expected;
        factor_ = std::clamp(before + factorStep * (ratio - before), factorMin, factorMax);
        factorAt_ = now;
        millis /= factor_;
    }
    if (mean.loads == 0) {
        mean = { millis, size, 1 };
        return;
    }
    millis = std::clamp(millis, expected / maxSampleRatio, expected * maxSampleRatio);
    mean.millis += meanStep * (millis - mean.millis);
    mean.sizeMb += meanStep * (size - mean.sizeMb);
    mean.loads += 1;
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
    return 1.0 + (factor_ - 1.0) * std::exp(-age / factorDecayTime);
}

auto LoadTimes::predict(Tier tier, std::uint64_t memoryMb, Millis now) const -> Millis
{
    auto millis = usual(tier, memoryMb);
    if (tier == Tier::Remote)
        millis *= storeFactor(now);
    return std::max<Millis>(1, static_cast<Millis>(std::llround(millis)));
}

} // namespace figrack::policy
