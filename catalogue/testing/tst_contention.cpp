#include <doctest/doctest.h>

#include "catalogue/contention.h"

using namespace figrack;
using namespace figrack::catalogue;

namespace {

using std::chrono::milliseconds;

auto makeRoute(std::uint32_t rank, Duration startTarget, const std::string &service) -> Route
{
    auto route = Route {};
    route.rank = rank;
    route.startTarget = startTarget;
    route.split = { { ServiceId { service }, 1 } };
    return route;
}

auto makeEngine(Duration fromDisk) -> EngineSpec
{
    auto engine = EngineSpec {};
    auto model = ModelSpec {};
    model.id = ModelId { "m" };
    model.loadFromDisk = fromDisk;
    engine.models.push_back(model);
    return engine;
}

/// Three ranks on one engine service, one of which may wait.
auto makeCompeting() -> Catalogue
{
    auto catalogue = Catalogue {};
    catalogue.services.push_back({ ServiceId { "engine" }, 10, makeEngine(milliseconds { 800 }) });
    catalogue.services.push_back({ ServiceId { "plain" }, 10, std::nullopt });
    catalogue.routes = { makeRoute(0, milliseconds { 400 }, "engine"),
                         makeRoute(1, milliseconds { 600 }, "engine"),
                         makeRoute(2, milliseconds { 2500 }, "engine") };
    return catalogue;
}

} // namespace

TEST_CASE("Three ranks on one engine service, one of which may wait, ask for ordered admission")
{
    CHECK(asksForOrderedAdmission(makeCompeting()));
}

TEST_CASE("A configuration with two ranks is served without ordered admission")
{
    auto catalogue = makeCompeting();
    catalogue.routes[2].rank = 1;
    CHECK_FALSE(asksForOrderedAdmission(catalogue));
}

TEST_CASE("A configuration without a route that may wait is served without ordered admission")
{
    auto catalogue = makeCompeting();
    catalogue.routes[2].startTarget = milliseconds { 2499 };
    CHECK_FALSE(asksForOrderedAdmission(catalogue));
}

TEST_CASE("Ranks of routes to other services or without weight do not count")
{
    auto catalogue = makeCompeting();
    SUBCASE("a plain service")
    {
        catalogue.routes[2].split = { { ServiceId { "plain" }, 1 } };
    }
    SUBCASE("no weight")
    {
        catalogue.routes[2].split.front().weight = 0;
    }
    CHECK_FALSE(asksForOrderedAdmission(catalogue));
}

TEST_CASE("A route is deferrable when two loads from own copies fit into its start target")
{
    const auto engine = makeEngine(milliseconds { 800 });
    CHECK(isDeferrable(makeRoute(2, milliseconds { 3000 }, "engine"), engine));
    CHECK_FALSE(isDeferrable(makeRoute(2, milliseconds { 2999 }, "engine"), engine));
    CHECK_FALSE(isDeferrable(makeRoute(2, milliseconds { 3000 }, "engine"), EngineSpec {}));

    auto catalogue = Catalogue {};
    catalogue.services = { Service { ServiceId { "engine" }, 100, engine },
                           Service { ServiceId { "plain" }, 100, std::nullopt } };
    catalogue.routes = { makeRoute(2, milliseconds { 3000 }, "plain"),
                         makeRoute(0, milliseconds { 2999 }, "engine") };
    CHECK_FALSE(hasDeferrableRoute(catalogue, catalogue.services[0]));
    CHECK_FALSE(hasDeferrableRoute(catalogue, catalogue.services[1]));
    catalogue.routes.push_back(makeRoute(2, milliseconds { 3000 }, "engine"));
    CHECK(hasDeferrableRoute(catalogue, catalogue.services[0]));
    CHECK_FALSE(hasDeferrableRoute(catalogue, catalogue.services[1]));
}
