// Reading of endpoints' answers.

#include <doctest/doctest.h>

#include "gateway/answers.h"

using namespace figrack;
using namespace figrack::gateway;

TEST_CASE("An event's id is found in any of its lines, with either line end")
{
    CHECK(eventId("id: 12\ndata: x\n\n") == "12");
    CHECK(eventId("data: x\r\nid:7\r\n\r\n") == "7");
    CHECK(eventId("data: id: 3\n\n").empty());
    CHECK(eventId("").empty());
}

TEST_CASE("An event is old when its number is not after the last one given")
{
    CHECK(isOldEvent("9", "10"));
    CHECK(isOldEvent("10", "10"));
    CHECK_FALSE(isOldEvent("11", "10"));
    CHECK_FALSE(isOldEvent("100", "99"));
    CHECK_FALSE(isOldEvent("1", ""));
    CHECK_FALSE(isOldEvent("", "5"));
}

TEST_CASE("Headers of one connection and of the body's framing do not go on")
{
    const auto headers = endToEnd({ { "Content-Type", "text/plain" },
                                    { "connection", "close" },
                                    { "Keep-Alive", "timeout=5" },
                                    { "CONTENT-LENGTH", "3" },
                                    { "X-Own", "1" } });
    REQUIRE(headers.size() == 2);
    CHECK(http::findHeader(headers, "Content-Type") == "text/plain");
    CHECK(http::findHeader(headers, "X-Own") == "1");
}

TEST_CASE("Streams and successes are told by type and status")
{
    CHECK(isEventStream({ { "Content-Type", "text/event-stream; charset=utf-8" } }));
    CHECK_FALSE(isEventStream({ { "Content-Type", "text/plain" } }));
    CHECK(isSuccess(204));
    CHECK_FALSE(isSuccess(304));
}
