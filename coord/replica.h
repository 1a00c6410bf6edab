// One replica of a replicated log: elections with pre-vote, a leader's lease,
// group commit, learners, one-at-a-time membership change, leadership transfer.
//
//   auto replica = Replica { options, clock, transport, store, machine, random };
//   if (auto status = replica.start(); !status.ok()) return status;
//   // From one thread (or strand):
//   replica.receive(message);      // for each message from a peer
//   replica.tick();                // every options.tick
//   auto index = replica.propose(command);   // leader only
//   replica.flush();               // writes, syncs and sends what was proposed
//
// Guarantees: one leader a term; a committed entry is never lost while a
// majority of voters keeps its disks; entries reach the state machine once a
// life, in order. The leader's lease ends on its own clock before another
// replica can be elected, as long as no two clocks' rates differ by more than
// options.maxClockDrift. Memory is bounded by options.maxLogBytes and
// options.maxUncommitted of log, options.maxProposalBytes of proposals not yet
// flushed and options.maxSnapshotBytes of a snapshot on its way.
//
// Founding: the founder with the lowest name asks every founder for its disk's
// incarnation and founds the group once all have answered from empty disks. So
// a founder whose disk was wiped later founds nothing as long as one founder
// keeps its disk; it has another incarnation, and must be removed and added
// anew as a learner.
//
// An old copy of a data folder that was put back has the same incarnation, and
// what it has forgotten can be detected only by a peer that remembers it: every
// message names the highest term had from that disk, and a leader names what it
// acknowledged in this term. A replica that knows less stops with Corrupt, and
// since it neither votes nor stands for one election timeout after a start, a
// live leader's heartbeat reaches it first. It is NOT detected when no peer
// that is running and reachable remembers the newer state (all restarted since,
// or the leader changed and the copy misses entries but no term). The
// operator's rule is therefore: never put a replica's folder back from a copy
// or a VM snapshot; remove the member, delete the folder, add it as a learner.
//
// Not thread-safe: the embedder runs it on one strand.

#ifndef FIGRACK_COORD_REPLICA_H
#define FIGRACK_COORD_REPLICA_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "coord/logstore.h"
#include "coord/messages.h"
#include "coord/rolemachine.h"
#include "coord/transport.h"
#include "core/clock.h"
#include "core/random.h"

namespace figrack::coord {

/// The embedder's deterministic state. Called on the replica's strand.
class StateMachine
{
public:
    virtual ~StateMachine() = default;
    /// Applies one committed command entry. Must depend on nothing but the state and the entry.
    virtual auto apply(const Entry &entry) -> void = 0;
    /// @return the whole state at the last applied index
    virtual auto snapshot() const -> std::string = 0;
    /// Replaces the whole state. @param lastIndex the index it stands at
    virtual auto restore(std::string_view state, LogIndex lastIndex) -> absl::Status = 0;
};

struct ReplicaOptions
{
    std::string group = "figrack";
    Member self; ///< Its incarnation is taken from the store.
    /// The first membership, the same on every founding voter; unused once a log exists.
    /// Empty: this replica joins as a learner when the leader adds it.
    std::vector<Member> founders;
    Duration tick = std::chrono::milliseconds { 10 };
    Duration heartbeat = std::chrono::milliseconds { 50 };
    Duration electionTimeout = std::chrono::milliseconds { 500 }; ///< Randomised up to twice.
    double maxClockDrift = 0.01; ///< Bound on how far two clocks' rates differ.
    std::size_t maxBatchEntries = 512;
    std::size_t maxProposalBytes = 8U << 20;
    std::size_t maxMessageBytes = 1U << 20; ///< Of entries in one message; also bounds a command.
    std::size_t maxUncommitted = 16384;     ///< Entries; beyond it propose() is Overloaded.
    std::size_t maxLogBytes = 64U << 20;    ///< Applied entries past it are compacted away.
    std::size_t maxSnapshotBytes = 512U << 20;
    std::size_t snapshotEvery = 10000; ///< Applied entries between snapshots.
    std::size_t snapshotPartBytes = 256U << 10;
    std::size_t keepEntries = 2000; ///< Kept behind a snapshot for slow followers.

