// Tests the set of evacuated failure domains.

#include <doctest/doctest.h>

#include "catalogue/evacuations.h"

using namespace figrack;
using namespace figrack::catalogue;

TEST_CASE("The revision rises with each change, and not with one that changes nothing")
{
    auto evacuations = Evacuations {};
    CHECK_FALSE(evacuations.apply({ DomainId { "a" }, false }));
    CHECK(evacuations.revision == Revision {});
    CHECK(evacuations.apply({ DomainId { "b" }, true }));
    CHECK(evacuations.apply({ DomainId { "a" }, true }));
    CHECK_FALSE(evacuations.apply({ DomainId { "a" }, true }));
    CHECK(evacuations.revision == Revision { 2 });
    CHECK(evacuations.contains(DomainId { "a" }));
    CHECK(evacuations.contains(DomainId { "b" }));
    CHECK(evacuations.apply({ DomainId { "b" }, false }));
    CHECK(evacuations.revision == Revision { 3 });
    CHECK_FALSE(evacuations.contains(DomainId { "b" }));
    CHECK(evacuations.contains(DomainId { "a" }));
}
