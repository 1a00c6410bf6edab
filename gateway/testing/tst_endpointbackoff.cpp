// Endpoints that reject a request and ask for a backoff.

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

/// Requests that may still be in transit when an endpoint asks for a backoff.
constexpr auto onTheWay = std::size_t { 2 };

/// @return a handler that rejects all requests and asks for a backoff
auto backingOff(Duration backoff) -> http::Handler
{
    return [backoff](const http::Request &request,
                     http::Responder &responder) -> boost::asio::awaitable<void> {
        auto response = http::Response {};
        response.status = 503;
        response.headers = { { "X-Id", std::string { request.header("X-Id") } },
                             { "X-Not-Run", "1" },
                             { "X-Backoff-Ms", std::to_string(backoff / 1ms) } };
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

/// A balancer that picks the first candidate and delays all requests except the first.
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

TEST_CASE("The only endpoint that holds a model gets no request during its backoff")
{
    constexpr auto backoff = 60s;
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = backingOff(backoff);
    const auto begun = rig.clock.now();
    for (auto i = 0; i < 12; ++i) {
        const auto got = rig.call(modelRequest(std::to_string(i)));
        CHECK(got.status == 503);
        CHECK(rig.clock.now() + comeBackOf(got) >= begun + backoff - 1ms);
        CHECK(comeBackOf(got) <= backoff + 1s);
        // The request does not wait, since no endpoint could load the model.
        CHECK(rig.clock.now() < begun + backoff);
    }
    CHECK(endpoint.seen.size() <= 1 + onTheWay);
}

TEST_CASE("Delayed requests do not reach an endpoint that asks for a backoff")
{
    auto rig = Rig { {}, holdingLink(300ms) };
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = backingOff(60s);
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < 8; ++i)
        answers.push_back(rig.begin(modelRequest(std::to_string(i))));
    CHECK(rig.runUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &answer) { return answer->has_value(); });
    }));
    CHECK(endpoint.seen.size() <= 1 + onTheWay);
}

TEST_CASE("A request refused during a long backoff is told to retry when a load elsewhere may be "
          "done")
{
    auto catalogue = *testCatalogue(true);
    catalogue.services.front().engine->models.front().loadFromStore = Duration::zero();
    auto rig = Rig {};
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    rig.addEndpoint("i-1", { "m0" }).handler = backingOff(24h);
    rig.addEndpoint("i-2").handler = answering("ok"); // It could load the model but never does.
    const auto got = rig.call(modelRequest("r1"));
    CHECK(got.status == 503);
    CHECK(comeBackOf(got) <= 10s);
}

TEST_CASE("A request waits for the end of a backoff if it has enough time left")
{
    constexpr auto backoff = 400ms;
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    auto arrivals = std::vector<Instant> {};
    endpoint.handler = [&](const http::Request &request,
                           http::Responder &responder) -> boost::asio::awaitable<void> {
        arrivals.push_back(rig.clock.now());
        const auto handler = arrivals.size() == 1 ? backingOff(backoff) : answering("ok");
        co_await handler(request, responder);
    };
    CHECK(rig.call(modelRequest("r1")).status == 200);
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[1] - arrivals[0] >= backoff);
}

TEST_CASE("Requests without a model wait too, and if all endpoints are in backoff, for the "
          "earliest end")
{
    auto rig = Rig {};
    auto &longer = rig.addEndpoint("i-1");
    auto &shorter = rig.addEndpoint("i-2");
    longer.handler = backingOff(60s);
    shorter.handler = backingOff(30s);
    for (auto i = 0; i < 12; ++i) {
        const auto got = rig.call(Rig::request("/once/x", std::to_string(i)));
        CHECK(got.status == 503);
        if (i > 2)
            CHECK(comeBackOf(got) <= 31s);
    }
    CHECK(longer.seen.size() + shorter.seen.size() <= 2 * (1 + onTheWay));
}

TEST_CASE("A backoff is not shortened, and ends with the incarnation that asked for it")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto first = EndpointId { "i-1", Incarnation { 1 } };
    const auto second = EndpointId { "i-1", Incarnation { 2 } };
    const auto ask = [&](Duration backoff) {
        auto notice = catalogue::EndpointNotice {};
        notice.notRun = true;
        notice.backoff = backoff;
        view.onNotice(first, notice, clock.now());
    };
    announce(view, first);
    ask(10s);
    clock.advance(1s);
    ask(2s);
    view.onSuccess(first);
    clock.advance(8s);
    CHECK_FALSE(view.maySend(first));
    CHECK(view.unreachable().size() == 1); // Its models are loaded elsewhere on demand.
    clock.advance(1s);
    CHECK(view.maySend(first));
    CHECK(view.unreachable().empty());
    ask(10s);
    announce(view, second);
    CHECK(view.maySend(second));
}
