// handle() dispatches by path. serve() processes one request for work from parsing
// to its record. There is exactly one place each that sends the answer to a
// request for work, ends its claim and writes its record.

#include "router/callers.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "core/error.h"
#include "core/log.h"
#include "router/announce.h"
#include "router/parse.h"
#include "router/prefix.h"

namespace figrack::router {
namespace {

namespace json = boost::json;
namespace asio = boost::asio;

constexpr auto servicesPath = std::string_view { "/v1/services/" };
/// The retry delay given when this router refuses for a reason that other routers do not share.
constexpr auto otherRouterRetryMs = Millis { 0 };
constexpr auto inProgressRetryMs = Millis { 1000 };

auto jsonResponse(const json::value &value) -> http::Response
{
    return { 200, { { "Content-Type", "application/json" } }, json::serialize(value) };
}

auto textResponse(std::uint32_t status, std::string text) -> http::Response
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(text) };
}

auto isWorkPath(std::string_view path) -> bool
{
    return path == "/v1/completions" || path == "/v1/chat/completions"
            || (path.substr(0, servicesPath.size()) == servicesPath
                && path.size() > servicesPath.size());
}

/// Rotates the routers of the caller's domain, and the other routers separately, so that callers
/// start with different ones.
auto rotateRouters(std::vector<RouterAddress> &routers, const DomainId &domain, std::uint64_t turn)
        -> void
{
    const auto rotateRange = [turn](auto first, auto last) {
        const auto size = static_cast<std::uint64_t>(last - first);
        if (size > 1)
            std::rotate(first, first + static_cast<std::ptrdiff_t>(turn % size), last);
    };
    const auto others = std::find_if(routers.begin(), routers.end(), [&domain](const auto &router) {
        return router.domain != domain;
    });
    rotateRange(routers.begin(), others);
    rotateRange(others, routers.end());
}

/// Counts a request as in progress during the object's lifetime.
class InProgressCounter
{
public:
    explicit InProgressCounter(std::shared_ptr<std::atomic<std::size_t>> count)
        : count_(std::move(count))
    {
        ++*count_;
    }
    ~InProgressCounter() { --*count_; }
    InProgressCounter(const InProgressCounter &) = delete;
    auto operator=(const InProgressCounter &) -> InProgressCounter & = delete;

private:
    std::shared_ptr<std::atomic<std::size_t>> count_; ///< Shared, because a request may outlive
                                                      ///< Callers when the process stops.
};

auto outcomeOf(const ClaimRefused &refused) -> Outcome
{
    auto outcome = Outcome {};
    outcome.status = refused.status;
    const auto kind = errorKind(refused.status);
    // Callers do not get details of errors between the router and the controls.
    if (kind == ErrorKind::NotLeader || kind == ErrorKind::Timeout
        || kind == ErrorKind::EndpointFailed)
        outcome.status = makeError(ErrorKind::NoQuorum, "claim of the idempotency key");
    outcome.ran = refused.mayHaveRun ? Ran::Unknown : Ran::NotRun;
    if (kind != ErrorKind::KeyReused && kind != ErrorKind::OutcomeUnknown)
        outcome.retryAfter = inProgressRetryMs;
    return outcome;
}

auto outcomeOf(ClaimStored stored) -> Outcome
{
    auto outcome = Outcome {};
    outcome.end = report::RequestEnd::Answered;
    outcome.ran = Ran::Unknown;
    outcome.isComplete = true;
    outcome.answerIsComplete = true;
    outcome.httpStatus = stored.status;
    outcome.contentType = std::move(stored.contentType);
    outcome.answer = std::move(stored.answer);
    return outcome;
}

} // namespace

Callers::Callers(CallerParts parts)
    : parts_(std::move(parts))
{ }

auto Callers::handler() -> http::Handler
{
    return [this](const http::Request &request, http::Responder &responder) {
        return handle(request, responder);
    };
}

auto Callers::nextId() -> std::string
{
    return fmt::format("{}-{:x}-{}", parts_.options.self.value(), parts_.incarnation.value(),
                       nextRequest_.fetch_add(1));
}

auto Callers::handle(const http::Request &request, http::Responder &responder)
        -> asio::awaitable<void>
{
    auto id = requestIdOf(request, nextId());
    if (request.method == "POST" && isWorkPath(request.path)) {
        co_await serve(request, std::move(id), responder);
        co_return;
    }
    auto response = answer(request, id);
    response.headers.push_back({ "X-Request-Id", id.value() });
    (void)co_await responder.send(std::move(response));
}

