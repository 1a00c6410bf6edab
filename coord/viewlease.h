// Leases by which an observer (a router) knows that its configuration is current.
//
// A change of configuration is accepted only once no observer can still act on
// the one before. Each observer renews a lease of length L from a majority of
// the voters. A voter renews only for an observer that has applied every
// configuration entry which that voter has *stored*, committed or not. A change
// is committed once a majority has stored it, and any two majorities share a
// voter, so from then on no observer renews without it: L (stretched by the
// clock-rate bound) after commit, every observer has applied it or has stopped
// taking work. The leader accepts sooner when every registered observer has
// acknowledged the change. Since any majority renews, an election alone stops
// nobody.
//
//   grantor (each voter):   onStored / onTruncated, then grant(request) -> reply
//   holder (each observer): request() -> send to all voters; onReply(); isCurrent()
//   accept gate (leader):   onCommitted, onAck; accepted(revision)
//
// Guarantees: no I/O, no clock of their own beyond the one given; memory is a
// few words an observer.

#ifndef FIGRACK_COORD_VIEWLEASE_H
#define FIGRACK_COORD_VIEWLEASE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

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
    std::uint64_t round = 0;
    bool granted = false;
    Revision required;        ///< What the observer must apply to be renewed.
    std::uint32_t voters = 0; ///< Size of the voter set, as this voter knows it.

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(voter, round, granted, required, voters);
    }
};

/// Beside each voter.
class ViewGrantor
{
public:
    explicit ViewGrantor(NodeId self);
    /// A configuration entry was stored in this voter's log.
    auto onStored(LogIndex index, Revision revision) -> void;
    /// Entries from an index on were cut.
    auto onTruncated(LogIndex from) -> void;
    /// Registered observers, from the applied state. A grant to others is refused.
    auto onRegistered(const NodeId &observer, Incarnation incarnation) -> void;
    auto onDeregistered(const NodeId &observer) -> void;
    /// @param voters size of the voter set; 0 while this replica is no voter
    auto grant(const RenewRequest &request, std::uint32_t voters) const -> RenewReply;

private:
    NodeId self_;
    std::map<LogIndex, Revision> stored_;
    std::map<NodeId, Incarnation> observers_;
};

struct ViewLeaseOptions
{
    Duration length = std::chrono::milliseconds { 1500 };
    Duration renewEvery = std::chrono::milliseconds { 300 };
    double maxClockDrift = 0.01;
};

/// Beside each observer.
class ViewHolder
{
public:
    ViewHolder(ViewLeaseOptions options, const Clock &clock, NodeId self, Incarnation incarnation);
    /// Starts a round. @return what to send to every voter
    auto request(Revision applied) -> RenewRequest;
    auto onReply(const RenewReply &reply) -> void;
    /// @return true while the lease holds: the configuration applied is current
    auto isCurrent() const -> bool;
    auto leaseEnd() const -> Instant;

private:
    struct Round
    {
        Instant sentAt;
        std::set<NodeId> grants;
    };
    ViewLeaseOptions options_;
    const Clock &clock_;
    NodeId self_;
    Incarnation incarnation_;
    std::uint64_t nextRound_ = 1;
    std::map<std::uint64_t, Round> rounds_;
    Instant leaseEnd_;
};

/// Beside the leader. A new leader starts with an empty gate and waits out the full length.
class AcceptGate
{
public:
    AcceptGate(ViewLeaseOptions options, const Clock &clock);
    /// The registered observers, from the applied state.
    auto setObservers(std::set<NodeId> observers) -> void;
    auto onCommitted(Revision revision) -> void;
    auto onAck(const NodeId &observer, Revision applied) -> void;
    /// @return true once the revision is in force everywhere
    auto accepted(Revision revision) const -> bool;
    /// @return the highest accepted revision
    auto acceptedUpTo() const -> Revision;

private:
    ViewLeaseOptions options_;
    const Clock &clock_;
    std::set<NodeId> observers_;
    std::map<NodeId, Revision> acks_;
    std::map<Revision, Instant> committed_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_VIEWLEASE_H
