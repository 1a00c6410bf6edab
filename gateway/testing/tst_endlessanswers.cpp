// Endpoints whose answers do not end: each request ends, and nothing of it stays behind.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/testing/allocations.h"
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

namespace {

const auto ownHead = std::string { "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n" };
const auto chunkedHead = ownHead + "Transfer-Encoding: chunked\r\n\r\n";

auto endlessReplies() -> std::vector<EndlessReply>
{
    return {
        { "", "z" },
        { ownHead, "X-More: 1\r\n" },
        { ownHead + "X-Long: ", "v" },
        { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
        { ownHead + "\r\n", "b" },
        { ownHead + "Content-Length: 99999999999\r\n\r\n", "b" },
        { "HTTP/1.1 500 No\r\nX-Id: {id}\r\n\r\n", "b" },
        { chunkedHead, "1\r\nb\r\n" },
        { chunkedHead, "0" },
        { chunkedHead + "1;e=", "x" },
        { chunkedHead + "0\r\n", "X-More: 1\r\n" },
        { streamHead + "data: ", "d" },
        { streamHead + ":", "c" },
    };
}

} // namespace

// Guards against an answer without end that takes the gateway's memory or keeps others from theirs.
TEST_CASE("Requests end, and the next one is served, wherever an answer goes on without end")
{
    auto options = ForwarderOptions {};
    options.maxAnswerBytes = std::size_t { 256 } << 10;
    for (auto reply : endlessReplies()) {
        for (const auto pause : { 0, 5 }) {
            reply.pause = std::chrono::milliseconds { pause };
            CAPTURE(reply.begin);
            CAPTURE(reply.unit);
            CAPTURE(pause);
            resetLargestAllocation();
            auto rig = Rig { options };
            const auto endless = EndlessEndpoint::start(rig.context, reply);
            tell(rig, *endless);
            const auto got = callShortly(rig, *endless, "/once/x");
            CHECK(got.status == 502);
            CHECK(endless->requests() == 1);
            rig.tell("i-1", 1, 2, catalogue::EndpointState::Draining);
            rig.addEndpoint("i-2").handler = answering("answer");
            const auto next = rig.call(Rig::request("/once/x", "r2"));
            CHECK(next.status == 200);
            CHECK(next.body == "answer");
            CHECK(largestAllocation() <= std::size_t { 4 } << 20);
        }
    }
}

// Guards against endpoints that together take the memory of a gateway with bodies without end.
TEST_CASE("Answers without end that are received at once stay within their part of the memory")
{
    constexpr auto calls = std::size_t { 24 };
    constexpr auto memoryLimit = std::uint64_t { 16'000'000 };
    constexpr auto unit = std::size_t { 16 } << 10;
    auto options = ForwarderOptions {};
    options.heldBytes.memoryLimit = memoryLimit;
    auto rig = Rig { options };
    const auto endless
            = EndlessEndpoint::start(rig.context, { ownHead + "\r\n", std::string(unit, 'b') });
    tell(rig, *endless);
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto number = std::size_t { 0 }; number < calls; ++number)
        answers.push_back(rig.begin(Rig::request("/once/x", "r" + std::to_string(number))));
    auto most = std::uint64_t { 0 };
    REQUIRE(rig.runUntil([&] {
        most = std::max(most, rig.forwarder.heldBytes().of(HeldBytes::Kind::Answer));
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &answer) { return answer->has_value(); });
    }));
    CHECK(most > memoryLimit / 8);
    // Each may hold a small answer and the bytes of one read beside the part of the limit.
    CHECK(most <= memoryLimit / 4 + calls * (std::size_t { 128 } << 10));
    for (const auto &answer : answers)
        CHECK((*answer)->status == 502);
    CHECK(rig.runUntil([&] { return endless->open() == 0; }));
    CHECK(rig.forwarder.heldBytes().sum() == 0);
    endless->stop();
    rig.tell("i-1", 1, 2, catalogue::EndpointState::Draining);
    rig.addEndpoint("i-2").handler = answering("answer");
    CHECK(rig.call(Rig::request("/once/x", "next")).body == "answer");
}
