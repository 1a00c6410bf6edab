// Tests the order of loads by the latest start of the requests that wait for them.

#include <doctest/doctest.h>

#include <algorithm>

#include "fleet/demandrelay.h"
#include "fleet/demandtable.h"
#include "fleet/loadorder.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

const auto service = ServiceId { "s" };

auto modelNumber(int number) -> ModelId
{
    return ModelId { "m" + std::to_string(number) };
}

/// An engine that holds one model at a time.
auto makeEngine() -> catalogue::EngineSpec
{
    auto engine = catalogue::EngineSpec {};
    engine.weightsMb = 100;
    for (auto i = 0; i < 6; ++i) {
        auto model = catalogue::ModelSpec {};
        model.id = modelNumber(i);
        model.weightsMb = 100;
        model.loadFromStore = 2s;
        model.loadFromDisk = 500ms;
        model.loadFromMemory = 500ms;
        engine.models.push_back(model);
    }
    return engine;
}

auto makeHost(const std::string &id, std::vector<ModelId> copies) -> Host
{
    auto host = Host {};
    host.id = EndpointId { id };
    host.onDisk = std::move(copies);
    return host;
}

auto makeInput(const catalogue::EngineSpec &engine) -> PlacementInput
{
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
    input.ordersByStart = true;
    return input;
}

auto want(PlacementInput &input, int model, std::uint32_t waiting, double startWithin) -> void
{
    auto &demand = input.models[modelNumber(model)];
    demand.waiting = waiting;
    demand.startWithin = startWithin;
}

auto loadedFirst(const PlacementInput &input) -> ModelId
{
    const auto plans = plan(input).plans;
    return plans.empty() ? ModelId {} : plans[0].steps.back().model;
}

auto makeReport(std::uint32_t waiting, std::uint32_t running, std::optional<std::uint64_t> withinMs)
        -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    report.rows = { { service, modelNumber(1), {}, 1, waiting, running, 0, 0, withinMs } };
    return report;
}

} // namespace

// Guards against a model with one urgent request that waits behind models with many requests which
// have several seconds left.
TEST_CASE("Models whose requests can start on time are loaded by latest start, then late ones by "
          "their number")
{
    const auto engine = makeEngine();
    auto input = makeInput(engine);
    input.hosts = { makeHost("e1", { modelNumber(0), modelNumber(1), modelNumber(2) }) };
    want(input, 0, 9, 4.0);
    want(input, 1, 1, 1.0);
    want(input, 2, 20, 0.0);
    CHECK(loadedFirst(input) == modelNumber(1));
    input.models.erase(modelNumber(1));
    CHECK(loadedFirst(input) == modelNumber(0));
    input.models.erase(modelNumber(0));
    want(input, 1, 1, 0.1);
    CHECK(loadedFirst(input) == modelNumber(2));
    // Without a deferrable route the number of requests decides, whatever was reported.
    want(input, 1, 1, 1.0);
    CHECK(loadedFirst(input) == modelNumber(1));
    input.ordersByStart = false;
    CHECK(loadedFirst(input) == modelNumber(2));
}

TEST_CASE("A load is put off while its requests can wait and it would evict a model in use")
{
    const auto engine = makeEngine();
    auto input = makeInput(engine);
    input.hosts = { makeHost("e1", { modelNumber(1) }) };
    input.hosts[0].models = { { modelNumber(0), {} } };
    input.hosts[0].running = 2;
    input.models[modelNumber(0)].running = 2;
    want(input, 1, 3, 4.0);
    auto placement = plan(input);
    CHECK(placement.plans.empty());
    REQUIRE(placement.deferred.size() == 1);
    CHECK(placement.deferred[0].reason == DeferReason::PutOff);
    CHECK(placement.deferred[0].seconds == 0.5);
    CHECK(placement.deferred[0].loadSeconds == 0.5);
    CHECK(placement.deferred[0].spareSeconds == doctest::Approx(3.2));
    SUBCASE("it is loaded when another pass would make it late")
    {
        want(input, 1, 3, 1.3);
        CHECK(plan(input).plans.size() == 1);
    }
    SUBCASE("it is loaded at once when the other model is idle")
    {
        input.hosts[0].running = 0;
        input.models[modelNumber(0)].running = 0;
        CHECK(plan(input).plans.size() == 1);
    }
    SUBCASE("it is loaded at once when nothing is known of its requests' starts")
    {
        input.models[modelNumber(1)].startWithin.reset();
        CHECK(plan(input).plans.size() == 1);
    }
    SUBCASE("it is loaded at once where no route is deferrable")
    {
        input.ordersByStart = false;
        CHECK(plan(input).plans.size() == 1);
    }
}

