#include "fleet/demandtable.h"

#include <cmath>

namespace figrack::fleet {
namespace {

/// Below it a rate is forgotten: one arrival in a few minutes.
constexpr auto negligible = 0.003;
/// One refusal decays to 1/e = 0.37 in a window.
constexpr auto roundUp = 0.63;

} // namespace

DemandTable::DemandTable(Duration window, const Clock &clock)
    : window_(window)
    , clock_(clock)
{ }

auto DemandTable::onReport(const NodeId &gateway, const proto::ModelWanted &report) -> bool
{
    auto lacks = false;
    for (const auto &row : report.rows) {
        lacks = lacks || row.waiting + row.refused > 0;
        const auto target = Target { row.service, row.model, row.adapter };
        add(rates_, target, row.arrived);
        add(refusals_, target, row.refused);
    }
    latest_[gateway] = report;
    for (auto *rates : { &rates_, &refusals_ })
        std::erase_if(*rates, [&](const auto &item) { return decayed(item.second) < negligible; });
    return lacks;
}

auto DemandTable::add(std::map<Target, Rate> &rates, const Target &target, std::uint32_t count)
        -> void
{
    if (count == 0)
        return;
    auto &rate = rates[target];
    rate.perSecond = decayed(rate) + count / std::chrono::duration<double> { window_ }.count();
    rate.at = clock_.now();
}

auto DemandTable::onGatewayLost(const NodeId &gateway) -> void
{
    latest_.erase(gateway);
}

auto DemandTable::of(const ServiceId &service) const -> ServiceDemand
{
    auto result = ServiceDemand {};
    for (const auto &[target, rate] : rates_) {
        if (target.service != service)
            continue;
        const auto perSecond = decayed(rate);
        result.models[target.model].perSecond += perSecond;
        if (!target.adapter.empty())
            result.adapters[{ target.model, target.adapter }].perSecond += perSecond;
    }
    const auto windowSeconds = std::chrono::duration<double> { window_ }.count();
    for (const auto &[target, rate] : refusals_) {
        // Rounded up from a third on: one refusal is told of for one window.
        const auto count = static_cast<std::uint32_t>(decayed(rate) * windowSeconds + roundUp);
        if (target.service != service || count == 0)
            continue;
        result.models[target.model].refused += count;
        if (!target.adapter.empty())
            result.adapters[{ target.model, target.adapter }].refused += count;
    }
    for (const auto &[gateway, report] : latest_) {
        for (const auto &row : report.rows) {
            if (row.service != service)
                continue;
            result.models[row.model].running += row.running;
            result.models[row.model].waiting += row.waiting;
            if (row.adapter.empty())
                continue;
            auto &adapter = result.adapters[{ row.model, row.adapter }];
            adapter.running += row.running;
            adapter.waiting += row.waiting;
        }
    }
    return result;
}

auto DemandTable::loads() const -> std::vector<proto::EndpointLoad>
{
    auto sums = std::map<EndpointId, std::uint32_t> {};
    for (const auto &[gateway, report] : latest_) {
        for (const auto &load : report.loads)
            sums[load.endpoint] += load.running;
    }
    auto result = std::vector<proto::EndpointLoad> {};
    for (const auto &[endpoint, running] : sums)
        result.push_back({ endpoint, running });
    return result;
}

auto DemandTable::unreachable() const -> std::set<EndpointId>
{
    auto result = std::set<EndpointId> {};
    for (const auto &[gateway, report] : latest_)
        result.insert(report.unreachable.begin(), report.unreachable.end());
    return result;
}

auto DemandTable::clear() -> void
{
    rates_.clear();
    refusals_.clear();
    latest_.clear();
}

auto DemandTable::decayed(const Rate &rate) const -> double
{
    return rate.perSecond
            * std::exp(-(clock_.now() - rate.at) / std::chrono::duration<double> { window_ });
}

} // namespace figrack::fleet
