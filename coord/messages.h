// What replicas of the log say to one another, as plain values.
//
// Every message carries the sender's term, the sender's disk incarnation and
// the group's id. A replica drops what comes from another group or is meant for
// another disk of its name, and counts votes and acknowledgements only from the
// disks that the membership lists. Requests are judged by term and log, since a
// replica that lags cannot know the newest members.

#ifndef FIGRACK_COORD_MESSAGES_H
#define FIGRACK_COORD_MESSAGES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace figrack::coord {

enum class EntryKind : std::uint8_t {
    Noop,       ///< A new leader's first entry.
    Command,    ///< For the embedder's state machine.
    Membership, ///< A serialized Membership.
};

/// One entry of the replicated log.
struct Entry
{
    Term term;
    LogIndex index;
    EntryKind kind = EntryKind::Noop;
    std::string data;
    auto operator==(const Entry &) const -> bool = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(term, index, kind, data);
    }
};

enum class MemberKind : std::uint8_t { Voter, Learner };

/// One replica as the membership lists it.
struct Member
{
    NodeId node;
    Incarnation incarnation; ///< Of its disk; a wiped disk has another.
    MemberKind kind = MemberKind::Learner;
    DomainId domain;
    std::string address; ///< "ip:port" of its peer listener.
    auto operator==(const Member &) const -> bool = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, kind, domain, address);
    }
};

/// The group's members; changed one member at a time through the log.
struct Membership
{
    std::vector<Member> members; ///< Sorted by node.
    auto operator==(const Membership &) const -> bool = default;
    /// @return the member, or nullptr
    auto find(const NodeId &node) const -> const Member *;
    auto voterCount() const -> std::size_t;
    /// @return voters needed to decide
    auto quorum() const -> std::size_t { return voterCount() / 2 + 1; }

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(members);
    }
};

/// Asks for a vote; a pre-vote asks whether a vote would be given and changes nothing.
struct VoteRequest
{
    bool preVote = false;
    bool transfer = false; ///< The leader asked for this election and has given up its lease.
    LogIndex lastIndex;
    Term lastTerm;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(preVote, transfer, lastIndex, lastTerm);
    }
};

struct VoteReply
{
    bool preVote = false;
    bool granted = false;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(preVote, granted);
    }
};

/// Entries, or a heartbeat when there are none.
struct AppendRequest
{
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    std::uint64_t round = 0; ///< Echoed, so that the leader knows when the round was sent.
    std::vector<Entry> entries;
    /// The highest entry that the receiver acknowledged in this term, with its term: a disk that
    /// no longer holds it is an old copy. 0 when it has acknowledged none.
    LogIndex knownMatch;
    Term knownTerm;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(previousIndex, previousTerm, commitIndex, round, entries, knownMatch, knownTerm);
    }
};

struct AppendReply
{
    bool accepted = false;
    LogIndex matchIndex; ///< Durable up to here, when accepted.
    LogIndex hintIndex;  ///< Where to go on from, when not.
    std::uint64_t round = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(accepted, matchIndex, hintIndex, round);
    }
};

/// One part of a snapshot.
struct SnapshotPart
{
    LogIndex lastIndex;
    Term lastTerm;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    std::uint64_t round = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(lastIndex, lastTerm, offset, totalBytes, data, round);
    }
};

struct SnapshotReply
{
    LogIndex lastIndex;
    std::uint64_t nextOffset = 0; ///< totalBytes when the snapshot is installed and durable.
    std::uint64_t round = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(lastIndex, nextOffset, round);
    }
};

/// Tells a caught-up voter to stand for election at once.
struct TransferRequest
{
    template<typename Archive>
    auto serialize(Archive & /*archive*/) -> void
    { }
};

using Body = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart,
                          SnapshotReply, TransferRequest>;

/// A message between replicas.
struct Message
{
    std::string group; ///< Id of the replica group, the same on all its members.
    NodeId from;
    Incarnation fromIncarnation;
    Term term;
    Body body;
    Incarnation
            toIncarnation {}; ///< The receiver's disk as the sender knows it; 0 when it does not.
    /// The highest term that the sender has had from that disk: one that remembers a lower term
    /// is an old copy.
    Term seenTerm {};

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(group, from, fromIncarnation, term, body, toIncarnation, seenTerm);
    }
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_MESSAGES_H
