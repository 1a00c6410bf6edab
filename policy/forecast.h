// Predicts the next use of a model from its arrival history.
//
//   auto history = ArrivalHistory {};
//   history.note(3, now);
//   auto rate = history.bestRate(prior, spent, now);
//
// Keeps a decayed histogram of the gaps between arrivals, in half octaves from one second to a
// day, and reads it as a conditional probability: given how long the model has been idle, how
// likely is a use within the next span? The histogram of the model's class serves as a prior
// for a model with little history. Fixed size, no allocation. Not thread-safe.

#ifndef FIGRACK_POLICY_FORECAST_H
#define FIGRACK_POLICY_FORECAST_H

#include <array>

#include "policy/tables.h"

namespace figrack::policy {

constexpr auto gapBuckets = std::size_t { 34 };

/// Decayed counts of gaps by length.
class GapHistogram
{
public:
    /// Adds one gap.
    /// @param gap ms
    /// @param keep factor by which the earlier counts are multiplied
    auto add(Millis gap, double keep) -> void;
    auto total() const -> double { return total_; }
    auto count(std::size_t bucket) const -> double { return counts_[bucket]; }
    /// @return the shortest gap of a bucket, ms; bucket 0 starts at 0
    static auto lowerBound(std::size_t bucket) -> double;

private:
    std::array<float, gapBuckets> counts_ {};
    double total_ = 0;
};

class ArrivalHistory
{
public:
    /// Records arrivals; `now` must not decrease between calls.
    /// @return the gap since the previous arrivals in ms, or -1 for the first
    auto note(std::uint32_t count, Millis now) -> Millis;
    auto seen() const -> bool { return seen_; }
    auto lastAt() const -> Millis { return lastAt_; }
    /// @return arrivals expected within a few seconds of the first after a pause
    auto burst() const -> double { return burst_; }
    /// Computes the maximum, over all spans from now, of the ratio of the probability of a use
    /// within the span to the time spent waiting for it.
    /// @param prior the gaps of the model's class
    /// @param spent ms spent in advance in any case, such as a load
    /// @return probability per ms
    auto bestRate(const GapHistogram &prior, double spent, Millis now) const -> double;

private:
    GapHistogram gaps_;
    Millis lastAt_ = 0;
    Millis burstFrom_ = 0;
    double burstCount_ = 0;
    double burst_ = 1.0;
    bool seen_ = false;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_FORECAST_H
