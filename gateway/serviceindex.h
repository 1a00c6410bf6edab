// The endpoints of each service, in the order in which they were first listed.
//
//   index.update(id, service);    index.remove(id);
//   for (const auto &id : index.of(service)) ...
//
// An endpoint is listed under exactly one service. The index keeps that service itself, so that an
// endpoint is removed from where it is listed, whatever its row says by then. Not thread-safe.

#ifndef FIGRACK_GATEWAY_SERVICEINDEX_H
#define FIGRACK_GATEWAY_SERVICEINDEX_H

#include <cstddef>
#include <map>
#include <vector>

#include "core/ids.h"

namespace figrack::gateway {

class ServiceIndex
{
public:
    /// Lists an endpoint under a service, and no longer under another one.
    auto update(const EndpointId &id, const ServiceId &service) -> void;
    auto remove(const EndpointId &id) -> void;
    /// @return the endpoints listed under the service; valid until the index changes
    auto of(const ServiceId &service) const -> const std::vector<EndpointId> &;
    auto size() const -> std::size_t { return serviceOf_.size(); }

private:
    std::map<EndpointId, ServiceId> serviceOf_;
    std::map<ServiceId, std::vector<EndpointId>> endpoints_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_SERVICEINDEX_H
