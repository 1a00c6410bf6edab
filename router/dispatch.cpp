// Each request has one Run object, which holds the state shared by its rounds:
// what the caller has received, whether anything may have run, and the ticket. A
// round returns what it knows about its end. Run::run() and nextRound() alone
// turn that into another round or the end of the request, so that the table in
// the header is implemented in one place.

#include "router/dispatch.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "core/boottimer.h"
#include "core/check.h"
#include "core/error.h"
#include "core/log.h"
#include "endpoint/ssestream.h"
#include "router/coldwait.h"
#include "state/commands.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;

/// How one round ended, as far as the round can know.
enum class RoundEnd : std::uint8_t {
    Answered,   ///< The caller has received the complete answer, or the outcome holds it.
    NotRun,     ///< It is certain that nothing ran.
    MayHaveRun, ///< The round failed after part of the request may have been sent.
    CallerGone,
    Final, ///< The outcome is set and no other round may follow.
};

struct Round
{
    RoundEnd end = RoundEnd::MayHaveRun;
    absl::Status status;
    policy::DispatchResult result
            = policy::DispatchResult::Failed; ///< Passed to the replica chooser.
};

auto millisOf(Duration duration) -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto millis(Millis value) -> Duration
{
    return std::chrono::milliseconds { value };
}

/// How long to wait for the end of a body after its [DONE] has arrived.
constexpr auto endOfBodyTimeout = std::chrono::milliseconds { 200 };

/// @return true if the endpoint's answer states that it did not run the request
auto reportsNotRun(const Target &target, std::uint32_t status, const http::Headers &headers) -> bool
{
    if (http::findHeader(headers, "X-Figrack-Ran") == "not_run")
        return true;
    // An engine sends these statuses only before it runs anything. A plain service's 503 gives no
    // such assurance.
    constexpr auto notFound = 404U;
    constexpr auto tooMany = 429U;
    constexpr auto unavailable = 503U;
    return !target.isService()
            && (status == notFound || status == tooMany || status == unavailable);
}

auto errorEvent(const absl::Status &status, Ran ran, Millis retryAfter,
                const std::vector<std::string> &retryAt) -> std::string
{
    auto body = http::errorResponse(status, ranName(ran), retryAfter, retryAt).body;
    std::replace(body.begin(), body.end(), '\n', ' ');
    return fmt::format("event: error\ndata: {}\n\n", body);
}

} // namespace

auto ranName(Ran ran) -> std::string_view
{
    return ran == Ran::NotRun ? "not_run" : "unknown";
}

class Dispatcher::Run
{
public:
    Run(Dispatcher &owner, const Work &work, CallerState &caller, http::Responder &responder)
        : owner_(owner)
        , work_(work)
        , caller_(caller)
        , responder_(responder)
        , arrived_(owner.clock_.now())
        , arrivedWall_(owner.clock_.wallNow().time_since_epoch().count())
    { }

    auto run() -> asio::awaitable<Outcome>;

private:
    auto firstPlacement() -> asio::awaitable<Placement>;
    auto nextPlacement(policy::DispatchResult result) -> asio::awaitable<Placement>;
    template<typename Start>
    auto awaitPlacement(Start start) -> asio::awaitable<Placement>;
    auto round(Granted granted) -> asio::awaitable<Round>;
    auto buildRequest(const Granted &granted) const -> http::ClientRequest;
    auto onHead(http::ClientStream &stream) -> asio::awaitable<Round>;
    auto readBody(http::ClientStream &stream) -> asio::awaitable<Round>;
    auto forwardStream(http::ClientStream &stream) -> asio::awaitable<Round>;
    auto forwardEvents(std::vector<endpoint::SseEvent> events)
            -> asio::awaitable<std::optional<Round>>;
    auto writeToCaller(std::string bytes) -> asio::awaitable<bool>;
    auto nextRound(const Round &round) -> std::optional<Millis>;
    auto backOff(Millis wait) -> asio::awaitable<void>;
    auto remainingWait() const -> Millis;
    auto refused(const Refused &refusal) -> void;
    auto giveUp(const Round &round) -> asio::awaitable<void>;
    auto recordFirstByte() -> void;
    auto recordForResend(const std::string &bytes) -> void;
    auto completeLineEnd(std::string &bytes) -> void;
    auto sinceArrival() const -> Millis;
    auto untilFinish() const -> Duration;
    auto headTimeout() const -> Duration;

