// The router's settings: every key with its unit and range, and the checked options made of them.
//
//   auto settings = Settings::read(path, routerSchema());
//   auto options = routerOptions(*settings);
//
// Guarantees: options come only from a checked file; relations between keys are checked here.

#ifndef FIGRACK_ROUTER_SETTINGS_H
#define FIGRACK_ROUTER_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "coord/viewlease.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "policy/retry.h"

namespace figrack::router {

/// Everything that the router process is told.
struct RouterOptions
{
    NodeId self;
    DomainId domain;
    Address callerListen;               ///< Where callers and endpoints connect.
    Address callerAddress;              ///< The same as others see it.
    std::vector<NamedAddress> controls; ///< Nearest first: the feed comes from the first alive.
    std::string keyFile;
    std::uint32_t threads = 4;
    std::string certificateFile; ///< PEM; with keyPemFile callers speak TLS.
    std::string keyPemFile;

    std::size_t maxConnections = 4096;
    std::size_t maxBodyBytes = 4U << 20;
    std::size_t maxAnswerBytes = 16U << 20;
    std::size_t maxQueued = 8192;
    std::size_t maxQueuedPerClass = 2048;
    std::size_t maxQueuedPerCaller = 256;
    std::size_t maxStreams = 4096;   ///< Requests in progress, waiting ones included.
    std::uint32_t serviceSlots = 64; ///< Calls at once to one endpoint of a plain service.

    Duration addressLifetime = std::chrono::seconds { 10 };
    Duration drainSpread = std::chrono::milliseconds { 1500 }; ///< Till all know that it leaves.
    Duration demandEvery = std::chrono::milliseconds { 100 };
    Duration demandIdleEvery = std::chrono::seconds { 1 };
    Duration expectedLoad = std::chrono::seconds { 1 }; ///< Until loads have been seen.
    Duration streamIdle = std::chrono::seconds { 30 };  ///< Between two tokens.
    Duration claimTimeout = std::chrono::seconds { 1 }; ///< For the leader's verdict.
    Duration claimWindow = std::chrono::seconds { 5 };  ///< From claim to dispatch at the latest.
    Duration cachePoll = std::chrono::seconds { 1 };
    Duration announceLease = std::chrono::seconds { 3 };
    std::vector<std::string> announceProxies; ///< IPs that may announce other addresses.
    coord::ViewLeaseOptions viewLease;
    policy::RetryOptions retry;
};

/// @return every key the router knows
auto routerSchema() -> std::vector<SettingRule>;

/// @param settings read with routerSchema()
/// @return the options, or BadSettings naming the key whose relation to another is wrong
auto routerOptions(const Settings &settings) -> absl::StatusOr<RouterOptions>;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_SETTINGS_H
