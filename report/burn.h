// The error budget report: how each request class performs against its service-level
// targets, and which refusals, failures and cold starts contributed to the misses.
//
//   auto report = makeBurnReport(merged, input);
//   auto text = renderText(report);           // also renderJson(), renderHtml()
//
// Terms:
// - Eligible requests: all requests except those that the caller cancelled and those that
//   were refused because of what the caller sent (see counts.h).
// - Share met: the fraction of eligible requests that met the target.
// - Error budget: the fraction that may miss the target, 1 - share.
// - Burn rate: the fraction that missed the target divided by the error budget. A burn
//   rate of 1 uses up exactly the budget.
// - Budget left: 1 - burn rate, for the window.
//
// The functions have no side effects: they map plain values to plain values or text.

#ifndef FIGRACK_REPORT_BURN_H
#define FIGRACK_REPORT_BURN_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "report/counts.h"
#include "report/pyramid.h"

namespace figrack::report {

/// A request class and its targets, from the active configuration.
struct ClassGoal
{
    ClassId id;
    Millis start = 2000;   ///< Target for the time to the first token, ms.
    Millis finish = 30000; ///< Target for the time to the last token, ms.
    double share = 0.95;   ///< Fraction of requests that must meet each target.
};

/// Accelerator time for which replicas of a model were idle, and why they were kept loaded.
struct IdleRow
{
    ModelId model;
    std::string reason; ///< From the planner's decision: "predicted", "demand", ...
    double acceleratorHours = 0;
};

/// Input of the report that is not part of the counts; the control process provides it.
struct BurnInput
{
    std::vector<ClassGoal> classes;
    std::vector<IdleRow> idle; ///< For the window of the report; see IdleMeter.
};

/// Counts of one class in one window.
struct WindowCounts
{
    std::uint64_t eligible = 0;
    std::uint64_t metStart = 0;
    std::uint64_t metFinish = 0;
};

/// Counts of one class in one interval of the window.
struct TimelinePoint
{
    std::string classId;
    Millis startAgo = 0; ///< Age at the time of the report, ms.
    Millis endAgo = 0;   ///< Age at the time of the report, ms.
    WindowCounts counts;
};

/// How long ago a router's counts were last received.
struct SourceAge
{
    NodeId node;
    Millis heardAgo = 0; ///< ms
};

/// Merged counts of all routers; each request is counted once.
struct MergedCounts
{
    Millis window = 0;
    std::map<RowKey, Row> rows;
    /// Indexed by level of pyramidLevels, then by class.
    std::array<std::map<std::string, WindowCounts>, pyramidLevels.size()> windows;
    std::vector<TimelinePoint> timeline;
    std::vector<SourceAge> sources;
};

/// Error budget figures for one target, start or finish.
struct Burn
{
    double shareMet = 1;
    double burnRate = 0;
    double budgetLeft = 1; ///< Negative if more requests missed the target than the budget allows.
};

struct Percentiles
{
    double p50 = 0;  ///< ms
    double p95 = 0;  ///< ms
    double p99 = 0;  ///< ms
    double p999 = 0; ///< ms
};

struct ReasonCount
{
    std::string name; ///< From errorName().
    std::uint64_t count = 0;
};

/// One class, or one model or service within a class.
struct BurnLine
{
    std::string classId;
    std::string target; ///< Empty for the whole class.
    ClassGoal goal;
    bool hasGoal = false; ///< False if the configuration no longer contains the class.
    std::uint64_t eligible = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t callerFault = 0;
    std::uint64_t cold = 0;
    Burn start;
    Burn finish;
    Percentiles startMs;
    Percentiles finishMs;
    Percentiles coldMs;
    std::array<double, coldPartCount> coldPartMs {}; ///< Mean duration of each part, ms.
    std::vector<ReasonCount> reasons;                ///< Most frequent first.
};

enum class AlertLevel : std::uint8_t { Page, Ticket };
/// @return "page" or "ticket"
auto alertLevelName(AlertLevel level) -> std::string_view;

/// A class whose burn rate is too high in both a short and a long window.
struct Alert
{
    std::string classId;
    bool finish = false; ///< True for the finish target, false for the start target.
    AlertLevel level = AlertLevel::Ticket;
    Millis shortWindow = 0;
    Millis longWindow = 0;
    double shortBurn = 0;
    double longBurn = 0;
};

struct BurnReport
{
    Millis window = 0;
    std::vector<BurnLine> classes; ///< Sorted by name.
    std::vector<BurnLine> targets; ///< Sorted by the number of missed requests, highest first.
    std::vector<Alert> alerts;     ///< AlertLevel::Page first.
    std::vector<IdleRow> idle;     ///< Sorted by hours, highest first.
    std::vector<TimelinePoint> timeline;
    std::vector<SourceAge> sources;
};

auto makeBurnReport(const MergedCounts &counts, const BurnInput &input) -> BurnReport;

/// @return a plain text table for a terminal
auto renderText(const BurnReport &report) -> std::string;
/// @return one JSON object, intended for scripts
auto renderJson(const BurnReport &report) -> std::string;
/// @return one self-contained HTML page that loads no external resources
auto renderHtml(const BurnReport &report) -> std::string;

/// @return "5m", "1h", "6h" or "3d" for these windows; otherwise the milliseconds followed by "ms"
auto windowName(Millis window) -> std::string;
/// @param text one of the four names that windowName() returns
/// @return the window in ms, or 0 if the text is not one of the four names
auto parseWindow(std::string_view text) -> Millis;

} // namespace figrack::report

#endif // FIGRACK_REPORT_BURN_H