    Dispatcher &owner_;
    const Work &work_;
    CallerState &caller_;
    http::Responder &responder_;
    Instant arrived_;
    Millis arrivedWall_;
    Ticket ticket_ = 0;
    std::uint32_t attempts_ = 0; ///< Rounds in which the endpoint was reached.
    std::uint64_t tokensSent_ = 0;
    bool isLineEndOpen_ = false; ///< What was sent ends within a CRLF.
    bool anyMayHaveRun_ = false;
    Outcome outcome_;
};

auto Dispatcher::Run::sinceArrival() const -> Millis
{
    return millisOf(owner_.clock_.now() - arrived_);
}

/// Returns how long this request may still wait for a replica. A stream that has started has met
/// its start target, so it may wait for a new replica as long as a new request may.
auto Dispatcher::Run::remainingWait() const -> Millis
{
    const auto left = outcome_.headSent ? work_.startTarget : work_.startTarget - sinceArrival();
    return std::max<Millis>(left, 0);
}

auto Dispatcher::Run::untilFinish() const -> Duration
{
    const auto left = arrived_ + millis(work_.finishTarget) - owner_.clock_.now();
    return std::max<Duration>(left, std::chrono::milliseconds { 1 });
}

/// Returns how long to wait for the response head. A resumed stream may already be past its finish
/// target, so it is allowed at least its start target again.
auto Dispatcher::Run::headTimeout() const -> Duration
{
    return outcome_.headSent ? std::max(untilFinish(), millis(work_.startTarget)) : untilFinish();
}

template<typename Start>
auto Dispatcher::Run::awaitPlacement(Start start) -> asio::awaitable<Placement>
{
    caller_.setStop([this] { owner_.scheduler_.cancel(ticket_); });
    auto initiate = [&start](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        // Posted even if the request is granted immediately, so that the ticket is stored before
        // the coroutine continues.
        start([shared, executor](Placement placement) {
            asio::post(executor, [shared, placement = std::move(placement)]() mutable {
                (*shared)(std::move(placement));
            });
        });
    };
    auto placement = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Placement)>(
            initiate, asio::use_awaitable);
    caller_.clearStop();
    co_return placement;
}

auto Dispatcher::Run::firstPlacement() -> asio::awaitable<Placement>
{
    auto waiting = SchedulingRequest { work_.target, work_.classId,     work_.caller,
                                       work_.prefix, work_.startTarget, work_.finishTarget };
    co_return co_await awaitPlacement([this, &waiting](Scheduler::Done done) {
        ticket_ = owner_.scheduler_.submit(waiting, std::move(done));
    });
}

auto Dispatcher::Run::nextPlacement(policy::DispatchResult result) -> asio::awaitable<Placement>
{
    const auto left = remainingWait();
    co_return co_await awaitPlacement([this, left, result](Scheduler::Done done) {
        owner_.scheduler_.requeue(ticket_, result, left, std::move(done));
    });
}

