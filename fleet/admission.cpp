#include "fleet/admission.h"

#include <algorithm>

namespace figrack::fleet {

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options)
    : options_(options)
{ }

auto ConcurrencyLimit::admits(std::uint32_t running, std::uint32_t places, std::uint32_t rank)
        -> bool
{
    if (places == 0)
        return true;
    if (places != places_) {
        places_ = places;
        limit_ = places;
    }
    const auto fits = running < limit_ * factorOf(rank);
    hasRefused_ = hasRefused_ || !fits;
    return fits;
}

auto ConcurrencyLimit::onEnd(bool isLate, std::uint32_t running, Instant now) -> void
{
    ++ends_;
    late_ += isLate ? 1 : 0;
    if (now - adjustedAt_ < options_.adjustInterval || ends_ < options_.minEnds)
        return;
    adjustedAt_ = now;
    adjust(running);
    ends_ = late_ = 0;
    hasRefused_ = false;
}

auto ConcurrencyLimit::adjust(std::uint32_t running) -> void
{
    const auto late = late_ / static_cast<double>(ends_);
    if (late > options_.cutAboveLate)
        limit_ = std::min(limit_, static_cast<double>(running)) * options_.cutFactor;
    else if (late < options_.raiseBelowLate && hasRefused_)
        limit_ += options_.raiseStep;
    limit_ = std::clamp(limit_, places_ * options_.minShare, places_);
}

auto ConcurrencyLimit::factorOf(std::uint32_t rank) const -> double
{
    switch (rank) {
    case 0:
        return options_.mostUrgentFactor;
    case 1:
        return options_.nextUrgentFactor;
    default:
        return options_.otherFactor;
    }
}

} // namespace figrack::fleet
