// Tests the dispatcher with scripted engines: which requests are dispatched again,
// resumed or failed, and what the outcome reports about them.

#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes.h"
#include "fleet.h"
#include "router/dispatch.h"
#include "router/metrics.h"

namespace figrack::router {
namespace {

using std::chrono::milliseconds;

struct DispatchFixture
{
    DispatchFixture()
    {
        fleet.addClass("draft", 10000, 60000);
        fleet.addModel("plaques");
        fleet.addService("orders", false);
        fleet.addEngine("e1", 9001);
        fleet.addEngine("e2", 9002);
        fleet.addServiceEndpoint("s1", 9003, "orders");
        fleet.addServiceEndpoint("s2", 9004, "orders");
        fleet.load("plaques", "e1");
        fleet.load("plaques", "e2");
        work.id = RequestId { "q1" };
        work.target.model = ModelId { "plaques" };
        work.classId = ClassId { "draft" };
        work.caller = "caller";
        work.enginePath = "/v1/completions";
        work.contentType = "application/json";
        work.startTarget = 10000;
        work.finishTarget = 60000;
    }

    static auto retryOptions() -> policy::RetryOptions
    {
        auto retry = policy::RetryOptions {};
        retry.capacity = 5;
        retry.firstDelay = 0;
        return retry;
    }

    auto passTime() -> void
    {
        clock.advance(milliseconds { 20 });
        scheduler.tick();
    }
    /// Runs the work until it has ended.
    auto run() -> Outcome
    {
        auto outcome = Outcome {};
        auto ended = 0;
        asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    responder.onPeerGone([this] { caller.onGone(); });
                    outcome = co_await dispatcher.run(work, caller, responder);
                    ++ended;
                },
                asio::detached);
        REQUIRE(runUntil(
                context, [&ended] { return ended > 0; }, [this] { passTime(); }));
        CHECK(scheduler.running() == 0);
        CHECK(scheduler.waiting() == 0);
        return outcome;
    }
    auto isCurrent() const -> bool
    {
        return current && (!leaseEndsInStream || responder.body.empty());
    }
    auto asService() -> void
    {
        work.target = { {}, ServiceId { "orders" } };
        work.enginePath = "/";
        work.repeatable = false;
    }

    ManualClock clock;
    Fleet fleet { clock };
    asio::io_context context;
    bool current = true;
    bool leaseEndsInStream = false; ///< The lease ends once the caller has received data.
    Scheduler scheduler { SchedulerOptions { {}, {}, 500, 7 }, clock, fleet.view,
                          SchedulerHooks { [this] { return isCurrent(); }, [] {} } };
    RetryBudget budget { retryOptions(), 3 };
    FakeEngines engines;
    bool throwsOnOpen = false; ///< Once.
    DispatchOptions options { std::chrono::seconds { 30 }, 4096 };
    Dispatcher dispatcher { options,
                            clock,
                            scheduler,
                            budget,
                            fleet.view,
                            [this](http::ClientRequest request, Duration timeout) {
                                if (std::exchange(throwsOnOpen, false))
                                    throw std::out_of_range { "map::at" };
                                return engines.open(std::move(request), timeout);
                            } };
    FakeResponder responder;
    CallerState caller { false };
    Work work;
};

TEST_CASE_FIXTURE(DispatchFixture, "a complete answer is returned unchanged")
{
    engines.push(answerWith(200, R"({"text":"here lies"})"));
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(outcome.end == report::RequestEnd::Answered);
    CHECK(outcome.answer == R"({"text":"here lies"})");
    CHECK(outcome.contentType == "application/json");
    REQUIRE(engines.requests.size() == 1);
    const auto &sent = engines.requests[0];
    CHECK(http::findHeader(sent.headers, "X-Request-Id") == "q1");
    CHECK(http::findHeader(sent.headers, "X-Figrack-Priority") == "10000");
    CHECK(http::findHeader(sent.headers, "X-Figrack-Resume-From").empty());
    CHECK(sent.match.header == "X-Request-Id");
    CHECK(sent.match.value == "q1");
    CHECK(sent.match.mayBeUnnamed);
}

