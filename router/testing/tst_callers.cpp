// Tests the HTTP calls of docs/API.md with scripted engines and a leader that
// gives configured answers.

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "fakes.h"
#include "fleet.h"
#include "router/callers.h"

namespace figrack::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reply = absl::StatusOr<proto::Payload>;
using LeaderDone = std::function<void(Reply)>;

struct CallersFixture
{
    CallersFixture()
    {
        fleet.addClass("draft", 10000, 60000);
        fleet.addModel("plaques");
        fleet.addService("orders", false);
        fleet.addEngine("e1", 9001);
        fleet.addServiceEndpoint("s1", 9003, "orders");
        fleet.load("plaques", "e1");
        fleet.addRouter("r1", "morlaix", "127.0.0.1:1");
        fleet.addRouter("r2", "brasparts", "127.0.0.1:2");
    }

    static auto routerOptions() -> RouterOptions
    {
        auto options = RouterOptions {};
        options.self = NodeId { "r1" };
        return options;
    }
    static auto retryOptions() -> policy::RetryOptions
    {
        auto retry = policy::RetryOptions {};
        retry.firstDelay = 0;
        return retry;
    }
    static auto claimOptions() -> ClaimOptions
    {
        auto options = ClaimOptions {};
        options.self = NodeId { "r1" };
        options.incarnation = Incarnation { 1 };
        return options;
    }
    auto callLeader(const proto::Payload &payload, const LeaderDone &done) -> void
    {
        if (const auto *end = std::get_if<proto::ClaimEnd>(&payload)) {
            ends.push_back(end->end);
            done(proto::Payload { proto::Done {} });
            return;
        }
        ++claimsAsked;
        if (onClaim)
            onClaim();
        done(verdict);
    }

    auto passTime() -> void
    {
        clock.advance(milliseconds { 20 });
        scheduler.tick();
    }
    auto call(const http::Request &request) -> FakeResponder &
    {
        responder = FakeResponder {};
        auto ended = 0;
        asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    co_await callers.handle(request, responder);
                    ++ended;
                },
                asio::detached);
        REQUIRE(runUntil(
                context, [&ended] { return ended > 0; }, [this] { passTime(); }));
        CHECK(responder.answers == 1);
        CHECK(callers.inProgress() == 0);
        CHECK_FALSE(http::findHeader(responder.response.headers, "X-Request-Id").empty());
        return responder;
    }
    auto get(std::string path, http::Headers headers = {}) -> http::Response
    {
        auto request = http::Request {};
        request.method = "GET";
        request.path = std::move(path);
        request.headers = std::move(headers);
        return call(request).response;
    }
    auto post(std::string path, std::string body, http::Headers headers = {}) -> http::Response
    {
        auto request = http::Request {};
        request.method = "POST";
        request.path = std::move(path);
        request.body = std::move(body);
        request.headers = std::move(headers);
        request.remoteIp = "127.0.0.1";
        return call(request).response;
    }
    auto complete(http::Headers headers = {}) -> http::Response
    {
        return post("/v1/completions", R"({"model":"plaques","prompt":"x"})", std::move(headers));
    }
    auto order(http::Headers headers = { { "Idempotency-Key", "k" } }) -> http::Response
    {
        return post("/v1/services/orders", "one slab", std::move(headers));
    }
    static auto errorOf(const http::Response &response) -> boost::json::object
    {
        return boost::json::parse(response.body).at("error").as_object();
    }
    static auto code(const http::Response &response) -> std::string
    {
        return boost::json::value_to<std::string>(errorOf(response).at("code"));
    }
    static auto ran(const http::Response &response) -> std::string
    {
        CHECK(http::findHeader(response.headers, "X-Figrack-Ran")
              == std::string_view { errorOf(response).at("ran").as_string() });
        return boost::json::value_to<std::string>(errorOf(response).at("ran"));
    }
    /// @return the number of requests counted so far, read from the metrics page
    auto recorded(const std::string &end) -> int
    {
        const auto page = get("/metrics").body;
        auto sum = 0;
        for (auto at = page.find("figrack_router_requests_total{"); at != std::string::npos;
             at = page.find("figrack_router_requests_total{", at + 1)) {
            const auto line = page.substr(at, page.find('\n', at) - at);
            if (line.find("end=\"" + end + "\"") != std::string::npos)
                sum += std::stoi(line.substr(line.find("} ") + 2));
        }
        return sum;
    }

    ManualClock clock;
    Fleet fleet { clock };
    asio::io_context context;
    bool current = true;
    Scheduler scheduler { SchedulerOptions { {}, {}, 500, 7 }, clock, fleet.view,
                          SchedulerHooks { [this] { return current; }, [] {} } };
    RetryBudget budget { retryOptions(), 3 };
    FakeEngines engines;
    Dispatcher dispatcher { DispatchOptions {},
                            clock,
                            scheduler,
                            budget,
                            fleet.view,
                            [this](http::ClientRequest request, Duration timeout) {
                                return engines.open(std::move(request), timeout);
                            } };
    Reply verdict
            = proto::Payload { proto::ClaimReply { proto::ClaimVerdict::Granted, 0, {}, {} } };
    std::function<void()> onClaim;
    int claimsAsked = 0;
    std::vector<state::EndClaim> ends;
    std::vector<proto::EndpointReport> announced;
    std::shared_ptr<Claims> claims = std::make_shared<Claims>(
            claimOptions(), clock,
            [this](const proto::Payload &payload, Duration, const LeaderDone &done) {
                callLeader(payload, done);
            });
    Drain drain { DrainOptions {}, clock };
    Metrics metrics;
    report::Recorder recorder { clock };
    RouterOptions options = routerOptions();
    FakeResponder responder;
    Callers callers { CallerParts {
            options, clock, fleet.view, scheduler, dispatcher, *claims, drain, metrics, recorder,
            [this] { return current; },
            [this](const proto::EndpointReport &report) { announced.push_back(report); },
            Incarnation { 1 } } };
};

