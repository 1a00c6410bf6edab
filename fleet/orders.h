// Sends orders to endpoints and tracks them until they complete. Used on the leader only.
//
//   auto runner = OrderRunner { context, options, clock, registry, port, mayOrder };
//   runner.start(plan, engine);
//   runner.busySeconds(endpoint);
//
// An endpoint carries out one order at a time and counts the orders it accepts.
// Each order names the count it expects, so an unanswered order that arrives
// after a newer one has no effect. After an order without a clear answer, the
// runner reads the count again before it sends the next one.
//
// Along with the count, the runner stores what the endpoint holds at that count.
// If the endpoint accepts an order with this count, the stored state is exact
// even if late announcements contradict it: only accepted orders change what an
// endpoint holds.
//
// Guarantees: an endpoint has one plan at a time. No order is sent while
// mayOrder() is false, or to an endpoint in an evacuated failure domain. A step starts only when
// the endpoint itself, or its answer, says that the previous step is complete. The number of loads
// from the store that start within a window stays within its limit. A new leader counts the window
// before its term as full, so it starts with the few loads that the store can take in excess of its
// rate.

#ifndef FIGRACK_FLEET_ORDERS_H
#define FIGRACK_FLEET_ORDERS_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "catalogue/catalogue.h"
#include "core/clock.h"
#include "fleet/loadschedule.h"
#include "fleet/placement.h"
#include "fleet/registry.h"

namespace figrack::fleet {

/// One order as it is sent to an endpoint.
struct ModelOrder
{
    PlanStep step;
    std::uint64_t expectedCount = 0; ///< Orders that the endpoint has accepted so far.
    NodeId holder;                   ///< The leader that sends the order.
    Fence fence;
};

/// An endpoint's answer to an order.
enum class OrderReply : std::uint8_t {
    Accepted, ///< The order is being carried out.
    Holds,    ///< The endpoint is already in the requested state.
    Conflict, ///< Another order is in progress, or the count differs.
    StaleFence,
    Invalid,
    OtherEndpoint, ///< Another endpoint now uses the address.
    NoAnswer,      ///< The order may still be carried out, even much later.
};

/// @return "accepted", "holds", ...
auto orderReplyName(OrderReply reply) -> std::string_view;

/// The state that an engine reports; it may be a few hundred milliseconds old.
struct EngineReport
{
    bool busy = false;       ///< An order is being carried out.
    std::uint64_t count = 0; ///< Orders accepted so far.
    Incarnation incarnation; ///< Of the reporting endpoint; 0: not reported.
    std::vector<catalogue::HeldModel> models;
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
};

/// Transport for orders and reports, provided by an adapter.
struct OrderPort
{
    std::function<boost::asio::awaitable<OrderReply>(catalogue::EndpointRow, ModelOrder)> send;
    std::function<boost::asio::awaitable<absl::StatusOr<EngineReport>>(catalogue::EndpointRow)>
            readReport;
};

struct OrderOptions
{
    NodeId self;
    Duration adapterLoad = std::chrono::milliseconds { 8 };
    /// How long after its load an adapter counts as fresh: the time until gateways have reported
    /// the requests that waited for it, which is their report interval in a large fleet plus the
    /// transmission time.
    Duration adapterFresh = std::chrono::milliseconds { 1500 };
    Duration retryPause = std::chrono::milliseconds { 250 }; ///< Reports lag by about this much.
    std::uint32_t maxTries = 4;                              ///< For each step.
    Duration unloadTimeout = std::chrono::seconds { 4 };     ///< For requests in progress to end.
    Duration storeWindow = std::chrono::seconds { 5 };
    std::uint32_t storeConcurrency = 4; ///< Maximum number of concurrent loads from the store.
    /// Loads that a new leader may start in its first window, when its predecessor may have used
    /// up the whole rate: the store's limit is 3 loads plus a tenth above the rate.
    std::uint32_t storeSlack = 3;
    Duration pauseAfterFailure = std::chrono::milliseconds { 700 };
};

/// What an OrderRunner needs from the leader.
struct Authority
{
    std::function<bool()> mayOrder;
    std::function<Fence()> fence;
    /// @return true when the failure domain is evacuated; may be empty
    std::function<bool(const DomainId &)> isEvacuated;
    std::function<void()> onPlanEnded;
    /// Called when the endpoint's process ended while it loaded the model.
    std::function<void(const ModelId &, const EndpointId &)> onEndedDuringLoad;
    std::function<void(const ModelId &)> onLoaded;
    std::function<void()> onLoadAccepted; ///< An endpoint accepted a load; may be empty.
};

class OrderRunner
{
public:
    OrderRunner(boost::asio::io_context &context, OrderOptions options, const Clock &clock,
                Registry &registry, const OrderPort &port, Authority authority);
    ~OrderRunner();
    /// Call when this process becomes the leader. What other leaders did is unknown then.
    auto onLeading() -> void;
    auto start(const Plan &plan, std::shared_ptr<const catalogue::EngineSpec> engine) -> void;
    /// @return what the endpoint holds according to the runner, or nullptr when that is unknown
    auto held(const EndpointId &endpoint) const -> const std::vector<catalogue::HeldModel> *;
    /// @return expected seconds until the endpoint can take an order; 0 when it can now. The time
    /// grows with each consecutive plan that failed there
    auto busySeconds(const EndpointId &endpoint) const -> double;
    /// @return the number of loads in progress for each model
    auto loading() const -> std::map<ModelId, std::uint32_t>;
    auto loadingAdapters() const -> std::set<AdapterKey>;
    /// @return each load in progress
    auto loads() const -> std::vector<LoadProgress>;
    /// @return the loads in progress that wait for an unload which takes longer than expected
    auto stalledLoads() const -> std::map<ModelId, std::uint32_t>;
    /// @return adapters that were loaded within the last adapterFresh
    auto freshAdapters() const -> std::set<AdapterKey>;
    /// @return the number of loads from the store that may start now
    auto storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t;
    /// @return the current estimate of how many concurrent loads the store serves at full speed
    auto storeLoadsAtOnce() const -> std::uint32_t;
    /// Call when a row has changed; wakes the plan that waits for it.
    auto onRowChanged(const EndpointId &endpoint) -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ORDERS_H
