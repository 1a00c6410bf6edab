#include "fleet/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/duration.h"
#include "core/log.h"

namespace figrack::fleet {
namespace {

constexpr auto expireEvery = std::chrono::seconds { 1 };
/// Costs that differ by less count as equal: half a round trip between failure domains.
constexpr auto costTolerance = 1.0;
/// A speed is logged when it has changed by a third.
constexpr auto loggedSpeedChange = 4.0 / 3;

/// @return the duration in milliseconds; 0 for a negative one
auto positiveMillis(Duration duration) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max(0.0, inMillis(duration)));
}

} // namespace

Balancer::Balancer(BalancerOptions options, const Clock &clock, Random &random)
    : options_(options)
    , clock_(clock)
    , random_(random)
    , speeds_(options.speeds)
    , shares_(options.shares)
    , occupancyMs_(inMillis(options.initialOccupancy))
    , queue_(options.queue)
{ }

auto Balancer::endpointOf(const EndpointId &id) -> Endpoint &
{
    return endpoints_.try_emplace(id, options_.places).first->second;
}

auto Balancer::learnRates(const proto::PickRequest &request) -> void
{
    const auto now = clock_.now();
    for (const auto &rate : request.rates) {
        const auto heardAt = now - std::chrono::milliseconds { rate.ageMs };
        endpointOf(rate.endpoint).rate.onAdvertisedRate(rate.perSecond, heardAt, now);
    }
}

auto Balancer::hasRoom(Endpoint &endpoint, const proto::PickRequest &request, bool isReturned)
        -> bool
{
    if (!endpoint.rate.allows(clock_.now()))
        return false;
    if (request.hasBegun)
        return true;
    if (request.isOrdered && request.model == 0) {
        const auto limit = isReturned ? options_.plainLimitForReturned : options_.plainLimit;
        return request.places == 0 || endpoint.running < request.places * limit;
    }
    const auto isAdmitted = endpoint.limit.admits(endpoint.running, request.places, request.rank)
            || (isReturned && endpoint.running < request.places);
    return isAdmitted && !exceedsReadQueue(endpoint, request);
}

auto Balancer::countsForShare(const proto::PickRequest &request) -> bool
{
    return request.isOrdered && !request.account.empty() && request.accountPerSecond > 0;
}

auto Balancer::recordAsked(const proto::PickRequest &request) -> void
{
    if (!countsForShare(request))
        return;
    const auto now = clock_.now();
    shares_.onAsked(request.account, request.accountPerSecond, now);
    for (const auto &change : shares_.takeChanges(now)) {
        LogEvent(LogLevel::Info, "account_over_share")
                .with("account", change.account)
                .with("over", change.isOver)
                .with("use", change.use)
                .with("mean_use", change.mean);
    }
}

auto Balancer::recordGranted(const proto::PickRequest &request) -> void
{
    if (!countsForShare(request))
        return;
    ++(shares_.isOver(request.account) ? grantsOverShare_ : grantsWithinShare_);
    shares_.onGranted(request.account, static_cast<double>(request.cost), clock_.now());
}

/// Requests of accounts over their share do not count: places would be kept free for as long as
/// they ask, also if nobody else needs them.
auto Balancer::noteContention(const proto::PickRequest &request) -> void
{
    if (request.isOrdered && !shares_.isOver(request.account))
        contendedUntil_.at(kindOf(request)) = clock_.now() + options_.contentionTime;
}

auto Balancer::isContended(const proto::PickRequest &request) const -> bool
{
    return clock_.now() < contendedUntil_.at(kindOf(request));
}

auto Balancer::mustYield(const proto::PickRequest &request) const -> bool
{
    return countsForShare(request) && !request.hasBegun && isContended(request)
            && shares_.isOver(request.account);
}

auto Balancer::hasRoomBesideOthers(const Endpoint &endpoint,
                                   const proto::PickRequest &request) const -> bool
{
    // A plain service has no learned limit. Its places are free often enough for an account over
    // its share to get some, so it only loses the requests beyond them.
    if (request.places == 0)
        return true;
    if (request.model == 0)
        return endpoint.running < request.places;
    return endpoint.running < endpoint.limit.limit() * options_.overShareLimit;
}

