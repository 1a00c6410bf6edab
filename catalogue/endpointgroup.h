// The endpoints of one service in one failure domain. They share the network path to a gateway, and
// may be cut off together.

#ifndef FIGRACK_CATALOGUE_ENDPOINTGROUP_H
#define FIGRACK_CATALOGUE_ENDPOINTGROUP_H

#include <compare>

#include "core/ids.h"

namespace figrack::catalogue {

struct EndpointGroup
{
    ServiceId service;
    DomainId domain;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const EndpointGroup &) const = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, domain);
    }
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_ENDPOINTGROUP_H
