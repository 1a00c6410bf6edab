// A gateway that is cut off from the endpoints, while its callers, the controls and the other
// gateways still reach it.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/handoffserver.h"
#include "gateway/testing/cutworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

constexpr auto requests = 20;

/// Both gateways serve, and the first one has kept connections to the endpoints.
auto checkServedAsWell(Cut how) -> void
{
    auto world = CutWorld {};
    REQUIRE(world.countServed(At::Cut, requests) == requests);
    REQUIRE(world.countServed(At::Other, requests) == requests);
    world.cut(how);
    REQUIRE(world.isServedAgain());
    CHECK(world.countServed(At::Cut, requests) == requests);
    CHECK(world.countServed(At::Other, requests) == requests);
}

} // namespace

TEST_CASE("Callers are served at a gateway whose connections to all endpoints hang")
{
    checkServedAsWell(Cut::Hang);
}

TEST_CASE("Callers are served at a gateway that no answer of any endpoint reaches")
{
    checkServedAsWell(Cut::OneWay);
}

TEST_CASE("Callers are served at a gateway whose connections to all endpoints are reset")
{
    checkServedAsWell(Cut::Reset);
}

TEST_CASE("Callers are served at a gateway that can make no new connection to any endpoint")
{
    checkServedAsWell(Cut::RefuseNew);
}

TEST_CASE("Requests go to endpoints directly again once the path is back")
{
    auto world = CutWorld {};
    world.cut(Cut::Hang);
    REQUIRE(world.awaitLoss(At::Cut));
    REQUIRE(world.rig.runUntil(
            [&] { return world.control().subscriptions.at(NodeId { "g1" }).reachesNone; }));
    world.heal(At::Cut);
    REQUIRE(world.rig.runUntil([&] { return world.hasOnPage(At::Cut, "unreached_groups\"} 0"); }));
    const auto before = world.delivered(At::Cut);
    CHECK(world.countServed(At::Cut, requests) == requests);
    CHECK(world.delivered(At::Cut) > before);
    REQUIRE(world.rig.runUntil(
            [&] { return !world.control().subscriptions.at(NodeId { "g1" }).reachesNone; }));
}

TEST_CASE("If all gateways are cut off, each request is refused at once and runs nowhere")
{
    auto world = CutWorld {};
    world.cut(Cut::Hang, At::Cut);
    world.cut(Cut::Hang, At::Other);
    REQUIRE(world.awaitLoss(At::Cut));
    REQUIRE(world.awaitLoss(At::Other));
    for (const auto at : { At::Cut, At::Other }) {
        const auto begun = world.rig.clock.now();
        const auto answer = world.begin(at, "/once/");
        REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
        CHECK((*answer)->status == 503);
        CHECK(!http::findHeader((*answer)->headers, "X-Come-Back").empty());
        CHECK(http::findHeader((*answer)->headers, handoffOutcomeHeader).empty());
        CHECK(world.rig.clock.now() - begun < std::chrono::seconds { 1 });
        CHECK(world.arrivals(world.lastId()) == 0);
    }
}

TEST_CASE("A request that was handed over runs once, under its own ID and with its time left")
{
    auto world = CutWorld {};
    world.cut(Cut::Hang);
    REQUIRE(world.awaitLoss(At::Cut));
    for (auto i = 0; i < 8; ++i) {
        const auto answer = world.begin(At::Cut, "/once/");
        const auto id = world.lastId();
        REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
        CHECK((*answer)->status == 200);
        CHECK(http::findHeader((*answer)->headers, "X-Id") == id);
        CHECK(world.arrivals(id) == 1);
    }
    CHECK(!world.hasOnPage(At::Other, "figrack_gateway_taken_over_total 0"));
}

TEST_CASE("A request is not handed to a gateway outside its home regions")
{
    auto options = CutWorldOptions {};
    options.otherDomain = DomainId { "d3" };
    options.regions = { { DomainId { "d1" }, RegionId { "home" } },
                        { DomainId { "d2" }, RegionId { "home" } },
                        { DomainId { "d3" }, RegionId { "abroad" } } };
    options.homes = { RegionId { "home" } };
    auto world = CutWorld { options };
    world.cut(Cut::Hang);
    REQUIRE(world.awaitLoss(At::Cut));
    const auto answer = world.begin(At::Cut, "/once/");
    REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
    CHECK((*answer)->status == 503);
    CHECK(world.arrivals(world.lastId()) == 0);
    CHECK(world.hasOnPage(At::Other, "figrack_gateway_taken_over_total 0"));
}

