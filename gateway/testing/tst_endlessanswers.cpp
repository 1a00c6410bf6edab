// Endpoints whose answers do not end: each request ends, and nothing of it stays behind.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "gateway/testing/endlessendpoint.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

const auto refusalHead = std::string { "HTTP/1.1 503 No\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n" };

auto tell(Rig &rig, const EndlessEndpoint &endpoint) -> void
{
    rig.tell("i-1", endpoint.port(), 1, catalogue::EndpointState::Ready);
}

const auto streamHead = std::string {
    "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\n"
};

/// Calls with little time. @return the answer, once the endpoint's connections are closed, too
auto callShortly(Rig &rig, EndlessEndpoint &endpoint, const std::string &path) -> Got
{
    auto request = Rig::request(path, "r1");
    request.headers.push_back({ "X-Deadline", "300" });
    auto got = rig.call(std::move(request));
    CHECK(rig.runUntil([&] { return endpoint.open() == 0; }));
    CHECK(rig.forwarder.dispatching() == 0);
    CHECK(rig.forwarder.heldBytes().sum() == 0);
    endpoint.stop();
    return got;
}

} // namespace

// Guards against a caller waiting for bytes that only serve to keep a connection.
TEST_CASE("A request goes on after a refusal whose body does not end")
{
    const auto replies = std::vector<EndlessReply> {
        { refusalHead + "\r\n", "more " },
        { refusalHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nmore \r\n" },
        { refusalHead + "Content-Length: 99999999999\r\n\r\n", "more " },
        { refusalHead + "\r\n", "m", std::chrono::milliseconds { 20 } },
    };
    for (const auto &reply : replies) {
        CAPTURE(reply.begin);
        CAPTURE(reply.pause.count());
        auto rig = Rig {};
        const auto endless = EndlessEndpoint::start(rig.context, reply);
        tell(rig, *endless);
        rig.addEndpoint("i-2").handler = answering("answer");
        for (auto number = 0; number < 6; ++number) {
            const auto id = "r" + std::to_string(number);
            const auto got = rig.call(Rig::request("/once/x", id));
            CAPTURE(id);
            REQUIRE(got.status == 200);
            CHECK(got.body == "answer");
        }
        CHECK(endless->requests() > 0);
        CHECK(rig.runUntil([&] { return endless->open() == 0; }));
        endless->stop();
    }
}

// Guards against a stream that occupies its request beyond the deadline.
TEST_CASE("A stream that does not end is broken off at the request's deadline")
{
    const auto replies = std::vector<EndlessReply> {
        { streamHead, ": no event\n\n" },
        { streamHead, "id: 1\ndata: again\n\n" },
        { streamHead, "data: without id\n\n" },
        { streamHead, ": no event\n\n", std::chrono::milliseconds { 20 } },
        { streamHead, "x", std::chrono::milliseconds { 20 } },
    };
    for (const auto &reply : replies) {
        CAPTURE(reply.unit);
        CAPTURE(reply.pause.count());
        auto rig = Rig {};
        const auto endless = EndlessEndpoint::start(rig.context, reply);
        tell(rig, *endless);
        const auto got = callShortly(rig, *endless, "/stream/x");
        CHECK_FALSE((got.whole && got.status == 200));
        REQUIRE(got.status != 0);
        CHECK(endless->requests() == 1);
    }
}
