// Tests the placement of models and adapters with hand-made inputs.

#include <doctest/doctest.h>

#include "core/random.h"
#include "fleet/placement.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

auto makeEngine() -> catalogue::EngineSpec
{
    auto engine = catalogue::EngineSpec {};
    engine.weightsMb = 83;
    engine.maxAdapters = 2;
    engine.storeLoadsPerSecond = 3;
    for (auto i = 0; i < 8; ++i) {
        auto model = catalogue::ModelSpec {};
        model.id = ModelId { "m" + std::to_string(i) };
        model.weightsMb = i < 5 ? 34 : 16;
        model.adapterMb = 0.04;
        model.loadFromStore = 6s;
        model.loadFromDisk = 500ms;
        model.loadFromMemory = 400ms;
        engine.models.push_back(model);
    }
    return engine;
}

auto makeHost(const std::string &id, const std::vector<std::string> &models) -> Host
{
    auto host = Host {};
    host.id = EndpointId { id };
    for (const auto &model : models)
        host.models.push_back({ ModelId { model }, {} });
    return host;
}

/// @return true when every plan fits its host at each step
auto allFit(const PlacementInput &input, const std::vector<Plan> &plans) -> bool
{
    for (const auto &plan : plans) {
        auto used = 0.0;
        const auto host = std::find_if(input.hosts.begin(), input.hosts.end(),
                                       [&](const Host &one) { return one.id == plan.endpoint; });
        for (const auto &held : host->models)
            used += input.engine.find(held.model)->weightsMb;
        for (const auto &step : plan.steps) {
            if (!step.adapter.empty())
                continue;
            const auto weight = input.engine.find(step.model)->weightsMb;
            used += step.kind == StepKind::Load ? weight : -weight;
            if (used > input.engine.weightsMb)
                return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("Where only some endpoints are given, replicas and adapters held elsewhere count too")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }) };
    input.models[ModelId { "m1" }].waiting = 1;
    input.adapters[{ ModelId { "m0" }, "a1" }].waiting = 1;
    CHECK(plan(input).plans.size() == 1);
    input.holders = std::map<ModelId, std::uint32_t> { { ModelId { "m1" }, 1 } };
    input.heldAdapters = { { ModelId { "m0" }, "a1" } };
    CHECK(plan(input).plans.empty());
    input.holders = std::map<ModelId, std::uint32_t> { { ModelId { "m0" }, 1 } };
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].steps.back().model == ModelId { "m1" });
}

TEST_CASE("A wanted model goes to an endpoint with a copy, not to the store")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", { "m1", "m2" }) };
    input.hosts[1].onDisk = { ModelId { "m3" } };
    input.models[ModelId { "m3" }].waiting = 1;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].endpoint == EndpointId { "e2" });
    CHECK(plans[0].source == LoadSource::Disk);
    REQUIRE(plans[0].steps.size() == 2);
    CHECK(plans[0].steps[0].kind == StepKind::Unload);
    CHECK(plans[0].steps[1] == PlanStep { StepKind::Load, ModelId { "m3" }, {} });
}

TEST_CASE("A model whose requests were all refused is loaded although none is waiting")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }) };
    input.models[ModelId { "m3" }].refused = 1;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].steps.back() == PlanStep { StepKind::Load, ModelId { "m3" }, {} });
    input.hosts[0].models.push_back({ ModelId { "m3" }, {} });
    CHECK(plan(input).plans.empty());
}

TEST_CASE("The model with the least demand is evicted")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0", "m1" }) };
    input.hosts[0].inMemory = { ModelId { "m2" } };
    input.models[ModelId { "m0" }].perSecond = 3;
    input.models[ModelId { "m2" }].waiting = 2;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m1" }, {} });
}

TEST_CASE("No load from the store is planned beyond the allowed number")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
    input.hosts = { makeHost("e1", {}), makeHost("e2", {}), makeHost("e3", {}) };
    for (const auto *model : { "m0", "m1", "m2" })
        input.models[ModelId { model }].waiting = 1;
    CHECK(plan(input).plans.size() == 1);
    input.storeLoads = 0;
    CHECK(plan(input).plans.empty());
}

