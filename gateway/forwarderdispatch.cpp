// Sends a request to an endpoint and records what the result says about the endpoint.

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include "core/duration.h"
#include "core/log.h"
#include "gateway/activedispatch.h"
#include "gateway/answers.h"
#include "gateway/forwarderrun.h"
#include "http/discard.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Maximum number of dispatches of one request whose connection could not be made. Each costs a
/// round trip or the connect timeout, and after this many the endpoints are rarely the cause.
constexpr auto maxUnsent = 4;
/// Number of prompt tokens that count like one request in progress; reading them takes about 50 ms.
constexpr auto tokensPerLoad = std::uint64_t { 2000 };
constexpr auto maxPromptTokens = std::uint64_t { 1'000'000 };
/// An endpoint that ends under a part of the prompt does so within this time after it has begun to
/// write the answer.
constexpr auto goesOnAfter = std::chrono::milliseconds { 500 };

/// @return what a request contributes to its endpoint's load: while the endpoint reads a prompt, it
/// produces fewer tokens for all other streams
auto loadWeight(std::uint64_t promptTokens) -> std::uint32_t
{
    return 1 + static_cast<std::uint32_t>(std::min(promptTokens, maxPromptTokens) / tokensPerLoad);
}

} // namespace

auto Forwarder::Run::mayTryAgain(Step step) -> asio::awaitable<bool>
{
    if (callerGone_) {
        outcome_ = RequestOutcome::CallerGone;
        co_return false;
    }
    if (step == Step::Broken)
        mayHaveRun_ = true;
    const auto mayRepeat = !mayHaveRun_ || route_->mayRepeat();
    const auto mayResume = !responder_.started() || isResumable();
    const auto inTime = parts_.clock.now() < deadline_;
    // Where new connections are refused, the endpoints with kept ones are tried one after another.
    const auto mayConnect = unsent_ < maxUnsent || !parts_.paths.isOpen(group_);
    const auto inCount = ran_ < route_->maxAttempts && mayConnect;
    auto mayTry = mayRepeat && mayResume && inTime && inCount;
    if (mayTry && step == Step::Broken)
        mayTry = hasEndpointLeft() && !co_await hasTooManyCrashes() && !callerGone_;
    if (mayTry && (!hasArrived() || co_await takeRetry()))
        co_return true;
    co_await giveUp(lastError_);
    co_return false;
}

auto Forwarder::Run::isResumable() const -> bool
{
    return route_->resumable && position_.isResumable() && hasEndpointLeft();
}

auto Forwarder::Run::hasTooManyCrashes() -> asio::awaitable<bool>
{
    static_cast<void>(co_await parts_.crashDetector.hasCrashed(endpoint_));
    const auto limit = owner_.options_.crashLimitForRetry;
    co_return verdict().ends >= limit
            || std::any_of(promptParts_.begin(), promptParts_.end(), [&](const auto &part) {
                   return parts_.quarantine.openEnds(part) >= limit;
               });
}

auto Forwarder::Run::hasArrived() const -> bool
{
    return sent_ > 0 || (handoffTerms_ != nullptr && handoffTerms_->hasArrived);
}

auto Forwarder::Run::takeRetry() -> asio::awaitable<bool>
{
    if (retry_.isValid())
        co_return true;
    auto retry = co_await parts_.retries.take(service_);
    retry_ = std::move(retry);
    if (retry_.isGranted())
        ++grantedRetries_;
    budgetSpent_ = !retry_.isValid();
    co_return retry_.isValid();
}

