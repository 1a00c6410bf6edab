// Results of work sent before the circuit opened may still arrive while it is open. They contain
// no new information, so only results that arrive once it is half open change its state.

#include "policy/circuit.h"

#include <algorithm>

namespace figrack::policy {

auto Circuit::allows(Millis now) const -> bool
{
    const auto *openState = std::get_if<CircuitOpen>(&state_);
    return openState == nullptr || (now >= openState->until && !openState->trial);
}

auto Circuit::isTripped() const -> bool
{
    const auto *openState = std::get_if<CircuitOpen>(&state_);
    return openState != nullptr && openState->tripped;
}

auto Circuit::onDispatch(Millis now) -> void
{
    if (auto *openState = std::get_if<CircuitOpen>(&state_))
        openState->trial = now >= openState->until;
}

auto Circuit::onSuccess(Millis now) -> void
{
    auto *openState = std::get_if<CircuitOpen>(&state_);
    if (openState == nullptr || now >= openState->until)
        state_ = CircuitClosed {};
}

auto Circuit::onFailure(Millis now, double unit) -> void
{
    if (auto *closed = std::get_if<CircuitClosed>(&state_)) {
        if (++closed->failures >= options_.failures)
            open(options_.openTime, false, now, unit);
        return;
    }
    const auto &openState = std::get<CircuitOpen>(state_);
    if (now >= openState.until)
        open(std::min(2 * openState.openTime, options_.maxOpenTime), false, now, unit);
}

auto Circuit::onNeutral() -> void
{
    if (auto *openState = std::get_if<CircuitOpen>(&state_))
        openState->trial = false;
}

auto Circuit::trip(Millis now, double unit) -> void
{
    const auto *openState = std::get_if<CircuitOpen>(&state_);
    if (openState == nullptr)
        return open(options_.openTime, true, now, unit);
    if (now >= openState->until)
        open(std::min(2 * openState->openTime, options_.maxOpenTime), true, now, unit);
}

auto Circuit::open(Millis openTime, bool tripped, Millis now, double unit) -> void
{
    const auto spread = static_cast<Millis>(static_cast<double>(openTime) * unit / 4);
    state_ = CircuitOpen { now + openTime + spread, openTime, false, tripped };
}

} // namespace figrack::policy
