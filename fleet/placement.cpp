// Greedy, one wanted model after another: fleets are small, demand changes
// within seconds, and a better assignment of today's loads is worth less than
// the time in which an order leaves at once.
//
// Costs are in seconds. Evicting a model costs what its next requests wait for
// it to come back, weighed by how soon they are expected, and the wait for its
// requests in progress to end.

#include "fleet/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>

#include "core/duration.h"

namespace figrack::fleet {
namespace {

/// Requests in progress per endpoint beyond which a model gets another replica. More replicas leave
/// fewer places to the models that are asked for now and then, whose requests then need swaps.
constexpr auto crowdedRequests = 10.0;
/// Engines that run few requests at once are crowded sooner: at this part of their places.
constexpr auto crowdedPart = 0.4;
/// How long a request of a busy model is in progress, in seconds: what has begun to be asked for is
/// not in progress yet.
constexpr auto usualStay = 1.0;
/// What another replica is worth to each request in progress at a crowded one, in seconds.
constexpr auto reliefSeconds = 0.25;
/// What another replica is worth to each request that waits for an adapter, in seconds: where all
/// places are in use it would wait for a stream of some seconds to end.
constexpr auto waitSeconds = 1.0;
/// Over which missed requests are counted, in seconds.
constexpr auto missWindow = 3.0;
/// Part of the arrivals that may be missed before a model gets another replica.
constexpr auto manyMissed = 0.1;
constexpr auto fewestMissed = 4U;
/// Missed requests of the last seconds that are worth a second swap beside one that has stalled.
constexpr auto urgentMissed = 10U;
/// Added to the score of a victim whose requests run: an endpoint refuses all orders until those of
/// an adapter that is unloaded have ended.
constexpr auto inUsePenalty = 100.0;
/// A model that is asked for by chance is expected about so often, per second.
constexpr auto rareRate = 0.05;
/// Requests that wait for an unload last about so long.
constexpr auto runSeconds = 1.0;
/// An unload waits for the requests in progress to end, and its endpoint takes no other order until
/// then.
constexpr auto unloadSeconds = 2.0;
/// What losing the only replica of a model costs at one request a second: a load from disk and
/// the swap around it.
constexpr auto reloadSeconds = 1.2;
/// A load from the store holds one of few places and is priced.
constexpr auto storePenalty = 2.0;
/// What a request in progress weighs beside an adapter when a host for another adapter is sought.
/// Most adapters are held once, so their requests have no choice: with hosts taken by their
/// adapters alone more of their streams are late than of others.
constexpr auto adapterLoadWeight = 0.5;
constexpr auto never = std::numeric_limits<double>::infinity();

auto contains(const std::vector<ModelId> &models, const ModelId &model) -> bool
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

auto crowdedOf(const catalogue::EngineSpec &engine) -> double
{
    return engine.slots == 0 ? crowdedRequests
                             : std::min(crowdedRequests, engine.slots * crowdedPart);
}

/// Mutable account of one planning pass.
class Planner
{
public:
    explicit Planner(const PlacementInput &input)
        : input_(input)
        , hosts_(input.hosts)
        , crowded_(crowdedOf(input.engine))
        , storeLoads_(input.storeLoads)
    {
        for (const auto &model : input.engine.models)
            specs_.emplace(model.id, &model);
        for (auto &host : hosts_) {
            for (const auto &held : host.models)
                ++holders_[held.model];
            for (const auto &id : copiesOf(host))
                copyHosts_[id].push_back(&host);
        }
    }

