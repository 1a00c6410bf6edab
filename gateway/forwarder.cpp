// The main loop of a request, its final outcome and the log line that reports it. The loop
// places the request at an endpoint, dispatches it there, and repeats this until a dispatch
// settles the request or no further attempt is allowed.

#include "gateway/forwarder.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "catalogue/contention.h"
#include "core/duration.h"
#include "core/log.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Longer times than any request has are not believed.
constexpr auto maxWaitedElsewhere = std::uint64_t { 3'600'000 };

auto waitedElsewhere(const proto::HandoffTerms *terms) -> Duration
{
    if (terms == nullptr)
        return Duration::zero();
    return std::chrono::milliseconds { std::min(terms->waitedMs, maxWaitedElsewhere) };
}

auto outcomeOfRefusal(const Refusal &refusal) -> RequestOutcome
{
    const auto kind = errorKind(refusal.status);
    if (kind == ErrorKind::BadToken)
        return RequestOutcome::Denied;
    if (kind == ErrorKind::OverLimit)
        return RequestOutcome::OverLimit;
    return refusal.notRun ? RequestOutcome::Refused : RequestOutcome::Failed;
}

} // namespace

Forwarder::Run::Run(Forwarder &owner, const http::Request &request, http::Responder &responder,
                    const proto::HandoffTerms *terms)
    : owner_(owner)
    , parts_(owner.parts_)
    , request_(request)
    , responder_(responder)
    , handoffTerms_(terms)
    , arrived_(owner.parts_.clock.now() - waitedElsewhere(terms))
    , deadline_(arrived_)
    , startBy_(arrived_)
    , homes_(owner.options_.regions)
    , holdTimer_(owner.parts_.context)
    , callerStream_(owner.parts_.context, responder, owner.heldBytes_)
{
    if (terms == nullptr)
        return;
    ran_ = terms->ran;
    mayHaveRun_ = terms->mayHaveRun;
    isCountedAsWork_ = terms->isCountedAsWork;
    isDemand_ = terms->isCountedAsDemand;
    isCounted_ = terms->isCharged;
    if (terms->isVersionBound)
        streamVersion_ = terms->softwareVersion;
    if (terms->retryMs > 0) {
        const auto validFor = std::min<Duration>(std::chrono::milliseconds { terms->retryMs },
                                                 proto::retryGrantTtl);
        retry_ = Retry::granted(parts_.clock.now() + validFor, parts_.clock);
    }
}

auto Forwarder::Run::execute() -> asio::awaitable<void>
{
    auto hasFailed = false;
    try {
        co_await serve();
    } catch (const std::exception &error) {
        hasFailed = true;
        noteInternalError(error);
    }
    if (hasFailed) {
        co_await giveUp(lastError_);
        outcome_ = RequestOutcome::InternalError;
    }
    report();
}

auto Forwarder::Run::serve() -> asio::awaitable<void>
{
    co_await awaitDocument();
    if (auto refusal = prepare()) {
        co_await refuse(std::move(*refusal));
    } else if (auto lack = memoryRefusal()) {
        co_await giveUp(std::move(*lack));
    } else if (auto status = quarantineRefusal()) {
        co_await giveUp(std::move(*status));
    } else {
        if (handoffTerms_ != nullptr && handoffTerms_->areEventIdsConsecutive)
            position_.assumeConsecutive();
        responder_.onPeerGone([this] { onCallerGone(); });
        // The writer refers to this object, so it is waited for also after an exception.
        auto failure = std::exception_ptr {};
        try {
            if (co_await bindOrigin())
                co_await dispatchUntilSettled();
        } catch (...) {
            failure = std::current_exception();
        }
        co_await finishStream();
        if (failure)
            std::rethrow_exception(failure);
    }
}

auto Forwarder::Run::noteInternalError(const std::exception &error) -> void
{
    const auto reason = internalErrorReason(error);
    const auto name = internalErrorReasonName(reason);
    LogEvent(LogLevel::Error, "request_exception")
            .with("id", caller_.id)
            .with("service", service_)
            .with("endpoint", endpoint_)
            .with("reason", name)
            .with("what", error.what());
    outcome_ = RequestOutcome::InternalError;
    lastError_ = makeError(ErrorKind::Internal, "reason=" + std::string { name });
    parts_.metrics.onInternalError(service_, reason);
}

