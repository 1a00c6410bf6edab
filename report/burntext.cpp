// The columns have a fixed width, so that the report is readable in any terminal and can be
// compared with diff. Names are truncated and stripped of control characters, because class
// and model names come from untrusted input.

#include <algorithm>

#include <fmt/format.h>

#include "report/burn.h"

namespace figrack::report {
namespace {

constexpr auto maxTargetLines = std::size_t { 20 };
constexpr auto maxIdleLines = std::size_t { 20 };
constexpr auto nameWidth = std::size_t { 24 };
constexpr auto targetWidth = std::size_t { 44 }; ///< Holds a model name and a class name.

/// @return the name without control characters, truncated to the column width
auto cell(std::string name, std::size_t width = nameWidth) -> std::string
{
    for (auto &character : name) {
        if (static_cast<unsigned char>(character) < ' ' || character == '\x7f')
            character = '?';
    }
    if (name.size() > width)
        name = name.substr(0, width - 1) + "~";
    return name;
}

auto seconds(double millis) -> std::string
{
    return fmt::format("{:.2f}", millis / 1000);
}

auto percent(double share) -> std::string
{
    return fmt::format("{:.2f}", 100 * share);
}

auto burnColumns(const BurnLine &line, const Burn &burn) -> std::string
{
    if (line.eligible == 0)
        return fmt::format("{:>8} {:>7} {:>8}", "-", "-", "-");
    if (!line.hasGoal)
        return fmt::format("{:>8} {:>7} {:>8}", percent(burn.shareMet), "-", "-");
    return fmt::format("{:>8} {:>7.2f} {:>8}", percent(burn.shareMet), burn.burnRate,
                       percent(burn.budgetLeft));
}

auto appendHead(std::string &text, std::string_view first, std::size_t width = nameWidth) -> void
{
    text += fmt::format("{:<{}} {:>9} {:>8} {:>7} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7}\n",
                        first, width, "requests", "start%", "burn", "left%", "finish%", "burn",
                        "left%", "p50 s", "p99 s", "p99.9 s");
}

auto appendLine(std::string &text, const std::string &name, const BurnLine &line,
                std::size_t width = nameWidth) -> void
{
    text += fmt::format("{:<{}} {:>9} {} {} {:>7} {:>7} {:>7}\n", cell(name, width), width,
                        line.eligible, burnColumns(line, line.start),
                        burnColumns(line, line.finish), seconds(line.startMs.p50),
                        seconds(line.startMs.p99), seconds(line.startMs.p999));
}

auto appendClasses(std::string &text, const BurnReport &report) -> void
{
    appendHead(text, "class");
    for (const auto &line : report.classes)
        appendLine(text, line.classId, line);
}

auto appendGoals(std::string &text, const BurnReport &report) -> void
{
    text += "\ntargets\n";
    for (const auto &line : report.classes) {
        if (line.hasGoal)
            text += fmt::format("{:<{}} {:g} in 100 start within {} s and finish within {} s\n",
                                cell(line.classId), nameWidth, 100 * line.goal.share,
                                seconds(static_cast<double>(line.goal.start)),
                                seconds(static_cast<double>(line.goal.finish)));
    }
}

auto appendAlerts(std::string &text, const BurnReport &report) -> void
{
    text += "\nalerts\n";
    if (report.alerts.empty())
        text += "none\n";
    for (const auto &alert : report.alerts) {
        text += fmt::format("{} class={} target={} burn_{}={:.2f} burn_{}={:.2f}\n",
                            alertLevelName(alert.level), cell(alert.classId),
                            alert.finish ? "finish" : "start", windowName(alert.shortWindow),
                            alert.shortBurn, windowName(alert.longWindow), alert.longBurn);
    }
}

auto appendReasons(std::string &text, const BurnReport &report) -> void
{
    text += fmt::format("\n{:<{}} {:>9} {:>9} {:>9} {:>12}  refused and failed by reason\n",
                        "class", nameWidth, "refused", "failed", "cancelled", "caller fault");
    for (const auto &line : report.classes) {
        text += fmt::format("{:<{}} {:>9} {:>9} {:>9} {:>12} ", cell(line.classId), nameWidth,
                            line.refused, line.failed, line.cancelled, line.callerFault);
        for (const auto &reason : line.reasons)
            text += fmt::format(" {}={}", reason.name, reason.count);
        text += "\n";
    }
}

auto appendCold(std::string &text, const BurnReport &report) -> void
{
    text += fmt::format("\n{:<{}} {:>9} {:>7} {:>7} {:>7}", "cold starts by class", nameWidth,
                        "count", "p50 s", "p99 s", "p99.9 s");
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        text += fmt::format(" {:>11}", coldPartName(static_cast<ColdPart>(i)));
    text += "  (mean s of each part)\n";
    for (const auto &line : report.classes) {
        text += fmt::format("{:<{}} {:>9} {:>7} {:>7} {:>7}", cell(line.classId), nameWidth,
                            line.cold, seconds(line.coldMs.p50), seconds(line.coldMs.p99),
                            seconds(line.coldMs.p999));
        for (const auto part : line.coldPartMs)
            text += fmt::format(" {:>11}", seconds(part));
        text += "\n";
    }
}

auto appendTargets(std::string &text, const BurnReport &report) -> void
{
    text += "\n";
    appendHead(text, "most missed", targetWidth);
    for (auto i = std::size_t { 0 }; i < std::min(maxTargetLines, report.targets.size()); ++i) {
        const auto &line = report.targets[i];
        appendLine(text, line.target + " " + line.classId, line, targetWidth);
    }
    if (report.targets.size() > maxTargetLines)
        text += fmt::format("({} more: see the JSON)\n", report.targets.size() - maxTargetLines);
}

auto appendIdle(std::string &text, const BurnReport &report) -> void
{
    auto sum = 0.0;
    for (const auto &row : report.idle)
        sum += row.acceleratorHours;
    text += fmt::format("\nidle accelerator hours: {:.3f}\n", sum);
    for (auto i = std::size_t { 0 }; i < std::min(maxIdleLines, report.idle.size()); ++i) {
        const auto &row = report.idle[i];
        text += fmt::format("{:<{}} {:>10.3f}  {}\n", cell(row.model.value()), nameWidth,
                            row.acceleratorHours, cell(row.reason));
    }
    if (report.idle.size() > maxIdleLines)
        text += fmt::format("({} more: see the JSON)\n", report.idle.size() - maxIdleLines);
}

auto appendSources(std::string &text, const BurnReport &report) -> void
{
    text += fmt::format("\nrouters heard: {}\n", report.sources.size());
    constexpr auto stale = Millis { 60000 };
    for (const auto &source : report.sources) {
        if (source.heardAgo > stale)
            text += fmt::format("router={} heard_ago_s={}\n", cell(source.node.value()),
                                source.heardAgo / 1000);
    }
}

} // namespace

auto renderText(const BurnReport &report) -> std::string
{
    auto text = fmt::format("service-level burn, window {}\n\n", windowName(report.window));
    appendClasses(text, report);
    appendGoals(text, report);
    appendAlerts(text, report);
    appendReasons(text, report);
    appendCold(text, report);
    appendTargets(text, report);
    appendIdle(text, report);
    appendSources(text, report);
    return text;
}

} // namespace figrack::report
