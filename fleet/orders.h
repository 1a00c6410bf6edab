// Gives orders to endpoints and sees them through; on the leader only.
//
//   auto runner = OrderRunner { context, options, clock, registry, port, mayOrder };
//   runner.start(plan, engine);
//   runner.busySeconds(endpoint);
//
// An endpoint carries out one order at a time and counts those it accepts. Each
// order names the count it expects, so that one that was not answered and is
// carried out late, after a newer one, has no effect. After an order without a
// clear answer the count is read again before the next.
//
// Beside the count the runner keeps what the endpoint holds at that count. Where
// the endpoint accepts an order under it, that account is exact, whatever late
// announcements say: only accepted orders change what an endpoint holds.
//
// Guarantees: an endpoint has one plan at a time; no order leaves while mayOrder()
// is false; a step begins only when the endpoint itself, or its answer, says that
// the step before is complete; no more loads from the store begin in a window
// than are allowed, counting as full the window before this leader's time: it begins with a few
// that the store bears beyond its rate.

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
#include "fleet/placement.h"
#include "fleet/registry.h"

namespace figrack::fleet {

/// One order as it goes to an endpoint.
struct ModelOrder
{
    PlanStep step;
    std::uint64_t expectedCount = 0; ///< Orders that the endpoint has accepted so far.
    NodeId holder;                   ///< Who orders.
    Fence fence;
};

/// An endpoint's answer to an order.
enum class OrderReply : std::uint8_t {
    Accepted, ///< It is being carried out.
    Holds,    ///< Nothing had to be done.
    Conflict, ///< Another order is under way, or the count differs.
    StaleFence,
    Invalid,
    OtherEndpoint, ///< Another endpoint has the address.
    NoAnswer,      ///< It may be carried out, also much later.
};

/// @return "accepted", "holds", ...
auto orderReplyName(OrderReply reply) -> std::string_view;

/// An engine's account of itself; some hundred ms old.
struct EngineReport
{
    bool busy = false;       ///< An order is being carried out.
    std::uint64_t count = 0; ///< Orders accepted.
    Incarnation incarnation; ///< Of the one that says it; 0: not told.
    std::vector<catalogue::HeldModel> models;
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
};

/// How orders and reports travel; given by an adapter.
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
    /// Until gateways have told of the requests that waited for an adapter: their report interval
    /// in a large fleet, and the way.
    Duration adapterFresh = std::chrono::milliseconds { 1500 };
    Duration retryPause = std::chrono::milliseconds { 250 }; ///< A report lags by about so much.
    std::uint32_t maxTries = 4;                              ///< Of one step.
    Duration unloadPatience = std::chrono::seconds { 4 };    ///< For requests in progress to end.
    Duration storeWindow = std::chrono::seconds { 5 };
    std::uint32_t storeConcurrency = 4; ///< Loads at once from the store, at most.
    /// Loads that a new leader may begin in its first window, when the leader before it may have
    /// used up the whole rate: the store's limit lies 3 loads and a tenth above the rate.
    std::uint32_t storeSlack = 3;
    Duration pauseAfterFailure = std::chrono::milliseconds { 700 };
};

/// What an OrderRunner asks of the leader.
struct Authority
{
    std::function<bool()> mayOrder;
    std::function<Fence()> fence;
    std::function<void()> onPlanEnded;
    /// The endpoint's process ended while it loaded the model.
    std::function<void(const ModelId &, const EndpointId &)> onEndedUnderLoad;
    std::function<void(const ModelId &)> onLoaded;
};

class OrderRunner
{
public:
    OrderRunner(boost::asio::io_context &context, OrderOptions options, const Clock &clock,
                Registry &registry, const OrderPort &port, Authority authority);
    ~OrderRunner();
    /// This process begins to lead: what other leaders did is unknown.
    auto onLeading() -> void;
    auto start(const Plan &plan, std::shared_ptr<const catalogue::EngineSpec> engine) -> void;
    /// @return what the endpoint holds by the runner's account, or nullptr when it has none
    auto held(const EndpointId &endpoint) const -> const std::vector<catalogue::HeldModel> *;
    /// @return seconds until an order may be given there, as expected; 0 when at once. Longer with
    /// each plan in a row that failed there
    auto busySeconds(const EndpointId &endpoint) const -> double;
    /// @return models and adapters whose loads are under way
    auto loading() const -> std::map<ModelId, std::uint32_t>;
    auto loadingAdapters() const -> std::set<AdapterKey>;
    /// @return of those, the loads that wait for an unload which takes longer than it should
    auto stalledLoads() const -> std::map<ModelId, std::uint32_t>;
    /// @return adapters that were loaded within the last adapterFresh
    auto freshAdapters() const -> std::set<AdapterKey>;
    /// @return loads from the store that may begin now
    auto storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t;
    /// @return loads that the store serves at once at full speed, as learned so far
    auto storeLoadsAtOnce() const -> std::uint32_t;
    /// A row has changed: whoever waits for it looks again.
    auto onRowChanged(const EndpointId &endpoint) -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ORDERS_H
