// Candidates are the endpoints where the checkpoint is cached and the tightest fits from the
// index of free memory, a bounded number of each. Candidates are ordered by a cost in ms: the
// predicted load, plus a penalty for a failure domain that already holds the model. Ties go, for
// a load from the store, to the endpoint that caches the smallest size of checkpoints cached
// nowhere else, so that all caches together hold more; then to the tightest fit.
// Eviction examines the endpoints of the idle replicas with the lowest worth and takes the one
// where freeing enough memory costs least.

#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace figrack::policy {

namespace {

constexpr auto maxCachedExamined = std::size_t { 24 };
constexpr auto maxFitsExamined = std::size_t { 24 };
constexpr auto maxIdleExamined = std::size_t { 64 };
constexpr auto minEvictionWorth = 1e-200;
constexpr auto sameDomainPenalty = Millis { 1000 };

auto usable(const EndpointRow *row) -> bool
{
    return row != nullptr && row->info.usable && !row->info.draining;
}

/// Free memory after the replicas being unloaded are gone; may be negative.
auto freeSoonMb(const EndpointRow &row) -> std::int64_t
{
    return static_cast<std::int64_t>(row.info.memoryMb + row.releasingMb)
            - static_cast<std::int64_t>(row.heldMb());
}

struct Victim
{
    ReplicaKey key;
    std::uint64_t memoryMb = 0;
    double worth = 0; ///< Worth of the whole replica.
    bool isBase = false;
};

/// @return the idle replicas on an endpoint; includes a base only if all its adapters there are
/// idle
auto idleOn(const Fleet &fleet, const EndpointId &id, const EndpointRow &endpoint)
        -> std::vector<Victim>
{
    auto result = std::vector<Victim> {};
    for (const auto &modelId : endpoint.models) {
        const auto *model = fleet.findModel(modelId);
        const auto &replica = model->replicas.at(id);
        if (replica.keepWorth < 0)
            continue;
        auto busyAdapter = false;
        auto hasAdapter = false;
        for (const auto &adapter : model->adapters) {
            const auto *row = fleet.findModel(adapter);
            const auto found
                    = row == nullptr ? decltype(row->replicas.end()) {} : row->replicas.find(id);
            if (row == nullptr || found == row->replicas.end())
                continue;
            hasAdapter = true;
            busyAdapter = busyAdapter || found->second.keepWorth < 0;
        }
        if (!busyAdapter)
            result.push_back({ { modelId, id },
                               replica.memoryMb,
                               replica.keepWorth * static_cast<double>(replica.memoryMb),
                               hasAdapter });
    }
    return result;
}

/// Returns the victims together with the adapters, on the endpoint, of each base among them.
auto withAdapters(const Fleet &fleet, const std::vector<Victim> &chosen,
                  const std::vector<Victim> &idle) -> std::vector<Victim>
{
    auto result = std::vector<Victim> {};
    const auto has = [&](const ModelId &id) {
        return std::any_of(result.begin(), result.end(),
                           [&](const Victim &v) { return v.key.first == id; });
    };
    for (const auto &victim : chosen) {
        for (const auto &candidate : idle) {
            const auto *row = fleet.findModel(candidate.key.first);
            if (victim.isBase && row->info.base == victim.key.first && !has(candidate.key.first))
                result.push_back(candidate);
        }
    }
    for (const auto &victim : chosen)
        if (!has(victim.key.first))
            result.push_back(victim);
    // Adapters first: a base is unloaded after its adapters.
    std::stable_sort(result.begin(), result.end(),
                     [](const Victim &a, const Victim &b) { return a.isBase < b.isBase; });
    return result;
}

} // namespace

auto Placer::fits(const ModelRow &model, const EndpointId &endpoint) const -> bool
{
    const auto *row = fleet_.findEndpoint(endpoint);
    return usable(row) && row->freeMb() >= model.info.memoryMb
            && !fleet_.hasOrReserved(model, endpoint);
}

auto Placer::candidates(const ModelRow &model) const -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> {};
    for (const auto &[endpoint, cached] : model.cached) {
        if (fits(model, endpoint))
            result.push_back(endpoint);
        if (result.size() >= maxCachedExamined)
            break;
    }
    auto examined = std::size_t { 0 };
    for (auto it = fleet_.byFree().lower_bound({ model.info.memoryMb, EndpointId {} });
         it != fleet_.byFree().end() && examined < maxFitsExamined; ++it, ++examined)
        if (!fleet_.hasOrReserved(model, it->second))
            result.push_back(it->second);
    return result;
}

auto Placer::baseEndpoints(const ModelRow &base) const -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> {};
    for (const auto &[endpoint, replica] : base.replicas)
        if (replica.info.phase == ReplicaPhase::Ready && usable(fleet_.findEndpoint(endpoint)))
            result.push_back(endpoint);
    return result;
}

