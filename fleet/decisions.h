// What operators have decided: from the proposal over the commit to the acknowledgement.
//
//   auto decisions = Decisions { options, clock, store, metrics };
//   decisions.recall();
//   auto replica = coord::Replica { ..., decisions.log(), ... };
//   decisions.setReplica(&replica);
//   decisions.propose(document, done);      decisions.changeEvacuation(change, done);
//   decisions.settle(replica.status());     // after each call into the replica, and with each tick
//
// A decision is acknowledged when it is committed and the gateways that callers may
// be directed to have it in force, or have not reported so within rolloutTimeout
// (fleet/documentrollout.h). What is committed is also saved for a restart.
//
// Not thread-safe.

#ifndef FIGRACK_FLEET_DECISIONS_H
#define FIGRACK_FLEET_DECISIONS_H

#include <functional>
#include <string>

#include <absl/status/status.h>

#include "coord/replica.h"
#include "core/clock.h"
#include "fleet/configlog.h"
#include "fleet/documentrollout.h"
#include "fleet/lastknown.h"
#include "fleet/metrics.h"
#include "fleet/proposals.h"

namespace figrack::fleet {

struct DecisionOptions
{
    /// A change that is not committed within this time is answered with an unknown outcome.
    /// Endpoints and operators wait for one second.
    Duration proposalTimeout = std::chrono::milliseconds { 900 };
    /// How long to wait for gateways to apply a committed change before it is acknowledged. In a
    /// large fleet they take a few hundred milliseconds. A gateway that hangs delays every change
    /// by this time.
    Duration rolloutTimeout = std::chrono::milliseconds { 400 };
};

class Decisions
{
public:
    using Done = std::function<void(absl::Status)>;
    /// Called for each entry that was applied, and with each restored snapshot.
    using OnApplied = std::function<void(LogIndex, Revision document)>;
    /// All references must outlive this object.
    Decisions(DecisionOptions options, const Clock &clock, LastKnownStore &store, Metrics &metrics);
    Decisions(const Decisions &) = delete;
    auto operator=(const Decisions &) -> Decisions & = delete;

    /// Loads what was in force before a restart. Call it before any other function.
    auto recall() -> void;
    auto setOnApplied(OnApplied listener) -> void;
    /// @param onReserved called for each reservation of retries that was applied, with the term in
    /// which it was proposed; must not call the replica
    /// @param onRestored called when a snapshot has replaced entries that were not applied here
    auto setOnReserved(std::function<void(const RetryReservation &, Term)> onReserved,
                       std::function<void()> onRestored) -> void;
    /// @param replica runs log(); nullptr: there is none now, and pending proposals end
    auto setReplica(coord::Replica *replica) -> void;
    auto log() -> ConfigLog & { return log_; }
    auto log() const -> const ConfigLog & { return log_; }
    auto rollout() -> DocumentRollout & { return rollout_; }

    /// @return the newest document known to be committed. After a start, until the log has been
    /// applied, this is the one that was applied before the restart
    auto newestDocument() const -> const Document &;
    /// @return the newest evacuations known to be committed, likewise
    auto newestEvacuations() const -> const catalogue::Evacuations &;

    /// Call both only while the replica leads. @param done called once: OK when the change is
    /// committed or superseded, and is in force as stated above; otherwise the outcome is unknown
    auto propose(const Document &document, Done done) -> void;
    auto changeEvacuation(const catalogue::EvacuationChange &change, Done done) -> void;
    /// Reserves retries. Call it only while the replica leads. @param done called once: OK when the
    /// reservation is committed; otherwise the outcome is unknown
    auto reserveRetries(const RetryReservation &reservation, Done done) -> void;
    /// Completes proposals and saves what is newly committed.
    auto settle(const coord::ReplicaStatus &status) -> void;

private:
    /// @param onCommitted called once, with OK when the command is committed
    auto proposeCommand(const std::string &command, Done onCommitted) -> void;
    /// Proposes a command that gateways must apply before it counts as done.
    auto proposeForGateways(const std::string &command, std::function<proto::InForce()> target,
                            Done done) -> void;
    auto awaitRollout(const proto::InForce &target, Instant deadline, Done done) -> void;
    auto save() -> void;

    DecisionOptions options_;
    const Clock &clock_;
    LastKnownStore &store_;
    ConfigLog log_;
    Proposals proposals_;
    DocumentRollout rollout_;
    coord::Replica *replica_ = nullptr;
    OnApplied onApplied_;
    std::function<void()> onRestored_;
    Document recalledDocument_; ///< What was in force here before the start.
    catalogue::Evacuations recalledEvacuations_;
    proto::InForce saved_; ///< What is saved for a restart.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DECISIONS_H
