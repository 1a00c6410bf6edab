// A greedy algorithm that places one model after another. Fleets are small and
// demand changes within seconds, so a better assignment of the current loads is
// worth less than sending the orders at once.
//
// Costs are in seconds. The cost of evicting a model is the time its next requests
// wait until it is loaded again, weighted by how soon they are expected, plus the
// time until its requests in progress have ended.

#include "fleet/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>

#include "core/duration.h"
#include "fleet/loadorder.h"

namespace figrack::fleet {
namespace {

/// Requests in progress per endpoint above which a model gets another replica. More replicas leave
/// less room for models that are requested only occasionally, whose requests then need swaps.
constexpr auto overloadRequests = 10.0;
/// Engines with few places are overloaded earlier: at this fraction of their places.
constexpr auto overloadShare = 0.4;
/// Time, in seconds, that a request of a busy model is in progress. Used for models whose demand
/// has just begun, since their requests are not in progress yet.
constexpr auto typicalRequestSeconds = 1.0;
/// Benefit of another replica to each request in progress at an overloaded one, in seconds.
constexpr auto reliefSeconds = 0.25;
/// Benefit of another replica to each request that waits for an adapter, in seconds: when all
/// adapter places are in use, the request would wait for a stream of a few seconds to end.
constexpr auto waitSeconds = 1.0;
/// Window over which missed requests are counted, in seconds.
constexpr auto missWindow = 3.0;
/// Fraction of the arrivals that may be missed before a model gets another replica.
constexpr auto missedShare = 0.1;
constexpr auto minMissed = 4U;
/// Recent missed requests that justify a second swap while the first one is stalled.
constexpr auto urgentMissed = 10U;
/// Added to the cost of evicting an adapter with running requests: the endpoint refuses all orders
/// until the requests of the adapter that it unloads have ended.
constexpr auto inUsePenalty = 100.0;
/// Expected rate, per second, of a model that is requested only by chance.
constexpr auto rareRate = 0.05;
/// Approximate duration of the requests that an unload waits for, in seconds.
constexpr auto runSeconds = 1.0;
/// Cost of an unload that waits for requests in progress: the endpoint takes no other order in the
/// meantime.
constexpr auto unloadSeconds = 2.0;
/// Cost of losing the only replica of a model at one request a second: a load from disk and the
/// swap that it requires.
constexpr auto reloadSeconds = 1.2;
/// Cost of a load from the store, which occupies one of a few concurrent loads.
constexpr auto storePenalty = 2.0;
/// Weight of a request in progress relative to an adapter when an adapter is placed. Most adapters
/// are held by one endpoint only, so their requests cannot go elsewhere. When endpoints were chosen
/// by their number of adapters alone, streams with an adapter were late more often than others.
constexpr auto adapterLoadWeight = 0.5;
constexpr auto never = std::numeric_limits<double>::infinity();

auto contains(const std::vector<ModelId> &models, const ModelId &model) -> bool
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

auto overloadLimitOf(const catalogue::EngineSpec &engine) -> double
{
    return engine.slots == 0 ? overloadRequests
                             : std::min(overloadRequests, engine.slots * overloadShare);
}

/// The mutable state of one planning pass.
class Planner
{
public:
    explicit Planner(const PlacementInput &input)
        : input_(input)
        , hosts_(input.hosts)
        , overloadLimit_(overloadLimitOf(input.engine))
        , storeLoads_(input.storeLoads)
    {
        for (const auto &model : input.engine.models)
            specs_.emplace(model.id, &model);
        if (input.holders)
            holders_ = *input.holders;
        for (auto &host : hosts_) {
            for (const auto &held : host.models)
                holders_[held.model] += input.holders ? 0 : 1;
            for (const auto &id : copiesOf(host))
                copyHosts_[id].push_back(&host);
        }
    }

