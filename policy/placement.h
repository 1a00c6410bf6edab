// Where one more replica of a model goes.
//
//   auto choice = Placer { fleet, times }.choose(model, maxWorth, now);
//   std::visit(..., choice);
//
// Counts memory (replicas in any phase, reservations, reports), prefers the
// endpoint that loads soonest (checkpoint in memory, on disk, remote), then a
// failure domain that has no replica of the model yet, then the tightest fit. An
// adapter goes onto an endpoint where a replica of its base is ready. When no
// memory is free, names the idle replicas whose loss costs least. Looks at the
// endpoints that have the checkpoint and at a bounded number of others, never
// at the whole fleet.

#ifndef FIGRACK_POLICY_PLACEMENT_H
#define FIGRACK_POLICY_PLACEMENT_H

#include <variant>

#include "policy/fleet.h"
#include "policy/loadtime.h"

namespace figrack::policy {

/// Load it here.
struct PlaceHere
{
    EndpointId endpoint;
    Tier from = Tier::Remote;
    Millis load = 0; ///< Predicted, ms.
};
/// Unload these first, adapters before their bases; the memory is then free on the endpoint.
struct EvictFirst
{
    EndpointId endpoint;
    std::vector<ReplicaKey> victims;
};
/// Memory is being freed on an endpoint; nothing to decide until it is.
struct AwaitMemory
{
    EndpointId endpoint;
};
/// A replica of the base has to be loaded first, or is on its way.
struct AwaitBase
{
    bool onTheWay = false;
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
    /// @param maxWorth idle replicas worth more than this in sum are not evicted
    /// @param storeOpen false when the store takes no further load
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