auto Forwarder::Run::dispatch(EndpointEntry &entry) -> asio::awaitable<Step>
{
    const auto id = entry.row.id;
    const auto group = entry.row.group(); // group_ changes if this dispatch leads to another one.
    endpoint_ = id;
    softwareVersion_ = entry.row.softwareVersion;
    endpointAddress_ = entry.row.address;
    auto out = makeDispatch(entry);
    const auto left
            = std::max<Duration>(deadline_ - parts_.clock.now(), std::chrono::milliseconds { 1 });
    sentAt_ = parts_.clock.now();
    heardAt_ = sentAt_;
    group_ = group;
    isMoved_ = false;
    hasAnswerBegun_ = false;
    begunAt_.reset();
    hasNotedParts_ = false;
    auto active = std::optional<ActiveDispatch> {};
    active.emplace(owner_, *this, entry, target_, loadWeight(caller_.promptTokens), canceller_);
    auto sentBody = owner_.heldBytes_.sendTo(id, request_.body.size());
    parts_.metrics.onDispatch(sent_ > 0);
    auto retry = std::move(retry_);
    if (hasArrived() && retry.isValid())
        retry.send();
    const auto sentBefore = sent_;
    const auto ranBefore = ran_;
    auto step = Step::Broken;
    try {
        step = co_await exchange(std::move(out), left, id);
    } catch (const std::exception &error) {
        noteInternalError(error);
        // The endpoint may have received the request and run it.
        sent_ = std::max(sent_, sentBefore + 1);
        ran_ = std::max(ran_, ranBefore + 1);
        endDispatch(DispatchEnd::Interrupted);
    }
    reportDispatchEnd(step);
    if (sent_ == sentBefore && hasArrived()) {
        retry.revoke();
        retry_ = std::move(retry);
    }
    sentBody.release();
    if (step != Step::Settled) {
        silence_ = Silence { parts_.clock.now() - heardAt_, parts_.paths.silentFor(group),
                             parts_.paths.allSilentFor() };
    }
    active.reset();
    noteAnswerTime(step);
    const auto hasStarted = step == Step::Settled && firstByteAt_ && isSuccess(finalStatus_);
    const auto start = hasStarted ? *firstByteAt_ - sentAt_ : Duration::zero();
    const auto ranOrMay = step != Step::NotRun;
    picked_.booking.end(start, outcomeOf(hasStarted), ranOrMay);
    isCounted_ = isCounted_ || ranOrMay;
    if (step != Step::Settled)
        avoid(id);
    co_return step;
}

auto Forwarder::Run::noteAnswerTime(Step step) -> void
{
    const auto isAnswered = step == Step::Settled && outcome_ == RequestOutcome::Answered
            && isSuccess(finalStatus_);
    const auto isTimedOut
            = step == Step::Broken && errorKind(lastError_) == ErrorKind::Timeout && ran_ > 0;
    if (isAnswered || isTimedOut)
        owner_.answerTimes_.onEnd(route_->name, parts_.clock.now() - sentAt_);
}

auto Forwarder::Run::outcomeOf(bool hasStarted) const -> proto::PickOutcome
{
    if (engine_ == nullptr || status_ >= 400)
        return proto::PickOutcome::Unknown;
    // Silence behind a lost path says nothing about the endpoint.
    if (!hasStarted && !parts_.paths.isOpen(group_))
        return proto::PickOutcome::Unknown;
    const auto start = firstByteAt_.value_or(parts_.clock.now()) - sentAt_;
    const auto gapTarget = route_->gapTarget;
    const auto isLate = start > route_->startTarget
            || (gapTarget > Duration::zero() && longestGap_ > gapTarget);
    if (isLate)
        return proto::PickOutcome::Late;
    return hasStarted ? proto::PickOutcome::OnTime : proto::PickOutcome::Unknown;
}

auto Forwarder::Run::makeDispatch(const EndpointEntry &entry) -> http::ClientRequest
{
    auto terms = DispatchTerms {};
    terms.endpoint = entry.row.id;
    terms.left = deadline_ - parts_.clock.now();
    terms.rank = rank();
    terms.hasAccounts = routes_->catalogue().accounts.has_value();
    if (account_ != nullptr)
        terms.account = account_->id;
    terms.resumeAfter = position_.lastId();
    const auto *source = parts_.view.maySend(picked_.fetchFrom)
            ? parts_.view.find(picked_.fetchFrom)
            : nullptr;
    const auto isFitting = source != nullptr && source != &entry
            && source->row.softwareVersion == entry.row.softwareVersion;
    if (isFitting && homes_.allows(source->row.domain))
        terms.fetchFrom = source->row.address;
    canceller_ = std::make_shared<http::Canceller>();
    auto out = http::ClientRequest {};
    out.address = entry.row.address;
    out.method = request_.method;
    out.target = request_.target;
    out.headers = parts_.dialect.writeDispatch(caller_, terms);
    out.borrowedBody = request_.body;
    out.maxIdleAge = maxIdleAge();
    out.excludedConnections = answeredOn_;
    out.match = { parts_.dialect.answerIdHeader, caller_.id.value() };
    out.canceller = canceller_;
    // The endpoint may have asked for a backoff while the connection was being made.
    out.mayStart = [this, id = entry.row.id] { return parts_.view.maySend(id); };
    return out;
}

auto Forwarder::Run::maxIdleAge() const -> Duration
{
    return route_->mayRepeat() ? Duration::max() : owner_.options_.maxIdleForSingleRun;
}

