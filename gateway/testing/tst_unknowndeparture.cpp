// An endpoint that leaves by way of a control that has never heard of it, in virtual time.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/fleetworld.h"

using namespace figrack;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

// Guards against a departure at a control that is cut off making all requests of a service fail.
TEST_CASE("An endpoint that deregisters at a control which does not know it leaves the others of "
          "its service in use")
{
    constexpr auto gateways = std::size_t { 4 };
    constexpr auto cut = std::size_t { 0 };
    constexpr auto endpoints = std::size_t { 12 };
    auto world = FleetWorld { gateways, endpoints };
    world.run(6s);
    REQUIRE(world.isWhole(0));

    world.cutOff(cut);
    const auto endpoint = world.addEndpoint(1);
    world.run(4s);
    REQUIRE(world.sendersTo(endpoint) == gateways);
    REQUIRE_FALSE(world.knows(cut, endpoint));

    auto outcome = absl::UnknownError("no answer");
    world.deregister(endpoint, cut, [&](absl::Status status) { outcome = std::move(status); });
    world.run(1s);
    CHECK(outcome.ok());
    CHECK(world.sendersTo(endpoint) == 0);

    world.reconnect(cut);
    world.run(1s);
    CHECK(world.sendersTo(endpoint) == 0);
    for (auto second = 0; second < 80; ++second) {
        world.run(1s);
        for (std::size_t gateway = 0; gateway < gateways; ++gateway)
            REQUIRE(world.offeredTo(gateway) == endpoints);
    }
}

// Guards against new work for an endpoint whose leaving was acknowledged.
TEST_CASE("A control that is cut off from where gateways watch does not acknowledge that an "
          "endpoint leaves")
{
    constexpr auto gateways = std::size_t { 6 };
    constexpr auto cut = std::size_t { 0 };
    auto world = FleetWorld { gateways, 600 };
    world.run(6s);
    world.ask(10);
    world.run(2s);
    REQUIRE_FALSE(world.isWhole(0));
    auto endpoint = std::size_t { 0 };
    while (world.sendersTo(endpoint) < 2)
        ++endpoint;

    const auto leave = [&] {
        auto outcome = absl::UnknownError("no answer");
        world.deregister(endpoint, cut, [&](absl::Status status) { outcome = std::move(status); });
        world.run(1s);
        return outcome.ok();
    };
    world.cutOff(cut);
    CHECK_FALSE(leave());
    world.reconnect(cut);
    world.run(1s);
    CHECK(leave());
    CHECK(world.sendersTo(endpoint) == 0);
}
