// Finds the endpoint for a request, or determines what prevents the request from running.
//
// A request that finds no endpoint either waits and looks again, or is refused immediately if the
// missing model, adapter, place or rate cannot become available in time.

#include <algorithm>
#include <iterator>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "catalogue/contention.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Time that a model load takes in addition to the load itself: the demand report to the leader,
/// the order, the unload before the load, and the announcement that the load has finished.
constexpr auto swapOverhead = std::chrono::milliseconds { 700 };
/// The same for weights that come from the store, where loads may queue.
constexpr auto storeOverhead = std::chrono::milliseconds { 1500 };
/// Time to load an adapter: the order plus a few milliseconds.
constexpr auto adapterLoad = std::chrono::milliseconds { 150 };
/// A waiting request looks for an endpoint again after this time, even if it was not woken.
constexpr auto recheckInterval = std::chrono::milliseconds { 250 };
/// A request that found no free place asks again after this time. Of a few dozen places that are
/// each occupied for one to two seconds, one becomes free about this often.
constexpr auto placeRecheckInterval = std::chrono::milliseconds { 50 };
/// Fraction of a route's start target that a request may wait for a place. The rest is for reading
/// its prompt.
constexpr auto placeWaitShare = 0.5;
/// Range of the random time that is added to Retry-After during a backoff, so that callers do not
/// all return at once.
constexpr auto retryAfterJitter = std::chrono::milliseconds { 500 };
/// A replica that has read a shared part of a prompt keeps it for some seconds. Requests for a
/// model are spread over its replicas, so about one in this many reads it again.
constexpr auto sharedTokensPerRead = std::uint64_t { 2 };
constexpr auto longestAvoidPause = std::chrono::milliseconds { 2000 };
/// Fraction of the time that a refused caller has left after which it is told to return at the
/// latest: callers wait no longer than that, and time must remain to be served.
constexpr auto latestReturn = 1.0 / 3;
/// A request waits no longer after its arrival for the probe of a path. A probe of an open path
/// takes a round trip, and one of a lost path less than this.
constexpr auto longestProbeWait = std::chrono::milliseconds { 1000 };
constexpr auto probeRecheckInterval = std::chrono::milliseconds { 50 };
/// Time after its latest start until which a queued request waits. A grant that the balancer made
/// just in time arrives within this time, also from another region to a busy gateway.
constexpr auto grantGrace = std::chrono::milliseconds { 100 };

/// @return the smallest number of slots that one of the endpoints announced; 0 if none did
auto fewestSlots(const std::vector<EndpointEntry *> &entries) -> std::uint32_t
{
    auto fewest = std::uint32_t { 0 };
    for (const auto *entry : entries) {
        const auto slots = entry->row.slots;
        if (slots > 0 && (fewest == 0 || slots < fewest))
            fewest = slots;
    }
    return fewest;
}

auto areAllAvoided(const std::vector<EndpointEntry *> &entries, const Criteria &criteria) -> bool
{
    return std::all_of(entries.begin(), entries.end(),
                       [&](const auto *entry) { return criteria.avoided.contains(entry->row.id); });
}

} // namespace

auto Forwarder::Run::countAsWork() -> void
{
    if (!std::exchange(isCountedAsWork_, true))
        parts_.retries.onRequest(service_);
}

