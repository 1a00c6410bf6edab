// Requests that wait at a balancer for a place: what callers, endpoints and the balancer get.
//
// The balancer is a small fake; fleet/testing tests the queue itself.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

const auto first = Address { "127.0.0.1", 1 };
const auto second = Address { "127.0.0.1", 2 };

auto placeAt(const std::string &endpoint) -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.endpoint = EndpointId { endpoint };
    return reply;
}

auto queuedReply() -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.isQueued = true;
    reply.startMs = 200;
    return reply;
}

auto noRoom(std::uint32_t comeBackMs) -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.comeBackMs = comeBackMs;
    reply.refusal = proto::PickRefusal::NoRoom;
    return reply;
}

/// A balancer that records what it is told and answers as the test specifies.
struct FakeBalancer
{
    auto link() -> BalancerLink
    {
        auto link = BalancerLink {};
        link.ask = [this](const proto::PickRequest &request, Duration,
                          const BalancerLink::Done &done) -> std::optional<Address> {
            asked.push_back(request);
            done(answer ? answer(request) : std::nullopt);
            return address;
        };
        link.tell = [this](const proto::PickRequest &request) -> std::optional<Address> {
            told.push_back(request);
            return address;
        };
        link.end = [this](const Address &balancer, const proto::PickEnd &end) {
            ended.emplace_back(balancer, end.ticket);
            if (onEnd)
                onEnd(end);
        };
        return link;
    }
    /// Answers all requests from now on in the same way.
    auto always(std::optional<proto::PickReply> reply) -> void
    {
        answer = [reply = std::move(reply)](const auto &) { return reply; };
    }

    Address address = first;
    std::function<std::optional<proto::PickReply>(const proto::PickRequest &)> answer;
    std::function<void(const proto::PickEnd &)> onEnd;
    std::vector<proto::PickRequest> asked;
    std::vector<proto::PickRequest> told;
    std::vector<std::pair<Address, std::uint64_t>> ended;
};

struct World
{
    explicit World(bool isEngine = true)
        : World(orderedCatalogue(isEngine))
    { }
    explicit World(catalogue::Catalogue catalogue)
    {
        rig.forwarder.setCatalogue(
                std::make_shared<const catalogue::Catalogue>(std::move(catalogue)));
        balancer.always(queuedReply());
    }
    /// Sends a request and runs until the balancer has been asked.
    auto beginQueued(const std::string &path = "/once/1") -> void
    {
        const auto before = balancer.asked.size();
        got = rig.begin(request(path));
        REQUIRE(rig.runUntil([&] { return balancer.asked.size() == before + 1; }));
    }
    auto finish() -> Got
    {
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        return **got;
    }
    auto grant(const Address &from, std::uint64_t ticket, const proto::PickReply &reply) -> void
    {
        rig.picker.waits().onGrant(from, { ticket, reply });
    }
    auto request(const std::string &path) -> http::ClientRequest
    {
        auto request = Rig::request(path, "id-" + std::to_string(++number));
        request.headers.push_back({ "X-Model", "m0" });
        request.headers.push_back({ "X-Key", "k-a" });
        return request;
    }

    FakeBalancer balancer;
    Rig rig { {}, balancer.link() };
    std::shared_ptr<std::optional<Got>> got;
    int number = 0;
};

using Ended = std::vector<std::pair<Address, std::uint64_t>>;

} // namespace

TEST_CASE("A queued request waits for its grant, asks only once, and goes to the granted endpoint")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.rig.addEndpoint("i-2", { "m0" }).handler = answering("two");
    world.beginQueued("/e1/1");
    const auto &asked = world.balancer.asked.front();
    CHECK(asked.isOrdered);
    CHECK(asked.startWithinMs > 0);
    CHECK(asked.startWithinMs + asked.waitedMs <= 8000);
    CHECK(asked.rank == 1);
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    // It is demand for its model from now on, but no model has to be loaded for it.
    const auto rows = world.rig.demand.take().rows;
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].arrived == 1);
    CHECK(rows[0].waiting == 0);
    world.grant(first, 1, placeAt("i-2"));
    CHECK(world.finish().body == "two");
    CHECK(world.balancer.asked.size() == 1);
    CHECK(world.balancer.ended == Ended { { first, 1 } });
}

TEST_CASE("A grant that is handled before the request has seen that it is queued is not lost")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.balancer.answer = [&](const proto::PickRequest &request) {
        world.grant(first, request.ticket, placeAt("i-1"));
        return queuedReply();
    };
    CHECK(world.rig.call(world.request("/once/1")).body == "one");
    CHECK(world.balancer.asked.size() == 1);
    CHECK(world.balancer.ended == Ended { { first, 1 } });
}

