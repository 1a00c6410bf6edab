// The inside of a Replica, shared by the files that each hold one concern:
//
//   replica.cpp       start, tick, receive, the public face
//   election.cpp      founding, pre-vote, votes, terms, transfer
//   replication.cpp   proposals, sending and taking entries, commit, apply, lease
//   memberchange.cpp  learners, promotion, removal, when a repair is complete
//   install.cpp       snapshots: taking, sending in parts, installing
//
// Not a public header.

#ifndef FIGRACK_COORD_REPLICAIMPL_H
#define FIGRACK_COORD_REPLICAIMPL_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/lease.h"
#include "coord/progress.h"
#include "coord/replica.h"
#include "coord/replicalog.h"
#include "coord/rolemachine.h"
#include "coord/snapshottransfer.h"

namespace figrack::coord {

class Replica::Impl
{
public:
    Impl(ReplicaOptions options, const Clock &clock, Transport &transport, LogStore &store,
         StateMachine &machine, Random &random);

    auto start() -> absl::Status;
    auto tick() -> void;
    auto receive(const Message &message) -> void;
    auto propose(std::string command) -> absl::StatusOr<LogIndex>;
    auto flush() -> void;
    auto holdsLease() const -> bool;
    auto leaseEnd() const -> Instant;
    auto addLearner(const Member &member) -> absl::StatusOr<LogIndex>;
    auto promote(const NodeId &node) -> absl::StatusOr<LogIndex>;
    auto remove(const NodeId &node) -> absl::StatusOr<LogIndex>;
    auto transferLeadership() -> absl::Status;
    auto repairComplete() const -> bool;
    auto status() const -> ReplicaStatus;
    auto progress() const -> std::vector<MemberProgress>;
    auto committedFrom(LogIndex from, std::size_t maxEntries) const
            -> std::optional<std::vector<Entry>>;
    auto setStoredHook(StoredHook hook) -> void;

private:
    /// What only a leader has; it goes when the role does.
    struct Leading
    {
        explicit Leading(Duration leaseLength)
            : lease(leaseLength)
        { }
        PeerTable peers;
        LeaderLease lease;
        LogIndex noopIndex; ///< Its own first entry.
        Instant since;
        Instant nextRoundAt;
        std::optional<NodeId> heir; ///< Leadership is being handed to it.
        bool heirTold = false;
        Instant transferDeadline;
        std::vector<Entry> pending; ///< Proposed and not flushed.
        std::size_t pendingBytes = 0;
    };
    struct SeenPeer
    {
        Incarnation incarnation;
        Term term;
    };

    // replica.cpp
    auto recover() -> absl::Status;
    auto adoptIdentity(const std::optional<Identity> &identity) -> absl::Status;
    auto fail(const absl::Status &status) -> bool;
    auto stopIfFailed() -> void;
    auto isAddressedHere(const Message &message) const -> bool;
    auto isCounted(const Message &message) const -> bool;
    auto send(const NodeId &node, Incarnation disk, Body body) -> void;
    auto reply(const Message &message, Body body) -> void;
    auto remember(const Message &message) -> void;
    auto seenTerm(const NodeId &node, Incarnation incarnation) const -> Term;
    auto isVoter() const -> bool;
    auto is(Role role) const -> bool { return roles_.role() == role; }
    auto isStopped() const -> bool { return is(Role::Stopped); }

