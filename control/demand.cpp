// Rows are stored by cell and then by router, so that a sum only visits the routers that report
// demand for the cell.

#include "control/demand.h"

#include <algorithm>
#include <chrono>

namespace figrack::control {

Demand::Demand(DemandOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto Demand::onReport(const proto::DemandReport &report) -> DemandChange
{
    auto change = DemandChange {};
    const auto now = clock_.now();
    auto &reporter = reporters_[report.router];
    if (reporter.incarnation == report.incarnation && report.sequence <= reporter.sequence)
        return change;
    removeRows(report.router, reporter, change.cells);
    reporter.incarnation = report.incarnation;
    reporter.sequence = report.sequence;
    reporter.receivedAt = now;
    auto left = options_.maxRows;
    for (const auto &row : report.rows) {
        if (left-- == 0)
            break;
        const auto cell = DemandCell { row.model, row.classId };
        change.cells.insert(cell);
        if (row.arrived > 0)
            change.arrivals.push_back({ cell, row.arrived });
        if (row.queued == 0 && row.running == 0)
            continue;
        const auto slack = std::chrono::milliseconds { row.tightestSlackMs };
        rows_[cell][report.router] = Row { row.queued, row.running, now + slack };
        reporter.cells.insert(cell);
    }
    return change;
}

auto Demand::removeRows(const NodeId &router, Reporter &reporter, std::set<DemandCell> &changed)
        -> void
{
    for (const auto &cell : reporter.cells) {
        const auto found = rows_.find(cell);
        found->second.erase(router);
        if (found->second.empty())
            rows_.erase(found);
    }
    changed.merge(reporter.cells);
    reporter.cells.clear();
}

auto Demand::dropStale() -> std::set<DemandCell>
{
    auto changed = std::set<DemandCell> {};
    const auto oldest = clock_.now() - options_.staleAfter;
    for (auto item = reporters_.begin(); item != reporters_.end();) {
        if (item->second.receivedAt >= oldest) {
            ++item;
            continue;
        }
        removeRows(item->first, item->second, changed);
        item = reporters_.erase(item);
    }
    return changed;
}

auto Demand::sum(const DemandCell &cell, policy::Millis now) const -> policy::DemandInfo
{
    auto info = policy::DemandInfo {};
    info.model = cell.model;
    info.classId = cell.classId;
    const auto found = rows_.find(cell);
    if (found == rows_.end())
        return info;
    auto tightest = Instant::max();
    for (const auto &[router, row] : found->second) {
        info.queued += row.queued;
        info.running += row.running;
        if (row.queued > 0)
            tightest = std::min(tightest, row.tightestStart);
    }
    if (tightest != Instant::max()) {
        const auto slack = tightest - clock_.now();
        info.tightestStart
                = now + std::chrono::duration_cast<std::chrono::milliseconds>(slack).count();
    }
    return info;
}

auto Demand::clear() -> void
{
    reporters_.clear();
    rows_.clear();
}

auto Demand::queued() const -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto &[cell, routers] : rows_) {
        for (const auto &[router, row] : routers)
            sum += row.queued;
    }
    return sum;
}

} // namespace figrack::control
