#include "catalogue/evacuations.h"

#include <algorithm>

namespace figrack::catalogue {

auto Evacuations::contains(const DomainId &domain) const -> bool
{
    return std::binary_search(domains.begin(), domains.end(), domain);
}

auto Evacuations::apply(const EvacuationChange &change) -> bool
{
    if (contains(change.domain) == change.begins)
        return false;
    const auto place = std::lower_bound(domains.begin(), domains.end(), change.domain);
    if (change.begins)
        domains.insert(place, change.domain);
    else
        domains.erase(place);
    revision = Revision { revision.value() + 1 };
    return true;
}

} // namespace figrack::catalogue
