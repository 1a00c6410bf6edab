// plan() reviews the models touched since the last call and those whose review time has come. A
// review compares the replicas wanted (demand.h) with those ready or being loaded. If replicas
// are missing, it records a need; otherwise it looks for replicas to unload (keepwarm.h,
// valuation.h). Needs are then placed (placement.h) in the order in which they would miss their
// targets: first those that can still be in time, by the latest start of the load; then the
// rest, shortest load first, so that long loads that are late anyway do not delay the others.
// Needs that cannot be placed yet are reviewed again in the next call. Reservations hold memory
// within one call only.

#include "policy/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "core/check.h"
#include "policy/demand.h"
#include "policy/fleet.h"
#include "policy/loadtime.h"
#include "policy/placement.h"
#include "policy/valuation.h"

namespace figrack::policy {

namespace {

constexpr auto priorServiceTime = 5000.0; ///< Prior: ms for which a stream holds a slot.
constexpr auto priorServiceWeight = 3.0;
constexpr auto serviceDecay = 0.999;          ///< Decay of the sums for Little's law, per review.
constexpr auto peakDecayTime = 60000.0;       ///< ms in which the peak of streams decays to 1/e.
constexpr auto coldWindow = Millis { 10000 }; ///< How long a refused arrival demands a load, ms.
constexpr auto reviewWarmMin = Millis { 1000 };
constexpr auto reviewWarmMax = Millis { 60000 };
constexpr auto reviewColdMin = Millis { 5000 };
constexpr auto reviewColdMax = Millis { 120000 };
constexpr auto worthWithoutEviction = 1e-300; ///< Worth loading if it fits without eviction.
constexpr auto unlimitedWorth = std::numeric_limits<double>::infinity();

enum class NeedKind : std::uint8_t { Demand, Predicted };

/// Replicas that a model lacks.
struct Need
{
    ModelId model;
    NeedKind kind = NeedKind::Demand;
    std::uint32_t count = 0;
    Millis latestStart = 0; ///< Latest start of the load that is in time.
    Millis load = 0;
    double worth = 0; ///< Upper bound for the worth of evicted replicas.
};

auto needOrder(const Need &need, Millis now)
{
    const auto late = need.latestStart < now;
    return std::tuple { need.kind, late, late ? need.load : need.latestStart, need.model };
}

/// @return true while requests for the model are queued or running at some router. The endpoint's
/// own report arrives later, so a replica that looks idle may have a dispatch in flight.
auto isInUse(const ModelRow &model) -> bool
{
    return std::any_of(model.demand.begin(), model.demand.end(), [](const auto &entry) {
        return entry.second.queued + entry.second.running > 0;
    });
}

} // namespace

class Planner::Impl
{
public:
    explicit Impl(PlannerOptions options)
        : options_(std::move(options))
        , times_({ options_.storeConcurrency, options_.storeLoadsPerSecond })
        , value_(fleet_, times_)
    { }

    auto plan(Millis now) -> std::vector<Decision>;
    auto touch(const ModelId &id) -> void;
    auto touchEndpoint(const EndpointId &id) -> void;