auto Forwarder::Run::place() -> asio::awaitable<EndpointEntry *>
{
    isUnreached_ = false;
    while (true) {
        if (callerGone_) {
            outcome_ = RequestOutcome::CallerGone;
            co_return nullptr;
        }
        // Other attempts of the same work may have crashed endpoints while this one waited.
        if (auto status = quarantineRefusal()) {
            co_await giveUp(std::move(*status));
            co_return nullptr;
        }
        const auto blockedBy = co_await pick();
        if (blockedBy == BlockedBy::Nothing && callerGone_)
            continue;
        isUnreached_ = blockedBy == BlockedBy::Path;
        if (isUnreached_) {
            blockedBy_ = blockedBy;
            finishWaiting();
            co_return nullptr;
        }
        countAsWork();
        if (blockedBy == BlockedBy::Nothing && (predictedWait_ || hasAwaitedProbe_)) {
            // The work may have been put in quarantine while the request waited.
            if (auto status = quarantineRefusal()) {
                picked_.booking = {};
                co_await giveUp(std::move(*status));
                co_return nullptr;
            }
        }
        if (blockedBy == BlockedBy::Limit || blockedBy == BlockedBy::Counter) {
            blockedBy_ = blockedBy;
            retryAfter_ = picked_.retryAfter;
            auto error = blockedBy == BlockedBy::Limit ? overLimitError() : blockedError(blockedBy);
            co_await giveUp(std::move(error));
            co_return nullptr;
        }
        if (blockedBy == BlockedBy::Home || blockedBy == BlockedBy::Version) {
            blockedBy_ = blockedBy;
            if (blockedBy == BlockedBy::Version)
                retryAfter_ = owner_.options_.versionRetryAfter;
            auto error = blockedError(blockedBy);
            co_await giveUp(std::move(error));
            co_return nullptr;
        }
        const auto mayCauseLoad = blockedBy == BlockedBy::Model || blockedBy == BlockedBy::Adapter
                || blockedBy == BlockedBy::Backoff;
        if (mayCauseLoad && co_await refuseOverLimit())
            co_return nullptr;
        if (callerGone_)
            continue;
        noteDemand();
        if (blockedBy == BlockedBy::Nothing) {
            finishWaiting();
            co_return parts_.view.find(picked_.endpoint);
        }
        blockedBy_ = blockedBy;
        const auto isDeclined = blockedBy == BlockedBy::Places || blockedBy == BlockedBy::Trial
                || blockedBy == BlockedBy::Rate || blockedBy == BlockedBy::Memory;
        const auto waitTime = isDeclined ? waitTimeForPlace(blockedBy) : waitTimeFor(blockedBy);
        if (!waitTime) {
            if (blockedBy == BlockedBy::Memory)
                noteMemoryRefused();
            // Suspected work must not cause its model to be loaded elsewhere.
            if (!target_.model.empty() && blockedBy != BlockedBy::Endpoint
                && blockedBy != BlockedBy::Trial)
                parts_.demand.onRefused(target_);
            // A named variable, because g++ 12 destroys the result of a conditional expression
            // twice when it is part of a co_await expression.
            auto error = blockedBy == BlockedBy::Trial ? quarantinedError(verdict().ends)
                                                       : blockedError(blockedBy);
            co_await giveUp(std::move(error));
            co_return nullptr;
        }
        if (!isDeclined)
            beginWaiting();
        co_await parts_.waiters.wait(*waitTime);
        clearExpiredAvoidance();
    }
}

auto Forwarder::Run::blockedError(BlockedBy blockedBy) -> absl::Status
{
    const auto kind = blockedBy == BlockedBy::Counter ? ErrorKind::NoQuorum : ErrorKind::NoCapacity;
    return makeError(kind, "lack=" + std::string { blockedByName(blockedBy) });
}

auto Forwarder::Run::awaitEndpoints() -> asio::awaitable<void>
{
    if (!parts_.wantEndpoints)
        co_return;
    const auto key = proto::WatchKey { service_, criteria_.model, criteria_.adapter };
    const auto limit = std::min(
            { parts_.clock.now() + owner_.options_.awaitEndpoints, startBy_, latestDispatch() });
    while (!parts_.wantEndpoints(key) && !callerGone_ && parts_.clock.now() < limit)
        co_await parts_.waiters.wait(limit - parts_.clock.now());
}

auto Forwarder::Run::candidates() const -> std::vector<EndpointEntry *>
{
    auto result = parts_.view.of(service_);
    std::erase_if(result, [&](const auto *entry) {
        return !homes_.allows(entry->row.domain)
                || (streamVersion_ && entry->row.softwareVersion != *streamVersion_);
    });
    return result;
}

