#include "gateway/localrates.h"

#include <algorithm>

#include "core/duration.h"

namespace figrack::gateway {
namespace {

/// Fraction of the rate that all gateways without a balancer use together.
constexpr auto localShare = 0.5;
/// Time over which requests to one endpoint are counted together.
constexpr auto window = std::chrono::seconds { 4 };

} // namespace

LocalRates::LocalRates(const Clock &clock, Random &random)
    : clock_(clock)
    , random_(random)
{ }

auto LocalRates::part() const -> double
{
    return localShare / gateways_;
}

auto LocalRates::setGateways(std::uint32_t gateways) -> void
{
    const auto now = clock_.now();
    while (!counts_.empty() && now - counts_.front().first > window)
        counts_.pop_front();
    counts_.emplace_back(now, std::max(gateways, 1U));
    const auto largest = std::max_element(
            counts_.begin(), counts_.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; });
    if (gateways_ == largest->second)
        return;
    gateways_ = largest->second;
    for (auto &[id, row] : rows_)
        row.limiter.setPart(part(), now);
}

auto LocalRates::begin(double perSecond) -> Row
{
    const auto inWindow = perSecond * part() * inSeconds(window);
    auto options = policy::RateLimiterOptions {};
    options.part = part();
    options.initialTokens = random_.chance(std::min(inWindow, 1.0)) ? 1 : -random_.unit();
    return { policy::RateLimiter { options }, clock_.now() };
}

auto LocalRates::take(const EndpointId &id, double perSecond) -> std::optional<Duration>
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
