// Manages this router's connections to the control processes.
//
//   auto link = ControlLink { context, options, clock, view, hooks };
//   link.start();
//   link.callLeader(ClaimRequest { ... }, timeout, [](auto reply) { ... });
//   if (link.isCurrent()) ...
//
// The link keeps one connection to each control. One of them, normally the first
// connected one of the list, sends the feed of table changes. All of them renew
// the lease that tells this router that its configuration is current. The leader
// receives the join, the demand reports, the claims and the drain notices.
//
// Guarantees: feed batches are applied in the order in which one source sent
// them, from one source at a time. No lease renewal is requested before the
// tables have caught up with the join. callLeader() completes each call exactly
// once, resends only what a control refused as NotLeader, and itself answers
// NotLeader only if nothing was sent that a control could have accepted.
// Thread-safe.

#ifndef FIGRACK_ROUTER_CONTROLLINK_H
#define FIGRACK_ROUTER_CONTROLLINK_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "coord/viewlease.h"
#include "core/clock.h"
#include "core/settings.h"
#include "proto/channel.h"
#include "proto/messages.h"
#include "router/view.h"

namespace figrack::router {

struct ControlLinkOptions
{
    state::RegisterRouter registration; ///< This router's name, incarnation, domain and
                                        ///< the address that callers connect to.
    std::vector<NamedAddress> controls; ///< Nearest first.
    proto::ChannelOptions channel;
    coord::ViewLeaseOptions viewLease;
    Duration demandEvery = std::chrono::milliseconds { 100 };
    Duration demandIdleEvery = std::chrono::seconds { 1 };
    Duration feedTimeout = std::chrono::seconds { 2 }; ///< Without progress while behind; then
                                                       ///< another source is tried.
    Duration preferNearestEvery = std::chrono::seconds { 30 }; ///< How often to try to return to
                                                               ///< the first control of the list.
};

/// Called on the link's strand.
struct ControlLinkHooks
{
    std::function<void()> onViewChanged;
    std::function<void(const proto::LoadDigest &)> onLoad;
    std::function<std::vector<proto::DemandRow>()> takeDemand;
    std::function<std::string(Duration)> encodeReport; ///< Encodes the report of the given window.
};

class ControlLink
{
public:
    using ReplyHandler = std::function<void(absl::StatusOr<proto::Payload>)>;

    ControlLink(boost::asio::io_context &context, ControlLinkOptions options, const Clock &clock,
                View &view, ControlLinkHooks hooks);
    ~ControlLink();
    auto start() -> void;
    auto stop() -> void;

    /// @return true while the configuration applied here is known to be current
    auto isCurrent() const -> bool;
    /// Sends a message to the current leader, searching for the leader until the timeout.
    auto callLeader(proto::Payload payload, Duration timeout, ReplyHandler done) -> void;
    /// Sends a message to every connected control, without waiting for replies.
    auto pushAll(const proto::Payload &payload) -> void;
    /// Reports demand without waiting for the next interval. Call when a request arrives for a
    /// model without a ready replica. Calls made before the report is sent share one report.
    auto requestDemandReport() -> void;
    /// Marks this router as leaving: it no longer joins.
    auto setLeaving() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CONTROLLINK_H