/// More prompts than can be held back for decode intervals would be read without any: all streams
/// there would pause, and the prompt would be late anyway. Short prompts delay no stream, and a
/// plain service reads no prompts.
auto Balancer::exceedsReadQueue(const Endpoint &endpoint, const proto::PickRequest &request) const
        -> bool
{
    if (request.places == 0 || endpoint.running == 0)
        return false;
    const auto wait = endpoint.readUntil + decodeIntervalOf(endpoint, request) - clock_.now();
    return wait > admittedHoldFor(request) && readTime(endpoint, request) > options_.shortRead;
}

/// Callers of refused requests are told to retry one after another, at the rate at which places
/// become free.
auto Balancer::refuseNoRoom(const proto::PickRequest &request) -> proto::PickReply
{
    const auto now = clock_.now();
    noteContention(request);
    auto &last = lastRetryAt_.try_emplace(request.model, now).first->second;
    const auto places = static_cast<double>(request.places * request.candidates.size());
    const auto next
            = std::max(last, now + options_.minRetryAfter) + fromMillis(occupancyMs_ / places);
    last = std::min(next, now + options_.maxRetryAfter);
    auto reply = proto::PickReply {};
    reply.comeBackMs = positiveMillis(last - now);
    reply.refusal = proto::PickRefusal::NoRoom;
    return reply;
}

auto Balancer::areRatesUsed(const proto::PickRequest &request) const -> bool
{
    const auto now = clock_.now();
    return std::all_of(request.candidates.begin(), request.candidates.end(),
                       [&](const auto &id) { return !endpoints_.at(id).rate.allows(now); });
}

auto Balancer::refuseRateUsed(const proto::PickRequest &request) -> proto::PickReply
{
    const auto now = clock_.now();
    auto *soonest = &endpoints_.at(request.candidates.front()).rate;
    for (const auto &id : request.candidates) {
        auto &rate = endpoints_.at(id).rate;
        if (rate.nextAt(now) < soonest->nextAt(now))
            soonest = &rate;
    }
    auto reply = proto::PickReply {};
    reply.comeBackMs = std::max(positiveMillis(soonest->assignRetryAfter(now)), 1U);
    reply.refusal = proto::PickRefusal::RateUsed;
    return reply;
}

auto Balancer::pick(const NodeId &gateway, const proto::PickRequest &request) -> proto::PickReply
{
    expire();
    learnRates(request);
    recordAsked(request);
    if (request.candidates.empty())
        return {};
    if (request.isOrdered && !request.hasBegun)
        return pickOrdered(gateway, request);
    if (const auto *best = bestOf(request, false))
        return book(gateway, request, *best);
    return areRatesUsed(request) ? refuseRateUsed(request) : refuseNoRoom(request);
}

auto Balancer::bestOf(const proto::PickRequest &request, bool isReturned) -> const EndpointId *
{
    const auto yields = !isReturned && mustYield(request);
    const EndpointId *best = nullptr;
    auto bestCost = std::numeric_limits<double>::infinity();
    auto equals = std::uint64_t { 0 };
    for (const auto &id : request.candidates) {
        auto &endpoint = endpointOf(id);
        updateSpeed(id, endpoint, request);
        if (!hasRoom(endpoint, request, isReturned)
            || (yields && !hasRoomBesideOthers(endpoint, request)))
            continue;
        const auto cost = costAt(endpoint, request);
        if (best != nullptr && std::abs(cost - bestCost) < costTolerance) {
            // Reservoir sampling: each of the equal candidates is chosen with the same probability.
            if (random_.below(++equals) == 0)
                best = &id;
        } else if (cost < bestCost) {
            best = &id;
            bestCost = cost;
            equals = 1;
        }
    }
    return best;
}

auto Balancer::slotFor(const Endpoint &endpoint, const proto::PickRequest &request) const -> Slot
{
    const auto now = clock_.now();
    const auto read = readTime(endpoint, request);
    const auto decodeIntervalEnd = endpoint.readUntil + decodeIntervalOf(endpoint, request);
    if (decodeIntervalEnd <= now)
        return { now, now, now + read };
    auto slot = Slot { endpoint.readSince, std::max(endpoint.readUntil, now), {} };
    const auto isTooLong = slot.begin + read - endpoint.readSince > maxReadRunFor(request);
    if (isTooLong && endpoint.running > 0 && decodeIntervalEnd - now <= longestHoldFor(request))
        slot.runBegin = slot.begin = decodeIntervalEnd;
    slot.end = slot.begin + read;
    return slot;
}

