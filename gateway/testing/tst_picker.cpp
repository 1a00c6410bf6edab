// Picks with and without a balancer, and how the forwarder uses them.

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// A fake balancer that records what it is told and answers as the test specifies.
struct FakeBalancer
{
    auto link() -> BalancerLink
    {
        auto link = BalancerLink {};
        link.ask = [this](proto::PickRequest request, Duration,
                          const BalancerLink::Done &done) -> std::optional<Address> {
            asked.push_back(std::move(request));
            if (!isConnected)
                return std::nullopt;
            if (onAsk)
                onAsk();
            done(advice);
            return address;
        };
        link.tell = [this](proto::PickRequest request) -> std::optional<Address> {
            told.push_back(std::move(request));
            return isConnected ? std::optional { address } : std::nullopt;
        };
        link.end = [this](const Address &, proto::PickEnd end) {
            ended.push_back(end.ticket);
            outcomes.push_back(end.outcome);
        };
        return link;
    }

    Address address { "127.0.0.1", 1 };
    bool isConnected = true;
    std::optional<proto::PickReply> advice; ///< Empty if it does not answer in time.
    std::function<void()> onAsk;
    std::vector<proto::PickRequest> asked;
    std::vector<proto::PickRequest> told;
    std::vector<std::uint64_t> ended;
    std::vector<proto::PickOutcome> outcomes;
};

} // namespace

TEST_CASE("The endpoint picked by the balancer is used, and its booking ends with the request")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("one");
    rig.addEndpoint("i-2").handler = answering("two");
    balancer.advice = proto::PickReply { EndpointId { "i-2" }, 0, 0, 0, {} };
    for (auto i = 0; i < 4; ++i)
        CHECK(rig.call(Rig::request("/once/1", "id-" + std::to_string(i))).body == "two");
    CHECK(balancer.asked.size() == 4);
    CHECK(balancer.asked.front().candidates.size() == 2);
    CHECK(balancer.ended == std::vector<std::uint64_t> { 1, 2, 3, 4 });
}

TEST_CASE("Without an answer from a balancer, the gateway chooses by itself")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("ok");
    rig.addEndpoint("i-2").handler = answering("ok");
    CHECK(rig.call(Rig::request("/once/1", "id-1")).status == 200);
    balancer.isConnected = false;
    CHECK(rig.call(Rig::request("/once/1", "id-2")).status == 200);
    CHECK(balancer.asked.size() == 2);
}

TEST_CASE("Advice that names none of the candidates is ignored")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("ok");
    rig.addEndpoint("i-2").handler = answering("ok");
    for (const auto *wrong : { "", "i-unknown" }) {
        balancer.advice = proto::PickReply { EndpointId { wrong }, 0, 0, 0, {} };
        CHECK(rig.call(Rig::request("/once/1", std::string { "id-" } + wrong)).status == 200);
    }
    CHECK(balancer.asked.size() == 2);
}

TEST_CASE("With a single candidate, the balancer is notified and not asked")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("ok");
    CHECK(rig.call(Rig::request("/once/1", "id-1")).status == 200);
    CHECK(balancer.asked.empty());
    CHECK(balancer.told.size() == 1);
    CHECK(balancer.ended.size() == 1);
}

TEST_CASE("An endpoint that leaves while the balancer is being asked gets no request")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("one");
    auto &leaving = rig.addEndpoint("i-2");
    leaving.handler = answering("two");
    balancer.advice = proto::PickReply { EndpointId { "i-2" }, 0, 0, 0, {} };
    balancer.onAsk = [&] { rig.tell("i-2", leaving.port, 2, catalogue::EndpointState::Draining); };
    CHECK(rig.call(Rig::request("/once/1", "id-1")).body == "one");
    CHECK(leaving.seen.empty());
    // The booking at the endpoint that left has ended as well.
    CHECK(balancer.ended.size() == 2);
}

TEST_CASE("A request is delayed for as long as the balancer asks, up to the limit of the gateway")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    rig.addEndpoint("i-2").handler = answering("ok");
    balancer.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 60, {} };
    auto begun = rig.clock.now();
    CHECK(rig.call(Rig::request("/once/1", "id-1")).status == 200);
    CHECK(rig.clock.now() - begun >= std::chrono::milliseconds { 60 });
    balancer.advice->holdMs = 3'600'000;
    begun = rig.clock.now();
    CHECK(rig.call(Rig::request("/once/1", "id-2")).status == 200);
    CHECK(rig.clock.now() - begun < std::chrono::seconds { 5 }); // It has 10 s.
    CHECK(endpoint.seen.size() == 2);
}

TEST_CASE("A caller that leaves while its request is delayed ends the request immediately")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link(), { .longestHold = std::chrono::hours { 1 } } };
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    rig.addEndpoint("i-2").handler = answering("ok");
    balancer.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 3'600'000, {} };
    {
        boost::asio::ip::tcp::socket caller { rig.context };
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), rig.port() });
        const auto text = std::string { "GET /once/1 HTTP/1.1\r\nHost: t\r\nX-Id: id-1\r\n\r\n" };
        boost::asio::write(caller, boost::asio::buffer(text));
        CHECK(rig.runUntil([&] { return balancer.asked.size() == 1; }));
    }
    const auto left = rig.clock.now();
    CHECK(rig.runUntil([&] { return balancer.ended.size() == 1; }));
    CHECK(rig.clock.now() - left < std::chrono::seconds { 5 }); // It had 10 s.
    CHECK(endpoint.seen.empty());
}

