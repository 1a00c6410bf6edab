// The failure domains that an operator has evacuated.
//
//   if (evacuations.contains(row.domain)) ...    // nothing new is sent to the endpoint
//
// An evacuation stays in force until it is withdrawn. Requests that already run in
// the domain finish there.

#ifndef FIGRACK_CATALOGUE_EVACUATIONS_H
#define FIGRACK_CATALOGUE_EVACUATIONS_H

#include <vector>

#include "core/ids.h"

namespace figrack::catalogue {

/// An operator's order to evacuate a domain, or to withdraw its evacuation.
struct EvacuationChange
{
    DomainId domain;
    bool begins = false; ///< False: the evacuation is withdrawn.

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(domain, begins);
    }
};

struct Evacuations
{
    Revision revision;             ///< Rises with each change; 0: there has been none.
    std::vector<DomainId> domains; ///< Sorted.
    auto contains(const DomainId &domain) const -> bool;
    /// Applies a change. @return false when it changes nothing; the revision then stays
    auto apply(const EvacuationChange &change) -> bool;
    auto operator==(const Evacuations &) const -> bool = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(revision, domains);
    }
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_EVACUATIONS_H
