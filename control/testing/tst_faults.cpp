// Long seeded runs under faults: crashes, pauses and partitions of controls, restarts of engines,
// orders that arrive late, and changes of demand and configuration. Faults may overlap.
//
// Checked throughout: every load has a committed intent, no engine's memory is overcommitted, the
// revision never decreases, and tables with equal applied index are equal. At the end, after all
// faults are healed, the engines hold exactly the models that the tables list.

#include <cstdlib>

#include <doctest/doctest.h>

#include "control/testing/simulation.h"

namespace figrack::control {
namespace {

using namespace testing;

constexpr auto modelCount = std::uint64_t { 4 };

class FaultRun
{
public:
    FaultRun(std::uint64_t seed, const SimulationOptions &options)
        : sim_(seed, 3, options)
        , random_(seed * 7919)
    {
        sim_.afterEvent = [this] { check(); };
    }

    auto run(int steps) -> void
    {
        sim_.start();
        configure();
        for (auto i = 0; i < steps; ++i) {
            step();
            sim_.run(milliseconds { 50 + random_.below(1500) });
        }
        heal();
        sim_.run(seconds { 90 });
    }

    auto simulation() -> Simulation & { return sim_; }
    auto faults() const -> int { return faults_; }
    auto mismatch() -> std::string;

private:
    auto configure() -> void;
    auto step() -> void;
    auto changeOneModel() -> void;
    auto randomControl() -> SimControl &
    {
        return *sim_.controls[random_.below(sim_.controls.size())];
    }
    auto heal() -> void;
    auto check() -> void;
    auto scheduleRestart(SimControl &control) -> void;

