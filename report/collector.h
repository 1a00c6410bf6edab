// All routers' counts in one place, each request once.
//
//   auto window = collector.wantedWindow(node, incarnation);   // ask the router for it
//   auto status = collector.absorb(node, incarnation, bytes);  // Recorder::encode()
//   auto page = collector.render(window, ReportFormat::Html, input);
//
// The leader asks every router for its counts each pullInterval. Bytes hold whole slots
// of time, and a slot replaces what the same life of the same router sent for it before:
// answers that come twice, late or out of order count nothing twice. Ordinarily a router
// sends the last minute; a collector that heard nothing for some minutes, as a new leader
// has not, asks for all it has.
//
// What is lost: of a router that dies, what it counted after its last answer, so at most
// pullInterval and a round trip. Of a leader that dies, the counts of router lives that
// had ended before, unless save() and restore() carried them over; lives that go on are
// asked again for all.
//
// Counts of a life that ended (a later life of the node was heard, or nothing for
// forgetAfter) are merged into one pyramid, and later bytes of that life are refused as
// Conflict. Not thread-safe. Memory: bounded by the routers alive, each bounded by its
// Recorder, plus one pyramid.

#ifndef FIGRACK_REPORT_COLLECTOR_H
#define FIGRACK_REPORT_COLLECTOR_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "core/clock.h"
#include "core/ids.h"
#include "report/burn.h"

namespace figrack::report {

struct CollectorOptions
{
    Duration pullInterval = std::chrono::seconds { 10 };
    Duration forgetAfter = std::chrono::hours { 3 };
    std::size_t maxSources = 4096; ///< Router lives known at once.
    std::size_t maxRows = 8192;    ///< Classes times targets, of one slot.
};

enum class ReportFormat : std::uint8_t { Text, Json, Html };
/// @return "text", "json" or "html"
auto reportFormatName(ReportFormat format) -> std::string_view;

class Collector
{
public:
    Collector(const Clock &clock, CollectorOptions options);
    ~Collector();
    Collector(const Collector &) = delete;
    auto operator=(const Collector &) -> Collector & = delete;

    /// @param incarnation of the router that answered
    /// @param bytes of Recorder::encode(); from anywhere
    /// @return Malformed; Conflict for a life that has ended; Overloaded past maxSources
    auto absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
            -> absl::Status;
    /// @return the window to ask a router for now
    auto wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration;
    /// @param window one of 5 min, 1 h, 6 h, 3 d, or any shorter than 3 days
    auto merged(Duration window) -> MergedCounts;
    auto render(Duration window, ReportFormat format, const BurnInput &input) -> std::string;

    /// @return all that is known, for restore() by this or another process
    auto save() -> std::string;
    /// Replaces what is known. @return Malformed when the bytes are not of save()
    auto restore(std::string_view bytes) -> absl::Status;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_COLLECTOR_H
