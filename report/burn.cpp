// Alerts use multi-window burn rates: an alert is raised if the burn rate exceeds a
// threshold both in a long window, which shows that the problem is significant, and in a
// short window, which shows that it is still going on. With the usual error budget of 5 %,
// the burn rate cannot exceed 20, so the thresholds are lower than those commonly used for
// budgets of 0.1 %.

#include "report/burn.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace figrack::report {
namespace {

constexpr auto maxTargetLines = std::size_t { 20000 };
constexpr auto minRequestsForAlert
        = std::uint64_t { 10 }; ///< Eligible requests in the short window.

/// The windows, as indices into pyramidLevels, and the burn rate that raises an alert.
struct AlertRule
{
    std::size_t shortWindow = 0;
    std::size_t longWindow = 1;
    double rate = 1;
    AlertLevel level = AlertLevel::Ticket;
};

constexpr auto alertRules = std::array<AlertRule, 3> { {
        { 0, 1, 6, AlertLevel::Page },
        { 1, 2, 3, AlertLevel::Page },
        { 2, 3, 1, AlertLevel::Ticket },
} };

struct NamedWindow
{
    std::string_view name;
    Millis window = 0;
};

constexpr auto namedWindows = std::array<NamedWindow, pyramidLevels.size()> { {
        { "5m", pyramidLevels[0].window },
        { "1h", pyramidLevels[1].window },
        { "6h", pyramidLevels[2].window },
        { "3d", pyramidLevels[3].window },
} };

auto burnOf(std::uint64_t met, std::uint64_t eligible, double share) -> Burn
{
    if (eligible == 0)
        return {};
    constexpr auto minBudget = 1e-6; // Avoids division by zero if the share is 1.
    const auto shareMet = static_cast<double>(met) / static_cast<double>(eligible);
    const auto rate = (1 - shareMet) / std::max(1 - share, minBudget);
    return { shareMet, rate, 1 - rate };
}

auto percentilesOf(const Histogram &histogram) -> Percentiles
{
    return { histogram.quantile(0.5), histogram.quantile(0.95), histogram.quantile(0.99),
             histogram.quantile(0.999) };
}

auto reasonsOf(const Row &row) -> std::vector<ReasonCount>
{
    auto reasons = std::vector<ReasonCount> {};
    for (const auto &[kind, count] : row.reasons)
        reasons.push_back({ std::string { errorName(kind) }, count });
    std::ranges::stable_sort(reasons, std::ranges::greater {}, &ReasonCount::count);
    return reasons;
}

auto findGoal(const BurnInput &input, const std::string &classId) -> const ClassGoal *
{
    const auto found = std::ranges::find_if(
            input.classes, [&](const ClassGoal &goal) { return goal.id.value() == classId; });
    return found == input.classes.end() ? nullptr : &*found;
}

auto makeLine(const RowKey &key, const Row &row, const BurnInput &input) -> BurnLine
{
    auto line = BurnLine {};
    line.classId = key.classId;
    line.target = key.target;
    if (const auto *goal = findGoal(input, key.classId)) {
        line.goal = *goal;
        line.hasGoal = true;
    }
    line.eligible = row[Counter::Eligible];
    line.answered = row[Counter::Answered];
    line.refused = row[Counter::Refused];
    line.failed = row[Counter::Failed];
    line.cancelled = row[Counter::Cancelled];
    line.callerFault = row[Counter::CallerFault];
    line.cold = row[Counter::Cold];
    line.start = burnOf(row[Counter::MetStart], line.eligible, line.goal.share);
    line.finish = burnOf(row[Counter::MetFinish], line.eligible, line.goal.share);
    line.startMs = percentilesOf(row.start);
    line.finishMs = percentilesOf(row.finish);
    line.coldMs = percentilesOf(row.coldStart);
    for (auto i = std::size_t { 0 }; i < coldPartCount && line.cold > 0; ++i)
        line.coldPartMs[i] = static_cast<double>(row.coldMs[i]) / static_cast<double>(line.cold);
    line.reasons = reasonsOf(row);
    return line;
}

auto missedRequests(const BurnLine &line) -> double
{
    return (1 - std::min(line.start.shareMet, line.finish.shareMet))
            * static_cast<double>(line.eligible);
}

auto addAlerts(const MergedCounts &counts, const ClassGoal &goal, bool finish,
               std::vector<Alert> &alerts) -> void
{
    const auto burnIn = [&](std::size_t window) {
        const auto found = counts.windows[window].find(goal.id.value());
        if (found == counts.windows[window].end())
            return std::pair { 0.0, std::uint64_t { 0 } };
        const auto &one = found->second;
        const auto met = finish ? one.metFinish : one.metStart;
        return std::pair { burnOf(met, one.eligible, goal.share).burnRate, one.eligible };
    };
    for (const auto &rule : alertRules) {
        const auto [shortBurn, requests] = burnIn(rule.shortWindow);
        const auto longBurn = burnIn(rule.longWindow).first;
        if (requests < minRequestsForAlert || shortBurn < rule.rate || longBurn < rule.rate)
            continue;
        alerts.push_back({ goal.id.value(), finish, rule.level,
                           pyramidLevels[rule.shortWindow].window,
                           pyramidLevels[rule.longWindow].window, shortBurn, longBurn });
        return; // The rules are sorted by urgency, so the first match is reported.
    }
}

auto classRows(const MergedCounts &counts, const BurnInput &input) -> std::map<std::string, Row>
{
    auto classes = std::map<std::string, Row> {};
    for (const auto &goal : input.classes)
        classes[goal.id.value()];
    for (const auto &[key, row] : counts.rows)
        classes[key.classId].merge(row);
    return classes;
}

} // namespace

auto alertLevelName(AlertLevel level) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 2> { "page", "ticket" };
    return names[static_cast<std::size_t>(level)];
}

auto makeBurnReport(const MergedCounts &counts, const BurnInput &input) -> BurnReport
{
    auto report = BurnReport {};
    report.window = counts.window;
    for (const auto &[name, row] : classRows(counts, input))
        report.classes.push_back(makeLine({ name, "" }, row, input));
    for (const auto &[key, row] : counts.rows)
        report.targets.push_back(makeLine(key, row, input));
    std::ranges::stable_sort(report.targets, std::ranges::greater {}, missedRequests);
    if (report.targets.size() > maxTargetLines)
        report.targets.resize(maxTargetLines);
    for (const auto &goal : input.classes) {
        addAlerts(counts, goal, false, report.alerts);
        addAlerts(counts, goal, true, report.alerts);
    }
    std::ranges::stable_sort(report.alerts, std::ranges::less {}, &Alert::level);
    report.idle = input.idle;
    std::ranges::stable_sort(report.idle, std::ranges::greater {}, &IdleRow::acceleratorHours);
    report.timeline = counts.timeline;
    report.sources = counts.sources;
    return report;
}

auto windowName(Millis window) -> std::string
{
    const auto found = std::ranges::find(namedWindows, window, &NamedWindow::window);
    return found == namedWindows.end() ? fmt::format("{}ms", window) : std::string { found->name };
}

auto parseWindow(std::string_view text) -> Millis
{
    const auto found = std::ranges::find(namedWindows, text, &NamedWindow::name);
    return found == namedWindows.end() ? 0 : found->window;
}

} // namespace figrack::report
