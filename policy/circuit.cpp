// Results of work sent before the circuit opened still come in while it is open; they
// say nothing new, so only those that come once it is half open change it.

#include "policy/circuit.h"

#include <algorithm>

namespace figrack::policy {

auto Circuit::allows(Millis now) const -> bool
{
    const auto *aside = std::get_if<CircuitOpen>(&state_);
    return aside == nullptr || (now >= aside->until && !aside->trial);
}

auto Circuit::isTripped() const -> bool
{
    const auto *aside = std::get_if<CircuitOpen>(&state_);
    return aside != nullptr && aside->tripped;
}

auto Circuit::onDispatch(Millis now) -> void
{
    if (auto *aside = std::get_if<CircuitOpen>(&state_))
        aside->trial = now >= aside->until;
}

auto Circuit::onSuccess(Millis now) -> void
{
    auto *aside = std::get_if<CircuitOpen>(&state_);
    if (aside == nullptr || now >= aside->until)
        state_ = CircuitClosed {};
}

auto Circuit::onFailure(Millis now, double unit) -> void
{
    if (auto *closed = std::get_if<CircuitClosed>(&state_)) {
        if (++closed->failures >= options_.failures)
            open(options_.openTime, false, now, unit);
        return;
    }
    const auto &aside = std::get<CircuitOpen>(state_);
    if (now >= aside.until)
        open(std::min(2 * aside.openTime, options_.maxOpenTime), false, now, unit);
}

auto Circuit::onNeutral() -> void
{
    if (auto *aside = std::get_if<CircuitOpen>(&state_))
        aside->trial = false;
}

auto Circuit::trip(Millis now, double unit) -> void
{
    const auto *aside = std::get_if<CircuitOpen>(&state_);
    if (aside == nullptr)
        return open(options_.openTime, true, now, unit);
    if (now >= aside->until)
        open(std::min(2 * aside->openTime, options_.maxOpenTime), true, now, unit);
}

auto Circuit::open(Millis openTime, bool tripped, Millis now, double unit) -> void
{
    const auto spread = static_cast<Millis>(static_cast<double>(openTime) * unit / 4);
    state_ = CircuitOpen { now + openTime + spread, openTime, false, tripped };
}

} // namespace figrack::policy
