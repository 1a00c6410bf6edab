#include "gateway/retrybudget.h"

#include <algorithm>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Bounds of the time after which a leader is asked again that granted nothing.
constexpr auto minAskPause = std::chrono::milliseconds { 20 };
constexpr auto maxAskPause = std::chrono::seconds { 2 };
/// A grant must have reached an endpoint when it expires.
constexpr auto grantTransit = std::chrono::milliseconds { 250 };

} // namespace

auto Retry::ofOwnRequests(std::shared_ptr<RetryWindow> window, const ServiceId &service,
                          const Clock &clock) -> Retry
{
    auto retry = Retry {};
    retry.window_ = std::move(window);
    retry.service_ = service;
    retry.clock_ = &clock;
    retry.validUntil_ = Instant::max();
    return retry;
}

auto Retry::granted(Instant validUntil, const Clock &clock) -> Retry
{
    auto retry = Retry {};
    retry.clock_ = &clock;
    retry.validUntil_ = validUntil;
    return retry;
}

Retry::~Retry()
{
    release();
}

Retry::Retry(Retry &&other) noexcept
    : window_(std::move(other.window_))
    , service_(std::move(other.service_))
    , clock_(other.clock_)
    , validUntil_(std::exchange(other.validUntil_, Instant {}))
    , sentAt_(std::exchange(other.sentAt_, std::nullopt))
{ }

auto Retry::operator=(Retry &&other) noexcept -> Retry &
{
    if (this == &other)
        return *this;
    release();
    window_ = std::move(other.window_);
    service_ = std::move(other.service_);
    clock_ = other.clock_;
    validUntil_ = std::exchange(other.validUntil_, Instant {});
    sentAt_ = std::exchange(other.sentAt_, std::nullopt);
    return *this;
}

auto Retry::release() -> void
{
    if (window_ != nullptr && !sentAt_)
        window_->giveBack(service_);
    window_.reset();
    validUntil_ = {};
}

auto Retry::isValid() const -> bool
{
    return clock_ != nullptr && !sentAt_ && clock_->now() < validUntil_;
}

auto Retry::send() -> void
{
    sentAt_ = clock_->now();
    if (window_ != nullptr)
        window_->send(service_, *sentAt_);
}

auto Retry::passOn() -> Duration
{
    const auto now = clock_->now();
    const auto until = std::min(validUntil_, now + proto::retryGrantTtl - grantTransit);
    sentAt_ = until;
    if (window_ != nullptr)
        window_->send(service_, until);
    return until - now;
}

auto Retry::revoke() -> void
{
    const auto at = std::exchange(sentAt_, std::nullopt);
    if (at && window_ != nullptr)
        window_->revoke(service_, *at);
}

RetryBudget::RetryBudget(RetryBudgetOptions options, const Clock &clock, Metrics &metrics, Ask ask)
    : options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , ask_(std::move(ask))
    , window_(std::make_shared<RetryWindow>(options.ownRequests, clock))
{ }

auto RetryBudget::onRequest(const ServiceId &service) -> void
{
    window_->onRequest(service);
    ++unreported_[service];
}

auto RetryBudget::takeRequests() -> std::vector<proto::ServiceRequests>
{
    auto result = std::vector<proto::ServiceRequests> {};
    for (const auto &[service, count] : std::exchange(unreported_, {}))
        result.push_back({ service, count });
    return result;
}

auto RetryBudget::take(const ServiceId &service, const Done &done) -> void
{
    if (window_->take(service)) {
        metrics_.onRetry("own_requests");
        done(Retry::ofOwnRequests(window_, service, clock_));
        return;
    }
    auto onAnswer = [this, alive = std::weak_ptr { alive_ }, service, askedAt = clock_.now(),
                     done](const std::optional<proto::RetryGrantReply> &reply) {
        if (alive.expired())
            done({});
        else
            done(onReply(service, askedAt, reply));
    };
    const auto isAsked = mayAsk(service) && ask_({ service }, options_.askTimeout, onAnswer);
    if (isAsked)
        return;
    metrics_.onRetry("refused");
    done({});
}

auto RetryBudget::take(const ServiceId &service) -> asio::awaitable<Retry>
{
    auto initiate = [this, &service](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        take(service, [shared, executor](Retry retry) {
            // asio copies handlers of this kind, and a retry can only be moved.
            auto held = std::make_shared<Retry>(std::move(retry));
            asio::post(executor, [shared, held] { (*shared)(held); });
        });
    };
    using Held = std::shared_ptr<Retry>;
    auto held = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Held)>(
            initiate, asio::use_awaitable);
    co_return std::move(*held);
}

auto RetryBudget::mayAsk(const ServiceId &service) const -> bool
{
    const auto found = askAgainAt_.find(service);
    return ask_ && (found == askAgainAt_.end() || clock_.now() >= found->second);
}

auto RetryBudget::onReply(const ServiceId &service, Instant askedAt,
                          const std::optional<proto::RetryGrantReply> &reply) -> Retry
{
    if (reply && reply->isGranted) {
        metrics_.onRetry("granted");
        return Retry::granted(askedAt + proto::retryGrantTtl - grantTransit, clock_);
    }
    metrics_.onRetry("refused");
    auto pause = options_.pauseWithoutLeader;
    if (reply) {
        pause = std::clamp<Duration>(std::chrono::milliseconds { reply->waitMs }, minAskPause,
                                     maxAskPause);
    }
    askAgainAt_[service] = clock_.now() + pause;
    return {};
}

} // namespace figrack::gateway