    PlannerOptions options_;
    Fleet fleet_;
    LoadTimes times_;
    Valuation value_;
    Millis lastPlan_ = 0;

private:
    auto takeDue(Millis now) -> std::set<ModelId>;
    auto setReview(const ModelId &id, ModelRow &model, Millis at) -> void;
    auto review(const ModelId &id, Millis now) -> void;
    auto integrate(ModelRow &model, Millis now) const -> void;
    auto queueState(const ModelRow &model, Millis now) const -> QueueState;
    auto reviewWaiting(const ModelId &id, ModelRow &model, Millis now) -> bool;
    auto reviewIdle(const ModelId &id, ModelRow &model, Millis now) -> void;
    auto reviewCold(const ModelId &id, ModelRow &model, Millis now) -> void;
    auto unloadFromDraining(const ModelId &id, const ModelRow &model) -> void;
    auto hasAdapterOn(const ModelRow &model, const EndpointId &endpoint) const -> bool;
    auto adapterDemand(const ModelRow &model) const -> bool;
    auto keepWorth(const ModelRow &model, const ReplicaRow &replica, Millis now) const -> double;
    auto shouldUnload(const ModelId &id, const ModelRow &model, const ReplicaRow &replica,
                      Millis now) -> bool;
    auto prefetchWorth(const ModelId &id, const ModelRow &model, Millis now) const -> double;
    auto storeInFlight(Millis now) const -> std::uint32_t;
    auto noticeOverdue(Millis now) -> void;
    auto place(const Need &need, Millis now) -> void;
    auto placeOne(const ModelId &id, const Need &need, Millis now) -> bool;
    auto decideLoad(const ModelId &id, const PlaceHere &here, const Need &need, Millis now) -> void;
    auto decideUnload(const ModelId &id, const EndpointId &endpoint, const char *reason) -> void;
    auto full() const -> bool { return decisions_.size() >= options_.maxDecisions; }