    // election.cpp
    auto isFresh() const -> bool;
    auto isFounderInChief() const -> bool;
    auto tickLearner() -> void;
    auto tickFounding() -> void;
    auto onFoundingReply(const Message &message) -> void;
    auto found() -> void;
    auto resetElectionDeadline() -> void;
    auto hearsLeader() const -> bool;
    auto waitsAfterStart() const -> bool;
    auto logIsCurrent(const VoteRequest &request) const -> bool;
    auto saveVote(Term term, const NodeId &node, Incarnation incarnation) -> bool;
    auto adoptTerm(Term term) -> bool;
    auto stepDown() -> void;
    auto followLeader(const Message &message) -> bool;
    auto startPreVote() -> void;
    auto startElection(RoleEvent event, bool transfer) -> void;
    auto askForVotes(const VoteRequest &request) -> void;
    auto countVote(const NodeId &node) -> void;
    auto becomeLeader() -> void;
    auto wouldVote(const Message &message, const VoteRequest &request) const -> bool;
    auto grantVote(const Message &message, const VoteRequest &request) -> bool;
    auto on(const Message &message, const VoteRequest &request) -> void;
    auto on(const Message &message, const VoteReply &reply) -> void;
    auto on(const Message &message, const TransferRequest &request) -> void;
    auto tellHeir() -> void;

    // replication.cpp
    auto tickLeader() -> void;
    auto beginRound() -> void;
    auto broadcast() -> void;
    auto sendEntries(const NodeId &node, PeerProgress &peer) -> void;
    auto appendOwn(const std::vector<Entry> &entries) -> bool;
    auto makeEntry(EntryKind kind, std::string data) const -> Entry;
    auto advanceCommit() -> void;
    auto tellCommit() -> void;
    auto commitTo(LogIndex index) -> void;
    auto applyCommitted() -> void;
    auto renewLease() -> void;
    auto matchesPrevious(const AppendRequest &request) const -> bool;
    auto isOldCopy(const AppendRequest &request) const -> bool;
    auto conflictHint(const AppendRequest &request) const -> LogIndex;
    auto storeEntries(const AppendRequest &request) -> bool;
    auto on(const Message &message, const AppendRequest &request) -> void;
    auto on(const Message &message, const AppendReply &reply) -> void;
    auto onAccepted(PeerProgress &peer, const AppendReply &reply) -> void;
    auto heard(const Message &message, std::uint64_t round) -> PeerProgress *;

    // memberchange.cpp
    auto readyForChange() const -> absl::Status;
    auto changeMembership(const Membership &membership) -> absl::StatusOr<LogIndex>;
    auto mayStand() const -> bool;
    auto followMembership() -> void;
    auto leaveIfRemoved() -> void;
    auto isCaughtUp(const NodeId &node) const -> bool;
    auto heardOfLate(const NodeId &node) const -> bool;
    auto membershipChanging() const -> bool;

    // install.cpp
    auto snapshotIfDue() -> void;
    auto sendSnapshot(const NodeId &node, PeerProgress &peer) -> void;
    auto sendPart(const NodeId &node, SnapshotSend &sending, bool withData) -> void;
    auto currentImage() -> std::shared_ptr<const SnapshotImage>;
    auto installAssembled() -> bool;
    auto on(const Message &message, const SnapshotPart &part) -> void;
    auto on(const Message &message, const SnapshotReply &reply) -> void;

    ReplicaOptions options_;
    const Clock &clock_;
    Transport &transport_;
    LogStore &store_;
    StateMachine &machine_;
    Random &random_;

    RoleMachine roles_;
    ReplicaLog log_;
    Identity identity_;
    absl::Status failure_;
    Term term_;
    NodeId votedFor_;
    /// The disk voted for; unknown (0) after a restart, when the vote is not given a second time.
    Incarnation votedForDisk_;
    NodeId leader_;
    LogIndex commit_;
    LogIndex applied_;
    LogIndex snapshotIndex_; ///< Of the newest snapshot stored.

    bool startedFresh_ = false;
    Instant startedAt_;
    std::optional<Instant> leaderHeardAt_;
    Instant electionDeadline_;
    std::set<NodeId> votes_;
    std::map<NodeId, Incarnation> founders_; ///< That answered from empty disks.
    Instant nextFoundingAt_;
    std::map<NodeId, SeenPeer> seen_;

    std::optional<Leading> leading_;
    SnapshotAssembly assembly_;
    std::shared_ptr<const SnapshotImage> image_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_REPLICAIMPL_H
