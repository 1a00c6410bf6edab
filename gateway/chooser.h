// Which endpoints can take a request, and which of them takes it by this
// gateway's own knowledge.
//
//   const auto able = ableEndpoints(candidates, wish, now-healthy predicate);
//   if (!able.entries.empty()) go(chooseAmong(able.entries, wish, random));
//
// Requests that share parts of their prompt go to the same endpoint while it
// keeps up, so that the parts need not be read again. All gateways agree on
// that endpoint without talking: it is the one with the highest hash of part
// and endpoint (rendezvous hashing). Pure but for the random draw among equals.

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

/// What a request asks of an endpoint.
struct Wish
{
    ModelId model;                ///< Empty: a plain service.
    std::string adapter;          ///< Empty: the model itself.
    std::uint64_t affinity = 0;   ///< Equal for requests that share a prompt; 0: none.
    std::set<EndpointId> avoided; ///< Those that failed this very request.
    Instant now {};
};

/// Why no endpoint can be had.
enum class Lack : std::uint8_t {
    Nothing,  ///< One was found.
    Endpoint, ///< No endpoint of the service takes work.
    Model,    ///< None of them holds the model, but for those that failed this request.
    Adapter,  ///< None of them holds the adapter, though some hold the model.
    Places,   ///< Those that hold what is asked for have as many requests as they can serve.
    Trial,    ///< Its work is suspected, and another try of it is not over.
    Limit,    ///< Its account has used up its limit.
    Counter,  ///< Nobody that counts what its account uses can be asked.
    Rate,     ///< Those that hold what is asked for have got all requests of late that they take.
    Backoff,  ///< Those that hold what is asked for asked this gateway for a backoff.
};

/// @return "none", "endpoint", "model", "adapter", "places", "trial", "limit", "counter", "rate" or
/// "backoff"
auto lackName(Lack lack) -> std::string_view;

struct Able
{
    std::vector<EndpointEntry *> entries; ///< None when something lacks.
    Lack lack = Lack::Nothing;
    Instant backoffUntil = Instant::max(); ///< With Backoff: when the first one is over.
};

/// @param candidates endpoints of the service that take work
/// @param isHealthy those for which it is false are named only when no other is left
/// @return the endpoints that can take the request; none whose backoff lasts
auto ableEndpoints(const std::vector<EndpointEntry *> &candidates, const Wish &wish,
                   const std::function<bool(const EndpointEntry &)> &isHealthy) -> Able;

/// @param able one endpoint at least
/// @return the one to take by this gateway's knowledge alone
auto chooseAmong(const std::vector<EndpointEntry *> &able, const Wish &wish, Random &random)
        -> EndpointEntry *;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CHOOSER_H