// Guards against an endpoint that holds a caller's request by a byte now and then.
TEST_CASE_FIXTURE(DispatchFixture, "bytes that complete nothing do not extend the limits")
{
    constexpr auto chunkCount = std::size_t { 100 };
    auto script = answerWith(200, "");
    auto pause = milliseconds { 1000 };
    SUBCASE("of a whole answer")
    {
        script.chunks.assign(chunkCount, "x");
    }
    SUBCASE("of a stream")
    {
        work.stream = true;
        script = streamOf(std::vector<std::string>(chunkCount, "x"));
    }
    const auto limit = work.stream ? 30 : 60; // Seconds: between events, until the finish target.
    auto reads = 0;
    script.beforeChunk = [this, pause, &reads](int) {
        ++reads;
        clock.advance(pause);
    };
    work.repeatable = false;
    engines.push(std::move(script));
    const auto outcome = run();
    CHECK_FALSE(outcome.status.ok());
    CHECK(reads <= limit + 1); // One a second.
}

// Guards against a replica that counts a request as running for good.
TEST_CASE_FIXTURE(DispatchFixture, "a dispatch that an exception ends is over, and may have run")
{
    throwsOnOpen = true;
    SUBCASE("a request that must not run twice fails")
    {
        asService();
        const auto outcome = run();
        CHECK_FALSE(outcome.status.ok());
        CHECK(outcome.ran == Ran::Unknown);
        CHECK(engines.requests.empty());
    }
    SUBCASE("a repeatable one is dispatched again")
    {
        engines.push(answerWith(200, R"({"text":"here lies"})"));
        work.repeatable = true;
        const auto outcome = run();
        CHECK(outcome.status.ok());
        CHECK(engines.requests.size() == 1);
    }
}

TEST_CASE_FIXTURE(DispatchFixture, "a stream is forwarded byte for byte for any split into chunks")
{
    work.stream = true;
    const auto fullStream = tokens(0, 5) + ": note\n\n" + tokens(5, 9) + "data: [DONE]\n\n";
    for (auto size = std::size_t { 1 }; size < fullStream.size(); size += 3) {
        auto chunks = std::vector<std::string> {};
        for (auto at = std::size_t { 0 }; at < fullStream.size(); at += size)
            chunks.push_back(fullStream.substr(at, size));
        engines.push(streamOf(std::move(chunks)));
        responder = FakeResponder {};
        const auto outcome = run();
        CHECK(outcome.status.ok());
        CHECK(responder.body == fullStream);
        CHECK(responder.finished);
    }
}

TEST_CASE_FIXTURE(DispatchFixture, "a caller that reads slowly does not use up its endpoint's time")
{
    work.stream = true;
    const auto full = tokens(0, 3) + "data: [DONE]\n\n";
    engines.push(streamOf({ tokens(0, 1), tokens(1, 2), tokens(2, 3), "data: [DONE]\n\n" }));
    responder.onWrite = [this] { clock.advance(options.streamIdle + milliseconds { 1 }); };
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(responder.body == full);
}

// --- reporting of not_run ---

struct RanReportRow
{
    const char *name;
    bool service;
    std::vector<Script> scripts;
    int ran; ///< Dispatches of which a byte was sent.
    Ran said;
    bool answered;
    ErrorKind kind;
};

