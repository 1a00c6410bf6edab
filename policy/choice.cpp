// Power of two choices with affinity. Two candidates drawn at random and, when the prompt's
// prefix is cached somewhere, the better of a few endpoints that hold it are scored by the
// first-token delay they would give; the lowest score wins. So a choice costs a few look-ups at
// any number of endpoints, and routers that share one stale view still spread, since each
// compares another pair. Two effects could still cause herding, and both are limited:
//   - Stale reports: a report counts for less the older it is (loadestimate.h).
//   - Skipping replicas that look full sends all routers to the few that do not. Therefore a
//     further pair is drawn only when the previous one has no usable candidate.
// Only when several pairs have no usable candidate is the whole list scanned once, from a
// random position.
//
// Score, ms: expected streams x costPerStream + how much slower the replica's recent first
// tokens were than the model's median - prefill time of the blocks it has cached.

#include "policy/choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

#include "core/random.h"
#include "policy/circuit.h"
#include "policy/loadestimate.h"
#include "policy/prefixindex.h"

namespace figrack::policy {
namespace {

using Slot = PrefixIndex::Slot;

constexpr auto maxPairs = 4;
constexpr auto maxHoldersTried = std::size_t { 2 };
constexpr auto maxIdleModels = std::size_t { 32 }; ///< Stored for one endpoint.
constexpr auto smoothing = 0.25;
constexpr auto slownessHalfLife = 10000.0; ///< ms in which a measured slowness decays by half.
constexpr auto leastSamples = std::uint32_t { 5 };

/// A running median of positive values: each sample moves it up or down by a proportional step.
class RunningMedian
{
public:
    auto add(double value) -> void
    {
        constexpr auto step = 1.05;
        if (samples_++ == 0)
            median_ = std::max(value, 1.0);
        else
            median_ = value > median_ ? median_ * step : std::max(median_ / step, 1.0);
    }
    auto value() const -> double { return median_; }
    auto samples() const -> std::uint32_t { return samples_; }

private:
    double median_ = 0;
    std::uint32_t samples_ = 0;
};

/// State of a model, aggregated over all its replicas.
class ModelState
{
public:
    RunningMedian firstToken; ///< ms

    auto onReport(std::int64_t othersBefore, bool hadReport, std::int64_t others) -> void
    {
        others_ += others - othersBefore;
        reports_ += hadReport ? 0 : 1;
    }
    auto onForget(std::int64_t others) -> void
    {
        others_ -= others;
        --reports_;
    }
    /// Subtracts own streams whose ends will not be counted because their endpoint was forgotten.
    auto onLost(std::uint32_t streams) -> void
    {
        inFlight_ = std::max(inFlight_ - static_cast<double>(streams), 0.0);
    }
    auto onDispatch(Millis now) -> void
    {
        advance(now);
        ++inFlight_;
    }
    /// By Little's law, the time of a stream is the integral of the streams in flight over time,
    /// divided by the number of ends.
    auto onEnd(Millis now) -> void
    {
        advance(now);
        inFlight_ -= inFlight_ > 0 ? 1 : 0;
        ends_ += 1;
        constexpr auto memory = 64.0;
        if (ends_ < memory)
            return;
        ends_ /= 2;
        streamTime_ /= 2;
    }
    auto streams() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(std::max(static_cast<double>(others_) + inFlight_, 0.0));
    }
    auto others() const -> OthersLoad
    {
        constexpr auto leastEnds = 4.0;
        auto load = OthersLoad {};
        if (reports_ > 0)
            load.mean = static_cast<double>(others_) / static_cast<double>(reports_);
        if (ends_ >= leastEnds)
            load.serviceTime = std::max(streamTime_ / ends_, 1.0);
        return load;
    }

private:
    auto advance(Millis now) -> void
    {
        if (now > changedAt_)
            streamTime_ += inFlight_ * static_cast<double>(now - changedAt_);
        changedAt_ = std::max(changedAt_, now);
    }

