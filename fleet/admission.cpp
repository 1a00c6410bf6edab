#include "fleet/admission.h"

#include <algorithm>

namespace figrack::fleet {

PlaceLimit::PlaceLimit(const PlaceLimitOptions &options)
    : options_(options)
{ }

auto PlaceLimit::admits(std::uint32_t running, std::uint32_t places, std::uint32_t rank) -> bool
{
    if (places == 0)
        return true;
    if (places != places_) {
        places_ = places;
        limit_ = places;
    }
    const auto fits = running < limit_ * partOf(rank);
    heldBack_ = heldBack_ || !fits;
    return fits;
}

auto PlaceLimit::onEnd(bool isLate, std::uint32_t running, Instant now) -> void
{
    ++ends_;
    late_ += isLate ? 1 : 0;
    if (now - judgedAt_ < options_.judgeEvery || ends_ < options_.fewestEnds)
        return;
    judgedAt_ = now;
    judge(running);
    ends_ = late_ = 0;
    heldBack_ = false;
}

auto PlaceLimit::judge(std::uint32_t running) -> void
{
    const auto late = late_ / static_cast<double>(ends_);
    if (late > options_.manyLate)
        limit_ = std::min(limit_, static_cast<double>(running)) * options_.cut;
    else if (late < options_.fewLate && heldBack_)
        limit_ += options_.raise;
    limit_ = std::clamp(limit_, places_ * options_.least, places_);
}

auto PlaceLimit::partOf(std::uint32_t rank) const -> double
{
    switch (rank) {
    case 0:
        return options_.urgentPart;
    case 1:
        return options_.nextPart;
    default:
        return options_.otherPart;
    }
}

} // namespace figrack::fleet
