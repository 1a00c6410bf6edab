// Which gateways all gateways are told that may own origins of streams (proto/streamorigin.h).
//
//   const auto owners = chooseOriginOwners(all);
//
// Pure decision. All controls that know the same gateways choose the same ones, and a gateway that
// joins or ends changes at most one of those chosen, so that owners seldom move.

#ifndef FIGRACK_FLEET_OWNERCHOICE_H
#define FIGRACK_FLEET_OWNERCHOICE_H

#include <cstddef>
#include <vector>

#include "proto/servingmessages.h"

namespace figrack::fleet {

/// The list has no more gateways, which bounds what each gateway is sent and keeps.
constexpr auto maxOriginOwners = std::size_t { 256 };

/// @param gateways all that take requests of others, each once
/// @return those chosen, in the order of their names
auto chooseOriginOwners(std::vector<proto::OriginOwner> gateways)
        -> std::vector<proto::OriginOwner>;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_OWNERCHOICE_H
