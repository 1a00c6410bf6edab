// What an operator has configured: routes, services with their models, and client accounts.
//
//   auto catalogue = Catalogue { ... };               // decoded from a document
//   if (auto status = check(catalogue); !status.ok()) ...
//   const auto table = RouteTable { catalogue };
//   const auto *route = table.find("draft.example", "/plaques/7");
//
// Plain values. A catalogue is replaced as a whole under a version; the highest
// version is in force (fleet/configlog.h).

#ifndef FIGRACK_CATALOGUE_CATALOGUE_H
#define FIGRACK_CATALOGUE_CATALOGUE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>

#include "catalogue/account.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::catalogue {

/// Whether a request may run more than once.
enum class Repeat : std::uint8_t {
    Idempotent, ///< Any number of times.
    Once,       ///< At most once.
    Stream,     ///< At most once, unless the route says that streams may be resumed.
};

struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 0; ///< Share of the requests, relative to the others of the route.
};

/// A class of requests: which they are, where they go, what they are promised.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with '/'.
    Repeat repeat = Repeat::Once;
    bool resumable = false;        ///< A broken stream may go on at another endpoint.
    bool isPublic = false;         ///< Open to callers without a key.
    Duration finishLimit {};       ///< Longest time a request is kept waiting.
    Duration startTarget {};       ///< Answers (streams: first events) within it are on time.
    Duration gapTarget {};         ///< Longest pause between events of a stream that is on time.
    Duration leaveAfter {};        ///< Callers leave a stream that has not begun by then; 0: none.
    std::uint32_t rank = 0;        ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Endpoints on which one request may run.
    std::vector<WeightedService> split;
    std::vector<RegionId> homeRegions; ///< Where requests may be served; empty: anywhere.
    auto mayRepeat() const -> bool
    {
        return repeat == Repeat::Idempotent || (repeat == Repeat::Stream && resumable);
    }
};

struct ModelSpec
{
    ModelId id;
    double weightsMb = 0;
    Duration loadFromStore {};
    Duration loadFromMemory {};
    Duration loadFromDisk {};
    std::uint32_t adapters = 0; ///< How many exist.
    double adapterMb = 0;       ///< Each.
};

/// What the engines of a service can hold; absent for a plain service.
struct EngineSpec
{
    std::uint32_t slots = 0;
    std::uint64_t cacheTokens = 0; ///< KV cache of one engine.
    /// Tokens of KV cache that one engine fetches from another in a millisecond; 0: it does not.
    double fetchTokensPerMs = 0;
    double weightsMb = 0; ///< Room of one engine for weights and adapters together.
    std::uint32_t maxAdapters = 0;
    double storeLoadsPerSecond = 0; ///< Loads from the weight store, over all engines.
    std::vector<ModelSpec> models;
    /// @return the model, or nullptr
    auto find(const ModelId &id) const -> const ModelSpec *;
};

struct Service
{
    ServiceId id;
    std::uint32_t maxConnections = 0; ///< That one endpoint takes from all callers together.
    std::optional<EngineSpec> engine;
    /// Requests a second that one cold endpoint takes from all gateways together; 0: any number.
    double coldPerSecond = 0;
    std::string healthTarget = {}; ///< Where endpoints say whether they are well; empty: nowhere.
};

struct Catalogue
{
    Revision version;
    std::vector<Route> routes;
    std::vector<Service> services;
    /// Present: callers show a key of one, but for public routes.
    std::optional<std::vector<Account>> accounts;
    /// @return the service, or nullptr
    auto find(const ServiceId &id) const -> const Service *;
};

/// @return BadRequest naming what cannot be used: an unknown service, two routes of one place,
/// weights that add up to 0, a finish limit of 0, a key that two accounts hold
auto check(const Catalogue &catalogue) -> absl::Status;

/// Finds the route of a request: of the routes of its host, the one with the longest prefix.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Catalogue> catalogue);
    /// @param host without regard to case; a port is ignored
    /// @return the route, or nullptr
    auto find(std::string_view host, std::string_view path) const -> const Route *;
    auto catalogue() const -> const Catalogue & { return *catalogue_; }

private:
    std::shared_ptr<const Catalogue> catalogue_;
    /// By host; longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/// @param draw a number in [0, 1) that is evenly spread over requests
/// @return the service that the request goes to; empty when the route has no weight
auto pickService(const Route &route, double draw) -> ServiceId;

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_CATALOGUE_H