auto Callers::answer(const http::Request &request, const RequestId &id) -> http::Response
{
    (void)id;
    const auto isGet = request.method == "GET";
    const auto &path = request.path;
    if (isGet && path == "/v1/addresses")
        return addresses(request);
    if (isGet && path == "/v1/models")
        return models();
    if (isGet && path == "/healthz")
        return textResponse(200, "ok\n");
    if (isGet && path == "/readyz")
        return ready();
    if (isGet && path == "/metrics")
        return metricsPage();
    if (request.method == "POST" && path == "/v1/announce")
        return announce(request);
    return refusal(makeError(ErrorKind::BadRequest,
                             fmt::format("no such call: {} {}", request.method.substr(0, 16),
                                         path.substr(0, 128))),
                   Ran::NotRun, -1);
}

auto Callers::addresses(const http::Request &request) const -> http::Response
{
    auto list = json::array {};
    const auto domain = DomainId { std::string { request.header("X-Figrack-Domain") } };
    auto routers = parts_.view.routers(domain);
    rotateRouters(routers, domain, nextAddress_.fetch_add(1));
    for (const auto &router : routers) {
        list.push_back(json::object { { "address", router.address },
                                      { "domain", router.domain.value() } });
    }
    const auto lifetime
            = std::chrono::duration_cast<std::chrono::milliseconds>(parts_.options.addressLifetime);
    return jsonResponse(
            json::object { { "lifetime_ms", lifetime.count() }, { "addresses", list } });
}

auto Callers::models() const -> http::Response
{
    auto list = json::array {};
    for (const auto &spec : parts_.view.models()) {
        auto item = json::object { { "id", spec.id.value() },
                                   { "object", "model" },
                                   { "version", spec.version } };
        if (!spec.base.empty())
            item["base"] = spec.base.value();
        list.push_back(std::move(item));
    }
    return jsonResponse(json::object { { "object", "list" }, { "data", list } });
}