auto Placer::bestOf(const ModelRow &model, const std::vector<EndpointId> &endpoints, bool storeOpen,
                    Millis now) const -> PlaceChoice
{
    auto domains = std::set<DomainId> {};
    for (const auto &[endpoint, replica] : model.replicas)
        if (const auto *row = fleet_.findEndpoint(endpoint))
            domains.insert(row->info.domain);
    for (const auto &[id, endpoint] : fleet_.reserved())
        if (id == model.info.id)
            domains.insert(fleet_.findEndpoint(endpoint)->info.domain);
    using Cost = std::tuple<Millis, std::uint64_t, std::uint64_t, EndpointId>;
    auto best = Cost { std::numeric_limits<Millis>::max(), 0, 0, EndpointId {} };
    auto choice = PlaceChoice { NoPlace {} };
    for (const auto &endpoint : endpoints) {
        if (!fits(model, endpoint))
            continue;
        const auto &row = *fleet_.findEndpoint(endpoint);
        const auto tier = fleet_.tierAt(model, endpoint);
        if (tier == Tier::Remote && !storeOpen)
            continue;
        const auto load = times_.predict(tier, model.info.memoryMb, now);
        const auto penalty = domains.count(row.info.domain) > 0 ? sameDomainPenalty : 0;
        // A load from the store displaces another checkpoint from the caches there.
        const auto displacedMb = tier == Tier::Remote ? row.soleMb : 0;
        const auto cost = Cost { load + penalty, displacedMb, row.freeMb(), endpoint };
        if (cost < best) {
            best = cost;
            choice = PlaceHere { endpoint, tier, load };
        }
    }
    return choice;
}

auto Placer::leastWorthEndpoints(const ModelRow &model) const -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> {};
    auto seen = std::set<EndpointId> {};
    auto examined = std::size_t { 0 };
    for (const auto &[worth, key] : fleet_.idle()) {
        if (++examined > maxIdleExamined)
            break;
        if (usable(fleet_.findEndpoint(key.second)) && !fleet_.hasOrReserved(model, key.second)
            && seen.insert(key.second).second)
            result.push_back(key.second);
    }
    return result;
}

auto Placer::evict(const ModelRow &model, const std::vector<EndpointId> &endpoints,
                   double maxWorth) const -> PlaceChoice
{
    auto best = maxWorth;
    auto choice = PlaceChoice { NoPlace {} };
    for (const auto &id : endpoints) {
        const auto *endpoint = fleet_.findEndpoint(id);
        if (!usable(endpoint) || fleet_.hasOrReserved(model, id))
            continue;
        auto idle = idleOn(fleet_, id, *endpoint);
        std::erase_if(idle, [&](const Victim &v) { return v.key.first == model.info.base; });
        std::stable_sort(idle.begin(), idle.end(), [](const Victim &a, const Victim &b) {
            return a.worth * static_cast<double>(b.memoryMb)
                    < b.worth * static_cast<double>(a.memoryMb);
        });
        auto room = freeSoonMb(*endpoint);
        const auto need = static_cast<std::int64_t>(model.info.memoryMb);
        auto chosen = std::vector<Victim> {};
        for (const auto &victim : idle) {
            if (room >= need)
                break;
            room += static_cast<std::int64_t>(victim.memoryMb);
            chosen.push_back(victim);
        }
        if (room < need || chosen.empty())
            continue;
        chosen = withAdapters(fleet_, chosen, idle);
        auto worth = 0.0;
        auto keys = std::vector<ReplicaKey> {};
        for (const auto &victim : chosen) {
            worth += victim.worth;
            keys.push_back(victim.key);
        }
        if (worth >= best)
            continue;
        best = worth;
        choice = EvictFirst { id, std::move(keys) };
    }
    return choice;
}

auto Placer::choose(const ModelRow &model, const std::vector<EndpointId> &endpoints,
                    const std::vector<EndpointId> &evictable, double maxWorth, bool storeOpen,
                    Millis now) const -> PlaceChoice
{
    auto here = bestOf(model, endpoints, storeOpen, now);
    if (std::holds_alternative<PlaceHere>(here))
        return here;
    if (!storeOpen && std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointId &id) {
            return fits(model, id);
        }))
        return AwaitMemory {}; // There is enough memory; the load waits for the store.
    for (const auto &id : evictable) {
        const auto *row = fleet_.findEndpoint(id);
        if (usable(row) && row->releasingMb > 0 && !fleet_.hasOrReserved(model, id)
            && freeSoonMb(*row) >= static_cast<std::int64_t>(model.info.memoryMb))
            return AwaitMemory { id };
    }
    if (maxWorth <= minEvictionWorth)
        return NoPlace {};
    return evict(model, evictable, maxWorth);
}

auto Placer::choose(const ModelRow &model, double maxWorth, bool storeOpen, Millis now) const
        -> PlaceChoice
{
    const auto *base = fleet_.baseOf(model);
    if (base != nullptr) {
        const auto endpoints = baseEndpoints(*base);
        auto choice = choose(model, endpoints, endpoints, maxWorth, storeOpen, now);
        if (!std::holds_alternative<NoPlace>(choice))
            return choice;
        const auto counts = fleet_.counts(*base);
        return AwaitBase { counts.loading > 0 };
    }
    auto evictable = std::vector<EndpointId>(fleet_.releasing().begin(), fleet_.releasing().end());
    const auto least = leastWorthEndpoints(model);
    evictable.insert(evictable.end(), least.begin(), least.end());
    return choose(model, candidates(model), evictable, maxWorth, storeOpen, now);
}

} // namespace figrack::policy