auto Dispatcher::Run::run() -> asio::awaitable<Outcome>
{
    owner_.budget_.onRequest();
    auto placement = co_await firstPlacement();
    auto isFirst = true;
    while (true) {
        if (const auto *refusal = std::get_if<Refused>(&placement)) {
            refused(*refusal);
            if (outcome_.headSent) {
                // A named variable, because g++ 12 destroys an aggregate that is created inside a
                // co_await expression twice.
                const auto last = Round { RoundEnd::MayHaveRun, outcome_.status };
                co_await giveUp(last);
            }
            break;
        }
        const auto &granted = std::get<Granted>(placement);
        if (isFirst) {
            outcome_.cold = granted.cold;
            outcome_.waited = granted.waited;
            const auto wait = ColdWait { granted.waited, arrivedWall_, granted.replica.orderedAt,
                                         granted.replica.readyAt };
            outcome_.parts = splitColdWait(wait);
        }
        isFirst = false;
        auto round = Round { RoundEnd::MayHaveRun, absl::OkStatus() };
        try {
            round = co_await this->round(granted);
        } catch (const std::exception &error) {
            caller_.clearStop(); // It may refer to the stream of that round.
            LogEvent(LogLevel::Error, "dispatch_exception")
                    .with("request", work_.id)
                    .with("endpoint", granted.replica.id)
                    .with("reason", error.what());
            round.status = makeError(ErrorKind::Internal, "request=" + work_.id.value());
        }
        // A connection that could not be made does not count as an attempt; the waiting time and
        // the retry budget bound such rounds. Otherwise a failed replica could use up all attempts
        // before the tables show that it failed.
        if (round.end != RoundEnd::NotRun || round.result == policy::DispatchResult::Refused)
            ++attempts_;
        if (round.end == RoundEnd::MayHaveRun || round.end == RoundEnd::CallerGone)
            anyMayHaveRun_ = true;
        if (round.end == RoundEnd::Answered || round.end == RoundEnd::Final) {
            owner_.scheduler_.end(ticket_, policy::DispatchResult::Finished);
            break;
        }
        if (round.end == RoundEnd::CallerGone) {
            outcome_.end = report::RequestEnd::Cancelled;
            outcome_.status = makeError(ErrorKind::Cancelled, "the caller went away");
            owner_.scheduler_.end(ticket_, policy::DispatchResult::Cancelled);
            break;
        }
        LogEvent(LogLevel::Info, "dispatch_failed")
                .with("request", work_.id)
                .with("endpoint", granted.replica.id)
                .with("attempt", std::uint64_t { attempts_ })
                .with("ran", ranName(round.end == RoundEnd::NotRun ? Ran::NotRun : Ran::Unknown))
                .with("given", tokensSent_)
                .with(round.status);
        const auto delay = nextRound(round);
        if (!delay) {
            owner_.scheduler_.end(ticket_, round.result);
            co_await giveUp(round);
            break;
        }
        co_await backOff(*delay);
        placement = co_await nextPlacement(round.result);
    }
    outcome_.ran = anyMayHaveRun_ ? Ran::Unknown : Ran::NotRun;
    co_return std::move(outcome_);
}

/// @return how long to wait before another round, in ms; nullopt if the request ends now
auto Dispatcher::Run::nextRound(const Round &round) -> std::optional<Millis>
{
    if (caller_.mustStop() || (work_.mayStart && !work_.mayStart()))
        return std::nullopt;
    const auto now = owner_.clock_.now();
    const auto nowMs = millisOf(now.time_since_epoch());
    auto attempt = policy::FailedAttempt {};
    attempt.attempts = attempts_;
    attempt.repeatable = work_.repeatable;
    // Data already sent on a stream cannot be withdrawn, even if this round ran nothing.
    attempt.mayHaveRun = round.end != RoundEnd::NotRun || outcome_.headSent;
    attempt.latestStart = nowMs + remainingWait();
    return owner_.budget_.next(attempt, nowMs);
}

auto Dispatcher::Run::backOff(Millis wait) -> asio::awaitable<void>
{
    if (wait <= 0)
        co_return;
    auto timer = BootTimer { co_await asio::this_coro::executor };
    timer.expires_after(millis(wait));
    caller_.setStop([&timer] { timer.cancel(); });
    auto error = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    caller_.clearStop();
}

auto Dispatcher::Run::refused(const Refused &refusal) -> void
{
    outcome_.end = refusal.kind == ErrorKind::Cancelled ? report::RequestEnd::Cancelled
                                                        : report::RequestEnd::Refused;
    const auto name = work_.target.isService() ? "service=" + work_.target.service.value()
                                               : "model=" + work_.target.model.value();
    outcome_.status = makeError(refusal.kind, name + " class=" + work_.classId.value());
    outcome_.retryAfter = refusal.retryAfter;
}

