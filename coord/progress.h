// What a leader knows of each other member, and what a quorum of them makes of it.
//
//   auto peers = PeerTable {};
//   peers.follow(membership, self, lastIndex);     // on every change of members
//   peers.quorumIndex(membership, self, lastIndex); // durable on a majority of voters
//
// Guarantees: one record a listed disk; a disk that is no longer listed is
// forgotten, and its answers count for nothing.

#ifndef FIGRACK_COORD_PROGRESS_H
#define FIGRACK_COORD_PROGRESS_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coord/messages.h"
#include "core/clock.h"

namespace figrack::coord {

/// A snapshot in the form in which it travels.
struct SnapshotImage
{
    LogIndex lastIndex;
    Term lastTerm;
    std::string bytes;
};

/// A snapshot on its way to one peer.
struct SnapshotSend
{
    Incarnation disk; ///< The peer's.
    std::shared_ptr<const SnapshotImage> image;
    std::uint64_t offset = 0; ///< The peer has all bytes before it.
    Instant sentAt;           ///< When the part at offset was sent last.
};

struct PeerProgress
{
    Incarnation incarnation;
    LogIndex next;         ///< The first entry not yet sent.
    LogIndex match;        ///< Durable at the peer up to here.
    LogIndex matchAtRound; ///< match when the last round began: no move means resend.
    std::uint64_t ackRound = 0;
    Instant heardAt;
    std::optional<SnapshotSend> snapshot;
};

class PeerTable
{
public:
    /// Keeps a record for each listed disk but this one.
    auto follow(const Membership &membership, const NodeId &self, LogIndex lastIndex) -> void;
    /// @return the record of a listed disk, or nullptr
    auto find(const NodeId &node, Incarnation incarnation) -> PeerProgress *;
    auto find(const NodeId &node) const -> const PeerProgress *;
    auto all() -> std::map<NodeId, PeerProgress> & { return peers_; }
    auto all() const -> const std::map<NodeId, PeerProgress> & { return peers_; }

    /// @param selfVoter whether this replica is one of the voters
    /// @param selfIndex what is durable here
    /// @return the highest index durable on a majority of voters
    auto quorumIndex(const Membership &membership, bool selfVoter, LogIndex selfIndex) const
            -> LogIndex;
    /// @return the newest round answered by a majority of voters
    auto quorumRound(const Membership &membership, bool selfVoter, std::uint64_t selfRound) const
            -> std::uint64_t;
    /// @return the voter that is the furthest, of those heard since; nullptr when there is none
    auto mostCaughtUp(const Membership &membership, Instant heardSince) const -> const Member *;

private:
    std::map<NodeId, PeerProgress> peers_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_PROGRESS_H
