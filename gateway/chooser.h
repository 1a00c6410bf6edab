// Selects the endpoints that can take a request, and chooses one of them by this gateway's own
// information.
//
//   const auto able = ableEndpoints(candidates, criteria, isHealthy);
//   if (!able.entries.empty()) send(chooseAmong(able.entries, criteria, random));
//
// Requests that share parts of their prompt go to the same endpoint unless it is overloaded, so
// that the shared parts need not be read again. All gateways choose the same endpoint without
// communicating: the one with the highest hash of prompt part and endpoint (rendezvous hashing).
// The functions have no side effects except for drawing random numbers.

#ifndef FIGRACK_GATEWAY_CHOOSER_H
#define FIGRACK_GATEWAY_CHOOSER_H

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "gateway/fleetview.h"

namespace figrack::gateway {

/// Criteria that an endpoint must meet to take a request.
struct Criteria
{
    ModelId model;       ///< Empty for a plain service.
    std::string adapter; ///< Empty for the base model.
    /// Equal for requests that share a prompt; 0 if there is no affinity.
    std::uint64_t affinity = 0;
    std::set<EndpointId> avoided; ///< Endpoints that failed this request.
    Instant now {};
};

/// What prevents a request from getting an endpoint.
enum class BlockedBy : std::uint8_t {
    Nothing,  ///< An endpoint was found.
    Endpoint, ///< No endpoint of the service takes work.
    Model,    ///< No endpoint holds the model, except those that failed this request.
    Adapter,  ///< Some endpoints hold the model, but none holds the adapter.
    Places,   ///< The endpoints that hold the model are at full capacity.
    Trial,    ///< The work is suspected, and another attempt of it is still running.
    Limit,    ///< The account has used up its limit.
    Counter,  ///< No balancer that counts the account's usage can be reached.
    Rate,     ///< The endpoints that hold the model have received all the requests that their rates
              ///< allow.
    Backoff,  ///< The endpoints that hold the model asked this gateway for a backoff.
    Home,     ///< No endpoint of the service is in the home regions of the route and the account.
    Memory,   ///< The gateway, or the endpoints that hold the model, hold too many bytes.
    Path,     ///< The gateway has no path to the endpoints that could take it.
    Version,  ///< No endpoint of the software version that began the stream takes work.
    Origin,   ///< The software version that began the stream is not known.
};

/// @return "none", "endpoint", "model", "adapter", "places", "trial", "limit", "counter", "rate",
/// "backoff", "home", "memory", "path", "version" or "origin"
auto blockedByName(BlockedBy blockedBy) -> std::string_view;

/// The endpoints that can take a request.
struct Able
{
    std::vector<EndpointEntry *> entries; ///< Empty if blockedBy is not Nothing.
    BlockedBy blockedBy = BlockedBy::Nothing;
    Instant backoffUntil = Instant::max(); ///< If blocked by Backoff: earliest end of a backoff.
};

/// @param candidates endpoints of the service that accept new requests
/// @param isHealthy endpoints for which it returns false are returned only if no other is left
/// @return the endpoints that can take the request, without those in backoff
auto ableEndpoints(const std::vector<EndpointEntry *> &candidates, const Criteria &criteria,
                   const std::function<bool(const EndpointEntry &)> &isHealthy) -> Able;

/// @param able endpoints that can take the request; must not be empty
/// @return the endpoint to use by this gateway's own information
auto chooseAmong(const std::vector<EndpointEntry *> &able, const Criteria &criteria, Random &random)
        -> EndpointEntry *;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CHOOSER_H
