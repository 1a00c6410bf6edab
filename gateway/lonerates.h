// What this gateway sends to endpoints that named a rate while no balancer counts for all gateways.
//
//   rates.setGateways(count);
//   if (const auto roomIn = rates.take(id, rate)) refuse(*roomIn);   // nobody that counts answered
//   rates.onCounted();                                               // somebody did
//
// The load that it answers: control is away, or a question was not answered in time, and an
// endpoint takes fewer requests than callers ask for. Each gateway uses an equal part of half of
// the rate: the other half is for those that a balancer still counts for. Nothing is saved up,
// and who begins draws whether its first request goes: of many gateways that begin at once as
// many send one as the rate allows in a window. Pure but for the clock and the draw. Bounded by
// the endpoints that were asked for alone within a window. Not thread-safe.

#ifndef FIGRACK_GATEWAY_LONERATES_H
#define FIGRACK_GATEWAY_LONERATES_H

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "policy/ratelimiter.h"

namespace figrack::gateway {

class LoneRates
{
public:
    /// @param clock and random outlive this
    LoneRates(const Clock &clock, Random &random);
    /// @param gateways how many there are, this one included; at least 1
    auto setGateways(std::uint32_t gateways) -> void;
    /// A request is to be sent to an endpoint that named a rate.
    /// @param perSecond that it takes from all gateways
    /// @return nullopt: it may go, and is counted; else when to come back
    auto take(const EndpointId &id, double perSecond) -> std::optional<Duration>;
    /// A balancer has answered.
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
    std::uint32_t gateways_ = 8; ///< Until told: a fleet of the usual size.
    std::map<EndpointId, Row> rows_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_LONERATES_H