    auto run() -> Placement
    {
        for (const auto &[key, asked] : wantedAdapters())
            placeAdapter(key);
        maxUnserved_ = maxUnserved();
        for (const auto &model : wantedModels())
            placeModel(model);
        return { std::move(plans_), std::move(deferred_) };
    }

private:
    struct Candidate
    {
        Host *host = nullptr;
        double cost = never;
        std::vector<ModelId> victims;
        LoadSource source = LoadSource::Store;
    };

    auto asked(const ModelId &model) const -> RequestDemand
    {
        const auto found = input_.models.find(model);
        return found == input_.models.end() ? RequestDemand {} : found->second;
    }

    /// Models without a replica, the most wanted first, then those with overloaded replicas. Where
    /// loads are ordered by start, those whose requests can start on time come before all others. A
    /// model is listed once for each missing replica.
    auto wantedModels() const -> std::vector<ModelId>
    {
        auto wanted = std::vector<LoadWish> {};
        for (const auto &[model, want] : input_.models) {
            if (specOf(model) == nullptr)
                continue;
            const auto held = countOf(holders_, model);
            const auto countedLoads = countedLoadsOf(model, want);
            if (held + countedLoads == 0 && want.unserved() > 0)
                wanted.push_back({ model, spareOf(model), static_cast<double>(want.unserved()) });
            const auto expected
                    = std::max<double>(want.running, want.perSecond * typicalRequestSeconds);
            const auto enough = std::max(
                    { std::ceil(expected / overloadLimit_), replicasForAdapters(model),
                      replicasForMissed(want, held), static_cast<double>(want.readReplicas) });
            for (auto count = std::max(held + countedLoads, 1U); count < enough; ++count) {
                const auto late = std::max<double>(want.missed(), lateForReading(want, count));
                wanted.push_back({ model, std::nullopt, late / count });
            }
        }
        std::sort(wanted.begin(), wanted.end(), precedes);
        auto result = std::vector<ModelId> {};
        for (auto &load : wanted)
            result.push_back(std::move(load.model));
        return result;
    }

    /// @return the number of replicas being loaded. For a model that misses many requests, loads
    /// that wait for an unload do not count: 145 requests were refused during an unload of 6 s
    auto countedLoadsOf(const ModelId &model, const RequestDemand &want) const -> std::uint32_t
    {
        const auto loading = countOf(input_.loading, model);
        const auto stalled = countOf(input_.stalled, model);
        return want.missed() < urgentMissed ? loading : loading - std::min(loading, stalled);
    }

    /// @return the number of replicas wanted for a model that serves too many requests late
    auto replicasForMissed(const RequestDemand &want, std::uint32_t held) const -> double
    {
        const auto arrived = want.perSecond * missWindow;
        return want.missed() > arrived * missedShare && want.missed() >= minMissed ? held + 1.0
                                                                                   : 0.0;
    }

    /// @return the number of requests that a few seconds bring for a model and that its replicas
    /// cannot read in time
    static auto lateForReading(const RequestDemand &want, std::uint32_t count) -> double
    {
        if (count >= want.readReplicas)
            return 0;
        const auto unread = 1.0 - static_cast<double>(count) / want.readReplicas;
        return want.perSecond * missWindow * unread;
    }

    /// @return the number of replicas of a model needed for its adapters that are now in demand
    auto replicasForAdapters(const ModelId &model) const -> double
    {
        auto inUse = std::size_t { 0 };
        for (auto item = input_.adapters.lower_bound({ model, {} });
             item != input_.adapters.end() && item->first.first == model; ++item)
            inUse += item->second.running + item->second.waiting > 0 ? 1 : 0;
        const auto places = std::max<std::size_t>(input_.engine.maxAdapters, 1);
        return std::ceil(static_cast<double>(inUse) / static_cast<double>(places));
    }

