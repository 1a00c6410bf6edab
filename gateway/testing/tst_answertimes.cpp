// What is learned of how long the requests of a route take.

#include <doctest/doctest.h>

#include "core/clock.h"
#include "gateway/answertimes.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

TEST_CASE("The longest and the mean time of a route are those of its recent requests")
{
    auto clock = ManualClock {};
    auto times = AnswerTimes { { 30s, 10 }, clock };
    CHECK_FALSE(times.longest("a").has_value());
    CHECK_FALSE(times.mean("a").has_value());
    times.onEnd("a", 1s);
    times.onEnd("a", 3s);
    times.onEnd("b", 7s);
    CHECK(times.longest("a") == Duration { 3s });
    CHECK(times.mean("a") == Duration { 2s });
    clock.advance(31s);
    times.onEnd("a", 1s);
    CHECK(times.longest("a") == Duration { 3s });
    clock.advance(31s);
    CHECK(times.longest("a") == Duration { 1s });
    CHECK_FALSE(times.longest("b").has_value());
    clock.advance(61s);
    CHECK_FALSE(times.mean("a").has_value());
}

TEST_CASE("The number of routes is bounded, and those without requests make room")
{
    auto clock = ManualClock {};
    auto times = AnswerTimes { { 30s, 2 }, clock };
    times.onEnd("a", 1s);
    times.onEnd("b", 1s);
    times.onEnd("c", 1s);
    CHECK_FALSE(times.longest("c").has_value());
    clock.advance(60s);
    times.onEnd("c", 2s);
    CHECK(times.longest("c") == Duration { 2s });
    CHECK_FALSE(times.longest("a").has_value());
}