auto Dispatcher::Run::giveUp(const Round &round) -> asio::awaitable<void>
{
    outcome_.end = report::RequestEnd::Failed;
    outcome_.status = round.status;
    if (round.end == RoundEnd::MayHaveRun && !work_.repeatable)
        outcome_.status = makeError(ErrorKind::OutcomeUnknown, errorArgument(round.status));
    if (errorKind(round.status) == ErrorKind::Cancelled)
        outcome_.status = makeError(ErrorKind::DeadlineExceeded, "held back before its dispatch");
    if (outcome_.retryAfter < 0)
        outcome_.retryAfter = 0;
    if (!outcome_.headSent || caller_.isGone())
        co_return;
    const auto others = owner_.view_.otherRouters();
    auto bytes = std::string {};
    completeLineEnd(bytes);
    bytes += errorEvent(outcome_.status, Ran::Unknown, outcome_.retryAfter, others);
    if ((co_await responder_.write(std::move(bytes))).ok())
        (void)co_await responder_.finish();
}

auto Dispatcher::Run::buildRequest(const Granted &granted) const -> http::ClientRequest
{
    auto request = http::ClientRequest {};
    request.address = granted.replica.address;
    request.target = work_.enginePath;
    request.headers.push_back({ "Content-Type", work_.contentType });
    request.headers.push_back({ "X-Request-Id", work_.id.value() });
    request.match = { "X-Request-Id", work_.id.value(), true };
    if (!work_.key.empty())
        request.headers.push_back({ "Idempotency-Key", work_.key.value() });
    if (!work_.target.isService())
        request.headers.push_back({ "X-Figrack-Priority", std::to_string(work_.startTarget) });
    if (tokensSent_ > 0)
        request.headers.push_back({ "X-Figrack-Resume-From", std::to_string(tokensSent_) });
    request.body = std::string { work_.body };
    // If a reused connection turns out to be closed, it is unknown whether the request ran.
    request.freshConnection = !work_.repeatable;
    request.mayStart = [this, id = granted.replica.id] {
        return owner_.view_.isUsable(id) && (!work_.mayStart || work_.mayStart());
    };
    return request;
}

auto Dispatcher::Run::round(Granted granted) -> asio::awaitable<Round>
{
    if (caller_.mustStop())
        co_return Round { RoundEnd::CallerGone, absl::OkStatus() };
    auto request = buildRequest(granted);
    auto result = co_await owner_.open_(std::move(request), headTimeout());
    if (auto *error = std::get_if<http::ClientError>(&result)) {
        if (error->sent == http::Sent::Nothing) {
            // mayStart prevented the dispatch, so the endpoint is not at fault.
            const auto heldBack = errorKind(error->status) == ErrorKind::Cancelled;
            co_return Round { RoundEnd::NotRun, std::move(error->status),
                              heldBack ? policy::DispatchResult::Cancelled
                                       : policy::DispatchResult::Failed };
        }
        co_return Round { RoundEnd::MayHaveRun, std::move(error->status) };
    }
    const auto stream = std::move(std::get<std::unique_ptr<http::ClientStream>>(result));
    if (caller_.mustStop()) {
        stream->abort();
        co_return Round { RoundEnd::CallerGone, absl::OkStatus() };
    }
    caller_.setStop([&stream] { stream->abort(); });
    auto round = co_await onHead(*stream);
    caller_.clearStop();
    if (caller_.mustStop() && round.end != RoundEnd::Answered)
        round.end = RoundEnd::CallerGone;
    if (round.end != RoundEnd::Answered)
        stream->abort();
    co_return round;
}

