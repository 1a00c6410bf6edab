// The benchmark's endpoints and the replicas on them: memory, phases, streams and
// the account of idle accelerator time.
//
//   auto fleet = SimFleet { scenario };
//   auto &replica = fleet.add(endpoint, model, now);
//   fleet.setRunning(replica, +1, now);
//
// Checks what the planner promises: no endpoint ever holds more than its memory,
// no model twice on one endpoint.

#ifndef FIGRACK_BENCH_POLICYSIMFLEET_H
#define FIGRACK_BENCH_POLICYSIMFLEET_H

#include <deque>
#include <map>
#include <set>

#include "bench/policysimcache.h"
#include "bench/policysimworkload.h"

namespace figrack::bench {

/// An endpoint's index in the high half, a model's in the low one.
using SimKey = std::uint64_t;

constexpr auto simKey(std::uint32_t endpoint, std::uint32_t model) -> SimKey
{
    return (static_cast<SimKey>(endpoint) << 32) | model;
}
constexpr auto modelOf(SimKey key) -> std::uint32_t
{
    return static_cast<std::uint32_t>(key);
}
constexpr auto endpointOf(SimKey key) -> std::uint32_t
{
    return static_cast<std::uint32_t>(key >> 32);
}

struct SimReplica
{
    SimKey key = 0;
    policy::ReplicaPhase phase = policy::ReplicaPhase::Loading;
    policy::Tier from = policy::Tier::Remote;
    Millis orderedAt = 0;
    Millis expectedReady = 0;
    Millis idleSince = 0;
    std::set<std::uint32_t> running;   ///< Requests.
    std::deque<std::uint32_t> waiting; ///< In the engine's own queue.
    std::uint32_t beside = 0;          ///< For a base: streams on adapters beside it.
    Millis accountedTo = 0;
};

struct SimEndpoint
{
    policy::EndpointInfo info;
    SimCache cache;
    bool present = true;
};

class SimFleet
{
public:
    explicit SimFleet(const Scenario &scenario);

    auto endpoint(std::uint32_t index) -> SimEndpoint & { return endpoints_[index]; }
    auto endpointCount() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(endpoints_.size());
    }
    auto endpointIndex(const EndpointId &id) const -> std::uint32_t { return endpointIds_.at(id); }
    auto modelIndex(const ModelId &id) const -> std::uint32_t { return modelIds_.at(id); }
    auto find(SimKey key) -> SimReplica *;
    auto replicas() const -> const std::map<SimKey, SimReplica> & { return replicas_; }
    /// Starts a load. @return the replica
    auto add(SimKey key, Millis now) -> SimReplica &;
    auto remove(SimKey key, Millis now) -> void;
    auto start(SimReplica &replica, std::uint32_t request, Millis now) -> void;
    auto stop(SimReplica &replica, std::uint32_t request, Millis now) -> void;
    /// The ready replicas of a model, by endpoint id, with load as last reported.
    auto ready(std::uint32_t model) const -> const std::vector<policy::ReplicaInfo> &
    {
        return ready_[model];
    }
    auto setPhase(SimReplica &replica, policy::ReplicaPhase phase, Millis now) -> void;
    auto info(const SimReplica &replica) const -> policy::ReplicaInfo;
    /// Closes the account at the end of a run.
    auto finish(Millis now) -> void;
    auto idleHours() const -> double { return idleMillis_ / static_cast<double>(hour); }
    auto usedHours() const -> double { return usedMillis_ / static_cast<double>(hour); }

private:
    auto account(SimReplica &replica, Millis now) -> void;
    auto baseBeside(SimKey key) -> SimReplica *;
    auto rebuildReady(std::uint32_t model) -> void;

    const Scenario &scenario_;
    std::vector<SimEndpoint> endpoints_;
    std::map<EndpointId, std::uint32_t> endpointIds_;
    std::map<ModelId, std::uint32_t> modelIds_;
    std::map<SimKey, SimReplica> replicas_;
    std::vector<std::vector<policy::ReplicaInfo>> ready_;
    std::vector<std::set<std::uint32_t>> endpointsOf_; ///< By model.
    double idleMillis_ = 0;
    double usedMillis_ = 0;
};

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMFLEET_H