TEST_CASE("Where the configuration does not ask for ordered admission, picks are sent as before")
{
    auto world = World { *testCatalogue(false) };
    world.rig.addEndpoint("i-1").handler = answering("one");
    CHECK(world.rig.call(Rig::request("/once/1", "id-1")).status == 200);
    // A single candidate of a plain service is only reported.
    CHECK(world.balancer.asked.empty());
    REQUIRE(world.balancer.told.size() == 1);
    CHECK_FALSE(world.balancer.told[0].isOrdered);
    CHECK(world.balancer.told[0].startWithinMs == 0);
    CHECK(world.balancer.told[0].places == 0);
    // A reply that queues such a request is no answer to it.
    world.rig.addEndpoint("i-2").handler = answering("two");
    CHECK(world.rig.call(world.request("/once/1")).status == 200);
    CHECK_FALSE(world.balancer.asked.at(0).isOrdered);
}

TEST_CASE("A request names its account, its cost and the account's limit, once it is ordered")
{
    auto catalogue = orderedCatalogue(true);
    auto account = catalogue::Account {};
    account.id = AccountId { "a" };
    account.keys = { catalogue::digestOfKey("k-a") };
    account.unit = catalogue::CostUnit::Tokens;
    account.plainCost = 200;
    account.limit = { 1000, 1000 };
    catalogue.accounts = { account };
    auto world = World { catalogue };
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.beginQueued();
    const auto asked = world.balancer.asked[0];
    CHECK(asked.account == AccountId { "a" });
    CHECK(asked.cost == 200);
    CHECK(asked.accountPerSecond == 1000);
    REQUIRE(asked.charge);
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    SUBCASE("The next balancer counts the charge if the former one gives it back")
    {
        world.balancer.address = second;
        world.rig.picker.waits().onBalancer(second);
        REQUIRE(world.rig.runUntil([&] { return world.balancer.asked.size() == 2; }));
        CHECK(world.balancer.asked[1].charge);
    }
    SUBCASE("The next balancer does not count the charge again if the former one keeps it")
    {
        world.balancer.address = second;
        world.rig.picker.waits().onClosed(first);
        REQUIRE(world.rig.runUntil([&] { return world.balancer.asked.size() == 2; }));
        CHECK_FALSE(world.balancer.asked[1].charge);
        CHECK(world.balancer.asked[1].account == AccountId { "a" });
    }
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    world.grant(second, world.balancer.asked[1].ticket, placeAt("i-1"));
    CHECK(world.finish().status == 200);
}

TEST_CASE("A plain service's endpoint is asked for even if it is the only one, with its slots")
{
    auto world = World { false };
    auto slots = std::vector<std::uint32_t> { 6 };
    SUBCASE("one candidate") { }
    SUBCASE("several candidates")
    {
        slots = { 8, 6, 0 }; // The last one did not announce any.
    }
    for (std::size_t i = 0; i < slots.size(); ++i) {
        auto &endpoint = world.rig.addEndpoint("i-" + std::to_string(i));
        endpoint.handler = answering("one");
        auto row = world.rig.view.find(endpoint.id)->row;
        row.sequence = 2;
        row.slots = slots[i];
        auto update = proto::ServingUpdate {};
        update.endpoints = { row };
        world.rig.view.apply(update);
    }
    world.beginQueued();
    CHECK(world.balancer.told.empty());
    CHECK(world.balancer.asked[0].model == 0);
    CHECK(world.balancer.asked[0].isOrdered);
    CHECK(world.balancer.asked[0].places == 6);
    world.grant(first, 1, placeAt("i-0"));
    CHECK(world.finish().status == 200);
}

TEST_CASE("If the balancer is lost, a queued request asks the next one and keeps its arrival time")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.beginQueued();
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    const auto before = world.rig.clock.now();
    REQUIRE(world.rig.runUntil([&] { return world.rig.clock.now() > before + 2ms; }));
    world.balancer.address = second;
    SUBCASE("its connection closed")
    {
        world.rig.picker.waits().onClosed(first);
    }
    SUBCASE("another control balances")
    {
        world.rig.picker.waits().onBalancer(second);
    }
    REQUIRE(world.rig.runUntil([&] { return world.balancer.asked.size() == 2; }));
    CHECK(world.balancer.ended == Ended { { first, 1 } });
    const auto &asked = world.balancer.asked;
    CHECK(asked[1].waitedMs > asked[0].waitedMs);
    CHECK(asked[1].startWithinMs < asked[0].startWithinMs);
    // The former balancer resumes and grants the place late.
    world.grant(first, 1, placeAt("i-1"));
    CHECK(world.balancer.ended == Ended { { first, 1 }, { first, 1 } });
    CHECK_FALSE(world.got->has_value());
    world.grant(second, asked[1].ticket, placeAt("i-1"));
    CHECK(world.finish().status == 200);
}

