// The routers that take part: joining, leaving, and whether a configuration is in force at all.
//
// On the leader a router joins by a command in the log; a life that is silent for
// long is removed. Each router's acknowledgement of a configuration revision comes
// with its renewals, which every control hears, so that a new leader's gate is
// warm. A change is accepted once every life of a router that may still act on an
// older configuration has acknowledged it or has lost its view lease
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
    Duration removeAfter = std::chrono::seconds { 60 }; ///< Of silence.
};

class Routers
{
public:
    /// @param clock,node outlive this
    Routers(RoutersOptions options, const Clock &clock, Node &node);

    auto onJoin(const Caller &caller, const proto::JoinRequest &request) -> void;
    auto onDrain(const Caller &caller, const proto::DrainNotice &notice) -> void;
    auto onRenew(const Caller &caller, const coord::RenewRequest &request) -> void;
    /// A sign of life, with the revision in force there.
    auto onActivity(const NodeId &router, Incarnation incarnation, Revision applied) -> void;

    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onRestored() -> void;
    /// Removes the silent, when leading, and tells waiters what has been accepted.
    auto tick() -> void;

    /// Calls back once a revision is in force everywhere, or with an error when this control
    /// stops leading first.
    auto whenAccepted(Revision revision, std::function<void(const absl::Status &)> done) -> void;
    /// @return the highest revision in force everywhere, as this control knows
    auto acceptedUpTo() const -> Revision { return gate_.acceptedUpTo(); }
    /// @return false for a router that has been silent for long
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
    std::optional<coord::FailureDetector> detector_; ///< Never empty; made anew on leading.
    bool leads_ = false;
    std::vector<Waiter> waiters_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ROUTERS_H
