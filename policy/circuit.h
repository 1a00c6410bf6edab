// A circuit breaker: puts something that fails aside and tries it again carefully.
//
//   auto circuit = Circuit { options };
//   if (circuit.allows(now)) { circuit.onDispatch(now); ... circuit.onFailure(now, random.unit());
//   }
//
// Closed until so many failures in a row, then open for a time, then half open: one
// trial at a time. A trial that succeeds closes it; one that fails opens it for twice
// the time, up to a bound. Opening times are spread by the caller's random number, so
// that many routers do not all try at once. Constant time and memory.

#ifndef FIGRACK_POLICY_CIRCUIT_H
#define FIGRACK_POLICY_CIRCUIT_H

#include <cstdint>
#include <variant>

#include "policy/tables.h"

namespace figrack::policy {

struct CircuitOptions
{
    std::uint32_t failures = 3; ///< In a row, that open it.
    Millis openTime = 2000;     ///< The first time.
    Millis maxOpenTime = 60000;
};

/// States of a Circuit.
struct CircuitClosed
{
    std::uint32_t failures = 0; ///< In a row.
};
/// Open until a time; half open from then on.
struct CircuitOpen
{
    Millis until = 0;
    Millis openTime = 0; ///< Before spreading.
    bool trial = false;  ///< A trial runs.
    bool tripped = false;
};

class Circuit
{
public:
    explicit Circuit(CircuitOptions options)
        : options_(options)
    { }

    /// @return true when work may be sent now; half open, only while no trial runs
    auto allows(Millis now) const -> bool;
    /// @return true when it is closed: work sent there is no trial
    auto isClosed() const -> bool { return std::holds_alternative<CircuitClosed>(state_); }
    /// @return true when it was opened by trip() and not by failures
    auto isTripped() const -> bool;
    /// Work was sent; half open, this is the trial.
    auto onDispatch(Millis now) -> void;
    auto onSuccess(Millis now) -> void;
    /// @param unit a random number in [0, 1) that spreads the time aside
    auto onFailure(Millis now, double unit) -> void;
    /// The work ended without telling anything of the endpoint: a trial may be made again.
    auto onNeutral() -> void;
    /// Opens it for slowness.
    auto trip(Millis now, double unit) -> void;

private:
    auto open(Millis openTime, bool tripped, Millis now, double unit) -> void;

    CircuitOptions options_;
    std::variant<CircuitClosed, CircuitOpen> state_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_CIRCUIT_H
