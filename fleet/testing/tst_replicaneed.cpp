#include <doctest/doctest.h>

#include "fleet/placement.h"
#include "fleet/replicaneed.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

using std::chrono::milliseconds;

/// A prompt of 5,600 tokens is read in 200 ms at the usual speed.
auto loadOf(double requestsPerSecond, Duration startTarget) -> ReadLoad
{
    return { requestsPerSecond, requestsPerSecond * 5600, startTarget };
}

auto replicas(double requestsPerSecond, Duration startTarget) -> std::uint32_t
{
    return replicasForReading(loadOf(requestsPerSecond, startTarget), {});
}

/// One model with one replica that reads more than it can, and idle endpoints with copies of it
/// that hold rarely used models.
auto makeInput(const catalogue::EngineSpec &engine, std::uint32_t readReplicas) -> PlacementInput
{
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts.push_back({ EndpointId { "e0" }, { { ModelId { "busy" }, {} } }, {}, {}, 0, 2 });
    for (auto i = 1; i <= 5; ++i) {
        const auto rare = ModelId { "rare" + std::to_string(i) };
        input.hosts.push_back({ EndpointId { "e" + std::to_string(i) },
                                { { rare, {} } },
                                {},
                                { ModelId { "busy" } },
                                0,
                                0 });
        input.models[rare].perSecond = 0.2;
    }
    auto &busy = input.models[ModelId { "busy" }];
    busy.perSecond = 9;
    busy.running = 2;
    busy.readReplicas = readReplicas;
    return input;
}

auto makeEngine() -> catalogue::EngineSpec
{
    auto engine = catalogue::EngineSpec {};
    engine.slots = 64;
    engine.weightsMb = 100;
    engine.maxAdapters = 8;
    for (const auto *name : { "busy", "rare1", "rare2", "rare3", "rare4", "rare5" }) {
        auto model = catalogue::ModelSpec {};
        model.id = ModelId { name };
        model.weightsMb = 70;
        model.loadFromStore = std::chrono::seconds { 10 };
        model.loadFromMemory = milliseconds { 600 };
        model.loadFromDisk = milliseconds { 800 };
        engine.models.push_back(model);
    }
    return engine;
}

} // namespace

TEST_CASE(
        "A model that is read more than one replica can bear gets as many as keep prompts on time")
{
    // Nine prompts of 200 ms keep 1.8 replicas busy; at a target of 600 ms each may be half busy.
    CHECK(replicas(9, milliseconds { 600 }) == 4);
    // A longer target tolerates longer waits, up to the bound on a replica's utilization.
    CHECK(replicas(9, milliseconds { 1000 }) == 3);
    CHECK(replicas(9, milliseconds { 5000 }) == 3);
}

TEST_CASE("A model that one replica serves in time gets no other")
{
    CHECK(replicas(1, milliseconds { 600 }) == 1);
    CHECK(replicas(0, milliseconds { 600 }) == 0);
}

TEST_CASE("The replicas of a model whose reading alone exceeds the target stay bounded")
{
    CHECK(replicas(2, milliseconds { 100 }) == 2);
    CHECK(replicas(1000, milliseconds { 100 }) == ReplicaNeedOptions {}.maxReplicas);
}

TEST_CASE("Replicas for reading replace rarely used models, though few requests are in progress")
{
    const auto engine = makeEngine();
    const auto placement = plan(makeInput(engine, 4));
    REQUIRE(placement.plans.size() == 3);
    for (const auto &next : placement.plans) {
        CHECK(next.steps.back() == PlanStep { StepKind::Load, ModelId { "busy" }, {} });
        CHECK(next.source == LoadSource::Disk);
    }
}

TEST_CASE("Without a need for reading, requests in progress alone decide on replicas as before")
{
    const auto engine = makeEngine();
    CHECK(plan(makeInput(engine, 0)).plans.empty());
}

TEST_CASE("A replica that is needed for reading is not evicted for another model's first replica")
{
    const auto engine = makeEngine();
    auto input = makeInput(engine, 2);
    input.hosts.resize(2);
    input.hosts[1].models = { { ModelId { "busy" }, {} } };
    input.hosts.push_back({ EndpointId { "e9" }, { { ModelId { "rare2" }, {} } }, {}, {}, 0, 0 });
    for (auto &host : input.hosts)
        host.onDisk = { ModelId { "rare1" } };
    input.models[ModelId { "rare1" }].waiting = 1;
    const auto placement = plan(input);
    REQUIRE(placement.plans.size() == 1);
    CHECK(placement.plans.front().endpoint == EndpointId { "e9" });
}
