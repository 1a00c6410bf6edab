// The part of the balancer that concerns requests which may wait for a slot.

#include "fleet/balancer.h"

#include <algorithm>

#include "core/duration.h"

namespace figrack::fleet {
namespace {

/// A plain service's answer takes at most this part of the start target, by what is assumed for the
/// time to dispatch a request. Where it takes longer, requests are late however early they start.
constexpr auto longestPlainPart = 0.5;

} // namespace

auto Balancer::pickOrdered(const NodeId &gateway, const proto::PickRequest &request)
        -> proto::PickReply
{
    auto pick = waitingPick(gateway, request);
    pick.isReturned = queue_.takePromise(request, clock_.now());
    if (!queue_.mustWait(pick)) {
        if (const auto *best = bestOf(request, pick.isReturned)) {
            queue_.onServedAtOnce(pick);
            return book(gateway, request, *best);
        }
    }
    const auto supply = supplyFor(request);
    if (areRatesUsed(request)) {
        auto reply = refuseRateUsed(request);
        queue_.onRateUsed(pick, reply.comeBackMs);
        return reply;
    }
    noteContention(request);
    return queue_.admit(std::move(pick), supply, clock_.now());
}

auto Balancer::waitingPick(const NodeId &gateway, const proto::PickRequest &request) const
        -> WaitingPick
{
    const auto now = clock_.now();
    auto pick = WaitingPick {};
    pick.gateway = gateway;
    pick.request = request;
    pick.isOverShare = countsForShare(request) && shares_.isOver(request.account);
    pick.arrivedAt = now - std::chrono::milliseconds { request.waitedMs };
    pick.latestStart = now + timeToLatestStart(request);
    return pick;
}

auto Balancer::timeToLatestStart(const proto::PickRequest &request) const -> Duration
{
    // Without a start target, any time within the caller's is good enough.
    if (request.startTargetMs == 0)
        return std::chrono::milliseconds { request.limitMs };
    const auto target = Duration { std::chrono::milliseconds { request.startTargetMs } };
    const auto left = Duration { std::chrono::milliseconds { request.startWithinMs } };
    const auto lead = leadTime(request);
    // A prompt that cannot be read in time even alone may still be served late. It waits for as
    // long as one that needs half of the target.
    return left - (lead < target ? lead : target / 2);
}

/// An engine's first event comes when the prompt has been read, a plain service's when the work is
/// done.
auto Balancer::leadTime(const proto::PickRequest &request) const -> Duration
{
    auto shortest = Duration::max();
    for (const auto &id : request.candidates) {
        const auto found = endpoints_.find(id);
        if (found == endpoints_.end())
            continue;
        const auto time = request.model == 0 ? fromMillis(occupancyOf(found->second))
                                             : readTime(found->second, request);
        shortest = std::min(shortest, time);
    }
    if (shortest == Duration::max())
        return Duration::zero();
    if (request.model != 0)
        return shortest + options_.startOverhead;
    const auto target = static_cast<double>(request.startTargetMs);
    return std::min(shortest, fromMillis(target * longestPlainPart));
}

auto Balancer::occupancyOf(const Endpoint &endpoint) const -> double
{
    return endpoint.occupancyMs > 0 ? endpoint.occupancyMs : inMillis(options_.initialOccupancy);
}

auto Balancer::admittedHoldFor(const proto::PickRequest &request) const -> Duration
{
    const auto longest = longestHoldFor(request);
    return request.isOrdered ? std::min(longest, options_.longestOrderedHold) : longest;
}

/// An endpoint at its limit takes a request when another one ends, and an engine takes no more than
/// it reads prompts; below its limit, the next one when it has read enough.
auto Balancer::supplyFor(const proto::PickRequest &request) -> PlaceSupply
{
    auto supply = PlaceSupply {};
    for (const auto &id : request.candidates) {
        auto &endpoint = endpointOf(id);
        const auto ending = std::max(endpoint.running, 1U) / std::max(occupancyOf(endpoint), 1.0);
        if (request.model == 0) {
            supply.perMs += ending;
            continue;
        }
        const auto reading
                = 1 / inMillis(std::max(readTime(endpoint, request), options_.decodeInterval));
        if (!endpoint.limit.admits(endpoint.running, request.places, request.rank)) {
            supply.perMs += std::min(ending, reading);
            continue;
        }
        supply.perMs += reading;
        const auto drained
                = endpoint.readUntil + options_.decodeInterval - admittedHoldFor(request);
        const auto in = std::max<Duration>(drained - clock_.now(), std::chrono::milliseconds { 1 });
        supply.firstIn = supply.firstIn == Duration::zero() ? in : std::min(supply.firstIn, in);
    }
    return supply;
}

auto Balancer::grantPlaces(const EndpointId *freed) -> void
{
    if (queue_.waiting() == 0)
        return;
    queue_.grant(clock_.now(), freed,
                 [this](const WaitingPick &pick) -> std::optional<proto::PickReply> {
                     const auto *best = bestOf(pick.request, pick.isReturned);
                     if (best == nullptr)
                         return std::nullopt;
                     return book(pick.gateway, pick.request, *best);
                 });
}

auto Balancer::recheckWaiting() -> void
{
    grantPlaces(nullptr);
    queue_.recheck(clock_.now(), [this](const auto &request) { return supplyFor(request); });
}

} // namespace figrack::fleet
