#include "gateway/endpointpaths.h"

#include <algorithm>

namespace figrack::gateway {

auto EndpointPaths::onSent(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    ++path.inProgress;
    if (!path.silentSince)
        path.silentSince = clock_.now();
}

auto EndpointPaths::onHeard(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    if (path.inProgress > 0)
        path.silentSince = clock_.now();
}

auto EndpointPaths::onEnded(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    if (path.inProgress > 0)
        --path.inProgress;
    if (path.inProgress == 0)
        path.silentSince.reset();
}

auto EndpointPaths::silentFor(const DomainId &domain) const -> Duration
{
    const auto found = paths_.find(domain);
    return found == paths_.end() ? Duration::zero() : silentFor(found->second);
}

auto EndpointPaths::silentFor(const Path &path) const -> Duration
{
    return path.silentSince ? clock_.now() - *path.silentSince : Duration::zero();
}

auto EndpointPaths::allSilentFor() const -> Duration
{
    auto shortest = std::optional<Duration> {};
    for (const auto &[domain, path] : paths_) {
        if (path.inProgress > 0)
            shortest = std::min(shortest.value_or(Duration::max()), silentFor(path));
    }
    return shortest.value_or(Duration::zero());
}

} // namespace figrack::gateway
