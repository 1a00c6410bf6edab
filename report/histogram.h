// A mergeable histogram of durations.
//
//   auto times = Histogram {};
//   times.add(137);
//   times.merge(other);              // exact: same as adding all values to one histogram
//   auto p99 = times.quantile(0.99);
//
// The bins are log-linear: values below 8 ms are exact, followed by eight bins per power of
// two, up to about four and a half hours. The error of a quantile is therefore at most one
// eighth of its value. All histograms have the same bins, so merging is exact. An empty
// histogram uses no memory other than one pointer.

#ifndef FIGRACK_REPORT_HISTOGRAM_H
#define FIGRACK_REPORT_HISTOGRAM_H

#include <cstdint>
#include <memory>
#include <vector>

namespace figrack::report {

/// Number of bins of every Histogram. The last bin also holds all longer durations.
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

    /// @param millis a duration, ms; negative values are counted as 0
    auto add(std::int64_t millis) -> void;
    /// @param bin less than histogramBins
    auto addBin(std::uint16_t bin, std::uint64_t count) -> void;
    auto merge(const Histogram &other) -> void;
    auto count() const -> std::uint64_t;
    /// @param share in [0, 1]
    /// @return the quantile in ms, interpolated within its bin; 0 if the histogram is empty
    auto quantile(double share) const -> double;
    /// @return the bins that are not empty, in ascending order
    auto bins() const -> std::vector<HistogramBin>;

    /// @return the bin that contains a duration
    static auto binOf(std::int64_t millis) -> std::uint16_t;
    /// @return the shortest duration of a bin, ms
    static auto lowerEdge(std::uint16_t bin) -> std::int64_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_; ///< Null if the histogram is empty.
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_HISTOGRAM_H
