// Scheduler decides which endpoint loads or unloads which model. It runs on the leader and
// proposes its decisions to the replicated log.
//
//   scheduler.onLeading(term);
//   scheduler.onDemand(report);
//   scheduler.tick();            // Plans and proposes intents.
//
// The scheduler copies the tables, the demand and the endpoints' loads into
// policy::Planner and turns the planner's decisions into intents. control/orders.h
// carries the committed intents out.
//
// Guarantees: the scheduler proposes nothing while the leader does not hold its lease.
// While proposed intents are not yet applied or rejected it makes no further decisions,
// so that every plan takes all earlier decisions into account. After an endpoint refuses
// or fails a load, it receives no further load for a back-off time that doubles with each
// failure.

#ifndef FIGRACK_CONTROL_SCHEDULER_H
#define FIGRACK_CONTROL_SCHEDULER_H

#include <map>
#include <optional>
#include <set>

#include "control/demand.h"
#include "control/endpoints.h"
#include "control/node.h"
#include "control/orders.h"
#include "policy/planner.h"

namespace figrack::control {

struct SchedulerOptions
{
    policy::PlannerOptions planner;
    DemandOptions demand;
    /// Interval between plans while nothing changes.
    Duration planEvery = std::chrono::milliseconds { 100 };
    Duration backoffMin = std::chrono::seconds { 1 }; ///< After the first failed load; doubles.
    Duration backoffMax = std::chrono::seconds { 60 };
};

class Scheduler
{
public:
    /// @param clock,node,endpoints,orders must outlive this object
    Scheduler(SchedulerOptions options, const Clock &clock, Node &node, const Endpoints &endpoints,
              const Orders &orders);

    auto onLeading(Term term) -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onDemand(const proto::DemandReport &report) -> void;
    auto onReport(const proto::EndpointReport &report) -> void;
    auto onFailure(const LoadFailure &failure) -> void;
    auto tick() -> void;

    /// @return true if the last report of the replica showed no running or waiting request
    auto isIdle(const state::ReplicaKey &key) const -> bool;
    /// @return number of requests waiting at all routers
    auto queued() const -> std::uint64_t { return demand_.queued(); }

private:
    /// Back-off state of an endpoint that refused or failed a load.
    struct LoadBackoff
    {
        Instant until;
        Duration delay {};
        bool active = false;
    };
    /// Load of a replica, from endpoint reports; the tables do not hold it.
    struct Use
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        policy::Millis idleSince = 0;
    };
    /// A load that has not finished; its duration updates the planner's estimates.
    struct PendingLoad
    {
        ModelId model;
        policy::Tier from = policy::Tier::Remote;
        policy::Millis startedAt = 0;
    };

    auto mirrorAll() -> void;
    auto mirrorClass(const ClassId &id) -> void;
    auto mirrorModel(const ModelId &id) -> void;
    auto mirrorChange(const state::ConfigOperation &operation) -> void;
    auto mirrorEndpoint(const EndpointId &endpoint) -> void;
    auto mirrorCaches(const state::EndpointSpec &spec) -> void;
    auto mirrorReplica(const state::ReplicaRow &row) -> void;
    auto mirrorDemand(const std::set<DemandCell> &cells) -> void;
    auto recordOutcome(const state::OrderOutcome &outcome, const EndpointId &endpoint) -> void;
    auto isBackedOff(const EndpointId &endpoint) const -> bool;
    auto recordIntent(const state::OrderIntent &intent, LogIndex index) -> void;
    auto plan() -> void;
    auto propose(const policy::Decision &decision) -> void;
    auto endExpiredBackoffs() -> void;
    auto now() const -> policy::Millis;
    auto toPlannerTime(state::Millis wall) const -> policy::Millis;

    SchedulerOptions options_;
    const Clock &clock_;
    Node &node_;
    const Endpoints &endpoints_;
    const Orders &orders_;
    Demand demand_;
    std::optional<Term> term_;
    std::optional<policy::Planner> planner_; ///< While leading.
    std::map<EndpointId, std::set<ModelId>> replicas_;
    std::map<state::ReplicaKey, Use> uses_;
    /// Source tiers of loads that are proposed but not applied.
    std::map<state::ReplicaKey, policy::Tier> proposedTiers_;
    std::map<OrderId, PendingLoad> pendingLoads_;
    std::map<EndpointId, LoadBackoff> backoffs_;
    std::size_t intentsInFlight_ = 0; ///< Intents that are proposed but not applied.
    bool planNeeded_ = false;         ///< Something changed since the last plan.
    Instant nextPlanAt_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_SCHEDULER_H
