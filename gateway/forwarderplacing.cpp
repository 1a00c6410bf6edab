// Finds the endpoint that a request goes to, or says what lacks.

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// What a load takes beyond its own time: demand to the leader, the order, the news of its end,
/// and the unload before it.
constexpr auto swapOverhead = std::chrono::milliseconds { 700 };
/// As above when the weights come from the store, whose loads may queue.
constexpr auto storeOverhead = std::chrono::milliseconds { 1500 };
/// An adapter takes some milliseconds and an order.
constexpr auto adapterLoad = std::chrono::milliseconds { 150 };
/// A waiting request looks again after so long, also when nobody woke it.
constexpr auto lookAgain = std::chrono::milliseconds { 250 };
/// A request that found no place asks again after so long: of some dozens of places that are taken
/// for a second or two one is given up about as often.
constexpr auto lookForPlace = std::chrono::milliseconds { 50 };
/// Part of a route's start target that a request waits for a place; the rest is for its prompt.
constexpr auto placeShare = 0.5;
/// Those that are told to come back after a backoff do so over this long.
constexpr auto returnSpread = std::chrono::milliseconds { 500 };
constexpr auto longestAvoidPause = std::chrono::milliseconds { 2000 };

} // namespace

auto Forwarder::Run::place() -> asio::awaitable<EndpointEntry *>
{
    while (true) {
        if (callerGone_) {
            ending_ = Ending::CallerGone;
            co_return nullptr;
        }
        // Endpoints may have ended under another try of it while this one waited.
        if (auto status = quarantineRefusal()) {
            co_await giveUp(std::move(*status));
            co_return nullptr;
        }
        const auto lack = co_await pick();
        if (lack == Lack::Nothing && callerGone_)
            continue;
        if (lack == Lack::Limit || lack == Lack::Counter) {
            lack_ = lack;
            comeBack_ = picked_.comeBack;
            auto error = lack == Lack::Limit ? overLimitError() : lackError(lack);
            co_await giveUp(std::move(error));
            co_return nullptr;
        }
        const auto mayCauseLoad
                = lack == Lack::Model || lack == Lack::Adapter || lack == Lack::Backoff;
        if (mayCauseLoad && co_await refuseOverLimit())
            co_return nullptr;
        if (callerGone_)
            continue;
        noteDemand();
        if (lack == Lack::Nothing) {
            finishWaiting();
            co_return parts_.view.find(picked_.endpoint);
        }
        lack_ = lack;
        const auto isTurnedAway = lack == Lack::Places || lack == Lack::Trial || lack == Lack::Rate;
        const auto patience = isTurnedAway ? patienceForPlace(lack) : patienceFor(lack);
        if (!patience) {
            // Suspected work is no reason to load its model anywhere else.
            if (!target_.model.empty() && lack != Lack::Endpoint && lack != Lack::Trial)
                parts_.demand.onRefused(target_);
            // Named: g++ 12 destroys a conditional value within a co_await expression twice.
            auto error = lack == Lack::Trial ? quarantinedError(verdict().ends) : lackError(lack);
            co_await giveUp(std::move(error));
            co_return nullptr;
        }
        if (!isTurnedAway)
            beginWaiting();
        co_await parts_.waiters.wait(*patience);
        forgiveRejections();
    }
}

auto Forwarder::Run::lackError(Lack lack) -> absl::Status
{
    const auto kind = lack == Lack::Counter ? ErrorKind::NoQuorum : ErrorKind::NoCapacity;
    return makeError(kind, "lack=" + std::string { lackName(lack) });
}

auto Forwarder::Run::pick() -> asio::awaitable<Lack>
{
    const auto isHealthy = [&](const EndpointEntry &entry) { return parts_.view.isHealthy(entry); };
    while (true) {
        wish_.now = parts_.clock.now();
        const auto able = ableEndpoints(parts_.view.of(service_), wish_, isHealthy);
        backoffUntil_ = able.backoffUntil;
        if (able.entries.empty())
            co_return able.lack;
        auto terms = pickTerms(service_, caller_, timeLeft());
        if (engine_ != nullptr) {
            terms.fetchTokensPerMs = engine_->fetchTokensPerMs;
            terms.places = engine_->slots;
        }
        terms.rank = rank();
        terms.hasBegun = sent_ > 0;
        terms.startTarget = route_->startTarget;
        terms.gapTarget = route_->gapTarget;
        terms.works = works_;
        terms.charge = charge();
        auto picked = co_await parts_.picker.pick(able.entries, wish_, terms);
        picked_ = std::move(picked);
        if (picked_.comeBack)
            co_return picked_.lack;
        co_await hold();
        // It may have left, or asked for a backoff, while the balancer was asked and the request
        // held.
        if (callerGone_ || parts_.view.maySend(picked_.endpoint))
            co_return Lack::Nothing;
        picked_.booking = {};
    }
}

