// The regions in which requests of a route or a client account may be served.
//
//   auto rule = HomeRule { regions };
//   rule.restrictTo(route.homeRegions);   rule.restrictTo(account.homeRegions);
//   if (rule.allows(row.domain)) ...
//
// A route or an account without homes restricts nothing. Where both have homes, a
// region must be among the homes of each. A failure domain whose region is not
// known is in no home.

#ifndef FIGRACK_CATALOGUE_HOMES_H
#define FIGRACK_CATALOGUE_HOMES_H

#include <map>
#include <vector>

#include "core/ids.h"

namespace figrack::catalogue {

/// The region of each failure domain, from the settings.
using RegionMap = std::map<DomainId, RegionId>;

class HomeRule
{
public:
    /// @param regions must outlive the rule
    explicit HomeRule(const RegionMap &regions)
        : regions_(&regions)
    { }
    /// @param homes must outlive the rule; empty: no restriction
    auto restrictTo(const std::vector<RegionId> &homes) -> void;
    auto isRestricted() const -> bool { return !homes_.empty(); }
    /// @return true when a request may be sent to endpoints in the domain
    auto allows(const DomainId &domain) const -> bool;

private:
    const RegionMap *regions_;
    std::vector<const std::vector<RegionId> *> homes_;
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_HOMES_H
