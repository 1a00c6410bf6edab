// Routers tracks the routers of the system: joining, leaving, and which configuration revision is
// in force everywhere.
//
// On the leader, a router joins through a command in the log, and an incarnation that is silent
// for removeAfter is removed. A router acknowledges a configuration revision with its lease
// renewals. Every control receives these, so that a new leader already knows the
// acknowledgements. A change is accepted once every incarnation of a router that may still act
// on an older configuration has acknowledged the change or has lost its view lease
// (coord/viewlease.h).

#ifndef FIGRACK_CONTROL_ROUTERS_H
#define FIGRACK_CONTROL_ROUTERS_H

#include <functional>
#include <optional>
#include <vector>

#include "control/node.h"
#include "control/replies.h"
#include "coord/failuredetector.h"
#include "coord/viewlease.h"

namespace figrack::control {

struct RoutersOptions
{
    coord::ViewLeaseOptions viewLease;
    Duration removeAfter = std::chrono::seconds { 60 }; ///< Silence before removal.
};

class Routers
{
public:
    /// @param clock,node must outlive this object
    Routers(RoutersOptions options, const Clock &clock, Node &node);

    auto onJoin(const Caller &caller, const proto::JoinRequest &request) -> void;
    auto onDrain(const Caller &caller, const proto::DrainNotice &notice) -> void;
    auto onRenew(const Caller &caller, const coord::RenewRequest &request) -> void;
    /// Records that a router is alive and which configuration revision it has applied.
    auto onActivity(const NodeId &router, Incarnation incarnation, Revision applied) -> void;

    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onRestored() -> void;
    /// Removes silent routers while leading, and notifies waiters of accepted revisions.
    auto tick() -> void;

    /// Calls back once a revision is in force everywhere, or with an error when this control
    /// stops leading first.
    auto whenAccepted(Revision revision, std::function<void(const absl::Status &)> done) -> void;
    /// @return the highest revision that this control knows to be in force everywhere
    auto acceptedUpTo() const -> Revision { return gate_.acceptedUpTo(); }
    /// @return false if the router has been silent for removeAfter
    auto isAlive(const NodeId &router) const -> bool;

private:
    struct Waiter
    {
        Revision revision;
        std::function<void(const absl::Status &)> done;
    };

    auto expectAll() -> void;
    auto removeSilent(const coord::PeerSuspected &event) -> void;
    auto notifyWaiters() -> void;

    RoutersOptions options_;
    const Clock &clock_;
    Node &node_;
    coord::AcceptGate gate_;
    /// Never empty; recreated when leading begins.
    std::optional<coord::FailureDetector> detector_;
    bool leads_ = false;
    std::vector<Waiter> waiters_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ROUTERS_H
