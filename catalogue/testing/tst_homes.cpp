// Tests which failure domains the homes of routes and accounts allow.

#include <doctest/doctest.h>

#include "catalogue/homes.h"

using namespace figrack;
using namespace figrack::catalogue;

TEST_CASE("Homes of a route and of an account both bind, and none restricts nothing")
{
    const auto regions = RegionMap { { DomainId { "n1" }, RegionId { "north" } },
                                     { DomainId { "n2" }, RegionId { "north" } },
                                     { DomainId { "s1" }, RegionId { "south" } } };
    const auto none = std::vector<RegionId> {};
    const auto both = std::vector { RegionId { "south" }, RegionId { "north" } };
    const auto north = std::vector { RegionId { "north" } };
    const auto unknown = std::vector { RegionId { "nowhere" } };

    auto rule = HomeRule { regions };
    rule.restrictTo(none);
    CHECK_FALSE(rule.isRestricted());
    CHECK(rule.allows(DomainId { "not listed" }));
    rule.restrictTo(both);
    CHECK(rule.allows(DomainId { "s1" }));
    CHECK_FALSE(rule.allows(DomainId { "not listed" }));
    rule.restrictTo(north);
    CHECK(rule.allows(DomainId { "n2" }));
    CHECK_FALSE(rule.allows(DomainId { "s1" }));
    rule.restrictTo(unknown);
    CHECK_FALSE(rule.allows(DomainId { "n1" }));
}