    /// @return BadSettings naming the option that cannot be used
    auto check() const -> absl::Status;
};

/// A replica's own account of itself.
struct ReplicaStatus
{
    Role role = Role::Stopped;
    Term term;
    NodeId leader; ///< Empty when unknown.
    LogIndex lastIndex;
    LogIndex commitIndex;
    LogIndex appliedIndex;
    Membership membership;
    Incarnation incarnation; ///< Of this replica's disk: what a leader's addLearner() must name.
    bool leaseHeld = false;
    bool membershipChanging = false;
    absl::Status failure; ///< Why it stopped, when Role::Stopped.
};

/// Progress of a membership change, for operators.
struct MemberProgress
{
    NodeId node;
    LogIndex matchIndex; ///< Durable there up to here, as far as this leader knows.
    bool caughtUp = false;
    bool recentlyHeard = false;
};

class Replica
{
public:
    /// @param options checked by start()
    /// @param clock,transport,store,machine,random outlive the replica
    Replica(ReplicaOptions options, const Clock &clock, Transport &transport, LogStore &store,
            StateMachine &machine, Random &random);
    ~Replica();
    Replica(const Replica &) = delete;
    auto operator=(const Replica &) -> Replica & = delete;

    /// Recovers from the store and starts as a follower or learner.
    /// @return BadSettings, Corrupt, DiskFailed or DiskFull
    auto start() -> absl::Status;
    auto tick() -> void;
    auto receive(const Message &message) -> void;

    /// Queues a command; it is sent by the next flush() or tick().
    /// @param command opaque to the replica
    /// @return the index it will have if this leader commits it; NotLeader, Overloaded
    auto propose(std::string command) -> absl::StatusOr<LogIndex>;
    /// Writes, syncs and sends all queued commands as one batch.
    auto flush() -> void;

    /// True while the leader's lease holds and its own first entry is applied: what it then
    /// reads from its state machine is the latest accepted state.
    auto holdsLease() const -> bool;
    /// When the lease now held ends on this clock; in the past when none is held.
    auto leaseEnd() const -> Instant;

    /// Changes one member; call on the leader. Adding always makes a learner, promotion needs
    /// a learner that has caught up fully.
    /// @return NotLeader, MembershipBusy, UnknownNode, Conflict
    auto addLearner(const Member &member) -> absl::StatusOr<LogIndex>;
    auto promote(const NodeId &node) -> absl::StatusOr<LogIndex>;
    auto remove(const NodeId &node) -> absl::StatusOr<LogIndex>;
    /// Hands leadership to the most caught-up voter; the lease is given up first.
    auto transferLeadership() -> absl::Status;
    /// True when the loss of any one more voter loses no committed entry: on a leader with a
    /// lease, when no change is pending, no learner lags, and every voter has been heard of late
    /// and has synced up to the commit index.
    auto repairComplete() const -> bool;

    auto status() const -> ReplicaStatus;
    auto progress() const -> std::vector<MemberProgress>;
    /// Entries from an index on that are committed, for feeds to observers.
    /// @param from the first index wanted
    /// @param maxEntries bound on the result
    /// @return the entries, or nullopt when they are compacted away: send a snapshot
    auto committedFrom(LogIndex from, std::size_t maxEntries) const
            -> std::optional<std::vector<Entry>>;
    /// Every entry stored here, committed or not, is passed to this as it is stored and, with
    /// stored == false, as it is truncated. A lease grantor must hear of changes before they
    /// commit.
    using StoredHook = std::function<void(const Entry &entry, bool stored)>;
    auto setStoredHook(StoredHook hook) -> void;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_REPLICA_H
