// Endpoints that state in their answers that they are draining.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>

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
