// Limits what is sent to one endpoint to the rate that the endpoint advertises.
//
//   auto limiter = RateLimiter { options };
//   limiter.onAdvertisedRate(perSecond, heardAt, now);
//   if (limiter.allows(now)) { limiter.take(now); send(); }
//   else refuse(limiter.assignRetryAfter(now));
//
// Expected load: an overloaded endpoint takes some requests a second from all gateways
// together, while callers ask for more. This is a token bucket that fills evenly and holds few
// tokens: an endpoint that received less than its rate cannot serve the difference at once
// later.
//
// Senders learn of rates at different times and in different orders, so the rate with the
// latest heardAt applies. Pure: no I/O, no clock. Not thread-safe.

#ifndef FIGRACK_POLICY_RATELIMITER_H
#define FIGRACK_POLICY_RATELIMITER_H

#include <optional>

#include "core/clock.h"

namespace figrack::policy {

struct RateLimiterOptions
{
    /// Fraction of the advertised rate that this sender may use; the rest is for other senders.
    double part = 1;
    /// Bucket capacity: the requests that the rate allows in this time, and at least one.
    Duration burst = std::chrono::milliseconds { 500 };
    /// Minimum rate, in requests a second. It applies even if the endpoint advertises less, since
    /// only a response can show that the endpoint accepts more again.
    double minPerSecond = 0.1;
    /// Tokens when an endpoint first advertises a rate; negative to delay the first request.
    double initialTokens = 1;
    /// Longest retry time returned: loading a replica elsewhere takes about as long.
    Duration maxRetryAfter = std::chrono::seconds { 4 };
};

class RateLimiter
{
public:
    explicit RateLimiter(const RateLimiterOptions &options = {})
        : options_(options)
    { }
    /// Sets the advertised rate, unless a later one is already set.
    /// @param perSecond requests a second; nullopt: unlimited
    /// @param heardAt when the endpoint advertised it
    auto onAdvertisedRate(std::optional<double> perSecond, Instant heardAt, Instant now) -> void;
    /// Changes the fraction of the advertised rate that this sender may use.
    /// @param part above 0
    auto setPart(double part, Instant now) -> void;
    auto isLimited() const -> bool { return advertised_.has_value(); }
    /// @return true when a request may be sent
    auto allows(Instant now) const -> bool;
    /// Takes a token for a request that is sent.
    auto take(Instant now) -> void;
    /// @return when a request that is refused now may be sent, after those that were assigned a
    /// time before; `now` when there is no limit
    auto nextAt(Instant now) const -> Instant;
    /// Assigns a retry time to a refused request.
    /// @return time from now
    auto assignRetryAfter(Instant now) -> Duration;

private:
    auto perSecond() const -> double;
    auto capacity() const -> double;
    auto tokens(Instant now) const -> double;
    auto refill(Instant now) -> void;

    RateLimiterOptions options_;
    std::optional<double> advertised_; ///< Requests a second; nullopt: no limit.
    Instant heardAt_ {};
    double tokens_ = 0; ///< At refilledAt_.
    Instant refilledAt_ {};
    Instant lastAssigned_ {}; ///< Latest retry time assigned.
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_RATELIMITER_H
