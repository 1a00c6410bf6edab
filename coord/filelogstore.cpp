// The log is only ever appended to: a truncation is a batch that says "cut from
// this index", so no file is changed in place and a crash leaves either the old
// log or the new one. Identity, vote and snapshot are replaced whole: written
// to a temporary name, synced, renamed, the directory synced.
//
// At recovery the last segment is copied to a new file, up to its last good
// batch. That cuts a torn tail, and it makes durable what the process before
// wrote and did not sync, even where a failed sync has left pages marked clean:
// the copy's pages are written anew. Earlier segments were synced before the
// next was begun.
//
// A data folder is born by its identity, which is written last: a folder
// without one holds no promise and is emptied, a folder with one must have its
// vote and its log.

#include "coord/filelogstore.h"

#include <algorithm>
#include <exception>
#include <iterator>

#include <fmt/format.h>

#include "core/check.h"
#include "core/error.h"
#include "core/log.h"
#include "core/serial.h"

namespace figrack::coord {

namespace {

constexpr auto segmentPrefix = std::string_view { "log-" };
constexpr auto temporarySuffix = std::string_view { ".tmp" };
constexpr auto lockName = std::string_view { "lock" };

/// What one frame of the log says.
struct Batch
{
    LogIndex cutFrom; ///< 0: cuts nothing.
    std::vector<Entry> entries;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(cutFrom, entries);
    }
};

struct StoredIdentity
{
    Identity identity;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(identity.group, identity.node, identity.incarnation);
    }
};

struct StoredVote
{
    Vote vote;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(vote.term, vote.votedFor);
    }
};

struct StoredSnapshot
{
    Snapshot snapshot;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(snapshot.lastIndex, snapshot.lastTerm, snapshot.membership, snapshot.state);
    }
};

/// The bytes have passed their checksum; a failure is one of this program.
template<typename T>
auto decode(std::string_view bytes, std::string_view file) -> absl::StatusOr<T>
{
    auto value = T {};
    if (auto status = deserialize(bytes, value); !status.ok()) {
        return makeError(
                ErrorKind::Corrupt,
                fmt::format("file={} reason=encoding detail=\"{}\"", file, errorArgument(status)));
    }
    return value;
}

auto sealName(SealKind kind) -> std::string
{
    switch (kind) {
    case SealKind::Identity:
        return "identity";
    case SealKind::Vote:
        return "vote";
    case SealKind::Snapshot:
        break;
    }
    return "snapshot";
}

auto segmentName(std::uint64_t sequence) -> std::string
{
    return fmt::format("{}{:020}", segmentPrefix, sequence);
}

auto corrupt(std::string_view file, std::string_view reason) -> absl::Status
{
    return makeError(ErrorKind::Corrupt, fmt::format("file={} reason={}", file, reason));
}

/// Replays one batch onto the log. @return false when it does not follow
auto replay(Batch batch, std::vector<Entry> &log) -> bool
{
    if (batch.cutFrom.value() != 0) {
        const auto keep = std::find_if(log.begin(), log.end(), [&](const Entry &entry) {
            return entry.index >= batch.cutFrom;
        });
        log.erase(keep, log.end());
    }
    for (auto &entry : batch.entries) {
        if (!log.empty() && entry.index != log.back().index.next())
            return false;
        log.push_back(std::move(entry));
    }
    return true;
}

} // namespace

FileLogStore::FileLogStore(FileLogStoreOptions options, Disk &disk)
    : options_(std::move(options))
    , disk_(disk)
{ }

auto FileLogStore::pathOf(std::string_view name) const -> std::string
{
    return fmt::format("{}/{}", options_.folder, name);
}

auto FileLogStore::ready() const -> absl::Status
{
    if (!failure_.ok())
        return failure_;
    FIGRACK_CHECK(recovered_, "a log store is recovered before it is written");
    return absl::OkStatus();
}

auto FileLogStore::remember(absl::Status status) -> absl::Status
{
    if (!status.ok() && failure_.ok()) {
        failure_ = status;
        LogEvent(LogLevel::Error, "log_store_failed").with("folder", options_.folder).with(status);
    }
    return status;
}

