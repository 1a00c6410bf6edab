// Decides which model is loaded where: placement, load order, prefetch, letting go.
//
//   auto planner = Planner { options };
//   planner.setClasses(...); planner.setModel(...); planner.setEndpoint(...);
//   planner.setReplica(...); planner.setDemand(...); planner.onArrivals(model, classId, n, now);
//   auto decisions = planner.plan(now);
//
// Its caller carries each decision out or not, and tells the planner by setReplica()
// before the next plan(): the planner holds tables, not beliefs, and decides anew
// what it was not told of. Setters cost
// what changed; plan() follows the models and endpoints touched since the last
// call, not the size of the fleet. Deterministic: equal calls, equal decisions.
//
// An adapter (ModelInfo::base names a model that was set) is loaded only onto an
// endpoint where a replica of its base is Ready, its memoryMb counts itself only,
// and the base stays while an adapter stands on it. An adapter whose base was
// never set is a model on its own.
//
// The caller reports an endpoint anew when heldMb changes: the planner counts
// the larger of heldMb and the replicas it was told of.
//
// Guarantees: a decision never makes an endpoint hold more memory than it has,
// counting loads in flight and orders in doubt; no model is loaded twice on one
// endpoint; no more replicas are decided than the demand at its targets needs;
// loads in flight from the store, those in doubt until their predicted end included,
// never pass the store's known concurrency by the planner's decisions.

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
    std::uint32_t storeConcurrency = 4; ///< Loads at once at the store's full speed.
    double storeLoadsPerSecond = 3.0;
    std::uint32_t maxDecisions = 64; ///< A call of plan().
    KeepRule keep = KeepByTarget {}; ///< Others are the benchmark's baselines.
};

/// When a model could take a request, as far as the planner knows.
struct ModelReadiness
{
    std::uint32_t ready = 0;   ///< Replicas on usable endpoints.
    std::uint32_t loading = 0; ///< The same, on the way.
    Millis nextReady = 0;      ///< Predicted end of the earliest load, absolute; 0 when none.
    Millis load = 0;           ///< One more load now, that of its base included if it has none.
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
    /// Arrivals for the history that predictions come from.
    auto onArrivals(const ModelId &model, const ClassId &classId, std::uint32_t count, Millis now)
            -> void;
    /// A load ended; teaches the predicted load time a tier and the store's present speed.
    auto onLoadDone(const ModelId &model, Tier from, Millis took, Millis now) -> void;
    /// @return what to change now, most urgent first
    auto plan(Millis now) -> std::vector<Decision>;
    /// @return when the model could take a request; what a router's ModelView needs
    auto readinessOf(const ModelId &model, Millis now) const -> ModelReadiness;
    /// @return how long a load of the model from a tier would take now, ms
    auto predictedLoad(const ModelId &model, Tier from, Millis now) const -> Millis;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_PLANNER_H
