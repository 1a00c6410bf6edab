#include "fleet/demandtable.h"

#include <algorithm>
#include <cmath>

#include "core/duration.h"
#include "fleet/loadorder.h"
#include "fleet/unreachedtally.h"

namespace figrack::fleet {
namespace {

/// A rate below this is forgotten: one arrival in a few minutes.
constexpr auto negligible = 0.003;
/// Rates are not cleaned up with each report: a leader with 291 gateways gets 66 or more reports a
/// second and has about 1,500 rates to check.
constexpr auto forgetEvery = std::chrono::seconds { 1 };
/// An event decays to 1/e = 0.37 within a window, and is counted for that long.
constexpr auto roundUp = 0.63;
/// Arrivals per second from which a few seconds are enough to estimate the rate.
constexpr auto steadyRate = 1.0;

} // namespace

DemandTable::DemandTable(DemandWindows windows, const Clock &clock)
    : windows_(windows)
    , clock_(clock)
    , reading_(windows.fast)
{ }

auto DemandTable::onReport(const NodeId &gateway, const proto::ModelWanted &report) -> bool
{
    auto unserved = false;
    for (const auto &row : report.rows) {
        unserved = unserved || row.waiting + row.refused > 0;
        const auto target = Target { row.service, row.model, row.adapter };
        add(arrivals_, target, row.arrived, windows_.slow);
        add(recentArrivals_, target, row.arrived, windows_.fast);
        add(refusals_, target, row.refused, windows_.fast);
        add(lateRequests_, target, row.late, windows_.fast);
        if (row.readTokens > 0)
            reading_.add({ row.service, row.model }, row, clock_.now());
    }
    latest_[gateway] = { report, clock_.now() };
    forgetOld();
    return unserved;
}

auto DemandTable::add(Rates &rates, const Target &target, std::uint32_t count, Duration window)
        -> void
{
    if (count == 0)
        return;
    auto &rate = rates[target];
    rate.perSecond = decayed(rate, window) + count / inSeconds(window);
    rate.at = clock_.now();
}

auto DemandTable::forgetOld() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + forgetEvery;
    forgetNegligible(arrivals_, windows_.slow);
    reading_.forgetOld(now);
    for (auto *rates : { &recentArrivals_, &refusals_, &lateRequests_ })
        forgetNegligible(*rates, windows_.fast);
}

auto DemandTable::forgetNegligible(Rates &rates, Duration window) const -> void
{
    std::erase_if(rates,
                  [&](const auto &item) { return decayed(item.second, window) < negligible; });
}

auto DemandTable::arrivalRate(const Target &target, const Rate &slow) const -> double
{
    const auto perSecond = decayed(slow, windows_.slow);
    if (perSecond < steadyRate)
        return perSecond;
    const auto found = recentArrivals_.find(target);
    return found == recentArrivals_.end() ? 0 : decayed(found->second, windows_.fast);
}

auto DemandTable::onGatewayLost(const NodeId &gateway) -> void
{
    latest_.erase(gateway);
}

auto DemandTable::of(const ServiceId &service) const -> ServiceDemand
{
    auto result = ServiceDemand {};
    for (const auto &[target, rate] : arrivals_) {
        if (target.service != service)
            continue;
        const auto perSecond = arrivalRate(target, rate);
        result.models[target.model].perSecond += perSecond;
        if (!target.adapter.empty())
            result.adapters[{ target.model, target.adapter }].perSecond += perSecond;
    }
    for (const auto &[target, rate] : refusals_) {
        if (target.service != service || recent(rate) == 0)
            continue;
        result.models[target.model].refused += recent(rate);
        if (!target.adapter.empty())
            result.adapters[{ target.model, target.adapter }].refused += recent(rate);
    }
    for (const auto &[target, rate] : lateRequests_) {
        if (target.service == service)
            result.models[target.model].late += recent(rate);
    }
    result.reading = reading_.of(service, clock_.now());
    for (const auto &[gateway, latest] : latest_) {
        for (const auto &row : latest.report.rows) {
            if (row.service != service)
                continue;
            addStarts(row, latest.receivedAt, result.models[row.model]);
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

auto DemandTable::addStarts(const proto::WantedRow &row, Instant receivedAt,
                            RequestDemand &demand) const -> void
{
    if (row.running > 0 && row.waiting == 0)
        demand.servedAt = std::max(demand.servedAt, receivedAt);
    if (row.waiting == 0 || !row.startWithinMs)
        return;
    const auto until = receivedAt + std::chrono::milliseconds { *row.startWithinMs };
    const auto left = std::max<Duration>(until - clock_.now(), Duration::zero());
    const auto known = demand.startWithin ? std::optional { fromSeconds(*demand.startWithin) }
                                          : std::nullopt;
    demand.startWithin = inSeconds(*shorterStart(known, left));
}

auto DemandTable::loads() const -> std::vector<proto::EndpointLoad>
{
    auto sums = std::map<EndpointId, std::uint32_t> {};
    for (const auto &[gateway, latest] : latest_) {
        for (const auto &load : latest.report.loads)
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
    auto tally = UnreachedTally {};
    for (const auto &[gateway, latest] : latest_) {
        result.insert(latest.report.unreachable.begin(), latest.report.unreachable.end());
        tally.add(latest.report);
    }
    for (const auto &row : tally.endpoints()) {
        if (row.failed > row.used)
            result.insert(row.endpoint);
    }
    return result;
}

auto DemandTable::unreachedGroups() const -> std::set<catalogue::EndpointGroup>
{
    auto tally = UnreachedTally {};
    for (const auto &[gateway, latest] : latest_)
        tally.add(latest.report);
    return tally.groups();
}

auto DemandTable::recent(const Rate &rate) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(decayed(rate, windows_.fast) * inSeconds(windows_.fast)
                                      + roundUp);
}

auto DemandTable::clear() -> void
{
    arrivals_.clear();
    recentArrivals_.clear();
    refusals_.clear();
    lateRequests_.clear();
    reading_.clear();
    latest_.clear();
}

auto DemandTable::decayed(const Rate &rate, Duration window) const -> double
{
    return rate.perSecond * std::exp(-inSeconds(clock_.now() - rate.at) / inSeconds(window));
}

} // namespace figrack::fleet
