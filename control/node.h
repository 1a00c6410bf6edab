// Node holds this control's replica of the log, the tables that committed commands are applied
// to, and the view leases that this control grants to routers.
//
//   auto node = Node { options, clock, transport, store, random, defer };
//   node.setOnApplied([](const AppliedCommand &applied) { ... });
//   if (auto status = node.start(); !status.ok()) return status;
//   node.propose(command, [](const absl::StatusOr<AppliedCommand> &result) { ... });
//
// Commands proposed within one turn of the event loop are written, synced and sent as one
// batch: propose() uses `defer` to schedule one flush after all work that is already queued.
//
// Guarantees: a proposal's callback runs exactly once, after the listeners have been called
// for the command. NotLeader and Overloaded mean that the command was not accepted.
// OutcomeUnknown means that leadership was lost or no majority answered in time; the command
// may still be applied. Callbacks never run inside the replica, so they may propose.
//
// All functions must be called on one strand, except lease(), which any thread may read.

#ifndef FIGRACK_CONTROL_NODE_H
#define FIGRACK_CONTROL_NODE_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "control/leaseview.h"
#include "coord/replica.h"
#include "coord/viewlease.h"
#include "state/commands.h"
#include "state/tables.h"

namespace figrack::control {

/// One committed command and the result of applying it to the tables.
struct AppliedCommand
{
    LogIndex index;
    Term term;
    state::Command command;
    state::Applied applied;
};

/// Runs a function later on the strand, after all work that is queued there now.
using Defer = std::function<void(std::function<void()>)>;

struct NodeOptions
{
    coord::ReplicaOptions replica;
    Duration leaseMargin = std::chrono::milliseconds { 20 }; ///< See LeaseView.
    /// After this, a proposal fails with OutcomeUnknown.
    Duration proposalTimeout = std::chrono::seconds { 5 };
};

class Node final : private coord::StateMachine
{
public:
    using Done = std::function<void(const absl::StatusOr<AppliedCommand> &)>;

    /// @param clock,transport,store,random must outlive the node
    Node(NodeOptions options, const Clock &clock, coord::Transport &transport,
         coord::LogStore &store, Random &random, Defer defer);
    ~Node() override;

    /// @return OK, or the reason why the replica cannot start
    auto start() -> absl::Status;
    auto tick() -> void;
    auto receive(const coord::Message &message) -> void;
    /// @param command applied on every control once committed
    /// @param done called exactly once
    auto propose(const state::Command &command, Done done) -> void;
    /// @return this voter's answer to a router's request to renew its view lease
    auto grant(const coord::RenewRequest &request) const -> coord::RenewReply;

    /// Change membership and leadership, as in coord::Replica.
    auto addLearner(const coord::Member &member) -> absl::StatusOr<LogIndex>;
    auto promote(const NodeId &node) -> absl::StatusOr<LogIndex>;
    auto remove(const NodeId &node) -> absl::StatusOr<LogIndex>;
    auto transferLeadership() -> absl::Status;

    auto self() const -> const NodeId & { return options_.replica.self.node; }
    auto tables() const -> const state::Tables & { return tables_; }
    auto replica() const -> const coord::Replica & { return replica_; }
    auto status() const -> coord::ReplicaStatus { return replica_.status(); }
    /// @return true while this control leads and its tables hold the latest accepted state
    auto holdsLease() const -> bool { return replica_.holdsLease(); }
    auto lease() const -> const LeaseView & { return lease_; }

    /// Sets the listener that is called for each command after it was applied, in log order.
    auto setOnApplied(std::function<void(const AppliedCommand &)> listener) -> void;
    /// Sets the listener that is called after a snapshot replaced the tables.
    auto setOnRestored(std::function<void()> listener) -> void;

private:
    struct Proposal
    {
        Term term;
        Instant deadline;
        Done done;
    };

    auto apply(const coord::Entry &entry) -> void override;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view state, LogIndex lastIndex) -> absl::Status override;

    auto onStored(const coord::Entry &entry, bool stored) -> void;
    auto updateGrantor(const state::Command &command) -> void;
    auto registerAllRouters() -> void;
    auto scheduleFlush() -> void;
    /// Publishes the lease, then calls the listeners and callbacks for everything that the last
    /// call into the replica applied or failed.
    auto deliverApplied() -> void;
    auto completeProposal(const AppliedCommand &applied) -> void;
    auto failLostProposals(const coord::ReplicaStatus &status) -> void;
    auto endProposal(std::map<LogIndex, Proposal>::iterator item, const absl::Status &status)
            -> std::map<LogIndex, Proposal>::iterator;

    NodeOptions options_;
    const Clock &clock_;
    Defer defer_;
    /// Lets deferred work detect destruction.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    state::Tables tables_;
    coord::ViewGrantor grantor_;
    LeaseView lease_;
    coord::Replica replica_;
    std::function<void(const AppliedCommand &)> onApplied_;
    std::function<void()> onRestored_;
    std::map<LogIndex, Proposal> proposals_;
    std::deque<AppliedCommand> applied_; ///< Not yet passed to the listener.
    bool restored_ = false;
    bool flushScheduled_ = false;
    bool delivering_ = false;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_NODE_H
