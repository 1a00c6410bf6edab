// What waits for each model and class, summed over all routers.
//
//   auto changed = demand.onReport(report);       // cells to pass to the planner
//   demand.sum(cell);
//   for (const auto &cell : demand.dropStale()) ...
//
// A burst at many routers at once is one demand here, which is why it makes one
// decided load and not one a router.
//
// Guarantees: a router's report replaces its former one whole; reports of an
// older sequence or life are ignored; a router that stops reporting stops
// counting after staleAfter. Memory follows the rows of the routers' last
// reports, each bounded by maxRows.

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
    std::size_t maxRows = 10000; ///< A report's; the rest is ignored.
};

/// One model in one class.
struct DemandCell
{
    ModelId model;
    ClassId classId;
    auto operator<(const DemandCell &other) const -> bool
    {
        return std::tie(model, classId) < std::tie(other.model, other.classId);
    }
};

/// New arrivals that a report told of.
struct Arrivals
{
    DemandCell cell;
    std::uint32_t count = 0;
};

struct DemandChange
{
    std::set<DemandCell> cells; ///< Whose sum may have changed.
    std::vector<Arrivals> arrivals;
};

class Demand
{
public:
    Demand(DemandOptions options, const Clock &clock);

    auto onReport(const proto::DemandReport &report) -> DemandChange;
    /// @return the cells of routers that fell silent
    auto dropStale() -> std::set<DemandCell>;
    /// @param now the planner's time, ms
    /// @return the sum over all routers; zero counts when nobody wants it
    auto sum(const DemandCell &cell, policy::Millis now) const -> policy::DemandInfo;
    auto clear() -> void;
    /// @return requests that wait, over all cells
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