TEST_CASE_FIXTURE(DispatchFixture, "not_run is reported exactly if nothing ran")
{
    const auto notTaken = [] {
        auto script = answerWith(503, "{}");
        script.headers.push_back({ "X-Figrack-Ran", "not_run" });
        return script;
    };
    const auto brokenBody = [] {
        auto script = answerWith(200, "{\"te");
        script.cut = true;
        return script;
    };
    const auto rows = std::vector<RanReportRow> {
        { "engine: refused everywhere",
          false,
          { refuse(), refuse(), refuse() },
          0,
          Ran::NotRun,
          false,
          ErrorKind::EndpointFailed },
        { "engine: refused, then answered",
          false,
          { refuse(), answerWith(200, "a") },
          1,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "engine: its own refusal, then answered",
          false,
          { answerWith(429, "{}"), answerWith(200, "a") },
          2,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "engine: broken without a head, repeated",
          false,
          { breakConnection(), answerWith(200, "a") },
          2,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "engine: broken, then refused everywhere",
          false,
          { breakConnection(), refuse(), refuse() },
          1,
          Ran::Unknown,
          false,
          ErrorKind::EndpointFailed },
        { "engine: fault, repeated",
          false,
          { answerWith(500, "{}"), answerWith(200, "a") },
          2,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "engine: body cut, repeated",
          false,
          { brokenBody(), answerWith(200, "a") },
          2,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "service: refused everywhere",
          true,
          { refuse(), refuse(), refuse() },
          0,
          Ran::NotRun,
          false,
          ErrorKind::EndpointFailed },
        { "service: refused, then answered",
          true,
          { refuse(), answerWith(200, "a") },
          1,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "service: says not_run, then answered",
          true,
          { notTaken(), answerWith(200, "a") },
          2,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
        { "service: broken without a head",
          true,
          { breakConnection(), answerWith(200, "a") },
          1,
          Ran::Unknown,
          false,
          ErrorKind::OutcomeUnknown },
        { "service: body cut",
          true,
          { brokenBody(), answerWith(200, "a") },
          1,
          Ran::Unknown,
          false,
          ErrorKind::OutcomeUnknown },
        { "service: its fault is its answer",
          true,
          { answerWith(503, "busy") },
          1,
          Ran::Unknown,
          true,
          ErrorKind::Ok },
    };
    const auto engineWork = work;
    for (const auto &row : rows) {
        CAPTURE(row.name);
        work = engineWork;
        if (row.service)
            asService();
        engines = FakeEngines {};
        for (const auto &script : row.scripts)
            engines.push(script);
        responder = FakeResponder {};
        const auto outcome = run();
        CHECK(engines.ran == row.ran);
        CHECK(ranName(outcome.ran) == ranName(row.said));
        CHECK((outcome.end == report::RequestEnd::Answered) == row.answered);
        CHECK(errorName(errorKind(outcome.status)) == errorName(row.kind));
        // Endpoints avoided after the failures of one row are available again for the next.
        for (auto i = 0; i < 40; ++i)
            budget.onRequest();
        clock.advance(std::chrono::minutes { 3 });
    }
}

TEST_CASE_FIXTURE(DispatchFixture,
                  "a failed endpoint does not use up the attempts before it is detected")
{
    fleet.drainEndpoint("e2");
    work.stream = true;
    engines.push(cutAfter({ tokens(0, 2) }));
    for (auto i = 0; i < 4; ++i)
        engines.push(refuse());
    engines.push(streamOf({ tokens(2, 3) + "data: [DONE]\n\n" }));
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(responder.body == tokens(0, 3) + "data: [DONE]\n\n");
}

TEST_CASE_FIXTURE(DispatchFixture, "a non-repeatable request is sent on a new connection")
{
    asService();
    engines.push(answerWith(200, "a"));
    run();
    CHECK(engines.requests.at(0).freshConnection);
}

TEST_CASE_FIXTURE(DispatchFixture, "retries stop when the shared budget is spent")
{
    const auto failed = policy::FailedAttempt { 1, true, true, 1000 };
    while (budget.next(failed, 0))
        continue;
    CHECK(budget.left() == 0);
    const auto spent = budget.granted();
    CHECK(spent == 5);
    engines.push(refuse());
    engines.push(answerWith(200, "a"));
    const auto outcome = run();
    CHECK(outcome.ran == Ran::NotRun);
    CHECK(errorKind(outcome.status) == ErrorKind::EndpointFailed);
    CHECK(engines.requests.size() == 1);
    CHECK(budget.granted() == spent);
}

TEST_CASE("the metrics page counts retries")
{
    auto metrics = Metrics {};
    auto gauges = Gauges {};
    gauges.retries = 2;
    metrics.text(gauges);
    gauges.retries = 3;
    CHECK(metrics.text(gauges).find("figrack_router_retries_total 3\n") != std::string::npos);
}

// --- resuming ---

TEST_CASE_FIXTURE(DispatchFixture,
                  "a stream cut by an engine failure resumes elsewhere, no token twice")
{
    work.stream = true;
    // The stream is cut inside token 4; the caller must not receive a part of it.
    engines.push(cutAfter({ tokens(0, 3), tokens(3, 4) + "data: t4" }));
    engines.push(streamOf({ tokens(4, 6), tokens(6, 7) + "data: [DONE]\n\n" }));
    const auto outcome = run();
    CHECK(outcome.status.ok());
    REQUIRE(engines.requests.size() == 2);
    CHECK(http::findHeader(engines.requests[1].headers, "X-Figrack-Resume-From") == "4");
    CHECK(engines.requests[0].address != engines.requests[1].address);
    CHECK(responder.body == tokens(0, 7) + "data: [DONE]\n\n");
    CHECK(responder.answers == 1);
    CHECK(responder.finished);
    engines.push(cutAfter({ "data: t0\r\n\r" }));
    engines.push(streamOf({ "data: [DONE]\r\n\r", "\n" }));
    responder = FakeResponder {};
    run();
    CHECK(responder.body == "data: t0\r\n\r\ndata: [DONE]\r\n\r\n");
}

TEST_CASE_FIXTURE(DispatchFixture, "a stream that ends without [DONE] is treated as cut")
{
    work.stream = true;
    engines.push(streamOf({ tokens(0, 2) }));
    engines.push(streamOf({ tokens(2, 3) + "data: [DONE]\n\n" }));
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(http::findHeader(engines.requests.at(1).headers, "X-Figrack-Resume-From") == "2");
    CHECK(responder.body == tokens(0, 3) + "data: [DONE]\n\n");
}

// Guards against a cut answer that is returned as a whole one.
TEST_CASE_FIXTURE(DispatchFixture, "an answer whose end only its connection marks is not complete")
{
    for (const auto isRepeatable : { true, false }) {
        CAPTURE(isRepeatable);
        work.repeatable = isRepeatable;
        auto cut = answerWith(200, R"({"text":"here li)");
        cut.isDelimited = false;
        engines.push(std::move(cut));
        engines.push(answerWith(200, R"({"text":"here lies"})"));
        const auto outcome = run();
        CHECK(outcome.isComplete == isRepeatable);
        if (isRepeatable)
            CHECK(outcome.answer == R"({"text":"here lies"})");
        else
            CHECK(errorKind(outcome.status) == ErrorKind::OutcomeUnknown);
    }
}

TEST_CASE_FIXTURE(DispatchFixture, "comments and keep-alives are not counted as tokens")
{
    work.stream = true;
    engines.push(cutAfter({ ": hello\n\n" + tokens(0, 1) + ": still here\n\nid: 4\n\n" }));
    engines.push(streamOf({ tokens(1, 2) + "data: [DONE]\n\n" }));
    run();
    CHECK(http::findHeader(engines.requests.at(1).headers, "X-Figrack-Resume-From") == "1");
}

TEST_CASE_FIXTURE(DispatchFixture, "a cut stream that is not repeatable ends in an error event")
{
    work.stream = true;
    work.repeatable = false;
    engines.push(cutAfter({ tokens(0, 3) }));
    engines.push(streamOf({ tokens(3, 4) + "data: [DONE]\n\n" }));
    const auto outcome = run();
    CHECK(engines.requests.size() == 1);
    CHECK(errorKind(outcome.status) == ErrorKind::OutcomeUnknown);
    CHECK(outcome.headSent);
    CHECK(responder.body.find(tokens(0, 3) + "event: error\ndata: {") == 0);
    CHECK(responder.body.find("outcome_unknown") != std::string::npos);
    CHECK(responder.body.find("[DONE]") == std::string::npos);
    CHECK(responder.finished);
}

TEST_CASE_FIXTURE(DispatchFixture, "a stream of which all resumes fail ends in an error event")
{
    work.stream = true;
    engines.push(cutAfter({ tokens(0, 1) }));
    engines.push(cutAfter({ tokens(1, 2) }));
    engines.push(cutAfter({ tokens(2, 3) }));
    engines.push(streamOf({ tokens(3, 4) + "data: [DONE]\n\n" }));
    const auto outcome = run();
    CHECK(engines.requests.size() == 3);
    CHECK(outcome.end == report::RequestEnd::Failed);
    CHECK(outcome.ran == Ran::Unknown);
    CHECK(responder.body.find(tokens(0, 3) + "event: error\n") == 0);
    CHECK(responder.body.find("[DONE]") == std::string::npos);
}

TEST_CASE_FIXTURE(DispatchFixture, "a cut stream that gets no new replica ends with the reason")
{
    work.stream = true;
    leaseEndsInStream = true;
    engines.push(cutAfter({ tokens(0, 3) }));
    const auto outcome = run();
    CHECK(engines.requests.size() == 1);
    CHECK(errorKind(outcome.status) == ErrorKind::NotCurrent);
    CHECK(outcome.ran == Ran::Unknown);
    CHECK(responder.body.find(tokens(0, 3) + "event: error\n") == 0);
    CHECK(responder.body.find("not_current") != std::string::npos);
    CHECK(responder.finished);
}

TEST_CASE_FIXTURE(DispatchFixture,
                  "an engine's error event is not forwarded while a retry is possible")
{
    work.stream = true;
    engines.push(streamOf({ tokens(0, 2) + "event: error\ndata: {}\n\n" }));
    engines.push(streamOf({ tokens(2, 3) + "data: [DONE]\n\n" }));
    run();
    CHECK(responder.body == tokens(0, 3) + "data: [DONE]\n\n");
}

TEST_CASE_FIXTURE(DispatchFixture, "data that an engine sends after [DONE] is dropped")
{
    work.stream = true;
    engines.push(streamOf({ tokens(0, 1) + "data: [DONE]\n\n" + tokens(1, 4), tokens(4, 5) }));
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(responder.body == tokens(0, 1) + "data: [DONE]\n\n");
}

// --- disconnecting callers ---

TEST_CASE_FIXTURE(DispatchFixture,
                  "a request whose caller disconnects while it waits leaves the queue")
{
    fleet.addModel("letters");
    work.target.model = ModelId { "letters" };
    asio::post(context, [this] { asio::post(context, [this] { responder.disconnect(); }); });
    const auto outcome = run();
    CHECK(outcome.end == report::RequestEnd::Cancelled);
    CHECK(outcome.ran == Ran::NotRun);
    CHECK(engines.requests.empty());
}

TEST_CASE_FIXTURE(DispatchFixture, "the engine's stream is aborted if the caller disconnects")
{
    work.stream = true;
    auto script = streamOf({ tokens(0, 1) });
    script.hang = true;
    engines.push(script);
    responder.onWrite = [this] { asio::post(context, [this] { responder.disconnect(); }); };
    const auto outcome = run();
    CHECK(outcome.end == report::RequestEnd::Cancelled);
    CHECK(*engines.aborts == 1);
    CHECK(engines.requests.size() == 1);
}

TEST_CASE_FIXTURE(DispatchFixture, "claimed work continues without its caller, for a resend")
{
    auto kept = CallerState { true };
    asService();
    work.key = IdempotencyKey { "k" };
    auto script = answerWith(200, "ordered");
    script.beforeChunk = [&kept](int) { kept.onGone(); };
    engines.push(script);
    auto outcome = Outcome {};
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                outcome = co_await dispatcher.run(work, kept, responder);
            },
            asio::detached);
    REQUIRE(runUntil(
            context, [&outcome] { return outcome.isComplete; }, [this] { passTime(); }));
    CHECK(outcome.answer == "ordered");
    CHECK(*engines.aborts == 0);
}

