// Control is the control process without its sockets: the replica, the feed, and the parts
// that manage routers, endpoints, claims, orders, scheduling and reports.
//
//   auto control = Control { options, clock, transport, store, random, port, defer };
//   if (auto status = control.start(); !status.ok()) return status;
//   control.tick();                              // Every options.node.replica.tick.
//   control.onMessage(peer, envelope);           // A message of the internal protocol.
//   control.changeConfiguration(change, done);   // Operator calls.
//
// All I/O goes through the constructor's arguments, so that tests can run whole groups of
// controls in virtual time. The class is not thread-safe: use it on one strand.
//
// Guarantees: actions reserved for the leader are only taken while its lease is valid. Every
// request of the internal protocol is answered; a control that is not the leader answers
// NotLeader and names the leader.

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
    /// Called with the revision that the change created or conflicted with.
    using ChangeDone = std::function<void(const absl::Status &, Revision)>;

    /// @param clock,transport,store,random,port must outlive the control
    Control(ControlOptions options, const Clock &clock, coord::Transport &transport,
            coord::LogStore &store, Random &random, OrderPort &port, Defer defer);

    auto start() -> absl::Status;
    auto tick() -> void;

    auto onOpen(const proto::PeerPointer &peer) -> void;
    auto onClose(const proto::PeerPointer &peer) -> void;
    auto onMessage(const proto::PeerPointer &peer, proto::Envelope envelope) -> void;

    /// Calls back once the change is in force everywhere, or with the conflicting revision.
    /// OutcomeUnknown means that leadership was lost before the outcome was known; resend the
    /// change with the same id.
    auto changeConfiguration(const state::ConfigChange &change, const ChangeDone &done) -> void;
    auto drainEndpoint(const EndpointId &endpoint, bool draining, const Done &done) -> void;
    auto drainRouter(const NodeId &router, bool draining, const Done &done) -> void;
    auto addMember(const coord::Member &member, const Done &done) -> void;
    auto promoteMember(const NodeId &node, const Done &done) -> void;
    auto removeMember(const NodeId &node, const Done &done) -> void;
    auto transfer() -> absl::Status { return node_.transferLeadership(); }

    /// Requests current counts from the routers, then calls back with the burn report over a
    /// window.
    auto makeReport(Duration window, report::ReportFormat format,
                    std::function<void(std::string)> done) -> void;

    auto node() const -> const Node & { return node_; }
    auto routers() const -> const Routers & { return routers_; }
    auto endpoints() const -> const Endpoints & { return endpoints_; }
    auto feed() const -> const Feed & { return feed_; }
    auto orders() const -> const Orders & { return orders_; }
    auto scheduler() const -> const Scheduler & { return scheduler_; }
    /// @return the connections that do not come from controls
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
    bool leaseHeld_ = false; ///< At the last check, while leading.
    Instant nextDigestAt_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CONTROL_H
