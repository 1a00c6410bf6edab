#include "gateway/serviceindex.h"

namespace figrack::gateway {

auto ServiceIndex::update(const EndpointId &id, const ServiceId &service) -> void
{
    if (const auto found = serviceOf_.find(id); found != serviceOf_.end()) {
        if (found->second == service)
            return;
        remove(id);
    }
    serviceOf_.emplace(id, service);
    endpoints_[service].push_back(id);
}

auto ServiceIndex::remove(const EndpointId &id) -> void
{
    const auto found = serviceOf_.find(id);
    if (found == serviceOf_.end())
        return;
    const auto listed = endpoints_.find(found->second);
    std::erase(listed->second, id);
    if (listed->second.empty())
        endpoints_.erase(listed);
    serviceOf_.erase(found);
}

auto ServiceIndex::of(const ServiceId &service) const -> const std::vector<EndpointId> &
{
    static const auto none = std::vector<EndpointId> {};
    const auto found = endpoints_.find(service);
    return found == endpoints_.end() ? none : found->second;
}

} // namespace figrack::gateway
