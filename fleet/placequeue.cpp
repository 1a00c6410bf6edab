#include "fleet/placequeue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "core/duration.h"
#include "core/hash.h"
#include "fleet/placeforecast.h"

namespace figrack::fleet {
namespace {

/// A model without waiting requests is forgotten after this time, with what was learned of it.
constexpr auto forgetModelAfter = std::chrono::seconds { 60 };
/// What a queue got of the slots is forgotten when no request has waited for this time. A small
/// part would otherwise refuse all requests on arrival, and no new share could be learned.
constexpr auto forgetDrainAfter = std::chrono::seconds { 2 };
/// Weight of a new sample in the average time that a lane's requests have until their latest start.
constexpr auto slackLearningRate = 0.2;

auto sortedCandidates(const proto::PickRequest &request) -> std::vector<EndpointId>
{
    auto sorted = request.candidates;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

auto workOf(const WaitingPick &pick) -> std::uint64_t
{
    return pick.request.works.ofCaller.low;
}

} // namespace

auto placeEventName(PlaceEvent event) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 7> {
        "place_queued",       "place_granted",        "place_refused",        "place_shed",
        "place_promise_kept", "place_promise_missed", "place_promise_expired"
    };
    return names[static_cast<std::size_t>(event) % names.size()];
}

auto placeCauseName(PlaceCause cause) -> std::string_view
{
    constexpr auto names
            = std::array<std::string_view, 6> { "none",       "predicted_late", "displaced",
                                                "past_start", "queue_full",     "rate_used" };
    return names[static_cast<std::size_t>(cause) % names.size()];
}

auto PlaceQueue::Pool::empty() const -> bool
{
    return std::all_of(lanes.begin(), lanes.end(), [](const auto &lane) { return lane.empty(); });
}

auto PlaceQueue::Arrivals::add(Duration slack, Instant now) -> void
{
    const auto age = inMillis(now - at_) / inMillis(window_);
    const auto weight = sum_ == 0 ? 1 : slackLearningRate;
    sum_ = 1 + sum_ * std::exp(-age);
    slackMs_ += weight * (inMillis(slack) - slackMs_);
    at_ = now;
}

auto PlaceQueue::Arrivals::expected(Duration wait, Duration left, Instant now) const -> double
{
    const auto window = std::min(inMillis(wait), inMillis(left) - slackMs_);
    if (window <= 0 || sum_ == 0)
        return 0;
    const auto age = inMillis(now - at_) / inMillis(window_);
    return window * sum_ * std::exp(-age) / inMillis(window_);
}

PlaceQueue::PlaceQueue(PlaceQueueOptions options)
    : options_(options)
    , promises_(options.promises)
{ }

auto PlaceQueue::keyOf(const proto::PickRequest &request) -> std::uint64_t
{
    if (request.model != 0)
        return request.model;
    auto key = std::uint64_t { 0 };
    for (const auto &id : sortedCandidates(request))
        key = mixHash(key, std::hash<std::string> {}(id.value()));
    return key;
}

auto PlaceQueue::laneOf(const WaitingPick &pick) -> std::size_t
{
    return pick.isReturned ? 0 : std::min<std::size_t>(pick.request.rank + 1, laneCount - 1);
}

auto PlaceQueue::orderOf(const WaitingPick &pick, std::uint64_t sequence) -> Order
{
    if (pick.isReturned)
        return { 0, pick.request.rank, pick.latestStart, sequence };
    return { pick.isOverShare ? 2U : 1U, 0, pick.latestStart, sequence };
}

auto PlaceQueue::modelOf(std::uint64_t key) -> Model &
{
    return models_.try_emplace(key, options_.arrivalWindow).first->second;
}

/// @return the pool of the request's candidates, a new one in place of an empty one if needed
auto PlaceQueue::poolFor(Model &model, const proto::PickRequest &request) const -> std::size_t
{
    auto candidates = sortedCandidates(request);
    auto unused = model.pools.size();
    for (auto i = std::size_t { 0 }; i < model.pools.size(); ++i) {
        if (model.pools[i].candidates == candidates)
            return i;
        if (model.pools[i].empty())
            unused = i;
    }
    if (unused == options_.maxPools)
        return unused - 1;
    if (unused == model.pools.size())
        model.pools.emplace_back();
    model.pools[unused].candidates = std::move(candidates);
    return unused;
}

auto PlaceQueue::takePromise(const proto::PickRequest &request, Instant now) -> bool
{
    return promises_.take(keyOf(request), request.works.ofCaller.low, now);
}

auto PlaceQueue::mustWait(const WaitingPick &pick) const -> bool
{
    const auto model = models_.find(keyOf(pick.request));
    if (model == models_.end() || model->second.entries.empty())
        return false;
    const auto candidates = sortedCandidates(pick.request);
    const auto order = orderOf(pick, std::numeric_limits<std::uint64_t>::max());
    for (const auto &pool : model->second.pools) {
        if (pool.candidates != candidates)
            continue;
        for (auto lane = std::size_t { 0 }; lane <= laneOf(pick); ++lane) {
            if (!pool.lanes[lane].empty() && *pool.lanes[lane].begin() < order)
                return true;
        }
    }
    return false;
}

auto PlaceQueue::insert(std::uint64_t key, WaitingPick pick, std::size_t pool, Instant now) -> Order
{
    auto &model = modelOf(key);
    model.drain.advance(!model.entries.empty(), policy::millisOf(now));
    const auto order = orderOf(pick, ++lastSequence_);
    model.pools[pool].lanes[laneOf(pick)].insert(order);
    tickets_[{ pick.gateway, pick.request.ticket }] = { key, order };
    ++perGateway_[pick.gateway];
    model.entries.emplace(order, Entry { std::move(pick), pool });
    model.drain.advance(true, policy::millisOf(now));
    return order;
}

auto PlaceQueue::remove(std::uint64_t key, const Order &order, Instant now) -> WaitingPick
{
    auto &model = models_.at(key);
    model.drain.advance(true, policy::millisOf(now));
    auto node = model.entries.extract(order);
    auto &pick = node.mapped().pick;
    model.pools[node.mapped().pool].lanes[laneOf(pick)].erase(order);
    model.drain.advance(!model.entries.empty(), policy::millisOf(now));
    model.usedAt = now;
    if (pick.queuedAt < now) // Not one that is refused on arrival.
        model.lastWaitAt = now;
    tickets_.erase({ pick.gateway, pick.request.ticket });
    const auto count = perGateway_.find(pick.gateway);
    if (--count->second == 0)
        perGateway_.erase(count);
    return std::move(pick);
}

auto PlaceQueue::admit(WaitingPick pick, const PlaceSupply &supply, Instant now) -> proto::PickReply
{
    cancel(pick.gateway, pick.request.ticket, now);
    const auto count = perGateway_.find(pick.gateway);
    const auto isFull = waiting() >= options_.maxWaiting
            || (count != perGateway_.end() && count->second >= options_.maxPerGateway);
    const auto refuseArrival = [&](const WaitingPick &refused, PlaceCause cause) {
        auto reply = refuse(refused, cause, supply, now);
        auto &notice = note(PlaceEvent::Refused, refused);
        notice.cause = cause;
        notice.comeBackMs = reply.comeBackMs;
        return reply;
    };
    if (isFull)
        return refuseArrival(pick, PlaceCause::QueueFull);
    if (pick.latestStart <= now)
        return refuseArrival(pick, PlaceCause::PastStart);
    const auto key = keyOf(pick.request);
    auto &model = modelOf(key);
    if (model.entries.empty() && now - model.lastWaitAt > forgetDrainAfter)
        model.drain = {};
    const auto pool = poolFor(model, pick.request);
    model.pools[pool].supplies[laneOf(pick)] = supply;
    pick.queuedAt = now;
    const auto order = insert(key, std::move(pick), pool, now);
    auto shedding = Shedding { model, Forecast { model, promises_.of(key), now },
                               options_.recheckFactor, now, &order };
    const auto victims = shedding.run();
    const auto isVictim = std::any_of(victims.begin(), victims.end(),
                                      [&](const auto &victim) { return victim.order == order; });
    if (isVictim)
        return refuseArrival(remove(key, order, now), PlaceCause::PredictedLate);
    for (const auto &victim : victims)
        shed(key, victim.order, victim.cause, now);
    auto forecast = Forecast { model, promises_.of(key), now };
    for (auto item = model.entries.begin(); item->first != order; ++item)
        forecast.add(item->second.pool);
    auto &queued = model.entries.at(order).pick;
    if (!queued.isReturned)
        model.arrivals[laneOf(queued)].add(queued.latestStart - now, now);
    queued.predicted = forecast.waitOf(queued, pool);
    note(PlaceEvent::Queued, queued);
    auto reply = proto::PickReply {};
    reply.isQueued = true;
    reply.startMs = static_cast<std::uint32_t>(inMillis(queued.predicted));
    return reply;
}

/// Tells the caller when a slot will be free for it, after all those that wait and all that were
/// told a time before. In a trial, times before less urgent requests that wait were told as well:
/// the returns then took nearly all slots, and more urgent requests were refused than served by it.
auto PlaceQueue::refuse(const WaitingPick &pick, PlaceCause cause, const PlaceSupply &supply,
                        Instant now) -> proto::PickReply
{
    const auto key = keyOf(pick.request);
    auto &model = modelOf(key);
    model.usedAt = now;
    const auto pool = poolFor(model, pick.request);
    model.pools[pool].supplies[laneOf(pick)] = supply;
    auto forecast = Forecast { model, promises_.of(key), now };
    const auto longest = Duration { std::chrono::milliseconds { pick.request.limitMs } } / 3;
    for (const auto &item : model.entries)
        forecast.add(item.second.pool);
    const auto shortest = std::min(options_.minRetryAfter, longest);
    const auto next
            = std::max(model.lastRetryAt + options_.retrySpacing * forecast.intervalOf(pick, pool),
                       now + std::max(shortest, forecast.waitOf(pick, pool)));
    auto reply = proto::PickReply {};
    reply.refusal = proto::PickRefusal::NoRoom;
    const auto told = std::min(next, now + longest);
    reply.comeBackMs = static_cast<std::uint32_t>(std::max(1.0, inMillis(told - now)));
    // A later time than the caller can wait for is not reserved: it would be told to more callers
    // than get a slot.
    if (next <= now + longest && promises_.add(key, workOf(pick), next))
        model.lastRetryAt = next;
    if (pick.isReturned)
        note(PlaceEvent::PromiseMissed, pick).cause = cause;
    return reply;
}

auto PlaceQueue::shed(std::uint64_t key, const Order &order, PlaceCause cause, Instant now) -> void
{
    auto pick = remove(key, order, now);
    const auto pool = poolFor(models_.at(key), pick.request);
    const auto supply = models_.at(key).pools[pool].supplies[laneOf(pick)];
    auto reply = refuse(pick, cause, supply, now);
    auto &notice = note(PlaceEvent::Shed, pick);
    notice.cause = cause;
    notice.waited = now - pick.queuedAt;
    notice.comeBackMs = reply.comeBackMs;
    grants_.push_back({ std::move(pick.gateway), std::move(pick.request), std::move(reply) });
}

auto PlaceQueue::onServedAtOnce(const WaitingPick &pick) -> void
{
    if (pick.isReturned)
        note(PlaceEvent::PromiseKept, pick);
}

auto PlaceQueue::onRateUsed(const WaitingPick &pick, std::uint32_t comeBackMs) -> void
{
    auto &notice = note(PlaceEvent::Refused, pick);
    notice.cause = PlaceCause::RateUsed;
    notice.comeBackMs = comeBackMs;
    if (pick.isReturned)
        note(PlaceEvent::PromiseMissed, pick).cause = PlaceCause::RateUsed;
}

auto PlaceQueue::grant(Instant now, const EndpointId *freed, const TryPlace &tryPlace) -> void
{
    // The first request of a lane, by order, model, pool and lane.
    using Head = std::tuple<Order, std::uint64_t, std::size_t, std::size_t>;
    auto heads = std::set<Head> {};
    const auto addHead = [&](std::uint64_t key, std::size_t pool, std::size_t lane) {
        const auto &waiting = models_.at(key).pools[pool].lanes[lane];
        if (!waiting.empty())
            heads.emplace(*waiting.begin(), key, pool, lane);
    };
    for (const auto &[key, model] : models_) {
        for (auto pool = std::size_t { 0 }; pool < model.pools.size(); ++pool) {
            const auto &candidates = model.pools[pool].candidates;
            if (freed != nullptr
                && !std::binary_search(candidates.begin(), candidates.end(), *freed))
                continue;
            for (auto lane = std::size_t { 0 }; lane < laneCount; ++lane)
                addHead(key, pool, lane);
        }
    }
    // By model and pool: the first lane that found no room. Later ones find none either.
    auto blocked = std::map<std::pair<std::uint64_t, std::size_t>, std::size_t> {};
    while (!heads.empty()) {
        const auto [order, key, pool, lane] = *heads.begin();
        heads.erase(heads.begin());
        const auto found = blocked.find({ key, pool });
        if (found != blocked.end() && found->second <= lane)
            continue;
        const auto &pick = models_.at(key).entries.at(order).pick;
        if (pick.latestStart <= now) {
            shed(key, order, PlaceCause::PastStart, now);
        } else if (auto reply = tryPlace(pick)) {
            auto granted = remove(key, order, now);
            models_.at(key).drain.onPop();
            note(PlaceEvent::Granted, granted).waited = now - granted.queuedAt;
            if (granted.isReturned)
                note(PlaceEvent::PromiseKept, granted).waited = now - granted.queuedAt;
            grants_.push_back(
                    { std::move(granted.gateway), std::move(granted.request), *std::move(reply) });
        } else {
            blocked[{ key, pool }] = lane;
            continue;
        }
        addHead(key, pool, lane);
    }
}

auto PlaceQueue::recheck(Instant now, const SupplyFor &supplyFor) -> void
{
    for (auto &[key, model] : models_) {
        if (model.entries.empty())
            continue;
        model.drain.advance(true, policy::millisOf(now));
        for (auto &pool : model.pools) {
            for (auto lane = std::size_t { 0 }; lane < laneCount; ++lane) {
                if (!pool.lanes[lane].empty())
                    pool.supplies[lane]
                            = supplyFor(model.entries.at(*pool.lanes[lane].begin()).pick.request);
            }
        }
        auto shedding = Shedding { model, Forecast { model, promises_.of(key), now },
                                   options_.recheckFactor, now, nullptr };
        for (const auto &victim : shedding.run())
            shed(key, victim.order, victim.cause, now);
    }
}

auto PlaceQueue::expire(Instant now) -> void
{
    for (const auto work : promises_.expire(now)) {
        auto pick = WaitingPick {};
        pick.request.works.ofCaller.low = work;
        note(PlaceEvent::PromiseExpired, pick);
    }
    std::erase_if(models_, [now](const auto &item) {
        return item.second.entries.empty() && now - item.second.usedAt > forgetModelAfter;
    });
}

auto PlaceQueue::cancel(const NodeId &gateway, std::uint64_t ticket, Instant now) -> bool
{
    const auto found = tickets_.find({ gateway, ticket });
    if (found == tickets_.end())
        return false;
    const auto place = found->second;
    remove(place.key, place.order, now);
    return true;
}

auto PlaceQueue::onGatewayLost(const NodeId &gateway, Instant now) -> void
{
    auto item = tickets_.lower_bound({ gateway, 0 });
    while (item != tickets_.end() && item->first.first == gateway) {
        const auto place = item->second;
        ++item;
        remove(place.key, place.order, now);
    }
}

auto PlaceQueue::note(PlaceEvent event, const WaitingPick &pick) -> PlaceNotice &
{
    auto notice = PlaceNotice {};
    notice.event = event;
    notice.gateway = pick.gateway;
    notice.ticket = pick.request.ticket;
    notice.model = pick.request.model;
    notice.work = workOf(pick);
    notice.rank = pick.request.rank;
    notice.predicted = pick.predicted;
    if (notices_.size() >= maxNotices)
        return dropped_ = std::move(notice);
    return notices_.emplace_back(std::move(notice));
}

} // namespace figrack::fleet
