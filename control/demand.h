// Demand sums the waiting and running requests for each model and class over all routers.
//
//   auto changed = demand.onReport(report);       // Cells to pass to the planner.
//   demand.sum(cell, now);
//   for (const auto &cell : demand.dropStale()) ...
//
// A burst that reaches many routers at once is a single demand here, so the planner decides one
// load for it instead of one load per router.
//
// Guarantees: a router's report replaces its previous report completely. Reports with an older
// sequence number of the same incarnation are ignored. A router that has not reported for
// staleAfter is no longer counted. Memory is proportional to the rows of the routers' last
// reports, each limited to maxRows.

#ifndef FIGRACK_CONTROL_DEMAND_H
#define FIGRACK_CONTROL_DEMAND_H

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "core/clock.h"
#include "policy/tables.h"
#include "proto/messages.h"

namespace figrack::control {

struct DemandOptions
{
    Duration staleAfter = std::chrono::seconds { 3 };
    std::size_t maxRows = 10000; ///< Per report; further rows are ignored.
};

/// A model and a class.
struct DemandCell
{
    ModelId model;
    ClassId classId;
    auto operator<(const DemandCell &other) const -> bool
    {
        return std::tie(model, classId) < std::tie(other.model, other.classId);
    }
};

/// New requests listed in a report.
struct Arrivals
{
    DemandCell cell;
    std::uint32_t count = 0;
};

struct DemandChange
{
    std::set<DemandCell> cells; ///< Cells whose sum may have changed.
    std::vector<Arrivals> arrivals;
};

class Demand
{
public:
    Demand(DemandOptions options, const Clock &clock);

    auto onReport(const proto::DemandReport &report) -> DemandChange;
    /// Removes routers that stopped reporting.
    /// @return the cells whose sum may have changed
    auto dropStale() -> std::set<DemandCell>;
    /// @param now the planner's time in milliseconds
    /// @return the sum over all routers; all counts are 0 if no router reports the cell
    auto sum(const DemandCell &cell, policy::Millis now) const -> policy::DemandInfo;
    auto clear() -> void;
    /// @return number of waiting requests over all cells
    auto queued() const -> std::uint64_t;

private:
    struct Row
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        Instant tightestStart;
    };
    struct Reporter
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        Instant receivedAt;
        std::set<DemandCell> cells;
    };

    auto removeRows(const NodeId &router, Reporter &reporter, std::set<DemandCell> &changed)
            -> void;

    DemandOptions options_;
    const Clock &clock_;
    std::map<NodeId, Reporter> reporters_;
    std::map<DemandCell, std::map<NodeId, Row>> rows_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_DEMAND_H
