// Endpoints that state in their answers that they are draining.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <string>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using catalogue::EndpointState;

namespace {

/// @return a handler that answers and states that the endpoint is draining
auto leaving(std::uint32_t status) -> http::Handler
{
    return [status](const http::Request &request,
                    http::Responder &responder) -> boost::asio::awaitable<void> {
        auto response = http::Response {};
        response.status = status;
        response.headers
                = { { "X-Id", std::string { request.header("X-Id") } }, { "X-Draining", "1" } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

/// @return a handler that sends the first event of a stream, and the second one after a signal
auto streamingUntil(const bool &mayEnd, Rig &rig) -> http::Handler
{
    return [&mayEnd, &rig](const http::Request &request,
                           http::Responder &responder) -> boost::asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        auto first = std::string { "id: 1\ndata: e1\n\n" };
        static_cast<void>(co_await responder.write(std::move(first)));
        auto timer = BootTimer { rig.context, std::chrono::milliseconds { 10 } };
        while (!mayEnd) {
            timer.expires_after(std::chrono::milliseconds { 10 });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
        }
        auto second = std::string { "id: 2\ndata: e2\n\n" };
        static_cast<void>(co_await responder.write(std::move(second)));
        static_cast<void>(co_await responder.finish());
    };
}

} // namespace

TEST_CASE("An endpoint that states that it is draining gets no request after that answer")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    SUBCASE("with a success")
    {
        endpoint.handler = leaving(200);
    }
    SUBCASE("with a failure")
    {
        endpoint.handler = leaving(404);
    }
    rig.call(Rig::request("/once/x", "r1"));
    REQUIRE(endpoint.seen.size() == 1);
    for (auto i = 0; i < 8; ++i) {
        const auto id = std::to_string(i);
        CHECK(rig.call(Rig::request("/once/x", "a" + id)).status == 503);
        // Announcements that were sent before the endpoint was draining, or that reach other
        // controls late.
        rig.tell("i-1", endpoint.port, 2 + i, EndpointState::Ready);
    }
    CHECK(endpoint.seen.size() == 1);
    auto &other = rig.addEndpoint("i-2");
    other.handler = answering("ok");
    CHECK(rig.call(Rig::request("/once/x", "b")).status == 200);
    CHECK(endpoint.seen.size() == 1);
}

TEST_CASE("The models of a draining endpoint are loaded elsewhere, and a new incarnation is used")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto first = EndpointId { "i-1", Incarnation { 1 } };
    const auto second = EndpointId { "i-1", Incarnation { 2 } };
    announce(view, first);
    auto notice = catalogue::EndpointNotice {};
    notice.isDraining = true;
    view.onNotice(first, notice, clock.now());
    view.onNotice(first, {}, clock.now());
    CHECK_FALSE(view.takesWork(first));
    CHECK(view.unreachable().size() == 1);
    announce(view, second);
    CHECK(view.takesWork(second));
}

TEST_CASE("A stream ends whole at the last endpoint of its software version, which is draining")
{
    auto rig = Rig {};
    auto mayEnd = false;
    auto &old = rig.addEndpoint("i-1");
    old.handler = streamingUntil(mayEnd, rig);
    rig.tell("i-1", old.port, 2, EndpointState::Ready, {}, "v1");
    const auto got = rig.begin(Rig::request("/resume/x", "r1"));
    REQUIRE(rig.runUntil([&] { return old.seen.size() == 1; }));
    auto &other = rig.addEndpoint("i-2");
    other.handler = answering("other");
    rig.tell("i-2", other.port, 2, EndpointState::Ready, {}, "v2");
    rig.tell("i-1", old.port, 3, EndpointState::Draining, {}, "v1");
    mayEnd = true;
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->whole);
    CHECK((*got)->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
    CHECK(other.seen.empty());
}

// Guards against a caller that waits until its deadline for an endpoint that takes no new work.
TEST_CASE("A stream that breaks while the last other endpoint of its version drains ends at once")
{
    for (const auto &model : std::array<std::string, 2> { "", "m0" }) {
        CAPTURE(model);
        const auto isEngine = !model.empty();
        const auto models
                = isEngine ? std::vector<std::string> { model } : std::vector<std::string> {};
        auto rig = Rig {};
        rig.forwarder.setCatalogue(testCatalogue(isEngine));
        auto &broken = rig.addEndpoint("i-1", models);
        broken.handler = streaming(1, 2, false);
        rig.tell("i-1", broken.port, 2, EndpointState::Ready, models, "v1");
        auto &draining = rig.addEndpoint("i-2", models);
        draining.handler = streaming(3, 4, true);
        rig.tell("i-2", draining.port, 2, EndpointState::Draining, models, "v1");
        auto request = Rig::request("/resume/x", "r1");
        if (isEngine)
            request.headers.push_back({ "X-Model", model });
        const auto begun = rig.clock.now();
        const auto got = rig.begin(std::move(request));
        REQUIRE(rig.runUntil([&] { return broken.seen.size() == 1; }));
        auto &other = rig.addEndpoint("i-3", models);
        other.handler = streaming(3, 4, true);
        rig.tell("i-3", other.port, 2, EndpointState::Ready, models, "v2");
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        CHECK(rig.clock.now() - begun < std::chrono::seconds { 3 });
        CHECK_FALSE((*got)->whole);
        CHECK((*got)->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
        CHECK(draining.seen.empty());
        CHECK(other.seen.empty());
    }
}
