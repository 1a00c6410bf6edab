// How many requests may be sent once more, over all gateways together.
//
//   budget.onRequest(service);
//   if (budget.take(service)) sendOnceMore();
//
// A deployment allows each service, in any window, a share of its requests plus
// a fixed number of repeats, summed over all gateways. Each gateway keeps to
// the share of its own requests and an equal part of the fixed number, so that
// no talk is needed for a request. Not thread-safe.

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
    double ratio = 0.2; ///< Repeats a request, over all gateways.
    double slack = 50;  ///< Repeats a window besides, over all gateways.
    Duration window = std::chrono::seconds { 10 };
    /// Part of what is allowed that is used: gateways count windows and one another late.
    double margin = 0.7;
};

class RetryWindow
{
public:
    RetryWindow(RetryWindowOptions options, const Clock &clock);
    /// @param gateways how many there are, this one included; at least 1
    auto setGateways(std::uint32_t gateways) -> void;
    auto onRequest(const ServiceId &service) -> void;
    /// @return true when one more repeat may be sent; it is counted then
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
    std::uint32_t gateways_ = 8; ///< Until told: a fleet of the usual size.
    std::map<ServiceId, Counts> counts_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_RETRYWINDOW_H
