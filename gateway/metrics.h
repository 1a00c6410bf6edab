// The gateway's metrics, in the Prometheus text format.
//
// Guarantee: the number of label values is bounded. They come from fixed tables or are services of
// a configuration, and never come from a caller or a request.

#ifndef FIGRACK_GATEWAY_METRICS_H
#define FIGRACK_GATEWAY_METRICS_H

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

/// How a request ended.
enum class RequestOutcome : std::uint8_t {
    Answered,      ///< The endpoint's answer was sent completely.
    NoRoute,       ///< There is no route for the request.
    Refused,       ///< The request has not run and will not run.
    Failed,        ///< The request may have run, and an error was sent.
    BrokenOff,     ///< A stream that had begun was not completed.
    CallerGone,    ///< The caller disconnected.
    Denied,        ///< The request had no key of an account.
    OverLimit,     ///< The account had used up its limit.
    InternalError, ///< An exception in this process ended the request.
};

/// @return "answered", "no_route", ...
auto requestOutcomeName(RequestOutcome outcome) -> std::string_view;

/// How a request ended whose caller takes a stream up again.
enum class ResumptionOutcome : std::uint8_t {
    WentOn,     ///< An event, or the end of the whole stream, was sent.
    Unknown,    ///< The software version that began the stream is not known.
    Foreign,    ///< Another account began the stream.
    NoEndpoint, ///< No endpoint of the version that began the stream is left.
    Other,
};

/// @return "went_on", "unknown", "foreign", "no_endpoint" or "other"
auto resumptionOutcomeName(ResumptionOutcome outcome) -> std::string_view;

/// The kind of exception that ended a request.
enum class InternalErrorReason : std::uint8_t {
    MissingEntry, ///< A table did not contain what was looked up.
    OutOfMemory,
    Io,
    Other,
};

/// @return "missing_entry", "out_of_memory", "io" or "other"
auto internalErrorReasonName(InternalErrorReason reason) -> std::string_view;

auto internalErrorReason(const std::exception &error) -> InternalErrorReason;

/// Current values that the page shows.
struct GatewayGauges
{
    std::uint64_t version = 0; ///< Version of the configuration in force.
    std::uint64_t endpoints = 0;
    std::uint64_t waiting = 0;
    std::uint64_t queued = 0; ///< Requests that wait at a balancer for a place.
    std::uint64_t inProgress = 0;
    std::uint64_t suspects = 0;    ///< Entries of suspected work, in quarantine or not.
    std::uint64_t quarantined = 0; ///< Entries that are in quarantine.
    std::uint64_t rateLimited = 0; ///< Endpoints that accept only a limited rate of requests.
    std::uint64_t backedOff = 0;   ///< Endpoints that are in backoff.
    std::uint64_t heldBytes = 0;   ///< Of bodies, answers and streams in memory.
    std::uint64_t callersBufferedFor = 0; ///< Callers that have not taken all of their streams.
    std::uint64_t unreachedGroups = 0;    ///< Groups of endpoints that cannot be connected to.
    std::uint64_t handedOver = 0; ///< Requests that other gateways have in progress for this.
    /// For how long no endpoint with requests in progress has sent anything.
    Duration endpointsSilent {};
    bool ready = false;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    /// @param firstByte time from arrival to the first byte of the answer
    /// @param total time from arrival to the end
    auto onRequest(RequestOutcome outcome, Duration firstByte, Duration total) -> void;
    auto onResumption(ResumptionOutcome outcome) -> void;
    /// An exception ended a request. @param service empty if its route was not known yet
    auto onInternalError(const ServiceId &service, InternalErrorReason reason) -> void;
    auto onDispatch(bool isRepeat) -> void;
    /// A dispatch ended without settling its request. @param end from a fixed set
    auto onDispatchEnd(std::string_view end) -> void;
    /// A retry was taken from the budget. @param paid by what, from a fixed set
    auto onRetry(std::string_view paid) -> void;
    auto onEndpointFailure() -> void;
    /// The process of an endpoint ended while it was running requests of this gateway.
    auto onEndpointEnded() -> void;
    /// A request was refused because its work is in quarantine.
    auto onQuarantined() -> void;
    /// A request was refused because its gateway or endpoints hold too many bytes.
    auto onMemoryRefused() -> void;
    /// An endpoint named the rate of requests that it accepts.
    auto onRateNamed() -> void;
    /// An endpoint rejected a request and asked for a backoff.
    auto onBackoffAsked() -> void;
    /// An endpoint was chosen among several. @param by who chose it, from a fixed set
    auto onPick(std::string_view by) -> void;
    /// A request was queued by a balancer, and its wait has ended. @param end from a fixed set
    auto onPlaceWait(std::string_view end, Duration waited) -> void;
    /// A queued request was granted a place. @param late time by which the grant came later than
    /// predicted; negative if it came earlier
    auto onGrantPredicted(Duration late) -> void;
    /// A document was put into force.
    /// @param took time since it, or a newer one, was announced here
    /// @param overdue number of requests for it that became overdue
    /// @param fetchedBytes size of its blocks that were fetched
    auto onDocument(Duration took, std::uint32_t overdue, std::uint64_t fetchedBytes) -> void;
    /// A newer load schedule of the leader was received.
    auto onLoadSchedule() -> void;
    /// A request was refused because its model's load is scheduled too late for it.
    auto onLoadTooLate() -> void;
    /// A request was handed to another gateway. @param end from a fixed set
    auto onHandedOver(std::string_view end) -> void;
    /// Another gateway has handed a request over.
    auto onTakenOver() -> void;
    /// The path to a group of endpoints has changed. @param state from a fixed set
    auto onPathChanged(std::string_view state) -> void;
    /// Other gateways or controls have been told the origins of so many streams.
    auto onOriginsTold(std::size_t streams) -> void;
    /// Another gateway or a control could not be told the origins of so many streams.
    auto onOriginTellsFailed(std::size_t streams) -> void;
    /// Another gateway was asked for the origin of a stream.
    auto onOriginAsked() -> void;
    /// The origin of a stream was looked for. @param source from a fixed set
    auto onOriginFound(std::string_view source) -> void;
    /// The origins of so many streams are no longer kept, or never were, for a bound.
    auto onOriginsDropped(std::size_t streams) -> void;
    /// @return the page
    auto text(const GatewayGauges &gauges) -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_METRICS_H
