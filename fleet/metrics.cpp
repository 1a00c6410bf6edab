#include "fleet/metrics.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "core/duration.h"

namespace figrack::fleet {
namespace {

const auto secondBuckets
        = prometheus::Histogram::BucketBoundaries { 0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1 };
const auto waitBuckets
        = prometheus::Histogram::BucketBoundaries { 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4 };
/// Negative: served earlier than predicted.
const auto errorBuckets
        = prometheus::Histogram::BucketBoundaries { -1,   -0.4, -0.2, -0.1, -0.05, 0,
                                                    0.05, 0.1,  0.2,  0.4,  1 };

const auto loadErrorBuckets
        = prometheus::Histogram::BucketBoundaries { -1, -0.5, -0.2, -0.1, 0, 0.1, 0.2, 0.5, 1, 3 };
constexpr auto loadStateNames = std::array<const char *, 3> { "ordered", "planned", "deferred" };

/// @param total the counter's new value, not below the present one
auto raiseTo(prometheus::Counter &counter, std::uint64_t total) -> void
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

class Metrics::Impl
{
public:
    Impl()
        : refused(prometheus::BuildCounter()
                          .Name("figrack_core_announcements_refused_total")
                          .Help("Announcements that name no endpoint to use")
                          .Register(registry)
                          .Add({}))
        , notAcknowledged(prometheus::BuildCounter()
                                  .Name("figrack_core_announcements_not_acknowledged_total")
                                  .Help("Announcements used while out of touch with the group")
                                  .Register(registry)
                                  .Add({}))
        , rolloutSeconds(prometheus::BuildHistogram()
                                 .Name("figrack_core_change_spread_seconds")
                                 .Help("Commit of a change to its acknowledgement")
                                 .Register(registry)
                                 .Add({}, secondBuckets))
        , gatewaysBehind(prometheus::BuildCounter()
                                 .Name("figrack_core_change_lacking_total")
                                 .Help("Gateways that did not obey a change at its acknowledgement")
                                 .Register(registry)
                                 .Add({}))
        , accountsOverShare(prometheus::BuildGauge()
                                    .Name("figrack_core_accounts_over_share")
                                    .Help("Accounts that recently got more than their share")
                                    .Register(registry)
                                    .Add({}))
        , placesWaiting(prometheus::BuildGauge()
                                .Name("figrack_core_place_queue_length")
                                .Help("Requests that wait for a slot")
                                .Register(registry)
                                .Add({}))
        , placeWaits(prometheus::BuildHistogram()
                             .Name("figrack_core_place_wait_seconds")
                             .Help("Wait of queued requests that were granted a slot")
                             .Register(registry)
                             .Add({}, waitBuckets))
        , placeErrors(prometheus::BuildHistogram()
                              .Name("figrack_core_place_prediction_error_seconds")
                              .Help("Wait of a granted request, less the predicted one")
                              .Register(registry)
                              .Add({}, errorBuckets))
        , placeRefusals(
                  prometheus::BuildCounter()
                          .Name("figrack_core_place_refusals_total")
                          .Help("Requests refused for want of a slot, by cause and by whether "
                                "they had been queued")
                          .Register(registry))
        , placePromises(prometheus::BuildCounter()
                                .Name("figrack_core_place_promises_total")
                                .Help("Promised returns, by what became of them")
                                .Register(registry))
        , loadErrorSeconds(prometheus::BuildHistogram()
                                   .Name("figrack_core_load_promise_error_seconds")
                                   .Help("Time until a model was held, less the time promised")
                                   .Register(registry)
                                   .Add({}, loadErrorBuckets))
        , loadsPutOff(prometheus::BuildCounter()
                              .Name("figrack_core_loads_put_off_total")
                              .Help("Loads put off because their requests could wait")
                              .Register(registry)
                              .Add({}))
        , scheduledLoads(prometheus::BuildGauge()
                                 .Name("figrack_core_scheduled_loads")
                                 .Help("Rows of the latest load schedule, by state")
                                 .Register(registry))
        , originsKept(prometheus::BuildCounter()
                              .Name("figrack_core_origins_kept_total")
                              .Help("Origins of streams that gateways have told")
                              .Register(registry)
                              .Add({}))
        , originsDropped(prometheus::BuildCounter()
                                 .Name("figrack_core_origins_dropped_total")
                                 .Help("Origins of streams that exceeded a bound")
                                 .Register(registry)
                                 .Add({}))
        , originsAsked(prometheus::BuildCounter()
                               .Name("figrack_core_origins_asked_total")
                               .Help("Questions of gateways for the origin of a stream")
                               .Register(registry))
        , inTouch(prometheus::BuildGauge()
                          .Name("figrack_core_in_touch")
                          .Help("1 while this control is a member in contact with its group")
                          .Register(registry)
                          .Add({}))
        , isVoter(prometheus::BuildGauge()
                          .Name("figrack_core_voter")
                          .Help("1 while this control finds itself among the group's voters")
                          .Register(registry)
                          .Add({}))
        , groupVoters(prometheus::BuildGauge()
                              .Name("figrack_core_group_voters")
                              .Help("Voters of the group, as far as this control knows")
                              .Register(registry)
                              .Add({}))
    {
        auto &grants = prometheus::BuildCounter()
                               .Name("figrack_core_account_grants_total")
                               .Help("Requests of accounts with limits that got a place")
                               .Register(registry);
        grantsWithinShare = &grants.Add({ { "share", "within" } });
        grantsOverShare = &grants.Add({ { "share", "over" } });
        auto &endpoints = prometheus::BuildGauge()
                                  .Name("figrack_core_endpoints_by_speed")
                                  .Help("Endpoints by their prefill time compared with the mean")
                                  .Register(registry);
        for (auto i = std::size_t { 0 }; i < speedClassNames.size(); ++i)
            endpointsBySpeed.at(i)
                    = &endpoints.Add({ { "speed", std::string { speedClassNames.at(i) } } });
    }

