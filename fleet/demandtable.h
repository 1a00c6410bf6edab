// Demand for models and adapters, summed over the reports of all gateways.
//
//   table.onReport(gateway, report);
//   table.onGatewayLost(gateway);
//   const auto demand = table.of(service);
//
// Arrivals are averaged with an exponential window. The numbers of waiting and
// running requests are those of each gateway's latest report. Not thread-safe.

#ifndef FIGRACK_FLEET_DEMANDTABLE_H
#define FIGRACK_FLEET_DEMANDTABLE_H

#include <map>
#include <set>
#include <vector>

#include "core/clock.h"
#include "fleet/placement.h"
#include "fleet/readload.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct ServiceDemand
{
    std::map<ModelId, RequestDemand> models; ///< Includes the requests for a model's adapters.
    std::map<AdapterKey, RequestDemand> adapters;
    std::map<ModelId, ReadLoad> reading; ///< Only of models whose requests' reading is reported.
};

struct DemandWindows
{
    /// For models that are requested only occasionally.
    Duration slow = std::chrono::seconds { 8 };
    /// For models that are requested at least once a second, and for missed requests: demand moves
    /// to other models within a few seconds, and a load takes up to six.
    Duration fast = std::chrono::seconds { 3 };
};

class DemandTable
{
public:
    DemandTable(DemandWindows windows, const Clock &clock);
    /// @return true when requests wait for a load, or were refused because there was none
    auto onReport(const NodeId &gateway, const proto::ModelWanted &report) -> bool;
    auto onGatewayLost(const NodeId &gateway) -> void;
    auto of(const ServiceId &service) const -> ServiceDemand;
    /// @return requests in progress by endpoint, over all gateways
    auto loads() const -> std::vector<proto::EndpointLoad>;
    /// @return endpoints that announced that they take no requests, or that most of the gateways
    /// which use them could not connect to, according to the latest reports
    auto unreachable() const -> std::set<EndpointId>;
    /// @return groups of endpoints that no gateway can make connections to
    auto unreachedGroups() const -> std::set<catalogue::EndpointGroup>;
    auto clear() -> void;

private:
    struct Target
    {
        ServiceId service;
        ModelId model;
        std::string adapter;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
        auto operator<=>(const Target &) const = default;
    };
    /// Events per second, averaged over an exponential window.
    struct Rate
    {
        double perSecond = 0;
        Instant at {};
    };
    struct Latest
    {
        proto::ModelWanted report;
        Instant receivedAt {};
    };
    using Rates = std::map<Target, Rate>;
    auto decayed(const Rate &rate, Duration window) const -> double;
    /// @return the number of events in the last fast window, rounded
    auto recent(const Rate &rate) const -> std::uint32_t;
    auto add(Rates &rates, const Target &target, std::uint32_t count, Duration window) -> void;
    /// Adds what a row of a gateway's latest report says of the waiting requests' starts.
    auto addStarts(const proto::WantedRow &row, Instant receivedAt, RequestDemand &demand) const
            -> void;
    auto forgetOld() -> void;
    auto forgetNegligible(Rates &rates, Duration window) const -> void;
    auto arrivalRate(const Target &target, const Rate &slow) const -> double;

    DemandWindows windows_;
    const Clock &clock_;
    Rates arrivals_;       ///< With the slow window.
    Rates recentArrivals_; ///< With the fast window, like all rates below.
    Rates refusals_;
    Rates lateRequests_;
    ReadLoads reading_;
    std::map<NodeId, Latest> latest_;
    Instant nextForget_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DEMANDTABLE_H
