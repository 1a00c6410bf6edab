// The planner's clock is this process's monotonic clock in milliseconds. Wall times from the
// tables are converted by the current difference between the two clocks.

#include "control/scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/log.h"

namespace figrack::control {
namespace {

auto tierOf(state::CacheTier tier) -> policy::Tier
{
    switch (tier) {
    case state::CacheTier::Remote:
        return policy::Tier::Remote;
    case state::CacheTier::Disk:
        return policy::Tier::Disk;
    case state::CacheTier::Memory:
        return policy::Tier::Memory;
    }
    return policy::Tier::Remote;
}

auto phaseOf(const state::ReplicaRow &row, Fence present) -> policy::ReplicaPhase
{
    if (row.state == state::ReplicaState::Ready)
        return policy::ReplicaPhase::Ready;
    if (row.inDoubt || row.fence < present)
        return policy::ReplicaPhase::InDoubt;
    return row.state == state::ReplicaState::Loading ? policy::ReplicaPhase::Loading
                                                     : policy::ReplicaPhase::Unloading;
}

} // namespace

Scheduler::Scheduler(SchedulerOptions options, const Clock &clock, Node &node,
                     const Endpoints &endpoints, const Orders &orders)
    : options_(std::move(options))
    , clock_(clock)
    , node_(node)
    , endpoints_(endpoints)
    , orders_(orders)
    , demand_(options_.demand, clock)
{ }

auto Scheduler::now() const -> policy::Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now().time_since_epoch())
            .count();
}

auto Scheduler::toPlannerTime(state::Millis wall) const -> policy::Millis
{
    return wall - clock_.wallNow().time_since_epoch().count() + now();
}

auto Scheduler::onLeading(Term term) -> void
{
    term_ = term;
    intentsInFlight_ = 0;
    planNeeded_ = true;
    planner_.emplace(options_.planner);
    mirrorAll();
}

auto Scheduler::onNotLeading() -> void
{
    term_.reset();
    planner_.reset();
    demand_.clear();
    replicas_.clear();
    uses_.clear();
    proposedTiers_.clear();
    pendingLoads_.clear();
    backoffs_.clear();
}

// --- copying the tables into the planner ---

auto Scheduler::mirrorAll() -> void
{
    const auto &configuration = node_.tables().configuration();
    for (const auto &[id, spec] : configuration.classes)
        mirrorClass(id);
    for (const auto &[id, spec] : configuration.models)
        mirrorModel(id);
    for (const auto &[id, row] : node_.tables().endpoints()) {
        mirrorEndpoint(id);
        mirrorCaches(row.spec);
    }
}

auto Scheduler::mirrorClass(const ClassId &id) -> void
{
    const auto &classes = node_.tables().configuration().classes;
    const auto found = classes.find(id);
    if (found == classes.end()) {
        planner_->removeClass(id);
        return;
    }
    const auto &spec = found->second;
    const auto share = static_cast<double>(spec.sharePercent) / 100.0;
    planner_->setClass({ id, spec.startTarget, spec.finishTarget, share });
}

auto Scheduler::mirrorModel(const ModelId &id) -> void
{
    const auto &models = node_.tables().configuration().models;
    const auto found = models.find(id);
    if (found == models.end()) {
        planner_->removeModel(id);
        return;
    }
    const auto &spec = found->second;
    const auto memory = node_.tables().replicaMemoryMb(id);
    planner_->setModel({ id, spec.version, spec.base, memory, spec.slots });
}

// Copies only the objects that the change names. Copying the whole configuration would make
// the cost of each change grow with the size of the catalogue. The tables may already
// contain later changes.
auto Scheduler::mirrorChange(const state::ConfigOperation &operation) -> void
{
    if (const auto *putClass = std::get_if<state::PutClass>(&operation))
        mirrorClass(putClass->spec.id);
    else if (const auto *goneClass = std::get_if<state::DeleteClass>(&operation))
        mirrorClass(goneClass->id);
    else if (const auto *putModel = std::get_if<state::PutModel>(&operation))
        mirrorModel(putModel->spec.id);
    else if (const auto *goneModel = std::get_if<state::DeleteModel>(&operation))
        mirrorModel(goneModel->id);
}