auto Dispatcher::Run::onHead(http::ClientStream &stream) -> asio::awaitable<Round>
{
    constexpr auto firstServerError = 500U;
    const auto status = stream.status();
    if (reportsNotRun(work_.target, status, stream.headers()))
        co_return Round { RoundEnd::NotRun,
                          makeError(ErrorKind::EndpointFailed,
                                    fmt::format("endpoint refused: status={}", status)),
                          policy::DispatchResult::Refused };
    if (status >= firstServerError && !work_.target.isService())
        co_return Round { RoundEnd::MayHaveRun,
                          makeError(ErrorKind::EndpointFailed, fmt::format("status={}", status)) };
    const auto type = http::findHeader(stream.headers(), "Content-Type");
    outcome_.httpStatus = status;
    outcome_.contentType = std::string { type };
    recordFirstByte();
    constexpr auto ok = 200U;
    if (work_.stream && status == ok && type.substr(0, 17) == "text/event-stream")
        co_return co_await forwardStream(stream);
    if (outcome_.headSent) {
        co_return Round { RoundEnd::MayHaveRun,
                          makeError(ErrorKind::EndpointFailed,
                                    fmt::format("resume refused: status={}", status)) };
    }
    co_return co_await readBody(stream);
}

auto Dispatcher::Run::recordFirstByte() -> void
{
    owner_.scheduler_.onFirstToken(ticket_);
    if (outcome_.firstByteAfter == 0)
        outcome_.firstByteAfter = std::max<Millis>(sinceArrival(), 1);
}

auto Dispatcher::Run::readBody(http::ClientStream &stream) -> asio::awaitable<Round>
{
    auto body = std::string {};
    const auto finishAt = owner_.clock_.now() + untilFinish();
    while (true) {
        if (owner_.clock_.now() >= finishAt) {
            auto status = makeError(ErrorKind::Timeout, "part=answer");
            co_return Round { RoundEnd::MayHaveRun, std::move(status) };
        }
        auto chunk = co_await stream.read(std::min(untilFinish(), owner_.options_.streamIdle));
        if (!chunk.ok())
            co_return Round { RoundEnd::MayHaveRun, chunk.status() };
        if (chunk->empty())
            break;
        body += *chunk;
        if (body.size() > owner_.options_.maxAnswerBytes) {
            auto status = makeError(ErrorKind::TooLarge, "answer of the endpoint");
            co_return Round { RoundEnd::MayHaveRun, std::move(status) };
        }
    }
    // The connections of a process that is killed end in order as well.
    if (!stream.isDelimited()) {
        auto status = makeError(ErrorKind::EndpointFailed, "answer ends with its connection");
        co_return Round { RoundEnd::MayHaveRun, std::move(status) };
    }
    outcome_.answer = std::move(body);
    outcome_.answerIsComplete = true;
    outcome_.isComplete = true;
    outcome_.end = report::RequestEnd::Answered;
    outcome_.status = absl::OkStatus();
    anyMayHaveRun_ = true;
    co_return Round { RoundEnd::Answered, absl::OkStatus() };
}

auto Dispatcher::Run::forwardStream(http::ClientStream &stream) -> asio::awaitable<Round>
{
    if (!outcome_.headSent) {
        auto headers = http::Headers { { "Content-Type", outcome_.contentType },
                                       { "Cache-Control", "no-cache" },
                                       { "X-Request-Id", work_.id.value() } };
        outcome_.headSent = true;
        outcome_.answerIsComplete = true;
        const auto started = co_await responder_.startStream(200, std::move(headers));
        if (!started.ok() && !caller_.isGone())
            caller_.onGone();
    }
    auto lineEnd = std::string {};
    completeLineEnd(lineEnd);
    recordForResend(lineEnd);
    if (!co_await writeToCaller(std::move(lineEnd)))
        co_return Round { RoundEnd::CallerGone, absl::OkStatus() };
    auto splitter = endpoint::SseSplitter {};
    auto lastEventAt = owner_.clock_.now();
    while (true) {
        if (caller_.mustStop())
            co_return Round { RoundEnd::CallerGone, absl::OkStatus() };
        // Bytes that do not complete an event do not extend the pause between two events.
        const auto left = lastEventAt + owner_.options_.streamIdle - owner_.clock_.now();
        if (left <= Duration::zero()) {
            auto status = makeError(ErrorKind::Timeout, "part=event");
            co_return Round { RoundEnd::MayHaveRun, std::move(status) };
        }
        auto chunk = co_await stream.read(left);
        if (!chunk.ok())
            co_return Round { RoundEnd::MayHaveRun, chunk.status() };
        if (chunk->empty()) {
            auto status = makeError(ErrorKind::EndpointFailed, "stream ended before [DONE]");
            co_return Round { RoundEnd::MayHaveRun, std::move(status) };
        }
        auto events = splitter.feed(*chunk);
        if (!events.ok())
            co_return Round { RoundEnd::MayHaveRun, events.status() };
        const auto hasEvents = !events->empty();
        auto end = co_await forwardEvents(std::move(*events));
        if (hasEvents)
            lastEventAt = owner_.clock_.now(); // Without the time that the caller took to read.
        if (!end)
            continue;
        // Reading to the end of the body allows the connection to be reused.
        if (end->end == RoundEnd::Answered)
            (void)co_await stream.read(endOfBodyTimeout);
        co_return std::move(*end);
    }
}

