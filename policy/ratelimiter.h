// Keeps what is sent to one endpoint to the rate that the endpoint names.
//
//   auto limiter = RateLimiter { options };
//   limiter.onAdvertisedRate(perSecond, heardAt, now);
//   if (limiter.allows(now)) { limiter.take(now); send(); } else
//   refuse(limiter.assignRetryAfter(now));
//
// The load that it answers: an overloaded endpoint that takes some requests a second from
// all gateways together, while callers ask for more. Tokens come evenly, and few are kept: what it
// was not sent before it cannot serve at once later.
//
// Who hears of a rate, and in which order, differs from sender to sender: the latest word
// counts, by when it was heard. Pure: no I/O, no clock. Not thread-safe.

#ifndef FIGRACK_POLICY_RATELIMITER_H
#define FIGRACK_POLICY_RATELIMITER_H

#include <optional>

#include "core/clock.h"

namespace figrack::policy {

struct RateLimiterOptions
{
    /// Of the named rate, for a sender that must leave the rest to others.
    double part = 1;
    /// Requests that may be sent at once: what comes in so long, and one at least.
    Duration burst = std::chrono::milliseconds { 500 };
    /// An endpoint that names less is sent so much all the same: only an answer tells that it takes
    /// more again.
    double leastPerSecond = 0.1;
    /// When an endpoint first names a rate; below zero the first request waits longer.
    double initialTokens = 1;
    /// Nobody is told to come back later: a replica elsewhere takes about as long.
    Duration latestReturn = std::chrono::seconds { 4 };
};

class RateLimiter
{
public:
    explicit RateLimiter(const RateLimiterOptions &options = {})
        : options_(options)
    { }
    /// @param perSecond requests a second; absent: any number @param heardAt when it was named
    auto onAdvertisedRate(std::optional<double> perSecond, Instant heardAt, Instant now) -> void;
    /// Changes the part of the named rate that this sender may use. @param part above 0
    auto setPart(double part, Instant now) -> void;
    auto isLimited() const -> bool { return named_.has_value(); }
    /// @return true when a request may be sent
    auto allows(Instant now) const -> bool;
    /// A request is sent.
    auto take(Instant now) -> void;
    /// @return when a request may be sent that may not be sent now, behind those that were told
    /// before; now, without a limit
    auto nextAt(Instant now) const -> Instant;
    /// A request is told to come back.
    /// @return how long after now
    auto assignRetryAfter(Instant now) -> Duration;

private:
    auto perSecond() const -> double;
    auto capacity() const -> double;
    auto tokens(Instant now) const -> double;
    auto refill(Instant now) -> void;

    RateLimiterOptions options_;
    std::optional<double> named_; ///< Requests a second; absent: no limit.
    Instant heardAt_ {};
    double tokens_ = 0; ///< At refilledAt_.
    Instant refilledAt_ {};
    Instant lastReturn_ {}; ///< Of those that were told when to come back.
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_RATELIMITER_H
