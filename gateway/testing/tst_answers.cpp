// Parsing of endpoints' answers.

#include <doctest/doctest.h>

#include "gateway/answers.h"

using namespace figrack;
using namespace figrack::gateway;

TEST_CASE("An event's ID is found in any of its lines, with either line ending")
{
    CHECK(eventId("id: 12\ndata: x\n\n") == "12");
    CHECK(eventId("data: x\r\nid:7\r\n\r\n") == "7");
    CHECK(eventId("data: id: 3\n\n").empty());
    CHECK(eventId("").empty());
}

TEST_CASE("Headers that apply to one connection or to the framing of the body are not forwarded")
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

TEST_CASE("Streams and successes are recognized by content type and status")
{
    CHECK(isEventStream({ { "Content-Type", "text/event-stream; charset=utf-8" } }));
    CHECK_FALSE(isEventStream({ { "Content-Type", "text/plain" } }));
    CHECK(isSuccess(204));
    CHECK_FALSE(isSuccess(304));
}
