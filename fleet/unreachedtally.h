// Sums up which endpoints gateways could not connect to.
//
//   tally.add(report); ...
//   for (const auto &row : tally.endpoints()) ...
//
// That one gateway cannot connect to an endpoint may be due to its own path, so the gateways that
// use the endpoint meanwhile are counted, too. A group of endpoints counts as unreached only if
// every gateway says so.

#ifndef FIGRACK_FLEET_UNREACHEDTALLY_H
#define FIGRACK_FLEET_UNREACHEDTALLY_H

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

class UnreachedTally
{
public:
    /// @param report the latest one of a gateway, or a sum of the reports of several
    auto add(const proto::ModelWanted &report) -> void;
    /// @return the endpoints that at least one gateway could not connect to
    auto endpoints() const -> std::vector<proto::UnreachedEndpoint>;
    auto groups() const -> std::set<catalogue::EndpointGroup>;

private:
    std::map<EndpointId, proto::UnreachedEndpoint> rows_;
    std::map<EndpointId, std::uint32_t> users_;              ///< Reports with requests there.
    std::map<catalogue::EndpointGroup, std::size_t> groups_; ///< Reports that name the group.
    std::size_t reports_ = 0;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_UNREACHEDTALLY_H