    /// @return the number of requests that wait for an adapter of the model
    auto waitingForAdapters(const ModelId &model) const -> std::uint32_t
    {
        auto waiting = std::uint32_t { 0 };
        for (auto item = input_.adapters.lower_bound({ model, {} });
             item != input_.adapters.end() && item->first.first == model; ++item)
            waiting += item->second.waiting;
        return waiting;
    }

    static auto countOf(const std::map<ModelId, std::uint32_t> &counts, const ModelId &model)
            -> std::uint32_t
    {
        const auto found = counts.find(model);
        return found == counts.end() ? 0 : found->second;
    }

    auto wantedAdapters() const -> std::map<AdapterKey, RequestDemand>
    {
        auto wanted = std::map<AdapterKey, RequestDemand> {};
        for (const auto &[key, want] : input_.adapters) {
            // If an endpoint holds it already, the waiting requests just have not been told yet.
            if (want.unserved() > 0 && !key.second.empty() && !input_.loadingAdapters.contains(key)
                && !isHeldSomewhere(key))
                wanted.emplace(key, want);
        }
        return wanted;
    }

    auto isHeldSomewhere(const AdapterKey &key) const -> bool
    {
        if (input_.heldAdapters.contains(key))
            return true;
        return std::any_of(hosts_.begin(), hosts_.end(), [&](const Host &host) {
            return std::any_of(host.models.begin(), host.models.end(), [&](const auto &held) {
                return held.model == key.first && held.hasAdapter(key.second);
            });
        });
    }

    auto placeModel(const ModelId &model) -> void
    {
        const auto &spec = *specOf(model);
        const auto isExtra = holders_[model] > 0;
        auto best = Candidate {};
        for (auto *host : copyHosts_[model])
            consider(*host, spec, isExtra, best);
        // All hosts are considered only when no nearby copy is cheap enough: a plan for 112
        // endpoints and 375 models, 60 of them unserved, took 8.6 ms of processor time without this
        // check and 2.2 ms with it.
        if (mayUseStore(model, isExtra) && best.cost > leastStoreCost(spec, isExtra)) {
            for (auto &host : hosts_)
                consider(host, spec, isExtra, best);
        }
        // If a busy endpoint is still the best choice, the model waits for it.
        if (best.host == nullptr || !best.host->takesOrders()) {
            if (!isExtra)
                defer(spec, best);
            return;
        }
        const auto relief = reliefSeconds * asked(model).running / holders_[model]
                + waitSeconds
                        * (waitingForAdapters(model) + asked(model).missed()
                           + lateForReading(asked(model), holders_[model]));
        if (isExtra && best.cost > relief)
            return;
        if (!isExtra && mayPutOff(spec, best))
            putOff(spec, best);
        else
            begin(best, model);
    }

    /// @return the seconds to spare for the waiting requests of a model that is held nowhere
    auto spareOf(const ModelId &model) const -> std::optional<double>
    {
        if (!input_.ordersByStart)
            return std::nullopt;
        const auto &spec = *specOf(model);
        return spareOf(spec, fastestSource(spec));
    }

    auto spareOf(const catalogue::ModelSpec &spec, LoadSource source) const -> std::optional<double>
    {
        if (!input_.ordersByStart)
            return std::nullopt;
        return spareFor(asked(spec.id).startWithin, inSeconds(swapTime + loadTimeOf(spec, source)));
    }

    /// @return true when the model's requests can wait for the next pass, and its load would evict
    /// a model in use or take a load from the store that a more urgent model needs
    auto mayPutOff(const catalogue::ModelSpec &spec, const Candidate &best) const -> bool
    {
        if (!canWaitForNextPass(spareOf(spec, best.source), input_.passSeconds))
            return false;
        const auto isInUse = best.host->running > 0
                && std::any_of(best.victims.begin(), best.victims.end(),
                               [&](const ModelId &victim) { return asked(victim).running > 0; });
        return isInUse || (best.source == LoadSource::Store && storeLoads_ <= urgentStoreLoads_);
    }

