#include <doctest/doctest.h>

#include "core/random.h"
#include "router/coldwait.h"

using namespace figrack;
using namespace figrack::router;

TEST_CASE("a cold wait is split at the load order and at the end of the load")
{
    const auto parts = splitColdWait({ 1000, 50000, 50040, 50900 });
    CHECK(parts.decision == 40);
    CHECK(parts.load == 860);
    CHECK(parts.queue == 100);
}

TEST_CASE("a request that arrives during the load has no decision time")
{
    const auto parts = splitColdWait({ 300, 50500, 50040, 50790 });
    CHECK(parts.decision == 0);
    CHECK(parts.load == 290);
    CHECK(parts.queue == 10);
}

TEST_CASE("without a known order, all of the wait is queue time")
{
    CHECK(splitColdWait({ 300, 50500, 0, 0 }).queue == 300);
}

TEST_CASE("the parts add up to the wait for any clock values")
{
    auto random = Random { 11 };
    for (auto round = 0; round < 10000; ++round) {
        const auto any = [&] { return static_cast<state::Millis>(random.below(100000)); };
        const auto wait = ColdWait { any(), any(), 1 + any(), any() };
        const auto parts = splitColdWait(wait);
        REQUIRE(parts.decision >= 0);
        REQUIRE(parts.load >= 0);
        REQUIRE(parts.queue >= 0);
        REQUIRE(parts.decision + parts.load + parts.queue == wait.waited);
    }
}
