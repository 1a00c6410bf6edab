// Time, as every part of figrack sees it.
//
// A part takes a Clock through its constructor and never asks the system, so
// that all of it also runs in virtual time:
//
//   auto clock = ManualClock {};
//   auto replica = Replica { options, clock, ... };
//   clock.advance(std::chrono::milliseconds { 50 });
//
// Guarantees: now() never falls. wallNow() may jump; it is for people, for log
// lines and for times that must outlive a process, never for a lease.

#ifndef FIGRACK_CORE_CLOCK_H
#define FIGRACK_CORE_CLOCK_H

#include <atomic>
#include <chrono>

namespace figrack {

using Duration = std::chrono::nanoseconds;
/// A reading of a process's own monotonic clock. Never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Milliseconds since the Unix epoch, UTC.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// CLOCK_BOOTTIME, as the standard library phrases a clock; for timers (core/boottimer.h). All else
/// is given a Clock.
struct BootClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = Instant;
    // NOLINTNEXTLINE(readability-identifier-naming): the standard library's name.
    static constexpr auto is_steady = true;
    static auto now() -> Instant;
};

/// The source of time. Implementations are safe to read from any thread.
class Clock
{
public:
    virtual ~Clock() = default;
    /// @return the monotonic time; it counts while the process is stopped by a signal
    virtual auto now() const -> Instant = 0;
    /// @return the calendar time, UTC
    virtual auto wallNow() const -> WallTime = 0;
};

/// The machine's clock, by CLOCK_BOOTTIME, which also counts while the VM is suspended:
/// a lease must run out during a suspension.
class SystemClock final : public Clock
{
public:
    auto now() const -> Instant override;
    auto wallNow() const -> WallTime override;
};

/// @return the one that main programs and tools hand to their parts; lives as long as the process
auto systemClock() -> const Clock &;

/// A clock that moves only when told. For tests and for discrete-event benchmarks.
class ManualClock final : public Clock
{
public:
    /// Starts one day after the epoch of both clocks, so that subtracting stays in range.
    ManualClock();
    auto now() const -> Instant override;
    auto wallNow() const -> WallTime override;
    /// Moves both clocks on. @param by zero or more
    auto advance(Duration by) -> void;
    /// Moves the monotonic clock to a time. @param to not before now()
    auto advanceTo(Instant to) -> void;

private:
    std::atomic<std::int64_t> nanos_;
};

} // namespace figrack

#endif // FIGRACK_CORE_CLOCK_H