    auto putOff(const catalogue::ModelSpec &spec, const Candidate &best) -> void
    {
        auto deferral = Deferral {};
        deferral.model = spec.id;
        deferral.reason = DeferReason::PutOff;
        deferral.endpoint = best.host->id;
        deferral.seconds = input_.passSeconds;
        deferral.unserved = asked(spec.id).unserved();
        deferral.loadSeconds = inSeconds(loadTimeOf(spec, best.source));
        deferral.spareSeconds = spareOf(spec, best.source).value_or(0);
        deferred_.push_back(std::move(deferral));
    }

    /// The store reserve for models without a replica is also open to a model whose replicas miss
    /// more requests each than any of those has unserved. Otherwise models that are requested once
    /// in several seconds would occupy the store while half of the requests for a busy model are
    /// refused. Such a model gets one load at a time, so that the others get their turn.
    auto mayUseStore(const ModelId &model, bool isExtra) const -> bool
    {
        if (!isExtra || storeLoads_ > input_.storeReserve)
            return storeLoads_ > 0;
        const auto isUrgent = missedPerReplica(model) > std::max(maxUnserved_, urgentMissed)
                && countOf(input_.loading, model) == 0;
        return isUrgent && storeLoads_ > 0;
    }

    auto missedPerReplica(const ModelId &model) const -> std::uint32_t
    {
        return asked(model).missed() / std::max(countOf(holders_, model), 1U);
    }

    /// @return the highest number of unserved requests of a model that is neither held nor loading
    auto maxUnserved() const -> std::uint32_t
    {
        auto result = 0U;
        for (const auto &[model, want] : input_.models) {
            if (countOf(holders_, model) + countOf(input_.loading, model) == 0)
                result = std::max(result, want.unserved());
        }
        return result;
    }

    /// @return the cost of a load from the store to an endpoint that no other model needs
    static auto leastStoreCost(const catalogue::ModelSpec &spec, bool isExtra) -> double
    {
        return (isExtra ? 0 : inSeconds(spec.loadFromStore)) + storePenalty;
    }

    auto consider(Host &host, const catalogue::ModelSpec &spec, bool isExtra, Candidate &best)
            -> void
    {
        if (holds(host, spec.id))
            return;
        auto candidate = weigh(host, spec, isExtra);
        if (candidate.cost < best.cost)
            best = std::move(candidate);
    }

    auto begin(const Candidate &best, const ModelId &model) -> void
    {
        if (best.source == LoadSource::Store)
            --storeLoads_;
        auto plan = Plan { best.host->id, {}, best.source };
        for (const auto &victim : best.victims) {
            plan.steps.push_back({ StepKind::Unload, victim, {} });
            --holders_[victim];
        }
        plan.steps.push_back({ StepKind::Load, model, {} });
        ++holders_[model];
        best.host->busySeconds = 1;
        plans_.push_back(std::move(plan));
    }

    auto defer(const catalogue::ModelSpec &spec, const Candidate &best) -> void
    {
        auto deferral = Deferral {};
        deferral.model = spec.id;
        deferral.unserved = asked(spec.id).unserved();
        auto source = fastestSource(spec);
        if (best.host != nullptr) {
            deferral.reason = DeferReason::Busy;
            deferral.endpoint = best.host->id;
            deferral.seconds = best.host->busySeconds;
            source = best.source;
        }
        deferral.loadSeconds = inSeconds(loadTimeOf(spec, source));
        if (source == LoadSource::Store && spareOf(spec, source))
            ++urgentStoreLoads_;
        deferred_.push_back(std::move(deferral));
    }

