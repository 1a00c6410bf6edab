// What all gateways together ask of the models, from their reports.
//
//   table.onReport(gateway, report);
//   table.onGatewayLost(gateway);
//   const auto asked = table.of(service);
//
// Arrivals are averaged with an exponential window; what waits and runs is each
// gateway's latest word. Not thread-safe.

#ifndef FIGRACK_FLEET_DEMANDTABLE_H
#define FIGRACK_FLEET_DEMANDTABLE_H

#include <map>
#include <set>
#include <vector>

#include "core/clock.h"
#include "fleet/placement.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct ServiceDemand
{
    std::map<ModelId, Asked> models; ///< Adapters' requests counted with their model.
    std::map<AdapterKey, Asked> adapters;
};

class DemandTable
{
public:
    /// @param window over which arrivals are averaged
    DemandTable(Duration window, const Clock &clock);
    /// @return true when requests wait for a load, or were refused for want of one
    auto onReport(const NodeId &gateway, const proto::ModelWanted &report) -> bool;
    auto onGatewayLost(const NodeId &gateway) -> void;
    auto of(const ServiceId &service) const -> ServiceDemand;
    /// @return requests in progress by endpoint, over all gateways
    auto loads() const -> std::vector<proto::EndpointLoad>;
    /// @return endpoints that some gateway could not reach, by its latest report
    auto unreachable() const -> std::set<EndpointId>;
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
    struct Rate
    {
        double perSecond = 0;
        Instant at {};
    };
    auto decayed(const Rate &rate) const -> double;
    auto add(std::map<Target, Rate> &rates, const Target &target, std::uint32_t count) -> void;

    Duration window_;
    const Clock &clock_;
    std::map<Target, Rate> rates_;
    std::map<Target, Rate> refusals_;
    std::map<NodeId, proto::ModelWanted> latest_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DEMANDTABLE_H
