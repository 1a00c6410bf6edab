// Simulation runs a group of controls, routers and engines in virtual time, with small fakes of
// the network, the disk and the endpoints.
//
//   auto sim = Simulation { seed, 3 };
//   sim.start();
//   sim.run(seconds { 2 });
//   auto *leader = sim.leader();
//
// Events are closures ordered by time and then by sequence number, so a run is reproducible from
// its seed. Every engine checks each order against the commands that the group has committed:
// the simulation counts loads without a committed intent and loads that do not fit in memory.

#ifndef FIGRACK_CONTROL_TESTING_SIMULATION_H
#define FIGRACK_CONTROL_TESTING_SIMULATION_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/control.h"
#include "core/clock.h"
#include "core/random.h"

namespace figrack::control::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Simulation;

/// A log store in memory. A write is durable once its call has returned, as the interface
/// requires.
class MemoryLogStore final : public coord::LogStore
{
public:
    auto recover() -> absl::StatusOr<coord::Recovered> override { return kept_; }
    auto saveIdentity(const coord::Identity &identity) -> absl::Status override;
    auto saveVote(const coord::Vote &vote) -> absl::Status override;
    auto append(const std::vector<coord::Entry> &entries) -> absl::Status override;
    auto truncate(LogIndex from) -> absl::Status override;
    auto saveSnapshot(const coord::Snapshot &snapshot) -> absl::Status override;
    auto readSnapshot() -> absl::StatusOr<coord::Snapshot> override;
    auto syncs() const -> std::size_t { return syncs_; }

private:
    coord::Recovered kept_;
    std::size_t syncs_ = 0;
};

/// A connection from a fake peer, which records the envelopes sent to it.
class FakePeer final : public proto::PeerConnection
{
public:
    explicit FakePeer(std::string name)
        : name_(std::move(name))
    { }
    auto peer() const -> const NodeId & override { return name_; }
    auto send(proto::Envelope envelope) -> bool override;
    auto close() -> void override { open_ = false; }
    auto isOpen() const -> bool override { return open_; }

    /// Removes and returns the recorded payloads of one type.
    template<typename T>
    auto take() -> std::vector<T>
    {
        auto result = std::vector<T> {};
        auto rest = std::vector<proto::Envelope> {};
        for (auto &envelope : received) {
            if (auto *payload = std::get_if<T>(&envelope.payload))
                result.push_back(std::move(*payload));
            else
                rest.push_back(std::move(envelope));
        }
        received = std::move(rest);
        return result;
    }

    std::vector<proto::Envelope> received;
    std::size_t room = SIZE_MAX; ///< Number of envelopes that it still accepts.

private:
    NodeId name_;
    bool open_ = true;
};

/// A model engine. Loads take time and memory; the spec says whether it checks fences.
struct FakeEngine
{
    struct Model
    {
        proto::ObservedState state = proto::ObservedState::Loading;
        std::uint64_t memoryMb = 0;
        Instant readyAt;
    };
    state::EndpointSpec spec;
    bool up = true;
    std::uint64_t sequence = 0;
    std::uint64_t highestFence = 0;
    std::map<ModelId, Model> models;
    std::uint64_t loadsTaken = 0;

    auto usedMb() const -> std::uint64_t;
    auto report() -> proto::EndpointReport;
};

