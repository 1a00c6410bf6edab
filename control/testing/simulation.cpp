#include "control/testing/simulation.h"

#include <algorithm>
#include <utility>

namespace figrack::control::testing {
namespace {

constexpr auto routerInterval = milliseconds { 100 };
constexpr auto engineInterval = milliseconds { 100 };
constexpr auto routerIncarnation = Incarnation { 1 };

auto optionsOf(const coord::Member &self, const std::vector<coord::Member> &founders,
               const SimulationOptions &simulation) -> ControlOptions
{
    auto options = ControlOptions {};
    auto &replica = options.node.replica;
    replica.self = self;
    replica.founders = founders;
    replica.snapshotEvery = simulation.snapshotEvery;
    replica.keepEntries = std::min<std::size_t>(replica.keepEntries, simulation.snapshotEvery);
    options.endpoints.detector.expectedGap = engineInterval;
    options.endpoints.detector.minTimeout = milliseconds { 800 };
    options.endpoints.detector.maxTimeout = seconds { 2 };
    options.endpoints.forgetAfter = seconds { 120 };
    options.orders.machine.maxOrderDelay = seconds { 2 };
    options.orders.holdOff = Duration {}; // The in-doubt delay alone must be sufficient.

    options.scheduler.planner.storeLoadsPerSecond = 100;
    return options;
}

} // namespace

auto controlName(std::size_t number) -> std::string
{
    return "c" + std::to_string(number + 1);
}

auto routerName(std::size_t number) -> std::string
{
    return "r" + std::to_string(number + 1);
}

// --- disk ---

auto MemoryLogStore::saveIdentity(const coord::Identity &identity) -> absl::Status
{
    kept_.identity = identity;
    return absl::OkStatus();
}

auto MemoryLogStore::saveVote(const coord::Vote &vote) -> absl::Status
{
    kept_.vote = vote;
    return absl::OkStatus();
}

auto MemoryLogStore::append(const std::vector<coord::Entry> &entries) -> absl::Status
{
    ++syncs_;
    kept_.entries.insert(kept_.entries.end(), entries.begin(), entries.end());
    return absl::OkStatus();
}

auto MemoryLogStore::truncate(LogIndex from) -> absl::Status
{
    std::erase_if(kept_.entries, [from](const auto &entry) { return entry.index >= from; });
    return absl::OkStatus();
}

auto MemoryLogStore::saveSnapshot(const coord::Snapshot &snapshot) -> absl::Status
{
    kept_.snapshot = snapshot;
    std::erase_if(kept_.entries,
                  [&snapshot](const auto &entry) { return entry.index <= snapshot.lastIndex; });
    return absl::OkStatus();
}

auto MemoryLogStore::readSnapshot() -> absl::StatusOr<coord::Snapshot>
{
    if (!kept_.snapshot)
        return makeError(ErrorKind::Internal, "no snapshot");
    return *kept_.snapshot;
}

// --- peers and engines ---

auto FakePeer::send(proto::Envelope envelope) -> bool
{
    if (!open_ || room == 0)
        return false;
    --room;
    received.push_back(std::move(envelope));
    return true;
}

auto FakeEngine::usedMb() const -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto &[id, model] : models)
        sum += model.memoryMb;
    return sum;
}

auto FakeEngine::report() -> proto::EndpointReport
{
    auto report = proto::EndpointReport {};
    report.spec = spec;
    report.sequence = ++sequence;
    report.usedMb = usedMb();
    for (const auto &[id, model] : models)
        report.replicas.push_back({ id, "1", model.state, 0, 0 });
    return report;
}

// --- a control ---

SimControl::SimControl(Simulation &sim, coord::Member member)
    : simulation(sim)
    , self(std::move(member))
{ }

auto SimControl::start() -> void
{
    ++generation;
    paused = false;
    deferred.clear();
    auto founders = std::vector<coord::Member> {};
    for (const auto &other : simulation.controls)
        founders.push_back(other->self);
    auto defer = [this](std::function<void()> work) {
        simulation.schedule(Duration { 1000 },
                            [this, startGeneration = generation, work = std::move(work)] {
                                if (startGeneration == generation && control)
                                    runOrDefer(work);
                            });
    };
    control = std::make_unique<Control>(optionsOf(self, founders, simulation.options),
                                        simulation.clock, *this, store, simulation.random, *this,
                                        std::move(defer));
    if (!control->start().ok())
        throw std::runtime_error("a control does not start");
    for (auto &[name, peer] : peers)
        control->onOpen(peer);
    scheduleTick();
}

