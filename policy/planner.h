// Decides which model is loaded where: placement, load order, prefetch and unloading.
//
//   auto planner = Planner { options };
//   planner.setClasses(...); planner.setModel(...); planner.setEndpoint(...);
//   planner.setReplica(...); planner.setDemand(...); planner.onArrivals(model, classId, n, now);
//   auto decisions = planner.plan(now);
//
// The caller carries out each decision or drops it, and reports the outcome by setReplica()
// before the next plan(). The planner does not assume that its decisions were carried out: it
// decides again whatever was not reported. The cost of a setter depends on what changed; the
// cost of plan() depends on the models and endpoints touched since the last call, not on the
// size of the fleet. Deterministic: equal calls give equal decisions.
//
// An adapter (ModelInfo::base names a model that was set) is loaded only onto an endpoint
// where a replica of its base is Ready. Its memoryMb covers the adapter alone. The base stays
// loaded while one of its adapters is on the endpoint. An adapter whose base was never set is
// treated as a base model.
//
// The caller reports an endpoint again when heldMb changes: the planner uses the larger of
// heldMb and the memory of the replicas reported to it.
//
// Guarantees: a decision never makes an endpoint hold more memory than it has, counting loads
// in flight and orders whose outcome is unknown; no model is loaded twice on one endpoint; no
// more replicas are decided than the demand needs to meet its targets; decisions never make
// the loads in flight from the store, including those in doubt until their predicted end,
// exceed the store's known concurrency.

#ifndef FIGRACK_POLICY_PLANNER_H
#define FIGRACK_POLICY_PLANNER_H

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/keepwarm.h"
#include "policy/tables.h"

namespace figrack::policy {

struct PlannerOptions
{
    std::uint32_t storeConcurrency = 4; ///< Concurrent loads that the store serves at full speed.
    double storeLoadsPerSecond = 3.0;
    std::uint32_t maxDecisions = 64; ///< Per call of plan().
    KeepRule keep = KeepByTarget {}; ///< The other rules are baselines for the benchmark.
};

/// When a model could take a request, according to the planner's tables.
struct ModelReadiness
{
    std::uint32_t ready = 0;   ///< Replicas on usable endpoints.
    std::uint32_t loading = 0; ///< Replicas being loaded on usable endpoints.
    Millis nextReady = 0;      ///< Predicted end of the earliest load, absolute; 0 when none.
    Millis load = 0;           ///< Duration of one more load, with its base if none is ready.
};

class Planner
{
public:
    explicit Planner(PlannerOptions options);
    ~Planner();
    Planner(Planner &&) noexcept;
    auto operator=(Planner &&) noexcept -> Planner &;

    auto setClass(const ClassTarget &target) -> void;
    auto removeClass(const ClassId &id) -> void;
    auto setModel(const ModelInfo &model) -> void;
    auto removeModel(const ModelId &id) -> void;
    auto setEndpoint(const EndpointInfo &endpoint) -> void;
    auto removeEndpoint(const EndpointId &id) -> void;
    auto setCached(const EndpointId &endpoint, const ModelId &model, Tier tier) -> void;
    auto setReplica(const ReplicaInfo &replica) -> void;
    auto removeReplica(const ModelId &model, const EndpointId &endpoint) -> void;
    /// Replaces the demand of one model and class; queued == running == 0 removes it.
    auto setDemand(const DemandInfo &demand) -> void;
    /// Records arrivals in the history that predictions are made from.
    auto onArrivals(const ModelId &model, const ClassId &classId, std::uint32_t count, Millis now)
            -> void;
    /// Records the duration of a finished load. Updates the predicted load time of the tier and
    /// the current speed of the store.
    /// @param took ms
    auto onLoadDone(const ModelId &model, Tier from, Millis took, Millis now) -> void;
    /// @return the changes to make now, most urgent first
    auto plan(Millis now) -> std::vector<Decision>;
    /// @return when the model could take a request; input for a router's ModelView
    auto readinessOf(const ModelId &model, Millis now) const -> ModelReadiness;
    /// @return how long a load of the model from a tier would take now, ms
    auto predictedLoad(const ModelId &model, Tier from, Millis now) const -> Millis;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_PLANNER_H
