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
