// How the forwarder handles requests, over loopback sockets.

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <functional>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
using catalogue::EndpointState;

TEST_CASE("An answer is relayed unchanged, and identifies its request")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("plaque");
    const auto got = rig.call(Rig::request("/once/a%20b?x=%7e", "r1"));
    CHECK(got.status == 200);
    CHECK(got.body == "plaque");
    REQUIRE(endpoint.seen.size() == 1);
    CHECK(endpoint.seen[0].target == "/once/a%20b?x=%7e");
    CHECK(endpoint.seen[0].header("X-Endpoint") == "i-1");
    CHECK(endpoint.seen[0].header("Host") == "t");
}

TEST_CASE("A request that an endpoint did not run is sent to another endpoint")
{
    auto rig = Rig {};
    auto &full = rig.addEndpoint("i-1");
    full.handler = rejecting(503);
    auto &free = rig.addEndpoint("i-2");
    free.handler = answering("ok");
    for (auto i = 0; i < 5; ++i)
        CHECK(rig.call(Rig::request("/once/x", "r" + std::to_string(i))).status == 200);
}

TEST_CASE("A request that may have run and must not run twice is given up")
{
    auto rig = Rig {};
    auto &broken = rig.addEndpoint("i-1");
    broken.handler = breaking();
    auto &other = rig.addEndpoint("i-2");
    other.handler = breaking();
    const auto got = rig.call(Rig::request("/once/x", "r1"));
    CHECK(got.status == 502);
    CHECK(broken.seen.size() + other.seen.size() == 1);
}

TEST_CASE("A request that may run again is retried within its maximum attempts")
{
    auto rig = Rig {};
    auto &broken = rig.addEndpoint("i-1");
    broken.handler = breaking();
    auto &other = rig.addEndpoint("i-2");
    other.handler = breaking();
    auto &third = rig.addEndpoint("i-3");
    third.handler = breaking();
    CHECK(rig.call(Rig::request("/idem/x", "r1")).status == 502);
    CHECK(broken.seen.size() + other.seen.size() + third.seen.size() == 2);
}

TEST_CASE("Without an endpoint, a request is refused immediately with a time to retry")
{
    auto rig = Rig {};
    const auto got = rig.call(Rig::request("/once/x", "r1"));
    CHECK(got.status == 503);
    CHECK(http::findHeader(got.headers, "X-Come-Back") == "1200"); // Time to discover one.
    rig.tell("i-1", 1, 1, EndpointState::Ready);                   // Nothing listens at this port.
    const auto failed = rig.call(Rig::request("/once/x", "r2"));
    CHECK(failed.status == 503);
    CHECK(http::findHeader(failed.headers, "X-Come-Back") == "300");
}

TEST_CASE("A request is sent only to its route's home regions, and refused at once if nothing is "
          "there")
{
    auto options = gateway::ForwarderOptions {};
    options.regions = { { DomainId { "n1" }, RegionId { "north" } },
                        { DomainId { "s1" }, RegionId { "south" } } };
    auto rig = Rig { options };
    auto catalogue = *testCatalogue(false);
    catalogue.routes.at(0).homeRegions = { RegionId { "south" } };
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    auto &north = rig.addEndpoint("i-n");
    north.handler = answering("north");
    rig.addEndpoint("i-s").handler = answering("south");
    const auto place = [&](const std::string &id, const std::string &domain,
                           catalogue::EndpointState state) {
        auto row = rig.view.find(EndpointId { id })->row;
        ++row.sequence;
        row.domain = DomainId { domain };
        row.state = state;
        auto update = proto::ServingUpdate {};
        update.endpoints = { row };
        rig.view.apply(update);
    };
    place("i-n", "n1", catalogue::EndpointState::Ready);
    place("i-s", "s1", catalogue::EndpointState::Ready);
    for (auto i = 0; i < 20; ++i)
        CHECK(rig.call(Rig::request("/once/x", "a" + std::to_string(i))).body == "south");
    place("i-s", "s1", catalogue::EndpointState::Draining);
    const auto got = rig.call(Rig::request("/once/x", "b"));
    CHECK(got.status == 503);
    CHECK(north.seen.empty());
    CHECK(rig.call(Rig::request("/idem/x", "c")).body == "north");
}

TEST_CASE("A request that arrives right after the start waits for the first document, for a "
          "limited time")
{
    const auto rig = Rig::withoutDocument();
    const auto begun = rig->clock.now();
    const auto got = rig->begin(Rig::request("/once/x", "r1"));
    SUBCASE("the document arrives")
    {
        rig->addEndpoint("i-1").handler = answering("ok");
        rig->runUntil([&] { return rig->waiters.size() == 1; });
        rig->forwarder.setCatalogue(testCatalogue(false));
        REQUIRE(rig->runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 200);
    }
    SUBCASE("the document does not arrive")
    {
        REQUIRE(rig->runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 503);
        CHECK(http::findHeader((*got)->headers, "X-Come-Back") == "1200");
        CHECK(rig->clock.now() - begun >= gateway::ForwarderOptions {}.awaitDocument);
        // Later requests are refused immediately.
        CHECK(rig->call(Rig::request("/once/x", "r2")).status == 503);
        CHECK(rig->waiters.size() == 0);
    }
}