// Guards against a busy model that never gets another replica. A model got 100 requests a second
// after demand had moved to it. Its five endpoints, all that had a copy, could serve half of them,
// and the others were refused for the rest of the run. About twenty models without any copy, each
// requested once in four seconds, took every load from the store in turn, since a part of the store
// is reserved for such models and another replica came after them.
TEST_CASE("A model that misses more requests than other models have unserved gets the next load")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 1 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", { "m0" }), makeHost("e3", {}) };
    auto &overloaded = input.models[ModelId { "m0" }];
    overloaded = { .perSecond = 100, .running = 40, .refused = 150 };
    for (const auto *rare : { "m1", "m2", "m3" })
        input.models[ModelId { rare }] = { .perSecond = 0.25, .waiting = 1, .refused = 1 };

    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].endpoint == EndpointId { "e3" });
    CHECK(plans[0].source == LoadSource::Store);
    CHECK(plans[0].steps.back() == PlanStep { StepKind::Load, ModelId { "m0" }, {} });

    // While that load is in progress, the next one is for a model without a replica.
    input.loading[ModelId { "m0" }] = 1;
    const auto next = plan(input).plans;
    REQUIRE(next.size() == 1);
    CHECK(next[0].steps.back().model != ModelId { "m0" });

    // A model without a replica also comes first when the overloaded one misses few requests.
    input.loading.clear();
    overloaded.refused = 8;
    const auto others = plan(input).plans;
    REQUIRE(others.size() == 1);
    CHECK(others[0].steps.back().model != ModelId { "m0" });
}

// Guards against adapters on busy endpoints: requests with an adapter were late half again as often
// as those without. Most adapters are held by one endpoint, which was chosen by its number of
// adapters alone, however busy it was.
TEST_CASE("An adapter goes to the least busy endpoint of its model that has a free place")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", { "m0" }), makeHost("e3", { "m0" }) };
    input.hosts[0].running = 30;
    input.hosts[1].running = 4;
    input.hosts[1].models[0].adapters = { "a1" };
    input.hosts[2].running = 2;
    input.hosts[2].models[0].adapters = { "a2", "a3" }; // All of its adapter places.
    input.adapters[{ ModelId { "m0" }, "a9" }].waiting = 1;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].endpoint == EndpointId { "e2" });
}

TEST_CASE("An adapter is loaded once, and replaces the one with the least demand if none is free")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
    input.hosts = { makeHost("e1", { "m0" }) };
    input.hosts[0].models[0].adapters = { "a1", "a2" };
    input.adapters[{ ModelId { "m0" }, "a2" }].perSecond = 2;
    input.adapters[{ ModelId { "m0" }, "a3" }].waiting = 1;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m0" }, "a1" });
    CHECK(plans[0].steps[1] == PlanStep { StepKind::Load, ModelId { "m0" }, "a3" });
    input.hosts.push_back(makeHost("e2", { "m0" }));
    input.hosts[1].models[0].adapters = { "a3" };
    CHECK(plan(input).plans.empty());
}

TEST_CASE("An adapter with requests is evicted only when all others have requests, too")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", { "m0" }) };
    input.hosts[0].models[0].adapters = { "a1", "a2" };
    input.hosts[1].models[0].adapters = { "a4", "a5" };
    for (const auto *name : { "a1", "a2", "a5" })
        input.adapters[{ ModelId { "m0" }, name }].running = 1;
    input.adapters[{ ModelId { "m0" }, "a4" }].perSecond = 9;
    input.adapters[{ ModelId { "m0" }, "a3" }].waiting = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m0" }, "a4" });
    input.adapters[{ ModelId { "m0" }, "a4" }].running = 3;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] != PlanStep { StepKind::Unload, ModelId { "m0" }, "a4" });
}

TEST_CASE("An adapter that was just loaded is not evicted")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }) };
    input.hosts[0].models[0].adapters = { "a1", "a2" };
    input.adapters[{ ModelId { "m0" }, "a2" }].perSecond = 5;
    input.adapters[{ ModelId { "m0" }, "a3" }].waiting = 1;
    input.freshAdapters = { { ModelId { "m0" }, "a1" } };
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m0" }, "a2" });
    input.freshAdapters.insert({ ModelId { "m0" }, "a2" });
    CHECK(plan(input).plans.empty());
}

TEST_CASE("A model whose adapters have more requests than places gets another replica")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.hosts[0].models[0].adapters = { "a1", "a2" };
    input.hosts[0].busySeconds = 1;
    input.hosts[1].onDisk = { ModelId { "m0" } };
    input.models[ModelId { "m0" }].running = 2;
    input.adapters[{ ModelId { "m0" }, "a1" }].running = 1;
    input.adapters[{ ModelId { "m0" }, "a2" }].running = 1;
    CHECK(plan(input).plans.empty());
    input.adapters[{ ModelId { "m0" }, "a3" }].waiting = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Load, ModelId { "m0" }, {} });
}

