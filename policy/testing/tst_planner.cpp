// Tests the planner's decisions on small tables, one guarantee per case.

#include <algorithm>

#include <doctest/doctest.h>

#include "policy/planner.h"

using namespace figrack;
using namespace figrack::policy;

namespace {

const auto urgent = ClassId { "urgent" };
const auto patient = ClassId { "patient" };

auto model(const char *id, std::uint64_t memoryMb, const char *base = "") -> ModelInfo
{
    return { ModelId { id }, "1", ModelId { base }, memoryMb, 4 };
}

auto endpoint(const char *id, const char *domain, std::uint64_t memoryMb) -> EndpointInfo
{
    return { EndpointId { id }, DomainId { domain }, memoryMb, 0, 1, true, false };
}

auto replica(const char *modelId, const char *endpointId, ReplicaPhase phase) -> ReplicaInfo
{
    return { ModelId { modelId }, EndpointId { endpointId }, phase, 0, 0, 0, 0 };
}

auto demand(const char *id, std::uint32_t queued, Millis startBy) -> DemandInfo
{
    return { ModelId { id }, urgent, queued, 0, startBy };
}

auto countOf(const std::vector<Decision> &decisions, DecisionKind kind, const char *id) -> long
{
    return std::count_if(decisions.begin(), decisions.end(), [&](const Decision &d) {
        return d.kind == kind && d.model == ModelId { id };
    });
}

/// A planner with two classes and three endpoints of 100 MiB in three domains.
auto threeEndpoints() -> Planner
{
    auto planner = Planner { {} };
    planner.setClass({ urgent, 2000, 30000, 0.95 });
    planner.setClass({ patient, 60000, 600000, 0.95 });
    planner.setEndpoint(endpoint("e1", "a", 100));
    planner.setEndpoint(endpoint("e2", "b", 100));
    planner.setEndpoint(endpoint("e3", "c", 100));
    return planner;
}

} // namespace

TEST_CASE("a burst gives one demand and one decision")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setDemand(demand("m", 4, 2000));
    const auto decisions = planner.plan(0);
    CHECK(countOf(decisions, DecisionKind::Load, "m") == 1);
    CHECK(decisions.size() == 1);
    auto loading = replica("m", decisions[0].endpoint.value().c_str(), ReplicaPhase::Loading);
    loading.readyAt = decisions[0].expectedReady;
    planner.setReplica(loading);
    CHECK(planner.plan(100).empty());
}

TEST_CASE("a queue that one replica cannot start in time gets more replicas, in other domains")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setDemand(demand("m", 12, 1400));
    const auto decisions = planner.plan(0);
    REQUIRE(countOf(decisions, DecisionKind::Load, "m") == 3);
    CHECK(decisions[0].endpoint != decisions[1].endpoint);
    CHECK(decisions[1].endpoint != decisions[2].endpoint);
}

TEST_CASE("a refused arrival for an unloaded model still demands one load")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.onArrivals(ModelId { "m" }, urgent, 3, 0);
    CHECK(countOf(planner.plan(0), DecisionKind::Load, "m") == 1);
}

TEST_CASE("the cached checkpoint decides between endpoints with room")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setCached(EndpointId { "e2" }, ModelId { "m" }, Tier::Disk);
    planner.setCached(EndpointId { "e3" }, ModelId { "m" }, Tier::Memory);
    planner.setDemand(demand("m", 1, 2000));
    const auto decisions = planner.plan(0);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].endpoint == EndpointId { "e3" });
    CHECK(decisions[0].from == Tier::Memory);
}

TEST_CASE("memory that is held, in doubt or being freed is never allocated twice")
{
    auto planner = Planner { {} };
    auto only = endpoint("e", "a", 100);
    only.heldMb = 60;
    planner.setEndpoint(only);
    planner.setModel(model("m", 50));
    planner.setDemand(demand("m", 1, 2000));
    CHECK(planner.plan(0).empty());
    only.heldMb = 50;
    planner.setEndpoint(only);
    CHECK(planner.plan(100).size() == 1);
    planner.setModel(model("other", 70));
    planner.setReplica(replica("other", "e", ReplicaPhase::InDoubt));
    planner.setDemand(demand("m", 1, 2000));
    CHECK(planner.plan(200).empty());
    planner.setReplica(replica("other", "e", ReplicaPhase::Unloading));
    CHECK(planner.plan(300).empty());
    planner.removeReplica(ModelId { "other" }, EndpointId { "e" });
    CHECK(planner.plan(400).size() == 1);
}

