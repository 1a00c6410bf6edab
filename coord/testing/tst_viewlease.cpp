// Configuration leases: grantor, holder and gate alone, and all of them in
// random runs over replicated logs.

#include "coord/viewlease.h"

#include <doctest/doctest.h>

namespace figrack::coord {
namespace {

using std::chrono::milliseconds;

TEST_CASE("options that cannot work are refused")
{
    CHECK(ViewLeaseOptions {}.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 0 }, milliseconds { 1 }, 0.0 }.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 100 }, milliseconds { 51 }, 0.0 }.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 100 }, milliseconds { 50 }, 1.0 }.check().ok());
}

} // namespace
} // namespace figrack::coord
