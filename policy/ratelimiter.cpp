// The bucket is filled lazily: tokens_ is the level at refilledAt_, and each change of the rate or
// of the level brings both up to date first.

#include "policy/ratelimiter.h"

#include <algorithm>

#include "core/duration.h"

namespace figrack::policy {
auto RateLimiter::onAdvertisedRate(std::optional<double> perSecond, Instant heardAt, Instant now)
        -> void
{
    if (heardAt < heardAt_)
        return;
    heardAt_ = heardAt;
    const auto wasLimited = isLimited();
    refill(now);
    advertised_ = perSecond;
    if (isLimited() && !wasLimited) {
        tokens_ = options_.initialTokens;
        lastAssigned_ = now;
    }
}

auto RateLimiter::setPart(double part, Instant now) -> void
{
    refill(now);
    options_.part = part;
}

auto RateLimiter::perSecond() const -> double
{
    return std::max(advertised_.value_or(0), options_.minPerSecond) * options_.part;
}

auto RateLimiter::capacity() const -> double
{
    return std::max(1.0, perSecond() * inSeconds(options_.burst));
}

auto RateLimiter::tokens(Instant now) const -> double
{
    return std::min(capacity(), tokens_ + perSecond() * inSeconds(now - refilledAt_));
}

auto RateLimiter::refill(Instant now) -> void
{
    tokens_ = tokens(now);
    refilledAt_ = now;
}

auto RateLimiter::allows(Instant now) const -> bool
{
    return !isLimited() || tokens(now) >= 1;
}

auto RateLimiter::take(Instant now) -> void
{
    if (!isLimited())
        return;
    refill(now);
    tokens_ -= 1;
}

auto RateLimiter::nextAt(Instant now) const -> Instant
{
    if (!isLimited())
        return now;
    const auto lacking = std::max(0.0, 1 - tokens(now));
    const auto soonest = now + fromSeconds(lacking / perSecond());
    const auto next = std::max(soonest, lastAssigned_ + fromSeconds(1 / perSecond()));
    return std::min(next, now + options_.maxRetryAfter);
}

auto RateLimiter::assignRetryAfter(Instant now) -> Duration
{
    lastAssigned_ = nextAt(now);
    return lastAssigned_ - now;
}

} // namespace figrack::policy