auto Forwarder::Run::exchange(http::ClientRequest out, Duration left, const EndpointId &id)
        -> asio::awaitable<Step>
{
    auto opened = co_await parts_.client.open(std::move(out), left);
    if (const auto *error = std::get_if<http::ClientError>(&opened)) {
        lastError_ = error->status;
        isReused_ = error->isReused;
        const auto reached = error->sent != http::Sent::Nothing;
        const auto isWithheld = !reached && errorKind(error->status) == ErrorKind::Cancelled;
        if (isWithheld && !callerGone_)
            co_return endDispatch(DispatchEnd::Withheld);
        if (!reached && !callerGone_)
            noteUnconnected(id, error->status);
        noteFailure(id, error->status, reached);
        if (!reached) {
            ++unsent_;
            co_return endDispatch(DispatchEnd::NotSent);
        }
        ++sent_;
        ++ran_;
        noteBroken(id, error->status, false);
        co_return endDispatch(DispatchEnd::Unanswered);
    }
    auto stream = std::move(std::get<std::unique_ptr<http::ClientStream>>(opened));
    ++sent_;
    isReused_ = stream->isReused();
    answeredOn_.push_back(stream->connection());
    if (!isReused_)
        parts_.paths.onConnected(group_, id, sentAt_);
    noteHeard();
    status_ = stream->status();
    if (isSuccess(status_) && !isSigned(*stream)) {
        // These bytes are not the endpoint's answer, although they name the request.
        ++ran_;
        lastError_ = makeError(ErrorKind::EndpointFailed,
                               "endpoint=" + id.value() + " answer=unsigned");
        parts_.view.onFailure(id, true);
        parts_.metrics.onEndpointFailure();
        co_return endDispatch(DispatchEnd::Unsigned);
    }
    const auto notice = parts_.dialect.readNotice(id, status_, stream->headers());
    noteNotice(id, notice);
    if (notice.notRun) {
        lastError_ = makeError(ErrorKind::NoCapacity,
                               "endpoint=" + id.value() + " status=" + std::to_string(status_));
        noteRejection(id, notice);
        discard(std::move(stream));
        co_return endDispatch(DispatchEnd::Rejected);
    }
    ++ran_;
    hasAnswerBegun_ = true;
    isDelimited_ = stream->isDelimited();
    const auto isStream = isSuccess(status_) && isEventStream(stream->headers());
    const auto step = isStream ? co_await relayStream(*stream) : co_await relayWhole(*stream);
    if (step == Step::Settled) {
        parts_.view.onSuccess(id);
        if (outcome_ == RequestOutcome::Answered && status_ < 500)
            noteCompleted();
    } else if (!callerGone_ && status_ < 500) {
        noteFailure(id, lastError_, true);
        noteBroken(id, lastError_, lastEventAt_.has_value());
    }
    if (step == Step::Broken)
        endDispatch(status_ < 500 ? DispatchEnd::BrokenOff : DispatchEnd::Failed);
    co_return step;
}

auto Forwarder::Run::endDispatch(DispatchEnd end) -> Step
{
    dispatchEnd_ = end;
    // At once: an exception on the way to the next decision must not leave it unknown.
    mayHaveRun_ = mayHaveRun_ || !provesNotRun(end);
    return provesNotRun(end) ? Step::NotRun : Step::Broken;
}

auto Forwarder::Run::reportDispatchEnd(Step step) -> void
{
    if (step == Step::Settled)
        return;
    const auto end = dispatchEndName(dispatchEnd_);
    parts_.metrics.onDispatchEnd(end);
    auto line = LogEvent { LogLevel::Info, "dispatch_ended" };
    line.with("id", caller_.id)
            .with("end", end)
            .with("may_have_run", step == Step::Broken)
            .with("connection", isReused_ ? "kept" : "new")
            .with("sent", std::int64_t { sent_ })
            .with("ran", std::int64_t { ran_ })
            .with("total_ms", wholeMillis(parts_.clock.now() - sentAt_));
    if (isToGateway_)
        line.with("gateway", handedTo_);
    else
        line.with("endpoint", endpoint_);
    if (const auto last = std::string_view { position_.lastId() }; !last.empty())
        line.with("last_event", last.substr(0, maxLoggedEventId));
    if (streamVersion_)
        line.with("software_version", *streamVersion_);
    line.with(lastError_);
}

auto Forwarder::Run::isSigned(const http::ClientStream &stream) const -> bool
{
    const auto &name = parts_.dialect.signatureHeader;
    return name.empty() || !http::findHeader(stream.headers(), name).empty();
}

