#include "fleet/metrics.h"

#include <algorithm>
#include <array>

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
const auto errorBuckets
        = prometheus::Histogram::BucketBoundaries { -1, -0.5, -0.2, -0.1, 0, 0.1, 0.2, 0.5, 1, 3 };
constexpr auto loadStateNames = std::array<const char *, 3> { "ordered", "planned", "deferred" };

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
        , loadErrorSeconds(prometheus::BuildHistogram()
                                   .Name("figrack_core_load_promise_error_seconds")
                                   .Help("Time until a model was held, less the time promised")
                                   .Register(registry)
                                   .Add({}, errorBuckets))
        , loadsPutOff(prometheus::BuildCounter()
                              .Name("figrack_core_loads_put_off_total")
                              .Help("Loads put off because their requests could wait")
                              .Register(registry)
                              .Add({}))
        , scheduledLoads(prometheus::BuildGauge()
                                 .Name("figrack_core_scheduled_loads")
                                 .Help("Rows of the latest load schedule, by state")
                                 .Register(registry))
    { }

    prometheus::Registry registry;
    prometheus::Counter &refused;
    prometheus::Histogram &rolloutSeconds;
    prometheus::Counter &gatewaysBehind;
    prometheus::Histogram &loadErrorSeconds;
    prometheus::Counter &loadsPutOff;
    prometheus::Family<prometheus::Gauge> &scheduledLoads;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

auto Metrics::onAnnouncementRefused() -> void
{
    impl_->refused.Increment();
}

auto Metrics::onAcknowledged(Duration waited, std::size_t gatewaysBehind) -> void
{
    impl_->rolloutSeconds.Observe(std::chrono::duration<double> { waited }.count());
    impl_->gatewaysBehind.Increment(static_cast<double>(gatewaysBehind));
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