auto Forwarder::Run::hold() -> asio::awaitable<void>
{
    const auto left = std::min(startBy_, owner_.placeBy_) - parts_.clock.now();
    const auto duration = std::min(picked_.hold, left);
    if (callerGone_ || duration <= Duration::zero())
        co_return;
    held_ += duration;
    holdTimer_.expires_after(duration);
    auto code = boost::system::error_code {};
    co_await holdTimer_.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

auto Forwarder::Run::patienceForPlace(Lack lack) -> std::optional<Duration>
{
    const auto now = parts_.clock.now();
    comeBack_ = picked_.comeBack;
    const auto spare = std::chrono::duration_cast<Duration>(route_->startTarget * placeShare);
    const auto limit = std::min({ arrived_ + spare, startBy_, owner_.placeBy_ });
    if (now >= limit)
        return std::nullopt;
    // Places are given up at any time; when a rate allows the next request is known.
    if (lack == Lack::Rate)
        return now + *comeBack_ <= limit ? comeBack_ : std::nullopt;
    return std::min<Duration>(lookForPlace, limit - now);
}

auto Forwarder::Run::patienceFor(Lack lack) -> std::optional<Duration>
{
    const auto now = parts_.clock.now();
    const auto ready = readyAt(lack);
    if (!ready && parts_.view.of(service_).empty())
        comeBack_ = owner_.options_.comeBackWhenNew;
    if (!ready)
        return std::nullopt;
    comeBack_ = std::max<Duration>(*ready - now, owner_.options_.comeBack);
    if (lack == Lack::Backoff) {
        // A load elsewhere that is overdue may still come long before the end of the backoff.
        comeBack_ = std::min(*comeBack_, expectedLoad(lack).value_or(*comeBack_));
        *comeBack_ += std::chrono::duration_cast<Duration>(returnSpread * parts_.random.unit());
    }
    const auto limit = std::min(startBy_, owner_.placeBy_);
    if (*ready >= limit || now >= limit)
        return std::nullopt;
    return std::min<Duration>(lookAgain, limit - now);
}

auto Forwarder::Run::readyAt(Lack lack) -> std::optional<Instant>
{
    const auto now = parts_.clock.now();
    const auto load = expectedLoad(lack);
    const auto since = waiting_ ? parts_.demand.lackingSince(target_) : now;
    if (lack != Lack::Backoff)
        return load ? std::optional { std::max(since + *load, now) } : std::nullopt;
    // A load elsewhere that is overdue may never come; the end of the backoff does.
    const auto isDue = load && since + *load > now;
    return isDue ? std::min(since + *load, backoffUntil_) : backoffUntil_;
}

auto Forwarder::Run::expectedLoad(Lack lack) -> std::optional<Duration>
{
    if (lack == Lack::Adapter)
        return adapterLoad;
    const auto *model = engine_ == nullptr ? nullptr : engine_->find(wish_.model);
    const auto isToBeLoaded = lack == Lack::Model || lack == Lack::Backoff;
    if (!isToBeLoaded || model == nullptr)
        return std::nullopt;
    auto hasHost = lack == Lack::Model;
    for (const auto *entry : parts_.view.of(service_)) {
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
    wish_.avoided.insert(id);
    avoidPause_ = std::min<Duration>(avoidPause_ * 2, longestAvoidPause);
    avoidUntil_ = parts_.clock.now() + avoidPause_;
}

auto Forwarder::Run::forgiveRejections() -> void
{
    if (!mayHaveRun_ && parts_.clock.now() >= avoidUntil_)
        wish_.avoided.clear();
}

auto Forwarder::Run::noteDemand() -> void
{
    if (!target_.model.empty() && !std::exchange(isDemand_, true))
        parts_.demand.onArrival(target_);
}

auto Forwarder::Run::beginWaiting() -> void
{
    if (waiting_ || target_.model.empty())
        return;
    waiting_ = true;
    parts_.demand.onLack(target_);
}

auto Forwarder::Run::finishWaiting() -> void
{
    if (std::exchange(waiting_, false))
        parts_.demand.onLackEnd(target_);
}

} // namespace figrack::gateway