TEST_CASE("Without an answer in time, the gateway chooses by itself, also for an ordered request")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.balancer.always(std::nullopt);
    CHECK(world.rig.call(world.request("/once/1")).body == "one");
    CHECK(world.balancer.asked.size() == 1);
}

TEST_CASE("If the balancer is lost and none is left, queued requests are placed by the gateway")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.beginQueued();
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    world.balancer.always(std::nullopt);
    world.rig.picker.waits().onBalancer(std::nullopt);
    CHECK(world.finish().body == "one");
}

TEST_CASE("A caller that leaves ends its wait, and the request reaches no endpoint")
{
    auto world = World {};
    auto &endpoint = world.rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("one");
    {
        asio::ip::tcp::socket caller { world.rig.context };
        caller.connect({ asio::ip::make_address("127.0.0.1"), world.rig.port() });
        const auto text = std::string { "GET /once/1 HTTP/1.1\r\nHost: t\r\nX-Id: id-1\r\n"
                                        "X-Model: m0\r\n\r\n" };
        asio::write(caller, asio::buffer(text));
        REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    }
    REQUIRE(world.rig.runUntil([&] { return world.balancer.ended.size() == 1; }));
    CHECK(world.balancer.ended == Ended { { first, 1 } });
    CHECK(world.balancer.asked.size() == 1);
    CHECK(endpoint.seen.empty());
    // A grant that was on its way is returned.
    world.grant(first, 1, placeAt("i-1"));
    CHECK(world.balancer.ended.size() == 2);
}

TEST_CASE(
        "A granted endpoint that may not be used any more is returned, and the request asks again")
{
    auto world = World {};
    auto &leaving = world.rig.addEndpoint("i-1", { "m0" });
    leaving.handler = answering("one");
    world.rig.addEndpoint("i-2", { "m0" }).handler = answering("two");
    world.beginQueued();
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    SUBCASE("it left")
    {
        world.rig.tell("i-1", leaving.port, 2, catalogue::EndpointState::Draining, { "m0" });
    }
    SUBCASE("it asked for a backoff")
    {
        auto notice = catalogue::EndpointNotice {};
        notice.backoff = 10s;
        world.rig.view.onNotice(leaving.id, notice, world.rig.clock.now());
    }
    SUBCASE("it gave the model up")
    {
        world.rig.tell("i-1", leaving.port, 2, catalogue::EndpointState::Ready);
    }
    world.grant(first, 1, placeAt("i-1"));
    REQUIRE(world.rig.runUntil([&] { return world.balancer.asked.size() == 2; }));
    CHECK(world.balancer.ended == Ended { { first, 1 } });
    CHECK(world.balancer.asked[1].candidates == std::vector { EndpointId { "i-2" } });
    world.grant(first, world.balancer.asked[1].ticket, placeAt("i-2"));
    CHECK(world.finish().body == "two");
    CHECK(leaving.seen.empty());
}

TEST_CASE("A queued request asks again if its endpoints have changed")
{
    auto world = World {};
    auto &leaving = world.rig.addEndpoint("i-1", { "m0" });
    leaving.handler = answering("one");
    world.beginQueued();
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    SUBCASE("another one holds the model now")
    {
        world.rig.addEndpoint("i-2", { "m0" }).handler = answering("two");
    }
    SUBCASE("the only one left, and another one holds the model")
    {
        world.rig.tell("i-1", leaving.port, 2, catalogue::EndpointState::Draining, { "m0" });
        world.rig.addEndpoint("i-2", { "m0" }).handler = answering("two");
    }
    REQUIRE(world.rig.runUntil([&] { return world.balancer.asked.size() == 2; }));
    CHECK(world.balancer.ended == Ended { { first, 1 } });
    world.grant(first, world.balancer.asked[1].ticket, placeAt("i-2"));
    CHECK(world.finish().body == "two");
}

TEST_CASE("A refusal is passed on at once with its retry time, and no place is asked for again")
{
    auto world = World {};
    auto &endpoint = world.rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("one");
    SUBCASE("of the pick")
    {
        world.balancer.always(noRoom(1700));
        world.beginQueued();
    }
    SUBCASE("of a queued request")
    {
        world.beginQueued();
        world.grant(first, 1, noRoom(1700));
    }
    const auto got = world.finish();
    CHECK(got.status == 503);
    CHECK(http::findHeader(got.headers, "X-Come-Back") == "1700");
    CHECK(world.balancer.asked.size() == 1);
    CHECK(endpoint.seen.empty());
    CHECK(world.rig.demand.take().rows.at(0).refused == 1);
}

