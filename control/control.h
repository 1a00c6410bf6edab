// The control process without its sockets: replica, feed, routers, endpoints, claims, orders.
//
//   auto control = Control { options, clock, transport, store, random, port, defer };
//   if (auto status = control.start(); !status.ok()) return status;
//   control.tick();                              // every options.node.replica.tick
//   control.onMessage(peer, envelope);           // of the inner protocol
//   control.changeConfiguration(change, done);   // the operator's calls
//
// The world is behind the constructor's arguments, so that whole groups of
// controls run in virtual time. Not thread-safe: one strand.
//
// Guarantees: what only a leader may do is done only while its lease holds;
// every request of the inner protocol is answered, NotLeader naming the leader
// where this control is not it.

#ifndef FIGRACK_CONTROL_CONTROL_H
#define FIGRACK_CONTROL_CONTROL_H

#include <functional>
#include <map>
#include <optional>

#include "control/claims.h"
#include "control/endpoints.h"
#include "control/feed.h"
#include "control/node.h"
#include "control/orders.h"
#include "control/replies.h"
#include "control/reports.h"
#include "control/routers.h"
#include "control/scheduler.h"

namespace figrack::control {

struct ControlOptions
{
    NodeOptions node;
    FeedOptions feed;
    RoutersOptions routers;
    EndpointsOptions endpoints;
    ClaimsOptions claims;
    OrdersOptions orders;
    SchedulerOptions scheduler;
    ReportsOptions reports;
    Duration digestEvery = std::chrono::milliseconds { 200 };
};

class Control
{
public:
    using Done = std::function<void(const absl::Status &)>;
    /// With the revision that the change made or lost against.
    using ChangeDone = std::function<void(const absl::Status &, Revision)>;

    /// @param clock,transport,store,random,port outlive the control
    Control(ControlOptions options, const Clock &clock, coord::Transport &transport,
            coord::LogStore &store, Random &random, OrderPort &port, Defer defer);

    auto start() -> absl::Status;
    auto tick() -> void;

    auto onOpen(const proto::PeerPointer &peer) -> void;
    auto onClose(const proto::PeerPointer &peer) -> void;
    auto onMessage(const proto::PeerPointer &peer, proto::Envelope envelope) -> void;

    /// Calls back once the change is in force everywhere, or with what it lost against.
    /// OutcomeUnknown: leadership was lost on the way; resend it with the same id.
    auto changeConfiguration(const state::ConfigChange &change, const ChangeDone &done) -> void;
    auto drainEndpoint(const EndpointId &endpoint, bool draining, const Done &done) -> void;
    auto drainRouter(const NodeId &router, bool draining, const Done &done) -> void;
    auto addMember(const coord::Member &member, const Done &done) -> void;
    auto promoteMember(const NodeId &node, const Done &done) -> void;
    auto removeMember(const NodeId &node, const Done &done) -> void;
    auto transfer() -> absl::Status { return node_.transferLeadership(); }

    /// Calls back with the burn report over a window, after asking the routers.
    auto makeReport(Duration window, report::ReportFormat format,
                    std::function<void(std::string)> done) -> void;

    auto node() const -> const Node & { return node_; }
    auto routers() const -> const Routers & { return routers_; }
    auto endpoints() const -> const Endpoints & { return endpoints_; }
    auto feed() const -> const Feed & { return feed_; }
    auto orders() const -> const Orders & { return orders_; }
    auto scheduler() const -> const Scheduler & { return scheduler_; }
    /// @return connections that are not from controls
    auto routerPeers() const -> std::vector<proto::PeerPointer>;

private:
    struct Dispatch;

    auto onApplied(const AppliedCommand &applied) -> void;
    auto checkLeadership() -> void;
    auto beginLeading(Term term) -> void;
    auto endLeading() -> void;
    auto pushDigest() -> void;
    auto proposeThen(const state::Command &command, const Done &done) -> void;
    auto isControl(const NodeId &node) const -> bool;

    ControlOptions options_;
    const Clock &clock_;
    OrderPort &port_;
    Node node_;
    Feed feed_;
    Routers routers_;
    Endpoints endpoints_;
    Claims claims_;
    Orders orders_;
    Scheduler scheduler_;
    Reports reports_;
    std::map<const proto::PeerConnection *, proto::PeerPointer> peers_;
    std::optional<Term> leadingTerm_;
    bool leaseHeld_ = false; ///< At the last look, while leading.
    Instant nextDigestAt_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CONTROL_H