TEST_CASE("A retry is picked again, without the endpoint that failed")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    rig.addEndpoint("i-1").handler = answering("ok");
    rig.addEndpoint("i-2").handler = breaking();
    balancer.advice = proto::PickReply { EndpointId { "i-2" }, 0, 0, 0, {} };
    CHECK(rig.call(Rig::request("/idem/1", "id-1")).body == "ok");
    REQUIRE(balancer.told.size() == 1);
    CHECK(balancer.told.front().candidates == std::vector { EndpointId { "i-1" } });
    CHECK(balancer.ended.size() == 2);
}

TEST_CASE("The load that a request puts on an endpoint is computed from its prompt parts")
{
    auto request = CallerRequest {};
    request.model = ModelId { "m" };
    request.promptTokens = 1460;
    request.outputTokens = 80;
    request.prompt = { { 1, 800 }, { 2, 410 }, { 3, 250 } };
    const auto terms = pickTerms(ServiceId { "s" }, request, std::chrono::seconds { 1 });
    REQUIRE(terms.shared.size() == 2);
    CHECK(terms.shared[0].tokens == 800);
    CHECK(terms.shared[1].tokens == 410);
    CHECK(terms.ownTokens == 250);
    CHECK(terms.outputTokens == 80);
    // Cached prompts are specific to a model and adapter.
    request.adapter = "a1";
    CHECK(pickTerms(ServiceId { "s" }, request, std::chrono::seconds { 1 }).shared[0].key
          != terms.shared[0].key);
}

TEST_CASE("The number of candidates sent is limited, and includes the gateway's own choice")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    for (auto i = 0; i < 40; ++i)
        rig.addEndpoint("i-" + std::to_string(i)).handler = answering("ok");
    CHECK(rig.call(Rig::request("/once/1", "id-1")).status == 200);
    REQUIRE(balancer.asked.size() == 1);
    CHECK(balancer.asked.front().candidates.size() == PickerOptions {}.maxCandidates);
}

TEST_CASE(
        "If no endpoint has room, a request is refused immediately with the balancer's retry time")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    auto catalogue = *testCatalogue(true);
    for (auto &route : catalogue.routes)
        route.startTarget = 100ms;
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("ok");
    balancer.advice = proto::PickReply { {}, 0, 0, 0, {}, 1700 };
    auto request = Rig::request("/once/1", "id-1");
    request.headers.push_back({ "X-Model", "m0" });
    const auto got = rig.call(request);
    CHECK(got.status == 503);
    CHECK(http::findHeader(got.headers, "X-Come-Back") == "1700");
    CHECK(endpoint.seen.empty());
    CHECK(rig.waiters.size() == 0);
    // The leader is informed that there are too few replicas.
    const auto rows = rig.demand.take().rows;
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].refused == 1);
}

TEST_CASE("Suspected work that may not run now is refused with that reason, and is no demand for "
          "its model")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    auto catalogue = *testCatalogue(true);
    for (auto &route : catalogue.routes)
        route.startTarget = 100ms;
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("ok");
    balancer.advice = proto::PickReply { {}, 0, 0, 0, {}, 500, proto::PickRefusal::Suspect };
    auto request = Rig::request("/once/1", "id-1");
    request.headers.push_back({ "X-Model", "m0" });
    const auto got = rig.call(request);
    CHECK(got.status == 503);
    CHECK(http::findHeader(got.headers, "X-Come-Back") == "500");
    CHECK(endpoint.seen.empty());
    for (const auto &row : rig.demand.take().rows)
        CHECK(row.refused == 0);
    REQUIRE_FALSE(balancer.asked.empty());
    CHECK_FALSE(balancer.asked[0].works.ofAnyone.isNone());
}

TEST_CASE("A request that can still start in time waits for a place and gets it")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    auto catalogue = *testCatalogue(true);
    for (auto &route : catalogue.routes)
        route.startTarget = 8s;
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    rig.addEndpoint("i-1", { "m0" }).handler = answering("ok");
    balancer.advice = proto::PickReply { {}, 0, 0, 0, {}, 1700 };
    auto request = Rig::request("/once/1", "id-1");
    request.headers.push_back({ "X-Model", "m0" });
    const auto got = rig.begin(request);
    REQUIRE(rig.runUntil([&] { return balancer.asked.size() == 2; }));
    CHECK(rig.demand.take().rows.at(0).waiting == 0); // No model needs to be loaded.
    balancer.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 0, {}, 0 };
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->status == 200);
}

TEST_CASE("The balancer is told whether a stream began in time")
{
    auto balancer = FakeBalancer {};
    auto rig = Rig { {}, balancer.link() };
    auto catalogue = *testCatalogue(true);
    auto expected = proto::PickOutcome::OnTime;
    SUBCASE("it began in time")
    {
        for (auto &route : catalogue.routes)
            route.startTarget = 10s;
    }
    SUBCASE("it began late")
    {
        for (auto &route : catalogue.routes)
            route.startTarget = 0s;
        expected = proto::PickOutcome::Late;
    }
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    rig.addEndpoint("i-1", { "m0" }).handler = streaming(1, 3, true);
    balancer.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 0, {}, 0 };
    auto request = Rig::request("/stream/1", "id-1");
    request.headers.push_back({ "X-Model", "m0" });
    CHECK(rig.call(request).status == 200);
    REQUIRE(balancer.outcomes.size() == 1);
    CHECK(balancer.outcomes[0] == expected);
    CHECK(rig.demand.take().rows.at(0).late == (expected == proto::PickOutcome::Late ? 1 : 0));
}