    /// @return the source of the fastest load among all endpoints, whether they have room or not
    auto fastestSource(const catalogue::ModelSpec &spec) const -> LoadSource
    {
        const auto found = copyHosts_.find(spec.id);
        if (found == copyHosts_.end())
            return LoadSource::Store;
        const auto isInMemory
                = std::any_of(found->second.begin(), found->second.end(),
                              [&](const Host *host) { return contains(host->inMemory, spec.id); });
        return isInMemory ? LoadSource::Memory : LoadSource::Disk;
    }

    /// @param isExtra the load adds a replica to a model that has one, so no request waits for it
    auto weigh(Host &host, const catalogue::ModelSpec &spec, bool isExtra) -> Candidate
    {
        auto candidate = Candidate { &host, host.busySeconds, {}, LoadSource::Store };
        if (contains(host.inMemory, spec.id)) {
            candidate.source = LoadSource::Memory;
            candidate.cost += inSeconds(spec.loadFromMemory);
        } else if (contains(host.onDisk, spec.id)) {
            candidate.source = LoadSource::Disk;
            candidate.cost += inSeconds(spec.loadFromDisk);
        } else if (!mayUseStore(spec.id, isExtra)) {
            candidate.cost = never;
            return candidate;
        } else {
            const auto load = inSeconds(spec.loadFromStore);
            candidate.cost += leastStoreCost(spec, isExtra);
            // Requests for its other copies that arrive meanwhile wait for half of the load.
            candidate.cost += swapsPerSecond(host) * load * load / 2;
        }
        if (isExtra)
            candidate.cost += blockedCost(host, spec);
        auto room = input_.engine.weightsMb - usedMb(host);
        auto victims = evictable(host);
        while (room < spec.weightsMb) {
            if (victims.empty()) {
                candidate.cost = never;
                return candidate;
            }
            const auto &[cost, victim] = victims.back();
            candidate.cost += cost;
            room += heldMb(*victim);
            candidate.victims.push_back(victim->model);
            victims.pop_back();
        }
        return candidate;
    }

    auto isHot(const ModelId &model) const -> bool
    {
        const auto count = countOf(holders_, model);
        return count > 0 && asked(model).running > count;
    }

    /// @return the room for weights that models in high demand leave free
    auto swapRoomMb(const Host &host) const -> double
    {
        auto room = input_.engine.weightsMb;
        for (const auto &held : host.models)
            room -= isHot(held.model) ? heldMb(held) : 0;
        return room;
    }

    /// Cost of a lasting replica on the host for the models that have no other copy of their
    /// weights elsewhere and would not fit beside it.
    auto blockedCost(const Host &host, const catalogue::ModelSpec &spec) -> double
    {
        if (swapHosts_.empty())
            countSwapHosts();
        const auto room = swapRoomMb(host);
        auto cost = 0.0;
        for (const auto &id : copiesOf(host)) {
            const auto *model = specOf(id);
            if (model == nullptr || id == spec.id || model->weightsMb <= room - spec.weightsMb
                || isHot(id))
                continue;
            const auto here = room >= model->weightsMb ? 1U : 0U;
            if (countOf(swapHosts_, id) <= here)
                cost += std::max(asked(id).perSecond, rareRate) * inSeconds(model->loadFromStore);
        }
        return cost;
    }

    /// @return the expected rate of requests for models that the host has a copy of and that no
    /// endpoint holds. Computed once per plan, since a plan changes it little
    auto swapsPerSecond(const Host &host) -> double
    {
        const auto found = swapRates_.find(&host);
        if (found != swapRates_.end())
            return found->second;
        if (swapHosts_.empty())
            countSwapHosts();
        auto &result = swapRates_[&host];
        for (const auto &id : copiesOf(host)) {
            if (countOf(holders_, id) == 0)
                result += std::max(asked(id).perSecond, rareRate)
                        / std::max(countOf(swapHosts_, id), 1U);
        }
        return result;
    }