auto Forwarder::Run::noteNotice(const EndpointId &id, const catalogue::EndpointNotice &notice)
        -> void
{
    if (notice.isOther)
        return;
    if (notice.ratePerSecond)
        parts_.metrics.onRateNamed();
    if (notice.backoff)
        parts_.metrics.onBackoffAsked();
    if (notice.isRateMalformed || notice.isBackoffMalformed) {
        LogEvent(LogLevel::Warning, "endpoint_notice_malformed")
                .with("endpoint", id)
                .with("request", caller_.id)
                .with("field", notice.isRateMalformed ? "rate" : "backoff");
    }
    parts_.view.onNotice(id, notice, sentAt_);
}

auto Forwarder::Run::noteRejection(const EndpointId &id, const catalogue::EndpointNotice &notice)
        -> void
{
    LogEvent(LogLevel::Info, "endpoint_rejected")
            .with("endpoint", id)
            .with("request", caller_.id)
            .with("status", std::int64_t { status_ })
            .with("sent", std::int64_t { sent_ });
    if (notice.isOther)
        parts_.view.onReplaced(id);
    else if (notice.lacksModel && !criteria_.model.empty())
        parts_.view.onMissing(id, criteria_.model, criteria_.adapter);
    else
        parts_.view.onRejected(id);
}

auto Forwarder::Run::noteFailure(const EndpointId &id, const absl::Status &status, bool reached)
        -> void
{
    // A timeout of this request alone says little about the endpoint.
    if (callerGone_ || (reached && errorKind(status) == ErrorKind::Timeout))
        return;
    if (reached)
        parts_.paths.onBroken(group_);
    // The path is at fault, not the endpoint.
    if (isMoved_ || !parts_.paths.isOpen(group_))
        return;
    parts_.view.onFailure(id, reached);
    parts_.metrics.onEndpointFailure();
}

auto Forwarder::Run::noteUnconnected(const EndpointId &id, const absl::Status &status) -> void
{
    const auto isTimeout = errorKind(status) == ErrorKind::Timeout;
    parts_.paths.onConnectFailed(group_, id,
                                 isTimeout ? DialOutcome::TimedOut : DialOutcome::Refused);
}

auto Forwarder::Run::noteBroken(const EndpointId &id, const absl::Status &status, bool hasBegun)
        -> void
{
    if (callerGone_ || isMoved_ || errorKind(status) == ErrorKind::Timeout)
        return;
    const auto account = std::hash<std::string> {}(caller_.account);
    auto suspect = SuspectWork { works_, account, caller_.id, hasBegun, service_ };
    if (!hasGoneOn())
        suspect.parts = promptParts_;
    parts_.crashDetector.note(id, std::move(suspect));
}

auto Forwarder::Run::noteCompleted() -> void
{
    if (isSuccess(status_))
        notePartsGoOn();
    if (parts_.quarantine.onCompleted(works_, policy::millisOf(parts_.clock.now())))
        parts_.crashDetector.onCleared(works_);
}

auto Forwarder::Run::notePartsGoOn() -> void
{
    if (std::exchange(hasNotedParts_, true) || promptParts_.empty())
        return;
    if (parts_.quarantine.onPartsGoOn(promptParts_, policy::millisOf(parts_.clock.now())))
        parts_.crashDetector.onCleared(works_);
}

auto Forwarder::Run::hasGoneOn() const -> bool
{
    return begunAt_ && parts_.clock.now() - *begunAt_ >= goesOnAfter;
}

auto Forwarder::Run::mayMove() const -> bool
{
    const auto mayRepeat = responder_.started() ? isResumable() : route_->mayRepeat();
    return mayRepeat && hasEndpointLeft(endpoint_) && !isMoved_ && !callerGone_
            && handoffTerms_ == nullptr && ran_ + (hasAnswerBegun_ ? 0U : 1U) < route_->maxAttempts
            && parts_.clock.now() < deadline_;
}

auto Forwarder::Run::moveElsewhere(Retry retry) -> void
{
    isMoved_ = true;
    retry_ = std::move(retry);
    canceller_->cancel();
}

auto Forwarder::Run::noteHeard() -> void
{
    if (isToGateway_)
        return; // Bytes of another gateway say nothing about the path to endpoints.
    heardAt_ = parts_.clock.now();
    parts_.paths.onHeard(group_);
}

auto Forwarder::Run::discard(std::unique_ptr<http::ClientStream> stream) -> void
{
    http::discardRest(parts_.context, std::move(stream), {});
}

} // namespace figrack::gateway