TEST_CASE("A load is put off while it would use the load from the store that a more urgent one "
          "needs")
{
    auto engine = makeEngine();
    engine.models[4].weightsMb = engine.models[5].weightsMb = 50;
    auto input = makeInput(engine);
    // The more urgent model fits only on an endpoint that is busy for a moment.
    input.hosts = { makeHost("e1", {}), makeHost("e2", {}) };
    input.hosts[0].busySeconds = 0.1;
    input.hosts[1].models = { { modelNumber(4), {} } };
    input.models[modelNumber(4)].refused = 1;
    want(input, 1, 1, 2.5);
    want(input, 5, 8, 9.0);
    const auto placement = plan(input);
    CHECK(placement.plans.empty());
    REQUIRE(placement.deferred.size() == 2);
    CHECK(placement.deferred[0].reason == DeferReason::Busy);
    CHECK(placement.deferred[1].reason == DeferReason::PutOff);
    SUBCASE("the store allows both loads")
    {
        input.storeLoads = 2;
        CHECK(loadedFirst(input) == modelNumber(5));
    }
    SUBCASE("the other model is late anyway")
    {
        want(input, 1, 1, 1.0);
        CHECK(loadedFirst(input) == modelNumber(5));
    }
}

TEST_CASE("A model loaded for waiting requests is not evicted before they can be dispatched")
{
    const auto engine = makeEngine();
    auto input = makeInput(engine);
    input.hosts = { makeHost("e1", { modelNumber(1) }) };
    input.hosts[0].models = { { modelNumber(0), {} } };
    want(input, 1, 1, 1.0);
    input.freshModels = { modelNumber(0) };
    CHECK(plan(input).plans.empty());
    input.freshModels.clear();
    CHECK(plan(input).plans.size() == 1);
}

TEST_CASE("A model is fresh for 1,500 ms after its load, or until a later report shows that none "
          "waits")
{
    auto fresh = FreshLoads {};
    const auto loadedAt = Instant { 10s };
    auto models = std::map<ModelId, RequestDemand> {};
    models[modelNumber(1)].waiting = 2;
    CHECK(fresh.onPass(models, { modelNumber(2) }, loadedAt - 1s).empty());
    const auto held = std::set { modelNumber(1), modelNumber(2) };
    CHECK(fresh.onPass(models, held, loadedAt) == std::set { modelNumber(1) });
    SUBCASE("no report")
    {
        CHECK(fresh.onPass({}, held, loadedAt + 1499ms).size() == 1);
        CHECK(fresh.onPass({}, held, loadedAt + 1500ms).empty());
    }
    SUBCASE("a report that was made before the load")
    {
        models[modelNumber(1)].waiting = 0;
        models[modelNumber(1)].servedAt = loadedAt - 1ms;
        CHECK(fresh.onPass(models, held, loadedAt + 100ms).size() == 1);
    }
    SUBCASE("a report that was made after it, while others still wait, and one that none waits")
    {
        models[modelNumber(1)].servedAt = loadedAt + 50ms;
        CHECK(fresh.onPass(models, held, loadedAt + 100ms).size() == 1);
        models[modelNumber(1)].waiting = 0;
        CHECK(fresh.onPass(models, held, loadedAt + 100ms).empty());
    }
    SUBCASE("its endpoint is lost")
    {
        CHECK(fresh.onPass({}, {}, loadedAt + 100ms).empty());
    }
}

TEST_CASE("The shortest start of all gateways counts, and grows shorter with the age of its report")
{
    auto clock = ManualClock {};
    auto table = DemandTable { {}, clock };
    const auto startWithin
            = [&] { return table.of(service).models[modelNumber(1)].startWithin.value_or(-1); };
    table.onReport(NodeId { "g0" }, makeReport(1, 0, std::nullopt));
    CHECK(startWithin() == -1);
    table.onReport(NodeId { "g1" }, makeReport(1, 0, 3000));
    clock.advance(1s);
    table.onReport(NodeId { "g2" }, makeReport(1, 0, 2500));
    CHECK(startWithin() == 2.0);
    // Late requests do not make the others late.
    table.onReport(NodeId { "g3" }, makeReport(1, 0, 0));
    CHECK(startWithin() == 2.0);
    table.onGatewayLost(NodeId { "g1" });
    CHECK(startWithin() == 2.5);
    clock.advance(3s);
    CHECK(startWithin() == 0);
}

TEST_CASE("Requests in progress where none waits show that a load was used")
{
    auto clock = ManualClock {};
    auto table = DemandTable { {}, clock };
    clock.advance(1s);
    const auto servedAt = [&] { return table.of(service).models[modelNumber(1)].servedAt; };
    table.onReport(NodeId { "g1" }, makeReport(1, 1, 3000));
    table.onReport(NodeId { "g2" }, makeReport(0, 0, std::nullopt));
    CHECK(servedAt() == Instant {});
    table.onReport(NodeId { "g2" }, makeReport(0, 1, std::nullopt));
    CHECK(servedAt() == clock.now());
}

TEST_CASE("A relay passes on the shortest start, less the time for which it kept the report")
{
    auto relay = DemandRelay {};
    const auto now = Instant { 10s };
    relay.onReport(NodeId { "g1" }, makeReport(1, 0, 3000), now);
    relay.onReport(NodeId { "g2" }, makeReport(1, 0, 0), now);
    relay.onReport(NodeId { "g3" }, makeReport(2, 0, 2950), now + 200ms);
    auto sum = relay.take(now + 250ms);
    REQUIRE(sum);
    CHECK(sum->rows.at(0).startWithinMs == 2750);
    relay.onGatewayLost(NodeId { "g1" });
    relay.onGatewayLost(NodeId { "g3" });
    sum = relay.take(now + 300ms);
    REQUIRE(sum);
    CHECK(sum->rows.at(0).startWithinMs == 0);
}
