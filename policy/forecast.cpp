// The gaps of rarely used models are heavy-tailed: seconds within a burst, minutes within a
// session, hours between sessions. Half octaves keep that shape in 34 counters. The conditional
// probability P(gap < age + span | gap > age) then does what a time-out only approximates: it is
// high after a burst, and falls once the idle time exceeds the gaps seen. One pseudo-count at
// infinity stands for "never used again", so that a model that is idle for longer than ever
// before is unloaded.

#include "policy/forecast.h"

#include <algorithm>
#include <cmath>

namespace figrack::policy {

namespace {

constexpr auto gapDecay = 0.985;  ///< Decay of a model's gap counts, per gap.
constexpr auto priorWeight = 3.0; ///< Weight of the class's histogram, in gaps.
constexpr auto neverWeight = 0.5; ///< Pseudo-count of "no further use".
constexpr auto flatWeight = 0.05; ///< Pseudo-count of each bucket.
constexpr auto burstSpan = Millis { 5000 };
constexpr auto burstPause = Millis { 60000 };
constexpr auto burstStep = 0.2;

auto bucketOf(double gap) -> std::size_t
{
    if (gap < 1000.0)
        return 0;
    const auto index = static_cast<std::size_t>(2.0 * std::log2(gap / 1000.0)) + 1;
    return std::min(index, gapBuckets - 1);
}

/// Bounds of all buckets, computed once.
auto bounds() -> const std::array<double, gapBuckets + 1> &
{
    static const auto table = [] {
        auto values = std::array<double, gapBuckets + 1> {};
        for (auto i = std::size_t { 1 }; i <= gapBuckets; ++i)
            values[i] = 1000.0 * std::exp2(static_cast<double>(i - 1) / 2.0);
        return values;
    }();
    return table;
}

} // namespace

auto GapHistogram::lowerBound(std::size_t bucket) -> double
{
    return bounds()[bucket];
}

auto GapHistogram::add(Millis gap, double keep) -> void
{
    for (auto &count : counts_)
        count *= static_cast<float>(keep);
    counts_[bucketOf(static_cast<double>(gap))] += 1.0F;
    total_ = total_ * keep + 1.0;
}

auto ArrivalHistory::note(std::uint32_t count, Millis now) -> Millis
{
    const auto gap = seen_ ? std::max<Millis>(now - lastAt_, 0) : Millis { -1 };
    const auto pause = !seen_ || gap > burstPause;
    if (pause) {
        if (burstCount_ > 0)
            burst_ += burstStep * (burstCount_ - burst_);
        burstFrom_ = now;
        burstCount_ = 0;
    }
    if (now - burstFrom_ <= burstSpan)
        burstCount_ += count;
    if (seen_)
        gaps_.add(gap, gapDecay);
    seen_ = true;
    lastAt_ = now;
    return gap;
}

auto ArrivalHistory::bestRate(const GapHistogram &prior, double spent, Millis now) const -> double
{
    if (!seen_)
        return 0;
    const auto age = static_cast<double>(std::max<Millis>(now - lastAt_, 0));
    const auto scale = prior.total() > 0 ? priorWeight / prior.total() : 0.0;
    const auto first = bucketOf(age);
    // Mass of each bucket past the age; of the first one, only the part past the age.
    auto mass = std::array<double, gapBuckets> {};
    auto beyond = neverWeight;
    for (auto i = first; i < gapBuckets; ++i) {
        mass[i] = flatWeight + gaps_.count(i) + scale * prior.count(i);
        if (i == first) {
            const auto width = bounds()[i + 1] - bounds()[i];
            mass[i] *= std::clamp((bounds()[i + 1] - age) / width, 0.0, 1.0);
        }
        beyond += mass[i];
    }
    auto best = 0.0;
    auto within = 0.0;
    auto waited = 0.0; // Expected ms until the use or the end of the span, multiplied by beyond.
    for (auto i = first; i < gapBuckets; ++i) {
        const auto from = std::max(bounds()[i], age);
        const auto width = std::max(bounds()[i + 1] - from, 1.0);
        waited += (beyond - within - mass[i] / 2.0) * width;
        within += mass[i];
        best = std::max(best, within / (waited + spent * beyond));
    }
    return best;
}

} // namespace figrack::policy
