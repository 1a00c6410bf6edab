// Limits what this gateway sends to endpoints that named a rate while no balancer counts for all
// gateways.
//
//   rates.setGateways(count);
//   if (const auto roomIn = rates.take(id, rate)) refuse(*roomIn);   // no balancer answered
//   rates.onCounted();                                               // a balancer answered
//
// This covers the case that the controls are unavailable, or that a request to a balancer was not
// answered in time, while an endpoint accepts fewer requests than callers send. Each gateway uses
// an equal part of half of the rate. The other half is for gateways for which a balancer still
// counts. Unused rate is not accumulated. A gateway that starts to limit locally draws at random
// whether its first request may go, so that of many gateways that start at once, as many send one
// as the rate allows within a window. Depends only on the clock and on random numbers. Memory is
// bounded by the number of endpoints used without a balancer within a window. Not thread-safe.

#ifndef FIGRACK_GATEWAY_LOCALRATES_H
#define FIGRACK_GATEWAY_LOCALRATES_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "policy/ratelimiter.h"

namespace figrack::gateway {

class LocalRates
{
public:
    /// @param clock must outlive this object
    /// @param random must outlive this object
    LocalRates(const Clock &clock, Random &random);
    /// The largest number of the last window divides the rate, since gateways that are not counted
    /// any more have used their parts of it.
    /// @param gateways number of gateways, including this one; at least 1
    auto setGateways(std::uint32_t gateways) -> void;
    /// Decides whether a request may be sent to an endpoint that named a rate.
    /// @param perSecond rate that the endpoint accepts from all gateways together
    /// @return nullopt if the request may be sent, and counts it; otherwise the time after which it
    /// may
    auto take(const EndpointId &id, double perSecond) -> std::optional<Duration>;
    /// Called when a balancer has answered: local counts are dropped.
    auto onCounted() -> void { rows_.clear(); }

private:
    struct Row
    {
        policy::RateLimiter limiter;
        Instant usedAt {};
    };
    auto part() const -> double;
    auto begin(double perSecond) -> Row;

    const Clock &clock_;
    Random &random_;
    std::uint32_t gateways_ = 8; ///< Until set, assumes a fleet of the usual size.
    std::deque<std::pair<Instant, std::uint32_t>> counts_; ///< Of gateways, in the last window.
    std::map<EndpointId, Row> rows_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_LOCALRATES_H