auto FileLogStore::recover() -> absl::StatusOr<Recovered>
{
    if (!failure_.ok())
        return failure_;
    FIGRACK_CHECK(!recovered_, "a log store is recovered once");
    if (auto status = openFolder(); !status.ok())
        return remember(status);
    auto recovered = recoverFiles();
    if (!recovered.ok())
        return remember(recovered.status());
    recovered_ = true;
    return recovered;
}

auto FileLogStore::openFolder() -> absl::Status
{
    if (auto status = disk_.makeFolder(options_.folder); !status.ok())
        return status;
    if (auto status = disk_.lock(pathOf(lockName)); !status.ok())
        return status;
    return removeTemporaries();
}

auto FileLogStore::removeTemporaries() -> absl::Status
{
    const auto names = disk_.list(options_.folder);
    if (!names.ok())
        return names.status();
    for (const auto &name : *names) {
        if (!name.ends_with(temporarySuffix))
            continue;
        if (auto status = disk_.remove(pathOf(name)); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

auto FileLogStore::recoverFiles() -> absl::StatusOr<Recovered>
{
    auto result = Recovered {};
    const auto identityBytes = readSealed(SealKind::Identity);
    if (!identityBytes.ok())
        return identityBytes.status();
    if (!*identityBytes) {
        if (auto status = discardUnborn(); !status.ok())
            return status;
        return result;
    }
    auto identity = decode<StoredIdentity>(**identityBytes, "identity");
    if (!identity.ok())
        return identity.status();
    identity_ = identity->identity;
    folder_ = identity_->incarnation;
    result.identity = identity_;

    const auto voteBytes = readSealed(SealKind::Vote);
    if (!voteBytes.ok())
        return voteBytes.status();
    if (!*voteBytes)
        return corrupt("vote", "missing");
    const auto vote = decode<StoredVote>(**voteBytes, "vote");
    if (!vote.ok())
        return vote.status();
    result.vote = vote->vote;

    const auto snapshotBytes = readSealed(SealKind::Snapshot);
    if (!snapshotBytes.ok())
        return snapshotBytes.status();
    if (*snapshotBytes) {
        auto snapshot = decode<StoredSnapshot>(**snapshotBytes, "snapshot");
        if (!snapshot.ok())
            return snapshot.status();
        result.snapshot = std::move(snapshot->snapshot);
        snapshot_ = SnapshotEnd { result.snapshot->lastIndex, result.snapshot->lastTerm };
    }
    auto entries = recoverLog(result.snapshot);
    if (!entries.ok())
        return entries.status();
    result.entries = *std::move(entries);
    return result;
}

/// Empties a folder whose identity was never written: nothing in it was promised to anyone.
auto FileLogStore::discardUnborn() -> absl::Status
{
    const auto names = disk_.list(options_.folder);
    if (!names.ok())
        return names.status();
    for (const auto &name : *names) {
        const auto isSegment = name.starts_with(segmentPrefix);
        if (name == sealName(SealKind::Snapshot) || (isSegment && name != segmentName(1)))
            return corrupt("identity", "missing");
        if (!isSegment && name != sealName(SealKind::Vote))
            continue;
        const auto bytes = disk_.read(pathOf(name));
        if (!bytes.ok())
            return bytes.status();
        const auto scan = isSegment ? scanSegment(bytes->value_or("")) : SegmentScan {};
        if (!scan.ok() || !scan->payloads.empty())
            return corrupt("identity", "missing");
        if (auto status = disk_.remove(pathOf(name)); !status.ok())
            return status;
    }
    return disk_.syncDirectory(options_.folder);
}

auto FileLogStore::readSealed(SealKind kind) -> absl::StatusOr<std::optional<std::string>>
{
    const auto name = sealName(kind);
    auto bytes = disk_.read(pathOf(name));
    if (!bytes.ok())
        return bytes.status();
    if (!*bytes)
        return std::nullopt;
    const auto folder = identity_ ? std::optional { folder_ } : std::nullopt;
    const auto payload = decodeSealed(kind, folder, **bytes);
    if (!payload.ok())
        return makeError(ErrorKind::Corrupt,
                         fmt::format("file={} {}", pathOf(name), errorArgument(payload.status())));
    return std::string { *payload };
}

auto FileLogStore::replaceFile(const std::string &name, std::string_view bytes)
        -> absl::StatusOr<std::unique_ptr<DiskFile>>
{
    const auto temporary = pathOf(name) + std::string { temporarySuffix };
    auto file = disk_.openAppend(temporary);
    if (!file.ok())
        return file.status();
    if (auto status = (*file)->append(bytes); !status.ok())
        return status;
    if (auto status = (*file)->sync(); !status.ok())
        return status;
    if (auto status = disk_.rename(temporary, pathOf(name)); !status.ok())
        return status;
    if (auto status = disk_.syncDirectory(options_.folder); !status.ok())
        return status;
    return file;
}

auto FileLogStore::writeSealed(SealKind kind, std::string_view payload) -> absl::Status
{
    return replaceFile(sealName(kind), encodeSealed(kind, folder_, payload)).status();
}

auto FileLogStore::segmentNames() -> absl::StatusOr<std::vector<std::string>>
{
    auto names = disk_.list(options_.folder);
    if (!names.ok())
        return names.status();
    std::erase_if(*names, [](const std::string &name) { return !name.starts_with(segmentPrefix); });
    return names;
}

auto FileLogStore::recoverLog(const std::optional<Snapshot> &snapshot)
        -> absl::StatusOr<std::vector<Entry>>
{
    const auto names = segmentNames();
    if (!names.ok())
        return names.status();
    if (names->empty())
        return corrupt("log", "missing");
    auto log = std::vector<Entry> {};
    for (const auto &name : *names) {
        auto bytes = disk_.read(pathOf(name));
        if (!bytes.ok())
            return bytes.status();
        const auto segment = LoadedSegment { name, std::move(*bytes).value_or("") };
        const auto isLast = name == names->back();
        if (auto status = replaySegment(segment, isLast, log); !status.ok())
            return status;
    }
    if (!snapshot && !log.empty() && log.front().index != LogIndex { 1 })
        return corrupt("snapshot", "missing");
    return fitToSnapshot(std::move(log));
}

auto FileLogStore::replaySegment(const LoadedSegment &segment, bool isLast, std::vector<Entry> &log)
        -> absl::Status
{
    const auto scan = scanSegment(segment.bytes);
    if (!scan.ok())
        return corrupt(pathOf(segment.name), errorArgument(scan.status()));
    const auto &header = scan->header;
    if (header.folder != folder_ || segmentName(header.sequence) != segment.name)
        return corrupt(pathOf(segment.name), "other_folder");
    const auto follows = segments_.empty()
            || (header.sequence == segments_.rbegin()->first + 1
                && header.firstFrame == nextFrame_);
    if (!follows)
        return corrupt(pathOf(segment.name), "segment_before_it_missing");
    const auto whole = scan->goodBytes == segment.bytes.size();
    if (!whole && (!isLast || scan->goodAfterBad))
        return corrupt(pathOf(segment.name), fmt::format("checksum offset={}", scan->goodBytes));

    nextFrame_ = header.firstFrame + scan->payloads.size();
    auto &highest = segments_[header.sequence];
    for (const auto payload : scan->payloads) {
        auto batch = decode<Batch>(payload, segment.name);
        if (!batch.ok())
            return batch.status();
        if (!batch->entries.empty())
            highest = std::max(highest, batch->entries.back().index);
        if (!replay(*std::move(batch), log))
            return corrupt(pathOf(segment.name), "entries_not_contiguous");
    }
    return isLast ? reopenLast(segment, scan->goodBytes) : absl::OkStatus();
}

auto FileLogStore::reopenLast(const LoadedSegment &segment, std::size_t goodBytes) -> absl::Status
{
    if (goodBytes != segment.bytes.size()) {
        LogEvent(LogLevel::Warning, "log_tail_cut")
                .with("file", pathOf(segment.name))
                .with("offset", std::uint64_t { goodBytes })
                .with("bytes", std::uint64_t { segment.bytes.size() - goodBytes });
    }
    auto file = replaceFile(segment.name, std::string_view { segment.bytes }.substr(0, goodBytes));
    if (!file.ok())
        return file.status();
    active_ = *std::move(file);
    activeBytes_ = goodBytes;
    return absl::OkStatus();
}

/// Takes the entries after the snapshot, and finishes the installation of a snapshot that a
/// crash broke off: when the log does not hold the snapshot's last entry, it is of another
/// history, or ends before it, and goes.
auto FileLogStore::fitToSnapshot(std::vector<Entry> log) -> absl::StatusOr<std::vector<Entry>>
{
    firstIndex_ = LogIndex { 1 };
    if (!log.empty())
        firstIndex_ = log.front().index;
    else if (snapshot_)
        firstIndex_ = snapshot_->index.next();
    lastIndex_ = LogIndex { firstIndex_.value() - 1 };
    noteAppended(log);
    if (!snapshot_ || log.empty())
        return log;
    const auto end = snapshot_->index;
    if (firstIndex_ > end.next())
        return corrupt("snapshot", "older_than_log");
    if (firstIndex_ <= end && termAt(end) != snapshot_->term) {
        if (auto status = writeBatch(LogIndex { 1 }, {}); !status.ok())
            return status;
        noteCut(LogIndex { 1 });
        firstIndex_ = end.next();
        lastIndex_ = end;
        return std::vector<Entry> {};
    }
    std::erase_if(log, [&](const Entry &entry) { return entry.index <= end; });
    return log;
}

auto FileLogStore::saveIdentity(const Identity &identity) -> absl::Status
{
    if (auto status = ready(); !status.ok())
        return status;
    if (identity_)
        return makeError(ErrorKind::Conflict,
                         fmt::format("folder={} already belongs to node={}", options_.folder,
                                     identity_->node.value()));
    folder_ = identity.incarnation;
    firstIndex_ = LogIndex { 1 };
    if (auto status = startSegment(1); !status.ok())
        return remember(status);
    if (auto status = writeSealed(SealKind::Vote, serialize(StoredVote {})); !status.ok())
        return remember(status);
    const auto payload = serialize(StoredIdentity { identity });
    if (auto status = writeSealed(SealKind::Identity, payload); !status.ok())
        return remember(status);
    identity_ = identity;
    return absl::OkStatus();
}

auto FileLogStore::saveVote(const Vote &vote) -> absl::Status
{
    if (auto status = ready(); !status.ok())
        return status;
    FIGRACK_CHECK(identity_.has_value(), "a vote is saved under an identity");
    return remember(writeSealed(SealKind::Vote, serialize(StoredVote { vote })));
}

auto FileLogStore::append(const std::vector<Entry> &entries) -> absl::Status
{
    if (auto status = ready(); !status.ok())
        return status;
    if (entries.empty())
        return absl::OkStatus();
    FIGRACK_CHECK(identity_.has_value(), "entries are stored under an identity");
    for (auto i = std::size_t { 0 }; i < entries.size(); ++i)
        FIGRACK_CHECK(entries[i].index.value() == lastIndex_.value() + 1 + i,
                      "stored entries are contiguous");
    if (auto status = writeBatch(LogIndex {}, entries); !status.ok())
        return remember(status);
    noteAppended(entries);
    return absl::OkStatus();
}

auto FileLogStore::truncate(LogIndex from) -> absl::Status
{
    if (auto status = ready(); !status.ok())
        return status;
    FIGRACK_CHECK(from.value() > 0, "the log begins at index 1");
    FIGRACK_CHECK(!snapshot_ || from > snapshot_->index, "what a snapshot covers is committed");
    if (from > lastIndex_)
        return absl::OkStatus();
    if (auto status = writeBatch(from, {}); !status.ok())
        return remember(status);
    noteCut(from);
    return absl::OkStatus();
}

auto FileLogStore::saveSnapshot(const Snapshot &snapshot) -> absl::Status
{
    if (auto status = ready(); !status.ok())
        return status;
    FIGRACK_CHECK(identity_.has_value(), "a snapshot is stored under an identity");
    FIGRACK_CHECK(!snapshot_ || snapshot.lastIndex >= snapshot_->index,
                  "a snapshot never goes back");
    const auto payload = serialize(StoredSnapshot { snapshot });
    if (auto status = writeSealed(SealKind::Snapshot, payload); !status.ok())
        return remember(status);
    const auto end = snapshot.lastIndex;
    const auto inLog = termAt(end) == snapshot.lastTerm;
    snapshot_ = SnapshotEnd { end, snapshot.lastTerm };
    if (inLog) {
        forgetTermsBefore(end);
    } else if (end.next() != firstIndex_) {
        if (auto status = writeBatch(LogIndex { 1 }, {}); !status.ok())
            return remember(status);
        noteCut(LogIndex { 1 });
        firstIndex_ = end.next();
        lastIndex_ = end;
    }
    return remember(dropCovered());
}

auto FileLogStore::readSnapshot() -> absl::StatusOr<Snapshot>
{
    if (auto status = ready(); !status.ok())
        return status;
    const auto bytes = readSealed(SealKind::Snapshot);
    if (!bytes.ok())
        return bytes.status();
    if (!*bytes)
        return corrupt("snapshot", "missing");
    auto snapshot = decode<StoredSnapshot>(**bytes, "snapshot");
    if (!snapshot.ok())
        return snapshot.status();
    return std::move(snapshot->snapshot);
}

auto FileLogStore::startSegment(std::uint64_t sequence) -> absl::Status
{
    const auto header = encodeSegmentHeader({ sequence, folder_, nextFrame_ });
    auto file = replaceFile(segmentName(sequence), header);
    if (!file.ok())
        return file.status();
    active_ = *std::move(file);
    activeBytes_ = header.size();
    segments_[sequence] = LogIndex {};
    return absl::OkStatus();
}

auto FileLogStore::writeBatch(LogIndex cutFrom, const std::vector<Entry> &entries) -> absl::Status
{
    if (activeBytes_ >= options_.segmentBytes) {
        if (auto status = startSegment(segments_.rbegin()->first + 1); !status.ok())
            return status;
    }
    const auto frame = encodeFrame(folder_, nextFrame_, serialize(Batch { cutFrom, entries }));
    if (auto status = active_->append(frame); !status.ok())
        return status;
    if (auto status = active_->sync(); !status.ok())
        return status;
    ++nextFrame_;
    activeBytes_ += frame.size();
    if (!entries.empty()) {
        auto &highest = segments_.rbegin()->second;
        highest = std::max(highest, entries.back().index);
    }
    return absl::OkStatus();
}

/// Each removal is made durable before the next, so that no gap can appear in the sequence.
auto FileLogStore::dropCovered() -> absl::Status
{
    while (segments_.size() > std::max<std::size_t>(options_.keepSegments, 1)) {
        const auto [sequence, highest] = *segments_.begin();
        if (highest > snapshot_->index)
            break;
        if (auto status = disk_.remove(pathOf(segmentName(sequence))); !status.ok())
            return status;
        if (auto status = disk_.syncDirectory(options_.folder); !status.ok())
            return status;
        segments_.erase(segments_.begin());
    }
    return absl::OkStatus();
}

auto FileLogStore::noteAppended(const std::vector<Entry> &entries) -> void
{
    for (const auto &entry : entries) {
        if (termStarts_.empty() || termStarts_.rbegin()->second != entry.term)
            termStarts_[entry.index] = entry.term;
        lastIndex_ = entry.index;
    }
}

auto FileLogStore::noteCut(LogIndex from) -> void
{
    termStarts_.erase(termStarts_.lower_bound(from), termStarts_.end());
    lastIndex_ = LogIndex { from.value() - 1 };
    firstIndex_ = std::min(firstIndex_, from);
}

/// Nobody asks for the term of an entry before a snapshot's end.
auto FileLogStore::forgetTermsBefore(LogIndex index) -> void
{
    const auto run = std::prev(termStarts_.upper_bound(index));
    termStarts_.erase(termStarts_.begin(), run);
    firstIndex_ = index;
}

auto FileLogStore::termAt(LogIndex index) const -> std::optional<Term>
{
    if (index < firstIndex_ || index > lastIndex_)
        return std::nullopt;
    const auto after = termStarts_.upper_bound(index);
    return after == termStarts_.begin() ? std::nullopt : std::optional { std::prev(after)->second };
}

} // namespace figrack::coord
