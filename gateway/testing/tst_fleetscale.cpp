// What gateways and controls are sent in fleets of 30 to 2,000 gateways with ten endpoints for
// each, in virtual time.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <vector>

#include "gateway/testing/fleetworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto endpointsPerGateway = std::size_t { 10 };
constexpr auto modelsAsked = std::size_t { 10 };
/// A gateway may use this much of its link for control.
constexpr auto gatewayBytesPerSecond = std::uint64_t { 25'000 };
/// What a link of 10 Mbit/s carries in a second, so that a gateway can serve that soon.
constexpr auto bytesAtStart = std::uint64_t { 1'250'000 };

/// @return the power with which a figure grows between two sizes of fleet
auto power(double figure, double larger, double size, double largerSize) -> double
{
    return std::log(larger / figure) / std::log(largerSize / size);
}

} // namespace

TEST_CASE("What a gateway receives does not grow with the fleet, and what a control sends grows no "
          "faster than the fleet")
{
    const auto sizes = std::vector<std::size_t> { 30, 300, 1000, 2000 };
    auto sent = std::vector<double> {};
    for (const auto gateways : sizes) {
        CAPTURE(gateways);
        auto world = FleetWorld { gateways, gateways * endpointsPerGateway };
        // Right after a start, when the number of endpoints is not known yet, updates are spaced
        // out by the number of gateways.
        world.run(6s);
        world.ask(modelsAsked);
        world.run(2s);
        CHECK(world.unknownShare() == 0);
        CHECK(world.mostReceived().bytes < bytesAtStart);
        // One in two hundred endpoints takes another model each second.
        world.resetTraffic();
        constexpr auto seconds = 4;
        for (auto second = 0; second < seconds; ++second) {
            for (std::size_t i = 0; i < gateways * endpointsPerGateway / 200 + 1; ++i)
                world.swapModelSomewhere();
            world.run(1s);
        }
        CHECK(world.mostReceived().bytes < gatewayBytesPerSecond * seconds);
        sent.push_back(static_cast<double>(world.sentBy(0).bytes) / seconds);
        MESSAGE("gateways " << gateways << ": most received "
                            << world.mostReceived().bytes / seconds << " B/s, control sends "
                            << sent.back() << " B/s, known " << world.knownTo(0));
        CHECK(world.isWhole(0) == (gateways * endpointsPerGateway <= 400));
    }
    CHECK(power(sent[1], sent[2], 300, 1000) <= 1.1);
    CHECK(power(sent[2], sent[3], 1000, 2000) <= 1.1);
}

TEST_CASE("A leaving is acknowledged within a second in a fleet of any size, and no gateway sends "
          "there afterwards")
{
    for (const auto gateways : { 30U, 300U }) {
        CAPTURE(gateways);
        auto world = FleetWorld { gateways, gateways * endpointsPerGateway };
        world.run(4s);
        world.ask(modelsAsked);
        world.run(2s);
        auto acknowledged = std::vector<std::size_t> {};
        auto refused = 0;
        auto known = std::size_t { 0 };
        for (std::size_t i = 0; i < 40; ++i) {
            const auto endpoint = i * 7;
            known += world.sendersTo(endpoint) > 0 ? 1 : 0;
            world.leave(endpoint, [&, endpoint](const absl::Status &status) {
                if (status.ok())
                    acknowledged.push_back(endpoint);
                else
                    ++refused;
            });
            world.run(FleetWorld::step);
            for (const auto done : acknowledged)
                REQUIRE(world.sendersTo(done) == 0);
        }
        world.run(1s);
        CHECK(known > 0);
        CHECK(refused == 0);
        CHECK(acknowledged.size() == 40);
        for (const auto done : acknowledged)
            CHECK(world.sendersTo(done) == 0);
    }
}

TEST_CASE("A model asked for in the moment in which its endpoint leaves is not sent there")
{
    auto world = FleetWorld { 300, 3000 };
    world.run(4s);
    for (std::size_t round = 0; round < 30; ++round) {
        auto isAcknowledged = false;
        world.ask(round + 1); // Each gateway watches one more key in this very step.
        world.leave(round * 11, [&](const absl::Status &status) { isAcknowledged = status.ok(); });
        for (auto steps = 0; steps < 20; ++steps) {
            world.run(FleetWorld::step);
            if (isAcknowledged)
                REQUIRE(world.sendersTo(round * 11) == 0);
        }
        CHECK(isAcknowledged);
    }
}

TEST_CASE("When a control is lost, its gateways watch at another one within a second")
{
    auto world = FleetWorld { 300, 3000 };
    world.run(4s);
    world.ask(modelsAsked);
    world.run(2s);
    world.killControl(1);
    CHECK(world.unknownShare() == 0); // The rows that a gateway has stay in use meanwhile.
    world.run(1s);
    CHECK(world.unknownShare() == 0);
    auto isAcknowledged = false;
    world.leave(33, [&](const absl::Status &status) { isAcknowledged = status.ok(); });
    world.run(1s);
    CHECK(isAcknowledged);
    CHECK(world.sendersTo(33) == 0);
}

TEST_CASE("Gateways that all restart at once know what their callers ask for within a second")
{
    auto world = FleetWorld { 1000, 10000 };
    world.run(4s);
    world.ask(modelsAsked);
    world.run(2s);
    world.resetTraffic();
    for (std::size_t i = 0; i < 1000; ++i)
        world.restartGateway(i);
    world.run(1s);
    CHECK(world.unknownShare() == 0);
    CHECK(world.mostReceived().bytes < bytesAtStart / 4);
}

TEST_CASE("An endpoint that falls silent is replaced by another one")
{
    auto world = FleetWorld { 60, 3000 };
    world.run(4s);
    world.ask(modelsAsked);
    world.run(2s);
    auto used = std::size_t { 0 };
    while (world.sendersTo(used) == 0)
        ++used;
    world.fallSilent(used);
    world.run(15s);
    CHECK(world.sendersTo(used) == 0);
    CHECK(world.unknownShare() == 0);
}
