// Boost.Histogram stores the counts, starting with one byte per bin and switching to wider
// integers as the counts grow. This file adds only the axis. A value v below 8 has bin v. For
// larger values, the position of the leading one bit selects a group of eight bins, and the
// three bits after it select the bin in that group.

#include "report/histogram.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

namespace figrack::report {
namespace {

constexpr auto linearBits = 3;
constexpr auto linearBins = std::int64_t { 1 } << linearBits;

/// Log-linear axis for Boost.Histogram.
struct LogLinearAxis
{
    auto index(std::int64_t millis) const -> int { return Histogram::binOf(millis); }
    auto value(int bin) const -> std::int64_t
    {
        return Histogram::lowerEdge(static_cast<std::uint16_t>(bin));
    }
    auto size() const -> int { return histogramBins; }
    auto operator==(const LogLinearAxis &) const -> bool { return true; }
};

} // namespace

class Histogram::Impl
{
public:
    using Counts = boost::histogram::histogram<std::tuple<LogLinearAxis>,
                                               boost::histogram::unlimited_storage<>>;
    Counts counts { std::tuple { LogLinearAxis {} } };
    std::uint64_t total = 0;

    auto at(std::uint16_t bin) const -> std::uint64_t
    {
        return static_cast<std::uint64_t>(counts.at(bin));
    }
};

Histogram::Histogram() = default;
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram &&) noexcept = default;

Histogram::Histogram(const Histogram &other)
    : impl_(other.impl_ ? std::make_unique<Impl>(*other.impl_) : nullptr)
{ }

auto Histogram::operator=(Histogram other) noexcept -> Histogram &
{
    std::swap(impl_, other.impl_);
    return *this;
}

auto Histogram::binOf(std::int64_t millis) -> std::uint16_t
{
    if (millis < linearBins)
        return static_cast<std::uint16_t>(std::max<std::int64_t>(millis, 0));
    const auto value = static_cast<std::uint64_t>(millis);
    const auto shift = std::bit_width(value) - 1 - linearBits;
    const auto linear = static_cast<std::int64_t>(value >> shift) - linearBins;
    const auto bin = (shift + 1) * linearBins + linear;
    return static_cast<std::uint16_t>(std::min<std::int64_t>(bin, histogramBins - 1));
}

auto Histogram::lowerEdge(std::uint16_t bin) -> std::int64_t
{
    if (bin < linearBins)
        return bin;
    const auto shift = bin / linearBins - 1;
    return (linearBins + bin % linearBins) << shift;
}

auto Histogram::add(std::int64_t millis) -> void
{
    addBin(binOf(millis), 1);
}

auto Histogram::addBin(std::uint16_t bin, std::uint64_t count) -> void
{
    if (count == 0 || bin >= histogramBins)
        return;
    if (!impl_)
        impl_ = std::make_unique<Impl>();
    impl_->counts.at(bin) += count;
    impl_->total += count;
}

auto Histogram::merge(const Histogram &other) -> void
{
    if (!other.impl_)
        return;
    if (!impl_)
        impl_ = std::make_unique<Impl>();
    impl_->counts += other.impl_->counts;
    impl_->total += other.impl_->total;
}

auto Histogram::count() const -> std::uint64_t
{
    return impl_ ? impl_->total : 0;
}

auto Histogram::quantile(double share) const -> double
{
    if (!impl_)
        return 0;
    const auto targetRank = std::clamp(share, 0.0, 1.0) * static_cast<double>(impl_->total);
    auto below = 0.0;
    auto last = 0.0;
    for (auto bin = std::uint16_t { 0 }; bin < histogramBins; ++bin) {
        const auto binCount = static_cast<double>(impl_->at(bin));
        if (binCount == 0)
            continue;
        const auto lower = static_cast<double>(lowerEdge(bin));
        const auto upper = static_cast<double>(lowerEdge(static_cast<std::uint16_t>(bin + 1)));
        last = upper;
        if (below + binCount >= targetRank)
            return lower + (upper - lower) * std::max(targetRank - below, 0.0) / binCount;
        below += binCount;
    }
    return last;
}

auto Histogram::bins() const -> std::vector<HistogramBin>
{
    auto filled = std::vector<HistogramBin> {};
    if (!impl_)
        return filled;
    for (auto bin = std::uint16_t { 0 }; bin < histogramBins; ++bin) {
        if (const auto count = impl_->at(bin))
            filled.push_back({ bin, count });
    }
    return filled;
}

} // namespace figrack::report