    prometheus::Registry registry;
    prometheus::Counter &refused;
    prometheus::Counter &notAcknowledged;
    prometheus::Histogram &rolloutSeconds;
    prometheus::Counter &gatewaysBehind;
    prometheus::Gauge &accountsOverShare;
    prometheus::Counter *grantsWithinShare = nullptr;
    prometheus::Counter *grantsOverShare = nullptr;
    std::array<prometheus::Gauge *, speedClassNames.size()> endpointsBySpeed {};
    prometheus::Gauge &placesWaiting;
    prometheus::Histogram &placeWaits;
    prometheus::Histogram &placeErrors;
    prometheus::Family<prometheus::Counter> &placeRefusals;
    prometheus::Family<prometheus::Counter> &placePromises;
    prometheus::Histogram &loadErrorSeconds;
    prometheus::Counter &loadsPutOff;
    prometheus::Family<prometheus::Gauge> &scheduledLoads;
    prometheus::Counter &originsKept;
    prometheus::Counter &originsDropped;
    prometheus::Family<prometheus::Counter> &originsAsked;
    prometheus::Gauge &inTouch;
    prometheus::Gauge &isVoter;
    prometheus::Gauge &groupVoters;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

auto Metrics::onAnnouncementRefused() -> void
{
    impl_->refused.Increment();
}

auto Metrics::onAnnouncementNotAcknowledged() -> void
{
    impl_->notAcknowledged.Increment();
}

auto Metrics::onAcknowledged(Duration waited, std::size_t gatewaysBehind) -> void
{
    impl_->rolloutSeconds.Observe(std::chrono::duration<double> { waited }.count());
    impl_->gatewaysBehind.Increment(static_cast<double>(gatewaysBehind));
}

auto Metrics::onOriginsTold(std::size_t kept, std::size_t dropped) -> void
{
    impl_->originsKept.Increment(static_cast<double>(kept));
    impl_->originsDropped.Increment(static_cast<double>(dropped));
}

auto Metrics::onOriginAsked(bool isKnown) -> void
{
    impl_->originsAsked.Add({ { "known", isKnown ? "true" : "false" } }).Increment();
}

auto Metrics::setGroup(const GroupPart &part) -> void
{
    impl_->inTouch.Set(part.isInTouch ? 1 : 0);
    impl_->isVoter.Set(part.isVoter ? 1 : 0);
    impl_->groupVoters.Set(static_cast<double>(part.voters));
}

auto Metrics::setPicks(const BalancerStatus &status) -> void
{
    impl_->accountsOverShare.Set(static_cast<double>(status.accountsOverShare));
    raiseTo(*impl_->grantsWithinShare, status.grantsWithinShare);
    raiseTo(*impl_->grantsOverShare, status.grantsOverShare);
    for (auto i = std::size_t { 0 }; i < status.endpointsBySpeed.size(); ++i)
        impl_->endpointsBySpeed.at(i)->Set(static_cast<double>(status.endpointsBySpeed.at(i)));
}

auto Metrics::onPlaceNotice(const PlaceNotice &notice) -> void
{
    const auto countRefusal = [&](const char *queued) {
        impl_->placeRefusals
                .Add({ { "cause", std::string { placeCauseName(notice.cause) } },
                       { "queued", queued } })
                .Increment();
    };
    const auto countPromise = [&](const char *outcome) {
        impl_->placePromises.Add({ { "outcome", outcome } }).Increment();
    };
    switch (notice.event) {
    case PlaceEvent::Queued:
        break;
    case PlaceEvent::Granted:
        impl_->placeWaits.Observe(inSeconds(notice.waited));
        impl_->placeErrors.Observe(inSeconds(notice.waited - notice.predicted));
        break;
    case PlaceEvent::Refused:
        countRefusal("no");
        break;
    case PlaceEvent::Shed:
        countRefusal("yes");
        break;
    case PlaceEvent::PromiseKept:
        countPromise("kept");
        break;
    case PlaceEvent::PromiseMissed:
        countPromise("missed");
        break;
    case PlaceEvent::PromiseExpired:
        countPromise("not_used");
        break;
    }
}

auto Metrics::onPlacesWaiting(std::size_t waiting) -> void
{
    impl_->placesWaiting.Set(static_cast<double>(waiting));
}

auto Metrics::onLoadHeld(Duration error) -> void
{
    impl_->loadErrorSeconds.Observe(inSeconds(error));
}

auto Metrics::onLoadPutOff() -> void
{
    impl_->loadsPutOff.Increment();
}

auto Metrics::onLoadSchedule(const proto::LoadSchedule &schedule) -> void
{
    for (auto i = std::size_t { 0 }; i < loadStateNames.size(); ++i) {
        const auto count
                = std::count_if(schedule.rows.begin(), schedule.rows.end(), [i](const auto &row) {
                      return static_cast<std::size_t>(row.state) == i;
                  });
        impl_->scheduledLoads.Add({ { "state", loadStateNames.at(i) } })
                .Set(static_cast<double>(count));
    }
}

auto Metrics::text() -> std::string
{
    return prometheus::TextSerializer {}.Serialize(impl_->registry.Collect());
}

} // namespace figrack::fleet