TEST_CASE_FIXTURE(CallersFixture, "addresses, models and health")
{
    const auto body = get("/v1/addresses", { { "X-Figrack-Domain", "brasparts" } }).body;
    CHECK(body
          == R"({"lifetime_ms":10000,"addresses":[{"address":"127.0.0.1:2","domain":"brasparts"},)"
             R"({"address":"127.0.0.1:1","domain":"morlaix"}]})");
    CHECK(get("/v1/models").body.find(R"("id":"plaques")") != std::string::npos);
    CHECK(get("/healthz").status == 200);
    CHECK(get("/readyz").status == 200);
    current = false;
    CHECK(get("/readyz").status == 503);
    CHECK(get("/healthz").status == 200);
    CHECK(get("/nothing").status == 400);
}

TEST_CASE_FIXTURE(CallersFixture, "an answer carries its request id and is recorded once")
{
    engines.push(answerWith(200, "here lies"));
    const auto response = complete({ { "X-Request-Id", "mine" } });
    CHECK(response.status == 200);
    CHECK(response.body == "here lies");
    CHECK(http::findHeader(response.headers, "X-Request-Id") == "mine");
    CHECK(recorded("answered") == 1);
}

TEST_CASE_FIXTURE(CallersFixture, "a router that is not known to be current accepts no new work")
{
    current = false;
    const auto response = complete();
    CHECK(response.status == 503);
    CHECK(code(response) == "not_current");
    CHECK(ran(response) == "not_run");
    CHECK(boost::json::serialize(errorOf(response).at("retry_at")) == R"(["127.0.0.1:2"])");
    CHECK(code(order()) == "not_current");
    CHECK(claimsAsked == 0);
    CHECK(engines.requests.empty());
    CHECK(recorded("refused") == 2);
}

TEST_CASE_FIXTURE(CallersFixture, "a waiting request is refused as not_run when the lease expires")
{
    fleet.addModel("letters");
    asio::post(context, [this] {
        asio::post(context, [this] {
            current = false;
            scheduler.tick();
        });
    });
    const auto response = post("/v1/completions", R"({"model":"letters"})");
    CHECK(code(response) == "not_current");
    CHECK(ran(response) == "not_run");
}