auto SimControl::crash() -> void
{
    ++generation;
    ++aborts;
    control.reset();
    deferred.clear();
    for (auto &[name, peer] : peers)
        peer = std::make_shared<FakePeer>(name.value());
}

auto SimControl::resume() -> void
{
    paused = false;
    for (auto &work : std::exchange(deferred, {}))
        runOrDefer(std::move(work));
}

auto SimControl::runOrDefer(std::function<void()> work) -> void
{
    if (!control)
        return;
    if (paused) {
        deferred.push_back(std::move(work));
        return;
    }
    work();
}

auto SimControl::scheduleTick() -> void
{
    simulation.schedule(milliseconds { 10 }, [this, startGeneration = generation] {
        runOrDefer([this, startGeneration] {
            if (startGeneration != generation)
                return;
            control->tick();
            if (startGeneration == generation && control)
                scheduleTick();
        });
    });
}

auto SimControl::send(const NodeId &to, coord::Message message) -> void
{
    const auto delay = milliseconds { 1 } * (1.0 + simulation.random.unit());
    simulation.schedule(std::chrono::duration_cast<Duration>(delay), [this, to, message] {
        auto *target = simulation.findControl(to);
        if (!target || !simulation.connected(self.node, to))
            return;
        target->runOrDefer([this, target, message] {
            auto &peer = target->peers[self.node];
            if (!peer)
                peer = std::make_shared<FakePeer>(self.node.value());
            target->control->onMessage(peer, { 0, message });
        });
    });
}

// Connects, calls mayStart and writes. The bytes stay in the kernel, where an abort still discards
// them, until the network accepts them. After that they arrive whatever happens to this control.
auto SimControl::send(const Address &endpoint, const endpoint::Order &order,
                      std::function<bool()> mayStart, OrderDone done) -> void
{
    auto flight = std::make_shared<InFlightOrder>();
    flight->endpoint = endpoint;
    flight->order = order;
    flight->abortsAtStart = aborts;
    flight->answer = [this, startGeneration = generation,
                      done = std::move(done)](endpoint::OrderReply reply) {
        if (startGeneration == generation)
            runOrDefer([done, reply] { done({ reply, {} }); });
    };
    simulation.schedule(milliseconds { 1 }, [this, startGeneration = generation, flight, mayStart] {
        if (startGeneration != generation)
            return;
        runOrDefer([this, startGeneration, flight, mayStart] {
            if (beforeSend)
                beforeSend();
            if (startGeneration == generation)
                runOrDefer([this, flight, mayStart] { start(flight, mayStart); });
        });
    });
}

auto SimControl::start(const std::shared_ptr<InFlightOrder> &flight,
                       const std::function<bool()> &mayStart) -> void
{
    const auto *engine = simulation.engineAt(flight->endpoint);
    if (flight->abortsAtStart != aborts || !engine || !mayStart()) {
        flight->answer(endpoint::OrderReply::NotSent);
        return;
    }
    flight->incarnation = engine->spec.incarnation;
    transmit(flight);
}

auto SimControl::transmit(const std::shared_ptr<InFlightOrder> &flight) -> void
{
    if (flight->abortsAtStart != aborts) {
        flight->answer(endpoint::OrderReply::Unknown);
        return;
    }
    if (simulation.isolated.contains(self.node)) {
        simulation.schedule(milliseconds { 10 }, [this, flight] { transmit(flight); });
        return;
    }
    const auto longest = static_cast<std::uint64_t>(simulation.options.maxTransit.count());
    const auto transit = Duration { static_cast<std::int64_t>(simulation.random.below(longest)) };
    simulation.schedule(transit, [this, flight] { arrive(flight); });
}

// A connection breaks when the engine that it was opened to restarts.
auto SimControl::arrive(const std::shared_ptr<InFlightOrder> &flight) -> void
{
    auto *engine = simulation.engineAt(flight->endpoint);
    if (!engine->up || engine->spec.incarnation != flight->incarnation) {
        flight->answer(endpoint::OrderReply::Unknown);
        return;
    }
    const auto reply = simulation.deliverOrder(*engine, flight->order);
    simulation.schedule(milliseconds { 1 }, [this, flight, reply] {
        const auto lost
                = flight->abortsAtStart != aborts || simulation.isolated.contains(self.node);
        flight->answer(lost ? endpoint::OrderReply::Unknown : reply);
    });
}

auto SimControl::fetchStatus(const Address &endpoint, StatusDone done) -> void
{
    simulation.schedule(milliseconds { 2 }, [this, startGeneration = generation, endpoint, done] {
        if (startGeneration != generation)
            return;
        auto *engine = simulation.engineAt(endpoint);
        const auto reachable = engine && engine->up && !simulation.isolated.contains(self.node);
        auto report = reachable
                ? absl::StatusOr<proto::EndpointReport> { engine->report() }
                : absl::StatusOr<proto::EndpointReport> { makeError(ErrorKind::Timeout, "status") };
        runOrDefer([done, report = std::move(report)] { done(report); });
    });
}