auto Balancer::readTime(const Endpoint &endpoint, const proto::PickRequest &request) const
        -> Duration
{
    const auto missingTokens = missing(endpoint, request);
    auto read = std::chrono::duration_cast<Duration>(usualRead(missingTokens.toRead)
                                                     * readFactorOf(endpoint, request));
    if (missingTokens.toFetch > 0) {
        read += options_.fetchOverhead
                + fromMillis(static_cast<double>(missingTokens.toFetch)
                             / static_cast<double>(request.fetchTokensPerMs));
    }
    return read;
}

auto Balancer::maxReadRunFor(const proto::PickRequest &request) const -> Duration
{
    if (request.gapTargetMs == 0)
        return options_.maxReadRun;
    return fromMillis(static_cast<double>(request.gapTargetMs) * options_.maxReadRunShare);
}

auto Balancer::longestHoldFor(const proto::PickRequest &request) const -> Duration
{
    if (request.startTargetMs == 0)
        return options_.longestHold;
    const auto part = static_cast<double>(request.startTargetMs) * options_.longestHoldPart;
    return std::min(options_.longestHold, fromMillis(part));
}

auto Balancer::usualRead(std::uint64_t tokens) const -> Duration
{
    return fromMillis(static_cast<double>(tokens) / options_.tokensPerMs);
}

auto Balancer::readFactorOf(const Endpoint &endpoint, const proto::PickRequest &request) const
        -> double
{
    if (request.isOrdered)
        return speeds_.modelFactor(request.model) * speedOf(endpoint, request);
    const auto found = readFactors_.find(request.model);
    return found == readFactors_.end() ? 1 : found->second;
}

auto Balancer::speedOf(const Endpoint &endpoint, const proto::PickRequest &request) -> double
{
    return request.isOrdered ? endpoint.speed : 1;
}

auto Balancer::decodeIntervalOf(const Endpoint &endpoint, const proto::PickRequest &request) const
        -> Duration
{
    // Requests that are not ordered get exactly the configured interval.
    const auto speed = speedOf(endpoint, request);
    return speed == 1 ? options_.decodeInterval
                      : fromMillis(inMillis(options_.decodeInterval) * speed);
}

auto Balancer::updateSpeed(const EndpointId &id, Endpoint &endpoint,
                           const proto::PickRequest &request) -> void
{
    if (!request.isOrdered)
        return;
    const auto now = clock_.now();
    endpoint.speed = speeds_.factorOf(id, now);
    const auto change = endpoint.speed / endpoint.loggedSpeed;
    const auto crossesBand = (endpoint.speed == 1) != (endpoint.loggedSpeed == 1);
    const auto isNotable
            = crossesBand || change >= loggedSpeedChange || change <= 1 / loggedSpeedChange;
    if (!isNotable || now - endpoint.speedLoggedAt < options_.speedLogInterval)
        return;
    LogEvent(LogLevel::Info, "endpoint_speed")
            .with("endpoint", id)
            .with("factor", endpoint.speed)
            .with("before", endpoint.loggedSpeed)
            .with("learned", speeds_.learnedFactor(id, now));
    endpoint.loggedSpeed = endpoint.speed;
    endpoint.speedLoggedAt = now;
}

auto Balancer::status() const -> BalancerStatus
{
    return { speeds_.countByClass(clock_.now()), shares_.countOver(clock_.now()),
             grantsWithinShare_, grantsOverShare_ };
}

auto Balancer::learnReadFactor(const Booking &booking, Duration start) -> void
{
    if (!booking.isAlone || booking.usualRead < options_.minInformativeRead)
        return;
    const auto read = std::max(Duration::zero(), start - options_.startOverhead);
    if (booking.isOrdered) {
        speeds_.learn(booking.endpoint, booking.model, inMillis(read) / inMillis(booking.usualRead),
                      clock_.now());
        return;
    }
    const auto seen = std::clamp(inMillis(read) / inMillis(booking.usualRead),
                                 options_.minReadFactor, options_.maxReadFactor);
    auto &readFactor = readFactors_.try_emplace(booking.model, 1).first->second;
    readFactor += options_.learningRate * (seen - readFactor);
}

