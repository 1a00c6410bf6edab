// Tests that requests to an endpoint are limited evenly to the rate it advertises.

#include <doctest/doctest.h>

#include <deque>

#include "core/random.h"
#include "policy/ratelimiter.h"

using namespace figrack;
using namespace figrack::policy;
using namespace std::chrono_literals;

TEST_CASE("Without an advertised rate all requests may be sent")
{
    auto limiter = RateLimiter {};
    const auto now = ManualClock {}.now();
    for (auto i = 0; i < 100; ++i) {
        CHECK(limiter.allows(now));
        limiter.take(now);
    }
    CHECK(limiter.nextAt(now) == now);
}

TEST_CASE("No window exceeds the rate plus the burst")
{
    constexpr auto window = 4s;
    for (const auto rate : { 0.25, 1.0, 3.0, 40.0 }) {
        CAPTURE(rate);
        auto clock = ManualClock {};
        auto random = Random { 7 };
        auto limiter = RateLimiter {};
        limiter.onAdvertisedRate(rate, clock.now(), clock.now());
        auto sent = std::deque<Instant> {};
        auto total = 0;
        const auto started = clock.now();
        for (auto i = 0; i < 20'000; ++i) {
            clock.advance(std::chrono::milliseconds { random.below(10) });
            const auto now = clock.now();
            if (!limiter.allows(now))
                continue;
            limiter.take(now);
            ++total;
            sent.push_back(now);
            while (now - sent.front() >= window)
                sent.pop_front();
            CHECK(static_cast<double>(sent.size()) <= rate * 4 * 1.5 + 5);
        }
        const auto seconds = std::chrono::duration<double> { clock.now() - started }.count();
        CHECK(total >= rate * seconds * 0.9);
    }
}

TEST_CASE("The latest advertised rate applies, in any order of arrival")
{
    auto clock = ManualClock {};
    const auto first = clock.now();
    auto limiter = RateLimiter {};
    limiter.onAdvertisedRate(1, first + 2s, first + 2s);
    limiter.onAdvertisedRate(std::nullopt, first + 1s, first + 3s);
    CHECK(limiter.isLimited());
    limiter.onAdvertisedRate(std::nullopt, first + 3s, first + 3s);
    CHECK_FALSE(limiter.isLimited());
    limiter.onAdvertisedRate(5, first + 2s, first + 4s);
    CHECK_FALSE(limiter.isLimited());
}

TEST_CASE("Refused requests get increasing retry times, up to a bound")
{
    auto clock = ManualClock {};
    const auto now = clock.now();
    auto limiter = RateLimiter {};
    limiter.onAdvertisedRate(2, now, now);
    limiter.take(now);
    CHECK(limiter.assignRetryAfter(now) == 500ms);
    CHECK(limiter.assignRetryAfter(now) == 1000ms);
    for (auto i = 0; i < 20; ++i)
        CHECK(limiter.assignRetryAfter(now) <= RateLimiterOptions {}.maxRetryAfter);
}

TEST_CASE("An endpoint that advertises a rate of zero is probed now and then")
{
    auto clock = ManualClock {};
    auto limiter = RateLimiter {};
    limiter.onAdvertisedRate(0, clock.now(), clock.now());
    limiter.take(clock.now());
    clock.advance(9s);
    CHECK_FALSE(limiter.allows(clock.now()));
    clock.advance(2s);
    CHECK(limiter.allows(clock.now()));
}