// --- deadlines, draining endpoints ---

TEST_CASE_FIXTURE(DispatchFixture, "a dispatch held back just before its first byte did not run")
{
    asService();
    auto mayStart = true;
    work.mayStart = [&mayStart] { return mayStart; };
    mayStart = false;
    engines.push(answerWith(200, "a"));
    const auto outcome = run();
    CHECK(engines.ran == 0);
    CHECK(engines.heldBack == 1);
    CHECK(outcome.ran == Ran::NotRun);
    CHECK(errorKind(outcome.status) == ErrorKind::DeadlineExceeded);
}

TEST_CASE_FIXTURE(DispatchFixture,
                  "an endpoint that starts to drain after it was chosen gets no request")
{
    engines.push(answerWith(200, "a"));
    engines.push(answerWith(200, "b"));
    // The announcement arrives while the connection is being made.
    engines.beforeMayStart = [this] {
        if (engines.requests.size() > 1)
            return;
        const auto chosen = engines.requests[0].address.port == 9001 ? "e1" : "e2";
        fleet.view.setAnnouncedDraining(EndpointId { chosen }, Incarnation { 1 }, true);
    };
    const auto outcome = run();
    CHECK(outcome.status.ok());
    CHECK(engines.heldBack == 1);
    CHECK(engines.ran == 1);
    CHECK(engines.requests.at(1).address != engines.requests.at(0).address);
}

