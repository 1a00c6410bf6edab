// Timers over a suspension: a clock that is stepped, while the kernel's waits go on as before.

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/boottimer.h"

using namespace figrack;
using namespace std::chrono_literals;

namespace {

/// The system's clock and what the test has stepped it by.
struct SteppedClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = Instant;
    // NOLINTNEXTLINE(readability-identifier-naming): the standard library's name.
    static constexpr auto is_steady = true;
    static auto now() -> Instant { return BootClock::now() + stepped; }
    static inline auto stepped = Duration::zero();
};

using Timer = ShortLookTimer<SteppedClock>;

} // namespace

TEST_CASE(
        "A timer that was due in a suspension fires soon after it, not when its whole time is over")
{
    auto context = boost::asio::io_context { 1 };
    auto timer = Timer { context, Duration { 1h } };
    auto fired = false;
    timer.async_wait([&](const boost::system::error_code &error) { fired = !error; });
    context.run_for(10ms);
    REQUIRE_FALSE(fired);
    SteppedClock::stepped += 1h;
    context.run_one();
    CHECK(fired);
}

TEST_CASE("Timers keep their order, and one that never ends can be cancelled")
{
    auto context = boost::asio::io_context { 1 };
    auto order = std::vector<int> {};
    auto late = Timer { context, Duration { 30ms } };
    auto early = Timer { context, Duration { 10ms } };
    auto never = Timer { context, Instant::max() };
    late.async_wait([&](const boost::system::error_code &) { order.push_back(2); });
    early.async_wait([&](const boost::system::error_code &) { order.push_back(1); });
    never.async_wait([&](const boost::system::error_code &error) {
        order.push_back(error == boost::asio::error::operation_aborted ? 4 : 0);
    });
    while (order.size() < 2)
        context.run_one();
    order.push_back(3);
    never.cancel();
    context.run();
    CHECK(order == std::vector { 1, 2, 3, 4 });
}