auto Forwarder::Run::dispatchUntilSettled() -> asio::awaitable<void>
{
    while (true) {
        auto *entry = co_await place();
        if (entry == nullptr && !isUnreached_)
            co_return;
        if (isTooLateToDispatch()) {
            picked_.booking = {};
            co_await giveUpForStop();
            co_return;
        }
        // The request may have waited for longer than its retry is valid.
        if (hasArrived() && !co_await takeRetry()) {
            picked_.booking = {};
            co_await giveUp(lastError_);
            co_return;
        }
        if (entry != nullptr)
            entry = parts_.view.find(picked_.endpoint);
        // The endpoint may have announced another version while the request waited.
        const auto hasChanged = entry != nullptr && streamVersion_
                && entry->row.softwareVersion != *streamVersion_;
        if (callerGone_ || hasChanged || (entry == nullptr && !isUnreached_)) {
            picked_.booking = {};
            continue;
        }
        auto step = Step::Settled;
        if (entry != nullptr)
            step = co_await dispatch(*entry);
        else
            step = co_await handOver();
        if (entry == nullptr && step == Step::NotRun)
            continue;
        if (step == Step::Settled || !co_await mayTryAgain(step))
            co_return;
    }
}

auto Forwarder::Run::finishStream() -> asio::awaitable<void>
{
    canceller_.reset(); // The endpoint's part has ended.
    const auto isTaken = co_await callerStream_.drain();
    if (!std::exchange(needsFinish_, false))
        co_return;
    outcome_ = RequestOutcome::CallerGone;
    if (isTaken && (co_await responder_.finish()).ok())
        outcome_ = RequestOutcome::Answered;
}

auto Forwarder::Run::timeLeft() const -> Duration
{
    return std::max<Duration>(deadline_ - parts_.clock.now(), std::chrono::milliseconds { 1 });
}

auto Forwarder::Run::latestDispatch() const -> Instant
{
    const auto stopsAt = owner_.stopsAt_;
    // What ends by its deadline before the process does is not cut off.
    if (deadline_ <= stopsAt)
        return Instant::max();
    const auto &times = owner_.answerTimes_;
    if (route_->mayRepeat())
        return stopsAt - times.mean(route_->name).value_or(owner_.options_.assumedAnswerTime);
    // One that may run only once is lost where it is cut off, so it goes by the longest.
    const auto longest = times.longest(route_->name);
    return longest ? stopsAt - *longest : arrived_;
}

auto Forwarder::Run::isTooLateToDispatch() const -> bool
{
    return parts_.clock.now() >= latestDispatch();
}

auto Forwarder::Run::endConnectionIfStopping(http::Headers &headers) const -> void
{
    if (owner_.stopsAt_ != Instant::max())
        headers.push_back({ "Connection", "close" });
}

auto Forwarder::Run::giveUpForStop() -> asio::awaitable<void>
{
    retryAfter_ = owner_.options_.retryAfterWhenStopping;
    auto error = makeError(ErrorKind::Draining, "gateway");
    co_await giveUp(std::move(error));
}

auto Forwarder::Run::onCallerGone() -> void
{
    callerGone_ = true;
    if (canceller_)
        canceller_->cancel();
    holdTimer_.cancel();
    callerStream_.drop();
    parts_.waiters.wakeAll();
}

auto Forwarder::Run::giveUp(absl::Status status) -> asio::awaitable<void>
{
    lastError_ = status;
    if (responder_.started()) {
        outcome_ = RequestOutcome::BrokenOff;
        co_return; // The server closes the connection of an unfinished stream.
    }
    auto refusal = Refusal {};
    refusal.status = std::move(status);
    refusal.notRun = !mayHaveRun_;
    if (refusal.notRun)
        refusal.retryAfter = retryAfter_.value_or(owner_.options_.defaultRetryAfter);
    co_await refuse(std::move(refusal));
}