auto Forwarder::Run::pick() -> asio::awaitable<BlockedBy>
{
    while (true) {
        co_await awaitEndpoints();
        criteria_.now = parts_.clock.now();
        const auto candidates = this->candidates();
        if (candidates.empty() && streamVersion_)
            co_return BlockedBy::Version;
        if (candidates.empty() && homes_.isRestricted() && !parts_.view.of(service_).empty())
            co_return BlockedBy::Home;
        auto able = ableAmong(candidates);
        backoffUntil_ = able.backoffUntil;
        if (able.entries.empty())
            co_return able.blockedBy;
        if (co_await awaitProbes(able.entries))
            continue;
        if (callerGone_)
            co_return BlockedBy::Nothing;
        preferOpenPaths(able.entries);
        if (!keepThoseWithRoom(able.entries))
            co_return BlockedBy::Memory;
        auto terms = pickTerms(service_, caller_, timeLeft());
        if (engine_ != nullptr) {
            terms.fetchTokensPerMs = engine_->fetchTokensPerMs;
            terms.places = engine_->slots;
        }
        terms.ordered = orderedTerms();
        if (terms.ordered && engine_ == nullptr) {
            terms.model = 0; // Callers may name one to any service; plain ones queue by service.
            terms.places = fewestSlots(able.entries);
        }
        terms.coldPerSecond = coldPerSecond_;
        terms.rank = rank();
        terms.hasBegun = sent_ > 0;
        terms.startTarget = route_->startTarget;
        terms.gapTarget = route_->gapTarget;
        terms.works = works_;
        std::copy_if(promptParts_.begin(), promptParts_.end(),
                     std::back_inserter(terms.suspectedParts),
                     [this](const auto &part) { return parts_.quarantine.isSuspected(part); });
        terms.charge = charge();
        auto picked = co_await parts_.picker.pick(able.entries, criteria_, terms);
        picked_ = std::move(picked);
        if (picked_.wait) {
            const auto blockedBy = co_await awaitGrant();
            if (!blockedBy)
                continue;
            if (*blockedBy != BlockedBy::Nothing || callerGone_)
                co_return *blockedBy;
        }
        if (picked_.retryAfter)
            co_return picked_.blockedBy;
        co_await hold();
        // The endpoint may have left, or asked for a backoff, or other requests may have filled it,
        // while the balancer was asked or the request was delayed.
        const auto hasRoom = owner_.heldBytes_.hasRoomAt(picked_.endpoint);
        if (callerGone_ || (parts_.view.maySend(picked_.endpoint) && hasRoom))
            co_return BlockedBy::Nothing;
        picked_.booking = {};
    }
}

auto Forwarder::Run::keepThoseWithRoom(std::vector<EndpointEntry *> &able) -> bool
{
    std::erase_if(able,
                  [&](const auto *entry) { return !owner_.heldBytes_.hasRoomAt(entry->row.id); });
    if (!able.empty())
        return true;
    picked_ = {};
    picked_.retryAfter = memoryRetryAfter();
    picked_.blockedBy = BlockedBy::Memory;
    return false;
}

auto Forwarder::Run::ableAmong(const std::vector<EndpointEntry *> &candidates) const -> Able
{
    const auto isHealthy = [&](const EndpointEntry &entry) { return parts_.view.isHealthy(entry); };
    auto reached = candidates;
    std::erase_if(reached, [this](const auto *entry) { return !isReached(*entry); });
    auto able = ableEndpoints(reached, criteria_, isHealthy);
    if (!able.entries.empty() || reached.size() == candidates.size() || isPathGivenUp_)
        return able;
    // Where no endpoint is reached, another gateway also waits for what none of them holds.
    auto announced = candidates;
    std::erase_if(announced, [this](const auto *entry) {
        return !parts_.view.isAnnounced(*entry) || hasEndedByItself(*entry);
    });
    if (reached.empty() || !ableEndpoints(announced, criteria_, isHealthy).entries.empty())
        return { {}, BlockedBy::Path, {} };
    return able;
}

auto Forwarder::Run::isReached(const EndpointEntry &entry) const -> bool
{
    const auto group = entry.row.group();
    const auto state = parts_.paths.state(group);
    const auto failure = parts_.paths.failureOf(group, entry.row.id);
    if (state == PathState::Lost || failure == DialOutcome::TimedOut)
        return false;
    if (state == PathState::KeptOnly || failure)
        return parts_.client.hasKept(entry.row.address, maxIdleAge());
    return true;
}

auto Forwarder::Run::hasEndedByItself(const EndpointEntry &entry) const -> bool
{
    const auto group = entry.row.group();
    return parts_.paths.isOpen(group)
            && parts_.paths.failureOf(group, entry.row.id) == DialOutcome::Refused;
}

auto Forwarder::Run::preferOpenPaths(std::vector<EndpointEntry *> &able) const -> void
{
    const auto isSuspected = [this](const auto *entry) {
        return parts_.paths.state(entry->row.group()) == PathState::Suspected;
    };
    if (!std::all_of(able.begin(), able.end(), isSuspected))
        std::erase_if(able, isSuspected);
}

