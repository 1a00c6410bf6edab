// Many gateways, a few controls and all endpoints of a large fleet in virtual time, over the real
// registries, watches and views, with the size of every message by the real encoder.
//
//   auto world = FleetWorld { 1000, 10'000 };
//   world.run(2s);
//   world.ask(20);                       // each gateway gets requests for 20 models
//   world.leave(endpoint, done);
//
// Each message takes one step.

#ifndef FIGRACK_GATEWAY_TESTING_FLEETWORLD_H
#define FIGRACK_GATEWAY_TESTING_FLEETWORLD_H

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fleet/announcements.h"
#include "fleet/registry.h"
#include "fleet/testing/fakepeer.h"
#include "gateway/endpointwatch.h"
#include "gateway/fleetview.h"

namespace figrack::gateway::testing {

/// Messages that one node has sent or received.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

class FleetWorld
{
public:
    static constexpr auto step = std::chrono::milliseconds { 40 };
    static constexpr auto controlCount = std::size_t { 3 };
    static constexpr auto modelCount = std::size_t { 200 };

    FleetWorld(std::size_t gateways, std::size_t endpoints);
    ~FleetWorld();
    FleetWorld(const FleetWorld &) = delete;
    auto operator=(const FleetWorld &) -> FleetWorld & = delete;

    auto run(Duration duration) -> void;
    /// Each gateway gets requests for a number of models, few of which are asked for often.
    auto ask(std::size_t models) -> void;
    /// @return the share of the models asked for, of which some gateway knows no endpoint
    auto unknownShare() -> double;
    /// An endpoint reports that it is leaving, to the control to which it announces itself.
    auto leave(std::size_t endpoint, const std::function<void(absl::Status)> &done) -> void;
    /// An endpoint deregisters, without any other word, at any control.
    auto deregister(std::size_t endpoint, std::size_t control,
                    const std::function<void(absl::Status)> &done) -> void;
    /// Adds an endpoint that announces itself to the control. @return its number
    auto addEndpoint(std::size_t control) -> std::size_t;
    /// An endpoint announces itself no more.
    auto fallSilent(std::size_t endpoint) -> void { gone_[endpoint] = true; }
    /// A random endpoint holds another model from now on.
    auto swapModelSomewhere() -> void;
    /// @return the number of gateways that would send a request to the endpoint
    auto sendersTo(std::size_t endpoint) -> std::size_t;
    auto restartGateway(std::size_t gateway) -> void;
    /// Ends a control's connections without a word; it does not come back.
    auto killControl(std::size_t control) -> void;
    /// Cuts a control off from the other controls; gateways and endpoints still reach it.
    auto cutOff(std::size_t control) -> void;
    auto reconnect(std::size_t control) -> void;
    /// @return true when the control knows the endpoint and has not heard that it is gone
    auto knows(std::size_t control, std::size_t endpoint) const -> bool;

    /// Counts from now on.
    auto resetTraffic() -> void;
    auto received(std::size_t gateway) const -> Traffic;
    /// @return the most that any gateway has received
    auto mostReceived() const -> Traffic;
    auto sentBy(std::size_t control) const -> Traffic;
    auto isWhole(std::size_t gateway) const -> bool;
    auto knownTo(std::size_t gateway) const -> std::size_t;
    /// @return the number of endpoints among which a gateway chooses for a request
    auto offeredTo(std::size_t gateway) -> std::size_t;
    auto now() const -> Instant { return clock_.now(); }

private:
    struct Control;
    struct Gateway;
    static auto endpointId(std::size_t endpoint) -> EndpointId;
    auto post(std::function<void()> deliver) -> void;
    auto connectControls() -> void;
    auto subscribeControl(std::size_t from, std::size_t to) -> void;
    auto makeRow(std::size_t endpoint) -> catalogue::EndpointRow;
    auto connect(std::size_t gateway) -> void;
    auto subscribe(std::size_t gateway) -> void;
    auto announce(std::size_t endpoint, bool isLeaving,
                  const std::function<void(absl::Status)> &done) -> void;
    auto announceDue() -> void;
    auto onEnvelope(std::size_t gateway, std::size_t control, const proto::Envelope &envelope)
            -> void;
    auto onUpdate(std::size_t gateway, std::size_t control, const proto::ServingUpdate &update)
            -> void;
    auto watch(std::size_t gateway) -> void;
    auto keyAsked(std::size_t gateway, std::size_t number) const -> proto::WatchKey;

    ManualClock clock_;
    Random random_ { 11 };
    std::vector<std::unique_ptr<Control>> controls_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<catalogue::EndpointRow> endpoints_;
    std::vector<std::size_t> announcesTo_; ///< The control of each endpoint.
    std::vector<bool> gone_;
    std::vector<std::function<void()>> messages_;
    std::size_t asked_ = 0;
    std::size_t nextAnnouncement_ = 0;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_FLEETWORLD_H