auto SimControl::abortAll() -> void
{
    ++aborts;
}

// --- the simulation ---

Simulation::Simulation(std::uint64_t seed, std::size_t count, SimulationOptions given)
    : options(given)
    , random(seed)
{
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        auto member = coord::Member {};
        member.node = NodeId { controlName(i) };
        member.kind = coord::MemberKind::Voter;
        member.domain = DomainId { "d" + std::to_string(i + 1) };
        member.address = "127.0.0.1:" + std::to_string(7000 + i);
        controls.push_back(std::make_unique<SimControl>(*this, member));
    }
    for (auto i = std::size_t { 0 }; i < options.engines; ++i) {
        auto engine = FakeEngine {};
        engine.spec.id = EndpointId { "e" + std::to_string(i + 1) };
        engine.spec.incarnation = Incarnation { 1 };
        engine.spec.address = "127.0.0.1:" + std::to_string(9000 + i);
        engine.spec.domain = DomainId { "d" + std::to_string(i % 3 + 1) };
        engine.spec.accelerators = 1;
        engine.spec.memoryMb = options.engineMemoryMb;
        engine.spec.checksFence = options.checksFence;
        engines.push_back(std::move(engine));
    }
}

Simulation::~Simulation() = default;

auto Simulation::start() -> void
{
    makeRouters();
    for (auto &control : controls)
        control->start();
    tickRouters();
    tickEngines();
}

auto Simulation::makeRouters() -> void
{
    for (auto &control : controls) {
        for (auto i = std::size_t { 0 }; i < options.routers; ++i) {
            const auto name = NodeId { routerName(i) };
            control->peers[name] = std::make_shared<FakePeer>(name.value());
        }
    }
}

auto Simulation::schedule(Duration delay, std::function<void()> work) -> void
{
    events_.emplace(std::pair { clock.now() + delay, nextEvent_++ }, std::move(work));
}

auto Simulation::run(Duration time) -> void
{
    (void)runUntil([] { return false; }, time);
}

auto Simulation::runUntil(const std::function<bool()> &condition, Duration atMost) -> bool
{
    const auto end = clock.now() + atMost;
    while (!condition()) {
        if (events_.empty() || events_.begin()->first.first > end) {
            clock.advanceTo(end);
            return condition();
        }
        auto node = events_.extract(events_.begin());
        clock.advanceTo(std::max(clock.now(), node.key().first));
        node.mapped()();
        if (afterEvent)
            afterEvent();
    }
    return true;
}

auto Simulation::leader() -> SimControl *
{
    for (auto &control : controls) {
        if (control->control && !control->paused && control->control->node().holdsLease())
            return control.get();
    }
    return nullptr;
}

auto Simulation::findControl(const NodeId &node) -> SimControl *
{
    for (auto &control : controls) {
        if (control->self.node == node)
            return control.get();
    }
    return nullptr;
}

auto Simulation::connected(const NodeId &a, const NodeId &b) const -> bool
{
    return !isolated.contains(a) && !isolated.contains(b);
}

auto Simulation::changeConfiguration(const state::ConfigChange &change)
        -> std::pair<absl::Status, Revision>
{
    auto result = std::optional<std::pair<absl::Status, Revision>> {};
    if (!runUntil([this] { return leader() != nullptr; }, seconds { 20 }))
        return { makeError(ErrorKind::NoQuorum, "no leader"), {} };
    leader()->control->changeConfiguration(
            change, [&result](const absl::Status &status, Revision revision) {
                result.emplace(status, revision);
            });
    if (!runUntil([&result] { return result.has_value(); }, seconds { 20 }))
        return { makeError(ErrorKind::Timeout, "no answer"), {} };
    return *result;
}

auto Simulation::setDemand(const std::string &model, std::uint32_t queued) -> void
{
    demand_[model] = queued;
    newDemand_.insert(model);
}