// Guards against a promise that nobody has made, by way of another gateway.
TEST_CASE("A request that was handed over and ran is not answered 503 because its endpoint was")
{
    auto world = CutWorld {};
    world.cut(Cut::Hang);
    REQUIRE(world.awaitLoss(At::Cut));
    for (auto index = std::size_t { 0 }; index < std::size_t { endpointCount }; ++index) {
        world.endpoint(index).handler
                = [](const http::Request &request,
                     http::Responder &responder) -> boost::asio::awaitable<void> {
            auto response = http::Response {};
            response.status = 503;
            response.headers = { { "X-Id", std::string { request.header("X-Id") } } };
            static_cast<void>(co_await responder.send(std::move(response)));
        };
    }
    const auto got = world.begin(At::Cut, "/once/x");
    const auto id = world.lastId();
    REQUIRE(world.rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->status == 502);
    CHECK(world.arrivals(id) == 1);
}

TEST_CASE("Where one failure domain is cut off, the endpoints of the other one are used")
{
    auto world = CutWorld {};
    REQUIRE(world.countServed(At::Cut, requests) == requests);
    world.cut(Cut::Hang, At::Cut, "d1");
    REQUIRE(world.awaitLoss(At::Cut, 1));
    const auto before = world.delivered(At::Cut);
    CHECK(world.countServed(At::Cut, requests) == requests);
    CHECK(world.delivered(At::Cut) > before);
    CHECK(!world.control().subscriptions.at(NodeId { "g1" }).reachesNone);
    CHECK(world.hasOnPage(At::Cut, "handed_over\"} 0"));
}

TEST_CASE("If the caller leaves, a request that was handed over is cancelled at its endpoint")
{
    auto world = CutWorld {};
    world.cut(Cut::Hang);
    REQUIRE(world.awaitLoss(At::Cut));
    auto running = 0;
    auto cancelled = 0;
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        world.endpoint(i).handler
                = [&](const http::Request &,
                      http::Responder &responder) -> boost::asio::awaitable<void> {
            ++running;
            auto timer = BootTimer { world.rig.context, patience };
            responder.onPeerGone([&] { timer.cancel(); });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
            cancelled += responder.peerGone() ? 1 : 0;
        };
    }
    const auto answer = world.begin(At::Cut, "/once/");
    REQUIRE(world.rig.runUntil([&] { return running == 1; }));
    world.rig.caller.abortAll();
    CHECK(world.rig.runUntil([&] { return cancelled == 1; }));
}

TEST_CASE("A stream that may be resumed goes on through another gateway when its path is lost")
{
    auto world = CutWorld {};
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        world.endpoint(i).handler
                = [&](const http::Request &request,
                      http::Responder &responder) -> boost::asio::awaitable<void> {
            if (request.header("X-After") == "2") {
                co_await streaming(3, 5, true)(request, responder);
                co_return;
            }
            // The path is lost after two events, and the endpoint notices nothing.
            auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                           { "X-Id", std::string { request.header("X-Id") } } };
            static_cast<void>(co_await responder.startStream(200, std::move(headers)));
            auto text = std::string { "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" };
            static_cast<void>(co_await responder.write(std::move(text)));
            auto timer = BootTimer { world.rig.context, patience };
            responder.onPeerGone([&] { timer.cancel(); });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
        };
    }
    const auto answer = world.begin(At::Cut, "/resume/");
    REQUIRE(world.rig.runUntil([&] { return world.arrivals(world.lastId()) == 1; }));
    const auto cutAt = world.rig.clock.now() + std::chrono::milliseconds { 50 };
    world.rig.runUntil([&] { return world.rig.clock.now() >= cutAt; });
    world.cut(Cut::Hang);
    REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
    CHECK((*answer)->whole);
    CHECK((*answer)->body
          == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
             "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n");
}

TEST_CASE("A stream that goes on through another gateway is not joined from two software versions")
{
    auto options = CutWorldOptions {};
    options.softwareVersions = { "v1", "v2" };
    auto world = CutWorld { options };
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        const auto version = options.softwareVersions.at(i / 2);
        world.endpoint(i).handler
                = [&world, version](const http::Request &request,
                                    http::Responder &responder) -> boost::asio::awaitable<void> {
            auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                           { "X-Id", std::string { request.header("X-Id") } } };
            static_cast<void>(co_await responder.startStream(200, std::move(headers)));
            const auto isResumed = request.header("X-After") == "1";
            auto text = "id: " + std::string { isResumed ? "2" : "1" } + "\ndata: " + version
                    + "\n\n";
            static_cast<void>(co_await responder.write(std::move(text)));
            if (isResumed) {
                static_cast<void>(co_await responder.finish());
                co_return;
            }
            auto timer = BootTimer { world.rig.context, patience };
            responder.onPeerGone([&] { timer.cancel(); });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
        };
    }
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < 8; ++i) {
        answers.push_back(world.begin(At::Cut, "/resume/"));
        REQUIRE(world.rig.runUntil([&] { return world.arrivals(world.lastId()) == 1; }));
    }
    const auto cutAt = world.rig.clock.now() + std::chrono::milliseconds { 50 };
    world.rig.runUntil([&] { return world.rig.clock.now() >= cutAt; });
    world.cut(Cut::Hang);
    for (const auto &answer : answers) {
        REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
        CHECK((*answer)->whole);
        const auto &body = (*answer)->body;
        const auto isOneVersion = body == "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"
                || body == "id: 1\ndata: v2\n\nid: 2\ndata: v2\n\n";
        CHECK(isOneVersion);
    }
}