TEST_CASE("A model waits for a busy endpoint with a copy when the store takes longer")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.hosts[0].onDisk = { ModelId { "m1" } };
    input.models[ModelId { "m1" }].waiting = 1;
    input.hosts[0].busySeconds = 1;
    CHECK(plan(input).plans.empty());
    input.hosts[0].busySeconds = 20; // As after several failures there.
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].endpoint == EndpointId { "e2" });
}

TEST_CASE("An overloaded model gets all the replicas that it needs at once")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 4, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}), makeHost("e3", {}),
                    makeHost("e4", {}) };
    input.models[ModelId { "m0" }].running = 100; // Enough for many endpoints.
    CHECK(plan(input).plans.size() == 3);
    input.loading[ModelId { "m0" }] = 8;
    CHECK(plan(input).plans.size() == 1);
}

TEST_CASE("Another replica goes where it blocks no model from its only copy")
{
    auto engine = makeEngine();
    engine.weightsMb = 58;
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", { "m1" }), makeHost("e3", { "m5" }) };
    input.hosts[1].onDisk = { ModelId { "m1" }, ModelId { "m2" }, ModelId { "m3" } };
    input.hosts[2].onDisk = { ModelId { "m5" } };
    input.models[ModelId { "m0" }].running = 20;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].endpoint == EndpointId { "e3" });
}

TEST_CASE("Of two models, the one that misses more requests is loaded first")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
    input.hosts = { makeHost("e1", {}) };
    input.models[ModelId { "m1" }].waiting = 1;
    input.models[ModelId { "m2" }].refused = 40;
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].steps.back().model == ModelId { "m2" });
}

TEST_CASE("A model whose replicas serve many requests late gets another, at any load")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.hosts[1].onDisk = { ModelId { "m0" } };
    auto &asked = input.models[ModelId { "m0" }];
    asked.perSecond = 8;
    asked.running = 3;
    CHECK(plan(input).plans.empty());
    asked.late = 6;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].endpoint == EndpointId { "e2" });
    asked.late = 2; // Of 24 requests.
    CHECK(plan(input).plans.empty());
}

TEST_CASE("A model whose only endpoint accepts a part of the requests gets another replica")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 3, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    // 3 requests a second, of which the endpoint accepts 1.
    input.models[ModelId { "m0" }] = { .perSecond = 3, .running = 1, .refused = 6 };
    const auto plans = plan(input).plans;
    REQUIRE(plans.size() == 1);
    CHECK(plans[0].endpoint == EndpointId { "e2" });
    CHECK(plans[0].steps.back().model == ModelId { "m0" });
}

TEST_CASE("A model whose demand begins gets its replicas before it has many requests in progress")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.hosts[1].onDisk = { ModelId { "m0" } };
    auto &asked = input.models[ModelId { "m0" }];
    asked.perSecond = 15;
    asked.running = 8;
    CHECK(plan(input).plans.size() == 1);
}

TEST_CASE("Engines with few places get another replica sooner")
{
    auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.hosts[1].onDisk = { ModelId { "m0" } };
    input.models[ModelId { "m0" }].running = 7;
    engine.slots = 48;
    CHECK(plan(input).plans.empty());
    engine.slots = 12;
    CHECK(plan(input).plans.size() == 1);
}

TEST_CASE("Another replica leaves the last load from the store to a model that has none")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 1 };
    input.hosts = { makeHost("e1", { "m0" }), makeHost("e2", {}) };
    input.models[ModelId { "m0" }] = { 30, 0, 30 };
    CHECK(plan(input).plans.empty());
    input.storeLoads = 2;
    CHECK(plan(input).plans.size() == 1);
    input.storeLoads = 1;
    input.models[ModelId { "m1" }].waiting = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps.back().model == ModelId { "m1" });
}

TEST_CASE("A load from the store goes where the endpoint's other copies are not needed meanwhile")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
    input.hosts = { makeHost("e1", {}), makeHost("e2", {}) };
    input.hosts[0].onDisk = { ModelId { "m5" }, ModelId { "m6" }, ModelId { "m7" } };
    for (const auto *name : { "m5", "m6", "m7" })
        input.models[ModelId { name }].perSecond = 0.2;
    input.models[ModelId { "m0" }].waiting = 1;
    REQUIRE_FALSE(plan(input).plans.empty());
    CHECK(plan(input).plans[0].endpoint == EndpointId { "e2" });
}