auto Scheduler::mirrorEndpoint(const EndpointId &endpoint) -> void
{
    const auto &tables = node_.tables();
    const auto found = tables.endpoints().find(endpoint);
    auto gone = std::exchange(replicas_[endpoint], {});
    if (found == tables.endpoints().end()) {
        for (const auto &model : gone)
            planner_->removeReplica(model, endpoint);
        planner_->removeEndpoint(endpoint);
        replicas_.erase(endpoint);
        return;
    }
    const auto &row = found->second;
    auto info = policy::EndpointInfo {};
    info.id = endpoint;
    info.domain = row.spec.domain;
    info.memoryMb = row.spec.kind == state::EndpointKind::Engine ? row.spec.memoryMb : 0;
    info.heldMb = tables.memoryHeldMb(endpoint) + orders_.unlistedMb(endpoint);
    info.accelerators = row.spec.accelerators;
    info.draining = row.draining;
    info.usable = !row.draining && !row.suspected && !isBackedOff(endpoint);
    planner_->setEndpoint(info);
    for (const auto &[model, memory] : tables.modelsOn(endpoint)) {
        mirrorReplica(tables.replicas().at(state::ReplicaKey { model, endpoint }));
        replicas_[endpoint].insert(model);
        gone.erase(model);
    }
    for (const auto &model : gone) {
        planner_->removeReplica(model, endpoint);
        uses_.erase(state::ReplicaKey { model, endpoint });
    }
}

auto Scheduler::mirrorCaches(const state::EndpointSpec &spec) -> void
{
    for (const auto &cached : spec.cached)
        planner_->setCached(spec.id, cached.model, tierOf(cached.tier));
}

auto Scheduler::mirrorReplica(const state::ReplicaRow &row) -> void
{
    const auto key = state::ReplicaKey { row.model, row.endpoint };
    const auto [use, added] = uses_.try_emplace(key);
    if (added)
        use->second.idleSince = now();
    auto info = policy::ReplicaInfo {};
    info.model = row.model;
    info.endpoint = row.endpoint;
    info.phase = phaseOf(row, Fence { term_->value() });
    info.readyAt = toPlannerTime(row.readyAt);
    info.idleSince = std::max(use->second.idleSince, info.readyAt);
    info.running = use->second.running;
    info.waiting = use->second.waiting;
    planner_->setReplica(info);
}

auto Scheduler::mirrorDemand(const std::set<DemandCell> &cells) -> void
{
    for (const auto &cell : cells)
        planner_->setDemand(demand_.sum(cell, now()));
    planNeeded_ = planNeeded_ || !cells.empty();
}

auto Scheduler::onDemand(const proto::DemandReport &report) -> void
{
    if (!planner_)
        return;
    const auto change = demand_.onReport(report);
    for (const auto &arrivals : change.arrivals)
        planner_->onArrivals(arrivals.cell.model, arrivals.cell.classId, arrivals.count, now());
    mirrorDemand(change.cells);
}

auto Scheduler::onReport(const proto::EndpointReport &report) -> void
{
    if (!planner_ || !endpoints_.report(report.spec.id))
        return;
    const auto &replicas = node_.tables().replicas();
    for (const auto &seen : report.replicas) {
        const auto key = state::ReplicaKey { seen.model, report.spec.id };
        const auto row = replicas.find(key);
        if (row == replicas.end())
            continue;
        auto &use = uses_[key];
        if (seen.running + seen.waiting > 0 || use.running + use.waiting > 0)
            use.idleSince = now();
        use.running = seen.running;
        use.waiting = seen.waiting;
        mirrorReplica(row->second);
    }
}

auto Scheduler::onApplied(const AppliedCommand &applied) -> void
{
    if (!planner_ || !applied.applied.status.ok())
        return;
    planNeeded_ = true;
    const auto &command = applied.command;
    if (const auto *change = std::get_if<state::ConfigChange>(&command)) {
        mirrorChange(change->operation);
    } else if (const auto *joined = std::get_if<state::RegisterEndpoint>(&command)) {
        mirrorEndpoint(joined->spec.id);
        mirrorCaches(joined->spec);
    } else if (const auto *drained = std::get_if<state::DrainEndpoint>(&command)) {
        mirrorEndpoint(drained->endpoint);
    } else if (const auto *suspected = std::get_if<state::SuspectEndpoint>(&command)) {
        mirrorEndpoint(suspected->endpoint);
    } else if (const auto *forgotten = std::get_if<state::ForgetEndpoint>(&command)) {
        mirrorEndpoint(forgotten->endpoint);
    } else if (const auto *intent = std::get_if<state::OrderIntent>(&command)) {
        recordIntent(*intent, applied.index);
    } else if (const auto *outcome = std::get_if<state::OrderOutcome>(&command)) {
        recordOutcome(*outcome, applied.applied.replica->second);
    }
}