auto Forwarder::Run::refuse(Refusal refusal) -> asio::awaitable<void>
{
    if (outcome_ != RequestOutcome::NoRoute)
        outcome_ = outcomeOfRefusal(refusal);
    lastError_ = refusal.status;
    firstByteAt_ = parts_.clock.now();
    auto response = parts_.dialect.writeRefusal(refusal);
    if (handoffTerms_ != nullptr)
        response.headers.push_back(handoffOutcome());
    endConnectionIfStopping(response.headers);
    finalStatus_ = response.status;
    const auto sent = co_await responder_.send(std::move(response));
    if (!sent.ok())
        outcome_ = RequestOutcome::CallerGone;
}

auto Forwarder::Run::report() -> void
{
    const auto now = parts_.clock.now();
    const auto firstByte = firstByteAt_ ? *firstByteAt_ - arrived_ : now - arrived_;
    parts_.metrics.onRequest(outcome_, firstByte, now - arrived_);
    countResumption();
    auto line = LogEvent { LogLevel::Info, "request" };
    line.with("id", caller_.id)
            .with("end", requestOutcomeName(outcome_))
            .with("status", static_cast<std::int64_t>(finalStatus_));
    if (route_ != nullptr)
        line.with("route", route_->name).with("service", service_);
    if (account_ != nullptr)
        line.with("account", account_->id);
    if (!target_.model.empty())
        line.with("model", target_.model).with("adapter", target_.adapter);
    line.with("endpoint", endpoint_)
            .with("sent", static_cast<std::int64_t>(sent_))
            .with("unsent", static_cast<std::int64_t>(unsent_))
            .with("ran", static_cast<std::int64_t>(ran_))
            .with("first_ms", wholeMillis(firstByte))
            .with("total_ms", wholeMillis(now - arrived_))
            .with("gap_ms", wholeMillis(longestGap_))
            .with("left_ms", wholeMillis(deadline_ - now))
            .with("config", owner_.version());
    if (const auto last = std::string_view { position_.lastId() }; !last.empty())
        line.with("last_event", last.substr(0, maxLoggedEventId));
    if (!caller_.resumes.empty())
        line.with("resumes", std::string_view { caller_.resumes }.substr(0, maxLoggedAttempt));
    if (!softwareVersion_.empty())
        line.with("software_version", softwareVersion_);
    if (originSource_)
        line.with("origin", originSourceName(*originSource_));
    if (originSource_ && streamVersion_)
        line.with("stream_version", *streamVersion_);
    if (hasAnswerBegun_ && !isDelimited_)
        line.with("framing", "connection");
    if (picked_.by != PickedBy::Nobody)
        line.with("picked", pickedByName(picked_.by));
    if (picked_.retryAfter)
        line.with("come_back_ms", wholeMillis(*picked_.retryAfter));
    if (picked_.by == PickedBy::Balancer) {
        line.with("expected_ms", std::int64_t { picked_.startMs })
                .with("beside", std::int64_t { picked_.running })
                .with("held_ms", wholeMillis(held_))
                .with("fetched_from", picked_.fetchFrom);
    }
    if (isOrdered_) {
        line.with("prompt_tokens", caller_.promptTokens)
                .with("output_tokens", caller_.outputTokens)
                .with("queued_ms", wholeMillis(queuedFor_));
    }
    if (predictedWait_ && waitEnd_) {
        line.with("predicted_wait_ms", wholeMillis(*predictedWait_))
                .with("queue_end", waitEndName(*waitEnd_));
    }
    if (loadReady_)
        line.with("load_ready_ms", wholeMillis(*loadReady_));
    if (blockedBy_ != BlockedBy::Nothing)
        line.with("lacked", blockedByName(blockedBy_));
    if (handoffTerms_ != nullptr)
        line.with("handed_over_by", handoffTerms_->from);
    if (!handedTo_.empty())
        line.with("handed_to", handedTo_);
    if (!works_.ofAnyone.isNone())
        line.with("work", works_.ofAnyone.text());
    if (grantedRetries_ > 0)
        line.with("retries_granted", std::uint64_t { grantedRetries_ });
    if (budgetSpent_)
        line.with("retries", "spent");
    if (silence_) {
        line.with("connection", isReused_ ? "kept" : "new")
                .with("silent_ms", wholeMillis(silence_->endpoint))
                .with("group_silent_ms", wholeMillis(silence_->group))
                .with("all_silent_ms", wholeMillis(silence_->all));
    }
    if (outcome_ != RequestOutcome::Answered && !lastError_.ok())
        line.with(lastError_);
}

