// Decides which models and adapters are loaded and unloaded next, and where.
//
//   const auto plans = plan(input);
//
// A model with waiting requests goes to the endpoint where it loads fastest: one
// with a copy of its weights in memory or on disk, where it replaces the models
// that are needed least. If that endpoint is busy with another order, the model
// waits for it when this is sooner than a load elsewhere. A model with many
// requests in progress gets another replica on the endpoint where this blocks
// the fewest other models from being loaded again. The function is pure: its
// input is a plain description of the fleet.
//
// Guarantees: no plan loads more than an endpoint has room for after the unloads
// that precede the load. An endpoint gets one plan at a time. No more loads from
// the weight store are planned than the input allows.

#ifndef FIGRACK_FLEET_PLACEMENT_H
#define FIGRACK_FLEET_PLACEMENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalogue/catalogue.h"
#include "catalogue/endpointrow.h"
#include "core/clock.h"

namespace figrack::fleet {

/// Usual time of an unload before a load, including its announcement.
constexpr auto swapTime = std::chrono::milliseconds { 300 };

/// An endpoint, as input of the placement.
struct Host
{
    EndpointId id;
    std::vector<catalogue::HeldModel> models;
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
    /// Expected seconds until it can take an order; 0 when none is in progress or in doubt.
    double busySeconds = 0;
    /// Requests in progress, summed over the latest reports of all gateways.
    std::uint32_t running = 0;
    auto takesOrders() const -> bool { return busySeconds <= 0; }
};

/// Demand for a model or an adapter, summed over all gateways.
struct RequestDemand
{
    double perSecond = 0;      ///< Arrivals, averaged over a few seconds.
    std::uint32_t waiting = 0; ///< Requests that wait for a load.
    std::uint32_t running = 0;
    /// Requests that were recently refused because the model was not loaded. Their callers retry;
    /// a model whose requests are all refused would otherwise never be loaded.
    std::uint32_t refused = 0;
    /// Recent requests that started late or had long pauses although the model was held.
    std::uint32_t late = 0;
    /// Replicas that read the model's prompts in time (fleet/replicaneed.h); 0: not computed.
    std::uint32_t readReplicas = 0;
    /// Shortest time, in seconds, in which a waiting request has to be dispatched to start on time;
    /// 0: all are late; absent: not known.
    std::optional<double> startWithin;
    /// Receipt of the latest report of a gateway where requests are in progress and none waits.
    Instant servedAt {};
    auto unserved() const -> std::uint32_t { return waiting + refused; }
    /// @return recent requests that the model's replicas could not serve in time
    auto missed() const -> std::uint32_t { return refused + late; }
};

using AdapterKey = std::pair<ModelId, std::string>;

struct PlacementInput
{
    const catalogue::EngineSpec &engine;
    std::vector<Host> hosts;
    std::map<ModelId, RequestDemand> models;
    std::map<AdapterKey, RequestDemand> adapters;
    std::map<ModelId, std::uint32_t> loading; ///< Loads in progress.
    std::map<ModelId, std::uint32_t>
            stalled; ///< The loads in progress that wait for a slow unload.
    std::set<AdapterKey> loadingAdapters;
    /// Adapters loaded so recently that no gateway can have reported the requests that use them.
    std::set<AdapterKey> freshAdapters;
    std::uint32_t storeLoads = 0; ///< Loads from the store that may start now.
    /// The part of storeLoads that is reserved for models that requests wait for: a load without
    /// waiting requests would occupy its place in the store for the six seconds that it takes. The
    /// reserve is open to a model whose replicas miss more requests each.
    std::uint32_t storeReserve = 0;
    /// Where hosts are only some of the endpoints: the number of all that hold each model, and the
    /// adapters that any of them holds. Otherwise they are counted.
    std::optional<std::map<ModelId, std::uint32_t>> holders = {};
    std::set<AdapterKey> heldAdapters = {};
    /// Interval of the passes that no report triggers.
    double passSeconds = 0.5;
    /// A route of the service is deferrable: loads are ordered by the latest start of their
    /// requests, and some are put off.
    bool ordersByStart = false;
    /// Models loaded so recently that the requests they were loaded for may not be dispatched yet.
    std::set<ModelId> freshModels = {};
};

enum class StepKind : std::uint8_t { Load, Unload };

/// @return "load" or "unload"
auto stepKindName(StepKind kind) -> std::string_view;

/// Where the weights of a load come from.
enum class LoadSource : std::uint8_t { Memory, Disk, Store };

/// @return "memory", "disk" or "store"
auto loadSourceName(LoadSource source) -> std::string_view;

/// @return how long the model's weights take to load from the source
auto loadTimeOf(const catalogue::ModelSpec &spec, LoadSource source) -> Duration;

struct PlanStep
{
    StepKind kind = StepKind::Load;
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    auto operator==(const PlanStep &) const -> bool = default;
};

/// Steps for one endpoint. Each one starts when the previous one is complete.
struct Plan
{
    EndpointId endpoint;
    std::vector<PlanStep> steps;
    LoadSource source = LoadSource::Store; ///< Of the last step, which is a load.
};

/// Why a model with unserved requests is not loaded now.
enum class DeferReason : std::uint8_t {
    Busy,   ///< The best endpoint is busy with another order; the model waits for it.
    NoRoom, ///< The models held at each endpoint are needed more, or the store allows no load.
    PutOff, ///< Its requests can wait, whereas the load now would be at the expense of others.
};

/// @return "busy", "no_room" or "put_off"
auto deferReasonName(DeferReason reason) -> std::string_view;

/// A model with unserved requests that is not loaded now.
struct Deferral
{
    ModelId model;
    DeferReason reason = DeferReason::NoRoom;
    EndpointId endpoint; ///< The endpoint that the model waits for; empty: none.
    /// Expected time until that endpoint can take an order; if put off, until the next pass.
    double seconds = 0;
    std::uint32_t unserved = 0;
    double loadSeconds = 0;  ///< Of the load, once it is ordered.
    double spareSeconds = 0; ///< If put off: until the load has to begin.
};

struct Placement
{
    std::vector<Plan> plans;
    std::vector<Deferral> deferred;
};

auto plan(const PlacementInput &input) -> Placement;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEMENT_H