auto Balancer::costAt(const Endpoint &endpoint, const proto::PickRequest &request) const -> double
{
    const auto slot = slotFor(endpoint, request);
    const auto start = inMillis(slot.end - clock_.now());
    const auto readingOn = inMillis(slot.end - slot.runBegin);
    const auto running = static_cast<double>(endpoint.running);
    const auto paused = std::max(0.0, readingOn - inMillis(maxReadRunFor(request)));
    const auto generating
            = std::min(static_cast<double>(request.outputTokens) * options_.msPerToken,
                       inMillis(options_.generationHorizon));
    return start + running * options_.msPerRunning * speedOf(endpoint, request)
            + running * options_.pauseWeight * paused
            + generating * options_.exposureWeight * readShare(endpoint);
}

auto Balancer::missing(const Endpoint &endpoint, const proto::PickRequest &request) const -> Missing
{
    auto result = Missing { request.ownTokens, 0, {} };
    // A cached span is useful only if all spans before it are available.
    auto span = request.shared.begin();
    while (span != request.shared.end() && isCached(endpoint, span->key))
        ++span;
    for (; span != request.shared.end(); ++span) {
        const auto *cachedAtId = request.fetchTokensPerMs > 0 ? cachedAt(span->key) : nullptr;
        const auto isSame
                = cachedAtId != nullptr && (result.from.empty() || *cachedAtId == result.from);
        if (!isSame)
            break;
        result.from = *cachedAtId;
        result.toFetch += span->tokens;
    }
    for (; span != request.shared.end(); ++span)
        result.toRead += span->tokens;
    if (result.toFetch < options_.minFetchTokens) {
        result.toRead += std::exchange(result.toFetch, 0);
        result.from = {};
    }
    return result;
}

auto Balancer::isCached(const Endpoint &endpoint, std::uint64_t key) -> bool
{
    return std::any_of(endpoint.cached.begin(), endpoint.cached.end(),
                       [key](const auto &cached) { return cached.key == key; });
}

auto Balancer::cachedAt(std::uint64_t key) const -> const EndpointId *
{
    const auto last = lastCachedAt_.find(key);
    if (last == lastCachedAt_.end())
        return nullptr;
    const auto found = endpoints_.find(last->second);
    const auto hasRead = found != endpoints_.end() && found->second.readUntil <= clock_.now()
            && isCached(found->second, key);
    return hasRead ? &last->second : nullptr;
}

auto Balancer::readShare(const Endpoint &endpoint) const -> double
{
    const auto age = inMillis(clock_.now() - endpoint.averagedAt);
    const auto window = inMillis(options_.readWindow);
    return endpoint.reading * std::exp(-age / window) / window;
}

auto Balancer::book(const NodeId &gateway, const proto::PickRequest &request, const EndpointId &id)
        -> proto::PickReply
{
    auto &endpoint = endpointOf(id);
    const auto now = clock_.now();
    const auto slot = slotFor(endpoint, request);
    auto reply = proto::PickReply { id,
                                    positiveMillis(slot.end - now),
                                    endpoint.running,
                                    positiveMillis(slot.runBegin - now),
                                    {},
                                    0 };
    const auto missingTokens = missing(endpoint, request);
    reply.fetchFrom = missingTokens.from;
    endpoint.reading
            = readShare(endpoint) * inMillis(options_.readWindow) + inMillis(slot.end - slot.begin);
    endpoint.averagedAt = now;
    endpoint.readSince = slot.runBegin;
    endpoint.readUntil = slot.end;
    endpoint.rate.take(now);
    recordCached(id, request.shared);
    auto &booking = bookings_[{ gateway, request.ticket }];
    if (!booking.endpoint.empty())
        release(booking);
    booking = { id,
                request.model,
                usualRead(missingTokens.toRead),
                slot.begin == now,
                now,
                now + std::chrono::milliseconds { request.limitMs },
                request.isOrdered,
                countsForShare(request) ? request.account : AccountId {},
                request.cost };
    recordGranted(request);
    ++endpoint.running;
    return reply;
}