TEST_CASE("an idle replica is evicted for a demand, once")
{
    auto planner = Planner { {} };
    planner.setEndpoint(endpoint("e", "a", 100));
    planner.setModel(model("old", 60));
    planner.setModel(model("new", 60));
    planner.onArrivals(ModelId { "old" }, urgent, 1, 0);
    planner.setReplica(replica("old", "e", ReplicaPhase::Ready));
    CHECK(planner.plan(0).empty());
    planner.setDemand(demand("new", 1, 2000));
    const auto first = planner.plan(100);
    CHECK(countOf(first, DecisionKind::Unload, "old") == 1);
    CHECK(countOf(first, DecisionKind::Load, "new") == 0);
    planner.setReplica(replica("old", "e", ReplicaPhase::Unloading));
    CHECK(planner.plan(200).empty());
    planner.removeReplica(ModelId { "old" }, EndpointId { "e" });
    CHECK(countOf(planner.plan(300), DecisionKind::Load, "new") == 1);
}

TEST_CASE("a busy replica is never evicted")
{
    auto planner = Planner { {} };
    planner.setEndpoint(endpoint("e", "a", 100));
    planner.setModel(model("old", 60));
    planner.setModel(model("new", 60));
    auto busy = replica("old", "e", ReplicaPhase::Ready);
    busy.running = 1;
    planner.setReplica(busy);
    planner.setDemand(demand("new", 1, 2000));
    CHECK(planner.plan(0).empty());
}

TEST_CASE("the store's concurrency bounds loads, most urgent first")
{
    auto planner = Planner { { .storeConcurrency = 2 } };
    planner.setEndpoint(endpoint("e", "a", 1000));
    for (const auto *id : { "m1", "m2", "m3", "m4" })
        planner.setModel(model(id, 50));
    planner.setDemand(demand("m1", 1, 9000));
    planner.setDemand(demand("m2", 1, 8000));
    planner.setDemand(demand("m3", 1, 7000));
    planner.setDemand(demand("m4", 1, 100)); // Already late: placed after those still in time.
    const auto decisions = planner.plan(0);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].model == ModelId { "m3" });
    CHECK(decisions[1].model == ModelId { "m2" });
}

TEST_CASE("an adapter waits for its base and is loaded on the same endpoint")
{
    auto planner = threeEndpoints();
    planner.setModel(model("base", 60));
    planner.setModel(model("adapter", 5, "base"));
    planner.setDemand(demand("adapter", 1, 2000));
    const auto first = planner.plan(0);
    REQUIRE(first.size() == 1);
    CHECK(first[0].model == ModelId { "base" });
    const auto where = first[0].endpoint;
    planner.setReplica(replica("base", where.value().c_str(), ReplicaPhase::Loading));
    CHECK(planner.plan(100).empty());
    planner.setReplica(replica("base", where.value().c_str(), ReplicaPhase::Ready));
    const auto second = planner.plan(200);
    REQUIRE(second.size() == 1);
    CHECK(second[0].model == ModelId { "adapter" });
    CHECK(second[0].endpoint == where);
    planner.setReplica(replica("adapter", where.value().c_str(), ReplicaPhase::Ready));
    planner.setDemand({ ModelId { "adapter" }, urgent, 0, 0, 0 });
    // The base is unloaded only after its adapter.
    const auto later = planner.plan(100000000);
    CHECK(countOf(later, DecisionKind::Unload, "adapter") == 1);
    CHECK(countOf(later, DecisionKind::Unload, "base") == 0);
    planner.removeReplica(ModelId { "adapter" }, where);
    CHECK(countOf(planner.plan(100001000), DecisionKind::Unload, "base") == 1);
}

TEST_CASE("an adapter whose base was never set is treated as a base model")
{
    auto planner = threeEndpoints();
    planner.setModel(model("adapter", 5, "unknown"));
    planner.setDemand(demand("adapter", 1, 2000));
    CHECK(countOf(planner.plan(0), DecisionKind::Load, "adapter") == 1);
}

TEST_CASE("a drained or suspected endpoint's model is loaded elsewhere when it is needed")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setReplica(replica("m", "e1", ReplicaPhase::Ready));
    planner.setDemand(demand("m", 1, 2000));
    CHECK(planner.plan(0).empty());
    auto suspected = endpoint("e1", "a", 100);
    suspected.usable = false;
    planner.setEndpoint(suspected);
    const auto decisions = planner.plan(100);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == DecisionKind::Load);
    CHECK(decisions[0].endpoint != EndpointId { "e1" });
    suspected.draining = true;
    planner.setEndpoint(suspected);
    CHECK(countOf(planner.plan(200), DecisionKind::Unload, "m") == 1);
}

