// The gateway process: assembles the server for callers, the forwarder and the control feed.
//
//   auto gateway = Gateway { context, options, clock, dialect, seed, onStopped };
//   if (auto status = gateway.start(); !status.ok()) ...
//   gateway.requestStop();               // on SIGTERM; onStopped is called later
//
// Planned stop:
// - ready() becomes false, and the controls are notified immediately.
// - New requests are still served for stopServing, since callers cache addresses for a while.
// - After that, new requests are refused as not run.
// - From the beginning, a request that would not end before the process does is refused as not run
//   (gateway/answertimes.h), and answers end their connections, so that callers go elsewhere.
// - Requests in progress are completed. The process ends at stopBy at the latest.
//
// If the gateway cannot reach any endpoint, it tells the controls, which send callers to others,
// and hands the requests that still arrive to other gateways (gateway/handoffs.h). It stays ready.
//
// If no control can be reached, the gateway continues with its last known state: a request that
// every configuration in force allows must not wait until the controls return.

#ifndef FIGRACK_GATEWAY_GATEWAY_H
#define FIGRACK_GATEWAY_GATEWAY_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/settings.h"
#include "gateway/dialect.h"
#include "gateway/endpointpaths.h"
#include "gateway/forwarder.h"
#include "gateway/pathprober.h"
#include "gateway/versionhistory.h"
#include "http/server.h"
#include "proto/channel.h"

namespace figrack::gateway {

/// @return client options for connections to endpoints. A connection is made within a few
/// milliseconds unless the endpoint is down or cut off, and a connection whose data is not
/// acknowledged for userTimeout is considered lost.
inline auto endpointClient() -> http::ClientOptions
{
    auto options = http::ClientOptions {};
    options.connectTimeout = std::chrono::milliseconds { 500 };
    options.userTimeout = std::chrono::milliseconds { 5000 };
    return options;
}

struct GatewayOptions
{
    NodeId name;
    DomainId domain;
    Address callers; ///< Address at which callers connect.
    /// Port on the same IP address for requests that other gateways hand over; 0: any free one.
    std::uint16_t handoffPort = 0;
    std::uint32_t capacity = 0; ///< Processor share in thousandths of a core; 0: not known.
    std::vector<Address> seeds; ///< Peer addresses of controls.
    std::shared_ptr<proto::PeerKeys> keys;
    RetryBudgetOptions retries;
    ForwarderOptions forwarder;
    FleetViewOptions view;
    /// Versions count for much longer than origins are kept, so that a caller that comes back late
    /// is refused, and not served by the only version that is left.
    VersionHistoryOptions versions = { .window = policy::softwareVersionMemory };
    PickerOptions picker;
    KeyLeaseOptions keyLease;
    http::ServerOptions server;
    http::ClientOptions client = endpointClient();
    EndpointPathsOptions paths;
    PathProberOptions prober;
    /// Callers are sent here again after the endpoints have been reached for this time.
    Duration reachedAgainAfter = std::chrono::seconds { 2 };
    /// New requests are served for this time after a stop was requested.
    Duration stopServing = std::chrono::seconds { 3 };
    Duration stopBy = std::chrono::milliseconds { 7500 }; ///< Time from the request to the end.
    /// Interval between demand reports. Placement works on a scale of seconds, so more frequent
    /// reports would only cost wake-ups.
    Duration demandEvery = std::chrono::milliseconds { 500 };
};

class Gateway
{
public:
    /// @param dialect must outlive the gateway
    /// @param onStopped called once, after a planned stop has finished
    /// @param budget shared by all servers of the process; nullptr: each has one of its own
    Gateway(boost::asio::io_context &context, GatewayOptions options, const Clock &clock,
            const Dialect &dialect, std::uint64_t seed, std::function<void()> onStopped,
            const std::shared_ptr<PeerBudget> &budget = nullptr);
    ~Gateway();
    /// @return BadSettings if an address cannot be bound
    auto start() -> absl::Status;
    auto requestStop() -> void;
    /// Called when the settings have been reloaded. @param seeds peer addresses of controls
    auto reload(const std::vector<Address> &seeds) -> void;
    /// @return true while callers may be sent here
    auto ready() const -> bool;
    auto metricsPage() -> std::string;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_GATEWAY_H
