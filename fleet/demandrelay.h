// Sums the demand reports of the gateways that watch at a control, for the leader.
//
//   if (relay.onReport(gateway, report)) sendSoon();
//   relay.onGatewayLost(gateway);
//   if (auto sum = relay.take()) sendToLeader(*sum);
//
// The leader gets one report from each control instead of one from each gateway, so that
// it can get them often, whatever the number of gateways. To the leader a control's sum
// is like the report of a single gateway (fleet/demandtable.h). Not thread-safe.

#ifndef FIGRACK_FLEET_DEMANDRELAY_H
#define FIGRACK_FLEET_DEMANDRELAY_H

#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

class DemandRelay
{
public:
    /// @param now time of the receipt
    /// @return true when requests wait for a load, or were refused because there was none
    auto onReport(const NodeId &gateway, const proto::ModelWanted &report, Instant now = {})
            -> bool;
    auto onGatewayLost(const NodeId &gateway) -> void;
    /// @return the sum of the latest reports, with all arrivals since the last call; nullopt when
    /// nothing has been reported since. @param now from which on the starts of waiting requests are
    /// counted
    auto take(Instant now = {}) -> std::optional<proto::ModelWanted>;

private:
    /// Counts of the time since the last take(), by service, model and adapter.
    std::map<proto::WatchKey, proto::WantedRow> arrived_;
    std::map<ServiceId, std::uint64_t> requests_; ///< Since the last take().
    struct Latest
    {
        proto::ModelWanted report;
        Instant receivedAt {};
    };
    std::map<NodeId, Latest> latest_;
    bool hasNews_ = false;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DEMANDRELAY_H
