#include "policy/drainshare.h"

#include <algorithm>

namespace figrack::policy {

auto DrainShare::advance(bool waits, Millis now) -> void
{
    if (waits_)
        waited_ += static_cast<double>(std::max<Millis>(now - at_, 0));
    waits_ = waits;
    at_ = now;
    constexpr auto maxWaited = 20000.0;
    constexpr auto maxPops = 32.0;
    if (waited_ < maxWaited && pops_ < maxPops)
        return;
    waited_ /= 2;
    pops_ /= 2;
}

auto DrainShare::discard(Millis now) -> void
{
    at_ = now;
}

auto DrainShare::onPop() -> void
{
    pops_ += 1;
}

auto DrainShare::onRequeue() -> void
{
    pops_ = std::max(pops_ - 1, 0.0);
}

auto DrainShare::value(double nominal) const -> double
{
    constexpr auto assumedPops = 4.0; // Pseudo-count at the nominal rate.
    constexpr auto minShare = 1.0 / 1024;
    const auto measured = (waited_ + assumedPops * nominal) / (pops_ + assumedPops);
    return std::clamp(nominal / std::max(measured, nominal), minShare, 1.0);
}

} // namespace figrack::policy
