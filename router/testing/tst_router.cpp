// Tests the complete router over loopback sockets, through its HTTP interface, with
// a fake control and a fake engine.

#include <doctest/doctest.h>

#include <future>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include "core/error.h"
#include "fakecontrol.h"
#include "http/client.h"
#include "http/server.h"
#include "router/router.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An engine that streams a configurable number of tokens, one by one.
class Engine
{
public:
    explicit Engine(asio::io_context &context)
        : server_(context, http::ServerOptions {},
                  [this](const http::Request &request, http::Responder &responder) {
                      return handle(request, responder);
                  })
    {
        REQUIRE(server_.start(Address { "127.0.0.1", 0 }).ok());
    }
    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(server_.port()); }
    auto stop() -> void { server_.stop(); }

    std::atomic<int> requests = 0;
    std::atomic<int> gone = 0;
    std::atomic<int> tokens = 3;
    std::atomic<bool> paused = false; ///< Pauses after the first token until set to false.

private:
    auto handle(const http::Request &request, http::Responder &responder) -> asio::awaitable<void>
    {
        if (request.method == "GET") {
            auto none = http::Response { 404, {}, "" };
            co_await responder.send(std::move(none));
            co_return;
        }
        ++requests;
        responder.onPeerGone([this] { ++gone; });
        auto headers = http::Headers { { "Content-Type", "text/event-stream" } };
        (void)co_await responder.startStream(200, std::move(headers));
        auto timer = asio::steady_timer { co_await asio::this_coro::executor };
        for (auto i = 0; i < tokens; ++i) {
            auto event = "data: t" + std::to_string(i) + "\n\n";
            if (!(co_await responder.write(std::move(event))).ok())
                co_return;
            while (paused && !responder.peerGone()) {
                timer.expires_after(milliseconds { 2 });
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        auto done = std::string { "data: [DONE]\n\n" };
        (void)co_await responder.write(std::move(done));
        (void)co_await responder.finish();
    }

    http::Server server_;
};

struct RouterFixture
{
    RouterFixture()
    {
        options.self = NodeId { "r1" };
        options.domain = DomainId { "morlaix" };
        options.callerListen = Address { "127.0.0.1", 0 };
        options.callerAddress = Address { "127.0.0.1", 1 };
        options.controls = { control.named() };
        options.addressLifetime = milliseconds { 100 };
        options.drainPropagationTime = milliseconds { 100 };
        // Long enough not to expire on a machine that stalls for seconds.
        options.viewLease.length = seconds { 8 };
        options.viewLease.renewEvery = milliseconds { 50 };
        putClass();
        putModel();
        router = std::make_unique<Router>(threads.context, options, clock, testKeys(), 5,
                                          [this] { stopped = true; });
        REQUIRE(router->start().ok());
        REQUIRE(eventually([this] { return router->isCurrent(); }));
    }
    ~RouterFixture()
    {
        threads.stop();
        router.reset();
    }

    auto change(state::ConfigOperation operation) -> void
    {
        auto change = state::ConfigChange {};
        change.change = ChangeId { std::to_string(revision) };
        change.author = "test";
        change.expected = Revision { revision++ };
        change.operation = std::move(operation);
        control.commit(change);
    }
    auto putClass() -> void
    {
        auto spec = state::ClassSpec {};
        spec.id = ClassId { "draft" };
        spec.startTarget = 20000;
        spec.finishTarget = 60000;
        spec.isDefault = true;
        change(state::PutClass { spec });
    }
    auto putModel() -> void
    {
        auto spec = state::ModelSpec {};
        spec.id = ModelId { "plaques" };
        spec.weightMb = 100;
        change(state::PutModel { spec });
    }
    auto registerEngine() -> void
    {
        auto spec = state::EndpointSpec {};
        spec.id = EndpointId { "e1" };
        spec.incarnation = Incarnation { 1 };
        spec.address = engine.address();
        spec.memoryMb = 1000;
        awaitApplied(control.commit(state::RegisterEndpoint { spec, 0 }));
    }
    auto load() -> void
    {
        auto order = state::OrderIntent {};
        order.endpoint = EndpointId { "e1" };
        order.incarnation = Incarnation { 1 };
        order.model = ModelId { "plaques" };
        order.version = "1";
        order.fence = Fence { 1 };
        const auto index = control.commit(order);
        awaitApplied(control.commit(
                state::OrderOutcome { OrderId { index.value() }, state::OrderResult::Loaded, 0 }));
    }
    /// Waits until the router has applied the index. A request sent earlier could find no endpoint
    /// for its model and be refused.
    auto awaitApplied(LogIndex index) -> void
    {
        const auto line = R"(what="applied_index"} )" + std::to_string(index.value()) + "\n";
        REQUIRE(eventually(
                [&] { return bodyOf(send("GET", "/metrics")).find(line) != std::string::npos; }));
    }

    using Result = http::ClientResult<http::Response>;
    auto send(std::string method, std::string path, std::string body = {}) -> std::future<Result>
    {
        auto request = http::ClientRequest {};
        request.address = Address { "127.0.0.1", router->port() };
        request.method = std::move(method);
        request.target = std::move(path);
        request.body = std::move(body);
        request.headers = { { "X-Request-Id", "same" } };
        return asio::co_spawn(threads.context, client.fetch(std::move(request), seconds { 30 }),
                              asio::use_future);
    }
    auto complete() -> std::future<Result>
    {
        return send("POST", "/v1/completions", R"({"model":"plaques","stream":true})");
    }
    static auto bodyOf(std::future<Result> future) -> std::string
    {
        auto result = future.get();
        if (const auto *error = std::get_if<http::ClientError>(&result))
            return "error: " + std::string { error->status.message() };
        return std::get<http::Response>(result).body;
    }
    static auto wholeAnswer(int tokens) -> std::string
    {
        auto text = std::string {};
        for (auto i = 0; i < tokens; ++i)
            text += "data: t" + std::to_string(i) + "\n\n";
        return text + "data: [DONE]\n\n";
    }

    SystemClock clock;
    Threads threads;
    FakeControl control { threads.context, "c1" };
    Engine engine { threads.context };
    RouterOptions options;
    std::uint64_t revision = 0;
    std::atomic<bool> stopped = false;
    http::Client client { threads.context, http::ClientOptions {}, systemClock() };
    std::unique_ptr<Router> router;
};

TEST_CASE_FIXTURE(RouterFixture,
                  "a burst to a cold model: demand, load, a complete answer for each")
{
    registerEngine();
    auto answers = std::vector<std::future<Result>> {};
    for (auto i = 0; i < 12; ++i)
        answers.push_back(complete());
    CHECK(eventually([this] {
        const auto reports = control.reports();
        return !reports.empty() && !reports.back().rows.empty()
                && reports.back().rows[0].queued == 12;
    }));
    CHECK(engine.requests == 0);
    load();
    for (auto &answer : answers)
        CHECK(bodyOf(std::move(answer)) == wholeAnswer(3));
    CHECK(engine.requests == 12);
    // The record is written after the answer has been sent.
    CHECK(eventually([this] {
        const auto page = bodyOf(send("GET", "/metrics"));
        return page.find(R"(figrack_router_requests_total{class="draft",end="answered"} 12)")
                != std::string::npos;
    }));
}

TEST_CASE_FIXTURE(RouterFixture, "an announcement reaches the controls")
{
    const auto body = R"({"id":"e1","incarnation":1,"sequence":1,"kind":"engine","address":")"
            + engine.address()
            + R"(","domain":"d1","service":"redaction","accelerators":8,"memory_mb":1000,)"
            + R"("used_mb":0,"checks_fence":true,"draining":false,"cached":[],"replicas":[]})";
    CHECK(bodyOf(send("POST", "/v1/announce", body)).find("lease_ms") != std::string::npos);
    REQUIRE(eventually([this] { return control.endpointReports().size() == 1; }));
    CHECK(control.endpointReports()[0].spec.address == engine.address());
}

