// A gateway that is cut off from the endpoints, while its callers, the controls and the other
// gateways still reach it.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/cutworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

constexpr auto requests = 20;

/// Both gateways serve, and the first one has kept connections to the endpoints.
auto checkServedAsWell(Cut how) -> void
{
    auto world = CutWorld {};
    REQUIRE(world.countServed(At::Cut, requests) == requests);
    REQUIRE(world.countServed(At::Other, requests) == requests);
    world.cut(how);
    REQUIRE(world.isServedAgain());
    CHECK(world.countServed(At::Cut, requests) == requests);
    CHECK(world.countServed(At::Other, requests) == requests);
}

} // namespace

TEST_CASE("Callers are served at a gateway whose connections to all endpoints hang")
{
    checkServedAsWell(Cut::Hang);
}

TEST_CASE("Callers are served at a gateway that no answer of any endpoint reaches")
{
    checkServedAsWell(Cut::OneWay);
}

TEST_CASE("Callers are served at a gateway whose connections to all endpoints are reset")
{
    checkServedAsWell(Cut::Reset);
}

TEST_CASE("Callers are served at a gateway that can make no new connection to any endpoint")
{
    checkServedAsWell(Cut::RefuseNew);
}