auto Scheduler::recordIntent(const state::OrderIntent &intent, LogIndex index) -> void
{
    const auto key = state::ReplicaKey { intent.model, intent.endpoint };
    const auto tier = proposedTiers_.find(key);
    if (tier != proposedTiers_.end() && intent.action == state::OrderAction::Load)
        pendingLoads_[OrderId { index.value() }] = { intent.model, tier->second, now() };
    mirrorEndpoint(intent.endpoint);
}

auto Scheduler::recordOutcome(const state::OrderOutcome &outcome, const EndpointId &endpoint)
        -> void
{
    const auto pending = pendingLoads_.find(outcome.order);
    if (pending != pendingLoads_.end()) {
        const auto &load = pending->second;
        if (outcome.result == state::OrderResult::Loaded) {
            planner_->onLoadDone(load.model, load.from, now() - load.startedAt, now());
            backoffs_.erase(endpoint);
        }
        pendingLoads_.erase(pending);
    }
    mirrorEndpoint(endpoint);
}

auto Scheduler::isIdle(const state::ReplicaKey &key) const -> bool
{
    const auto use = uses_.find(key);
    return use != uses_.end() && use->second.running + use->second.waiting == 0;
}

auto Scheduler::onFailure(const LoadFailure &failure) -> void
{
    if (!planner_)
        return;
    auto &backoff = backoffs_[failure.endpoint];
    backoff.delay = std::clamp(backoff.delay * 2, options_.backoffMin, options_.backoffMax);
    backoff.until = clock_.now() + backoff.delay;
    backoff.active = true;
    LogEvent(LogLevel::Warning, "load_failed")
            .with("endpoint", failure.endpoint)
            .with("model", failure.model);
    mirrorEndpoint(failure.endpoint);
}

auto Scheduler::isBackedOff(const EndpointId &endpoint) const -> bool
{
    const auto found = backoffs_.find(endpoint);
    return found != backoffs_.end() && found->second.active;
}

// Keeps the entries, so that the next failure of the endpoint leads to a longer back-off.
auto Scheduler::endExpiredBackoffs() -> void
{
    for (auto &[endpoint, backoff] : backoffs_) {
        if (!backoff.active || backoff.until > clock_.now())
            continue;
        backoff.active = false;
        mirrorEndpoint(endpoint);
    }
}

// --- decisions ---

auto Scheduler::tick() -> void
{
    if (!planner_ || !node_.holdsLease())
        return;
    mirrorDemand(demand_.dropStale());
    endExpiredBackoffs();
    if (intentsInFlight_ > 0 || (!planNeeded_ && clock_.now() < nextPlanAt_))
        return;
    plan();
}

auto Scheduler::plan() -> void
{
    planNeeded_ = false;
    nextPlanAt_ = clock_.now() + options_.planEvery;
    for (const auto &decision : planner_->plan(now()))
        propose(decision);
}

auto Scheduler::propose(const policy::Decision &decision) -> void
{
    const auto &tables = node_.tables();
    const auto endpoint = tables.endpoints().find(decision.endpoint);
    if (endpoint == tables.endpoints().end())
        return;
    const auto load = decision.kind == policy::DecisionKind::Load;
    const auto key = state::ReplicaKey { decision.model, decision.endpoint };
    auto intent = state::OrderIntent {};
    intent.action = load ? state::OrderAction::Load : state::OrderAction::Unload;
    intent.endpoint = decision.endpoint;
    intent.incarnation = endpoint->second.spec.incarnation;
    intent.model = decision.model;
    intent.fence = Fence { term_->value() };
    intent.reason = decision.reason;
    intent.at = clock_.wallNow().time_since_epoch().count();
    intent.readyAt = intent.at + std::max<policy::Millis>(decision.expectedReady - now(), 0);
    const auto row = tables.replicas().find(key);
    const auto model = tables.configuration().models.find(decision.model);
    if (row != tables.replicas().end())
        intent.version = row->second.version;
    else if (model != tables.configuration().models.end())
        intent.version = model->second.version;
    if (load)
        proposedTiers_[key] = decision.from;
    ++intentsInFlight_;
    node_.propose(intent, [this, key, term = *term_](const absl::StatusOr<AppliedCommand> &result) {
        if (term_ != term)
            return;
        --intentsInFlight_;
        proposedTiers_.erase(key);
        if (result.ok() && !result->applied.status.ok()) {
            LogEvent(LogLevel::Warning, "intent_refused")
                    .with("endpoint", key.second)
                    .with("model", key.first)
                    .with(result->applied.status);
            mirrorEndpoint(key.second);
        }
    });
}

} // namespace figrack::control
