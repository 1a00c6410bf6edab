// Defines the router's settings: every key with its unit and range, and the
// validated options read from them.
//
//   auto settings = Settings::read(path, routerSchema());
//   auto options = routerOptions(*settings);
//
// Guarantees: options are created only from a validated file. Relations between
// keys are checked here.

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

/// The options of the router process.
struct RouterOptions
{
    NodeId self;
    DomainId domain;
    Address callerListen;               ///< The address on which callers and endpoints connect.
    Address callerAddress;              ///< The same address as advertised to others.
    std::vector<NamedAddress> controls; ///< Nearest first; the first connected one sends the
                                        ///< feed.
    std::string keyFile;
    std::uint32_t threads = 4;
    std::string certificateFile; ///< PEM; callers use TLS if this and keyPemFile are set.
    std::string keyPemFile;

    std::size_t maxConnections = 4096;
    std::size_t maxHeldBytes = 1U << 30; ///< By all callers together.
    std::size_t maxBodyBytes = 4U << 20;
    std::size_t maxAnswerBytes = 16U << 20;
    std::size_t maxQueued = 8192;
    std::size_t maxQueuedPerClass = 2048;
    std::size_t maxQueuedPerCaller = 256;
    std::size_t maxStreams = 4096;   ///< Requests in progress, including waiting ones.
    std::uint32_t serviceSlots = 64; ///< Concurrent calls to one endpoint of a plain service.

    Duration addressLifetime = std::chrono::seconds { 10 };
    Duration drainPropagationTime
            = std::chrono::milliseconds { 1500 }; ///< Until all routers know that this one leaves.
    Duration demandEvery = std::chrono::milliseconds { 100 };
    Duration demandIdleEvery = std::chrono::seconds { 1 };
    Duration expectedLoad
            = std::chrono::seconds { 1 }; ///< Used until model loads have been observed.
    Duration streamIdle = std::chrono::seconds { 30 };  ///< Longest pause between two tokens.
    Duration claimTimeout = std::chrono::seconds { 1 }; ///< For the leader's verdict on a claim.
    Duration claimWindow
            = std::chrono::seconds { 5 }; ///< Longest time from requesting a claim to the dispatch.
    Duration cachePoll = std::chrono::seconds { 1 };
    Duration announceLease = std::chrono::seconds { 3 };
    std::vector<std::string> announceProxies; ///< IPs that may announce addresses of other hosts.
    coord::ViewLeaseOptions viewLease;
    policy::RetryOptions retry;
};

/// @return every settings key of the router
auto routerSchema() -> std::vector<SettingRule>;

/// @param settings the settings read with routerSchema()
/// @return the options, or BadSettings naming the key whose value conflicts with another key
auto routerOptions(const Settings &settings) -> absl::StatusOr<RouterOptions>;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_SETTINGS_H
