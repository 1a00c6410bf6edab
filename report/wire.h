// A pyramid of counts as bytes and back, by cereal.
//
//   auto bytes = encodeCounts({ life, window }, pyramid);
//   auto status = decodeCounts(bytes, head, slots);       // Malformed, never an exception
//
// Names stand once in a table, counters and bins only where they are not zero.

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

/// Counts decoded: what one recorder held for a window when it was asked.
struct DecodedCounts
{
    std::uint64_t life = 0; ///< Tells one life of a recorder from the next.
    Millis now = 0;         ///< On the recorder's own scale.
    Millis window = 0;
    std::vector<std::pair<SlotId, CountSlot>> slots;
};

/// Encoded counts stay below it, well within a frame of the inner protocol.
constexpr auto maxEncodedBytes = std::size_t { 8 } << 20;

/// @param life the recorder's
/// @param window how far back, ms
/// @param maxBytes about how long the result may be; the oldest slots are left out past it
/// @return bytes for decodeCounts()
auto encodeCounts(std::uint64_t life, Millis window, const Pyramid<CountSlot> &counts,
                  std::size_t maxBytes = maxEncodedBytes) -> std::string;

/// @param bounds of the slots made
/// @return Malformed when the bytes are no counts
auto decodeCounts(std::string_view bytes, const RowBounds &bounds) -> absl::StatusOr<DecodedCounts>;

} // namespace figrack::report

#endif // FIGRACK_REPORT_WIRE_H