auto Forwarder::Run::awaitProbes(const std::vector<EndpointEntry *> &able) -> asio::awaitable<bool>
{
    const auto now = parts_.clock.now();
    const auto isSuspected = std::all_of(able.begin(), able.end(), [this](const auto *entry) {
        return parts_.paths.state(entry->row.group()) == PathState::Suspected;
    });
    if (!isSuspected || callerGone_ || now >= std::min(startBy_, arrived_ + longestProbeWait))
        co_return false;
    hasAwaitedProbe_ = true;
    co_await parts_.waiters.wait(probeRecheckInterval);
    co_return !callerGone_;
}

auto Forwarder::Run::orderedTerms() const -> std::optional<OrderedTerms>
{
    // Without a start target there is no latest start to order by.
    if (!isOrdered_ || route_->startTarget <= Duration::zero())
        return std::nullopt;
    auto terms = OrderedTerms {};
    terms.waited = parts_.clock.now() - arrived_;
    terms.startWithin = std::max<Duration>(route_->startTarget - terms.waited, Duration::zero());
    if (account_ != nullptr) {
        terms.account = account_->id;
        terms.cost = costToAccount();
        terms.accountPerSecond = account_->limit.perSecond;
    }
    return terms;
}

auto Forwarder::Run::awaitGrant() -> asio::awaitable<std::optional<BlockedBy>>
{
    // An admitted request is demand for its model from now on; its place may take seconds.
    noteDemand();
    auto &wait = *picked_.wait;
    predictedWait_ = predictedWait_.value_or(wait.predicted());
    auto end = co_await awaitWaitEnd(wait);
    if (end == WaitEnd::Granted && !mayUse(wait.reply().endpoint))
        end = WaitEnd::Outdated;
    queuedFor_ += wait.waited();
    waitEnd_ = end;
    parts_.metrics.onPlaceWait(waitEndName(end), wait.waited());
    if (end == WaitEnd::Granted)
        parts_.metrics.onGrantPredicted(wait.waited() - wait.predicted());
    if (end == WaitEnd::Granted || end == WaitEnd::Refused) {
        parts_.picker.settle(picked_, owner_.options_.defaultRetryAfter);
        co_return picked_.blockedBy;
    }
    // A balancer keeps the charges of gateways whose connection it has lost, and the other controls
    // know of them. So the next one must not count the request again.
    isCounted_ = isCounted_ || end == WaitEnd::Closed;
    picked_.wait.reset(); // Sends a PickEnd.
    if (end == WaitEnd::Left || callerGone_)
        co_return BlockedBy::Nothing;
    if (end != WaitEnd::Expired)
        co_return std::nullopt;
    picked_.retryAfter = owner_.options_.defaultRetryAfter;
    picked_.blockedBy = BlockedBy::Places;
    co_return picked_.blockedBy;
}

