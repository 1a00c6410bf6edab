// Tests that an evacuation holds at every gateway from its acknowledgement to its withdrawal,
// whatever ends in between; in virtual time.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/evacuationworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto controls = std::size_t { 3 };
constexpr auto gateways = std::size_t { 4 };
const auto begin = catalogue::EvacuationChange { DomainId { "d1" }, true };
const auto finish = catalogue::EvacuationChange { DomainId { "d1" }, false };

auto runUntilAcknowledged(EvacuationWorld &world, Duration limit) -> void
{
    for (auto waited = Duration {}; waited < limit && !world.isAcknowledged(); waited += 1ms)
        world.run(1ms);
    REQUIRE(world.isAcknowledged());
}

auto restartAll(EvacuationWorld &world) -> void
{
    for (std::size_t i = 0; i < controls; ++i)
        world.kill(i);
    for (std::size_t i = 0; i < gateways; ++i)
        world.restartGateway(i);
    for (std::size_t i = 0; i < controls; ++i)
        world.restart(i);
}

} // namespace

TEST_CASE("When all is calm, an evacuation is acknowledged within milliseconds, and then in force")
{
    auto world = EvacuationWorld { controls, gateways };
    world.run(3s);
    REQUIRE(world.sendersTo("d1").size() == gateways);
    world.request(begin);
    runUntilAcknowledged(world, 1s);
    CHECK(world.acknowledgedAfter() < 50ms);
    CHECK(world.sendersTo("d1").empty());
    CHECK(world.sendersTo("d0").size() == gateways);
    world.request(begin); // A resent request changes nothing.
    runUntilAcknowledged(world, 1s);
    CHECK(world.sendersTo("d1").empty());
    world.request(finish);
    runUntilAcknowledged(world, 1s);
    CHECK(world.sendersTo("d1").size() == gateways);
}

TEST_CASE("An evacuation holds when the leader ends at any step before its acknowledgement")
{
    for (auto steps = 0; steps < 30; ++steps) {
        CAPTURE(steps);
        auto world = EvacuationWorld { controls, gateways };
        world.run(3s);
        const auto leader = world.leader();
        REQUIRE(leader);
        world.request(begin);
        world.run(steps * EvacuationWorld::step);
        const auto wasAcknowledged = world.isAcknowledged();
        if (wasAcknowledged)
            REQUIRE(world.sendersTo("d1").empty());
        world.kill(*leader);
        runUntilAcknowledged(world, 5s);
        CHECK(world.sendersTo("d1").empty());
        world.restart(*leader);
        world.run(2s);
        CHECK(world.sendersTo("d1").empty());
        for (std::size_t i = 0; i < controls; ++i)
            CHECK(world.decisions(i).log().evacuations().contains(DomainId { "d1" }));
    }
}

TEST_CASE("A gateway that is cut off delays an evacuation for a bounded time, and then obeys it")
{
    auto world = EvacuationWorld { controls, gateways };
    world.run(3s);
    world.cut(2, true);
    world.request(begin);
    runUntilAcknowledged(world, 1s);
    CHECK(world.acknowledgedAfter() >= 400ms);
    CHECK(world.sendersTo("d1") == std::vector<std::size_t> { 2 });
    world.cut(2, false);
    world.run(20ms);
    CHECK(world.sendersTo("d1").empty());
}

TEST_CASE(
        "After a loss of all processes no gateway sends to an evacuated domain, not even at first")
{
    auto world = EvacuationWorld { controls, gateways };
    world.run(3s);
    world.request(begin);
    runUntilAcknowledged(world, 1s);
    restartAll(world);
    auto served = false;
    world.setOnStep([&] {
        REQUIRE(world.sendersTo("d1").empty());
        served = served || world.serves(0);
    });
    world.run(5s);
    CHECK(served);
    world.setOnStep({});
    world.request(finish);
    runUntilAcknowledged(world, 1s);
    CHECK(world.sendersTo("d1").size() == gateways);
}

TEST_CASE("All controls count the same changes, also one that is started again or gets a snapshot")
{
    auto world = EvacuationWorld { controls, gateways };
    world.run(3s);
    const auto follower = (*world.leader() + 1) % controls;
    world.kill(follower);
    for (auto i = 0; i < 12; ++i) {
        world.request(i % 2 == 0 ? begin : finish);
        runUntilAcknowledged(world, 1s);
    }
    world.request(begin);
    runUntilAcknowledged(world, 1s);
    world.restart(follower);
    world.run(2s);
    restartAll(world);
    world.run(4s);
    for (std::size_t i = 0; i < controls; ++i) {
        const auto &evacuations = world.decisions(i).log().evacuations();
        CHECK(evacuations.revision == Revision { 13 });
        CHECK(evacuations.contains(DomainId { "d1" }));
    }
    CHECK(world.sendersTo("d1").empty());
}

TEST_CASE("Older evacuations from a control that lags behind are ignored")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { "e" };
    row.domain = DomainId { "d1" };
    row.sequence = 1;
    auto update = proto::ServingUpdate {};
    update.endpoints = { row };
    update.evacuations = catalogue::Evacuations { Revision { 3 }, { DomainId { "d1" } } };
    CHECK(view.apply(update));
    CHECK_FALSE(view.takesWork(row.id));
    update.evacuations = catalogue::Evacuations { Revision { 2 }, {} };
    view.apply(update);
    CHECK_FALSE(view.takesWork(row.id));
    update.evacuations = catalogue::Evacuations { Revision { 4 }, {} };
    CHECK(view.apply(update));
    CHECK(view.takesWork(row.id));
}
