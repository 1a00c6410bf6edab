// The gateway's metrics, as the Prometheus text page.
//
// Guarantee: labels are bounded: outcomes by their table, nothing by caller or request.

#ifndef FIGRACK_GATEWAY_METRICS_H
#define FIGRACK_GATEWAY_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace figrack::gateway {

/// How a request ended.
enum class Ending : std::uint8_t {
    Answered,  ///< The endpoint's answer went out whole.
    NoRoute,   ///< No route, or the request could not be read.
    Refused,   ///< It has not run and will not.
    Failed,    ///< It may have run; a failure was answered.
    BrokenOff, ///< A stream that had begun was cut.
    CallerGone,
    Denied,    ///< It showed no key of an account.
    OverLimit, ///< Its account had used up its limit.
};

/// @return "answered", "no_route", ...
auto endingName(Ending ending) -> std::string_view;

/// What the page shows of the present moment.
struct GatewayGauges
{
    std::uint64_t version = 0; ///< Of the configuration in force.
    std::uint64_t endpoints = 0;
    std::uint64_t waiting = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t suspects = 0;    ///< Rows of suspected work, in quarantine or not.
    std::uint64_t quarantined = 0; ///< Of those, in quarantine.
    std::uint64_t rateLimited = 0; ///< Endpoints that take a limited rate of requests.
    std::uint64_t backedOff = 0;   ///< Endpoints whose backoff lasts.
    bool ready = false;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    /// @param firstByte from arrival to the first byte of the answer
    /// @param total from arrival to the end
    auto onRequest(Ending ending, Duration firstByte, Duration total) -> void;
    auto onDispatch(bool isRepeat) -> void;
    auto onEndpointFailure() -> void;
    /// The process of an endpoint ended while requests of this gateway were in progress there.
    auto onEndpointEnded() -> void;
    /// A request was refused, as its work is in quarantine.
    auto onQuarantined() -> void;
    /// An endpoint named the rate of requests that it takes.
    auto onRateNamed() -> void;
    /// An endpoint rejected a request and asked for a backoff.
    auto onBackoffAsked() -> void;
    /// A choice among several endpoints. @param by who made it, of a fixed set
    auto onPick(std::string_view by) -> void;
    /// A document was put into force. @param took since it, or a newer one, was announced here
    /// @param overdue questions for it that another control was asked besides
    /// @param fetchedBytes of its blocks
    auto onDocument(Duration took, std::uint32_t overdue, std::uint64_t fetchedBytes) -> void;
    /// @return the page
    auto text(const GatewayGauges &gauges) -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_METRICS_H
