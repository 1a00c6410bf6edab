// The service-level burn report: how each class stands against its targets, and why.
//
//   auto report = makeBurnReport(merged, input);
//   auto text = renderText(report);           // also renderJson(), renderHtml()
//
// Share met: of the requests that count, those that met the target. Error budget: the
// part that may miss, 1 - share. Burn rate: the part that missed over the budget; 1 uses
// the budget up exactly. Budget left: 1 - burn rate, of the window. Requests that count
// are all but those the caller cancelled or got refused for what it sent (counts.h).
//
// Pure: plain values in, plain values or text out.

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

/// A class and its target, from the configuration in force.
struct ClassGoal
{
    ClassId id;
    Millis start = 2000;
    Millis finish = 30000;
    double share = 0.95;
};

/// Accelerator time that replicas of a model stood idle, and why they were kept.
struct IdleRow
{
    ModelId model;
    std::string reason; ///< As the planner's decision had it: "predicted", "demand", ...
    double acceleratorHours = 0;
};

/// What the counts do not tell: from the control process.
struct BurnInput
{
    std::vector<ClassGoal> classes;
    std::vector<IdleRow> idle; ///< Over the window of the report; see IdleMeter.
};

/// Counts of one class in one window.
struct WindowCounts
{
    std::uint64_t eligible = 0;
    std::uint64_t metStart = 0;
    std::uint64_t metFinish = 0;
};

/// One class in one part of the window.
struct TimelinePoint
{
    std::string classId;
    Millis startAgo = 0; ///< From the time of the report.
    Millis endAgo = 0;
    WindowCounts counts;
};

/// When a router's counts were last heard.
struct SourceAge
{
    NodeId node;
    Millis heardAgo = 0;
};

/// Counts of all routers in one place, each request once.
struct MergedCounts
{
    Millis window = 0;
    std::map<RowKey, Row> rows;
    /// By window of pyramidLevels, then by class.
    std::array<std::map<std::string, WindowCounts>, pyramidLevels.size()> windows;
    std::vector<TimelinePoint> timeline;
    std::vector<SourceAge> sources;
};

/// One target, start or finish.
struct Burn
{
    double shareMet = 1;
    double burnRate = 0;
    double budgetLeft = 1; ///< Below 0 when more missed than may.
};

struct Percentiles
{
    double p50 = 0; ///< ms
    double p95 = 0;
    double p99 = 0;
    double p999 = 0;
};

struct ReasonCount
{
    std::string name; ///< errorName().
    std::uint64_t count = 0;
};

/// One class, or one model or service within a class.
struct BurnLine
{
    std::string classId;
    std::string target; ///< Empty for the whole class.
    ClassGoal goal;
    bool hasGoal = false; ///< False when the configuration no longer has the class.
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
    std::array<double, coldPartCount> coldPartMs {}; ///< Mean of each part, ms.
    std::vector<ReasonCount> reasons;                ///< Most frequent first.
};

enum class AlertLevel : std::uint8_t { Page, Ticket };
/// @return "page" or "ticket"
auto alertLevelName(AlertLevel level) -> std::string_view;

/// A class that burns its budget too fast over a short and a long window alike.
struct Alert
{
    std::string classId;
    bool finish = false; ///< Else the start target.
    AlertLevel level = AlertLevel::Ticket;
    Millis shortWindow = 0;
    Millis longWindow = 0;
    double shortBurn = 0;
    double longBurn = 0;
};

struct BurnReport
{
    Millis window = 0;
    std::vector<BurnLine> classes; ///< By name.
    std::vector<BurnLine> targets; ///< Most missed first.
    std::vector<Alert> alerts;     ///< Pages first.
    std::vector<IdleRow> idle;     ///< Most hours first.
    std::vector<TimelinePoint> timeline;
    std::vector<SourceAge> sources;
};

auto makeBurnReport(const MergedCounts &counts, const BurnInput &input) -> BurnReport;

/// @return a plain text table for a terminal
auto renderText(const BurnReport &report) -> std::string;
/// @return one JSON object, for scripts
auto renderJson(const BurnReport &report) -> std::string;
/// @return one HTML page that needs nothing from elsewhere
auto renderHtml(const BurnReport &report) -> std::string;

/// @return "5m", "1h", "6h", "3d", or milliseconds with "ms"
auto windowName(Millis window) -> std::string;
/// @param text as windowName() gives it
/// @return ms, or 0 when it is none of the four
auto parseWindow(std::string_view text) -> Millis;

} // namespace figrack::report

#endif // FIGRACK_REPORT_BURN_H