auto Balancer::recordCached(const EndpointId &id, const std::vector<proto::PromptSpan> &spans)
        -> void
{
    auto &endpoint = endpointOf(id);
    for (const auto &span : spans) {
        const auto found = std::find_if(endpoint.cached.begin(), endpoint.cached.end(),
                                        [&](const auto &cached) { return cached.key == span.key; });
        if (found != endpoint.cached.end())
            endpoint.cached.erase(found);
        else
            endpoint.cachedTokens += span.tokens;
        endpoint.cached.push_back(span);
        lastCachedAt_[span.key] = id;
    }
    while (endpoint.cachedTokens > options_.cachedTokens && !endpoint.cached.empty()) {
        const auto &oldest = endpoint.cached.front();
        endpoint.cachedTokens -= oldest.tokens;
        const auto last = lastCachedAt_.find(oldest.key);
        if (last != lastCachedAt_.end() && last->second == id)
            lastCachedAt_.erase(last);
        endpoint.cached.pop_front();
    }
}

auto Balancer::onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void
{
    const auto found = bookings_.find({ gateway, end.ticket });
    if (found == bookings_.end()) {
        queue_.cancel(gateway, end.ticket, clock_.now());
        return;
    }
    if (end.startMs > 0)
        learnReadFactor(found->second, std::chrono::milliseconds { end.startMs });
    learnLimit(found->second, end.outcome);
    if (!found->second.account.empty() && !end.mayHaveRun) {
        shares_.onReturned(found->second.account, static_cast<double>(found->second.cost),
                           found->second.bookedAt, clock_.now());
    }
    const auto endpoint = found->second.endpoint;
    release(found->second);
    bookings_.erase(found);
    grantPlaces(&endpoint);
}

auto Balancer::learnLimit(const Booking &booking, proto::PickOutcome outcome) -> void
{
    const auto found = endpoints_.find(booking.endpoint);
    if (outcome == proto::PickOutcome::Unknown || found == endpoints_.end())
        return;
    const auto now = clock_.now();
    const auto occupied = inMillis(now - booking.bookedAt);
    occupancyMs_ += options_.learningRate * (occupied - occupancyMs_);
    auto &endpoint = found->second;
    endpoint.occupancyMs
            = occupancyOf(endpoint) + options_.learningRate * (occupied - occupancyOf(endpoint));
    endpoint.limit.onEnd(outcome == proto::PickOutcome::Late, endpoint.running, now);
}

auto Balancer::onGatewayLost(const NodeId &gateway) -> void
{
    auto item = bookings_.lower_bound({ gateway, 0 });
    while (item != bookings_.end() && item->first.first == gateway) {
        release(item->second);
        item = bookings_.erase(item);
    }
    queue_.onGatewayLost(gateway, clock_.now());
    grantPlaces(nullptr);
}

auto Balancer::runningAt(const EndpointId &id) const -> std::uint32_t
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? 0 : found->second.running;
}

auto Balancer::release(const Booking &booking) -> void
{
    const auto found = endpoints_.find(booking.endpoint);
    if (found != endpoints_.end() && found->second.running > 0)
        --found->second.running;
}

auto Balancer::expire() -> void
{
    const auto now = clock_.now();
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + expireEvery;
    speeds_.maintain(now);
    for (auto item = bookings_.begin(); item != bookings_.end();) {
        if (item->second.expiresAt > now) {
            ++item;
            continue;
        }
        release(item->second);
        item = bookings_.erase(item);
    }
    std::erase_if(endpoints_, [&](const auto &item) {
        const auto &endpoint = item.second;
        return endpoint.running == 0 && now - endpoint.averagedAt > options_.forgetAfter;
    });
    queue_.expire(now);
    std::erase_if(lastRetryAt_, [now](const auto &item) { return item.second <= now; });
    std::erase_if(lastCachedAt_,
                  [&](const auto &item) { return !endpoints_.contains(item.second); });
}

} // namespace figrack::fleet