auto Forwarder::Run::awaitWaitEnd(GrantWait &wait) -> asio::awaitable<WaitEnd>
{
    wait.setOnEnd([this] { holdTimer_.cancel(); });
    while (true) {
        // The latest time of a dispatch may change during the wait.
        const auto limit = std::min(
                { arrived_ + route_->startTarget + grantGrace, startBy_, latestDispatch() });
        if (const auto end = wait.check(limit))
            co_return *end;
        if (callerGone_)
            co_return wait.finish(WaitEnd::Left);
        // The balancer refuses what has been put in quarantine meanwhile.
        if (areCandidatesOutdated() || verdict().standing == policy::Standing::Quarantined)
            co_return wait.finish(WaitEnd::Outdated);
        holdTimer_.expires_after(std::min<Duration>(recheckInterval, limit - parts_.clock.now()));
        auto code = boost::system::error_code {};
        co_await holdTimer_.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
}

auto Forwarder::Run::areCandidatesOutdated() const -> bool
{
    const auto able = ableAmong(candidates());
    const auto &asked = picked_.candidates;
    const auto wasAsked = [&](const auto *entry) {
        return std::find(asked.begin(), asked.end(), entry->row.id) != asked.end();
    };
    const auto count = std::count_if(able.entries.begin(), able.entries.end(), wasAsked);
    const auto hasNew = static_cast<std::size_t>(count) < able.entries.size();
    return count == 0 || (picked_.hasAllCandidates && hasNew);
}

auto Forwarder::Run::mayUse(const EndpointId &granted) const -> bool
{
    const auto &asked = picked_.candidates;
    const auto able = ableAmong(candidates());
    return std::find(asked.begin(), asked.end(), granted) != asked.end()
            && std::any_of(able.entries.begin(), able.entries.end(),
                           [&](const auto *entry) { return entry->row.id == granted; });
}

auto Forwarder::Run::hold() -> asio::awaitable<void>
{
    const auto left = std::min(startBy_, latestDispatch()) - parts_.clock.now();
    const auto duration = std::min(picked_.hold, left);
    if (callerGone_ || duration <= Duration::zero())
        co_return;
    held_ += duration;
    holdTimer_.expires_after(duration);
    auto code = boost::system::error_code {};
    co_await holdTimer_.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

auto Forwarder::Run::waitTimeForPlace(BlockedBy blockedBy) -> std::optional<Duration>
{
    const auto now = parts_.clock.now();
    retryAfter_ = picked_.retryAfter;
    // The balancer would have queued the request if a place became free in time.
    if (isOrdered_ && blockedBy == BlockedBy::Places)
        return std::nullopt;
    const auto spare = std::chrono::duration_cast<Duration>(route_->startTarget * placeWaitShare);
    const auto limit = std::min({ arrived_ + spare, startBy_, latestDispatch() });
    if (now >= limit)
        return std::nullopt;
    // A place may become free at any time, whereas the time at which a rate allows the next request
    // is known.
    if (blockedBy == BlockedBy::Rate)
        return now + *retryAfter_ <= limit ? retryAfter_ : std::nullopt;
    // Where bytes take longer to be released than the request may wait, waiting cannot help.
    if (blockedBy == BlockedBy::Memory && now + *retryAfter_ > limit)
        return std::nullopt;
    return std::min<Duration>(placeRecheckInterval, limit - now);
}

auto Forwarder::Run::waitTimeFor(BlockedBy blockedBy) -> std::optional<Duration>
{
    const auto now = parts_.clock.now();
    const auto ready = readyAt(blockedBy);
    if (!ready && parts_.view.of(service_).empty())
        retryAfter_ = owner_.options_.retryAfterAtStart;
    if (!ready)
        return std::nullopt;
    retryAfter_ = std::max<Duration>(*ready - now, owner_.options_.defaultRetryAfter);
    if (blockedBy == BlockedBy::Backoff) {
        // A load elsewhere that is overdue may still finish long before the backoff ends.
        retryAfter_ = std::min(*retryAfter_, expectedLoad(blockedBy).value_or(*retryAfter_));
        *retryAfter_
                += std::chrono::duration_cast<Duration>(retryAfterJitter * parts_.random.unit());
    }
    const auto limit = std::min(startBy_, latestDispatch());
    if (*ready >= limit || now >= limit) {
        if (scheduledLoad(blockedBy)) {
            const auto latest = std::chrono::duration_cast<Duration>(timeLeft() * latestReturn);
            retryAfter_ = std::min(*retryAfter_, latest);
            parts_.metrics.onLoadTooLate();
        }
        return std::nullopt;
    }
    return std::min<Duration>(recheckInterval, limit - now);
}

auto Forwarder::Run::readyAt(BlockedBy blockedBy) -> std::optional<Instant>
{
    // A model that is loaded at an endpoint of another software version does not help a stream that
    // has begun. Without a run, endpoints that only rejected it are tried again.
    if (streamVersion_ && mayHaveRun_ && blockedBy != BlockedBy::Backoff
        && areAllAvoided(candidates(), criteria_))
        return std::nullopt;
    const auto now = parts_.clock.now();
    const auto load = expectedLoad(blockedBy);
    const auto since = waitingSince();
    if (load && !loadReady_ && scheduledLoad(blockedBy))
        loadReady_ = since + *load - now;
    if (blockedBy != BlockedBy::Backoff)
        return load ? std::optional { std::max(since + *load, now) } : std::nullopt;
    // A load elsewhere that is overdue may never finish, but the backoff certainly ends.
    const auto isDue = load && since + *load > now;
    return isDue ? std::min(since + *load, backoffUntil_) : backoffUntil_;
}

auto Forwarder::Run::waitingSince() const -> Instant
{
    return waiting_ ? parts_.demand.waitingSince(target_) : parts_.clock.now();
}

auto Forwarder::Run::scheduledLoad(BlockedBy blockedBy) const -> std::optional<ScheduledReady>
{
    const auto isLacking = blockedBy == BlockedBy::Model || blockedBy == BlockedBy::Adapter
            || blockedBy == BlockedBy::Backoff;
    if (parts_.loadWatch == nullptr || target_.model.empty() || !isLacking)
        return std::nullopt;
    return parts_.loadWatch->find(target_);
}

auto Forwarder::Run::expectedLoad(BlockedBy blockedBy) -> std::optional<Duration>
{
    const auto since = waitingSince();
    const auto now = parts_.clock.now();
    if (const auto scheduled = scheduledLoad(blockedBy))
        return std::max(scheduled->readyAt, now) - since;
    auto guess = guessedLoad(blockedBy);
    // The leader has not begun the load, so all of its time is still to come. During a backoff the
    // endpoints that hold the model are known, and no load need be scheduled.
    const auto isUnscheduled = guess && blockedBy != BlockedBy::Backoff
            && parts_.loadWatch != nullptr && parts_.loadWatch->isUnscheduled(target_, since);
    return isUnscheduled ? *guess + (now - since) : guess;
}

auto Forwarder::Run::guessedLoad(BlockedBy blockedBy) -> std::optional<Duration>
{
    if (blockedBy == BlockedBy::Adapter)
        return adapterLoad;
    const auto *model = engine_ == nullptr ? nullptr : engine_->find(criteria_.model);
    const auto isToBeLoaded = blockedBy == BlockedBy::Model || blockedBy == BlockedBy::Backoff;
    if (!isToBeLoaded || model == nullptr)
        return std::nullopt;
    auto hasHost = blockedBy == BlockedBy::Model;
    for (const auto *entry : candidates()) {
        if (parts_.view.isBackedOff(*entry))
            continue;
        hasHost = true;
        const auto has = [&](const std::vector<ModelId> &copies) {
            return std::find(copies.begin(), copies.end(), model->id) != copies.end();
        };
        if (has(entry->row.inMemory) || has(entry->row.onDisk))
            return std::max(model->loadFromDisk, model->loadFromMemory) + swapOverhead;
    }
    if (!hasHost)
        return std::nullopt;
    return model->loadFromStore + storeOverhead;
}

auto Forwarder::Run::avoid(const EndpointId &id) -> void
{
    criteria_.avoided.insert(id);
    avoidPause_ = std::min<Duration>(avoidPause_ * 2, longestAvoidPause);
    avoidUntil_ = parts_.clock.now() + avoidPause_;
}

auto Forwarder::Run::clearExpiredAvoidance() -> void
{
    if (!mayHaveRun_ && parts_.clock.now() >= avoidUntil_)
        criteria_.avoided.clear();
}

auto Forwarder::Run::noteDemand() -> void
{
    if (!target_.model.empty() && !std::exchange(isDemand_, true))
        parts_.demand.onArrival(target_, readWork());
}

auto Forwarder::Run::readWork() const -> ReadWork
{
    if (!isOrdered_ || route_->startTarget <= Duration::zero())
        return {};
    const auto terms = pickTerms(service_, caller_, timeLeft());
    auto shared = std::uint64_t { 0 };
    for (const auto &span : terms.shared)
        shared += span.tokens;
    return { terms.ownTokens + shared / sharedTokensPerRead, route_->startTarget };
}

auto Forwarder::Run::beginWaiting() -> void
{
    if (waiting_ || target_.model.empty())
        return;
    waiting_ = true;
    reportedStart_ = latestStart();
    parts_.demand.onWaitBegin(target_, reportedStart_);
}

auto Forwarder::Run::latestStart() const -> std::optional<Instant>
{
    if (route_->startTarget <= Duration::zero() || !owner_.deferrable_.contains(service_))
        return std::nullopt;
    return arrived_ + route_->startTarget - catalogue::startReserve;
}

auto Forwarder::Run::finishWaiting() -> void
{
    if (std::exchange(waiting_, false))
        parts_.demand.onWaitEnd(target_, reportedStart_);
}

} // namespace figrack::gateway