    /// Counts for each model the hosts that have a copy of it and room to load it. Computed once
    /// per plan: a lookup for each pair of host and model took most of a leader's processor time.
    auto countSwapHosts() -> void
    {
        for (const auto &host : hosts_) {
            const auto room = swapRoomMb(host);
            for (const auto &id : copiesOf(host)) {
                const auto *model = specOf(id);
                if (model != nullptr && room >= model->weightsMb)
                    ++swapHosts_[id];
            }
        }
    }

    static auto copiesOf(const Host &host) -> std::set<ModelId>
    {
        auto copies = std::set<ModelId> { host.inMemory.begin(), host.inMemory.end() };
        copies.insert(host.onDisk.begin(), host.onDisk.end());
        for (const auto &held : host.models)
            copies.insert(held.model);
        return copies;
    }

    auto specOf(const ModelId &id) const -> const catalogue::ModelSpec *
    {
        const auto found = specs_.find(id);
        return found == specs_.end() ? nullptr : found->second;
    }

    /// @return the models that may be evicted from the host, with their costs; the cheapest is last
    auto evictable(const Host &host) const
            -> std::vector<std::pair<double, const catalogue::HeldModel *>>
    {
        auto result = std::vector<std::pair<double, const catalogue::HeldModel *>> {};
        for (const auto &held : host.models) {
            const auto want = asked(held.model);
            const auto count = std::max(countOf(holders_, held.model), 1U);
            // Refused callers will retry: a model that was just loaded for them must not be evicted
            // before any of them has returned.
            const auto isOnly
                    = count == 1 && (want.refused > 0 || want.running > overloadLimit_ / 2);
            if (want.waiting > 0 || isOnly || input_.freshModels.contains(held.model))
                continue;
            const auto running = want.running / static_cast<double>(count);
            auto cost = running * runSeconds + std::min(running, 1.0) * unloadSeconds;
            cost += want.perSecond / count * reloadSeconds;
            if (count > 1 && want.running > overloadLimit_ * (count - 1) / 2)
                cost += want.running;
            cost += waitSeconds * lateForReading(want, count - 1);
            result.emplace_back(cost, &held);
        }
        std::sort(result.begin(), result.end(),
                  [](const auto &one, const auto &other) { return one.first > other.first; });
        return result;
    }

    auto placeAdapter(const AdapterKey &key) -> void
    {
        const auto *spec = specOf(key.first);
        if (spec == nullptr)
            return;
        Host *best = nullptr;
        auto bestScore = never;
        for (auto &host : hosts_) {
            if (!host.takesOrders() || !holds(host, key.first))
                continue;
            const auto count = adapterCount(host);
            const auto isFull = count >= input_.engine.maxAdapters
                    || usedMb(host) + spec->adapterMb > input_.engine.weightsMb;
            const auto victim = isFull ? adapterVictim(host) : std::nullopt;
            if (isFull && !victim)
                continue;
            const auto score = static_cast<double>(count) + host.running * adapterLoadWeight
                    + (victim ? 10.0 + lossOf(*victim) : 0.0);
            if (score < bestScore) {
                bestScore = score;
                best = &host;
            }
        }
        if (best != nullptr)
            planAdapter(*best, key, *spec);
    }

    auto planAdapter(Host &host, const AdapterKey &key, const catalogue::ModelSpec &spec) -> void
    {
        auto plan = Plan { host.id, {}, LoadSource::Memory };
        const auto isFull = adapterCount(host) >= input_.engine.maxAdapters
                || usedMb(host) + spec.adapterMb > input_.engine.weightsMb;
        if (isFull) {
            const auto victim = adapterVictim(host);
            plan.steps.push_back({ StepKind::Unload, victim->first, victim->second });
        }
        plan.steps.push_back({ StepKind::Load, key.first, key.second });
        host.busySeconds = 1;
        plans_.push_back(std::move(plan));
    }

    auto askedAdapter(const AdapterKey &key) const -> RequestDemand
    {
        const auto found = input_.adapters.find(key);
        return found == input_.adapters.end() ? RequestDemand {} : found->second;
    }

