// Limits the number of retries across all gateways.
//
//   budget.onRequest(service);
//   if (budget.take(service)) retry();
//
// In any window, a deployment allows each service a number of retries that is a fraction of its
// requests plus a fixed number, summed over all gateways. Each gateway uses the fraction of its own
// requests and an equal part of the fixed number, so the gateways need not communicate for each
// request. Not thread-safe.

#ifndef FIGRACK_GATEWAY_RETRYWINDOW_H
#define FIGRACK_GATEWAY_RETRYWINDOW_H

#include <cstdint>
#include <deque>
#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

struct RetryWindowOptions
{
    double ratio = 0.2; ///< Retries per request, over all gateways.
    double slack = 50;  ///< Additional retries per window, over all gateways.
    Duration window = std::chrono::seconds { 10 };
    /// Fraction of the allowed retries that is used, since window boundaries differ between
    /// gateways and their number is known only with a delay.
    double margin = 0.7;
};

class RetryWindow
{
public:
    RetryWindow(RetryWindowOptions options, const Clock &clock);
    /// @param gateways number of gateways, including this one; at least 1
    auto setGateways(std::uint32_t gateways) -> void;
    auto onRequest(const ServiceId &service) -> void;
    /// @return true if another retry may be sent, and counts it
    auto take(const ServiceId &service) -> bool;

private:
    struct Counts
    {
        std::deque<Instant> requests;
        std::deque<Instant> repeats;
    };
    auto trim(Counts &counts) -> void;

    RetryWindowOptions options_;
    const Clock &clock_;
    std::uint32_t gateways_ = 8; ///< Until set, assumes a fleet of the usual size.
    std::map<ServiceId, Counts> counts_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_RETRYWINDOW_H