TEST_CASE("A broken stream is resumed at another endpoint only if its route allows that")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = streaming(1, 3, false);
    SUBCASE("not resumable: the stream is cut, and only complete events were sent")
    {
        const auto got = rig.call(Rig::request("/stream/x", "r1"));
        CHECK(got.status == 200);
        CHECK_FALSE(got.whole);
        CHECK(got.body.find("e3") != std::string::npos);
        CHECK(got.body.find("99") == std::string::npos);
    }
    SUBCASE("resumable: each event is sent once, and the stream ends properly")
    {
        auto &other = rig.addEndpoint("i-2");
        other.handler = [](const http::Request &request,
                           http::Responder &responder) -> boost::asio::awaitable<void> {
            const auto resumed = request.header("X-After") == "3";
            const auto stream = streaming(resumed ? 3 : 1, resumed ? 5 : 3, resumed);
            co_await stream(request, responder);
        };
        endpoint.handler = other.handler;
        const auto got = rig.call(Rig::request("/resume/x", "r1"));
        CHECK(got.whole);
        auto expected = std::string {};
        for (auto i = 1; i <= 5; ++i)
            expected += "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
        CHECK(got.body == expected);
    }
}

TEST_CASE("A broken stream does not go on at an endpoint of another software version")
{
    auto rig = Rig {};
    const auto versions = std::array<std::string, 3> { "v1", "v2", "v1" };
    for (auto i = std::size_t { 0 }; i < versions.size(); ++i) {
        const auto id = "i-" + std::to_string(i);
        auto &endpoint = rig.addEndpoint(id);
        rig.tell(id, endpoint.port, 2, catalogue::EndpointState::Ready, {}, versions.at(i));
        endpoint.handler = [version = versions.at(i)](
                                   const http::Request &request,
                                   http::Responder &responder) -> boost::asio::awaitable<void> {
            auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                           { "X-Id", std::string { request.header("X-Id") } } };
            static_cast<void>(co_await responder.startStream(200, std::move(headers)));
            const auto isResumed = request.header("X-After") == "1";
            auto text = "id: " + std::string { isResumed ? "2" : "1" } + "\ndata: " + version
                    + "\n\n";
            static_cast<void>(co_await responder.write(std::move(text)));
            if (isResumed)
                static_cast<void>(co_await responder.finish());
        };
    }
    auto begun = std::map<std::string, int> {};
    for (auto number = 0; number < 30; ++number) {
        const auto got = rig.call(Rig::request("/resume/x", "r" + std::to_string(number)));
        const auto beginning = got.body.substr(0, 16);
        CAPTURE(got.body);
        ++begun[beginning];
        if (beginning == "id: 1\ndata: v1\n\n") {
            CHECK(got.whole);
            CHECK(got.body == "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n");
        } else {
            CHECK_FALSE(got.whole);
            CHECK(got.body == "id: 1\ndata: v2\n\n");
        }
    }
    CHECK(begun.size() == 2);
}

TEST_CASE("An endpoint is not told to fetch KV cache from one of another software version")
{
    auto link = gateway::BalancerLink {};
    link.ask = [](const proto::PickRequest &, Duration,
                  const gateway::BalancerLink::Done &done) -> std::optional<Address> {
        auto reply = proto::PickReply {};
        reply.endpoint = EndpointId { "i-1" };
        reply.fetchFrom = EndpointId { "i-2" };
        done(reply);
        return Address { "127.0.0.1", 1 };
    };
    link.end = [](const Address &, const proto::PickEnd &) {};
    auto rig = Rig { {}, link };
    auto &reader = rig.addEndpoint("i-1");
    auto &source = rig.addEndpoint("i-2");
    reader.handler = answering("ok");
    auto fetchedFrom = std::optional<Address> {};
    const auto write = rig.dialect.writeDispatch;
    rig.dialect.writeDispatch
            = [&](const gateway::CallerRequest &request, const gateway::DispatchTerms &terms) {
                  fetchedFrom = terms.fetchFrom;
                  return write(request, terms);
              };
    rig.tell("i-1", reader.port, 2, EndpointState::Ready, {}, "v1");
    auto sequence = std::uint64_t { 1 };
    for (const auto &version : std::array<std::string, 4> { "v1", "v2", "", "v1" }) {
        CAPTURE(version);
        rig.tell("i-2", source.port, ++sequence, EndpointState::Ready, {}, version);
        CHECK(rig.call(Rig::request("/once/x", "r" + std::to_string(sequence))).status == 200);
        CHECK(fetchedFrom.has_value() == (version == "v1"));
    }
    CHECK(reader.seen.size() == 4);
}

