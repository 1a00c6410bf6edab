// ratio = use rate * (price of a miss * misses caused by a cold start) / share of an endpoint's
// accelerators. A base is also worth what its adapters gain when it is loaded: their cold start
// then is the load of the adapter alone.

#include "policy/valuation.h"

#include <algorithm>
#include <limits>

namespace figrack::policy {

namespace {

constexpr auto shareDecay = 0.97;   ///< Decay of a model's class shares, per arrival.
constexpr auto priorDecay = 0.9995; ///< Decay of a class's gap counts, per gap.
constexpr auto maxCountedArrivals = std::uint32_t { 16 }; ///< Per burst, for the price.

} // namespace

auto Valuation::loadHere(const ModelRow &model, Millis now) const -> Millis
{
    auto soonest = std::numeric_limits<Millis>::max();
    for (const auto &[endpoint, replica] : model.replicas)
        if (replica.info.phase == ReplicaPhase::Loading)
            soonest = std::min(soonest, std::max<Millis>(replica.info.readyAt - now, 1));
    if (soonest != std::numeric_limits<Millis>::max())
        return soonest;
    auto tier = Tier::Remote;
    for (const auto &[endpoint, cached] : model.cached)
        tier = std::max(tier, cached.tier);
    return times_.predict(tier, model.info.memoryMb, now);
}

auto Valuation::coldStart(const ModelRow &model, Millis now) const -> Millis
{
    auto total = loadHere(model, now);
    const auto *base = fleet_.baseOf(model);
    if (base != nullptr && fleet_.counts(*base).ready == 0)
        total += loadHere(*base, now);
    return total;
}

auto Valuation::noteArrivals(ModelRow &model, const ClassId &classId, std::uint32_t count,
                             Millis now) -> void
{
    auto &state = classes_[classId];
    const auto gap = model.history.note(count, now);
    if (gap >= 0)
        state.gaps.add(gap, priorDecay);
    for (auto &[id, share] : model.classShare)
        share *= shareDecay;
    model.classShare[classId] += count;
    model.arrivals += count;
    const auto cold = fleet_.counts(model).ready == 0;
    const auto missed = cold && coldStart(model, now) > state.target.start;
    for (auto i = std::uint32_t { 0 }; i < std::min(count, maxCountedArrivals); ++i)
        state.price.note(missed, 1.0 - state.target.share);
}

auto Valuation::savedWorth(const ModelRow &model, Millis cold, Millis warm) const -> double
{
    auto worth = 0.0;
    auto total = 0.0;
    for (const auto &[id, share] : model.classShare) {
        total += share;
        const auto found = classes_.find(id);
        if (found == classes_.end())
            continue;
        const auto start = found->second.target.start;
        const auto saved = missProbability(cold, start) - missProbability(warm, start);
        worth += share * saved * found->second.price.value();
    }
    return total > 0 ? std::max(worth / total, 0.0) * model.history.burst() : 0.0;
}

auto Valuation::useRate(const ModelRow &model, double spent, Millis now) const -> double
{
    static const auto none = GapHistogram {};
    const auto *gaps = &none;
    auto most = 0.0;
    for (const auto &[id, share] : model.classShare) {
        const auto found = classes_.find(id);
        if (found != classes_.end() && share > most) {
            most = share;
            gaps = &found->second.gaps;
        }
    }
    return model.history.bestRate(*gaps, spent, now);
}

auto Valuation::keepRatio(const ModelRow &model, double spent, Millis now) const -> double
{
    const auto cold = loadHere(model, now);
    const auto *base = fleet_.baseOf(model);
    const auto baseWarm = base != nullptr && fleet_.counts(*base).ready > 0;
    const auto full = base != nullptr && !baseWarm ? cold + loadHere(*base, now) : cold;
    auto rate = useRate(model, spent, now) * savedWorth(model, full, 1);
    for (const auto &id : model.adapters) {
        const auto *adapter = fleet_.findModel(id);
        if (adapter == nullptr || !adapter->history.seen())
            continue;
        const auto own = loadHere(*adapter, now);
        rate += useRate(*adapter, spent, now) * savedWorth(*adapter, cold + own, own);
    }
    // Use the memory and accelerators of an endpoint that holds the model, or else of any endpoint:
    // endpoints are similar enough for a price.
    const EndpointRow *holder = nullptr;
    if (!model.replicas.empty())
        holder = fleet_.findEndpoint(model.replicas.begin()->first);
    if (holder == nullptr && !fleet_.byFree().empty())
        holder = fleet_.findEndpoint(fleet_.byFree().rbegin()->second);
    if (holder == nullptr || holder->info.memoryMb == 0)
        return 0;
    const auto accelerators = std::max<std::uint32_t>(holder->info.accelerators, 1);
    const auto cost = static_cast<double>(std::max<std::uint64_t>(model.info.memoryMb, 1))
            / static_cast<double>(holder->info.memoryMb) * accelerators;
    return rate / cost;
}

} // namespace figrack::policy
