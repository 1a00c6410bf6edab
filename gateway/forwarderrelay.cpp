// Relays an endpoint's answer to the caller. A streamed answer is split into server-sent events,
// and only complete events that the caller has not received yet are forwarded. Any other answer
// is read completely before it is sent. Events that a slow caller has not taken are buffered
// (gateway/callerstream.h), so that the endpoint's answer is read on.

#include <algorithm>
#include <utility>

#include "gateway/answers.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Part of the process's memory for answers that are read to their ends before they are sent.
constexpr auto answersShare = 0.25;
/// An answer up to this size is read on in any case, so that large ones do not end it.
constexpr auto smallAnswer = std::uint64_t { 64 } << 10;

/// @return true if an answer may go on, of which so many bytes are held
auto mayHoldMore(const HeldBytes &held, std::uint64_t memoryLimit, std::uint64_t ofAnswer) -> bool
{
    const auto limit = static_cast<double>(memoryLimit) * answersShare;
    const auto sum = static_cast<double>(held.of(HeldBytes::Kind::Answer));
    return memoryLimit == 0 || ofAnswer <= smallAnswer || sum <= limit;
}

} // namespace

auto Forwarder::Run::readAnswer(http::ClientStream &stream)
        -> asio::awaitable<absl::StatusOr<std::string>>
{
    // Bytes that keep coming never let a single read run out of time.
    if (parts_.clock.now() >= deadline_)
        co_return makeError(ErrorKind::Timeout, "endpoint=" + endpoint_.value() + " step=answer");
    co_return co_await stream.read(timeLeft());
}

auto Forwarder::Run::relayWhole(http::ClientStream &stream) -> asio::awaitable<Step>
{
    auto body = std::string {};
    auto held = owner_.heldBytes_.hold(HeldBytes::Kind::Answer);
    while (true) {
        auto chunk = co_await readAnswer(stream);
        if (!chunk.ok()) {
            lastError_ = chunk.status();
            co_return Step::Broken;
        }
        noteHeard();
        if (chunk->empty())
            break;
        held.add(chunk->size());
        body += *chunk;
        if (body.size() > owner_.options_.maxAnswerBytes) {
            lastError_ = makeError(ErrorKind::TooLarge, "answer");
            co_return Step::Broken;
        }
        const auto memoryLimit = owner_.options_.heldBytes.memoryLimit;
        if (!mayHoldMore(owner_.heldBytes_, memoryLimit, body.size())) {
            lastError_ = makeError(ErrorKind::TooLarge, "answers in progress");
            co_return Step::Broken;
        }
    }
    if (!co_await isWhole(stream))
        co_return Step::Broken;
    // The endpoint reported a failure. If the route allows it, another endpoint is tried.
    const auto isFault = status_ >= 500 && status_ != 504;
    auto answer = http::Response { status_, endToEnd(stream.headers()), std::move(body) };
    const auto mayTryAnother = !isToGateway_ && route_->mayRepeat() && ran_ < route_->maxAttempts
            && parts_.clock.now() < deadline_;
    if (isFault && mayTryAnother && co_await takeRetry())
        co_return co_await retryAfterFault(std::move(answer));
    co_return co_await sendWhole(std::move(answer));
}

auto Forwarder::Run::retryAfterFault(http::Response failure) -> asio::awaitable<Step>
{
    avoid(endpoint_);
    const auto blockedBy = co_await pick();
    const auto mayDispatch = blockedBy == BlockedBy::Nothing && !isTooLateToDispatch();
    const auto isPaid = mayDispatch && co_await takeRetry();
    auto *entry = isPaid ? parts_.view.find(picked_.endpoint) : nullptr;
    if (entry != nullptr && !callerGone_ && co_await dispatch(*entry) == Step::Settled)
        co_return Step::Settled;
    if (callerGone_)
        co_return Step::Broken;
    co_return co_await sendWhole(std::move(failure));
}

auto Forwarder::Run::sendWhole(http::Response answer) -> asio::awaitable<Step>
{
    if (responder_.started()) {
        // The caller has begun to receive a stream, to which this answer does not belong.
        auto error
                = makeError(ErrorKind::EndpointFailed, "status=" + std::to_string(answer.status));
        co_await giveUp(std::move(error));
        co_return Step::Settled;
    }
    // An endpoint that did not run a request marks its answer, which is not relayed. Another
    // gateway makes this promise itself, for what has happened since the request was handed over.
    const auto mayHaveRun = mayHaveRun_ || !isToGateway_;
    if (mayHaveRun && !route_->mayRepeat() && parts_.dialect.promisesNotRun(answer.status)) {
        mayHaveRun_ = true;
        auto error
                = makeError(ErrorKind::EndpointFailed, "status=" + std::to_string(answer.status));
        co_await giveUp(std::move(error));
        co_return Step::Settled;
    }
    firstByteAt_ = parts_.clock.now();
    endConnectionIfStopping(answer.headers);
    finalStatus_ = answer.status;
    const auto sent = co_await responder_.send(std::move(answer));
    outcome_ = sent.ok() ? RequestOutcome::Answered : RequestOutcome::CallerGone;
    co_return Step::Settled;
}

