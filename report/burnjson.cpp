// Each key contains the name and the unit of its value. Shares are fractions of 1. Keys are
// part of the interface to scripts: new ones may be added, but existing ones must not be
// renamed or removed.

#include <boost/json.hpp>

#include "report/burn.h"

namespace figrack::report {
namespace {

namespace json = boost::json;

auto toJson(const Burn &burn) -> json::object
{
    return { { "share_met", burn.shareMet },
             { "burn_rate", burn.burnRate },
             { "budget_left", burn.budgetLeft } };
}

auto toJson(const Percentiles &percentiles) -> json::object
{
    return { { "p50", percentiles.p50 },
             { "p95", percentiles.p95 },
             { "p99", percentiles.p99 },
             { "p99.9", percentiles.p999 } };
}

auto coldStarts(const BurnLine &line) -> json::object
{
    auto parts = json::object {};
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        parts[coldPartName(static_cast<ColdPart>(i))] = line.coldPartMs[i];
    return { { "count", line.cold },
             { "start_ms", toJson(line.coldMs) },
             { "mean_part_ms", std::move(parts) } };
}

auto reasons(const BurnLine &line) -> json::object
{
    auto object = json::object {};
    for (const auto &reason : line.reasons)
        object[reason.name] = reason.count;
    return object;
}

auto toJson(const BurnLine &line) -> json::object
{
    auto object = json::object { { "class", line.classId } };
    if (!line.target.empty())
        object["target"] = line.target;
    if (line.hasGoal)
        object["goal"] = json::object { { "start_ms", line.goal.start },
                                        { "finish_ms", line.goal.finish },
                                        { "share", line.goal.share } };
    object["requests"] = line.eligible;
    object["answered"] = line.answered;
    object["refused"] = line.refused;
    object["failed"] = line.failed;
    object["cancelled"] = line.cancelled;
    object["caller_fault"] = line.callerFault;
    object["start"] = toJson(line.start);
    object["finish"] = toJson(line.finish);
    object["start_ms"] = toJson(line.startMs);
    object["finish_ms"] = toJson(line.finishMs);
    object["cold"] = coldStarts(line);
    object["reasons"] = reasons(line);
    return object;
}

auto toJson(const Alert &alert) -> json::object
{
    return { { "level", std::string { alertLevelName(alert.level) } },
             { "class", alert.classId },
             { "target", alert.finish ? "finish" : "start" },
             { "short_window", windowName(alert.shortWindow) },
             { "short_burn_rate", alert.shortBurn },
             { "long_window", windowName(alert.longWindow) },
             { "long_burn_rate", alert.longBurn } };
}

auto toJson(const IdleRow &row) -> json::object
{
    return { { "model", row.model.value() },
             { "reason", row.reason },
             { "accelerator_hours", row.acceleratorHours } };
}

auto toJson(const TimelinePoint &point) -> json::object
{
    return { { "class", point.classId },
             { "start_ago_ms", point.startAgo },
             { "end_ago_ms", point.endAgo },
             { "requests", point.counts.eligible },
             { "met_start", point.counts.metStart },
             { "met_finish", point.counts.metFinish } };
}

auto toJson(const SourceAge &source) -> json::object
{
    return { { "router", source.node.value() }, { "heard_ago_ms", source.heardAgo } };
}

template<typename T>
auto toArray(const std::vector<T> &values) -> json::array
{
    auto array = json::array {};
    for (const auto &value : values)
        array.push_back(toJson(value));
    return array;
}

} // namespace

auto renderJson(const BurnReport &report) -> std::string
{
    return json::serialize(json::object { { "window", windowName(report.window) },
                                          { "window_ms", report.window },
                                          { "classes", toArray(report.classes) },
                                          { "targets", toArray(report.targets) },
                                          { "alerts", toArray(report.alerts) },
                                          { "idle", toArray(report.idle) },
                                          { "timeline", toArray(report.timeline) },
                                          { "routers", toArray(report.sources) } });
}

} // namespace figrack::report