    std::int64_t others_ = 0;  ///< Other routers' streams, over replicas with a report.
    std::int64_t reports_ = 0; ///< Replicas with a report.
    double inFlight_ = 0;      ///< Own streams.
    double streamTime_ = 0;
    double ends_ = 0;
    Millis changedAt_ = 0;
};

struct ReplicaState
{
    ModelId model;
    LoadEstimate load;
    double firstToken = 0; ///< Smoothed, ms.
    std::uint32_t samples = 0;
    Millis sampledAt = 0;
    Millis touched = 0;
};

struct EndpointState
{
    EndpointId id;
    Circuit circuit;
    Millis refusedUntil = 0;
    std::vector<ReplicaState> replicas;
};

auto findReplica(const EndpointState &endpoint, const ModelId &model) -> const ReplicaState *
{
    const auto found = std::ranges::find(endpoint.replicas, model, &ReplicaState::model);
    return found == endpoint.replicas.end() ? nullptr : &*found;
}

enum class Eligibility : std::uint8_t { Usable, Trial, Slow, Unusable };

struct Scored
{
    std::size_t index = 0;
    Eligibility eligibility = Eligibility::Unusable;
    double score = 0;
};

} // namespace

class ReplicaChooser::Impl
{
public:
    Impl(ChoiceOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
        , prefixes_(PrefixBounds {})
    { }

    auto choose(const ChoiceRequest &request, const std::vector<ReplicaInfo> &candidates,
                std::uint32_t slots, Millis now) -> std::optional<std::size_t>;
    auto replicaOf(const EndpointId &endpoint, const ModelId &model, Millis now) -> ReplicaState &;
    auto find(const EndpointId &endpoint) -> EndpointState *;
    auto replicaAt(const EndpointId &endpoint, const ModelId &model) const -> const ReplicaState *;
    auto onReport(const EndpointId &endpoint, const ModelId &model, std::uint32_t load,
                  Millis takenAt) -> void;
    auto onDispatch(const EndpointId &endpoint, const ModelId &model, Millis now) -> void;
    auto onEnd(const EndpointId &endpoint, const ModelId &model, DispatchResult result, Millis now)
            -> void;
    auto onFirstToken(const EndpointId &endpoint, const ModelId &model, Millis took, Millis now)
            -> void;
    auto onFirstToken(const EndpointId &endpoint, Millis took, Millis now) -> void;
    auto onCacheEvents(const CacheEvents &events) -> void;
    auto wantsCacheSnapshot(const EndpointId &endpoint) const -> bool;
    auto forget(const EndpointId &endpoint) -> void;
    auto streamsOf(const ModelId &model) const -> std::uint32_t
    {
        const auto found = models_.find(model);
        return found == models_.end() ? 0 : found->second.streams();
    }

private:
    auto slotOf(const EndpointId &endpoint) -> Slot;
    auto stateOf(const EndpointId &endpoint) -> EndpointState &;
    auto prune(EndpointState &endpoint) -> void;
    auto dropReplica(const ReplicaState &replica) -> void;
    auto expectedLoad(const ReplicaState *replica, const ReplicaInfo &candidate, Millis now)
            -> double;
    auto eligibilityOf(const EndpointState *endpoint, double load, std::uint32_t slots,
                       Millis now) const -> Eligibility;
    auto slowness(const ReplicaState &replica, Millis now) const -> double;
    auto score(const ChoiceRequest &request, const ReplicaInfo &candidate, std::size_t cachedBlocks,
               std::uint32_t slots, Millis now) -> Scored;
    auto scoreHolders(const ChoiceRequest &request, const std::vector<ReplicaInfo> &candidates,
                      std::uint32_t slots, Millis now) -> Scored;
    auto scan(const ChoiceRequest &request, const std::vector<ReplicaInfo> &candidates,
              std::uint32_t slots, Millis now) -> Scored;

    ChoiceOptions options_;
    Random random_;
    PrefixIndex prefixes_;
    std::unordered_map<EndpointId, Slot> slots_;
    std::vector<EndpointState> endpoints_;
    std::vector<Slot> freeSlots_;
    std::unordered_map<ModelId, ModelState> models_;
};

auto ReplicaChooser::Impl::slotOf(const EndpointId &endpoint) -> Slot
{
    const auto [found, added] = slots_.try_emplace(endpoint, 0);
    if (!added)
        return found->second;
    const auto circuit
            = Circuit { { static_cast<std::uint32_t>(options_.failuresToOpen), options_.openTime,
                          std::max<Millis>(60000, options_.openTime) } };
    auto state = EndpointState { endpoint, circuit, 0, {} };
    if (freeSlots_.empty()) {
        found->second = static_cast<Slot>(endpoints_.size());
        endpoints_.push_back(std::move(state));
    } else {
        found->second = freeSlots_.back();
        freeSlots_.pop_back();
        endpoints_[found->second] = std::move(state);
    }
    return found->second;
}

auto ReplicaChooser::Impl::stateOf(const EndpointId &endpoint) -> EndpointState &
{
    return endpoints_[slotOf(endpoint)];
}

auto ReplicaChooser::Impl::find(const EndpointId &endpoint) -> EndpointState *
{
    const auto found = slots_.find(endpoint);
    return found == slots_.end() ? nullptr : &endpoints_[found->second];
}

auto ReplicaChooser::Impl::replicaAt(const EndpointId &endpoint, const ModelId &model) const
        -> const ReplicaState *
{
    const auto found = slots_.find(endpoint);
    return found == slots_.end() ? nullptr : findReplica(endpoints_[found->second], model);
}

auto ReplicaChooser::Impl::replicaOf(const EndpointId &endpoint, const ModelId &model, Millis now)
        -> ReplicaState &
{
    auto &state = stateOf(endpoint);
    for (auto &replica : state.replicas) {
        if (replica.model != model)
            continue;
        replica.touched = now;
        return replica;
    }
    prune(state);
    auto &replica = state.replicas.emplace_back();
    replica.model = model;
    replica.touched = now;
    return replica;
}

/// Limits the models stored for an endpoint: drops the least recently touched one, unless it has
/// streams in flight.
auto ReplicaChooser::Impl::prune(EndpointState &endpoint) -> void
{
    if (endpoint.replicas.size() < maxIdleModels)
        return;
    const auto oldest = std::ranges::min_element(
            endpoint.replicas, std::ranges::less {}, [](const ReplicaState &replica) {
                return std::pair { replica.load.inFlight() > 0, replica.touched };
            });
    if (oldest->load.inFlight() > 0)
        return;
    dropReplica(*oldest);
    endpoint.replicas.erase(oldest);
}

auto ReplicaChooser::Impl::dropReplica(const ReplicaState &replica) -> void
{
    const auto model = models_.find(replica.model);
    if (model == models_.end())
        return;
    model->second.onLost(replica.load.inFlight());
    if (replica.load.hasReport())
        model->second.onForget(replica.load.othersReported());
}

auto ReplicaChooser::Impl::onReport(const EndpointId &endpoint, const ModelId &model,
                                    std::uint32_t load, Millis takenAt) -> void
{
    auto &estimate = replicaOf(endpoint, model, takenAt).load;
    const auto hadReport = estimate.hasReport();
    const auto before = hadReport ? estimate.othersReported() : 0;
    estimate.onReport(load, takenAt);
    models_[model].onReport(before, hadReport, estimate.othersReported());
}

auto ReplicaChooser::Impl::onDispatch(const EndpointId &endpoint, const ModelId &model, Millis now)
        -> void
{
    replicaOf(endpoint, model, now).load.onDispatch(now);
    models_[model].onDispatch(now);
    stateOf(endpoint).circuit.onDispatch(now);
}

auto ReplicaChooser::Impl::onEnd(const EndpointId &endpoint, const ModelId &model,
                                 DispatchResult result, Millis now) -> void
{
    auto *state = find(endpoint);
    if (state == nullptr)
        return;
    auto &load = replicaOf(endpoint, model, now).load;
    if (load.inFlight() > 0) {
        load.onEnd(now);
        models_[model].onEnd(now);
    }
    switch (result) {
    case DispatchResult::Finished:
        return state->circuit.onSuccess(now);
    case DispatchResult::Failed:
        return state->circuit.onFailure(now, random_.unit());
    case DispatchResult::Refused:
        state->refusedUntil = now + options_.refusalBackoff;
        return state->circuit.onNeutral();
    case DispatchResult::Cancelled:
        return state->circuit.onNeutral();
    }
}

auto ReplicaChooser::Impl::onFirstToken(const EndpointId &endpoint, const ModelId &model,
                                        Millis took, Millis now) -> void
{
    if (find(endpoint) == nullptr)
        return;
    auto &replica = replicaOf(endpoint, model, now);
    const auto value = static_cast<double>(std::max<Millis>(took, 0));
    if (replica.samples == 0)
        replica.firstToken = value;
    replica.firstToken += smoothing * (value - replica.firstToken);
    replica.sampledAt = now;
    ++replica.samples;
    auto &median = models_[model].firstToken;
    median.add(value);
    const auto isSlow = replica.samples >= leastSamples
            && replica.firstToken > static_cast<double>(options_.slowFloor)
            && replica.firstToken > options_.slowFactor * median.value();
    if (!isSlow)
        return;
    find(endpoint)->circuit.trip(now, random_.unit());
    replica.samples = 0; // Start over with the samples after the circuit closes.
}

auto ReplicaChooser::Impl::onFirstToken(const EndpointId &endpoint, Millis took, Millis now) -> void
{
    const auto *state = find(endpoint);
    if (state == nullptr)
        return;
    const ReplicaState *only = nullptr;
    for (const auto &replica : state->replicas) {
        if (replica.load.inFlight() == 0)
            continue;
        if (only != nullptr)
            return;
        only = &replica;
    }
    if (only != nullptr)
        onFirstToken(endpoint, ModelId { only->model }, took, now);
}

auto ReplicaChooser::Impl::onCacheEvents(const CacheEvents &events) -> void
{
    const auto batch
            = PrefixBatch { events.firstSequence, events.snapshot, events.added, events.removed };
    prefixes_.apply(slotOf(events.endpoint), batch);
}

auto ReplicaChooser::Impl::wantsCacheSnapshot(const EndpointId &endpoint) const -> bool
{
    const auto found = slots_.find(endpoint);
    return found != slots_.end() && prefixes_.isDistrusted(found->second);
}

auto ReplicaChooser::Impl::forget(const EndpointId &endpoint) -> void
{
    const auto found = slots_.find(endpoint);
    if (found == slots_.end())
        return;
    const auto slot = found->second;
    prefixes_.forget(slot);
    for (const auto &replica : endpoints_[slot].replicas)
        dropReplica(replica);
    endpoints_[slot].replicas.clear();
    freeSlots_.push_back(slot);
    slots_.erase(found);
}

/// Returns the streams expected on a replica, less a random part of what other routers may have
/// sent since its report. Replicas whose loads differ by less than this uncertainty are then chosen
/// with nearly equal probability, and routers that share one old report do not all follow it.
auto ReplicaChooser::Impl::expectedLoad(const ReplicaState *replica, const ReplicaInfo &candidate,
                                        Millis now) -> double
{
    const auto own = replica == nullptr ? 0 : replica->load.inFlight();
    const auto model = models_.find(candidate.model);
    if (replica == nullptr || !replica->load.hasReport() || model == models_.end())
        return std::max(own, candidate.running + candidate.waiting);
    const auto others = model->second.others();
    const auto expected = replica->load.expected(others, now)
            - random_.unit() * replica->load.unseen(others, now);
    return std::max<double>(expected, own);
}

auto ReplicaChooser::Impl::eligibilityOf(const EndpointState *endpoint, double load,
                                         std::uint32_t slots, Millis now) const -> Eligibility
{
    if (slots != 0 && load > slots - 0.5)
        return Eligibility::Unusable;
    if (endpoint == nullptr)
        return Eligibility::Usable;
    if (now < endpoint->refusedUntil)
        return Eligibility::Unusable;
    if (endpoint->circuit.isClosed())
        return Eligibility::Usable;
    if (endpoint->circuit.allows(now))
        return Eligibility::Trial;
    return endpoint->circuit.isTripped() ? Eligibility::Slow : Eligibility::Unusable;
}

/// Returns by how many ms the replica's recent first tokens were slower than the model's median.
/// The value decays with time, so that a replica that was slow once is tried again.
auto ReplicaChooser::Impl::slowness(const ReplicaState &replica, Millis now) const -> double
{
    if (replica.sampledAt == 0)
        return 0;
    const auto model = models_.find(replica.model);
    if (model == models_.end())
        return 0;
    const auto excess = replica.firstToken - model->second.firstToken.value();
    if (excess <= 0)
        return 0;
    return excess * std::exp2(-static_cast<double>(now - replica.sampledAt) / slownessHalfLife);
}

auto ReplicaChooser::Impl::score(const ChoiceRequest &request, const ReplicaInfo &candidate,
                                 std::size_t cachedBlocks, std::uint32_t slots, Millis now)
        -> Scored
{
    const EndpointState *endpoint = nullptr;
    const ReplicaState *replica = nullptr;
    if (const auto found = slots_.find(candidate.endpoint); found != slots_.end()) {
        endpoint = &endpoints_[found->second];
        replica = findReplica(*endpoint, request.model);
    }
    const auto load = expectedLoad(replica, candidate, now);
    auto scored = Scored {};
    scored.eligibility = eligibilityOf(endpoint, load, slots, now);
    scored.score = load * static_cast<double>(options_.costPerStream);
    scored.score
            -= static_cast<double>(cachedBlocks) * static_cast<double>(options_.prefillPerBlock);
    if (replica != nullptr)
        scored.score += slowness(*replica, now);
    return scored;
}

/// Returns the best of at most maxHoldersTried endpoints that hold the prompt's prefix.
auto ReplicaChooser::Impl::scoreHolders(const ChoiceRequest &request,
                                        const std::vector<ReplicaInfo> &candidates,
                                        std::uint32_t slots, Millis now) -> Scored
{
    auto best = Scored {};
    if (request.prefix.empty())
        return best;
    const auto match = prefixes_.deepest(request.prefix);
    if (match.holders.empty())
        return best;
    const auto first = random_.below(match.holders.size());
    for (auto i = std::size_t { 0 }; i < std::min(maxHoldersTried, match.holders.size()); ++i) {
        const auto holder = match.holders[(first + i) % match.holders.size()];
        const auto &id = endpoints_[holder].id;
        const auto found = std::ranges::lower_bound(
                candidates, id, std::ranges::less {},
                [](const ReplicaInfo &info) -> const EndpointId & { return info.endpoint; });
        if (found == candidates.end() || found->endpoint != id)
            continue;
        auto scored = score(request, *found, match.depth, slots, now);
        scored.index = static_cast<std::size_t>(found - candidates.begin());
        if (scored.eligibility == Eligibility::Usable
            && (best.eligibility == Eligibility::Unusable || scored.score < best.score))
            best = scored;
    }
    return best;
}

/// Returns the first candidate with the best eligibility, starting at a random position.
auto ReplicaChooser::Impl::scan(const ChoiceRequest &request,
                                const std::vector<ReplicaInfo> &candidates, std::uint32_t slots,
                                Millis now) -> Scored
{
    const auto first = random_.below(candidates.size());
    auto best = Scored {};
    for (auto i = std::size_t { 0 }; i < candidates.size(); ++i) {
        const auto index = (first + i) % candidates.size();
        auto scored = score(request, candidates[index], 0, slots, now);
        if (scored.eligibility >= best.eligibility)
            continue;
        best = scored;
        best.index = index;
        if (best.eligibility == Eligibility::Usable)
            break;
    }
    return best;
}

auto ReplicaChooser::Impl::choose(const ChoiceRequest &request,
                                  const std::vector<ReplicaInfo> &candidates, std::uint32_t slots,
                                  Millis now) -> std::optional<std::size_t>
{
    if (candidates.empty())
        return std::nullopt;
    auto best = scoreHolders(request, candidates, slots, now);
    for (auto pair = 0; pair < maxPairs; ++pair) {
        const auto first = random_.below(candidates.size());
        const auto second = (first + 1 + random_.below(candidates.size() - 1)) % candidates.size();
        for (const auto index : { first, second }) {
            auto scored = score(request, candidates[index], 0, slots, now);
            scored.index = index;
            if (scored.eligibility == Eligibility::Trial && request.repeatable)
                return index; // A due trial takes precedence, or the endpoint would stay excluded.
            if (scored.eligibility != Eligibility::Usable)
                continue;
            if (best.eligibility != Eligibility::Usable || scored.score < best.score)
                best = scored;
        }
        if (best.eligibility == Eligibility::Usable)
            return best.index;
    }
    best = scan(request, candidates, slots, now);
    if (best.eligibility == Eligibility::Unusable)
        return std::nullopt;
    return best.index;
}

ReplicaChooser::ReplicaChooser(ChoiceOptions options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, seed))
{ }

