#include "control/metrics.h"

#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace figrack::control {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

class Page
{
public:
    explicit Page(std::string node)
        : node_(std::move(node))
    { }

    auto add(MetricType type, const std::string &name, const std::string &help, double value)
            -> void
    {
        auto family = MetricFamily {};
        family.name = "figrack_control_" + name;
        family.help = help;
        family.type = type;
        auto metric = ClientMetric {};
        metric.label.push_back({ "node", node_ });
        if (type == MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        family.metric.push_back(std::move(metric));
        families_.push_back(std::move(family));
    }
    auto gauge(const std::string &name, const std::string &help, double value) -> void
    {
        add(MetricType::Gauge, name, help, value);
    }
    auto counter(const std::string &name, const std::string &help, double value) -> void
    {
        add(MetricType::Counter, name, help, value);
    }
    auto text() const -> std::string { return prometheus::TextSerializer {}.Serialize(families_); }

private:
    std::string node_;
    std::vector<MetricFamily> families_;
};

auto number(std::size_t value) -> double
{
    return static_cast<double>(value);
}

} // namespace

auto metricsText(const Control &control) -> std::string
{
    const auto status = control.node().status();
    const auto &tables = control.node().tables();
    auto page = Page { control.node().self().value() };
    page.gauge("is_leader", "1 while this control leads", status.leaseHeld ? 1 : 0);
    page.gauge("term", "Leadership term", number(status.term.value()));
    page.gauge("commit_index", "Last committed log index", number(status.commitIndex.value()));
    page.gauge("applied_index", "Last applied log index", number(status.appliedIndex.value()));
    page.gauge("config_revision", "Configuration revision",
               number(tables.configuration().revision.value()));
    page.gauge("config_accepted", "Highest configuration revision in force everywhere",
               number(control.routers().acceptedUpTo().value()));
    page.gauge("routers", "Registered routers", number(tables.routers().size()));
    page.gauge("endpoints", "Registered endpoints", number(tables.endpoints().size()));
    page.gauge("replicas", "Replicas loaded, loading or unloading",
               number(tables.replicas().size()));
    page.gauge("claims", "Claims kept", number(tables.claims().size()));
    page.gauge("open_orders", "Orders not settled", number(control.orders().open()));
    page.gauge("feed_subscribers", "Routers that read from this control",
               number(control.feed().subscribers()));
    page.gauge("queued_requests", "Requests waiting at routers",
               number(control.scheduler().queued()));
    page.counter("orders_sent_total", "Orders sent to endpoints", number(control.orders().sent()));
    return page.text();
}

} // namespace figrack::control
