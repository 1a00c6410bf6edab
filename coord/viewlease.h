// Leases by which an observer (a router) knows that its configuration is current.
//
// A change of configuration is accepted only once no observer can still act on
// the one before. Each observer renews a lease of length L from a majority of
// the voters. A voter renews only for an observer that has applied every
// configuration entry which that voter has *stored*, committed or not. A change
// is committed once a majority has stored it, and any two majorities share a
// voter, so from then on no observer renews without it: L (stretched by the
// clock-rate bound) after commit, every observer has applied it or has stopped
// taking work. The leader accepts sooner when every observer that may hold a
// lease has acknowledged the change. Since any majority renews, an election
// alone stops nobody. docs/design/configuration.md has the argument.
//
//   grantor (each voter):   onStored / onTruncated / onApplied; grant(request) -> reply
//   holder (each observer): request() -> send to all voters; onReply(); isCurrent()
//   accept gate (leader):   onRegistered, onCommitted, onAck; accepted(revision)
//
// Wiring that the guarantee rests on:
//  - a voter tells its grantor of an entry before it tells the leader that it
//    has stored it; after a restart it passes the recovered snapshot and entries
//    and only then calls onRecovered();
//  - the grantor is given the membership that the replica counts by: the latest
//    in its log, committed or not;
//  - an observer's incarnation is random, a new one each life of its process;
//  - the gate hears of every entry that concerns it, in log order and none left
//    out, also when several are applied at once.
//
// Guarantees: no I/O, no clock of their own beyond the one given; memory is a
// few words an observer and a word an unapplied entry. Not thread-safe.

#ifndef FIGRACK_COORD_VIEWLEASE_H
#define FIGRACK_COORD_VIEWLEASE_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <absl/status/status.h>

#include "coord/messages.h"
#include "coord/revisionpoll.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::coord {

/// Asks a voter to renew.
struct RenewRequest
{
    NodeId observer;
    Incarnation incarnation;
    Revision applied;        ///< The highest configuration revision in force at the observer.
    std::uint64_t round = 0; ///< Names the sending time on the observer's own clock.

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(observer, incarnation, applied, round);
    }
};

struct RenewReply
{
    NodeId voter;
    Incarnation incarnation; ///< Of the observer, as in the request.
    std::uint64_t round = 0;
    bool granted = false;
    Revision required;          ///< What the observer must apply to be renewed.
    std::uint32_t voters = 0;   ///< Size of the voter set, as this voter knows it.
    std::uint64_t voterSet = 0; ///< Fingerprint of that set: only equal ones count together.

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(voter, incarnation, round, granted, required, voters, voterSet);
    }
};

/// The voters that a grant is counted among.
struct VoterSet
{
    std::uint32_t size = 0; ///< 0: this replica is no voter and grants nothing.
    std::uint64_t fingerprint = 0;
    auto operator==(const VoterSet &) const -> bool = default;
};

/// @param membership the latest in the replica's log, committed or not
/// @param self the replica that would grant
auto voterSetOf(const Membership &membership, const NodeId &self) -> VoterSet;

/// Beside each voter.
class ViewGrantor
{
public:
    explicit ViewGrantor(NodeId self);

    /// A configuration change was stored in this voter's log.
    /// @param revision what the configuration will have if the change wins: expected + 1
    auto onStored(LogIndex index, Revision revision) -> void;
    /// The registration of an observer was stored: from here on its other lives get no grant.
    auto onRegistrationStored(LogIndex index, const NodeId &observer, Incarnation incarnation)
            -> void;
    /// The removal of an observer was stored: from here on that life gets no grant.
    auto onRemovalStored(LogIndex index, const NodeId &observer, Incarnation incarnation) -> void;
    /// Entries from an index on were cut.
    auto onTruncated(LogIndex from) -> void;
    /// Entries up to an index were applied, or a snapshot that covers them was restored.
    /// @param revision of the configuration there
    auto onApplied(LogIndex index, Revision revision) -> void;
    /// Registered observers, from the applied state. A grant to others is refused.
    auto onRegistered(const NodeId &observer, Incarnation incarnation) -> void;
    auto onDeregistered(const NodeId &observer) -> void;
    /// All that this voter had stored before it started has been passed in: it may grant.
    auto onRecovered() -> void { recovered_ = true; }

