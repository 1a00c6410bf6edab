// A mergeable histogram of durations.
//
//   auto times = Histogram {};
//   times.add(137);
//   times.merge(other);              // exact: as if all had been added to one
//   auto p99 = times.quantile(0.99);
//
// Log-linear bins: exact below 8 ms, then eight bins to each doubling, up to about
// four and a half hours, so a quantile is off by at most an eighth of its value. Bins
// are the same everywhere, which is what makes merging exact. An empty one takes no
// memory beyond a pointer.

#ifndef FIGRACK_REPORT_HISTOGRAM_H
#define FIGRACK_REPORT_HISTOGRAM_H

#include <cstdint>
#include <memory>
#include <vector>

namespace figrack::report {

/// Number of bins of every Histogram; the last holds all that is longer.
constexpr auto histogramBins = std::uint16_t { 176 };

/// One bin that is not empty.
struct HistogramBin
{
    std::uint16_t bin = 0;
    std::uint64_t count = 0;
};

class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(const Histogram &other);
    Histogram(Histogram &&) noexcept;
    auto operator=(Histogram other) noexcept -> Histogram &;

    /// @param millis a duration, ms; negative counts as 0
    auto add(std::int64_t millis) -> void;
    /// @param bin below histogramBins
    auto addBin(std::uint16_t bin, std::uint64_t count) -> void;
    auto merge(const Histogram &other) -> void;
    auto count() const -> std::uint64_t;
    /// @param share in [0, 1]
    /// @return ms, interpolated inside its bin; 0 when empty
    auto quantile(double share) const -> double;
    /// @return the bins that are not empty, in order
    auto bins() const -> std::vector<HistogramBin>;

    /// @return the bin that a duration falls in
    static auto binOf(std::int64_t millis) -> std::uint16_t;
    /// @return the least duration of a bin, ms
    static auto lowerEdge(std::uint16_t bin) -> std::int64_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_; ///< Null when empty.
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_HISTOGRAM_H