TEST_CASE("An answer that identifies another request is dropped")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = [](const http::Request &request,
                          http::Responder &responder) -> boost::asio::awaitable<void> {
        auto changed = request;
        changed.headers = { { "X-Id", "r0" } };
        const auto answer = answering("late");
        co_await answer(changed, responder);
    };
    // The only answer belongs to another request; the request's own answer never arrives.
    auto request = Rig::request("/once/x", "r1");
    request.headers.push_back({ "X-Deadline", "200" });
    CHECK(rig.call(std::move(request)).status == 502);
}

TEST_CASE("If the caller disconnects, the endpoint's connection is closed")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    auto gone = false;
    endpoint.handler = [&](const http::Request &,
                           http::Responder &responder) -> boost::asio::awaitable<void> {
        responder.onPeerGone([&gone] { gone = true; });
        auto timer = boost::asio::steady_timer { rig.context, 10s };
        while (!gone) {
            timer.expires_after(5ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    };
    auto request = Rig::request("/once/x", "r1");
    request.canceller = std::make_shared<http::Canceller>();
    const auto canceller = request.canceller;
    const auto got = rig.begin(std::move(request));
    REQUIRE(rig.runUntil([&] { return endpoint.seen.size() == 1; }));
    canceller->cancel();
    CHECK(rig.runUntil([&] { return gone; }));
}

TEST_CASE("A request waits for its model, and is refused immediately if the model cannot be loaded "
          "in time")
{
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "other" });
    endpoint.handler = answering("ok");
    auto request = Rig::request("/once/x", "r1");
    request.headers.push_back({ "X-Model", "m0" });
    SUBCASE("there is too little time for a load")
    {
        request.headers.push_back({ "X-Deadline", "2000" });
        const auto begun = rig.clock.now();
        CHECK(rig.call(request).status == 503);
        CHECK(rig.clock.now() - begun < 1500ms); // Much earlier than its deadline.
        // A refused request still counts as demand, so that the next one finds the model.
        const auto rows = rig.demand.take().rows;
        REQUIRE(rows.size() == 1);
        CHECK(rows[0].refused == 1);
        CHECK(rows[0].waiting == 0);
        CHECK(rig.demand.take().rows.empty()); // It is reported once.
    }
    SUBCASE("the model is loaded")
    {
        const auto got = rig.begin(request);
        REQUIRE(rig.runUntil([&] { return rig.waiters.size() == 1; }));
        CHECK(rig.demand.take().rows.at(0).waiting == 1);
        rig.tell("i-1", endpoint.port, 2, EndpointState::Ready, { "m0" });
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 200);
    }
    SUBCASE("the process ends before the model can be loaded")
    {
        const auto got = rig.begin(request);
        REQUIRE(rig.runUntil([&] { return rig.waiters.size() == 1; }));
        rig.forwarder.setStopTime(rig.clock.now() + 1s);
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 503);
        CHECK_FALSE(http::findHeader((*got)->headers, "X-Come-Back").empty());
    }
}

TEST_CASE("A stream that cannot begin before its caller leaves is refused before the caller leaves")
{
    auto rig = Rig {};
    auto catalogue = *testCatalogue(true);
    for (auto &route : catalogue.routes)
        route.leaveAfter = 1200ms;
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    rig.addEndpoint("i-1", { "other" }).handler = answering("ok");
    auto request = Rig::request("/stream/x", "r1");
    request.headers.push_back({ "X-Model", "m0" });
    SUBCASE("immediately, if a load from the store takes longer") { }
    SUBCASE("later, if a copy was expected to load in time but did not")
    {
        rig.view.find(EndpointId { "i-1" })->row.onDisk = { ModelId { "m0" } };
    }
    const auto begun = rig.clock.now();
    const auto got = rig.call(request);
    CHECK(got.status == 503);
    CHECK_FALSE(http::findHeader(got.headers, "X-Come-Back").empty());
    CHECK(rig.clock.now() - begun < 5s); // The route would allow 10 s.
}

TEST_CASE("An endpoint that rejects everything is tried only a few times while others may appear")
{
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &rejects = rig.addEndpoint("i-1", { "m0" });
    rejects.handler = rejecting(503);
    auto request = Rig::request("/once/x", "r1");
    request.headers.push_back({ "X-Model", "m0" });
    const auto got = rig.begin(std::move(request));
    auto wakes = 0;
    rig.runUntil([&] {
        rig.waiters.wakeAll();
        return ++wakes > 200;
    });
    CHECK(rejects.seen.size() <= 5);
    auto &takes = rig.addEndpoint("i-2", { "m0" });
    takes.handler = answering("ok");
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->status == 200);
}

