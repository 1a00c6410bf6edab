// The bytes of a log segment and of a sealed file, apart from any disk.
//
//   auto bytes = encodeSegmentHeader(header) + encodeFrame(header.folder, 1, payload);
//   auto scan = scanSegment(bytes);
//
// A segment is a header and frames. One frame holds one batch, written and
// synced as a whole, under one checksum. A sealed file is one payload under one
// checksum.
//
// Guarantees: a frame is returned only when its checksum, its number and its
// folder fit; nothing here allocates by a length that the bytes do not back.

#ifndef FIGRACK_COORD_LOGSEGMENT_H
#define FIGRACK_COORD_LOGSEGMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"

namespace figrack::coord {

struct SegmentHeader
{
    std::uint64_t sequence = 0;   ///< Segments count up from 1.
    Incarnation folder;           ///< Of the data folder, so that files are not mixed up.
    std::uint64_t firstFrame = 0; ///< Number of the segment's first frame; counts on from before.
};

/// What the bytes of a segment hold.
struct SegmentScan
{
    SegmentHeader header;
    std::vector<std::string_view> payloads; ///< Of the good frames, into the bytes given.
    std::size_t goodBytes = 0;              ///< Up to the end of the last good frame.
    bool goodAfterBad = false; ///< A later frame is whole: what is bad was synced once.
};

auto encodeSegmentHeader(const SegmentHeader &header) -> std::string;
/// @param frame the frame's number
auto encodeFrame(Incarnation folder, std::uint64_t frame, std::string_view payload) -> std::string;
/// @return the good frames; Corrupt when the header is not good
auto scanSegment(std::string_view bytes) -> absl::StatusOr<SegmentScan>;

/// What a sealed file is for; part of its checksum.
enum class SealKind : std::uint8_t { Identity, Vote, Snapshot };

auto encodeSealed(SealKind kind, Incarnation folder, std::string_view payload) -> std::string;
/// @param folder the folder the file must be of; nullopt to accept any
/// @return the payload, into the bytes given; Corrupt
auto decodeSealed(SealKind kind, std::optional<Incarnation> folder, std::string_view bytes)
        -> absl::StatusOr<std::string_view>;

} // namespace figrack::coord

#endif // FIGRACK_COORD_LOGSEGMENT_H
