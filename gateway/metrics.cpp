#include "gateway/metrics.h"

#include <array>
#include <new>
#include <stdexcept>
#include <system_error>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "core/duration.h"

namespace figrack::gateway {
namespace {

const auto secondBuckets
        = prometheus::Histogram::BucketBoundaries { 0.01, 0.03, 0.1, 0.2, 0.3, 0.5,
                                                    0.8,  1,    2,   5,   10,  20 };
const auto predictionErrorBuckets
        = prometheus::Histogram::BucketBoundaries { -2,   -1,  -0.5, -0.2, -0.1, -0.03, 0,
                                                    0.03, 0.1, 0.2,  0.5,  1,    2 };
constexpr auto requestOutcomeNames
        = std::array<std::string_view, 9> { "answered", "no_route",   "refused",
                                            "failed",   "broken_off", "caller_gone",
                                            "denied",   "over_limit", "internal_error" };
constexpr auto resumptionOutcomeNames
        = std::array<std::string_view, 5> { "went_on", "unknown", "foreign", "no_endpoint",
                                            "other" };
constexpr auto internalErrorReasonNames
        = std::array<std::string_view, 4> { "missing_entry", "out_of_memory", "io", "other" };

} // namespace

auto requestOutcomeName(RequestOutcome outcome) -> std::string_view
{
    return requestOutcomeNames[static_cast<std::size_t>(outcome) % requestOutcomeNames.size()];
}

auto resumptionOutcomeName(ResumptionOutcome outcome) -> std::string_view
{
    return resumptionOutcomeNames[static_cast<std::size_t>(outcome)
                                  % resumptionOutcomeNames.size()];
}

auto internalErrorReasonName(InternalErrorReason reason) -> std::string_view
{
    return internalErrorReasonNames[static_cast<std::size_t>(reason)
                                    % internalErrorReasonNames.size()];
}

auto internalErrorReason(const std::exception &error) -> InternalErrorReason
{
    const auto *tried = &error;
    if (dynamic_cast<const std::out_of_range *>(tried) != nullptr)
        return InternalErrorReason::MissingEntry;
    if (dynamic_cast<const std::bad_alloc *>(tried) != nullptr
        || dynamic_cast<const std::length_error *>(tried) != nullptr)
        return InternalErrorReason::OutOfMemory;
    if (dynamic_cast<const std::system_error *>(tried) != nullptr)
        return InternalErrorReason::Io;
    return InternalErrorReason::Other;
}

class Metrics::Impl
{
public:
    Impl()
        : requests(prometheus::BuildCounter()
                           .Name("figrack_gateway_requests_total")
                           .Help("Requests by how they ended")
                           .Register(registry))
        , resumptions(prometheus::BuildCounter()
                              .Name("figrack_gateway_resumptions_total")
                              .Help("Streams that their callers took up again, by how that ended")
                              .Register(registry))
        , internalErrors(prometheus::BuildCounter()
                                 .Name("figrack_gateway_internal_errors_total")
                                 .Help("Requests ended by an exception in this process")
                                 .Register(registry))
        , dispatches(prometheus::BuildCounter()
                             .Name("figrack_gateway_dispatches_total")
                             .Help("Sends to endpoints, first ones and repeats")
                             .Register(registry))
        , dispatchEnds(
                  prometheus::BuildCounter()
                          .Name("figrack_gateway_dispatch_ends_total")
                          .Help("Dispatches that did not settle their request, by how they ended")
                          .Register(registry))
        , retries(prometheus::BuildCounter()
                          .Name("figrack_gateway_retries_total")
                          .Help("Retries that were wanted, by what pays for them")
                          .Register(registry))
        , failures(prometheus::BuildCounter()
                           .Name("figrack_gateway_endpoint_failures_total")
                           .Help("Dispatches that an endpoint did not answer")
                           .Register(registry)
                           .Add({}))
        , ended(prometheus::BuildCounter()
                        .Name("figrack_gateway_endpoints_ended_total")
                        .Help("Ends of endpoints under requests of this gateway")
                        .Register(registry)
                        .Add({}))
        , quarantineRefusals(prometheus::BuildCounter()
                                     .Name("figrack_gateway_quarantine_refusals_total")
                                     .Help("Requests refused, as their work is in quarantine")
                                     .Register(registry)
                                     .Add({}))
        , memoryRefusals(prometheus::BuildCounter()
                                 .Name("figrack_gateway_memory_refusals_total")
                                 .Help("Requests refused, as too many bytes are held")
                                 .Register(registry)
                                 .Add({}))
        , ratesNamed(prometheus::BuildCounter()
                             .Name("figrack_gateway_rates_named_total")
                             .Help("Answers in which an endpoint named the rate that it takes")
                             .Register(registry)
                             .Add({}))
        , backoffsAsked(
                  prometheus::BuildCounter()
                          .Name("figrack_gateway_backoffs_asked_total")
                          .Help("Answers in which an endpoint asked for no requests for a time")
                          .Register(registry)
                          .Add({}))
        , picks(prometheus::BuildCounter()
                        .Name("figrack_gateway_picks_total")
                        .Help("Choices among endpoints, by who made them")
                        .Register(registry))
        , placeWaits(prometheus::BuildHistogram()
                             .Name("figrack_gateway_place_wait_seconds")
                             .Help("Time in a balancer's queue, by how the wait ended")
                             .Register(registry))
        , predictionError(prometheus::BuildHistogram()
                                  .Name("figrack_gateway_place_prediction_error_seconds")
                                  .Help("Time in a balancer's queue until the grant, less the "
                                        "predicted time")
                                  .Register(registry)
                                  .Add({}, predictionErrorBuckets))
        , latency(prometheus::BuildHistogram()
                          .Name("figrack_gateway_request_seconds")
                          .Help("Arrival to first byte and to the end")
                          .Register(registry))
        , documentDelay(prometheus::BuildHistogram()
                                .Name("figrack_gateway_document_seconds")
                                .Help("Announcement of a document to its being in force")
                                .Register(registry)
                                .Add({}, secondBuckets))
        , documentOverdue(prometheus::BuildCounter()
                                  .Name("figrack_gateway_document_questions_overdue_total")
                                  .Help("Questions for documents that were asked elsewhere besides")
                                  .Register(registry)
                                  .Add({}))
        , documentBytes(prometheus::BuildCounter()
                                .Name("figrack_gateway_document_bytes_total")
                                .Help("Bytes of blocks of documents that were fetched")
                                .Register(registry)
                                .Add({}))
        , loadSchedules(prometheus::BuildCounter()
                                .Name("figrack_gateway_load_schedules_total")
                                .Help("Load schedules received, each newer than the one before")
                                .Register(registry)
                                .Add({}))
        , loadsTooLate(prometheus::BuildCounter()
                               .Name("figrack_gateway_load_too_late_total")
                               .Help("Requests refused because of the time of a scheduled load")
                               .Register(registry)
                               .Add({}))
        , handoffs(prometheus::BuildCounter()
                           .Name("figrack_gateway_handoffs_total")
                           .Help("Requests handed to other gateways, by how that ended")
                           .Register(registry))
        , takenOver(prometheus::BuildCounter()
                            .Name("figrack_gateway_taken_over_total")
                            .Help("Requests that other gateways handed over")
                            .Register(registry)
                            .Add({}))
        , pathChanges(prometheus::BuildCounter()
                              .Name("figrack_gateway_path_changes_total")
                              .Help("Changes of the paths to endpoints, by the new state")
                              .Register(registry))
        , originTells(prometheus::BuildCounter()
                              .Name("figrack_gateway_origin_tells_total")
                              .Help("Origins of streams told to other gateways, by how that ended")
                              .Register(registry))
        , originsAsked(prometheus::BuildCounter()
                               .Name("figrack_gateway_origin_questions_total")
                               .Help("Questions to other gateways for the origin of a stream")
                               .Register(registry)
                               .Add({}))
        , originsFound(prometheus::BuildCounter()
                               .Name("figrack_gateway_origins_found_total")
                               .Help("Streams whose origin was looked for, by how it was found")
                               .Register(registry))
        , originsDropped(prometheus::BuildCounter()
                                 .Name("figrack_gateway_origins_dropped_total")
                                 .Help("Origins of streams dropped because of a bound")
                                 .Register(registry)
                                 .Add({}))
        , gauges(prometheus::BuildGauge()
                         .Name("figrack_gateway_now")
                         .Help("The present moment, by what")
                         .Register(registry))
    { }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &resumptions;
    prometheus::Family<prometheus::Counter> &internalErrors;
    prometheus::Family<prometheus::Counter> &dispatches;
    prometheus::Family<prometheus::Counter> &dispatchEnds;
    prometheus::Family<prometheus::Counter> &retries;
    prometheus::Counter &failures;
    prometheus::Counter &ended;
    prometheus::Counter &quarantineRefusals;
    prometheus::Counter &memoryRefusals;
    prometheus::Counter &ratesNamed;
    prometheus::Counter &backoffsAsked;
    prometheus::Family<prometheus::Counter> &picks;
    prometheus::Family<prometheus::Histogram> &placeWaits;
    prometheus::Histogram &predictionError;
    prometheus::Family<prometheus::Histogram> &latency;
    prometheus::Histogram &documentDelay;
    prometheus::Counter &documentOverdue;
    prometheus::Counter &documentBytes;
    prometheus::Counter &loadSchedules;
    prometheus::Counter &loadsTooLate;
    prometheus::Family<prometheus::Counter> &handoffs;
    prometheus::Counter &takenOver;
    prometheus::Family<prometheus::Counter> &pathChanges;
    prometheus::Family<prometheus::Counter> &originTells;
    prometheus::Counter &originsAsked;
    prometheus::Family<prometheus::Counter> &originsFound;
    prometheus::Counter &originsDropped;
    prometheus::Family<prometheus::Gauge> &gauges;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

auto Metrics::onRequest(RequestOutcome outcome, Duration firstByte, Duration total) -> void
{
    impl_->requests.Add({ { "end", std::string { requestOutcomeName(outcome) } } }).Increment();
    impl_->latency.Add({ { "until", "first_byte" } }, secondBuckets).Observe(inSeconds(firstByte));
    impl_->latency.Add({ { "until", "end" } }, secondBuckets).Observe(inSeconds(total));
}

auto Metrics::onResumption(ResumptionOutcome outcome) -> void
{
    impl_->resumptions.Add({ { "outcome", std::string { resumptionOutcomeName(outcome) } } })
            .Increment();
}

auto Metrics::onInternalError(const ServiceId &service, InternalErrorReason reason) -> void
{
    impl_->internalErrors
            .Add({ { "service", service.value() },
                   { "reason", std::string { internalErrorReasonName(reason) } } })
            .Increment();
}

auto Metrics::onDispatch(bool isRepeat) -> void
{
    impl_->dispatches.Add({ { "kind", isRepeat ? "repeat" : "first" } }).Increment();
}

auto Metrics::onDispatchEnd(std::string_view end) -> void
{
    impl_->dispatchEnds.Add({ { "end", std::string { end } } }).Increment();
}

auto Metrics::onRetry(std::string_view paid) -> void
{
    impl_->retries.Add({ { "paid", std::string { paid } } }).Increment();
}

auto Metrics::onEndpointFailure() -> void
{
    impl_->failures.Increment();
}

auto Metrics::onEndpointEnded() -> void
{
    impl_->ended.Increment();
}

auto Metrics::onQuarantined() -> void
{
    impl_->quarantineRefusals.Increment();
}

auto Metrics::onMemoryRefused() -> void
{
    impl_->memoryRefusals.Increment();
}

auto Metrics::onRateNamed() -> void
{
    impl_->ratesNamed.Increment();
}

auto Metrics::onBackoffAsked() -> void
{
    impl_->backoffsAsked.Increment();
}

auto Metrics::onPick(std::string_view by) -> void
{
    impl_->picks.Add({ { "by", std::string { by } } }).Increment();
}

auto Metrics::onPlaceWait(std::string_view end, Duration waited) -> void
{
    impl_->placeWaits.Add({ { "end", std::string { end } } }, secondBuckets)
            .Observe(inSeconds(waited));
}

auto Metrics::onGrantPredicted(Duration late) -> void
{
    impl_->predictionError.Observe(inSeconds(late));
}

auto Metrics::onDocument(Duration took, std::uint32_t overdue, std::uint64_t fetchedBytes) -> void
{
    impl_->documentDelay.Observe(inSeconds(took));
    impl_->documentOverdue.Increment(overdue);
    impl_->documentBytes.Increment(static_cast<double>(fetchedBytes));
}

auto Metrics::onLoadSchedule() -> void
{
    impl_->loadSchedules.Increment();
}

auto Metrics::onLoadTooLate() -> void
{
    impl_->loadsTooLate.Increment();
}

auto Metrics::onHandedOver(std::string_view end) -> void
{
    impl_->handoffs.Add({ { "end", std::string { end } } }).Increment();
}

auto Metrics::onTakenOver() -> void
{
    impl_->takenOver.Increment();
}

auto Metrics::onPathChanged(std::string_view state) -> void
{
    impl_->pathChanges.Add({ { "state", std::string { state } } }).Increment();
}

auto Metrics::onOriginsTold(std::size_t streams) -> void
{
    impl_->originTells.Add({ { "end", "told" } }).Increment(static_cast<double>(streams));
}

auto Metrics::onOriginTellsFailed(std::size_t streams) -> void
{
    impl_->originTells.Add({ { "end", "failed" } }).Increment(static_cast<double>(streams));
}

auto Metrics::onOriginAsked() -> void
{
    impl_->originsAsked.Increment();
}

auto Metrics::onOriginFound(std::string_view source) -> void
{
    impl_->originsFound.Add({ { "source", std::string { source } } }).Increment();
}

auto Metrics::onOriginsDropped(std::size_t streams) -> void
{
    impl_->originsDropped.Increment(static_cast<double>(streams));
}

auto Metrics::text(const GatewayGauges &gauges) -> std::string
{
    const auto set = [&](const char *what, double value) {
        impl_->gauges.Add({ { "what", what } }).Set(value);
    };
    set("config_version", static_cast<double>(gauges.version));
    set("endpoints", static_cast<double>(gauges.endpoints));
    set("waiting", static_cast<double>(gauges.waiting));
    set("queued", static_cast<double>(gauges.queued));
    set("in_progress", static_cast<double>(gauges.inProgress));
    set("suspects", static_cast<double>(gauges.suspects));
    set("quarantined", static_cast<double>(gauges.quarantined));
    set("rate_limited_endpoints", static_cast<double>(gauges.rateLimited));
    set("backed_off_endpoints", static_cast<double>(gauges.backedOff));
    set("held_bytes", static_cast<double>(gauges.heldBytes));
    set("callers_buffered_for", static_cast<double>(gauges.callersBufferedFor));
    set("unreached_groups", static_cast<double>(gauges.unreachedGroups));
    set("handed_over", static_cast<double>(gauges.handedOver));
    set("endpoints_silent_seconds", inSeconds(gauges.endpointsSilent));
    set("ready", gauges.ready ? 1 : 0);
    return prometheus::TextSerializer {}.Serialize(impl_->registry.Collect());
}

} // namespace figrack::gateway
