// Whole controls and gateways in virtual time: replicas of the log, decisions, registries and the
// views of gateways, over a network that a test cuts and processes that it ends.
//
//   auto world = EvacuationWorld { 3, 4 };
//   world.run(2s);
//   world.request({ DomainId { "d1" }, true });      // as an operator: resent until acknowledged
//   world.kill(world.leader());
//
// Each message takes one step. An operator asks every control in turn until one acknowledges.

#ifndef FIGRACK_GATEWAY_TESTING_EVACUATIONWORLD_H
#define FIGRACK_GATEWAY_TESTING_EVACUATIONWORLD_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/testing/fakedisk.h"
#include "coord/testing/simnet.h"
#include "fleet/decisions.h"
#include "fleet/registry.h"
#include "fleet/testing/fakepeer.h"
#include "gateway/fleetview.h"

namespace figrack::gateway::testing {

class EvacuationWorld
{
public:
    static constexpr auto step = std::chrono::milliseconds { 1 };
    EvacuationWorld(std::size_t controls, std::size_t gateways);
    ~EvacuationWorld();
    EvacuationWorld(const EvacuationWorld &) = delete;
    auto operator=(const EvacuationWorld &) -> EvacuationWorld & = delete;

    auto run(Duration duration) -> void;
    /// Begins to send a change. It is resent until acknowledged.
    auto request(const catalogue::EvacuationChange &change) -> void;
    /// @return true when no request is left without an acknowledgement
    auto isAcknowledged() const -> bool { return !pending_; }
    /// @return how long the last acknowledged request took
    auto acknowledgedAfter() const -> Duration { return acknowledgedAfter_; }
    /// @return the control that holds the lease; nullopt: none does
    auto leader() const -> std::optional<std::size_t>;
    /// Ends a control's process; its disk stays. It starts again with restart().
    auto kill(std::size_t control) -> void;
    auto restart(std::size_t control) -> void;
    auto restartGateway(std::size_t gateway) -> void;
    /// Cuts a gateway off from all controls, or heals the cut.
    auto cut(std::size_t gateway, bool isCut) -> void;
    /// @return the gateways that would send a request to the endpoint of the domain
    auto sendersTo(const std::string &domain) -> std::vector<std::size_t>;
    /// Calls a function after each step.
    auto setOnStep(std::function<void()> onStep) -> void { onStep_ = std::move(onStep); }
    auto decisions(std::size_t control) -> fleet::Decisions &;
    /// @return true when the gateway has received the endpoints and would send somewhere
    auto serves(std::size_t gateway) -> bool;

private:
    struct Control;
    struct Gateway;
    struct Message
    {
        Instant at;
        std::function<void()> deliver;
    };

    static auto domains() -> std::vector<std::string> { return { "d0", "d1", "d2" }; }
    static auto endpointIn(const std::string &domain) -> EndpointId;
    auto post(std::function<void()> deliver) -> void;
    auto publish(Control &control) -> void;
    auto announce() -> void;
    auto connect() -> void;
    auto deliverUpdate(std::size_t gateway, std::size_t control, std::uint64_t life,
                       const proto::ServingUpdate &update) -> void;
    auto report(std::size_t gateway) -> void;
    auto sendRequest() -> void;

    ManualClock clock_;
    Random random_ { 7 };
    std::vector<std::unique_ptr<Control>> controls_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<Message> messages_;
    std::optional<catalogue::EvacuationChange> pending_;
    std::uint64_t attempt_ = 0; ///< Answers to earlier attempts are ignored, as if lost.
    std::size_t nextControl_ = 0;
    bool isAsking_ = false;
    Instant requestedAt_ {};
    Instant nextAnnouncement_ {};
    Instant nextTick_ {};
    std::uint64_t sequence_ = 0;
    Duration acknowledgedAfter_ {};
    std::function<void()> onStep_;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_EVACUATIONWORLD_H