    /// @param voters from voterSetOf()
    auto grant(const RenewRequest &request, const VoterSet &voters) const -> RenewReply;
    /// @return what this voter requires; no voter's answer while it recovers
    auto answer(const RevisionQuery &query, const VoterSet &voters) const -> RevisionReply;
    /// @return what an observer must have applied to be renewed here
    auto required() const -> Revision;

private:
    /// A stored entry, not yet applied, after which some lives of an observer get no grant.
    struct Barrier
    {
        NodeId observer;
        Incarnation incarnation;
        bool removal = false; ///< Bars this life; else bars all others.
        auto bars(const RenewRequest &request) const -> bool;
    };
    auto isRegistered(const RenewRequest &request) const -> bool;
    auto isBarred(const RenewRequest &request) const -> bool;

    NodeId self_;
    bool recovered_ = false;
    Revision applied_;
    std::map<LogIndex, Revision> stored_; ///< Not yet applied.
    std::map<LogIndex, Barrier> barriers_;
    std::map<NodeId, Incarnation> observers_;
};

struct ViewLeaseOptions
{
    Duration length = std::chrono::milliseconds { 1500 };
    Duration renewEvery = std::chrono::milliseconds { 300 };
    double maxClockDrift = 0.01; ///< No clock runs faster than (1 + this) times another.

    /// @return BadSettings naming the option that cannot be used
    auto check() const -> absl::Status;
};

/// Beside each observer.
class ViewHolder
{
public:
    ViewHolder(ViewLeaseOptions options, const Clock &clock, NodeId self, Incarnation incarnation);
    /// Starts a round. @param applied the revision in force here, never falling
    /// @return what to send to every voter
    auto request(Revision applied) -> RenewRequest;
    auto onReply(const RenewReply &reply) -> void;
    /// @return true while the lease holds: the configuration applied is current
    auto isCurrent() const -> bool;
    auto leaseEnd() const -> Instant;

private:
    struct Round
    {
        Instant sentAt;
        std::map<std::uint64_t, std::set<NodeId>> grants; ///< By fingerprint of the voter set.
    };
    ViewLeaseOptions options_;
    const Clock &clock_;
    NodeId self_;
    Incarnation incarnation_;
    std::uint64_t nextRound_ = 1;
    std::map<std::uint64_t, Round> rounds_;
    Instant leaseEnd_;
};

/// Beside the leader, or beside every replica, so that a new leader has a warm one. A new gate
/// knows nothing of observers removed before: for one full length it accepts by time alone.
class AcceptGate
{
public:
    AcceptGate(ViewLeaseOptions options, const Clock &clock);
    /// The whole state was read back from a snapshot: who came and went before is not known.
    auto onRestored(const std::map<NodeId, Incarnation> &observers, Revision revision) -> void;
    /// A registration was applied. A former life may hold a lease for one more full length.
    auto onRegistered(const NodeId &observer, Incarnation incarnation) -> void;
    /// A removal was applied. The observer may hold a lease for one more full length.
    auto onDeregistered(const NodeId &observer) -> void;
    /// A change was applied that won. @param revision the change's own, not a later one
    auto onCommitted(Revision revision) -> void;
    auto onAck(const NodeId &observer, Incarnation incarnation, Revision applied) -> void;
    /// @return true once the revision is in force everywhere
    auto accepted(Revision revision) const -> bool;
    /// @return the highest accepted revision; never falls
    auto acceptedUpTo() const -> Revision;
    /// @return when, at the latest, a revision committed now is accepted
    auto latestAcceptance() const -> Instant { return clock_.now() + wait_; }

private:
    struct Observer
    {
        Incarnation incarnation;
        Revision acked;
    };
    auto add(const NodeId &observer, Incarnation incarnation) -> void;
    auto countOut(Revision acked) -> void;
    auto acceptByAcks() -> void;
    auto lowestAck() const -> Revision;

    const Clock &clock_;
    Duration wait_;        ///< After commit no observer can be current without the change.
    Instant unknownUntil_; ///< Till then an observer not listed may hold a lease.
    std::map<NodeId, Observer> observers_;
    /// How many observers have acknowledged just so much: an acknowledgement then costs the
    /// same however many observers there are.
    std::map<Revision, std::size_t> ackCounts_;
    std::map<Revision, Instant> committed_; ///< Not accepted by acks; the newest is kept.
    Revision acceptedByAcks_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_VIEWLEASE_H