TEST_CASE_FIXTURE(CallersFixture, "a stopping router serves for the address lifetime, then refuses")
{
    drain.onStop();
    fleet.view.setSelfLeaving();
    drain.onNoticeConfirmed();
    CHECK(get("/readyz").status == 503);
    CHECK(get("/v1/addresses").body.find("127.0.0.1:1") == std::string::npos);
    engines.push(answerWith(200, "a"));
    CHECK(complete().status == 200);
    clock.advance(seconds { 12 });
    CHECK(drain.tick(1) == DrainPhase::Refusing);
    const auto response = complete();
    CHECK(response.status == 503);
    CHECK(code(response) == "draining");
    CHECK(ran(response) == "not_run");
    CHECK(boost::json::serialize(errorOf(response).at("retry_at")) == R"(["127.0.0.1:2"])");
    CHECK(get("/healthz").status == 200);
}

TEST_CASE_FIXTURE(CallersFixture, "requests running when the refusing phase begins are finished")
{
    drain.onStop();
    drain.onNoticeConfirmed();
    auto script = streamOf({ tokens(0, 1), tokens(1, 2) + "data: [DONE]\n\n" });
    script.beforeChunk = [this](int chunk) {
        if (chunk != 1)
            return;
        clock.advance(seconds { 12 });
        CHECK(drain.tick(callers.inProgress()) == DrainPhase::Refusing);
        CHECK(drain.tick(callers.inProgress()) == DrainPhase::Refusing);
    };
    engines.push(script);
    post("/v1/completions", R"({"model":"plaques","stream":true})");
    CHECK(responder.body == tokens(0, 2) + "data: [DONE]\n\n");
    CHECK(drain.tick(callers.inProgress()) == DrainPhase::Stopped);
}

// --- claims ---

TEST_CASE_FIXTURE(CallersFixture,
                  "a non-repeatable call is claimed before dispatch, its answer stored")
{
    onClaim = [this] { CHECK(engines.requests.empty()); };
    engines.push(answerWith(201, "ordered"));
    const auto response = order();
    CHECK(response.status == 201);
    CHECK(response.body == "ordered");
    CHECK(claimsAsked == 1);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].state == state::ClaimState::Done);
    CHECK(ends[0].status == 201);
    CHECK(ends[0].answer == "ordered");
    CHECK(http::findHeader(engines.requests.at(0).headers, "Idempotency-Key") == "k");
    CHECK(engines.requests.at(0).target == "/");
}

TEST_CASE_FIXTURE(CallersFixture, "a non-repeatable call without a key is refused with the remedy")
{
    const auto response = order({});
    CHECK(response.status == 400);
    CHECK(ran(response) == "not_run");
    CHECK(response.body.find("Idempotency-Key") != std::string::npos);
    CHECK(claimsAsked == 0);
}

TEST_CASE_FIXTURE(CallersFixture,
                  "a non-repeatable call is dispatched only if its claim is granted")
{
    struct Row
    {
        Reply reply;
        std::uint32_t status;
        const char *code;
        const char *ran;
    };
    const auto reply = [](proto::ClaimVerdict verdict) -> Reply {
        return proto::Payload { proto::ClaimReply { verdict, 0, {}, {} } };
    };
    const auto rows = std::vector<Row> {
        { reply(proto::ClaimVerdict::InProgress), 409, "in_progress", "unknown" },
        { reply(proto::ClaimVerdict::Unknown), 502, "outcome_unknown", "unknown" },
        { reply(proto::ClaimVerdict::KeyReused), 400, "key_reused", "not_run" },
        { makeError(ErrorKind::NotLeader, "c1"), 503, "no_quorum", "not_run" },
        { makeError(ErrorKind::Timeout, "c1"), 503, "no_quorum", "not_run" },
    };
    for (const auto &row : rows) {
        verdict = row.reply;
        const auto response
                = order({ { "Idempotency-Key",
                            std::string { "k-" } + row.code + std::to_string(claimsAsked) } });
        CHECK(response.status == row.status);
        CHECK(code(response) == row.code);
        CHECK(ran(response) == row.ran);
    }
    CHECK(engines.requests.empty());
}

