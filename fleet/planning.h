// Plans loads from what the leader knows, and hands them to the order runner.
//
//   auto planning = Planning { options, parts, readDocument };
//   planning.run(term);                        // one pass over all services
//
// In a small fleet a pass considers every endpoint of a service. In a large one it
// considers the endpoints that hold a model with too few replicas, or have a copy of
// its weights, and further ones in turn. So the time of a pass depends on how many
// models need replicas, and not on the number of endpoints.
//
// Endpoints that gateways cannot reach, or whose failure domain is evacuated, count as
// absent: the models that they hold are available to nobody. Not thread-safe.

#ifndef FIGRACK_FLEET_PLANNING_H
#define FIGRACK_FLEET_PLANNING_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "catalogue/catalogue.h"
#include "core/clock.h"
#include "fleet/decisions.h"
#include "fleet/demandtable.h"
#include "fleet/loadguard.h"
#include "fleet/loadorder.h"
#include "fleet/loadschedule.h"
#include "fleet/metrics.h"
#include "fleet/orders.h"
#include "fleet/placement.h"
#include "fleet/registry.h"
#include "fleet/replicaneed.h"

namespace figrack::fleet {

struct PlanningOptions
{
    /// Up to this many endpoints of a service, a pass considers all of them.
    std::size_t considerAllUpTo = 400;
    /// Beyond that: endpoints considered for each model with too few replicas, of those that hold
    /// it and of those with a copy.
    std::size_t perModel = 32;
    /// Endpoints considered in turn, for loads from the store.
    std::size_t inTurn = 128;
    ReplicaNeedOptions reading;
};

/// What planning depends on. All of it must outlive the Planning.
struct PlanningParts
{
    const Clock &clock;
    const Registry &registry;
    const Decisions &decisions;
    const DemandTable &demand;
    const LoadGuard &loadGuard;
    OrderRunner &orders;
    Metrics &metrics;
};

class Planning
{
public:
    using ReadDocument = std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)>;
    Planning(PlanningOptions options, PlanningParts parts, ReadDocument readDocument);
    /// Plans for all services and starts the plans. @param term of the leadership, for the log
    auto run(Term term) -> void;
    /// @return what is lacked after the latest pass, for the load schedule; empty where the
    /// configuration does not ask for ordered admission
    auto lacked() const -> const std::vector<LackedLoad> & { return lacked_; }

private:
    auto currentCatalogue() -> const catalogue::Catalogue *;
    auto planService(const catalogue::Service &service, Term term) -> void;
    auto hostsFor(const ServiceId &service, const ServiceDemand &asked) -> std::set<EndpointId>;
    auto isAvailable(const EndpointId &id) const -> bool;
    auto availableHolders(const ServiceId &service, const ModelId &model) const -> std::uint32_t;
    auto logPlan(const Plan &plan, Term term) const -> void;
    /// @return those of the models and adapters in demand that an available endpoint announces
    auto heldOf(const ServiceId &service, const ServiceDemand &asked) const -> HeldTargets;
    auto logDeferred(const std::vector<Deferral> &deferred) -> void;
    auto notePutOff(const ServiceId &service, const std::vector<Deferral> &deferred) -> void;

    PlanningOptions options_;
    PlanningParts parts_;
    ReadDocument readDocument_;
    std::shared_ptr<const catalogue::Catalogue> catalogue_; ///< Of the held document.
    bool isOrdered_ = false;         ///< The configuration asks for ordered admission.
    std::set<ServiceId> deferrable_; ///< Services with a deferrable route.
    std::vector<LackedLoad> lacked_;
    std::map<ServiceId, FreshLoads> freshLoads_;
    std::map<ServiceId, std::set<ModelId>> putOff_;      ///< In the latest pass.
    std::set<catalogue::EndpointGroup> unreachedGroups_; ///< In this pass, as unreachable_.
    std::set<EndpointId> unreachable_;                   ///< In this pass.
    std::map<ServiceId, EndpointId> nextInTurn_;         ///< Where the next pass goes on.
    std::map<ModelId, Instant> deferLoggedAt_;           ///< Time of the last log line.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLANNING_H
