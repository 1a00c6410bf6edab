// A snapshot as bytes in parts: how a leader packs one and a follower puts it together.
//
//   auto image = packSnapshot(snapshot);              // leader
//   auto part = snapshotPart(*image, offset, bytes);
//   auto next = assembly.take(part, term);            // follower: the offset wanted next
//   if (assembly.complete()) auto snapshot = assembly.unpack();
//
// Guarantees: an assembly holds one snapshot and at most the bound given; parts
// of another snapshot, or out of order, change nothing but that a first part
// starts over; unpacking takes any bytes without a crash.

#ifndef FIGRACK_COORD_SNAPSHOTTRANSFER_H
#define FIGRACK_COORD_SNAPSHOTTRANSFER_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "coord/logstore.h"
#include "coord/messages.h"
#include "coord/progress.h"

namespace figrack::coord {

/// @return the snapshot as it travels
auto packSnapshot(const Snapshot &snapshot) -> std::shared_ptr<const SnapshotImage>;
/// @return the part from an offset on, without a round
auto snapshotPart(const SnapshotImage &image, std::uint64_t offset, std::size_t maxBytes)
        -> SnapshotPart;

/// A snapshot being received.
class SnapshotAssembly
{
public:
    /// @param maxBytes a snapshot above it is refused
    explicit SnapshotAssembly(std::size_t maxBytes);
    /// Takes a part. @param term of the leader that sent it
    /// @return the offset wanted next
    auto take(const SnapshotPart &part, Term term) -> std::uint64_t;
    auto complete() const -> bool;
    /// @return the snapshot, or Malformed
    auto unpack() const -> absl::StatusOr<Snapshot>;
    auto clear() -> void;

private:
    std::size_t maxBytes_;
    bool active_ = false;
    Term term_;
    LogIndex lastIndex_;
    Term lastTerm_;
    std::uint64_t totalBytes_ = 0;
    std::string bytes_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_SNAPSHOTTRANSFER_H
