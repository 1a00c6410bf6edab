// The planner's tables of models, endpoints and replicas, with indexes that let a decision
// examine only the rows it concerns.
//
//   auto fleet = Fleet {};
//   fleet.setEndpoint(...); fleet.setReplica(...);
//   for (const auto &[free, endpoint] : fleet.byFree()) ...
//
// The memory held on an endpoint is the larger of what the endpoint reports (heldMb) and the
// sum over the replicas set here in any phase, plus what the current plan() has reserved. So a
// report that lags never makes memory appear free.

#ifndef FIGRACK_POLICY_FLEET_H
#define FIGRACK_POLICY_FLEET_H

#include <map>
#include <set>

#include "policy/forecast.h"
#include "policy/tables.h"

namespace figrack::policy {

struct ReplicaRow
{
    ReplicaInfo info;
    Tier from = Tier::Remote; ///< Source of a load in flight; set when it was first seen.
    std::uint64_t memoryMb = 0;
    Millis since = 0;      ///< When it was first seen, on the time scale of plan().
    double keepWorth = -1; ///< Worth of keeping it while idle, per MiB; negative if not idle.
};

/// A checkpoint cached on an endpoint.
struct CachedRow
{
    Tier tier = Tier::Remote;
    std::uint64_t memoryMb = 0;
};

struct EndpointRow
{
    EndpointInfo info;
    std::uint64_t replicasMb = 0;
    std::uint64_t releasingMb = 0; ///< Memory of replicas being unloaded.
    std::uint64_t soleMb = 0;      ///< Sizes of the checkpoints cached here and nowhere else.
    std::uint64_t reservedMb = 0;  ///< By decisions of the current plan().
    std::set<ModelId> models;      ///< Models with a replica here.
    auto heldMb() const -> std::uint64_t;
    auto freeMb() const -> std::uint64_t;
};

/// Replicas of a model on usable endpoints, by phase.
struct ReplicaCounts
{
    std::uint32_t ready = 0;
    std::uint32_t loading = 0;
};

struct ModelRow
{
    ModelInfo info;
    bool known = false; ///< In the configuration.
    std::map<EndpointId, CachedRow> cached;
    std::map<EndpointId, ReplicaRow> replicas;
    std::map<ClassId, DemandInfo> demand;
    std::set<ModelId> adapters;           ///< Models that name this one as their base.
    std::map<ClassId, double> classShare; ///< Decayed arrivals by class.
    ArrivalHistory history;
    Millis coldArrival = -1; ///< Last arrival that found no replica; -1 when none is open.
    Millis nextReview = -1;
    double peak = 0; ///< Decayed peak of streams running and queued.
    Millis peakAt = 0;
    double streamMillis = 0; ///< Decayed integral of running streams: with arrivals, Little's law.
    double arrivals = 0;
    Millis integratedAt = -1;
    std::uint32_t lastRunning = 0;
};

using ReplicaKey = std::pair<ModelId, EndpointId>;
/// Idle replicas by worth, lowest first.
using IdleIndex = std::set<std::pair<double, ReplicaKey>>;
using FreeIndex = std::set<std::pair<std::uint64_t, EndpointId>>;

class Fleet
{
public:
    auto setModel(const ModelInfo &model) -> void;
    /// Erases the model, or marks it unknown while it still has replicas.
    auto removeModel(const ModelId &id) -> void;
    auto setEndpoint(const EndpointInfo &endpoint) -> void;
    auto removeEndpoint(const EndpointId &id) -> void;
    auto setCached(const EndpointId &endpoint, const ModelId &model, Tier tier) -> void;
    /// @param now time of the last plan(), stored as when a new replica was first seen
    auto setReplica(const ReplicaInfo &replica, Millis now) -> void;
    auto removeReplica(const ModelId &model, const EndpointId &endpoint) -> void;
    /// Marks a Ready replica as idle.
    /// @param worth of keeping it, per MiB
    auto setIdle(const ReplicaKey &key, double worth) -> void;
    auto setBusy(const ReplicaKey &key) -> void;
    /// Reserves memory for a decision until releaseReserved().
    auto reserve(const ModelId &model, const EndpointId &endpoint) -> void;
    auto releaseReserved() -> void;

    auto findModel(const ModelId &id) -> ModelRow *;
    auto findModel(const ModelId &id) const -> const ModelRow *;
    auto findEndpoint(const EndpointId &id) const -> const EndpointRow *;
    auto models() const -> const std::map<ModelId, ModelRow> & { return models_; }
    /// Returns the row, created if it does not exist.
    auto model(const ModelId &id) -> ModelRow & { return models_[id]; }
    /// Usable endpoints by free memory, smallest first.
    auto byFree() const -> const FreeIndex & { return byFree_; }
    /// Replicas in phase Loading or InDoubt that read from the store.
    auto storeLoads() const -> const std::set<ReplicaKey> & { return storeLoads_; }
    /// @return true when the endpoint has a replica of the model or a reservation for one
    auto hasOrReserved(const ModelRow &model, const EndpointId &endpoint) const -> bool;
    /// Placements reserved in the current plan().
    auto reserved() const -> const std::set<ReplicaKey> & { return reserved_; }
    auto idle() const -> const IdleIndex & { return idle_; }
    /// Endpoints with replicas being unloaded.
    auto releasing() const -> const std::set<EndpointId> & { return releasing_; }
    auto counts(const ModelRow &model) const -> ReplicaCounts;
    auto tierAt(const ModelRow &model, const EndpointId &endpoint) const -> Tier;
    /// @return the base's row when the model is an adapter of a known base
    auto baseOf(const ModelRow &model) const -> const ModelRow *;

private:
    auto unindex(const EndpointId &id, const EndpointRow &row) -> void;
    auto index(const EndpointId &id, const EndpointRow &row) -> void;
    auto countSole(const ModelRow &model, bool add) -> void;
    auto uncache(ModelRow &model, const EndpointId &endpoint) -> void;
    auto eraseIfUnused(const ModelId &id) -> void;

    std::map<ModelId, ModelRow> models_;
    std::map<EndpointId, EndpointRow> endpoints_;
    FreeIndex byFree_;
    std::set<ReplicaKey> storeLoads_;
    std::set<ReplicaKey> reserved_;
    std::set<EndpointId> releasing_;
    IdleIndex idle_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_FLEET_H