Forwarder::Forwarder(ForwarderOptions options, ForwarderParts parts)
    : options_(std::move(options))
    , parts_(std::move(parts))
    , startedAt_(parts_.clock.now())
    , heldBytes_(options_.heldBytes, parts_.clock, parts_.budget)
    , answerTimes_({}, parts_.clock)
{ }

auto Forwarder::setCatalogue(std::shared_ptr<const catalogue::Catalogue> catalogue) -> void
{
    isOrdered_ = catalogue::asksForOrderedAdmission(*catalogue);
    deferrable_.clear();
    for (const auto &service : catalogue->services) {
        if (catalogue::hasDeferrableRoute(*catalogue, service))
            deferrable_.insert(service.id);
    }
    splits_.onCatalogue(*catalogue, parts_.clock.now());
    accounts_ = std::make_shared<const catalogue::AccountTable>(catalogue);
    routes_ = std::make_shared<const catalogue::RouteTable>(std::move(catalogue));
    parts_.waiters.wakeAll();
}

auto Forwarder::setStopTime(Instant stopsAt) -> void
{
    stopsAt_ = stopsAt;
    parts_.waiters.wakeAll();
}

auto Forwarder::version() const -> Revision
{
    return routes_ ? routes_->catalogue().version : Revision {};
}

auto Forwarder::catalogue() const -> const catalogue::Catalogue *
{
    return routes_ ? &routes_->catalogue() : nullptr;
}

auto Forwarder::endDispatches(const EndpointId &endpoint) -> void
{
    const auto [begin, end] = dispatches_.equal_range(endpoint);
    if (begin == end)
        return;
    LogEvent(LogLevel::Warning, "dispatches_ended")
            .with("endpoint", endpoint)
            .with("count", static_cast<std::uint64_t>(std::distance(begin, end)));
    for (auto item = begin; item != end; ++item)
        item->second.canceller->cancel();
}

auto Forwarder::onPathLost(const EndpointGroup &group) -> void
{
    auto movable = std::vector<std::pair<EndpointId, std::weak_ptr<http::Canceller>>> {};
    auto kept = std::uint64_t { 0 };
    for (const auto &[id, dispatch] : dispatches_) {
        if (dispatch.group != group)
            continue;
        if (dispatch.run->mayMove())
            movable.emplace_back(id, dispatch.canceller);
        else
            ++kept;
    }
    if (!movable.empty() || kept > 0) {
        // Those that get a retry are moved.
        LogEvent(LogLevel::Warning, "dispatches_moved")
                .with("service", group.service)
                .with("domain", group.domain)
                .with("moved", static_cast<std::uint64_t>(movable.size()))
                .with("kept", kept);
    }
    for (const auto &[id, canceller] : movable) {
        auto move = [this, alive = std::weak_ptr { alive_ }, id = id,
                     canceller = canceller](Retry retry) {
            if (alive.expired() || !retry.isValid())
                return;
            if (auto *run = runOf(id, canceller); run != nullptr && run->mayMove())
                run->moveElsewhere(std::move(retry));
        };
        if (const auto *run = runOf(id, canceller))
            parts_.retries.take(run->service(), move);
    }
    parts_.waiters.wakeAll();
}

auto Forwarder::runOf(const EndpointId &endpoint,
                      const std::weak_ptr<http::Canceller> &canceller) const -> Run *
{
    const auto [begin, end] = dispatches_.equal_range(endpoint);
    const auto found = std::find_if(begin, end, [&](const auto &item) {
        return item.second.canceller == canceller.lock();
    });
    return found == end ? nullptr : found->second.run;
}

auto Forwarder::handle(const http::Request &request, http::Responder &responder)
        -> asio::awaitable<void>
{
    auto run = Run { *this, request, responder, nullptr };
    co_await run.execute();
}

auto Forwarder::handleHandedOver(const http::Request &request, const proto::HandoffTerms &terms,
                                 http::Responder &responder) -> asio::awaitable<void>
{
    auto run = Run { *this, request, responder, &terms };
    co_await run.execute();
}

} // namespace figrack::gateway
