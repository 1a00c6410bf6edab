// Decides what is loaded where, on the leader, and proposes it to the log.
//
//   scheduler.onLeading(term);
//   scheduler.onDemand(report);
//   scheduler.tick();            // plans, proposes intents
//
// It mirrors the tables, the demand and the endpoints' loads into policy::Planner
// and turns the planner's decisions into intents. What the intents bring about is
// control/orders.h's work.
//
// Guarantees: nothing is proposed outside the lease; while intents are on their
// way through the log nothing else is decided, so that no decision is made on a
// picture without them; an endpoint that refused or failed a load gets no further
// one for a while that doubles each time.

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
    Duration planEvery = std::chrono::milliseconds { 100 }; ///< Without news.
    Duration backoffMin = std::chrono::seconds { 1 };       ///< After a failed load; doubles.
    Duration backoffMax = std::chrono::seconds { 60 };
};

class Scheduler
{
public:
    /// @param clock,node,endpoints,orders outlive this
    Scheduler(SchedulerOptions options, const Clock &clock, Node &node, const Endpoints &endpoints,
              const Orders &orders);

    auto onLeading(Term term) -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onDemand(const proto::DemandReport &report) -> void;
    auto onReport(const proto::EndpointReport &report) -> void;
    auto onFailure(const LoadFailure &failure) -> void;
    auto tick() -> void;

    /// @return true when nothing ran or waited on a replica at its last report
    auto isIdle(const state::ReplicaKey &key) const -> bool;
    /// @return requests that wait at routers
    auto queued() const -> std::uint64_t { return demand_.queued(); }

private:
    /// An endpoint that failed loads lately.
    struct LoadBackoff
    {
        Instant until;
        Duration delay {};
        bool active = false;
    };
    /// What is known of a replica's use beyond the tables.
    struct Use
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        policy::Millis idleSince = 0;
    };
    /// A load on its way, for the lesson that its end teaches.
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
    std::map<state::ReplicaKey, policy::Tier>
            proposedTiers_; ///< Of loads decided, till they apply.
    std::map<OrderId, PendingLoad> pendingLoads_;
    std::map<EndpointId, LoadBackoff> backoffs_;
    std::size_t intentsInFlight_ = 0; ///< Intents on their way through the log.
    bool planNeeded_ = false;         ///< Something changed since the last plan.
    Instant nextPlanAt_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_SCHEDULER_H
