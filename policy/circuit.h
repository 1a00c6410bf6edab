// A circuit breaker: stops sending to something that fails and probes it with single trials.
//
//   auto circuit = Circuit { options };
//   if (circuit.allows(now)) { circuit.onDispatch(now); ... circuit.onFailure(now, random.unit());
//   }
//
// Closed until a number of consecutive failures, then open for a time, then half open: one
// trial at a time. A trial that succeeds closes the circuit; one that fails opens it for twice
// the time, up to a bound. Open times are spread by a random number from the caller, so that
// many routers do not all retry at once. Constant time and memory.

#ifndef FIGRACK_POLICY_CIRCUIT_H
#define FIGRACK_POLICY_CIRCUIT_H

#include <cstdint>
#include <variant>

#include "policy/tables.h"

namespace figrack::policy {

struct CircuitOptions
{
    std::uint32_t failures = 3; ///< Consecutive failures that open it.
    Millis openTime = 2000;     ///< Duration of the first opening, ms.
    Millis maxOpenTime = 60000;
};

/// States of a Circuit.
struct CircuitClosed
{
    std::uint32_t failures = 0; ///< Consecutive.
};
/// Open until a time; half open from then on.
struct CircuitOpen
{
    Millis until = 0;
    Millis openTime = 0; ///< ms, before jitter.
    bool trial = false;  ///< A trial is in progress.
    bool tripped = false;
};

class Circuit
{
public:
    explicit Circuit(CircuitOptions options)
        : options_(options)
    { }

    /// @return true when work may be sent now; while half open, only if no trial is in progress
    auto allows(Millis now) const -> bool;
    /// @return true when it is closed, so that work sent now is not a trial
    auto isClosed() const -> bool { return std::holds_alternative<CircuitClosed>(state_); }
    /// @return true when it was opened by trip() and not by failures
    auto isTripped() const -> bool;
    /// Records that work was sent. While half open, this work is the trial.
    auto onDispatch(Millis now) -> void;
    auto onSuccess(Millis now) -> void;
    /// @param unit a random number in [0, 1) that spreads the open time
    auto onFailure(Millis now, double unit) -> void;
    /// Records work that ended without a result about the endpoint: another trial may be made.
    auto onNeutral() -> void;
    /// Opens the circuit because the endpoint is slow.
    auto trip(Millis now, double unit) -> void;

private:
    auto open(Millis openTime, bool tripped, Millis now, double unit) -> void;

    CircuitOptions options_;
    std::variant<CircuitClosed, CircuitOpen> state_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_CIRCUIT_H