TEST_CASE("A queued request without a grant is refused after its latest start, and ends its ticket")
{
    auto catalogue = orderedCatalogue(true);
    for (auto &route : catalogue.routes) {
        if (route.name == "once")
            route.startTarget = 30ms;
    }
    auto world = World { catalogue };
    auto &endpoint = world.rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("one");
    const auto got = world.rig.call(world.request("/once/1"));
    CHECK(got.status == 503);
    CHECK(world.balancer.asked.size() == 1);
    CHECK(world.balancer.ended == Ended { { first, 1 } });
    CHECK(endpoint.seen.empty());
}

TEST_CASE("A planned stop refuses a queued request that cannot be placed by then")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = answering("one");
    world.beginQueued();
    REQUIRE(world.rig.runUntil([&] { return world.rig.picker.waits().queued() == 1; }));
    world.rig.forwarder.setStopTime(world.rig.clock.now());
    CHECK(world.finish().status == 503);
    CHECK(world.balancer.ended == Ended { { first, 1 } });
}

TEST_CASE("Work that is quarantined while its request is queued does not run")
{
    auto world = World {};
    auto &endpoint = world.rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("one");
    world.beginQueued();
    const auto works = world.balancer.asked[0].works;
    const auto now = policy::millisOf(world.rig.clock.now());
    for (const auto *id : { "i-7", "i-8", "i-9" })
        world.rig.quarantine.onEnd(works, 1, EndpointId { id }, now);
    REQUIRE(world.rig.quarantine.verdict(works, now).standing == policy::Standing::Quarantined);
    world.grant(first, 1, placeAt("i-1"));
    CHECK(world.finish().status == 503);
    CHECK(endpoint.seen.empty());
    CHECK(world.balancer.ended == Ended { { first, 1 } });
}

TEST_CASE("A granted request that its endpoint rejects as not run is sent to another endpoint")
{
    auto world = World {};
    world.rig.addEndpoint("i-1", { "m0" }).handler = rejecting(503);
    world.rig.addEndpoint("i-2", { "m0" }).handler = answering("two");
    world.beginQueued();
    world.balancer.always(placeAt("i-2"));
    world.grant(first, 1, placeAt("i-1"));
    CHECK(world.finish().body == "two");
    CHECK(world.balancer.asked.at(1).hasBegun);
    CHECK(world.balancer.ended == Ended { { first, 1 }, { first, 2 } });
}

TEST_CASE("Under load, no more requests are sent than were granted, and each gets its own answer")
{
    constexpr auto callers = 80;
    constexpr auto places = std::size_t { 4 };
    auto world = World { false };
    auto running = std::size_t { 0 };
    auto most = std::size_t { 0 };
    auto &endpoint = world.rig.addEndpoint("i-1");
    endpoint.handler = [&](const http::Request &request,
                           http::Responder &responder) -> asio::awaitable<void> {
        most = std::max(most, ++running);
        auto timer = asio::steady_timer { world.rig.context, 3ms };
        auto code = boost::system::error_code {};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        --running;
        auto response = http::Response {};
        response.headers = { { "X-Id", std::string { request.header("X-Id") } } };
        response.body = request.header("X-Id");
        static_cast<void>(co_await responder.send(std::move(response)));
    };
    auto booked = std::size_t { 0 };
    auto queue = std::deque<std::uint64_t> {};
    world.balancer.answer = [&](const proto::PickRequest &request) {
        if (booked < places) {
            ++booked;
            return placeAt("i-1");
        }
        queue.push_back(request.ticket);
        return queuedReply();
    };
    world.balancer.onEnd = [&](const proto::PickEnd &) {
        if (queue.empty()) {
            --booked;
            return;
        }
        const auto ticket = queue.front();
        queue.pop_front();
        world.grant(first, ticket, placeAt("i-1"));
    };
    auto all = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < callers; ++i)
        all.push_back(world.rig.begin(world.request("/once/1")));
    CHECK(world.rig.runUntil([&] {
        return std::all_of(all.begin(), all.end(),
                           [](const auto &got) { return got->has_value(); });
    }));
    for (auto i = 0; i < callers; ++i) {
        REQUIRE(all[i]->has_value());
        CHECK((*all[i])->body == "id-" + std::to_string(i + 1));
    }
    CHECK(most <= places);
    CHECK(world.balancer.asked.size() == callers);
    CHECK(world.balancer.ended.size() == callers);
    CHECK(booked == 0);
}
