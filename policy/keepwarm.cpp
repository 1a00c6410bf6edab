// The price moves by multiplicative steps (a stochastic dual ascent): each miss
// raises it by a fixed factor, each arrival in time lowers it by the factor's
// power that balances at the aimed share. The aim is below the allowed share,
// because queueing, faults and store waits take their part of it too.

#include "policy/keepwarm.h"

#include <algorithm>
#include <cmath>

namespace figrack::policy {

namespace {

constexpr auto startPrice = 600000.0; ///< Ten accelerator-minutes a miss.
constexpr auto lowestPrice = 1000.0;
constexpr auto highestPrice = 3600000.0;
constexpr auto aimOfAllowed = 0.5; ///< Part of the allowed misses that cold starts may use.
constexpr auto step = 0.4;
constexpr auto shareStep = 0.01;
constexpr auto loadSpread = 4.0; ///< Steepness of the miss probability around the target.

} // namespace

auto MissPrice::note(bool missed, double allowed) -> void
{
    const auto aim = std::max(allowed * aimOfAllowed, 0.001);
    logPrice_ += step * ((missed ? 1.0 : 0.0) - aim);
    logPrice_ = std::clamp(logPrice_, std::log(lowestPrice / startPrice),
                           std::log(highestPrice / startPrice));
    share_ += shareStep * ((missed ? 1.0 : 0.0) - share_);
}

auto MissPrice::value() const -> double
{
    return startPrice * std::exp(logPrice_);
}

auto missProbability(Millis load, Millis startTarget) -> double
{
    const auto ratio = static_cast<double>(std::max<Millis>(load, 1))
            / static_cast<double>(std::max<Millis>(startTarget, 1));
    return 1.0 / (1.0 + std::pow(ratio, -loadSpread));
}

} // namespace figrack::policy
