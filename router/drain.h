// A router's planned stop, step by step.
//
//   serving --stop--> leaving --lifetime over--> refusing --idle--> stopped
//
// leaving: off the address list, still taking work, since callers hold an old
// list for its lifetime. refusing: new work is refused as not_run with the other
// routers' addresses; what runs is finished. stopped: the process exits.
//
// Guarantees: no step back; refusing begins no sooner than addressLifetime
// after the notice was confirmed, or after noticeLimit when no control answers;
// stopped only once nothing is in progress. Thread-safe.

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
    Duration spread = std::chrono::milliseconds { 1500 }; ///< Till all routers know of the notice.
    Duration noticeLimit = std::chrono::seconds { 5 };    ///< For a control to confirm it.
};

class Drain
{
public:
    Drain(DrainOptions options, const Clock &clock);
    ~Drain();
    /// SIGTERM. @return true the first time: the notice is to be sent
    auto onStop() -> bool;
    /// The controls have confirmed the notice.
    auto onNoticeConfirmed() -> void;
    /// @param inProgress requests that have not ended
    /// @return the phase now
    auto tick(std::size_t inProgress) -> DrainPhase;
    auto phase() const -> DrainPhase;

private:
    class Machine;
    DrainOptions options_;
    const Clock &clock_;
    mutable std::mutex mutex_; ///< Lock order: a leaf; nothing is called under it.
    std::unique_ptr<Machine> machine_;
    Instant refuseAt_ {};
    bool confirmed_ = false;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_DRAIN_H
