#include "gateway/lonerates.h"

#include <algorithm>

#include "core/duration.h"

namespace figrack::gateway {
namespace {

/// Of the rate, what all gateways without a balancer use together.
constexpr auto aloneShare = 0.5;
/// Requests of an endpoint within it are counted together.
constexpr auto window = std::chrono::seconds { 4 };

} // namespace

LoneRates::LoneRates(const Clock &clock, Random &random)
    : clock_(clock)
    , random_(random)
{ }

auto LoneRates::part() const -> double
{
    return aloneShare / gateways_;
}

auto LoneRates::setGateways(std::uint32_t gateways) -> void
{
    gateways_ = std::max(gateways, 1U);
    for (auto &[id, row] : rows_)
        row.limiter.setPart(part(), clock_.now());
}

auto LoneRates::begin(double perSecond) -> Row
{
    const auto inWindow = perSecond * part() * inSeconds(window);
    auto options = policy::RateLimiterOptions {};
    options.part = part();
    options.initialTokens = random_.chance(std::min(inWindow, 1.0)) ? 1 : -random_.unit();
    return { policy::RateLimiter { options }, clock_.now() };
}

auto LoneRates::take(const EndpointId &id, double perSecond) -> std::optional<Duration>
{
    const auto now = clock_.now();
    std::erase_if(rows_, [now](const auto &item) { return now - item.second.usedAt > window; });
    auto found = rows_.find(id);
    if (found == rows_.end())
        found = rows_.emplace(id, begin(perSecond)).first;
    auto &[limiter, usedAt] = found->second;
    usedAt = now;
    limiter.onAdvertisedRate(perSecond, now, now);
    if (!limiter.allows(now))
        return limiter.assignRetryAfter(now);
    limiter.take(now);
    return std::nullopt;
}

} // namespace figrack::gateway