auto Callers::metricsPage() -> http::Response
{
    auto gauges = Gauges {};
    gauges.waiting = parts_.scheduler.waiting();
    gauges.running = parts_.scheduler.running();
    gauges.retries = parts_.dispatcher.retries();
    gauges.heldKeys = parts_.claims.heldKeys();
    gauges.current = parts_.isCurrent();
    gauges.revision = parts_.view.revision().value();
    gauges.appliedIndex = parts_.view.appliedIndex().value();
    return { 200,
             { { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" } },
             parts_.metrics.text(gauges) };
}

auto Callers::ready() const -> http::Response
{
    if (parts_.drain.phase() != DrainPhase::Serving)
        return refusal(makeError(ErrorKind::Draining, "router"), Ran::NotRun, otherRouterRetryMs);
    if (!parts_.isCurrent())
        return refusal(makeError(ErrorKind::NotCurrent, "router"), Ran::NotRun, otherRouterRetryMs);
    return textResponse(200, "ready\n");
}

auto Callers::announce(const http::Request &request) -> http::Response
{
    const auto report = checkAnnouncement(request, parts_.view, parts_.options.announceProxies);
    parts_.metrics.onAnnouncement(report.ok());
    if (!report.ok()) {
        LogEvent(LogLevel::Warning, "announcement_refused")
                .with("remote", request.remoteIp)
                .with(report.status());
        return http::errorResponse(report.status());
    }
    // A draining endpoint receives no new work from this router immediately, and none from the
    // other routers once their tables show it.
    parts_.view.setAnnouncedDraining(report->spec.id, report->spec.incarnation, report->draining);
    parts_.onAnnounced(*report);
    auto routers = std::vector<std::string> {};
    for (const auto &router : parts_.view.routers(report->spec.domain))
        routers.push_back(router.address);
    auto response = textResponse(200, announcementAnswer(parts_.options.announceLease, routers));
    response.headers = { { "Content-Type", "application/json" } };
    return response;
}

// --- work ---

auto Callers::mayTakeWork() const -> absl::Status
{
    const auto phase = parts_.drain.phase();
    if (phase == DrainPhase::Refusing || phase == DrainPhase::Stopped)
        return makeError(ErrorKind::Draining, "router=" + parts_.options.self.value());
    if (!parts_.isCurrent())
        return makeError(ErrorKind::NotCurrent, "router=" + parts_.options.self.value());
    if (inProgress() > parts_.options.maxStreams)
        return makeError(ErrorKind::Overloaded, "requests in progress");
    return absl::OkStatus();
}

auto Callers::refusal(const absl::Status &status, Ran ran, Millis retryAfter) const
        -> http::Response
{
    return http::errorResponse(status, ranName(ran), retryAfter, parts_.view.otherRouters());
}

auto Callers::serve(const http::Request &request, RequestId id, http::Responder &responder)
        -> asio::awaitable<void>
{
    const auto arrived = parts_.clock.now();
    const auto mark = InProgressCounter { inProgress_ };
    auto work = Work {};
    auto outcome = Outcome {};
    outcome.status = mayTakeWork();
    outcome.retryAfter = otherRouterRetryMs;
    if (outcome.status.ok()) {
        auto parsed = parseWork(request, parts_.view);
        outcome.status = parsed.status();
        outcome.retryAfter = -1;
        if (parsed.ok())
            work = std::move(*parsed);
    }
    work.id = id;
    const auto accepted = outcome.status.ok();
    auto caller = std::make_shared<CallerState>(!work.key.empty());
    if (accepted) {
        responder.onPeerGone([caller] { caller->onGone(); });
        if (work.key.empty())
            outcome = co_await parts_.dispatcher.run(work, *caller, responder);
        else
            outcome = co_await runClaimed(work, *caller, responder);
    }
    if (!outcome.headSent && !caller->isGone()) {
        auto response = responseOf(outcome);
        response.headers.push_back({ "X-Request-Id", id.value() });
        const auto sent = co_await responder.send(std::move(response));
        if (!sent.ok() && outcome.end == report::RequestEnd::Answered)
            outcome.end = report::RequestEnd::Cancelled;
    }
    record(work, outcome, arrived);
}

auto Callers::runClaimed(Work &work, CallerState &caller, http::Responder &responder)
        -> asio::awaitable<Outcome>
{
    const auto maxRunTime = std::chrono::milliseconds { work.finishTarget };
    auto claim = co_await parts_.claims.acquire(work.key, bodyHash(work.enginePath, work.body),
                                                maxRunTime);
    if (auto *stored = std::get_if<ClaimStored>(&claim))
        co_return outcomeOf(std::move(*stored));
    if (auto *refused = std::get_if<ClaimRefused>(&claim))
        co_return outcomeOf(*refused);
    const auto dispatchBy = std::get<ClaimGranted>(claim).dispatchBy;
    work.mayStart = [this, dispatchBy] { return parts_.clock.now() < dispatchBy; };
    auto outcome = co_await parts_.dispatcher.run(work, caller, responder);
    endClaim(work, outcome);
    co_return outcome;
}

auto Callers::endClaim(const Work &work, const Outcome &outcome) -> void
{
    if (outcome.isComplete && outcome.answerIsComplete
        && outcome.answer.size() <= state::maxStoredAnswerBytes) {
        parts_.claims.end(work.key, state::ClaimState::Done, outcome.httpStatus,
                          outcome.contentType, outcome.answer);
    } else if (outcome.isComplete) {
        parts_.claims.end(work.key, state::ClaimState::Done, outcome.httpStatus, notStoredType, {});
    } else if (outcome.ran == Ran::NotRun) {
        parts_.claims.end(work.key, state::ClaimState::NotRun, 0, {}, {});
    } else {
        parts_.claims.end(work.key, state::ClaimState::Unknown, 0, {}, {});
    }
}

auto Callers::responseOf(const Outcome &outcome) const -> http::Response
{
    if (!outcome.status.ok())
        return refusal(outcome.status, outcome.ran, outcome.retryAfter);
    auto response = http::Response {};
    response.status = outcome.httpStatus;
    if (!outcome.contentType.empty())
        response.headers.push_back({ "Content-Type", outcome.contentType });
    response.body = outcome.answer;
    return response;
}

auto Callers::record(const Work &work, const Outcome &outcome, Instant arrived) -> void
{
    const auto took
            = std::chrono::duration_cast<std::chrono::milliseconds>(parts_.clock.now() - arrived);
    auto record = report::RequestRecord {};
    record.classId = work.classId;
    record.target
            = work.target.isService() ? work.target.service.value() : work.target.model.value();
    record.end = outcome.end;
    record.refusal = errorKind(outcome.status);
    record.startMs = outcome.firstByteAfter;
    record.finishMs = took.count();
    const auto answered = outcome.end == report::RequestEnd::Answered;
    record.metStart = answered && record.startMs <= work.startTarget;
    record.metFinish = answered && record.finishMs <= work.finishTarget;
    record.cold = outcome.cold;
    if (outcome.cold) {
        record.parts = outcome.parts;
        record.parts.firstToken = std::max<Millis>(outcome.firstByteAfter - outcome.waited, 0);
    }
    parts_.recorder.record(record);
    parts_.metrics.onRequest(record);
}

} // namespace figrack::router
