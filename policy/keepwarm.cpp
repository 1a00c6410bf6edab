// The price moves in multiplicative steps (stochastic dual ascent): each miss raises it by a
// fixed factor, and each arrival in time lowers it by the power of that factor that balances at
// the target share. The target share is below the allowed share, because queueing, faults and
// waiting for the store use a part of the allowed misses too.

#include "policy/keepwarm.h"

#include <algorithm>
#include <cmath>

namespace figrack::policy {

namespace {

constexpr auto initialPrice = 600000.0; ///< Ten accelerator-minutes per miss.
constexpr auto minPrice = 1000.0;
constexpr auto maxPrice = 3600000.0;
constexpr auto coldStartFraction = 0.5; ///< Fraction of the allowed misses for cold starts.
constexpr auto step = 0.4;
constexpr auto shareStep = 0.01;
constexpr auto loadSpread = 4.0; ///< Steepness of the miss probability around the target.

} // namespace

auto MissPrice::note(bool missed, double allowed) -> void
{
    const auto targetShare = std::max(allowed * coldStartFraction, 0.001);
    logPrice_ += step * ((missed ? 1.0 : 0.0) - targetShare);
    logPrice_ = std::clamp(logPrice_, std::log(minPrice / initialPrice),
                           std::log(maxPrice / initialPrice));
    share_ += shareStep * ((missed ? 1.0 : 0.0) - share_);
}

auto MissPrice::value() const -> double
{
    return initialPrice * std::exp(logPrice_);
}

auto missProbability(Millis load, Millis startTarget) -> double
{
    const auto ratio = static_cast<double>(std::max<Millis>(load, 1))
            / static_cast<double>(std::max<Millis>(startTarget, 1));
    return 1.0 / (1.0 + std::pow(ratio, -loadSpread));
}

} // namespace figrack::policy