    std::set<ModelId> touched_;
    std::set<std::pair<Millis, ModelId>> reviews_;
    std::vector<Need> needs_;
    std::vector<Decision> decisions_;
    std::set<ReplicaKey> decided_; ///< In the current call.
    std::uint32_t storeDecided_ = 0;
};

auto Planner::Impl::touch(const ModelId &id) -> void
{
    touched_.insert(id);
    const auto *model = fleet_.findModel(id);
    if (model != nullptr && !model->info.base.empty())
        touched_.insert(model->info.base);
}

auto Planner::Impl::touchEndpoint(const EndpointId &id) -> void
{
    const auto *endpoint = fleet_.findEndpoint(id);
    if (endpoint == nullptr)
        return;
    for (const auto &model : endpoint->models)
        touch(model);
}

auto Planner::Impl::takeDue(Millis now) -> std::set<ModelId>
{
    auto due = std::exchange(touched_, {});
    while (!reviews_.empty() && reviews_.begin()->first <= now) {
        const auto id = reviews_.begin()->second;
        reviews_.erase(reviews_.begin());
        if (auto *model = fleet_.findModel(id))
            model->nextReview = -1;
        due.insert(id);
    }
    return due;
}

auto Planner::Impl::setReview(const ModelId &id, ModelRow &model, Millis at) -> void
{
    if (model.nextReview >= 0)
        reviews_.erase({ model.nextReview, id });
    model.nextReview = at;
    reviews_.insert({ at, id });
}

auto Planner::Impl::integrate(ModelRow &model, Millis now) const -> void
{
    if (model.integratedAt >= 0) {
        model.streamMillis += static_cast<double>(model.lastRunning)
                * static_cast<double>(now - model.integratedAt);
        model.streamMillis *= serviceDecay;
        model.arrivals *= serviceDecay;
    }
    model.integratedAt = now;
    auto running = std::uint32_t { 0 };
    auto queued = std::uint32_t { 0 };
    for (const auto &[id, demand] : model.demand) {
        running += demand.running;
        queued += demand.queued;
    }
    model.lastRunning = running;
    const auto age = static_cast<double>(now - model.peakAt);
    const auto faded = model.peak * std::exp(-age / peakDecayTime);
    model.peak = std::max<double>(faded, running + queued);
    model.peakAt = now;
}

auto Planner::Impl::queueState(const ModelRow &model, Millis now) const -> QueueState
{
    auto queue = QueueState {};
    for (const auto &[id, demand] : model.demand) {
        queue.running += demand.running;
        if (demand.queued > 0)
            queue.waiting.push_back(
                    { std::max<Millis>(demand.tightestStart - now, 0), demand.queued });
    }
    std::sort(queue.waiting.begin(), queue.waiting.end(),
              [](const Waiting &a, const Waiting &b) { return a.slack < b.slack; });
    queue.slots = std::max<std::uint32_t>(model.info.slots, 1);
    queue.loadTime = value_.coldStart(model, now);
    queue.serviceTime = std::max<Millis>(
            1,
            static_cast<Millis>((model.streamMillis + priorServiceTime * priorServiceWeight)
                                / (model.arrivals + priorServiceWeight)));
    for (const auto &[endpoint, replica] : model.replicas) {
        const auto *holder = fleet_.findEndpoint(endpoint);
        if (!holder->info.usable || holder->info.draining)
            continue;
        if (replica.info.phase == ReplicaPhase::Ready)
            ++queue.ready;
        if (replica.info.phase == ReplicaPhase::Loading)
            queue.loadingFor.push_back(std::max<Millis>(replica.info.readyAt - now, 0));
    }
    return queue;
}

/// Reviews a model that has requests waiting.
/// @return true when it has
auto Planner::Impl::reviewWaiting(const ModelId &id, ModelRow &model, Millis now) -> bool
{
    auto queue = queueState(model, now);
    if (queue.ready + queue.loadingFor.size() > 0
        || (model.coldArrival >= 0 && now - model.coldArrival > coldWindow + queue.loadTime))
        model.coldArrival = -1;
    if (queue.waiting.empty() && model.coldArrival >= 0)
        queue.waiting.push_back({ 0, 1 }); // Refused, since a load takes longer than its target.
    if (queue.waiting.empty())
        return false;
    const auto missing = replicasMissing(queue);
    if (missing > 0)
        needs_.push_back({ id, NeedKind::Demand, missing,
                           now + queue.waiting.front().slack - queue.loadTime, queue.loadTime,
                           unlimitedWorth });
    return true;
}

auto Planner::Impl::hasAdapterOn(const ModelRow &model, const EndpointId &endpoint) const -> bool
{
    return std::any_of(model.adapters.begin(), model.adapters.end(), [&](const ModelId &id) {
        const auto *adapter = fleet_.findModel(id);
        return adapter != nullptr && adapter->replicas.count(endpoint) > 0;
    });
}

/// @return true when requests wait for an adapter of the model
auto Planner::Impl::adapterDemand(const ModelRow &model) const -> bool
{
    return std::any_of(model.adapters.begin(), model.adapters.end(), [&](const ModelId &id) {
        const auto *adapter = fleet_.findModel(id);
        if (adapter == nullptr)
            return false;
        return adapter->coldArrival >= 0
                || std::any_of(adapter->demand.begin(), adapter->demand.end(),
                               [](const auto &entry) { return entry.second.queued > 0; });
    });
}

/// Returns the worth of keeping an idle replica, per MiB. Replicas with the lowest worth are
/// evicted first.
auto Planner::Impl::keepWorth(const ModelRow &model, const ReplicaRow &replica, Millis now) const
        -> double
{
    struct Worth
    {
        const Impl &impl;
        const ModelRow &model;
        const ReplicaRow &replica;
        Millis now;
        auto operator()(const KeepByTarget &) const -> double
        {
            return impl.value_.keepRatio(model, 0, now);
        }
        auto operator()(const KeepByOracle &rule) const -> double
        {
            const auto next = rule.nextUse(replica.info.model, now);
            return next < 0 ? 0.0 : 1.0 / static_cast<double>(std::max<Millis>(next - now, 1));
        }
        auto leastRecent() const -> double
        {
            const auto idle = std::max<Millis>(now - replica.info.idleSince, 1);
            return 1.0 / static_cast<double>(idle);
        }
        auto operator()(const KeepFixed &) const -> double { return leastRecent(); }
        auto operator()(const KeepUntilNeeded &) const -> double { return leastRecent(); }
        auto operator()(const KeepEverything &) const -> double { return leastRecent(); }
    };
    return std::visit(Worth { *this, model, replica, now }, options_.keep);
}

auto Planner::Impl::shouldUnload(const ModelId &id, const ModelRow &model,
                                 const ReplicaRow &replica, Millis now) -> bool
{
    struct ShouldUnload
    {
        Impl &impl;
        const ModelId &id;
        const ModelRow &model;
        const ReplicaRow &replica;
        Millis now;
        auto operator()(const KeepByTarget &) const -> bool { return replica.keepWorth < 1.0; }
        auto operator()(const KeepFixed &rule) const -> bool
        {
            return now - replica.info.idleSince >= rule.span;
        }
        auto operator()(const KeepUntilNeeded &) const -> bool { return false; }
        auto operator()(const KeepEverything &) const -> bool { return false; }
        auto operator()(const KeepByOracle &rule) const -> bool
        {
            // The next use is much further away than a load takes: loading again is cheaper.
            const auto next = rule.nextUse(id, now);
            return next < 0 || next - now > 4 * impl.value_.coldStart(model, now) + 10000;
        }
    };
    return std::visit(ShouldUnload { *this, id, model, replica, now }, options_.keep);
}

/// Unloads replicas that are not worth their accelerator time.
auto Planner::Impl::reviewIdle(const ModelId &id, ModelRow &model, Millis now) -> void
{
    const auto wanted = static_cast<std::uint32_t>(
            std::ceil(model.peak / std::max<std::uint32_t>(model.info.slots, 1) - 0.01));
    auto kept = fleet_.counts(model).ready;
    const auto hasAdapterDemand = adapterDemand(model);
    const auto inUse = isInUse(model);
    auto idleLeft = false;
    auto nextReview = reviewWarmMax;
    for (auto &[endpoint, replica] : model.replicas) {
        const auto &info = replica.info;
        if (info.phase != ReplicaPhase::Ready || info.running + info.waiting > 0)
            continue;
        const auto *holder = fleet_.findEndpoint(endpoint);
        if (!holder->info.usable || holder->info.draining)
            continue;
        if (hasAdapterDemand) {
            fleet_.setBusy({ id, endpoint });
            continue;
        }
        fleet_.setIdle({ id, endpoint }, keepWorth(model, replica, now));
        if (hasAdapterOn(model, endpoint))
            continue;
        const auto surplus = kept > std::max(wanted, 1U);
        const auto byTarget = std::holds_alternative<KeepByTarget>(options_.keep);
        const auto unloads = !model.known || (surplus && byTarget)
                || (!inUse && shouldUnload(id, model, replica, now));
        if (unloads && !full()) {
            decideUnload(id, endpoint, "idle");
            --kept;
            continue;
        }
        idleLeft = true;
        nextReview = std::min(nextReview, (now - info.idleSince) / 4);
    }
    if (idleLeft)
        setReview(id, model, now + std::clamp(nextReview, reviewWarmMin, reviewWarmMax));
}

/// @return the worth of loading the model without a request, which also bounds the worth of what
/// may be evicted for it; 0 when it is not worth a load
auto Planner::Impl::prefetchWorth(const ModelId &id, const ModelRow &model, Millis now) const
        -> double
{
    struct PrefetchWorth
    {
        const Impl &impl;
        const ModelId &id;
        const ModelRow &model;
        Millis now;
        auto operator()(const KeepByTarget &) const -> double
        {
            // An adapter alone loads quickly; only its base is worth prefetching.
            const auto *base = impl.fleet_.baseOf(model);
            if (base != nullptr && impl.fleet_.counts(*base).ready == 0)
                return 0;
            const auto load = static_cast<double>(impl.value_.coldStart(model, now));
            const auto ratio = impl.value_.keepRatio(model, load, now);
            return ratio > 1.5 ? ratio : 0.0;
        }
        auto operator()(const KeepFixed &) const -> double { return 0; }
        auto operator()(const KeepUntilNeeded &) const -> double { return 0; }
        auto operator()(const KeepEverything &) const -> double { return worthWithoutEviction; }
        auto operator()(const KeepByOracle &rule) const -> double
        {
            const auto next = rule.nextUse(id, now);
            const auto load = impl.value_.coldStart(model, now);
            if (next < 0 || next - now > 3 * load + 5000)
                return 0;
            return 1.0 / static_cast<double>(std::max<Millis>(next - now, 1));
        }
    };
    return std::visit(PrefetchWorth { *this, id, model, now }, options_.keep);
}

auto Planner::Impl::reviewCold(const ModelId &id, ModelRow &model, Millis now) -> void
{
    if (!model.known)
        return;
    const auto worth = prefetchWorth(id, model, now);
    if (worth > 0)
        needs_.push_back({ id, NeedKind::Predicted, 1, now, value_.coldStart(model, now),
                           worth * static_cast<double>(model.info.memoryMb) });
    const auto withoutHistory = std::holds_alternative<KeepByOracle>(options_.keep)
            || std::holds_alternative<KeepEverything>(options_.keep);
    if (!model.history.seen() && !withoutHistory)
        return;
    const auto age = withoutHistory ? 0 : (now - model.history.lastAt()) / 4;
    const auto wait = std::holds_alternative<KeepByOracle>(options_.keep)
            ? reviewWarmMin
            : std::clamp(age, reviewColdMin, reviewColdMax);
    setReview(id, model, now + wait);
}

/// Unloads idle replicas on draining endpoints.
auto Planner::Impl::unloadFromDraining(const ModelId &id, const ModelRow &model) -> void
{
    for (const auto &[endpoint, replica] : model.replicas) {
        const auto *holder = fleet_.findEndpoint(endpoint);
        if (!holder->info.draining || replica.info.phase != ReplicaPhase::Ready)
            continue;
        if (replica.info.running + replica.info.waiting == 0 && !hasAdapterOn(model, endpoint)
            && !full())
            decideUnload(id, endpoint, "drain");
    }
}

auto Planner::Impl::review(const ModelId &id, Millis now) -> void
{
    auto *model = fleet_.findModel(id);
    if (model == nullptr)
        return;
    integrate(*model, now);
    unloadFromDraining(id, *model);
    if (model->known && reviewWaiting(id, *model, now)) {
        for (const auto &[endpoint, replica] : model->replicas)
            fleet_.setBusy({ id, endpoint });
        setReview(id, *model, now + reviewWarmMin);
        return;
    }
    const auto counts = fleet_.counts(*model);
    if (counts.ready > 0)
        reviewIdle(id, *model, now);
    else if (counts.loading == 0)
        reviewCold(id, *model, now);
}

auto Planner::Impl::storeInFlight(Millis now) const -> std::uint32_t
{
    auto count = storeDecided_;
    for (const auto &[model, endpoint] : fleet_.storeLoads()) {
        const auto &info = fleet_.findModel(model)->replicas.at(endpoint).info;
        if (info.phase == ReplicaPhase::Loading || info.readyAt > now)
            ++count;
    }
    return count;
}

auto Planner::Impl::decideUnload(const ModelId &id, const EndpointId &endpoint, const char *reason)
        -> void
{
    if (!decided_.insert({ id, endpoint }).second)
        return;
    fleet_.setBusy({ id, endpoint });
    decisions_.push_back({ DecisionKind::Unload, id, endpoint, Tier::Remote, 0, reason });
}

auto Planner::Impl::decideLoad(const ModelId &id, const PlaceHere &here, const Need &need,
                               Millis now) -> void
{
    const auto &model = *fleet_.findModel(id);
    FIGRACK_CHECK(fleet_.findEndpoint(here.endpoint)->freeMb() >= model.info.memoryMb,
                  "a load never overcommits an endpoint's memory");
    FIGRACK_CHECK(model.replicas.count(here.endpoint) == 0
                          && decided_.insert({ id, here.endpoint }).second,
                  "no model is loaded twice on one endpoint");
    if (here.from == Tier::Remote) {
        FIGRACK_CHECK(storeInFlight(now) < options_.storeConcurrency,
                      "loads in flight never pass the store's concurrency");
        ++storeDecided_;
    }
    fleet_.reserve(id, here.endpoint);
    const auto *reason = need.kind == NeedKind::Predicted ? "predicted"
            : need.model != id                            ? "base"
                                                          : "demand";
    decisions_.push_back(
            { DecisionKind::Load, id, here.endpoint, here.from, now + here.load, reason });
}

/// Places one replica.
/// @return false when nothing more can be placed for this need in this call
auto Planner::Impl::placeOne(const ModelId &id, const Need &need, Millis now) -> bool
{
    struct Act
    {
        Impl &impl;
        const ModelId &id;
        const Need &need;
        Millis now;
        auto operator()(const PlaceHere &here) const -> bool
        {
            // Store bandwidth is reserved for waiting requests: a predicted load reads from the
            // store only if no endpoint has the checkpoint cached.
            if (need.kind == NeedKind::Predicted && here.from == Tier::Remote
                && !impl.fleet_.findModel(id)->cached.empty())
                return false;
            impl.decideLoad(id, here, need, now);
            return true;
        }
        auto operator()(const EvictFirst &evict) const -> bool
        {
            for (const auto &[model, endpoint] : evict.victims)
                impl.decideUnload(model, endpoint, "room");
            impl.fleet_.reserve(id, evict.endpoint);
            return false;
        }
        auto operator()(const AwaitMemory &await) const -> bool
        {
            if (!await.endpoint.empty())
                impl.fleet_.reserve(id, await.endpoint);
            return false;
        }
        auto operator()(const AwaitBase &await) const -> bool
        {
            const auto base = impl.fleet_.findModel(id)->info.base;
            const auto already = std::any_of(
                    impl.decisions_.begin(), impl.decisions_.end(), [&](const Decision &d) {
                        return d.kind == DecisionKind::Load && d.model == base;
                    });
            if (!await.isLoading && !already)
                impl.placeOne(base, need, now);
            return false;
        }
        auto operator()(const NoPlace &) const -> bool { return false; }
    };
    const auto storeOpen = storeInFlight(now) < options_.storeConcurrency;
    const auto choice
            = Placer { fleet_, times_ }.choose(*fleet_.findModel(id), need.worth, storeOpen, now);
    return std::visit(Act { *this, id, need, now }, choice);
}

auto Planner::Impl::place(const Need &need, Millis now) -> void
{
    auto left = need.count;
    while (left > 0 && !full() && placeOne(need.model, need, now))
        --left;
    if (left > 0 && need.kind == NeedKind::Demand)
        touched_.insert(need.model);
}

auto Planner::Impl::noticeOverdue(Millis now) -> void
{
    for (const auto &[model, endpoint] : fleet_.storeLoads()) {
        const auto &row = *fleet_.findModel(model);
        const auto &replica = row.replicas.at(endpoint);
        if (replica.info.phase == ReplicaPhase::Loading && replica.info.readyAt < now)
            times_.noticeOverdue(row.info.memoryMb, now - replica.since, now);
    }
}

auto Planner::Impl::plan(Millis now) -> std::vector<Decision>
{
    needs_.clear();
    decisions_.clear();
    decided_.clear();
    storeDecided_ = 0;
    lastPlan_ = now;
    noticeOverdue(now);
    for (const auto &id : takeDue(now))
        review(id, now);
    std::sort(needs_.begin(), needs_.end(), [now](const Need &a, const Need &b) {
        return needOrder(a, now) < needOrder(b, now);
    });
    for (const auto &need : needs_)
        place(need, now);
    fleet_.releaseReserved();
    return std::exchange(decisions_, {});
}

Planner::Planner(PlannerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{ }
Planner::~Planner() = default;
Planner::Planner(Planner &&) noexcept = default;
auto Planner::operator=(Planner &&) noexcept -> Planner & = default;

auto Planner::setClass(const ClassTarget &target) -> void
{
    impl_->value_.setClass(target);
}

auto Planner::removeClass(const ClassId &id) -> void
{
    impl_->value_.removeClass(id);
}

auto Planner::setModel(const ModelInfo &model) -> void
{
    impl_->fleet_.setModel(model);
    impl_->touch(model.id);
}

auto Planner::removeModel(const ModelId &id) -> void
{
    impl_->touch(id);
    impl_->fleet_.removeModel(id);
}

auto Planner::setEndpoint(const EndpointInfo &endpoint) -> void
{
    const auto *before = impl_->fleet_.findEndpoint(endpoint.id);
    const auto same = before != nullptr && before->info.usable == endpoint.usable
            && before->info.draining == endpoint.draining;
    impl_->fleet_.setEndpoint(endpoint);
    if (!same)
        impl_->touchEndpoint(endpoint.id);
}

auto Planner::removeEndpoint(const EndpointId &id) -> void
{
    impl_->touchEndpoint(id);
    impl_->fleet_.removeEndpoint(id);
}

auto Planner::setCached(const EndpointId &endpoint, const ModelId &model, Tier tier) -> void
{
    impl_->fleet_.setCached(endpoint, model, tier);
}

auto Planner::setReplica(const ReplicaInfo &replica) -> void
{
    impl_->fleet_.setReplica(replica, impl_->lastPlan_);
    impl_->touch(replica.model);
}

auto Planner::removeReplica(const ModelId &model, const EndpointId &endpoint) -> void
{
    impl_->touch(model);
    impl_->fleet_.removeReplica(model, endpoint);
}

auto Planner::setDemand(const DemandInfo &demand) -> void
{
    auto *model = impl_->fleet_.findModel(demand.model);
    if (model == nullptr)
        return;
    if (demand.queued == 0 && demand.running == 0)
        model->demand.erase(demand.classId);
    else
        model->demand[demand.classId] = demand;
    impl_->touch(demand.model);
}

auto Planner::onArrivals(const ModelId &model, const ClassId &classId, std::uint32_t count,
                         Millis now) -> void
{
    auto *row = impl_->fleet_.findModel(model);
    if (row == nullptr || !row->known || count == 0)
        return;
    impl_->value_.noteArrivals(*row, classId, count, now);
    const auto counts = impl_->fleet_.counts(*row);
    if (counts.ready + counts.loading == 0)
        row->coldArrival = now;
    impl_->touch(model);
}

auto Planner::onLoadDone(const ModelId &model, Tier from, Millis took, Millis now) -> void
{
    const auto *row = impl_->fleet_.findModel(model);
    if (row != nullptr)
        impl_->times_.learn(from, row->info.memoryMb, took, now);
}

auto Planner::plan(Millis now) -> std::vector<Decision>
{
    return impl_->plan(now);
}

auto Planner::readinessOf(const ModelId &model, Millis now) const -> ModelReadiness
{
    auto result = ModelReadiness {};
    const auto *row = impl_->fleet_.findModel(model);
    if (row == nullptr)
        return result;
    const auto counts = impl_->fleet_.counts(*row);
    result.ready = counts.ready;
    result.loading = counts.loading;
    result.load = impl_->value_.coldStart(*row, now);
    if (counts.loading > 0)
        result.nextReady = now + result.load;
    return result;
}

auto Planner::predictedLoad(const ModelId &model, Tier from, Millis now) const -> Millis
{
    const auto *row = impl_->fleet_.findModel(model);
    return impl_->times_.predict(from, row == nullptr ? 0 : row->info.memoryMb, now);
}

} // namespace figrack::policy
