// Endpoints that turn a request away and ask for rest.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// Requests that may still be on their way when an endpoint asks for rest.
constexpr auto onTheWay = std::size_t { 2 };

/// @return a handler that turns all away and asks for rest
auto resting(Duration rest) -> http::Handler
{
    return [rest](const http::Request &request,
                  http::Responder &responder) -> boost::asio::awaitable<void> {
        auto response = http::Response {};
        response.status = 503;
        response.headers = { { "X-Id", std::string { request.header("X-Id") } },
                             { "X-Not-Run", "1" },
                             { "X-Rest-Ms", std::to_string(rest / 1ms) } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

/// @return a request for the model "m0"
auto modelRequest(const std::string &id) -> http::ClientRequest
{
    auto request = Rig::request("/once/x", id);
    request.headers.push_back({ "X-Model", "m0" });
    return request;
}

auto comeBackOf(const Got &got) -> Duration
{
    const auto text = std::string { http::findHeader(got.headers, "X-Come-Back") };
    return text.empty() ? Duration {} : std::chrono::milliseconds { std::stoi(text) };
}

/// A balancer that advises the first candidate and holds all requests back but the first.
auto holdingLink(Duration hold) -> BalancerLink
{
    auto link = BalancerLink {};
    link.ask = [hold](const proto::PickRequest &request, Duration,
                      const BalancerLink::Done &done) -> std::optional<Address> {
        auto reply = proto::PickReply {};
        reply.endpoint = request.candidates.front();
        reply.holdMs = request.ticket == 1 ? 0 : static_cast<std::uint32_t>(hold / 1ms);
        done(reply);
        return Address { "127.0.0.1", 1 };
    };
    link.end = [](const Address &, const proto::PickEnd &) {};
    return link;
}

} // namespace

TEST_CASE("An endpoint that holds a model alone gets no request while it rests")
{
    constexpr auto rest = 60s;
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = resting(rest);
    const auto begun = rig.clock.now();
    for (auto i = 0; i < 12; ++i) {
        const auto got = rig.call(modelRequest(std::to_string(i)));
        CHECK(got.status == 503);
        CHECK(rig.clock.now() + comeBackOf(got) >= begun + rest - 1ms);
        CHECK(comeBackOf(got) <= rest + 1s);
        CHECK(rig.clock.now() < begun + rest); // No endpoint could load it: nothing is waited for.
    }
    CHECK(endpoint.seen.size() <= 1 + onTheWay);
}

TEST_CASE("Requests that were held back for an endpoint do not reach it once it rests")
{
    auto rig = Rig { {}, holdingLink(300ms) };
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = resting(60s);
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < 8; ++i)
        answers.push_back(rig.begin(modelRequest(std::to_string(i))));
    CHECK(rig.runUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &answer) { return answer->has_value(); });
    }));
    CHECK(endpoint.seen.size() <= 1 + onTheWay);
}

TEST_CASE("A request waits for the end of a rest that leaves it time enough")
{
    constexpr auto rest = 400ms;
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    auto arrivals = std::vector<Instant> {};
    endpoint.handler = [&](const http::Request &request,
                           http::Responder &responder) -> boost::asio::awaitable<void> {
        arrivals.push_back(rig.clock.now());
        const auto handler = arrivals.size() == 1 ? resting(rest) : answering("ok");
        co_await handler(request, responder);
    };
    CHECK(rig.call(modelRequest("r1")).status == 200);
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[1] - arrivals[0] >= rest);
}

TEST_CASE("Without a model too, and when all endpoints rest the first to end is waited for")
{
    auto rig = Rig {};
    auto &longer = rig.addEndpoint("i-1");
    auto &shorter = rig.addEndpoint("i-2");
    longer.handler = resting(60s);
    shorter.handler = resting(30s);
    for (auto i = 0; i < 12; ++i) {
        const auto got = rig.call(Rig::request("/once/x", std::to_string(i)));
        CHECK(got.status == 503);
        if (i > 2)
            CHECK(comeBackOf(got) <= 31s);
    }
    CHECK(longer.seen.size() + shorter.seen.size() <= 2 * (1 + onTheWay));
}

TEST_CASE("A rest is not shortened, and is over with the incarnation that asked for it")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto first = EndpointId { "i-1", Incarnation { 1 } };
    const auto second = EndpointId { "i-1", Incarnation { 2 } };
    const auto ask = [&](Duration rest) {
        auto notice = catalogue::EndpointNotice {};
        notice.notRun = true;
        notice.rest = rest;
        view.onNotice(first, notice, clock.now());
    };
    announce(view, first);
    ask(10s);
    clock.advance(1s);
    ask(2s);
    view.onSuccess(first);
    clock.advance(8s);
    CHECK_FALSE(view.maySend(first));
    CHECK(view.unreachable().size() == 1); // Its models are loaded elsewhere when they are wanted.
    clock.advance(1s);
    CHECK(view.maySend(first));
    CHECK(view.unreachable().empty());
    ask(10s);
    announce(view, second);
    CHECK(view.maySend(second));
}
