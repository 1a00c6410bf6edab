// Durable storage of one replica: its identity, its vote, its log, its snapshot.
//
// FileLogStore (coord/filelogstore.h) keeps them under a data folder;
// coord/testing/ has an in-memory one that can lose what was not synced.
//
// Guarantees an implementation gives: when append(), truncate(), saveVote() or
// saveSnapshot() returns OK, its effect survives a crash of the VM. After any
// error the store refuses all further writes: the replica must stop.

#ifndef FIGRACK_COORD_LOGSTORE_H
#define FIGRACK_COORD_LOGSTORE_H

#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "coord/messages.h"

namespace figrack::coord {

/// Written once, when a data folder is first used.
struct Identity
{
    std::string group;
    NodeId node;
    Incarnation incarnation; ///< Random; another folder has another.
};

/// What a replica has promised in elections.
struct Vote
{
    Term term;
    NodeId votedFor; ///< Empty when no vote was given in this term.
};

struct Snapshot
{
    LogIndex lastIndex;
    Term lastTerm;
    Membership membership;
    std::string state; ///< From StateMachine::snapshot().
};

/// Everything a replica remembers at start.
struct Recovered
{
    std::optional<Identity> identity; ///< Absent on an empty disk.
    Vote vote;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries; ///< Contiguous, after the snapshot.
};

class LogStore
{
public:
    virtual ~LogStore() = default;
    /// Reads everything back. A torn tail is cut and logged.
    /// @return Corrupt for damage elsewhere; DiskFailed when it cannot be read
    virtual auto recover() -> absl::StatusOr<Recovered> = 0;
    /// @param identity written once; an error when one is there already
    virtual auto saveIdentity(const Identity &identity) -> absl::Status = 0;
    virtual auto saveVote(const Vote &vote) -> absl::Status = 0;
    /// Appends and syncs a batch. @param entries follow the last stored entry
    virtual auto append(const std::vector<Entry> &entries) -> absl::Status = 0;
    /// Removes entries from an index on. @param from the first index to go
    virtual auto truncate(LogIndex from) -> absl::Status = 0;
    /// Stores a snapshot and may drop the entries it covers.
    virtual auto saveSnapshot(const Snapshot &snapshot) -> absl::Status = 0;
    /// Entries kept before the snapshot's end, so that a slow follower need not take it whole.
    virtual auto readSnapshot() -> absl::StatusOr<Snapshot> = 0;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_LOGSTORE_H