// Each router renews its lease at every control and sends joins and demand to the leader.
auto Simulation::tickRouters() -> void
{
    ++demandSequence_;
    for (auto i = std::size_t { 0 }; i < options.routers; ++i) {
        const auto router = NodeId { routerName(i) };
        for (auto &control : controls) {
            if (isolated.contains(control->self.node))
                continue;
            control->runOrDefer([this, &control = *control, router, i] {
                auto &peer = control.peers[router];
                const auto &tables = control.control->node().tables();
                const auto revision = tables.configuration().revision;
                auto renew = coord::RenewRequest { router, routerIncarnation, revision,
                                                   ++routerRound_ };
                control.control->onMessage(peer, { 1, renew });
                if (!control.control->node().holdsLease())
                    return;
                auto join = state::RegisterRouter { router, routerIncarnation, DomainId { "d1" },
                                                    "127.0.0.1:1", 0 };
                if (!tables.routers().contains(router))
                    control.control->onMessage(peer, { 2, proto::JoinRequest { join } });
                auto report = proto::DemandReport {};
                report.router = router;
                report.incarnation = routerIncarnation;
                report.sequence = demandSequence_;
                report.appliedRevision = revision;
                for (const auto &[model, queued] : demand_) {
                    auto row = proto::DemandRow { ModelId { model }, ClassId { "urgent" } };
                    row.queued = queued;
                    row.arrived = i == 0 && newDemand_.contains(model) ? queued : 0;
                    row.tightestSlackMs = 1000;
                    report.rows.push_back(row);
                }
                control.control->onMessage(peer, { 0, report });
            });
        }
    }
    newDemand_.clear();
    schedule(routerInterval, [this] { tickRouters(); });
}

auto Simulation::tickEngines() -> void
{
    for (auto &engine : engines) {
        if (!engine.up)
            continue;
        for (auto &[id, model] : engine.models) {
            if (model.state == proto::ObservedState::Loading && clock.now() >= model.readyAt)
                model.state = proto::ObservedState::Ready;
        }
        const auto report = engine.report();
        for (auto &control : controls) {
            if (isolated.contains(control->self.node))
                continue;
            control->runOrDefer([&control = *control, report] {
                control.control->onMessage(control.peers[NodeId { "r1" }], { 0, report });
            });
        }
    }
    schedule(engineInterval, [this] { tickEngines(); });
}

auto Simulation::engineAt(const Address &address) -> FakeEngine *
{
    for (auto &engine : engines) {
        if (engine.spec.address == address.text())
            return &engine;
    }
    return nullptr;
}

auto Simulation::committed() -> const state::Tables &
{
    static const auto none = state::Tables {};
    const auto *best = &none;
    for (auto &control : controls) {
        if (!control->control)
            continue;
        const auto &tables = control->control->node().tables();
        if (tables.appliedIndex() >= best->appliedIndex())
            best = &tables;
    }
    return *best;
}

auto Simulation::deliverOrder(FakeEngine &engine, const endpoint::Order &order)
        -> endpoint::OrderReply
{
    ++ordersDelivered;
    if (engine.spec.checksFence && order.fence.value() < engine.highestFence)
        return endpoint::OrderReply::StaleFence;
    engine.highestFence = std::max(engine.highestFence, order.fence.value());
    const auto loaded = engine.models.contains(order.model);
    if (order.action == state::OrderAction::Unload) {
        if (loaded)
            unload(engine, order.model);
        return loaded ? endpoint::OrderReply::Taken : endpoint::OrderReply::Already;
    }
    if (loaded)
        return endpoint::OrderReply::Already;
    // Tables that have not reached the order's intent yet do not show whether it exists.
    const auto &tables = committed();
    const auto intentApplied = tables.appliedIndex().value() >= order.id.value();
    if (intentApplied && !tables.replicas().contains({ order.model, engine.spec.id }))
        ++loadsWithoutIntent;
    if (engine.usedMb() + order.memoryMb > engine.spec.memoryMb)
        ++overcommitments;
    engine.models[order.model]
            = { proto::ObservedState::Loading, order.memoryMb, clock.now() + options.loadTime };
    ++engine.loadsTaken;
    return endpoint::OrderReply::Taken;
}

auto Simulation::unload(FakeEngine &engine, const ModelId &model) -> void
{
    engine.models.at(model).state = proto::ObservedState::Unloading;
    schedule(milliseconds { 50 }, [&engine, model, generation = engine.spec.incarnation] {
        const auto found = engine.models.find(model);
        if (found != engine.models.end() && engine.spec.incarnation == generation
            && found->second.state == proto::ObservedState::Unloading)
            engine.models.erase(found);
    });
}

auto Simulation::restart(FakeEngine &engine) -> void
{
    engine.models.clear();
    engine.highestFence = 0;
    engine.sequence = 0;
    engine.spec.incarnation = engine.spec.incarnation.next();
}

auto Simulation::replicasLoaded(const std::string &model) const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(), [&model](const auto &engine) {
                return engine.models.contains(ModelId { model });
            }));
}

} // namespace figrack::control::testing
