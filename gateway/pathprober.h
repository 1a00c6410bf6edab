// Connects to endpoints to learn whether the path to their group is open.
//
//   auto prober = PathProber { options, { context, clock, view, client, paths } };
//   prober.start();
//
// EndpointPaths says which groups to probe and what the results mean. A probe connects to one
// endpoint, and a moment later to a second one unless the first has accepted; a connection that is
// made is kept for the next request. An endpoint that failed before is connected to as well.
// Without a sign that something is wrong it does nothing. Not thread-safe.

#ifndef FIGRACK_GATEWAY_PATHPROBER_H
#define FIGRACK_GATEWAY_PATHPROBER_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "gateway/endpointpaths.h"
#include "gateway/fleetview.h"
#include "http/client.h"

namespace figrack::gateway {

struct PathProberOptions
{
    /// An endpoint that does not accept a connection within this time is not reached. Between
    /// regions it takes up to a tenth of a second.
    Duration dialTimeout = std::chrono::milliseconds { 400 };
    /// Time until the next endpoint of the group is connected to as well.
    Duration headStart = std::chrono::milliseconds { 60 };
    std::size_t endpointsPerProbe = 2;
    /// If a timer is later than this, the process did not run, and what it observed is void.
    Duration maxLag = std::chrono::milliseconds { 150 };
};

/// Dependencies of the PathProber. All of them must outlive it.
struct PathProberParts
{
    boost::asio::io_context &context;
    const Clock &clock;
    FleetView &view;
    http::Client &client;
    EndpointPaths &paths;
};

class PathProber
{
public:
    PathProber(PathProberOptions options, PathProberParts parts);
    ~PathProber();
    PathProber(const PathProber &) = delete;
    auto operator=(const PathProber &) -> PathProber & = delete;
    auto start() -> void;
    auto stop() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_PATHPROBER_H