    /// @return the host's adapter with the least demand; one with requests only if all have some
    auto adapterVictim(const Host &host) const -> std::optional<AdapterKey>
    {
        auto best = std::optional<AdapterKey> {};
        auto bestCost = never;
        for (const auto &held : host.models) {
            for (const auto &adapter : held.adapters) {
                auto key = AdapterKey { held.model, adapter };
                const auto want = askedAdapter(key);
                if (want.waiting > 0 || input_.freshAdapters.contains(key))
                    continue;
                if (const auto cost = lossOf(key); cost < bestCost) {
                    bestCost = cost;
                    best = std::move(key);
                }
            }
        }
        return best;
    }

    /// @return the relative cost of evicting an adapter
    auto lossOf(const AdapterKey &key) const -> double
    {
        const auto want = askedAdapter(key);
        return want.perSecond + want.running + (want.running > 0 ? inUsePenalty : 0.0);
    }

    static auto holds(const Host &host, const ModelId &model) -> bool
    {
        return std::any_of(host.models.begin(), host.models.end(),
                           [&](const auto &held) { return held.model == model; });
    }

    static auto adapterCount(const Host &host) -> std::size_t
    {
        auto count = std::size_t { 0 };
        for (const auto &held : host.models)
            count += held.adapters.size();
        return count;
    }

    auto heldMb(const catalogue::HeldModel &held) const -> double
    {
        const auto *spec = specOf(held.model);
        // The configuration no longer names this model, so its size is unknown.
        if (spec == nullptr)
            return 0;
        return spec->weightsMb + spec->adapterMb * static_cast<double>(held.adapters.size());
    }

    auto usedMb(const Host &host) const -> double
    {
        auto used = 0.0;
        for (const auto &held : host.models) {
            // A model of unknown size: assume that nothing more fits.
            if (specOf(held.model) == nullptr)
                return input_.engine.weightsMb;
            used += heldMb(held);
        }
        return used;
    }

    const PlacementInput &input_;
    std::vector<Host> hosts_;
    std::unordered_map<ModelId, const catalogue::ModelSpec *> specs_;
    std::map<ModelId, std::uint32_t> holders_;
    std::unordered_map<ModelId, std::vector<Host *>>
            copyHosts_;                          ///< Hosts with a copy or a replica of the model.
    std::map<ModelId, std::uint32_t> swapHosts_; ///< See countSwapHosts().
    std::map<const Host *, double> swapRates_;   ///< See swapsPerSecond().
    const double overloadLimit_; ///< Requests in progress above which an endpoint is overloaded.
    std::uint32_t storeLoads_;
    std::uint32_t maxUnserved_ = 0; ///< See maxUnserved().
    /// Loads from the store that models need whose requests can start on time, but which wait for
    /// an endpoint.
    std::uint32_t urgentStoreLoads_ = 0;
    std::vector<Plan> plans_;
    std::vector<Deferral> deferred_;
};

} // namespace

auto stepKindName(StepKind kind) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 2> { "load", "unload" };
    return names[static_cast<std::size_t>(kind) % names.size()];
}

auto loadSourceName(LoadSource source) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "memory", "disk", "store" };
    return names[static_cast<std::size_t>(source) % names.size()];
}

auto loadTimeOf(const catalogue::ModelSpec &spec, LoadSource source) -> Duration
{
    switch (source) {
    case LoadSource::Memory:
        return spec.loadFromMemory;
    case LoadSource::Disk:
        return spec.loadFromDisk;
    case LoadSource::Store:
        break;
    }
    return spec.loadFromStore;
}

auto deferReasonName(DeferReason reason) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "busy", "no_room", "put_off" };
    return names[static_cast<std::size_t>(reason) % names.size()];
}

auto plan(const PlacementInput &input) -> Placement
{
    return Planner { input }.run();
}

} // namespace figrack::fleet