    auto run() -> Placement
    {
        for (const auto &[key, asked] : wantedAdapters())
            placeAdapter(key);
        mostLacked_ = mostLacked();
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

    auto asked(const ModelId &model) const -> Asked
    {
        const auto found = input_.models.find(model);
        return found == input_.models.end() ? Asked {} : found->second;
    }

    /// Models that lack a replica, most wanted first, then those with crowded replicas; one entry
    /// a replica.
    auto wantedModels() const -> std::vector<ModelId>
    {
        auto wanted = std::vector<std::pair<double, ModelId>> {};
        for (const auto &[model, want] : input_.models) {
            if (specOf(model) == nullptr)
                continue;
            const auto held = countOf(holders_, model);
            const auto coming = comingOf(model, want);
            if (held + coming == 0 && want.lacks() > 0)
                wanted.emplace_back(want.lacks(), model);
            const auto expected = std::max<double>(want.running, want.perSecond * usualStay);
            const auto enough
                    = std::max({ std::ceil(expected / crowded_), replicasForAdapters(model),
                                 replicasForMissed(want, held) });
            for (auto count = std::max(held + coming, 1U); count < enough; ++count)
                wanted.emplace_back(want.missed() / static_cast<double>(count), model);
        }
        std::sort(wanted.begin(), wanted.end(),
                  [](const auto &one, const auto &other) { return one.first > other.first; });
        auto result = std::vector<ModelId> {};
        for (auto &[score, model] : wanted)
            result.push_back(std::move(model));
        return result;
    }

    /// @return replicas that are being loaded; of a model that many miss, without those that wait
    /// for an unload: 145 requests were refused in the six seconds that one took
    auto comingOf(const ModelId &model, const Asked &want) const -> std::uint32_t
    {
        const auto loading = countOf(input_.loading, model);
        const auto stalled = countOf(input_.stalled, model);
        return want.missed() < urgentMissed ? loading : loading - std::min(loading, stalled);
    }

    /// @return replicas of a model whose replicas serve too many of its requests late
    auto replicasForMissed(const Asked &want, std::uint32_t held) const -> double
    {
        const auto arrived = want.perSecond * missWindow;
        return want.missed() > arrived * manyMissed && want.missed() >= fewestMissed ? held + 1.0
                                                                                     : 0.0;
    }

    /// @return replicas of a model that its adapters need which are asked for now
    auto replicasForAdapters(const ModelId &model) const -> double
    {
        auto inUse = std::size_t { 0 };
        for (auto item = input_.adapters.lower_bound({ model, {} });
             item != input_.adapters.end() && item->first.first == model; ++item)
            inUse += item->second.running + item->second.waiting > 0 ? 1 : 0;
        const auto places = std::max<std::size_t>(input_.engine.maxAdapters, 1);
        return std::ceil(static_cast<double>(inUse) / static_cast<double>(places));
    }

    /// @return requests that wait for an adapter of the model
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

    auto wantedAdapters() const -> std::map<AdapterKey, Asked>
    {
        auto wanted = std::map<AdapterKey, Asked> {};
        for (const auto &[key, want] : input_.adapters) {
            // Where one holds it already, the requests that are told to wait have not heard yet.
            if (want.lacks() > 0 && !key.second.empty() && !input_.loadingAdapters.contains(key)
                && !isHeldSomewhere(key))
                wanted.emplace(key, want);
        }
        return wanted;
    }

    auto isHeldSomewhere(const AdapterKey &key) const -> bool
    {
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
        // All hosts are looked at only where no copy is near: a plan for 112 endpoints and 375
        // models, 60 of them lacking, took 8.6 ms of processor time without this and 2.2 with it.
        if (mayUseStore(model, isExtra) && best.cost > leastStoreCost(spec, isExtra)) {
            for (auto &host : hosts_)
                consider(host, spec, isExtra, best);
        }
        // An endpoint that is busy and still the best is waited for.
        if (best.host == nullptr || !best.host->takesOrders()) {
            if (!isExtra)
                defer(model, best.host);
            return;
        }
        const auto relief = reliefSeconds * asked(model).running / holders_[model]
                + waitSeconds * (waitingForAdapters(model) + asked(model).missed());
        if (isExtra && best.cost > relief)
            return;
        begin(best, model);
    }

    /// The part of the store that is kept for models without a replica is not kept from one whose
    /// replicas miss more requests each than any of those: models that are asked for once in
    /// seconds would hold the store while half of the requests for a busy one are refused. One load
    /// at a time: then it is the others' turn.
    auto mayUseStore(const ModelId &model, bool isExtra) const -> bool
    {
        if (!isExtra || storeLoads_ > input_.storeReserve)
            return storeLoads_ > 0;
        const auto isUrgent = missedPerReplica(model) > std::max(mostLacked_, urgentMissed)
                && countOf(input_.loading, model) == 0;
        return isUrgent && storeLoads_ > 0;
    }

    auto missedPerReplica(const ModelId &model) const -> std::uint32_t
    {
        return asked(model).missed() / std::max(countOf(holders_, model), 1U);
    }

    /// @return requests that lack the most wanted of the models that no endpoint holds or loads
    auto mostLacked() const -> std::uint32_t
    {
        auto result = 0U;
        for (const auto &[model, want] : input_.models) {
            if (countOf(holders_, model) + countOf(input_.loading, model) == 0)
                result = std::max(result, want.lacks());
        }
        return result;
    }

    /// @return what a load from the store costs at an endpoint that nobody else needs
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

    auto defer(const ModelId &model, const Host *busy) -> void
    {
        auto deferral = Deferral {};
        deferral.model = model;
        deferral.lacks = asked(model).lacks();
        if (busy != nullptr) {
            deferral.reason = DeferReason::Busy;
            deferral.endpoint = busy->id;
            deferral.seconds = busy->busySeconds;
        }
        deferred_.push_back(std::move(deferral));
    }

    /// @param isExtra another replica of a model that some hold: nobody waits for this load
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
            // Whoever wants one of its other copies meanwhile waits for half of the load.
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

    /// @return room for weights that what is much asked for leaves free
    auto swapRoomMb(const Host &host) const -> double
    {
        auto room = input_.engine.weightsMb;
        for (const auto &held : host.models)
            room -= isHot(held.model) ? heldMb(held) : 0;
        return room;
    }

    /// What a lasting replica of a model on the host costs those that have copies of their weights
    /// nowhere else and would not fit beside it.
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

    /// @return how often the host is expected to be asked for a model that it has a copy of and
    /// that none holds; worked out once a plan, which changes it little
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

    /// Counts for each model the hosts that have a copy of it and room to load it. Once a plan:
    /// looked up for each pair of hosts and models, it took a leader most of its processor time.
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

    /// @return what the host holds, with the cost of its loss; the cheapest last
    auto evictable(const Host &host) const
            -> std::vector<std::pair<double, const catalogue::HeldModel *>>
    {
        auto result = std::vector<std::pair<double, const catalogue::HeldModel *>> {};
        for (const auto &held : host.models) {
            const auto want = asked(held.model);
            const auto count = std::max(countOf(holders_, held.model), 1U);
            // Callers that were refused come back to it: a model that has just been loaded for them
            // must not give way before any has.
            const auto isOnly = count == 1 && (want.refused > 0 || want.running > crowded_ / 2);
            if (want.waiting > 0 || isOnly)
                continue;
            const auto running = want.running / static_cast<double>(count);
            auto cost = running * runSeconds + std::min(running, 1.0) * unloadSeconds;
            cost += want.perSecond / count * reloadSeconds;
            if (count > 1 && want.running > crowded_ * (count - 1) / 2)
                cost += want.running;
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

    auto askedAdapter(const AdapterKey &key) const -> Asked
    {
        const auto found = input_.adapters.find(key);
        return found == input_.adapters.end() ? Asked {} : found->second;
    }

    /// @return the adapter of the host that is asked for least, one with requests only if all have
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

    /// @return what displacing an adapter costs, to compare
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
        // A model that the configuration does not name any more: it may be of any size.
        if (spec == nullptr)
            return 0;
        return spec->weightsMb + spec->adapterMb * static_cast<double>(held.adapters.size());
    }

    auto usedMb(const Host &host) const -> double
    {
        auto used = 0.0;
        for (const auto &held : host.models) {
            // As above: then nothing more fits.
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
            copyHosts_;                          ///< Hosts with a copy or a replica.
    std::map<ModelId, std::uint32_t> swapHosts_; ///< See countSwapHosts().
    std::map<const Host *, double> swapRates_;   ///< See swapsPerSecond().
    const double crowded_; ///< Requests in progress that are many for one endpoint.
    std::uint32_t storeLoads_;
    std::uint32_t mostLacked_ = 0; ///< See mostLacked().
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

auto deferReasonName(DeferReason reason) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 2> { "busy", "no_room" };
    return names[static_cast<std::size_t>(reason) % names.size()];
}

auto plan(const PlacementInput &input) -> Placement
{
    return Planner { input }.run();
}

} // namespace figrack::fleet