auto Dispatcher::Run::forwardEvents(std::vector<endpoint::SseEvent> events)
        -> asio::awaitable<std::optional<Round>>
{
    auto bytes = std::string {};
    auto end = std::optional<Round> {};
    if (tokensSent_ > 0 && !events.empty() && events.front().hasMark)
        events.front().raw.erase(0, endpoint::byteOrderMark.size());
    for (auto &event : events) {
        if (event.name == "error") {
            end = Round { RoundEnd::MayHaveRun,
                          makeError(ErrorKind::EndpointFailed, "the endpoint ended its stream") };
            break;
        }
        bytes += event.raw;
        isLineEndOpen_ = endpoint::endsWithinLineEnd(event.raw);
        if (event.isDone()) {
            end = Round { RoundEnd::Answered, absl::OkStatus() };
            break;
        }
        if (event.hasData)
            ++tokensSent_;
    }
    if (end)
        completeLineEnd(bytes);
    recordForResend(bytes);
    const auto given = co_await writeToCaller(std::move(bytes));
    if (!given)
        co_return Round { RoundEnd::CallerGone, absl::OkStatus() };
    if (end && end->end == RoundEnd::Answered) {
        outcome_.isComplete = true;
        outcome_.end = report::RequestEnd::Answered;
        outcome_.status = absl::OkStatus();
        anyMayHaveRun_ = true;
        if (!caller_.isGone())
            (void)co_await responder_.finish();
    }
    co_return end;
}

/// Adds the LF of a CRLF within which the bytes of a stream end, since nothing else of that stream
/// will be sent.
auto Dispatcher::Run::completeLineEnd(std::string &bytes) -> void
{
    if (std::exchange(isLineEndOpen_, false))
        bytes += '\n';
}

/// Sends bytes of a stream to the caller, unless it has disconnected.
/// @return false if the caller has disconnected and the work should stop
auto Dispatcher::Run::writeToCaller(std::string bytes) -> asio::awaitable<bool>
{
    if (!bytes.empty() && !caller_.isGone()) {
        const auto written = co_await responder_.write(std::move(bytes));
        if (!written.ok())
            caller_.onGone();
    }
    co_return !caller_.mustStop();
}

/// Records the answer for a resend. Only for requests with a key, and limited in size.
auto Dispatcher::Run::recordForResend(const std::string &bytes) -> void
{
    if (work_.key.empty() || !outcome_.answerIsComplete)
        return;
    outcome_.answer += bytes;
    if (outcome_.answer.size() > state::maxStoredAnswerBytes) {
        outcome_.answer.clear();
        outcome_.answerIsComplete = false;
    }
}

Dispatcher::Dispatcher(DispatchOptions options, const Clock &clock, Scheduler &scheduler,
                       RetryBudget &budget, const View &view, OpenStream open)
    : options_(options)
    , clock_(clock)
    , scheduler_(scheduler)
    , budget_(budget)
    , view_(view)
    , open_(std::move(open))
{ }

Dispatcher::~Dispatcher() = default;

auto Dispatcher::run(const Work &work, CallerState &caller, http::Responder &responder)
        -> asio::awaitable<Outcome>
{
    auto run = Run { *this, work, caller, responder };
    co_return co_await run.run();
}

} // namespace figrack::router
