// Durable storage of one replica in files under one data folder.
//
//   auto disk = PosixDisk {};
//   auto store = FileLogStore { { .folder = "data/coord" }, disk };
//   auto recovered = store.recover();          // takes the folder's lock
//   if (!recovered->identity) store.saveIdentity(identity);
//   store.append(entries);                     // one write, one sync
//
//   lock                      held while the process lives
//   identity, vote, snapshot  one checksummed payload each, replaced by rename
//   log-<sequence>            segments of checksummed batches, only appended to
//   *.tmp                     unfinished replacements, removed at recovery
//
// Guarantees: those of LogStore. What recover() returned is durable, also when
// the process before died between a write and its sync. A torn last batch is
// cut and logged; damage anywhere else is Corrupt with a remedy. After the
// first error of a write every later one is refused with that same error: a
// failed sync is never tried again. Memory is a few words a segment and a term.
//
// Not thread-safe.

#ifndef FIGRACK_COORD_FILELOGSTORE_H
#define FIGRACK_COORD_FILELOGSTORE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/disk.h"
#include "coord/logsegment.h"
#include "coord/logstore.h"

namespace figrack::coord {

struct FileLogStoreOptions
{
    std::string folder;                    ///< Its parent must exist.
    std::uint64_t segmentBytes = 4U << 20; ///< A segment past this size is closed.
    /// Segments kept even when a snapshot covers them, for a repair by hand.
    std::size_t keepSegments = 2;
};

class FileLogStore final : public LogStore
{
public:
    /// @param disk outlives the store
    FileLogStore(FileLogStoreOptions options, Disk &disk);
    /// @return also BadSettings when another process holds the folder
    auto recover() -> absl::StatusOr<Recovered> override;
    auto saveIdentity(const Identity &identity) -> absl::Status override;
    auto saveVote(const Vote &vote) -> absl::Status override;
    auto append(const std::vector<Entry> &entries) -> absl::Status override;
    auto truncate(LogIndex from) -> absl::Status override;
    auto saveSnapshot(const Snapshot &snapshot) -> absl::Status override;
    auto readSnapshot() -> absl::StatusOr<Snapshot> override;

private:
    /// The part of a snapshot that the log must fit.
    struct SnapshotEnd
    {
        LogIndex index;
        Term term;
    };
    struct LoadedSegment
    {
        std::string name;
        std::string bytes;
    };

    auto pathOf(std::string_view name) const -> std::string;
    /// Refuses writes before recovery and after an error.
    auto ready() const -> absl::Status;
    /// Keeps the first error. @return status
    auto remember(absl::Status status) -> absl::Status;

    auto openFolder() -> absl::Status;
    auto removeTemporaries() -> absl::Status;
    auto recoverFiles() -> absl::StatusOr<Recovered>;
    auto discardUnborn() -> absl::Status;
    auto readSealed(SealKind kind) -> absl::StatusOr<std::optional<std::string>>;
    auto replaceFile(const std::string &name, std::string_view bytes)
            -> absl::StatusOr<std::unique_ptr<DiskFile>>;
    auto writeSealed(SealKind kind, std::string_view payload) -> absl::Status;

    auto segmentNames() -> absl::StatusOr<std::vector<std::string>>;
    auto recoverLog(const std::optional<Snapshot> &snapshot) -> absl::StatusOr<std::vector<Entry>>;
    auto replaySegment(const LoadedSegment &segment, bool isLast, std::vector<Entry> &log)
            -> absl::Status;
    auto reopenLast(const LoadedSegment &segment, std::size_t goodBytes) -> absl::Status;
    auto fitToSnapshot(std::vector<Entry> log) -> absl::StatusOr<std::vector<Entry>>;

    auto startSegment(std::uint64_t sequence) -> absl::Status;
    /// Writes and syncs one batch: cut from an index (0: no cut), then add entries.
    auto writeBatch(LogIndex cutFrom, const std::vector<Entry> &entries) -> absl::Status;
    auto dropCovered() -> absl::Status;
    auto noteAppended(const std::vector<Entry> &entries) -> void;
    auto noteCut(LogIndex from) -> void;
    auto forgetTermsBefore(LogIndex index) -> void;
    /// @return the term of a stored entry; nullopt when it is not stored
    auto termAt(LogIndex index) const -> std::optional<Term>;

    FileLogStoreOptions options_;
    Disk &disk_;
    bool locked_ = false;
    bool recovered_ = false;
    absl::Status failure_;
    std::optional<Identity> identity_;
    Incarnation folder_;
    std::optional<SnapshotEnd> snapshot_;

    /// Highest entry index that a segment ever held, by sequence.
    std::map<std::uint64_t, LogIndex> segments_;
    std::unique_ptr<DiskFile> active_;
    std::uint64_t activeBytes_ = 0;
    std::uint64_t nextFrame_ = 1;
    LogIndex firstIndex_; ///< First entry whose term is known; lastIndex_ + 1 when none is.
    LogIndex lastIndex_;
    std::map<LogIndex, Term> termStarts_; ///< Where each run of equal terms begins.
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_FILELOGSTORE_H
