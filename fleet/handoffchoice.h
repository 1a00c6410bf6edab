// Which gateways one gateway is told that cannot reach the endpoints.
//
//   const auto targets = chooseHandoffTargets(registry.handoffTargets(), asker, preferred);
//
// Pure decision. Each asker gets its own selection, so that the requests of many gateways that are
// cut off at the same time spread over all others.

#ifndef FIGRACK_FLEET_HANDOFFCHOICE_H
#define FIGRACK_FLEET_HANDOFFCHOICE_H

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

/// An answer names no more gateways.
constexpr auto maxHandoffTargets = std::size_t { 16 };

/// @param gateways all that can take requests of others
/// @param asker is not named itself
/// @param preferred failure domains whose gateways are named first
auto chooseHandoffTargets(std::vector<proto::HandoffTarget> gateways, const NodeId &asker,
                          const std::vector<DomainId> &preferred)
        -> std::vector<proto::HandoffTarget>;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_HANDOFFCHOICE_H
