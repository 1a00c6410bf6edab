#include "fleet/planning.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

#include "catalogue/contention.h"
#include "core/log.h"

namespace figrack::fleet {
namespace {

/// Minimum time between two log lines about one model that waits to be loaded.
constexpr auto deferLogInterval = std::chrono::seconds { 1 };

/// Adds up to a number of the ids.
auto addSome(const EndpointIndex::Ids &ids, std::size_t count, std::set<EndpointId> &result) -> void
{
    const auto end
            = std::next(ids.begin(), static_cast<std::ptrdiff_t>(std::min(count, ids.size())));
    result.insert(ids.begin(), end);
}

} // namespace

Planning::Planning(PlanningOptions options, PlanningParts parts, ReadDocument readDocument)
    : options_(options)
    , parts_(parts)
    , readDocument_(std::move(readDocument))
{ }

auto Planning::run(Term term) -> void
{
    const auto *catalogue = currentCatalogue();
    lacked_.clear();
    if (catalogue == nullptr)
        return;
    unreachable_ = parts_.demand.unreachable();
    unreachedGroups_ = parts_.demand.unreachedGroups();
    for (const auto &service : catalogue->services) {
        if (service.engine)
            planService(service, term);
    }
}

auto Planning::currentCatalogue() -> const catalogue::Catalogue *
{
    const auto &held = parts_.decisions.log().document();
    if (held.version == Revision {})
        return nullptr;
    if (catalogue_ && catalogue_->version == held.version)
        return catalogue_.get();
    auto read = readDocument_(held.text);
    if (!read.ok()) {
        LogEvent(LogLevel::Error, "document_not_read").with(read.status());
        return nullptr;
    }
    catalogue_ = std::make_shared<const catalogue::Catalogue>(*std::move(read));
    isOrdered_ = catalogue::asksForOrderedAdmission(*catalogue_);
    deferrable_.clear();
    for (const auto &service : catalogue_->services) {
        if (catalogue::hasDeferrableRoute(*catalogue_, service))
            deferrable_.insert(service.id);
    }
    return catalogue_.get();
}

auto Planning::planService(const catalogue::Service &service, Term term) -> void
{
    const auto &engine = *service.engine;
    auto &orders = parts_.orders;
    auto asked = parts_.demand.of(service.id);
    std::erase_if(asked.models,
                  [this](const auto &wanted) { return parts_.loadGuard.isBarred(wanted.first); });
    const auto isDeferrable = deferrable_.contains(service.id);
    const auto held = isDeferrable ? heldOf(service.id, asked) : HeldTargets {};
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    auto running = std::unordered_map<EndpointId, std::uint32_t> {};
    for (const auto &load : parts_.demand.loads())
        running[load.endpoint] = load.running;
    const auto &all = parts_.registry.index().ofService(service.id);
    const auto isLarge = all.size() > options_.considerAllUpTo;
    for (const auto &id : isLarge ? hostsFor(service.id, asked) : all) {
        const auto *row = parts_.registry.find(id);
        if (row == nullptr || !isAvailable(id))
            continue;
        const auto *known = orders.held(id);
        input.hosts.push_back({ id, known != nullptr ? *known : row->models, row->inMemory,
                                row->onDisk, orders.busySeconds(id), running[id] });
    }
    if (isLarge) {
        auto holders = std::map<ModelId, std::uint32_t> {};
        for (const auto &model : engine.models)
            holders[model.id] = availableHolders(service.id, model.id);
        input.holders = std::move(holders);
        for (const auto &[key, wanted] : asked.adapters) {
            const auto &ids
                    = parts_.registry.index().adapterHolders(service.id, key.first, key.second);
            if (std::any_of(ids.begin(), ids.end(),
                            [&](const auto &id) { return isAvailable(id); }))
                input.heldAdapters.insert(key);
        }
    }
    for (const auto &[model, load] : asked.reading)
        asked.models[model].readReplicas = replicasForReading(load, options_.reading);
    input.models = std::move(asked.models);
    input.adapters = std::move(asked.adapters);
    input.loading = orders.loading();
    input.stalled = orders.stalledLoads();
    input.loadingAdapters = orders.loadingAdapters();
    input.freshAdapters = orders.freshAdapters();
    input.storeLoads = orders.storeLoadsAllowed(engine);
    input.storeReserve = orders.storeLoadsAtOnce() > 1 ? 1 : 0;
    if (isDeferrable) {
        input.ordersByStart = true;
        input.freshModels
                = freshLoads_[service.id].onPass(input.models, held.models, parts_.clock.now());
    }
    const auto placement = plan(input);
    // Where no request can wait for several loads, a schedule keeps requests waiting for loads that
    // come too late.
    if (isOrdered_ && isDeferrable) {
        auto lacked = lackedLoads(service.id, input, placement, held, parts_.clock.now());
        lacked_.insert(lacked_.end(), std::make_move_iterator(lacked.begin()),
                       std::make_move_iterator(lacked.end()));
    }
    logDeferred(placement.deferred);
    notePutOff(service.id, placement.deferred);
    for (const auto &next : placement.plans) {
        logPlan(next, term);
        orders.start(next, std::shared_ptr<const catalogue::EngineSpec> { catalogue_, &engine });
    }
}

auto Planning::heldOf(const ServiceId &service, const ServiceDemand &asked) const -> HeldTargets
{
    const auto &index = parts_.registry.index();
    const auto isHeld = [this](const EndpointIndex::Ids &ids) {
        return std::any_of(ids.begin(), ids.end(),
                           [this](const EndpointId &id) { return isAvailable(id); });
    };
    auto result = HeldTargets {};
    for (const auto &[model, wanted] : asked.models) {
        if (isHeld(index.holders(service, model)))
            result.models.insert(model);
    }
    for (const auto &[key, wanted] : asked.adapters) {
        if (isHeld(index.adapterHolders(service, key.first, key.second)))
            result.adapters.insert(key);
    }
    return result;
}

/// @return the endpoints that a pass considers in a large fleet
auto Planning::hostsFor(const ServiceId &service, const ServiceDemand &asked)
        -> std::set<EndpointId>
{
    const auto &index = parts_.registry.index();
    auto result = std::set<EndpointId> {};
    for (const auto &[model, wanted] : asked.models) {
        const auto &holders = index.holders(service, model);
        if (!holders.empty() && wanted.missed() + wanted.waiting == 0
            && wanted.running < holders.size())
            continue;
        addSome(holders, options_.perModel, result);
        addSome(index.copies(service, model), options_.perModel, result);
    }
    for (const auto &[key, wanted] : asked.adapters) {
        if (wanted.unserved() > 0)
            addSome(index.holders(service, key.first), options_.perModel, result);
    }
    const auto &all = index.ofService(service);
    auto &next = nextInTurn_[service];
    auto item = all.lower_bound(next);
    for (std::size_t i = 0; i < std::min(options_.inTurn, all.size()); ++i) {
        if (item == all.end())
            item = all.begin();
        result.insert(*item++);
    }
    next = item == all.end() ? EndpointId {} : *item;
    return result;
}

auto Planning::isAvailable(const EndpointId &id) const -> bool
{
    const auto *row = parts_.registry.find(id);
    return row != nullptr && !unreachable_.contains(id) && !unreachedGroups_.contains(row->group())
            && !parts_.decisions.newestEvacuations().contains(row->domain);
}

/// @return the number of endpoints that hold the model; where there are many, a few more or less
/// do not matter
auto Planning::availableHolders(const ServiceId &service, const ModelId &model) const
        -> std::uint32_t
{
    const auto &ids = parts_.registry.index().holders(service, model);
    if (ids.size() > options_.perModel)
        return static_cast<std::uint32_t>(ids.size());
    return static_cast<std::uint32_t>(
            std::count_if(ids.begin(), ids.end(), [&](const auto &id) { return isAvailable(id); }));
}

auto Planning::logPlan(const Plan &plan, Term term) const -> void
{
    LogEvent(LogLevel::Info, "plan")
            .with("endpoint", plan.endpoint)
            .with("model", plan.steps.back().model)
            .with("adapter", plan.steps.back().adapter)
            .with("unloads", static_cast<std::uint64_t>(plan.steps.size() - 1))
            .with("source", loadSourceName(plan.source))
            .with("config", catalogue_->version)
            .with("term", term);
}

/// Logs at most one line per model and second, so that the log shows what requests for that model
/// waited for.
auto Planning::logDeferred(const std::vector<Deferral> &deferred) -> void
{
    const auto now = parts_.clock.now();
    std::erase_if(deferLoggedAt_,
                  [&](const auto &item) { return now - item.second >= deferLogInterval; });
    for (const auto &deferral : deferred) {
        if (!deferLoggedAt_.try_emplace(deferral.model, now).second)
            continue;
        const auto isPutOff = deferral.reason == DeferReason::PutOff;
        auto line = LogEvent { LogLevel::Info, isPutOff ? "load_put_off" : "plan_deferred" };
        line.with("model", deferral.model)
                .with("reason", deferReasonName(deferral.reason))
                .with("endpoint", deferral.endpoint)
                .with("seconds", deferral.seconds)
                .with("lacks", std::int64_t { deferral.unserved });
        if (isPutOff)
            line.with("spare_s", deferral.spareSeconds);
    }
}

/// Counts each load once, however many passes put it off.
auto Planning::notePutOff(const ServiceId &service, const std::vector<Deferral> &deferred) -> void
{
    if (!deferrable_.contains(service))
        return;
    auto now = std::set<ModelId> {};
    for (const auto &deferral : deferred) {
        if (deferral.reason == DeferReason::PutOff)
            now.insert(deferral.model);
    }
    auto &before = putOff_[service];
    for (const auto &model : now) {
        if (!before.contains(model))
            parts_.metrics.onLoadPutOff();
    }
    before = std::move(now);
}

} // namespace figrack::fleet
