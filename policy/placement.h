// Chooses the endpoint for one more replica of a model.
//
//   auto choice = Placer { fleet, times }.choose(model, maxWorth, storeOpen, now);
//   std::visit(..., choice);
//
// Accounts for memory (replicas in any phase, reservations, reports). Prefers the endpoint
// that loads soonest (checkpoint in memory, on disk, remote), then a failure domain that has
// no replica of the model yet, then the tightest fit. An adapter goes onto an endpoint where a
// replica of its base is ready. When no memory is free, the result names the idle replicas
// that are cheapest to evict. Examines the endpoints that have the checkpoint and a bounded
// number of others, never the whole fleet.

#ifndef FIGRACK_POLICY_PLACEMENT_H
#define FIGRACK_POLICY_PLACEMENT_H

#include <variant>

#include "policy/fleet.h"
#include "policy/loadtime.h"

namespace figrack::policy {

/// Load the model on this endpoint.
struct PlaceHere
{
    EndpointId endpoint;
    Tier from = Tier::Remote;
    Millis load = 0; ///< Predicted, ms.
};
/// Unload these replicas first, adapters before their bases. Then the endpoint has enough memory.
struct EvictFirst
{
    EndpointId endpoint;
    std::vector<ReplicaKey> victims;
};
/// Wait: memory is being freed on an endpoint, or (with an empty endpoint) the store takes no
/// further load.
struct AwaitMemory
{
    EndpointId endpoint;
};
/// A replica of the base must be loaded first, or is being loaded.
struct AwaitBase
{
    bool isLoading = false;
};
/// No usable endpoint can take it.
struct NoPlace
{ };
using PlaceChoice = std::variant<PlaceHere, EvictFirst, AwaitMemory, AwaitBase, NoPlace>;

class Placer
{
public:
    Placer(const Fleet &fleet, const LoadTimes &times)
        : fleet_(fleet)
        , times_(times)
    { }
    /// @param maxWorth upper bound for the total worth of the idle replicas evicted
    /// @param storeOpen false when the store has reached its concurrency
    auto choose(const ModelRow &model, double maxWorth, bool storeOpen, Millis now) const
            -> PlaceChoice;

private:
    struct Candidate;
    auto candidates(const ModelRow &model) const -> std::vector<EndpointId>;
    auto baseEndpoints(const ModelRow &base) const -> std::vector<EndpointId>;
    auto fits(const ModelRow &model, const EndpointId &endpoint) const -> bool;
    auto bestOf(const ModelRow &model, const std::vector<EndpointId> &endpoints, bool storeOpen,
                Millis now) const -> PlaceChoice;
    auto choose(const ModelRow &model, const std::vector<EndpointId> &endpoints,
                const std::vector<EndpointId> &evictable, double maxWorth, bool storeOpen,
                Millis now) const -> PlaceChoice;
    auto evict(const ModelRow &model, const std::vector<EndpointId> &endpoints,
               double maxWorth) const -> PlaceChoice;
    auto leastWorthEndpoints(const ModelRow &model) const -> std::vector<EndpointId>;

    const Fleet &fleet_;
    const LoadTimes &times_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_PLACEMENT_H