TEST_CASE_FIXTURE(DispatchFixture, "an answer above the size limit is refused, not truncated")
{
    work.repeatable = false;
    engines.push(answerWith(200, std::string(5000, 'x')));
    const auto outcome = run();
    CHECK_FALSE(outcome.isComplete);
    CHECK(outcome.answer.empty());
    CHECK(outcome.ran == Ran::Unknown);
}

TEST_CASE_FIXTURE(DispatchFixture, "requests that share an id get their own answers, in any order")
{
    constexpr auto count = std::size_t { 6 };
    auto works = std::vector<Work>(count, work);
    auto callers = std::vector<CallerState>(count, CallerState { false });
    auto responders = std::vector<FakeResponder>(count);
    auto answers = std::vector<std::string> {};
    auto bodies = std::deque<std::string> {};
    auto endings = std::vector<std::size_t> {};
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto first = static_cast<int>(i) * 100;
        answers.push_back(tokens(first, first + 3) + "data: [DONE]\n\n");
        bodies.push_back(std::to_string(i));
        works[i].stream = true;
        works[i].body = bodies[i];
        auto script = streamOf({ answers[i].substr(0, 12), answers[i].substr(12) });
        script.yields = static_cast<int>(count - i) * 40; // The first request is answered last.
        engines.pushFor(bodies[i], script);
    }
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        asio::co_spawn(
                context,
                [&, i]() -> asio::awaitable<void> {
                    (void)co_await dispatcher.run(works[i], callers[i], responders[i]);
                    endings.push_back(i);
                },
                asio::detached);
    }
    REQUIRE(runUntil(
            context, [&endings] { return endings.size() == count; }, [this] { passTime(); }));
    CHECK(endings == std::vector<std::size_t> { 5, 4, 3, 2, 1, 0 });
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        CHECK(responders[i].body == answers[i]);
        CHECK(responders[i].finished);
    }
}

} // namespace
} // namespace figrack::router
