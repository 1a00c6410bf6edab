// Limits the retries of one gateway to a fraction of its own requests.
//
//   window.onRequest(service);
//   if (window.take(service)) { ... window.send(service, now); }
//
// For a service, all gateways together may send a number of retries in any window that is a
// fraction of the requests for it. Each gateway keeps this for its own requests, so the gateways
// need not communicate. Their sums agree because each one compares the retries of a window with the
// requests of the same other window: the one that began half a window earlier, whose requests are
// known when most of the retries are sent.
//
// A retry counts from when it is taken until a window after it was sent: its request may wait for
// an endpoint in between. Not thread-safe.

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
    double ratio = 0.2; ///< Retries per request.
    Duration window = std::chrono::seconds { 10 };
    /// Usual time from a caller or to an endpoint. Requests and retries are counted where they are
    /// sent and where they arrive, so windows are compared with this tolerance.
    Duration transit = std::chrono::milliseconds { 100 };
    /// Retries and requests are compared for windows that begin in steps of this.
    Duration step = std::chrono::milliseconds { 100 };
};

class RetryWindow
{
public:
    RetryWindow(RetryWindowOptions options, const Clock &clock);
    auto onRequest(const ServiceId &service) -> void;
    /// Counts a retry that is to be sent.
    /// @return false if the requests allow no other one
    auto take(const ServiceId &service) -> bool;
    /// Returns a retry that was taken and will not be sent.
    auto giveBack(const ServiceId &service) -> void;
    /// A retry that was taken is sent. @param at now, or the latest time at which it may be sent
    auto send(const ServiceId &service, Instant at) -> void;
    /// A retry could not be sent after all, and is taken again. @param at as passed to send()
    auto revoke(const ServiceId &service, Instant at) -> void;

private:
    struct Counts
    {
        std::deque<Instant> requests;
        std::deque<Instant> sent; ///< Times of retries, in order.
        std::size_t taken = 0;    ///< Retries not sent yet.
    };
    auto trim(Counts &counts) const -> void;
    /// @return the number of requests that pay for the retries of any window that begins within a
    /// step from an instant on
    auto requestsFor(const Counts &counts, Instant from) const -> std::size_t;
    static auto countFrom(const std::deque<Instant> &times, Instant from) -> std::size_t;
    /// @return how long a retry counts
    auto countedFor() const -> Duration { return options_.window + options_.transit; }

    RetryWindowOptions options_;
    const Clock &clock_;
    std::map<ServiceId, Counts> counts_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_RETRYWINDOW_H