TEST_CASE_FIXTURE(CallersFixture, "a resend gets the stored answer")
{
    verdict = proto::Payload { proto::ClaimReply { proto::ClaimVerdict::Stored, 201, "text/plain",
                                                   "ordered" } };
    const auto response = order();
    CHECK(response.status == 201);
    CHECK(response.body == "ordered");
    CHECK(http::findHeader(response.headers, "Content-Type") == "text/plain");
    CHECK(engines.requests.empty());
    CHECK(ends.empty());
}

TEST_CASE_FIXTURE(CallersFixture,
                  "paused past the deadline between claim and dispatch: not dispatched")
{
    // The claim is granted in time, but the process is paused while the connection is being made.
    onClaim = [this] { clock.advance(milliseconds { 4999 }); };
    engines.beforeMayStart = [this] { clock.advance(milliseconds { 1 }); };
    engines.push(answerWith(200, "ordered"));
    const auto response = order();
    CHECK(engines.ran == 0);
    CHECK(engines.heldBack == 1);
    CHECK(response.status == 504);
    CHECK(ran(response) == "not_run");
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].state == state::ClaimState::NotRun);
}

TEST_CASE_FIXTURE(CallersFixture, "a claim ends as not_run only if that is certain")
{
    engines.push(breakConnection());
    auto response = order({ { "Idempotency-Key", "a" } });
    CHECK(response.status == 502);
    CHECK(code(response) == "outcome_unknown");
    CHECK(ran(response) == "unknown");
    CHECK(ends.at(0).state == state::ClaimState::Unknown);
    engines.push(refuse());
    engines.push(refuse());
    engines.push(refuse());
    response = order({ { "Idempotency-Key", "b" } });
    CHECK(ran(response) == "not_run");
    CHECK(ends.at(1).state == state::ClaimState::NotRun);
}

TEST_CASE_FIXTURE(CallersFixture, "an answer too long to store is sent in full and recorded as run")
{
    const auto longAnswer = std::string(state::maxStoredAnswerBytes + 1, 'x');
    engines.push(answerWith(200, longAnswer));
    CHECK(order().body == longAnswer);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].state == state::ClaimState::Done);
    CHECK(ends[0].answer.empty());
    CHECK(ends[0].contentType == notStoredType);
}

TEST_CASE_FIXTURE(CallersFixture, "a claimed call finishes without its caller and is stored")
{
    auto script = answerWith(200, "ordered");
    script.beforeHead = [this] { responder.disconnect(); };
    engines.push(script);
    auto request = http::Request {};
    request.method = "POST";
    request.path = "/v1/services/orders";
    request.headers = { { "Idempotency-Key", "k" } };
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> { co_await callers.handle(request, responder); },
            asio::detached);
    REQUIRE(runUntil(
            context, [this] { return !ends.empty(); }, [this] { passTime(); }));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].state == state::ClaimState::Done);
    CHECK(ends[0].answer == "ordered");
}

TEST_CASE_FIXTURE(CallersFixture, "a stream with a key stores its events for a resend")
{
    const auto fullStream = tokens(0, 3) + "data: [DONE]\n\n";
    engines.push(streamOf({ fullStream }));
    post("/v1/completions", R"({"model":"plaques","stream":true})", { { "Idempotency-Key", "k" } });
    CHECK(responder.body == fullStream);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].answer == fullStream);
    CHECK(ends[0].contentType == "text/event-stream");
}

TEST_CASE_FIXTURE(CallersFixture,
                  "an announcement is sent to the controls and answered with a lease")
{
    auto request = http::Request {};
    const auto body = std::string {
        R"({"id":"e1","incarnation":1,"sequence":5,"kind":"engine","address":"127.0.0.1:9001",)"
        R"("domain":"d1","service":"redaction","accelerators":8,"memory_mb":80000,"used_mb":100,)"
        R"("checks_fence":true,"draining":true,"cached":[],"replicas":[]})"
    };
    const auto response = post("/v1/announce", body);
    CHECK(response.status == 200);
    CHECK(response.body == R"({"lease_ms":3000,"routers":["127.0.0.1:1","127.0.0.1:2"]})");
    REQUIRE(announced.size() == 1);
    CHECK(announced[0].draining);
    CHECK_FALSE(fleet.view.isUsable(EndpointId { "e1" }));
    CHECK(post("/v1/announce", "{").status == 400);
}

} // namespace
} // namespace figrack::router
