// Encodes a pyramid of counts as bytes and decodes it, using cereal.
//
//   auto bytes = encodeCounts(instanceId, window, pyramid);
//   auto decoded = decodeCounts(bytes, bounds);     // returns Malformed, throws no exception
//
// Each name is stored once in a table. Counters and bins that are zero are omitted.

#ifndef FIGRACK_REPORT_WIRE_H
#define FIGRACK_REPORT_WIRE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "report/counts.h"
#include "report/pyramid.h"

namespace figrack::report {

/// Decoded counts: those of one recorder for a window, at the time of encoding.
struct DecodedCounts
{
    std::uint64_t instanceId = 0; ///< Distinguishes a recorder from that of a previous process.
    Millis now = 0;               ///< In the recorder's own time base.
    Millis window = 0;
    std::vector<std::pair<SlotId, CountSlot>> slots;
};

/// Default limit on the length of encoded counts. It is well below the maximum frame size of the
/// internal protocol.
constexpr auto maxEncodedBytes = std::size_t { 8 } << 20;

/// @param instanceId of the recorder
/// @param window how far back the counts go, ms
/// @param maxBytes approximate limit on the length of the result; the oldest slots are left out
///        if it would be exceeded
/// @return bytes for decodeCounts()
auto encodeCounts(std::uint64_t instanceId, Millis window, const Pyramid<CountSlot> &counts,
                  std::size_t maxBytes = maxEncodedBytes) -> std::string;

/// @param bounds of the decoded slots
/// @return Malformed if the bytes are not valid encoded counts
auto decodeCounts(std::string_view bytes, const RowBounds &bounds) -> absl::StatusOr<DecodedCounts>;

} // namespace figrack::report

#endif // FIGRACK_REPORT_WIRE_H
