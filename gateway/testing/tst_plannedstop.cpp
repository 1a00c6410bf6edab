// What a gateway that will end at a known time does with requests.

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// @return a handler that answers after a time
auto answeringAfter(Rig &rig, Duration delay) -> http::Handler
{
    return [&rig, delay](const http::Request &request,
                         http::Responder &responder) -> asio::awaitable<void> {
        auto timer = asio::steady_timer { rig.context };
        timer.expires_after(delay);
        co_await timer.async_wait(asio::use_awaitable);
        auto response = http::Response {};
        response.headers.push_back({ "X-Id", std::string { request.header("X-Id") } });
        response.body = "ok";
        co_await responder.send(std::move(response));
    };
}

/// @return whether the answer promises that nothing ran and sends the caller elsewhere at once
auto isRefusedAsNotRun(const Got &got) -> bool
{
    return got.status == 503 && http::findHeader(got.headers, "X-Come-Back") == "0"
            && http::findHeader(got.headers, "Connection") == "close";
}

} // namespace

// Guards against a request that is sent on by a stopping gateway and cut off without an answer.
TEST_CASE("A request that may run once is refused if its route's requests take longer than is left")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answeringAfter(rig, 3s);
    CHECK(rig.call(Rig::request("/once/x", "r1")).status == 200);
    rig.forwarder.setStopTime(rig.clock.now() + 2900ms);
    CHECK(isRefusedAsNotRun(rig.call(Rig::request("/once/x", "r2"))));
    CHECK(endpoint.seen.size() == 1);
}

TEST_CASE("A request is served by a stopping gateway if its route's requests end in time")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    CHECK(rig.call(Rig::request("/once/x", "r1")).status == 200);
    rig.forwarder.setStopTime(rig.clock.now() + 9s);
    const auto got = rig.call(Rig::request("/once/x", "r2"));
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(http::findHeader(got.headers, "Connection") == "close"); // Its caller goes elsewhere.
}

// Guards against a first request of its route that is cut off since nothing is known of it.
TEST_CASE("A route without recent requests is served by a stopping gateway only if it may repeat")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    rig.forwarder.setStopTime(rig.clock.now() + 9s);
    CHECK(isRefusedAsNotRun(rig.call(Rig::request("/once/x", "r1"))));
    CHECK(endpoint.seen.empty());
    CHECK(rig.call(Rig::request("/idem/x", "r2")).status == 200);
}

TEST_CASE("A request whose deadline lies before the stop is served whatever it takes")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    rig.forwarder.setStopTime(rig.clock.now() + 9s);
    auto request = Rig::request("/once/x", "r1");
    request.headers.push_back({ "X-Deadline", "5000" });
    CHECK(rig.call(std::move(request)).status == 200);
}

TEST_CASE("A request that may repeat is refused if its route's requests take longer than is left")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answeringAfter(rig, 300ms);
    CHECK(rig.call(Rig::request("/idem/x", "r1")).status == 200);
    rig.forwarder.setStopTime(rig.clock.now() + 250ms);
    CHECK(isRefusedAsNotRun(rig.call(Rig::request("/idem/x", "r2"))));
}

// Guards against a retry that is begun by a stopping gateway and cut off.
TEST_CASE("A stopping gateway begins no retry that would not end in time")
{
    auto rig = Rig {};
    auto &slow = rig.addEndpoint("i-1");
    slow.handler = answeringAfter(rig, 300ms);
    CHECK(rig.call(Rig::request("/idem/x", "r1")).status == 200);
    slow.handler
            = [&rig, breakOff = breaking()](const http::Request &request,
                                            http::Responder &responder) -> asio::awaitable<void> {
        rig.forwarder.setStopTime(rig.clock.now() + 250ms);
        co_await breakOff(request, responder);
    };
    auto &other = rig.addEndpoint("i-2");
    other.handler = slow.handler;
    const auto got = rig.call(Rig::request("/idem/x", "r2"));
    CHECK(got.status != 200);
    CHECK(slow.seen.size() + other.seen.size() == 2);
}
