// This router's connections to the control processes.
//
//   auto link = ControlLink { context, options, clock, view, hooks };
//   link.start();
//   link.callLeader(ClaimRequest { ... }, timeout, [](auto reply) { ... });
//   if (link.isCurrent()) ...
//
// One connection to each control. One of them, the first of the list that is
// alive, feeds the tables; all of them renew the lease by which this router
// knows that its configuration is current; the leader gets the join, demand,
// claims and drain notices.
//
// Guarantees: batches are applied in the order sent by one source at a time; no
// renewal is asked for before the tables have caught up with the join;
// callLeader() ends each call exactly once, sends again only what a control
// refused as NotLeader, and answers NotLeader itself only when nothing was
// sent that could have been taken up. Thread-safe.

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
    state::RegisterRouter registration; ///< Name, incarnation, domain and caller address.
    std::vector<NamedAddress> controls; ///< Nearest first.
    proto::ChannelOptions channel;
    coord::ViewLeaseOptions viewLease;
    Duration demandEvery = std::chrono::milliseconds { 100 };
    Duration demandIdleEvery = std::chrono::seconds { 1 };
    Duration feedTimeout = std::chrono::seconds { 2 };         ///< Without progress while behind.
    Duration preferNearestEvery = std::chrono::seconds { 30 }; ///< Back to the first of the list.
};

/// Called on the link's strand.
struct ControlLinkHooks
{
    std::function<void()> onViewChanged;
    std::function<void(const proto::LoadDigest &)> onLoad;
    std::function<std::vector<proto::DemandRow>()> takeDemand;
    std::function<std::string(Duration)> encodeReport; ///< Of the window given.
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
    /// Sends to the leader, whoever leads; looks for it till the timeout.
    auto callLeader(proto::Payload payload, Duration timeout, ReplyHandler done) -> void;
    /// Sends to every control that is connected.
    auto pushAll(const proto::Payload &payload) -> void;
    /// A model without a ready replica is wanted: reports demand now, once for many calls.
    auto wantDemandNow() -> void;
    /// This router leaves: it joins no more.
    auto setLeaving() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CONTROLLINK_H