auto Forwarder::Run::relayStream(http::ClientStream &stream) -> asio::awaitable<Step>
{
    auto splitter = endpoint::SseSplitter {};
    position_.beginRun();
    if (!co_await completeLineEnd()) {
        outcome_ = RequestOutcome::CallerGone;
        co_return Step::Settled;
    }
    while (true) {
        auto chunk = co_await readAnswer(stream);
        if (!chunk.ok()) {
            lastError_ = chunk.status();
            co_return Step::Broken;
        }
        noteHeard();
        if (chunk->empty())
            break;
        auto events = splitter.feed(*chunk);
        if (!events.ok()) {
            lastError_ = events.status();
            co_return Step::Broken;
        }
        if (auto step = co_await forwardEvents(*events, stream))
            co_return *step;
    }
    if (splitter.pending() > 0) {
        lastError_ = makeError(ErrorKind::EndpointFailed, "stream ends within an event");
        co_return Step::Broken;
    }
    if (!co_await isWhole(stream))
        co_return Step::Broken;
    if (!co_await startResponse(stream)) {
        outcome_ = RequestOutcome::CallerGone;
        co_return Step::Settled;
    }
    outcome_ = RequestOutcome::Answered;
    // The endpoint has done its part, so the dispatch does not wait for a slow caller.
    needsFinish_ = callerStream_.isWriting();
    if (!needsFinish_ && !(co_await responder_.finish()).ok())
        outcome_ = RequestOutcome::CallerGone;
    co_return Step::Settled;
}

auto Forwarder::Run::forwardEvents(const std::vector<endpoint::SseEvent> &events,
                                   http::ClientStream &stream)
        -> asio::awaitable<std::optional<Step>>
{
    auto bytes = std::string {};
    auto isBroken = false;
    for (const auto &event : events) {
        const auto verdict = judgeEvent(event);
        isBroken = verdict == EventVerdict::Break;
        if (isBroken)
            break;
        if (verdict == EventVerdict::Drop)
            continue;
        // A caller takes a byte order mark for one only at the beginning of its stream.
        const auto isMarkDropped = event.hasMark && responder_.started();
        bytes.append(event.raw, isMarkDropped ? endpoint::byteOrderMark.size() : 0);
        isLineEndOpen_ = endpoint::endsWithinLineEnd(event.raw);
    }
    if (!bytes.empty()) {
        noteEvents();
        noteStreamBegun();
        if (!co_await startResponse(stream) || !co_await callerStream_.write(std::move(bytes))) {
            outcome_ = RequestOutcome::CallerGone;
            co_return Step::Settled;
        }
    }
    if (!isBroken)
        co_return std::nullopt;
    lastError_ = makeError(ErrorKind::EndpointFailed,
                           "endpoint=" + endpoint_.value() + " stream=out_of_order after="
                                   + position_.lastId().substr(0, maxLoggedEventId));
    co_return Step::Broken;
}

auto Forwarder::Run::judgeEvent(const endpoint::SseEvent &event) -> EventVerdict
{
    if (event.isLineFeed)
        return isEventSent_ ? EventVerdict::Send : EventVerdict::Drop;
    auto raw = std::string_view { event.raw };
    if (event.hasMark)
        raw.remove_prefix(endpoint::byteOrderMark.size());
    const auto id = eventId(raw);
    const auto verdict = position_.onEvent(id, event.hasData);
    isEventSent_ = verdict == EventVerdict::Send;
    hasStreamBegun_ = hasStreamBegun_ || (isEventSent_ && (event.hasData || !id.empty()));
    return verdict;
}

auto Forwarder::Run::completeLineEnd() -> asio::awaitable<bool>
{
    if (!std::exchange(isLineEndOpen_, false))
        co_return true;
    auto lineFeed = std::string { "\n" };
    co_return co_await callerStream_.write(std::move(lineFeed));
}

auto Forwarder::Run::noteEvents() -> void
{
    const auto now = parts_.clock.now();
    if (lastEventAt_)
        longestGap_ = std::max<Duration>(longestGap_, now - *lastEventAt_);
    lastEventAt_ = now;
    begunAt_ = begunAt_.value_or(now);
    if (hasGoneOn())
        notePartsGoOn();
    noteLateness(now);
}

auto Forwarder::Run::noteLateness(Instant now) -> void
{
    const auto gapTarget = route_->gapTarget;
    const auto beganLate = !firstByteAt_ && now - sentAt_ > route_->startTarget;
    const auto pausedLong = gapTarget > Duration::zero() && longestGap_ > gapTarget;
    if (target_.model.empty() || isToGateway_ || lateReported_ || !(beganLate || pausedLong))
        return;
    lateReported_ = true;
    parts_.demand.onLate(target_);
}

auto Forwarder::Run::startResponse(http::ClientStream &stream) -> asio::awaitable<bool>
{
    if (responder_.started())
        co_return true;
    firstByteAt_ = parts_.clock.now();
    finalStatus_ = status_;
    streamVersion_ = softwareVersion_;
    auto headers = endToEnd(stream.headers());
    endConnectionIfStopping(headers);
    if (handoffTerms_ != nullptr)
        headers.push_back({ std::string { handoffVersionHeader }, softwareVersion_ });
    const auto begun = co_await responder_.startStream(status_, std::move(headers));
    co_return begun.ok();
}

} // namespace figrack::gateway
