#include "catalogue/homes.h"

#include <algorithm>

namespace figrack::catalogue {

auto HomeRule::restrictTo(const std::vector<RegionId> &homes) -> void
{
    if (!homes.empty())
        homes_.push_back(&homes);
}

auto HomeRule::allows(const DomainId &domain) const -> bool
{
    if (!isRestricted())
        return true;
    const auto region = regions_->find(domain);
    if (region == regions_->end())
        return false;
    return std::all_of(homes_.begin(), homes_.end(), [&](const auto *homes) {
        return std::find(homes->begin(), homes->end(), region->second) != homes->end();
    });
}

} // namespace figrack::catalogue
