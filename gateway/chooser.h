// Which endpoint a request goes to.
//
//   const auto choice = choose(candidates, wish, now-healthy predicate, random);
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
};

/// @return "none", "endpoint", "model" or "adapter"
auto lackName(Lack lack) -> std::string_view;

struct Choice
{
    EndpointEntry *entry = nullptr;
    Lack lack = Lack::Nothing;
};

/// @param candidates endpoints of the service that take work
/// @param isHealthy those for which it is false are taken only when no other is left
auto choose(const std::vector<EndpointEntry *> &candidates, const Wish &wish,
            const std::function<bool(const EndpointEntry &)> &isHealthy, Random &random) -> Choice;

/// @return a well mixed hash of two numbers
auto mixHash(std::uint64_t one, std::uint64_t other) -> std::uint64_t;
/// @return the weight of an endpoint for a key; the highest is the key's endpoint
auto rendezvousWeight(std::uint64_t key, const EndpointId &endpoint) -> std::uint64_t;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CHOOSER_H
