// A dispatch and its end that both fall after the report cancel out, and the end after the report
// of a stream that was included in it subtracts that stream. So the signed sum of changes since
// the report is sufficient, and streams need not be distinguished.

#include "policy/loadestimate.h"

#include <algorithm>
#include <cmath>

#include "core/check.h"

namespace figrack::policy {
namespace {

constexpr auto maxChanges = std::size_t { 1024 };

} // namespace

auto LoadEstimate::onReport(std::uint32_t count, Millis takenAt) -> void
{
    if (hasReport_ && takenAt < takenAt_)
        return;
    hasReport_ = true;
    takenAt_ = takenAt;
    reported_ = count;
    while (!changes_.empty() && changes_.front().at <= takenAt) {
        since_ -= changes_.front().by;
        changes_.pop_front();
    }
}

auto LoadEstimate::onDispatch(Millis now) -> void
{
    ++inFlight_;
    add(now, 1);
}

auto LoadEstimate::onEnd(Millis now) -> void
{
    FIGRACK_CHECK(inFlight_ > 0, "a stream ends once");
    --inFlight_;
    add(now, -1);
}

auto LoadEstimate::corrected() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(reported_ + since_, inFlight_));
}

auto LoadEstimate::othersReported() const -> std::int64_t
{
    const auto ownReported = inFlight_ - since_;
    return std::max<std::int64_t>(reported_ - ownReported, 0);
}

auto LoadEstimate::expected(const OthersLoad &others, Millis now) const -> double
{
    const auto age = static_cast<double>(std::max<Millis>(now - takenAt_, 0));
    const auto kept = std::exp(-age / std::max(others.serviceTime, 1.0));
    const auto reported = static_cast<double>(othersReported());
    return inFlight_ + others.mean + (reported - others.mean) * kept;
}

auto LoadEstimate::unseen(const OthersLoad &others, Millis now) const -> double
{
    const auto age = static_cast<double>(std::max<Millis>(now - takenAt_, 0));
    return others.mean * age / std::max(others.serviceTime, 1.0);
}

auto LoadEstimate::add(Millis at, std::int8_t by) -> void
{
    changes_.push_back({ at, by });
    since_ += by;
    if (changes_.size() <= maxChanges)
        return;
    reported_ += changes_.front().by;
    since_ -= changes_.front().by;
    changes_.pop_front();
}

} // namespace figrack::policy
