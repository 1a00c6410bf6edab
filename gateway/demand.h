// Which models are asked for at this gateway, for the leader's placement.
//
//   demand.onArrival(target);
//   demand.onLack(target);               // no endpoint holds it: told to the leader at once
//   auto report = demand.take();
//
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_DEMAND_H
#define FIGRACK_GATEWAY_DEMAND_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

/// A model, or an adapter of it, of one service.
struct DemandTarget
{
    ServiceId service;
    ModelId model;
    std::string adapter;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const DemandTarget &) const = default;
};

class Demand
{
public:
    explicit Demand(const Clock &clock);
    /// @param onUrgent called when a report should leave at once
    auto setOnUrgent(std::function<void()> onUrgent) -> void;
    auto onArrival(const DemandTarget &target) -> void;
    auto onStart(const DemandTarget &target) -> void;
    auto onEnd(const DemandTarget &target) -> void;
    /// A request begins to wait for the target to be loaded.
    auto onLack(const DemandTarget &target) -> void;
    auto onLackEnd(const DemandTarget &target) -> void;
    /// A request began or paused later than it should at an endpoint that holds the target.
    auto onLate(const DemandTarget &target) -> void;
    /// A request was refused since the target cannot be loaded in time: its caller comes back, and
    /// others come, so the leader hears of it at once like of one that waits.
    auto onRefused(const DemandTarget &target) -> void;
    /// @return since when a request has been waiting for the target; now when none has
    auto lackingSince(const DemandTarget &target) const -> Instant;
    /// @return the report since the last one; its counts start anew
    auto take() -> proto::ModelWanted;

private:
    struct Counts
    {
        std::uint32_t arrived = 0;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t refused = 0;
        std::uint32_t late = 0;
        Instant lackingSince {};
    };

    const Clock &clock_;
    std::function<void()> onUrgent_;
    std::map<DemandTarget, Counts> counts_;
    Instant takenAt_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DEMAND_H
