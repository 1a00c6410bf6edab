// Admission of a request: reads it, finds its route and account, and decides whether it may be
// forwarded at all.

#include <algorithm>
#include <utility>

#include "core/duration.h"
#include "core/hash.h"
#include "core/log.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Shortest time between two log lines about refusals for want of memory, which come in hundreds.
constexpr auto memoryLogInterval = std::chrono::seconds { 1 };

} // namespace

auto Forwarder::Run::awaitDocument() -> asio::awaitable<void>
{
    auto until = owner_.startedAt_ + owner_.options_.awaitDocument;
    while (!owner_.routes_ && !owner_.refusing_ && parts_.clock.now() < until)
        co_await parts_.waiters.wait(until - parts_.clock.now());
    until = owner_.startedAt_ + owner_.options_.awaitKeys;
    const auto hasAccounts = owner_.routes_ && owner_.routes_->catalogue().accounts;
    while (hasAccounts && !parts_.keys.isCurrent() && parts_.clock.now() < until)
        co_await parts_.waiters.wait(until - parts_.clock.now());
    routes_ = owner_.routes_;
    accounts_ = owner_.accounts_;
    isOrdered_ = owner_.isOrdered_;
}

auto Forwarder::Run::prepare() -> std::optional<Refusal>
{
    if (!routes_) {
        return Refusal { makeError(ErrorKind::NotCurrent, "gateway"), true,
                         owner_.options_.retryAfterAtStart };
    }
    if (owner_.refusing_) {
        return Refusal { makeError(ErrorKind::Draining, "gateway"), true,
                         owner_.options_.defaultRetryAfter };
    }
    auto read = parts_.dialect.readRequest(request_);
    if (!read.ok())
        return Refusal { read.status(), true, std::nullopt };
    caller_ = std::move(*read);
    route_ = routes_->find(caller_.host, caller_.path);
    if (route_ == nullptr) {
        outcome_ = RequestOutcome::NoRoute;
        return Refusal { makeError(ErrorKind::UnknownService,
                                   "host=" + caller_.host + " path=" + caller_.path),
                         true, std::nullopt };
    }
    if (auto refusal = identify())
        return refusal;
    const auto limit
            = std::min(caller_.deadline.value_or(route_->finishLimit), route_->finishLimit);
    deadline_ = arrived_ + limit - owner_.options_.answerMargin;
    startBy_ = deadline_;
    if (route_->leaveAfter > Duration::zero())
        startBy_ = std::min(startBy_,
                            arrived_ + route_->leaveAfter - owner_.options_.minTimeToFirstEvent);
    if (isTooLateToDispatch()) {
        return Refusal { makeError(ErrorKind::Draining, "gateway"), true,
                         owner_.options_.retryAfterWhenStopping };
    }
    const auto sentBefore = handoffTerms_ != nullptr ? handoffTerms_->resumeAfter : std::string {};
    position_ = sentBefore.empty() || sentBefore == caller_.resumeAfter
            ? StreamPosition { caller_.resumeAfter }
            : StreamPosition::handedOver(sentBefore);
    homes_.restrictTo(route_->homeRegions);
    if (account_ != nullptr)
        homes_.restrictTo(account_->homeRegions);
    works_ = catalogue::workIdsOf({ request_.method, caller_.host, caller_.path, request_.query,
                                    caller_.account, request_.body });
    setService(chooseService());
    return std::nullopt;
}

auto Forwarder::Run::setService(const ServiceId &id) -> void
{
    service_ = id;
    const auto *service = routes_->catalogue().find(service_);
    engine_ = service != nullptr && service->engine ? &*service->engine : nullptr;
    coldPerSecond_ = service != nullptr ? service->coldPerSecond : 0;
    promptParts_.clear();
    // The last part belongs to this request alone.
    for (std::size_t i = 0; i + 1 < caller_.prompt.size(); ++i)
        promptParts_.push_back(catalogue::workIdOfPart(service_, caller_.prompt[i].id));
    target_ = {};
    criteria_ = {};
    if (engine_ != nullptr && !caller_.model.empty())
        setCriteria();
}

auto Forwarder::Run::identify() -> std::optional<Refusal>
{
    if (!routes_->catalogue().accounts)
        return std::nullopt;
    const auto isCurrent = parts_.keys.isCurrent();
    if (isCurrent && !caller_.key.empty())
        account_ = accounts_->find(catalogue::digestOfKey(caller_.key));
    if (account_ != nullptr)
        caller_.account = account_->id.value();
    if (route_->isPublic || account_ != nullptr)
        return std::nullopt;
    // Without proof the gateway can tell neither that a key is valid nor that it is not.
    if (!isCurrent) {
        const auto age
                = std::chrono::duration_cast<std::chrono::milliseconds>(parts_.keys.age()).count();
        return Refusal { makeError(ErrorKind::NotCurrent,
                                   "keys proof_age_ms=" + std::to_string(age)),
                         true, owner_.options_.defaultRetryAfter };
    }
    const auto what = caller_.key.empty() ? "key=missing" : "key=unknown";
    return Refusal { makeError(ErrorKind::BadToken, what), true, std::nullopt };
}

