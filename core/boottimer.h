// Timers that count while the VM is suspended.
//
//   auto timer = BootTimer { context, std::chrono::seconds { 5 } };
//
// The system's steady clock stands still in a suspension, and with it every timer
// of the kernel that waits by it: after one of ten seconds a peer would get its
// whole time again, and a request be held ten seconds beyond its deadline. These
// timers go by CLOCK_BOOTTIME and look again at least every longestLook, so that
// they are late by no more than that after a suspension. It costs one wake-up a
// longestLook and thread, however many timers wait.

#ifndef FIGRACK_CORE_BOOTTIMER_H
#define FIGRACK_CORE_BOOTTIMER_H

#include <algorithm>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

#include "core/clock.h"

namespace figrack {

/// How long the kernel may be waited for. @tparam TimerClock a clock of the standard library's kind
template<typename TimerClock>
struct ShortLooks
{
    static constexpr auto longestLook = Duration { std::chrono::seconds { 1 } };
    // NOLINTNEXTLINE(readability-identifier-naming): Asio's name.
    static auto to_wait_duration(const Duration &left) -> Duration
    {
        return std::min(left, longestLook);
    }
    // NOLINTNEXTLINE(readability-identifier-naming): Asio's name.
    static auto to_wait_duration(const Instant &at) -> Duration
    {
        // Without overflow for a time that never comes.
        const auto now = TimerClock::now();
        return at > now + longestLook ? longestLook : at - now;
    }
};

template<typename TimerClock, typename Executor = boost::asio::any_io_executor>
using ShortLookTimer
        = boost::asio::basic_waitable_timer<TimerClock, ShortLooks<TimerClock>, Executor>;

template<typename Executor>
using BasicBootTimer = ShortLookTimer<BootClock, Executor>;

using BootTimer = BasicBootTimer<boost::asio::any_io_executor>;

} // namespace figrack

#endif // FIGRACK_CORE_BOOTTIMER_H