TEST_CASE("the model of a class with a late target is unloaded while that of an urgent class stays "
          "warm")
{
    auto planner = threeEndpoints();
    planner.setModel(model("quick", 50));
    planner.setModel(model("slow", 50));
    // Both are used every 60 s; a load takes longer than the urgent start target.
    planner.onLoadDone(ModelId { "quick" }, Tier::Remote, 6000, 0);
    auto now = Millis { 0 };
    for (auto i = 0; i < 40; ++i, now += 60000) {
        planner.onArrivals(ModelId { "quick" }, urgent, 1, now);
        planner.onArrivals(ModelId { "slow" }, patient, 1, now);
    }
    auto quick = replica("quick", "e1", ReplicaPhase::Ready);
    auto slow = replica("slow", "e2", ReplicaPhase::Ready);
    quick.idleSince = slow.idleSince = now - 60000;
    planner.setReplica(quick);
    planner.setReplica(slow);
    const auto decisions = planner.plan(now - 30000);
    CHECK(countOf(decisions, DecisionKind::Unload, "quick") == 0);
    CHECK(countOf(decisions, DecisionKind::Unload, "slow") == 1);
}

TEST_CASE("a replica reported idle is not unloaded while requests for its model wait or run")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setReplica(replica("m", "e1", ReplicaPhase::Ready));
    for (const auto &[queued, running] : { std::pair { 1U, 0U }, std::pair { 0U, 1U } }) {
        auto wanted = demand("m", queued, 20000);
        wanted.classId = patient;
        wanted.running = running;
        planner.setDemand(wanted);
        for (auto now = Millis { 0 }; now < 3000; now += 100)
            CHECK(countOf(planner.plan(now), DecisionKind::Unload, "m") == 0);
    }
    planner.setDemand(DemandInfo { ModelId { "m" }, patient, 0, 0, 0 });
    auto unloads = 0L;
    for (auto now = Millis { 3000 }; now < 120000; now += 1000)
        unloads += countOf(planner.plan(now), DecisionKind::Unload, "m");
    CHECK(unloads == 1);
}

TEST_CASE("a removed model is unloaded and not loaded again")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    planner.setReplica(replica("m", "e1", ReplicaPhase::Ready));
    planner.plan(0);
    planner.removeModel(ModelId { "m" });
    CHECK(countOf(planner.plan(100), DecisionKind::Unload, "m") == 1);
    planner.removeReplica(ModelId { "m" }, EndpointId { "e1" });
    planner.onArrivals(ModelId { "m" }, urgent, 1, 200);
    CHECK(planner.plan(300).empty());
}

TEST_CASE("a slow store affects the next prediction, and the effect decays")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    for (auto i = 0; i < 20; ++i)
        planner.onLoadDone(ModelId { "m" }, Tier::Remote, 2000, i * 1000);
    const auto usual = planner.predictedLoad(ModelId { "m" }, Tier::Remote, 20000);
    CHECK(usual == doctest::Approx(2000).epsilon(0.05));
    for (auto i = 0; i < 4; ++i)
        planner.onLoadDone(ModelId { "m" }, Tier::Remote, 20000, 20000 + i * 1000);
    CHECK(planner.predictedLoad(ModelId { "m" }, Tier::Remote, 24000) > 6 * usual);
    CHECK(planner.predictedLoad(ModelId { "m" }, Tier::Remote, 3600000) < 2 * usual);
}

TEST_CASE("one overdue load gives its actual slowness, however often it is reported")
{
    auto planner = threeEndpoints();
    planner.setModel(model("m", 50));
    for (auto i = 0; i < 20; ++i)
        planner.onLoadDone(ModelId { "m" }, Tier::Remote, 2000, 0);
    planner.plan(0);
    auto loading = replica("m", "e1", ReplicaPhase::Loading);
    loading.readyAt = 2000;
    planner.setReplica(loading);
    for (auto now = Millis { 100 }; now <= 6000; now += 100)
        planner.plan(now);
    const auto predicted = planner.predictedLoad(ModelId { "m" }, Tier::Remote, 6000);
    CHECK(predicted > 5500);
    CHECK(predicted < 6500);
}

TEST_CASE("load times of small adapters do not inflate predictions for large bases")
{
    auto planner = threeEndpoints();
    planner.setModel(model("adapter", 1000));
    planner.setModel(model("base", 40000));
    for (auto i = 0; i < 50; ++i)
        planner.onLoadDone(ModelId { "adapter" }, Tier::Memory, 150, i);
    CHECK(planner.predictedLoad(ModelId { "base" }, Tier::Memory, 100) > 4000);
    planner.onLoadDone(ModelId { "base" }, Tier::Memory, 500, 100);
    const auto base = planner.predictedLoad(ModelId { "base" }, Tier::Memory, 100);
    CHECK(base == doctest::Approx(500).epsilon(0.05));
    const auto adapter = planner.predictedLoad(ModelId { "adapter" }, Tier::Memory, 100);
    CHECK(adapter == doctest::Approx(150).epsilon(0.05));
}
