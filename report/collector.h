// Collects the request counts of all routers and counts each request once.
//
//   auto window = collector.wantedWindow(node, incarnation);   // ask the router for it
//   auto status = collector.absorb(node, incarnation, bytes);  // Recorder::encode()
//   auto page = collector.render(window, ReportFormat::Html, input);
//
// The leader requests the counts of every router once per pullInterval. A router instance
// is one run of a router process; a restart creates a new instance. A response contains
// complete time slots, and each slot replaces the one that the same router instance sent
// before. Responses that are duplicated, delayed or reordered therefore count no request
// twice. A router normally sends about the last minute. A collector that has received
// nothing from a router for some minutes, such as that of a new leader, requests all slots.
//
// Data loss: If a router fails, the counts since its last response are lost, which is at
// most pullInterval plus a round trip. If the leader fails, the counts of router instances
// that had already ended are lost, unless they were transferred with save() and restore();
// running instances are asked for all their counts again.
//
// A router instance has ended if a later instance of the same node has responded, or if no
// response has arrived for forgetAfter. Its counts are then merged into one pyramid, and
// later responses of that instance are rejected with Conflict.
//
// Not thread-safe. Memory is bounded by the number of running routers times the bound of a
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
    std::size_t maxSources = 4096; ///< Limit on the routers known at the same time.
    std::size_t maxRows = 8192;    ///< Limit on the rows of one slot (classes times targets).
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

    /// Adds the response of a router.
    /// @param incarnation of the router that responded
    /// @param bytes the result of Recorder::encode(); may be untrusted
    /// @return Malformed if the bytes cannot be decoded; Conflict if the router instance has
    ///         ended; Overloaded if there are already maxSources routers
    auto absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
            -> absl::Status;
    /// @return the window to request from a router now
    auto wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration;
    /// @param window 5 min, 1 h, 6 h, 3 days, or any other duration below 3 days
    auto merged(Duration window) -> MergedCounts;
    auto render(Duration window, ReportFormat format, const BurnInput &input) -> std::string;

    /// @return the complete state, for restore() in this or another process
    auto save() -> std::string;
    /// Replaces the complete state.
    /// @return Malformed if the bytes are not a result of save(); the state is then unchanged
    auto restore(std::string_view bytes) -> absl::Status;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_COLLECTOR_H
