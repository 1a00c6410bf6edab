// Which models and adapters are loaded and unloaded next, and where.
//
//   const auto plans = plan(input);
//
// A model that requests wait for goes where it loads fastest: to an endpoint
// with a copy of its weights in memory or on disk, and there in the place of
// what is needed least. Where that endpoint is busy with another order, the model
// waits for it when that is sooner than a load elsewhere. A model with many
// requests in progress gets another replica where that keeps the fewest others
// from coming back. Pure: the input is a plain account of the fleet.
//
// Guarantees: no plan loads more than an endpoint has room for, counting what
// is unloaded before; an endpoint gets one plan at a time; no more loads from
// the weight store are planned than the input allows.

#ifndef FIGRACK_FLEET_PLACEMENT_H
#define FIGRACK_FLEET_PLACEMENT_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalogue/catalogue.h"
#include "catalogue/endpointrow.h"

namespace figrack::fleet {

/// An endpoint as placement sees it.
struct Host
{
    EndpointId id;
    std::vector<catalogue::HeldModel> models;
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
    /// Seconds until it takes an order, as expected; 0 when none is under way or in doubt.
    double busySeconds = 0;
    /// Requests in progress, over all gateways, as they told last.
    std::uint32_t running = 0;
    auto takesOrders() const -> bool { return busySeconds <= 0; }
};

/// How much a model or an adapter is asked for, over all gateways.
struct Asked
{
    double perSecond = 0;      ///< Arrivals, averaged over some seconds.
    std::uint32_t waiting = 0; ///< Requests that wait for a load.
    std::uint32_t running = 0;
    /// Requests that were refused of late for want of a load: their callers come back, and a model
    /// whose requests are all refused would otherwise stay unloaded for ever.
    std::uint32_t refused = 0;
    /// Requests that began or paused too late of late, where the model was held.
    std::uint32_t late = 0;
    auto lacks() const -> std::uint32_t { return waiting + refused; }
    /// @return requests of late that its replicas could not serve in time
    auto missed() const -> std::uint32_t { return refused + late; }
};

using AdapterKey = std::pair<ModelId, std::string>;

struct PlacementInput
{
    const catalogue::EngineSpec &engine;
    std::vector<Host> hosts;
    std::map<ModelId, Asked> models;
    std::map<AdapterKey, Asked> adapters;
    std::map<ModelId, std::uint32_t> loading; ///< Loads under way.
    std::map<ModelId, std::uint32_t> stalled; ///< Of those, loads that wait for a slow unload.
    std::set<AdapterKey> loadingAdapters;
    /// Loaded so recently that no gateway can have told of the requests that use them.
    std::set<AdapterKey> freshAdapters;
    std::uint32_t storeLoads = 0; ///< That may begin now.
    /// Of those, kept for models that requests lack: a load that nobody waits for would hold its
    /// place in the store for the six seconds that it takes. Not kept from a model whose replicas
    /// miss more requests each.
    std::uint32_t storeReserve = 0;
};

enum class StepKind : std::uint8_t { Load, Unload };

/// @return "load" or "unload"
auto stepKindName(StepKind kind) -> std::string_view;

/// Where the weights of a load come from.
enum class LoadSource : std::uint8_t { Memory, Disk, Store };

/// @return "memory", "disk" or "store"
auto loadSourceName(LoadSource source) -> std::string_view;

struct PlanStep
{
    StepKind kind = StepKind::Load;
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    auto operator==(const PlanStep &) const -> bool = default;
};

/// Steps for one endpoint, each begun when the one before is complete.
struct Plan
{
    EndpointId endpoint;
    std::vector<PlanStep> steps;
    LoadSource source = LoadSource::Store; ///< Of the last step, a load.
};

/// Why a model that requests lack is not loaded now.
enum class DeferReason : std::uint8_t {
    Busy,   ///< The best endpoint is busy with another order, and is waited for.
    NoRoom, ///< What each endpoint holds is needed more, or the store gives no more.
};

/// @return "busy" or "no_room"
auto deferReasonName(DeferReason reason) -> std::string_view;

/// A model that requests lack and that is not loaded now.
struct Deferral
{
    ModelId model;
    DeferReason reason = DeferReason::NoRoom;
    EndpointId endpoint; ///< That is waited for; empty: none.
    double seconds = 0;  ///< Until it takes an order, as expected.
    std::uint32_t lacks = 0;
};

struct Placement
{
    std::vector<Plan> plans;
    std::vector<Deferral> deferred;
};

auto plan(const PlacementInput &input) -> Placement;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEMENT_H
