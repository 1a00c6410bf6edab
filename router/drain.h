// State machine for a router's planned stop.
//
//   serving --stop--> leaving --lifetime over--> refusing --idle--> stopped
//
// leaving: the router is off the address list but still accepts work, because
// callers may use an old list until its lifetime ends. refusing: new work is
// refused as not_run with the addresses of the other routers; running work is
// finished. stopped: the process exits.
//
// Guarantees: the phase never moves backwards. Refusing begins no sooner than
// addressLifetime after the drain notice was confirmed or, if no control answers,
// after noticeTimeout has passed. Stopped is reached only when no request is in
// progress. Thread-safe.

#ifndef FIGRACK_ROUTER_DRAIN_H
#define FIGRACK_ROUTER_DRAIN_H

#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

#include "core/clock.h"

namespace figrack::router {

enum class DrainPhase : std::uint8_t { Serving, Leaving, Refusing, Stopped };

/// @return "serving", "leaving", "refusing" or "stopped"
auto drainPhaseName(DrainPhase phase) -> std::string_view;

struct DrainOptions
{
    Duration addressLifetime = std::chrono::seconds { 10 };
    Duration propagationTime
            = std::chrono::milliseconds { 1500 }; ///< Until all routers have applied the notice.
    Duration noticeTimeout = std::chrono::seconds { 5 }; ///< For a control to confirm the notice.
};

class Drain
{
public:
    Drain(DrainOptions options, const Clock &clock);
    ~Drain();
    /// Call on SIGTERM.
    /// @return true on the first call; the caller must then send the drain notice
    auto onStop() -> bool;
    /// Call when a control has confirmed the drain notice.
    auto onNoticeConfirmed() -> void;
    /// Moves to the next phase when it is due.
    /// @param inProgress the number of requests that have not ended
    /// @return the current phase
    auto tick(std::size_t inProgress) -> DrainPhase;
    auto phase() const -> DrainPhase;

private:
    class Machine;
    DrainOptions options_;
    const Clock &clock_;
    mutable std::mutex mutex_; ///< Lock order: a leaf; no other lock is taken under it.
    std::unique_ptr<Machine> machine_;
    Instant refuseAt_ {};
    bool confirmed_ = false;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_DRAIN_H
