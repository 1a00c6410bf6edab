// Sends the ends of queued requests' waits to the gateways that asked, and reports the queue's
// decisions.
//
//   grants.onQueued(peer);        // a reply with isQueued goes to this gateway
//   grants.onClose(peer);
//   grants.flush();               // after each call of the balancer
//
// A grant whose connection is gone or congested is given up: its slot goes to the next request, and
// the gateway asks again or refuses its caller at the request's latest start. Not thread-safe.

#ifndef FIGRACK_FLEET_PLACEGRANTS_H
#define FIGRACK_FLEET_PLACEGRANTS_H

#include <map>

#include "fleet/accountledger.h"
#include "fleet/balancer.h"
#include "fleet/metrics.h"
#include "fleet/trials.h"
#include "proto/channel.h"

namespace figrack::fleet {

class PlaceGrants
{
public:
    /// All must outlive this object.
    PlaceGrants(Balancer &balancer, Trials &trials, AccountLedger &ledger, Metrics &metrics);
    auto onQueued(const proto::PeerPointer &peer) -> void;
    auto onClose(const proto::PeerPointer &peer) -> void;
    /// Sends all grants and refusals, and logs and counts the decisions.
    auto flush() -> void;

private:
    auto send(PlaceGrant grant) -> void;
    /// Ends a booking or a count of a request that does not run.
    auto giveBack(const PlaceGrant &grant) -> void;
    auto report(const PlaceNotice &notice) -> void;

    Balancer &balancer_;
    Trials &trials_;
    AccountLedger &ledger_;
    Metrics &metrics_;
    std::map<NodeId, proto::PeerPointer> peers_; ///< Gateways that had a request queued.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEGRANTS_H
