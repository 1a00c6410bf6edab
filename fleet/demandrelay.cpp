#include "fleet/demandrelay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/duration.h"
#include "fleet/loadorder.h"
#include "fleet/unreachedtally.h"

namespace figrack::fleet {
namespace {

auto keyOf(const proto::WantedRow &row) -> proto::WatchKey
{
    return { row.service, row.model, row.adapter };
}

auto emptyRow(const proto::WantedRow &like) -> proto::WantedRow
{
    return { like.service, like.model, like.adapter, 0, 0, 0, 0, 0 };
}

/// Adds the latest start of the row's waiting requests to the sum. @param age of the row
auto addStart(const proto::WantedRow &row, Duration age, proto::WantedRow &sum) -> void
{
    if (row.waiting == 0 || !row.startWithinMs)
        return;
    const auto told = [](std::uint64_t ms) -> Duration { return std::chrono::milliseconds { ms }; };
    const auto known
            = sum.startWithinMs ? std::optional { told(*sum.startWithinMs) } : std::nullopt;
    const auto left = std::max(told(*row.startWithinMs) - age, Duration::zero());
    sum.startWithinMs = static_cast<std::uint64_t>(wholeMillis(*shorterStart(known, left)));
}

} // namespace

auto DemandRelay::onReport(const NodeId &gateway, const proto::ModelWanted &report, Instant now)
        -> bool
{
    auto unserved = false;
    for (const auto &row : report.rows) {
        unserved = unserved || row.waiting + row.refused > 0;
        auto &sum = arrived_.try_emplace(keyOf(row), emptyRow(row)).first->second;
        sum.arrived += row.arrived;
        sum.refused += row.refused;
        sum.late += row.late;
        if (row.readTokens > 0)
            sum.startTargetMs = sum.readTokens == 0
                    ? row.startTargetMs
                    : std::min(sum.startTargetMs, row.startTargetMs);
        sum.readTokens += row.readTokens;
    }
    for (const auto &requests : report.requests)
        requests_[requests.service] += requests.count;
    latest_[gateway] = { report, now };
    hasNews_ = true;
    return unserved;
}

auto DemandRelay::onGatewayLost(const NodeId &gateway) -> void
{
    hasNews_ = latest_.erase(gateway) > 0 || hasNews_;
}

auto DemandRelay::take(Instant now) -> std::optional<proto::ModelWanted>
{
    if (!std::exchange(hasNews_, false))
        return std::nullopt;
    auto rows = std::exchange(arrived_, {});
    auto loads = std::map<EndpointId, std::uint32_t> {};
    auto unreachable = std::set<EndpointId> {};
    auto tally = UnreachedTally {};
    for (const auto &[gateway, latest] : latest_) {
        const auto &report = latest.report;
        for (const auto &row : report.rows) {
            auto &sum = rows.try_emplace(keyOf(row), emptyRow(row)).first->second;
            sum.waiting += row.waiting;
            sum.running += row.running;
            addStart(row, now - latest.receivedAt, sum);
        }
        for (const auto &load : report.loads)
            loads[load.endpoint] += load.running;
        unreachable.insert(report.unreachable.begin(), report.unreachable.end());
        tally.add(report);
    }
    auto result = proto::ModelWanted {};
    for (auto &[key, row] : rows)
        result.rows.push_back(std::move(row));
    for (const auto &[endpoint, running] : loads)
        result.loads.push_back({ endpoint, running });
    result.unreachable = { unreachable.begin(), unreachable.end() };
    result.unreached = tally.endpoints();
    for (const auto &[service, count] : std::exchange(requests_, {}))
        result.requests.push_back({ service, count });
    const auto groups = tally.groups();
    result.unreachedGroups = { groups.begin(), groups.end() };
    return result;
}

} // namespace figrack::fleet