/// One control with its disk; the disk keeps its contents across crashes.
class SimControl final
    : public coord::Transport
    , public OrderPort
{
public:
    SimControl(Simulation &simulation, coord::Member self);

    auto start() -> void;
    auto crash() -> void;
    auto pause() -> void { paused = true; }
    auto resume() -> void;

    auto send(const NodeId &to, coord::Message message) -> void override;
    auto send(const Address &endpoint, const endpoint::Order &order, std::function<bool()> mayStart,
              OrderDone done) -> void override;
    auto fetchStatus(const Address &endpoint, StatusDone done) -> void override;
    auto abortAll() -> void override;

    /// An order in transit to an engine.
    struct InFlightOrder
    {
        Address endpoint;
        endpoint::Order order;
        std::uint64_t abortsAtStart = 0; ///< Number of aborts before the order started.
        Incarnation incarnation;         ///< Incarnation of the engine connected to.
        std::function<void(endpoint::OrderReply)> answer;
    };
    auto start(const std::shared_ptr<InFlightOrder> &flight, const std::function<bool()> &mayStart)
            -> void;
    auto transmit(const std::shared_ptr<InFlightOrder> &flight) -> void;
    auto arrive(const std::shared_ptr<InFlightOrder> &flight) -> void;

    /// Runs the work on this control now, or on resume if it is paused; never after a crash.
    auto runOrDefer(std::function<void()> work) -> void;
    auto scheduleTick() -> void;

    Simulation &simulation;
    coord::Member self;
    MemoryLogStore store;
    std::unique_ptr<Control> control; ///< Empty while crashed.
    std::uint64_t generation = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred; ///< Work that runs on resume.
    std::uint64_t aborts = 0; ///< Orders started before the last abort are dropped.
    /// Called right before an order's first byte is sent; may crash or pause this control.
    std::function<void()> beforeSend;
    std::map<NodeId, std::shared_ptr<FakePeer>> peers; ///< Connections into this control.
};

struct SimulationOptions
{
    std::uint64_t engineMemoryMb = 100;
    std::size_t engines = 2;
    std::size_t routers = 2;
    bool checksFence = false;
    Duration loadTime = milliseconds { 400 };
    Duration maxTransit = milliseconds { 3 }; ///< Longest time of an order on the wire.
    std::size_t snapshotEvery = 10000;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, std::size_t controls, SimulationOptions options = {});
    ~Simulation();

    auto start() -> void;
    auto run(Duration time) -> void;
    /// Runs until a condition holds.
    /// @return false if the condition did not hold within the time
    auto runUntil(const std::function<bool()> &condition, Duration atMost) -> bool;
    auto schedule(Duration delay, std::function<void()> work) -> void;

    /// @return the control that leads under its lease, or nullptr
    auto leader() -> SimControl *;
    auto findControl(const NodeId &node) -> SimControl *;
    auto connected(const NodeId &a, const NodeId &b) const -> bool;
    auto isolate(const NodeId &node) -> void { isolated.insert(node); }
    auto heal() -> void { isolated.clear(); }

    /// Applies a change at the leader and waits for its outcome.
    auto changeConfiguration(const state::ConfigChange &change)
            -> std::pair<absl::Status, Revision>;
    /// Sets the total number of waiting requests that the routers report for a model.
    auto setDemand(const std::string &model, std::uint32_t queued) -> void;
    auto engineAt(const Address &address) -> FakeEngine *;
    /// Restarts the engine's process without loaded models.
    auto restart(FakeEngine &engine) -> void;
    auto deliverOrder(FakeEngine &engine, const endpoint::Order &order) -> endpoint::OrderReply;
    /// @return the tables of the control with the highest applied index
    auto committed() -> const state::Tables &;
    auto replicasLoaded(const std::string &model) const -> std::size_t;

    SimulationOptions options;
    ManualClock clock;
    Random random;
    std::vector<std::unique_ptr<SimControl>> controls;
    std::vector<FakeEngine> engines;
    std::set<NodeId> isolated;            ///< Controls cut off from controls, routers and engines.
    std::uint64_t loadsWithoutIntent = 0; ///< Loads without a committed intent.
    std::uint64_t overcommitments = 0;    ///< Loads that did not fit the engine's memory.
    std::uint64_t ordersDelivered = 0;
    std::function<void()> afterEvent; ///< Checks that a test runs after each event.

private:
    auto makeRouters() -> void;
    auto tickRouters() -> void;
    auto tickEngines() -> void;
    auto unload(FakeEngine &engine, const ModelId &model) -> void;

    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t nextEvent_ = 0;
    std::map<std::string, std::uint32_t> demand_;
    std::set<std::string> newDemand_; ///< Models whose new demand is not yet reported.
    std::uint64_t demandSequence_ = 0;
    std::uint64_t routerRound_ = 0;
};

auto controlName(std::size_t number) -> std::string;
auto routerName(std::size_t number) -> std::string;

} // namespace figrack::control::testing

#endif // FIGRACK_CONTROL_TESTING_SIMULATION_H