    Simulation sim_;
    Random random_;
    Revision revision_;
    int faults_ = 0;
    std::uint64_t changes_ = 0;
};

auto spec(std::uint64_t number, std::uint32_t slots) -> state::ModelSpec
{
    auto result = state::ModelSpec {};
    result.id = ModelId { "m" + std::to_string(number) };
    result.weightMb = 30 + 10 * number;
    result.slots = slots;
    return result;
}

auto FaultRun::configure() -> void
{
    auto urgent = state::ClassSpec {};
    urgent.id = ClassId { "urgent" };
    REQUIRE(sim_.changeConfiguration(
                        { ChangeId { "class" }, "a", {}, state::PutClass { urgent }, 0 })
                    .first.ok());
    for (auto i = std::uint64_t { 0 }; i < modelCount; ++i) {
        const auto id = ChangeId { "m" + std::to_string(i) };
        const auto change = state::ConfigChange { id, "a", Revision { i + 1 },
                                                  state::PutModel { spec(i, 4) }, 0 };
        REQUIRE(sim_.changeConfiguration(change).first.ok());
    }
}

auto FaultRun::step() -> void
{
    switch (random_.below(10)) {
    case 0:
        if (auto &control = randomControl(); control.control) {
            control.crash();
            scheduleRestart(control);
            ++faults_;
        }
        return;
    case 1:
        if (auto &control = randomControl(); control.control && !control.paused) {
            control.pause();
            sim_.schedule(milliseconds { 200 + random_.below(6000) },
                          [&control] { control.resume(); });
            ++faults_;
        }
        return;
    case 2:
        sim_.isolate(randomControl().self.node);
        sim_.schedule(milliseconds { 200 + random_.below(6000) }, [this] { sim_.heal(); });
        ++faults_;
        return;
    case 3:
        sim_.restart(sim_.engines[random_.below(sim_.engines.size())]);
        ++faults_;
        return;
    case 4: {
        auto &engine = sim_.engines[random_.below(sim_.engines.size())];
        engine.up = false;
        sim_.schedule(milliseconds { 500 + random_.below(5000) }, [&engine] { engine.up = true; });
        ++faults_;
        return;
    }
    case 5:
        return changeOneModel();
    default:
        sim_.setDemand("m" + std::to_string(random_.below(modelCount)),
                       random_.chance(0.5) ? 1 + static_cast<std::uint32_t>(random_.below(8)) : 0);
    }
}

// Does not wait for the outcome, which may be lost with the leader.
auto FaultRun::changeOneModel() -> void
{
    auto *leader = sim_.leader();
    if (!leader)
        return;
    const auto id = ChangeId { "change" + std::to_string(++changes_) };
    const auto revision = leader->control->node().tables().configuration().revision;
    const auto slots = 1 + static_cast<std::uint32_t>(random_.below(8));
    const auto operation = state::PutModel { spec(random_.below(modelCount), slots) };
    leader->control->changeConfiguration({ id, "a", revision, operation, 0 },
                                         [](const absl::Status &, Revision) {});
}

auto FaultRun::scheduleRestart(SimControl &control) -> void
{
    sim_.schedule(milliseconds { 100 + random_.below(5000) }, [&control] {
        if (!control.control)
            control.start();
    });
}

auto FaultRun::heal() -> void
{
    sim_.run(seconds { 8 });
    sim_.heal();
    for (auto i = std::uint64_t { 0 }; i < modelCount; ++i)
        sim_.setDemand("m" + std::to_string(i), i < 2 ? 1 : 0);
}

auto FaultRun::check() -> void
{
    const auto now = sim_.committed().configuration().revision;
    if (sim_.committed().appliedIndex() != LogIndex {} && now < revision_
        && sim_.leader() != nullptr)
        CHECK(now >= revision_);
    revision_ = std::max(revision_, now);
    if (sim_.loadsWithoutIntent + sim_.overcommitments > 0) {
        CHECK(sim_.loadsWithoutIntent == 0);
        CHECK(sim_.overcommitments == 0);
    }
}

/// @return the first difference between the engines and the tables, or an empty string
auto FaultRun::mismatch() -> std::string
{
    const auto &tables = sim_.committed();
    for (const auto &control : sim_.controls) {
        const auto &other = control->control->node().tables();
        if (other.appliedIndex() == tables.appliedIndex()
            && other.snapshot(true) != tables.snapshot(true))
            return "tables differ at equal index";
    }
    for (const auto &[key, row] : tables.replicas()) {
        for (auto &engine : sim_.engines) {
            if (engine.spec.id == row.endpoint && row.state == state::ReplicaState::Ready
                && !engine.models.contains(row.model))
                return "not loaded: " + row.model.value();
        }
        if (row.inDoubt)
            return "in doubt: " + row.model.value();
    }
    for (auto &engine : sim_.engines) {
        for (const auto &[model, state] : engine.models) {
            if (!tables.replicas().contains({ model, engine.spec.id }))
                return "not listed: " + model.value();
        }
    }
    return {};
}

auto runSeeds(std::uint64_t first, std::uint64_t last, bool checksFence) -> void
{
    auto faults = 0;
    for (auto seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        auto options = SimulationOptions {};
        options.engines = 3;
        options.checksFence = checksFence;
        options.maxTransit = milliseconds { 1500 };
        options.snapshotEvery = 200;
        auto run = FaultRun { seed, options };
        run.run(40);
        CHECK(run.mismatch() == "");
        CHECK(run.simulation().leader() != nullptr);
        faults += run.faults();
    }
    CHECK(faults > 0);
}

/// Number of seeds. Set FIGRACK_SEEDS, for example to 200, for more seeds than an ordinary test
/// run has time for.
auto seedCount(std::uint64_t usual) -> std::uint64_t
{
    const auto *wanted = std::getenv("FIGRACK_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : usual;
}

TEST_CASE("all kinds of faults, with engines that ignore fences")
{
    runSeeds(1, seedCount(15), false);
}

TEST_CASE("all kinds of faults, with engines that check fences")
{
    runSeeds(1001, 1000 + seedCount(15), true);
}

} // namespace
} // namespace figrack::control