TEST_CASE("A leaving endpoint gets no new work")
{
    auto rig = Rig {};
    auto &leaving = rig.addEndpoint("i-1");
    leaving.handler = answering("old");
    auto &staying = rig.addEndpoint("i-2");
    staying.handler = answering("new");
    rig.tell("i-1", leaving.port, 2, EndpointState::Draining);
    rig.tell("i-1", leaving.port, 1, EndpointState::Ready); // A delayed announcement has no effect.
    for (auto i = 0; i < 10; ++i)
        CHECK(rig.call(Rig::request("/once/x", "r" + std::to_string(i))).body == "new");
    CHECK(leaving.seen.empty());
}

// Guards against requests that wait until their callers leave: behind a network partition, the
// connections to a crashed endpoint do not break.
TEST_CASE("Requests at a superseded incarnation are retried elsewhere if their route allows that")
{
    auto rig = Rig {};
    rig.view.setOnSuperseded([&](const EndpointId &id, catalogue::EndpointState) {
        rig.forwarder.endDispatches(id);
    });
    auto &old = rig.addEndpoint("i-1#100");
    old.handler = [&](const http::Request &, http::Responder &) -> boost::asio::awaitable<void> {
        auto timer = boost::asio::steady_timer { rig.context, 60s };
        co_await timer.async_wait(boost::asio::use_awaitable);
    };
    const auto repeated = rig.begin(Rig::request("/idem/x", "r1"));
    const auto once = rig.begin(Rig::request("/once/x", "r2"));
    REQUIRE(rig.runUntil([&] { return old.seen.size() == 2; }));
    auto &next = rig.addEndpoint("i-1#200");
    next.handler = answering("ok");
    REQUIRE(rig.runUntil([&] { return repeated->has_value() && once->has_value(); }));
    CHECK((*repeated)->status == 200);
    CHECK((*once)->status == 502);
    CHECK(next.seen.size() == 1);
}

TEST_CASE("A stream whose resumption is answered by a failure ends without bytes of that answer")
{
    auto rig = Rig {};
    for (const auto *id : { "i-1", "i-2" }) {
        rig.addEndpoint(id).handler
                = [](const http::Request &request,
                     http::Responder &responder) -> boost::asio::awaitable<void> {
            if (request.header("X-After").empty()) {
                co_await streaming(1, 2, false)(request, responder);
                co_return;
            }
            auto response = http::Response {};
            response.status = 500;
            response.headers = { { "X-Id", std::string { request.header("X-Id") } } };
            response.body = "failed";
            static_cast<void>(co_await responder.send(std::move(response)));
        };
    }
    // A client's parser would hide what comes after a broken chunk.
    auto caller = boost::asio::ip::tcp::socket { rig.context };
    caller.connect({ boost::asio::ip::address_v4::loopback(), rig.port() });
    const auto request = std::string { "GET /resume/x HTTP/1.1\r\nHost: t\r\nX-Id: r1\r\n\r\n" };
    boost::asio::write(caller, boost::asio::buffer(request));
    auto received = std::string {};
    auto hasEnded = false;
    auto bytes = std::array<char, 4096> {};
    std::function<void()> readOn = [&] {
        caller.async_read_some(boost::asio::buffer(bytes),
                               [&](const boost::system::error_code &code, std::size_t count) {
                                   received.append(bytes.data(), count);
                                   hasEnded = static_cast<bool>(code);
                                   if (!hasEnded)
                                       readOn();
                               });
    };
    readOn();
    REQUIRE(rig.runUntil([&] { return hasEnded; }));
    CHECK(received.find("data: e2") != std::string::npos);
    CHECK(received.find("HTTP/1.1 500") == std::string::npos);
}

TEST_CASE("A request that an exception ends is counted by its service and the kind of exception")
{
    auto rig = Rig {};
    rig.addEndpoint("i-1").handler = answering("ok");
    rig.dialect.writeDispatch
            = [](const gateway::CallerRequest &, const gateway::DispatchTerms &) -> http::Headers {
        throw std::out_of_range { "map::at" };
    };
    CHECK(rig.call(Rig::request("/once/x", "r1")).status >= 500);
    const auto page = rig.metrics.text({});
    CHECK(page.find(
                  "figrack_gateway_internal_errors_total{reason=\"missing_entry\",service=\"s\"} 1")
          != std::string::npos);
    CHECK(page.find("figrack_gateway_requests_total{end=\"internal_error\"} 1")
          != std::string::npos);
}
