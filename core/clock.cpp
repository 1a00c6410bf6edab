// CLOCK_BOOTTIME rather than CLOCK_MONOTONIC: the latter stands still while a VM is
// suspended, and a leader that wakes from a suspension would still trust its lease.

#include "core/clock.h"

#include <ctime>

#include "core/check.h"

namespace figrack {
namespace {

constexpr auto manualStart = std::chrono::hours { 24 };

} // namespace

auto BootClock::now() -> Instant
{
    auto time = timespec {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant { std::chrono::seconds { time.tv_sec }
                     + std::chrono::nanoseconds { time.tv_nsec } };
}

auto SystemClock::now() const -> Instant
{
    return BootClock::now();
}

auto SystemClock::wallNow() const -> WallTime
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

auto systemClock() -> const Clock &
{
    static const auto clock = SystemClock {};
    return clock;
}

ManualClock::ManualClock()
    : nanos_(Duration { manualStart }.count())
{ }

auto ManualClock::now() const -> Instant
{
    return Instant { Duration { nanos_.load() } };
}

auto ManualClock::wallNow() const -> WallTime
{
    return WallTime { std::chrono::duration_cast<std::chrono::milliseconds>(
            Duration { nanos_.load() }) };
}

auto ManualClock::advance(Duration by) -> void
{
    FIGRACK_CHECK(by >= Duration::zero(), "time never falls");
    nanos_ += by.count();
}

auto ManualClock::advanceTo(Instant to) -> void
{
    FIGRACK_CHECK(to >= now(), "time never falls");
    nanos_ = to.time_since_epoch().count();
}

} // namespace figrack
