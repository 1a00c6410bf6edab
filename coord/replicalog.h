// The log as a replica works with it: entries in memory over a LogStore, and
// the memberships that they set.
//
//   auto log = ReplicaLog { store };
//   if (auto status = log.load(recovered); !status.ok()) return status;
//   log.append(entries);        // durable when it returns OK
//
// A membership is in effect from the moment its entry is appended, and the one
// before is in effect again when that entry is truncated.
//
// Guarantees: memory and store agree after every OK; after an error the caller
// stops. Indexes are contiguous. Memory is what lies after firstIndex().

#ifndef FIGRACK_COORD_REPLICALOG_H
#define FIGRACK_COORD_REPLICALOG_H

#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include "coord/logstore.h"
#include "coord/messages.h"

namespace figrack::coord {

class ReplicaLog
{
public:
    using StoredHook = std::function<void(const Entry &entry, bool stored)>;

    /// @param store outlives the log
    explicit ReplicaLog(LogStore &store);

    /// Takes over what the store recovered.
    /// @return Corrupt when the entries do not follow one another
    auto load(const Recovered &recovered) -> absl::Status;
    /// Tells the hook of all entries present and of later changes.
    auto setStoredHook(StoredHook hook) -> void;

    auto lastIndex() const -> LogIndex;
    auto lastTerm() const -> Term;
    /// @return the index before the first entry in memory
    auto baseIndex() const -> LogIndex { return baseIndex_; }
    /// @return the term at an index; nullopt when it is compacted away or past the end
    auto termAt(LogIndex index) const -> std::optional<Term>;
    /// @param index after baseIndex() and up to lastIndex()
    auto at(LogIndex index) const -> const Entry &;
    /// @return entries from an index on, bounded in number and, after the first, in bytes
    auto slice(LogIndex from, LogIndex upTo, std::size_t maxEntries, std::size_t maxBytes) const
            -> std::vector<Entry>;
    /// Bytes of entry data in memory.
    auto bytes() const -> std::size_t { return bytes_; }

    /// Appends in memory and in the store. @param entries follow lastIndex()
    auto append(const std::vector<Entry> &entries) -> absl::Status;
    /// The first half of append(): in memory only, so that sending and syncing overlap.
    auto stage(const std::vector<Entry> &entries) -> absl::Status;
    /// The second half: in the store. @param entries those staged
    auto persist(const std::vector<Entry> &entries) -> absl::Status;
    auto truncate(LogIndex from) -> absl::Status;
    /// Stores a snapshot of this replica's own state and forgets entries far behind it.
    /// @param keepEntries,keepBytes bounds on what is kept behind the snapshot
    auto compact(const Snapshot &snapshot, std::size_t keepEntries, std::size_t keepBytes)
            -> absl::Status;
    /// Replaces what a leader's snapshot covers. Entries after it stay when they follow from it.
    auto install(const Snapshot &snapshot) -> absl::Status;

    /// The membership in effect: that of the last membership entry, committed or not.
    auto membership() const -> const Membership &;
    /// @return the index of the entry that set it; 0 for an empty log
    auto membershipIndex() const -> LogIndex;
    /// @return the membership that was in effect at an index not compacted away
    auto membershipAt(LogIndex index) const -> const Membership &;

private:
    struct MembershipMark
    {
        LogIndex index;
        Membership membership;
    };

    auto add(const Entry &entry) -> absl::Status;
    auto dropBack() -> void;
    auto dropFront() -> void;
    auto forgetMarksBefore(LogIndex index) -> void;
    auto tell(const Entry &entry, bool stored) const -> void;

    LogStore &store_;
    StoredHook hook_;
    std::deque<Entry> entries_;
    LogIndex baseIndex_;
    Term baseTerm_;
    std::size_t bytes_ = 0;
    std::vector<MembershipMark> marks_; ///< Never empty; the first is at or before the base.
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_REPLICALOG_H
