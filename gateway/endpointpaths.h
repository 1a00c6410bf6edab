// How long the endpoints of each failure domain have been silent to this gateway.
//
//   paths.onSent(domain);                  // a dispatch to one of its endpoints begins
//   paths.onHeard(domain);                 // bytes of an answer have been received
//   paths.onEnded(domain);                 // the dispatch has ended
//   if (paths.silentFor(domain) > limit) ...
//
// One endpoint that does not answer may be slow or stopped. That all endpoints of a failure domain
// fall silent at the same moment suggests that the network path to the domain is the cause. Not
// thread-safe.

#ifndef FIGRACK_GATEWAY_ENDPOINTPATHS_H
#define FIGRACK_GATEWAY_ENDPOINTPATHS_H

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

class EndpointPaths
{
public:
    /// @param clock must outlive this object
    explicit EndpointPaths(const Clock &clock)
        : clock_(clock)
    { }
    auto onSent(const DomainId &domain) -> void;
    auto onHeard(const DomainId &domain) -> void;
    auto onEnded(const DomainId &domain) -> void;
    /// @return for how long dispatches to the domain have been in progress without a byte from any
    /// of its endpoints; zero if none is in progress
    auto silentFor(const DomainId &domain) const -> Duration;
    /// @return the shortest such time over all domains with dispatches in progress
    auto allSilentFor() const -> Duration;

private:
    struct Path
    {
        std::uint32_t inProgress = 0;
        /// Time of the last byte, or of the first dispatch after it; absent if none is in progress.
        std::optional<Instant> silentSince;
    };
    auto silentFor(const Path &path) const -> Duration;

    const Clock &clock_;
    std::map<DomainId, Path> paths_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ENDPOINTPATHS_H