TEST_CASE_FIXTURE(RouterFixture,
                  "the engine's stream is cancelled if the caller closes its connection")
{
    registerEngine();
    load();
    engine.paused = true;
    {
        auto other = http::Client { threads.context, http::ClientOptions {}, systemClock() };
        auto request = http::ClientRequest {};
        request.address = Address { "127.0.0.1", router->port() };
        request.target = "/v1/completions";
        request.body = R"({"model":"plaques","stream":true})";
        auto opened
                = asio::co_spawn(threads.context, other.open(std::move(request), seconds { 30 }),
                                 asio::use_future)
                          .get();
        REQUIRE(std::holds_alternative<std::unique_ptr<http::ClientStream>>(opened));
        CHECK(eventually([this] { return engine.requests == 1; }));
        std::get<std::unique_ptr<http::ClientStream>>(opened)->abort();
    }
    CHECK(eventually([this] { return engine.gone == 1; }));
}

TEST_CASE_FIXTURE(RouterFixture, "a planned stop: unlisted, serving, refusing, finished, stopped")
{
    registerEngine();
    load();
    engine.paused = true;
    auto running = complete();
    REQUIRE(eventually([this] { return engine.requests == 1; }));
    router->requestStop();
    REQUIRE(eventually([this] { return router->phase() == DrainPhase::Refusing; }));
    REQUIRE(control.notices().size() == 1);
    CHECK_FALSE(control.notices()[0].gone);
    CHECK(bodyOf(send("GET", "/v1/addresses")).find("127.0.0.1:1\"") == std::string::npos);
    const auto refused = bodyOf(complete());
    CHECK(refused.find(R"("code":"draining")") != std::string::npos);
    CHECK(refused.find(R"("ran":"not_run")") != std::string::npos);
    CHECK_FALSE(stopped);
    engine.paused = false;
    CHECK(bodyOf(std::move(running)) == wholeAnswer(3));
    CHECK(eventually([this] { return stopped.load(); }));
    REQUIRE(control.notices().size() == 2);
    CHECK(control.notices()[1].gone);
}

TEST_CASE_FIXTURE(RouterFixture,
                  "without controls a router refuses new work and finishes running work")
{
    registerEngine();
    load();
    engine.paused = true;
    auto running = complete();
    REQUIRE(eventually([this] { return engine.requests == 1; }));
    control.grants = false;
    REQUIRE(eventually([this] { return !router->isCurrent(); }));
    const auto refused = bodyOf(complete());
    CHECK(refused.find(R"("code":"not_current")") != std::string::npos);
    CHECK(refused.find(R"("ran":"not_run")") != std::string::npos);
    engine.paused = false;
    CHECK(bodyOf(std::move(running)) == wholeAnswer(3));
    CHECK(engine.requests == 1);
}

} // namespace
} // namespace figrack::router
