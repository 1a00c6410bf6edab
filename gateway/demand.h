// Counts which models are requested at this gateway, for the leader's placement.
//
//   demand.onArrival(target);
//   demand.onWaitBegin(target);          // no endpoint holds it: reported to the leader
//   immediately auto report = demand.take();
//
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_DEMAND_H
#define FIGRACK_GATEWAY_DEMAND_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

/// A model of a service, or an adapter of that model.
/// What a request adds to the reading work of its model's replicas.
struct ReadWork
{
    std::uint64_t tokens = 0; ///< 0: not counted.
    Duration startTarget {};
};

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
    /// @param onUrgent called when a report should be sent immediately
    auto setOnUrgent(std::function<void()> onUrgent) -> void;
    auto onArrival(const DemandTarget &target, const ReadWork &work = {}) -> void;
    auto onStart(const DemandTarget &target) -> void;
    auto onEnd(const DemandTarget &target) -> void;
    /// Called when a request begins to wait for the target to be loaded.
    /// @param latestStart when it has to be dispatched to start on time; absent: not reported
    auto onWaitBegin(const DemandTarget &target, std::optional<Instant> latestStart = {}) -> void;
    /// @param latestStart as when the wait began
    auto onWaitEnd(const DemandTarget &target, std::optional<Instant> latestStart = {}) -> void;
    /// Called when an endpoint that holds the target exceeded the latency targets of a request.
    auto onLate(const DemandTarget &target) -> void;
    /// Called when a request was refused because the target cannot be loaded in time. Its caller
    /// will retry and other callers will come, so the leader is notified immediately, as for a
    /// request that waits.
    auto onRefused(const DemandTarget &target) -> void;
    /// @return the time since which requests have been waiting for the target; the current time if
    /// none is waiting
    auto waitingSince(const DemandTarget &target) const -> Instant;
    /// @return the report for the time since the last call, and resets the counts of that time
    auto take() -> proto::ModelWanted;

private:
    struct Counts
    {
        std::uint32_t arrived = 0;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t refused = 0;
        std::uint32_t late = 0;
        std::uint64_t readTokens = 0;
        Duration startTarget {}; ///< Shortest of the requests that add to readTokens.
        Instant waitingSince {};
        std::multiset<Instant> latestStarts; ///< Of waiting requests.
    };
    /// @return the shortest time left to a request that can still start on time; 0 if all are late
    static auto startWithinMs(const Counts &counts, Instant now) -> std::optional<std::uint64_t>;

    const Clock &clock_;
    std::function<void()> onUrgent_;
    std::map<DemandTarget, Counts> counts_;
    Instant takenAt_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DEMAND_H