TEST_CASE("A model without requests is evicted rather than one whose unload would have to wait")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0", "m1" }), makeHost("e2", { "m2", "m3" }) };
    for (auto &host : input.hosts)
        host.onDisk = { ModelId { "m4" } };
    for (const auto *name : { "m0", "m1", "m2", "m3" })
        input.models[ModelId { name }].perSecond = 0.5;
    input.models[ModelId { "m0" }].running = 1;
    input.models[ModelId { "m1" }].running = 1;
    input.models[ModelId { "m2" }].running = 1;
    input.models[ModelId { "m4" }].waiting = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m3" }, {} });
}

TEST_CASE("The only replica of a model is not evicted while refused callers may retry")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0", "m1" }) };
    input.hosts[0].onDisk = { ModelId { "m2" } };
    input.models[ModelId { "m0" }] = { 0.1, 0, 0, 6 }; // Just loaded: it has no requests yet.
    input.models[ModelId { "m1" }].perSecond = 0.5;
    input.models[ModelId { "m2" }].waiting = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m1" }, {} });
    // With another replica it may be evicted.
    input.hosts.push_back(makeHost("e2", { "m0" }));
    CHECK(plan(input).plans[0].steps[0] == PlanStep { StepKind::Unload, ModelId { "m0" }, {} });
}

TEST_CASE("A model with many refused requests does not wait for one slow unload")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0", "m1" }), makeHost("e2", { "m1", "m2" }) };
    for (auto &host : input.hosts)
        host.onDisk = { ModelId { "m3" } };
    input.hosts[0].busySeconds = 3;
    input.loading[ModelId { "m3" }] = 1; // At endpoint e1.
    input.models[ModelId { "m3" }].refused = 20;
    CHECK(plan(input).plans.empty());
    input.stalled[ModelId { "m3" }] = 1;
    REQUIRE(plan(input).plans.size() == 1);
    CHECK(plan(input).plans[0].endpoint == EndpointId { "e2" });
    input.models[ModelId { "m3" }].refused = 2; // Too few for a second swap.
    CHECK(plan(input).plans.empty());
}

TEST_CASE("A model that is not loaded now is listed with what it waits for")
{
    const auto engine = makeEngine();
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    input.hosts = { makeHost("e1", { "m0" }) };
    input.hosts[0].onDisk = { ModelId { "m3" } };
    input.hosts[0].busySeconds = 0.7;
    input.models[ModelId { "m3" }].waiting = 2;
    input.models[ModelId { "m4" }].refused = 1;
    const auto deferred = plan(input).deferred;
    REQUIRE(deferred.size() == 2);
    CHECK(deferred[0].model == ModelId { "m3" });
    CHECK(deferred[0].reason == DeferReason::Busy);
    CHECK(deferred[0].endpoint == EndpointId { "e1" });
    CHECK(deferred[0].seconds == doctest::Approx(0.7));
    CHECK(deferred[1].reason == DeferReason::NoRoom);
}

TEST_CASE("Random fleets: plans fit, at most one per host, none for a host that takes no orders")
{
    const auto engine = makeEngine();
    auto random = Random { 7 };
    auto planned = std::size_t { 0 };
    for (auto round = 0; round < 2000; ++round) {
        auto input = PlacementInput { engine, {}, {},
                                      {},     {}, {},
                                      {},     {}, static_cast<std::uint32_t>(random.below(3)) };
        for (auto i = 0; i < 4; ++i) {
            auto host = makeHost("e" + std::to_string(i), {});
            auto used = 0.0;
            for (const auto &model : engine.models) {
                if (random.chance(0.3) && used + model.weightsMb <= engine.weightsMb) {
                    host.models.push_back({ model.id, {} });
                    used += model.weightsMb;
                }
                if (random.chance(0.3))
                    host.onDisk.push_back(model.id);
            }
            host.busySeconds = random.chance(0.8) ? 0 : 1;
            input.hosts.push_back(host);
        }
        for (const auto &model : engine.models) {
            input.models[model.id].waiting = static_cast<std::uint32_t>(random.below(3));
            input.models[model.id].running = static_cast<std::uint32_t>(random.below(40));
            input.models[model.id].perSecond = random.unit();
        }
        const auto plans = plan(input).plans;
        planned += plans.size();
        CHECK(allFit(input, plans));
        auto seen = std::set<EndpointId> {};
        for (const auto &one : plans) {
            CHECK(seen.insert(one.endpoint).second);
            const auto takes = [&](const Host &host) {
                return host.id == one.endpoint && host.takesOrders();
            };
            CHECK(std::any_of(input.hosts.begin(), input.hosts.end(), takes));
        }
    }
    CHECK(planned > 1000);
}
