#include "router/metrics.h"

#include <mutex>
#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "core/error.h"

namespace figrack::router {
namespace {

const auto secondBuckets
        = prometheus::Histogram::BucketBoundaries { 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1,
                                                    2,     4,    8,    15,  30,   60,  120 };

auto endName(report::RequestEnd end) -> const char *
{
    constexpr const char *names[] = { "answered", "refused", "failed", "cancelled" };
    return names[static_cast<std::size_t>(end) % std::size(names)];
}

auto seconds(std::int64_t ms) -> double
{
    return static_cast<double>(ms) / 1000.0;
}

} // namespace

class Metrics::Impl
{
public:
    Impl();
    auto classLabel(const std::string &name) -> std::string;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &refusals;
    prometheus::Family<prometheus::Counter> &announcements;
    prometheus::Family<prometheus::Histogram> &firstToken;
    prometheus::Family<prometheus::Gauge> &gauges;
    prometheus::Counter &retries;
    std::mutex mutex; ///< Lock order: a leaf; only the metrics library is called under it.
    std::set<std::string> classes;
};

Metrics::Impl::Impl()
    : requests(prometheus::BuildCounter()
                       .Name("figrack_router_requests_total")
                       .Help("Requests by class and end")
                       .Register(registry))
    , refusals(prometheus::BuildCounter()
                       .Name("figrack_router_refusals_total")
                       .Help("Refused and failed requests by error")
                       .Register(registry))
    , announcements(prometheus::BuildCounter()
                            .Name("figrack_router_announcements_total")
                            .Help("Announcements of endpoints by verdict")
                            .Register(registry))
    , firstToken(prometheus::BuildHistogram()
                         .Name("figrack_router_first_token_seconds")
                         .Help("Arrival to first token, by class and whether the model was cold")
                         .Register(registry))
    , gauges(prometheus::BuildGauge()
                     .Name("figrack_router_now")
                     .Help("The present moment, by what")
                     .Register(registry))
    , retries(prometheus::BuildCounter()
                      .Name("figrack_router_retries_total")
                      .Help("Dispatches after the first of a request")
                      .Register(registry)
                      .Add({}))
{ }

auto Metrics::Impl::classLabel(const std::string &name) -> std::string
{
    const auto lock = std::scoped_lock { mutex };
    if (classes.count(name) > 0)
        return name;
    if (classes.size() >= maxClassLabels)
        return "other";
    classes.insert(name);
    return name;
}

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

auto Metrics::onRequest(const report::RequestRecord &record) -> void
{
    const auto label = impl_->classLabel(record.classId.value());
    impl_->requests.Add({ { "class", label }, { "end", endName(record.end) } }).Increment();
    if (record.refusal != ErrorKind::Ok)
        impl_->refusals.Add({ { "error", std::string { errorName(record.refusal) } } }).Increment();
    if (record.startMs > 0) {
        impl_->firstToken
                .Add({ { "class", label }, { "cold", record.cold ? "yes" : "no" } }, secondBuckets)
                .Observe(seconds(record.startMs));
    }
}

auto Metrics::onAnnouncement(bool taken) -> void
{
    impl_->announcements.Add({ { "verdict", taken ? "taken" : "refused" } }).Increment();
}

auto Metrics::text(const Gauges &gauges) -> std::string
{
    {
        // The lock prevents two concurrent requests for the page from adding the same difference
        // twice.
        const auto lock = std::scoped_lock { impl_->mutex };
        const auto shown = impl_->retries.Value();
        impl_->retries.Increment(static_cast<double>(gauges.retries) - shown);
    }
    const auto set = [this](const char *name, double value) {
        impl_->gauges.Add({ { "what", name } }).Set(value);
    };
    set("waiting", static_cast<double>(gauges.waiting));
    set("running", static_cast<double>(gauges.running));
    set("idempotency_keys", static_cast<double>(gauges.heldKeys));
    set("current", gauges.current ? 1 : 0);
    set("revision", static_cast<double>(gauges.revision));
    set("applied_index", static_cast<double>(gauges.appliedIndex));
    return prometheus::TextSerializer {}.Serialize(impl_->registry.Collect());
}

} // namespace figrack::router