auto Forwarder::Run::memoryRefusal() -> std::optional<absl::Status>
{
    auto share = owner_.heldBytes_.admit(request_.body.size());
    if (share) {
        bodyShare_ = *std::move(share);
        return std::nullopt;
    }
    blockedBy_ = BlockedBy::Memory;
    retryAfter_ = memoryRetryAfter();
    noteMemoryRefused();
    return blockedError(BlockedBy::Memory);
}

auto Forwarder::Run::memoryRetryAfter() const -> Duration
{
    const auto expected
            = owner_.heldBytes_.releaseTime().value_or(owner_.options_.defaultRetryAfter);
    return std::min<Duration>(expected, timeLeft() / 3);
}

auto Forwarder::Run::noteMemoryRefused() -> void
{
    parts_.metrics.onMemoryRefused();
    ++owner_.memoryRefusals_;
    const auto now = parts_.clock.now();
    if (owner_.memoryLoggedAt_ && now - *owner_.memoryLoggedAt_ < memoryLogInterval)
        return;
    owner_.memoryLoggedAt_ = now;
    LogEvent(LogLevel::Warning, "memory_refused")
            .with("request", caller_.id)
            .with("body", std::uint64_t { request_.body.size() })
            .with("held", owner_.heldBytes_.sum())
            .with("come_back_ms", wholeMillis(*retryAfter_))
            .with("refusals", std::exchange(owner_.memoryRefusals_, 0));
}

auto Forwarder::Run::rank() const -> std::uint32_t
{
    return account_ != nullptr ? account_->rank.value_or(route_->rank) : route_->rank;
}

auto Forwarder::Run::charge() const -> std::optional<catalogue::AccountCharge>
{
    if (account_ == nullptr || !account_->limit.isSet() || isCounted_)
        return std::nullopt;
    return catalogue::AccountCharge { account_->id, costToAccount(), account_->limit,
                                      routes_->catalogue().version, 0 };
}

auto Forwarder::Run::costToAccount() const -> std::uint64_t
{
    auto tokens = std::optional<std::uint64_t> {};
    if (caller_.namesTokens)
        tokens = caller_.promptTokens + caller_.outputTokens;
    return account_->costOf(tokens);
}

auto Forwarder::Run::refuseOverLimit() -> asio::awaitable<bool>
{
    auto charge = this->charge();
    if (!charge || std::exchange(hasCheckedLimit_, true))
        co_return false;
    const auto roomIn = co_await parts_.picker.roomIn(*std::move(charge), works_);
    if (!roomIn)
        co_return false;
    retryAfter_ = roomIn;
    blockedBy_ = BlockedBy::Limit;
    auto error = overLimitError();
    co_await giveUp(std::move(error));
    co_return true;
}

auto Forwarder::Run::overLimitError() const -> absl::Status
{
    const auto charge = this->charge();
    if (!charge)
        return makeError(ErrorKind::OverLimit, "account");
    return makeError(ErrorKind::OverLimit,
                     "account=" + charge->account.value() + " cost=" + std::to_string(charge->cost)
                             + " limit_per_s="
                             + std::to_string(static_cast<std::uint64_t>(charge->limit.perSecond)));
}

auto Forwarder::Run::setCriteria() -> void
{
    target_ = DemandTarget { service_, caller_.model, caller_.adapter };
    criteria_.model = caller_.model;
    criteria_.adapter = caller_.adapter;
    // The last part belongs to this request alone; the part before it is the longest prefix that
    // other requests may share.
    const auto parts = caller_.prompt.size();
    const auto shared = parts >= 2 ? caller_.prompt[parts - 2].id : 0;
    criteria_.affinity = mixHash(std::hash<std::string> {}(caller_.model.value()), shared);
    if (!caller_.adapter.empty())
        criteria_.affinity = std::hash<std::string> {}(caller_.model.value() + caller_.adapter);
}

auto Forwarder::Run::verdict() const -> policy::Verdict
{
    return parts_.quarantine.verdict(works_, promptParts_, policy::millisOf(parts_.clock.now()));
}

auto Forwarder::Run::quarantineRefusal() -> std::optional<absl::Status>
{
    const auto now = verdict();
    if (now.standing != policy::Standing::Quarantined)
        return std::nullopt;
    retryAfter_ = std::chrono::milliseconds { now.releaseIn };
    parts_.metrics.onQuarantined();
    return quarantinedError(now.ends);
}

auto Forwarder::Run::quarantinedError(std::uint32_t ends) const -> absl::Status
{
    const auto now = policy::millisOf(parts_.clock.now());
    const auto isHarmful = [&](const catalogue::WorkId &part) {
        return parts_.quarantine.verdict(part, now).standing != policy::Standing::Clear;
    };
    const auto part = std::find_if(promptParts_.begin(), promptParts_.end(), isHarmful);
    const auto &work = part != promptParts_.end() ? *part : works_.ofAnyone;
    return makeError(ErrorKind::Quarantined,
                     "work=" + work.text() + " ends=" + std::to_string(ends));
}

} // namespace figrack::gateway
