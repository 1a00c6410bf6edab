// Renders one page: alerts first, then each class against its targets, then where request
// time and accelerator time were spent. The page contains no scripts and loads no external
// resources, so that it can be sent by mail and archived.

#include <algorithm>

#include <fmt/format.h>

#include "report/burn.h"
#include "report/chart.h"

namespace figrack::report {
namespace {

constexpr auto maxBars = std::size_t { 15 };
constexpr auto maxTargetRows = std::size_t { 30 };
constexpr auto maxClassPlots = std::size_t { 12 };

constexpr auto style = R"css(
:root{--page:#fff;--ink:#1b1f24;--muted:#5b6570;--grid:#dfe3e8;--card:#f6f7f9;--bad:#c4314b;
--good:#1a7f4b;--series-1:#2f6fb5;--series-2:#c9741a;--series-3:#3b8f6d;--series-4:#8a5fb0;
--series-5:#7a7f87}
@media(prefers-color-scheme:dark){:root{--page:#15181c;--ink:#e6e9ed;--muted:#9aa4af;
--grid:#2c323a;--card:#1d2127;--bad:#ff7a8a;--good:#5cc98d;--series-1:#6aa7e8;--series-2:#eda252;
--series-3:#67c39c;--series-4:#b893dc;--series-5:#9ba3ad}}
body{background:var(--page);color:var(--ink);font:15px/1.45 system-ui,sans-serif;margin:0 auto;
max-width:1080px;padding:24px}
h1{font-size:24px;margin:0 0 4px}h2{font-size:18px;margin:32px 0 8px}
h3{font-size:15px;margin:0 0 4px}
.muted{color:var(--muted)}.bad{color:var(--bad);font-weight:600}.good{color:var(--good)}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{text-align:right;padding:4px 8px;border-bottom:1px solid var(--grid);white-space:nowrap}
th{color:var(--muted);font-weight:500}th:first-child,td:first-child{text-align:left}
td:first-child{max-width:220px;overflow:hidden;text-overflow:ellipsis}
.scroll{overflow-x:auto}
.alert{border-left:4px solid var(--bad);background:var(--card);padding:8px 12px;margin:8px 0}
.grid{display:grid;grid-template-columns:repeat(auto-fill,minmax(320px,1fr));gap:20px}
.legend{margin:0 0 4px;color:var(--muted);font-size:13px}.legend span{margin-right:14px}
.legend i{display:inline-block;width:10px;height:10px;border-radius:2px;margin-right:5px}
svg{width:100%;height:auto;display:block}svg.wide{min-width:620px}
svg text{fill:var(--ink);font:12px system-ui,sans-serif}svg .label{text-anchor:end}
svg .value,svg .tick{fill:var(--muted)}svg .tick{text-anchor:middle}
)css";

auto seconds(double millis) -> std::string
{
    return fmt::format("{:.2f}", millis / 1000);
}

auto burnCells(const BurnLine &line, const Burn &burn) -> std::string
{
    if (line.eligible == 0)
        return "<td>&ndash;</td><td>&ndash;</td><td>&ndash;</td>";
    const auto met = fmt::format("<td>{:.2f}</td>", 100 * burn.shareMet);
    if (!line.hasGoal)
        return met + "<td>&ndash;</td><td>&ndash;</td>";
    const auto *cssClass = burn.burnRate > 1 ? "bad" : "good";
    return met
            + fmt::format("<td class=\"{}\">{:.2f}</td><td>{:.0f}</td>", cssClass, burn.burnRate,
                          100 * burn.budgetLeft);
}

auto lineRow(const std::string &name, const BurnLine &line) -> std::string
{
    return fmt::format("<tr><td>{}</td><td>{}</td>{}{}<td>{}</td><td>{}</td><td>{}</td>"
                       "<td>{}</td><td>{}</td></tr>",
                       escapeHtml(name), line.eligible, burnCells(line, line.start),
                       burnCells(line, line.finish), seconds(line.startMs.p50),
                       seconds(line.startMs.p99), seconds(line.startMs.p999), line.refused,
                       line.failed);
}

auto lineTable(std::string_view first, const std::string &rows) -> std::string
{
    return fmt::format(
            "<div class=\"scroll\"><table><tr><th>{}</th><th>requests</th><th>start met %</th>"
            "<th>burn</th><th>left %</th><th>finish met %</th><th>burn</th><th>left %</th>"
            "<th>p50 s</th><th>p99 s</th><th>p99.9 s</th><th>refused</th><th>failed</th></tr>"
            "{}</table></div>",
            first, rows);
}

auto alertSection(const BurnReport &report) -> std::string
{
    if (report.alerts.empty())
        return "<p class=\"good\">No class burns its error budget too fast.</p>";
    auto html = std::string {};
    for (const auto &alert : report.alerts)
        html += fmt::format(
                "<div class=\"alert\"><b>{}</b>: class <b>{}</b> misses its {} target: burn rate "
                "{:.1f} over {}, {:.1f} over {}.</div>",
                alertLevelName(alert.level), escapeHtml(alert.classId),
                alert.finish ? "finish" : "start", alert.shortBurn, windowName(alert.shortWindow),
                alert.longBurn, windowName(alert.longWindow));
    return html;
}

auto classSection(const BurnReport &report) -> std::string
{
    auto rows = std::string {};
    for (const auto &line : report.classes)
        rows += lineRow(line.classId, line);
    return "<h2>Classes against their targets</h2>" + lineTable("class", rows)
            + "<p class=\"muted\">Burn: the part that missed over the part that may; 1 uses the "
              "budget up. Left: of the error budget of this window.</p>";
}

auto burnRate(const WindowCounts &counts, bool finish, double share) -> double
{
    const auto met = finish ? counts.metFinish : counts.metStart;
    const auto missed = 1 - static_cast<double>(met) / static_cast<double>(counts.eligible);
    return missed / std::max(1 - share, 1e-6);
}

auto timelineOf(const BurnReport &report, const BurnLine &line, bool finish) -> Line
{
    auto points = std::vector<LinePoint> {};
    const auto window = static_cast<double>(report.window);
    for (const auto &point : report.timeline) {
        if (point.classId != line.classId || point.counts.eligible == 0)
            continue;
        const auto middle = static_cast<double>(point.startAgo + point.endAgo) / 2;
        points.push_back({ 1 - middle / window, burnRate(point.counts, finish, line.goal.share) });
    }
    std::ranges::sort(points, std::ranges::less {}, &LinePoint::x);
    return { finish ? "finish" : "start", std::move(points) };
}

auto timelineSection(const BurnReport &report) -> std::string
{
    auto html = std::string { "<h2>Burn rate over time</h2><div class=\"grid\">" };
    auto plots = std::size_t { 0 };
    for (const auto &line : report.classes) {
        if (!line.hasGoal || line.eligible == 0 || plots++ >= maxClassPlots)
            continue;
        html += fmt::format("<div><h3>{}</h3>", escapeHtml(line.classId));
        html += lineChart({ timelineOf(report, line, false), timelineOf(report, line, true) }, 1,
                          "-" + windowName(report.window));
        html += "</div>";
    }
    if (plots == 0)
        html += "<p class=\"muted\">none in this window</p>";
    return html + "</div>";
}

auto latencySection(const BurnReport &report) -> std::string
{
    auto ranges = std::vector<Range> {};
    for (const auto &line : report.classes) {
        ranges.push_back({ line.classId, line.startMs.p50 / 1000, line.startMs.p95 / 1000,
                           line.startMs.p99 / 1000,
                           line.hasGoal ? static_cast<double>(line.goal.start) / 1000 : 0 });
    }
    return "<h2>Time to first token</h2><p class=\"muted\">Marks: p50, p95, p99 of answered "
           "requests. Red: the class's start target.</p>"
            + rangeChart(ranges);
}

auto coldSection(const BurnReport &report) -> std::string
{
    auto series = std::vector<std::string> {};
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        series.emplace_back(coldPartName(static_cast<ColdPart>(i)));
    auto bars = std::vector<Bar> {};
    for (const auto &line : report.classes) {
        if (line.cold == 0)
            continue;
        auto bar = Bar { line.classId,
                         {},
                         fmt::format("{} cold, p99 {} s", line.cold, seconds(line.coldMs.p99)) };
        for (const auto part : line.coldPartMs)
            bar.parts.push_back(part / 1000);
        bars.push_back(std::move(bar));
    }
    return "<h2>Cold starts: where the time went (mean)</h2>" + barChart(bars, "s", series);
}

auto reasonSection(const BurnReport &report) -> std::string
{
    auto bars = std::vector<Bar> {};
    for (const auto &line : report.classes) {
        for (const auto &reason : line.reasons)
            bars.push_back({ reason.name, { static_cast<double>(reason.count) }, line.classId });
    }
    std::ranges::stable_sort(bars, std::ranges::greater {},
                             [](const Bar &bar) { return bar.parts.front(); });
    bars.resize(std::min(bars.size(), maxBars));
    return "<h2>Refused and failed, by reason</h2>" + barChart(bars, "requests", {});
}

auto idleSection(const BurnReport &report) -> std::string
{
    auto sum = 0.0;
    for (const auto &row : report.idle)
        sum += row.acceleratorHours;
    auto bars = std::vector<Bar> {};
    for (const auto &row : report.idle) {
        if (bars.size() < maxBars)
            bars.push_back({ row.model.value(), { row.acceleratorHours }, row.reason });
    }
    auto html
            = fmt::format("<h2>Idle accelerator hours: {:.2f}</h2>", sum) + barChart(bars, "h", {});
    if (report.idle.size() > maxBars)
        html += fmt::format("<p class=\"muted\">and {} more, in the JSON</p>",
                            report.idle.size() - maxBars);
    return html;
}

auto targetSection(const BurnReport &report) -> std::string
{
    auto rows = std::string {};
    const auto shown = std::min(maxTargetRows, report.targets.size());
    for (auto i = std::size_t { 0 }; i < shown; ++i)
        rows += lineRow(report.targets[i].target + " \xC2\xB7 " + report.targets[i].classId,
                        report.targets[i]);
    auto html = "<h2>Models and services that missed most</h2>"
            + lineTable("model or service \xC2\xB7 class", rows);
    if (report.targets.size() > shown)
        html += fmt::format("<p class=\"muted\">and {} more, in the JSON</p>",
                            report.targets.size() - shown);
    return html;
}

auto sourceSection(const BurnReport &report) -> std::string
{
    auto oldest = Millis { 0 };
    for (const auto &source : report.sources)
        oldest = std::max(oldest, source.heardAgo);
    return fmt::format("<p class=\"muted\">Counts of {} routers, the oldest heard {} s ago.</p>",
                       report.sources.size(), oldest / 1000);
}

} // namespace

auto renderHtml(const BurnReport &report) -> std::string
{
    const auto window = windowName(report.window);
    auto html = fmt::format("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
                            "<meta name=\"viewport\" content=\"width=device-width\">"
                            "<title>figrack burn report, {}</title><style>{}</style>"
                            "<h1>Service-level burn</h1>"
                            "<p class=\"muted\">the last {}</p>",
                            window, style, window);
    html += alertSection(report);
    html += classSection(report);
    html += timelineSection(report);
    html += latencySection(report);
    html += coldSection(report);
    html += reasonSection(report);
    html += idleSection(report);
    html += targetSection(report);
    html += sourceSection(report);
    return html + "</html>\n";
}

} // namespace figrack::report