// The other gateway resumes the stream by itself, so that only that gateway sees where a run
// begins.
TEST_CASE("No event is left out where a stream is resumed at the gateway that has taken it over")
{
    auto options = CutWorldOptions {};
    options.maxAttempts = 4;
    auto world = CutWorld { options };
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        world.endpoint(i).handler
                = [&](const http::Request &request,
                      http::Responder &responder) -> boost::asio::awaitable<void> {
            const auto after = std::string { request.header("X-After") };
            if (!after.empty()) {
                const auto first = after == "2" ? 3 : std::stoi(after) + 2;
                co_await streaming(first, first, after != "2")(request, responder);
                co_return;
            }
            auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                           { "X-Id", std::string { request.header("X-Id") } } };
            static_cast<void>(co_await responder.startStream(200, std::move(headers)));
            auto text = std::string { "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" };
            static_cast<void>(co_await responder.write(std::move(text)));
            auto timer = BootTimer { world.rig.context, patience };
            responder.onPeerGone([&] { timer.cancel(); });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
        };
    }
    const auto answer = world.begin(At::Cut, "/resume/");
    const auto id = world.lastId();
    REQUIRE(world.rig.runUntil([&] { return world.arrivals(id) == 1; }));
    const auto cutAt = world.rig.clock.now() + std::chrono::milliseconds { 50 };
    world.rig.runUntil([&] { return world.rig.clock.now() >= cutAt; });
    world.cut(Cut::Hang);
    REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
    CHECK(world.arrivals(id) >= 3);
    CHECK_FALSE((*answer)->whole);
    CHECK((*answer)->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
}

TEST_CASE("An endpoint that is silent for a second is not avoided, and its request is not moved")
{
    auto world = CutWorld {};
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        world.endpoint(i).handler
                = [&](const http::Request &request,
                      http::Responder &responder) -> boost::asio::awaitable<void> {
            auto timer = BootTimer { world.rig.context, std::chrono::milliseconds { 1200 } };
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
            co_await answering("late")(request, responder);
        };
    }
    const auto answer = world.begin(At::Cut, "/idem/");
    REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
    CHECK((*answer)->status == 200);
    CHECK(world.arrivals(world.lastId()) == 1);
    CHECK(world.hasOnPage(At::Cut, "unreached_groups\"} 0"));
    CHECK(!world.hasOnPage(At::Cut, "path_changes_total{state=\"lost\"}"));
}

TEST_CASE("Work is not suspected when its connection and all new ones are refused")
{
    auto world = CutWorld {};
    auto running = 0;
    for (auto i = std::size_t { 0 }; i < endpointCount; ++i) {
        world.endpoint(i).handler
                = [&](const http::Request &,
                      http::Responder &responder) -> boost::asio::awaitable<void> {
            ++running;
            auto timer = BootTimer { world.rig.context, patience };
            responder.onPeerGone([&] { timer.cancel(); });
            auto code = boost::system::error_code {};
            co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
        };
    }
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < 6; ++i)
        answers.push_back(world.begin(At::Cut, "/once/"));
    REQUIRE(world.rig.runUntil([&] { return running == 6; }));
    world.cut(Cut::Reset);
    for (const auto &answer : answers) {
        REQUIRE(world.rig.runUntil([&] { return answer->has_value(); }));
        CHECK((*answer)->status == 502); // It may have run.
    }
    const auto until = world.rig.clock.now() + std::chrono::milliseconds { 1500 };
    world.rig.runUntil([&] { return world.rig.clock.now() >= until; });
    CHECK(world.hasOnPage(At::Cut, "what=\"suspects\"} 0"));
}

TEST_CASE("A handed request with another key's seal is declined, and not handled")
{
    auto rig = Rig {};
    auto handled = 0;
    const auto handle = [&](const http::Request &request, const proto::HandoffTerms &,
                            http::Responder &responder) {
        ++handled;
        return answering("one")(request, responder);
    };
    auto server = HandoffServer { rig.context,
                                  { {}, *proto::PeerKeys::fromText(std::string(64, 'b')) },
                                  handle };
    REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    for (const auto letter : { 'a', 'b' }) {
        const auto keys = proto::PeerKeys::fromText(std::string(64, letter));
        auto sealed = proto::sealHandoff({}, **keys);
        auto request = http::ClientRequest {};
        request.target = handoffPath;
        request.headers = { { std::string { handoffSealHeader }, sealed.seal } };
        request.body = sealed.bytes;
        const auto answer = rig.beginAt(server.port(), std::move(request));
        REQUIRE(rig.runUntil([&] { return answer->has_value(); }));
        const auto outcome = http::findHeader((*answer)->headers, handoffOutcomeHeader);
        CHECK(outcome == (letter == 'a' ? handoffDeclined : std::string_view {}));
    }
    CHECK(handled == 1);
    server.stop();
}
