// The gateways that keep the origin of a stream, by rendezvous hashing of its key.
//
//   for (const auto &owner : ownersOf(key, gateways)) ...        // when the stream begins
//   for (const auto &gateway : gatewaysToAsk(key, gateways)) ... // when it is looked for
//
// All gateways that know the same gateways find the same owners without talking.

#ifndef FIGRACK_GATEWAY_ORIGINOWNERS_H
#define FIGRACK_GATEWAY_ORIGINOWNERS_H

#include <vector>

#include "core/ids.h"
#include "core/settings.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

/// A gateway that may keep the origins of streams.
struct OriginOwner
{
    NodeId node;
    Address address; ///< Where it takes messages of other gateways.
    DomainId domain;
};

/// @param gateways that are known, in any order
/// @return the first of the stream's ranking, and the first of another failure domain if there are
/// several
auto ownersOf(const proto::StreamKey &key, const std::vector<OriginOwner> &gateways)
        -> std::vector<OriginOwner>;

/// Owners of an earlier moment are seldom missing: a gateway that has joined or ended since then
/// moves them by one place in the ranking.
/// @return the owners and the first others of the ranking, four in all if there are so many
auto gatewaysToAsk(const proto::StreamKey &key, const std::vector<OriginOwner> &gateways)
        -> std::vector<OriginOwner>;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ORIGINOWNERS_H