ReplicaChooser::~ReplicaChooser() = default;
ReplicaChooser::ReplicaChooser(ReplicaChooser &&) noexcept = default;
auto ReplicaChooser::operator=(ReplicaChooser &&) noexcept -> ReplicaChooser & = default;

auto ReplicaChooser::onReport(const EndpointId &endpoint, const ModelId &model,
                              std::uint32_t running, std::uint32_t waiting, Millis takenAt) -> void
{
    impl_->onReport(endpoint, model, running + waiting, takenAt);
}

auto ReplicaChooser::onDispatch(const EndpointId &endpoint, const ModelId &model, Millis now)
        -> void
{
    impl_->onDispatch(endpoint, model, now);
}

auto ReplicaChooser::onFirstToken(const EndpointId &endpoint, const ModelId &model, Millis took,
                                  Millis now) -> void
{
    impl_->onFirstToken(endpoint, model, took, now);
}

auto ReplicaChooser::onFirstToken(const EndpointId &endpoint, Millis took, Millis now) -> void
{
    impl_->onFirstToken(endpoint, took, now);
}

auto ReplicaChooser::onEnd(const EndpointId &endpoint, const ModelId &model, DispatchResult result,
                           Millis now) -> void
{
    impl_->onEnd(endpoint, model, result, now);
}

auto ReplicaChooser::onCacheEvents(const CacheEvents &events, Millis /*now*/) -> void
{
    impl_->onCacheEvents(events);
}

auto ReplicaChooser::wantsCacheSnapshot(const EndpointId &endpoint) const -> bool
{
    return impl_->wantsCacheSnapshot(endpoint);
}

auto ReplicaChooser::forget(const EndpointId &endpoint) -> void
{
    impl_->forget(endpoint);
}

auto ReplicaChooser::choose(const ChoiceRequest &request,
                            const std::vector<ReplicaInfo> &candidates, std::uint32_t slots,
                            Millis now) -> std::optional<std::size_t>
{
    return impl_->choose(request, candidates, slots, now);
}

auto ReplicaChooser::estimatedLoad(const EndpointId &endpoint, const ModelId &model) const
        -> std::uint32_t
{
    const auto *replica = impl_->replicaAt(endpoint, model);
    return replica == nullptr ? 0 : replica->load.corrected();
}

auto ReplicaChooser::estimatedLoad(const ModelId &model) const -> std::uint32_t
{
    return impl_->streamsOf(model);
}

} // namespace figrack::policy
