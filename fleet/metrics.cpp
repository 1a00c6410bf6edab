#include "fleet/metrics.h"

#include <array>
#include <cstdint>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace figrack::fleet {
namespace {

const auto secondBuckets
        = prometheus::Histogram::BucketBoundaries { 0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1 };

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
    prometheus::Histogram &rolloutSeconds;
    prometheus::Counter &gatewaysBehind;
    prometheus::Gauge &accountsOverShare;
    prometheus::Counter *grantsWithinShare = nullptr;
    prometheus::Counter *grantsOverShare = nullptr;
    std::array<prometheus::Gauge *, speedClassNames.size()> endpointsBySpeed {};
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

auto Metrics::setPicks(const BalancerStatus &status) -> void
{
    impl_->accountsOverShare.Set(static_cast<double>(status.accountsOverShare));
    raiseTo(*impl_->grantsWithinShare, status.grantsWithinShare);
    raiseTo(*impl_->grantsOverShare, status.grantsOverShare);
    for (auto i = std::size_t { 0 }; i < status.endpointsBySpeed.size(); ++i)
        impl_->endpointsBySpeed.at(i)->Set(static_cast<double>(status.endpointsBySpeed.at(i)));
}

auto Metrics::text() -> std::string
{
    return prometheus::TextSerializer {}.Serialize(impl_->registry.Collect());
}

} // namespace figrack::fleet
