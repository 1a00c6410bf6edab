#include <doctest/doctest.h>

#include "router/drain.h"

namespace figrack::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DrainFixture
{
    ManualClock clock;
    DrainOptions options { seconds { 10 }, milliseconds { 1500 }, seconds { 5 } };
    Drain drain { options, clock };
};

TEST_CASE_FIXTURE(DrainFixture, "a router serves until it is told to stop")
{
    clock.advance(std::chrono::hours { 100 });
    CHECK(drain.tick(0) == DrainPhase::Serving);
    CHECK(drain.onStop());
    CHECK(drain.phase() == DrainPhase::Leaving);
    CHECK_FALSE(drain.onStop());
}

TEST_CASE_FIXTURE(DrainFixture, "a router accepts work for the address lifetime after the notice")
{
    drain.onStop();
    clock.advance(seconds { 2 });
    drain.onNoticeConfirmed();
    clock.advance(milliseconds { 11499 });
    CHECK(drain.tick(0) == DrainPhase::Leaving);
    clock.advance(milliseconds { 1 });
    CHECK(drain.tick(1) == DrainPhase::Refusing);
}

TEST_CASE_FIXTURE(DrainFixture, "without a control the lifetime starts at the notice timeout")
{
    drain.onStop();
    clock.advance(milliseconds { 16499 });
    CHECK(drain.tick(0) == DrainPhase::Leaving);
    clock.advance(milliseconds { 1 });
    CHECK(drain.tick(1) == DrainPhase::Refusing);
}

TEST_CASE_FIXTURE(DrainFixture, "a second confirmation does not change the end of the lifetime")
{
    drain.onStop();
    drain.onNoticeConfirmed();
    clock.advance(seconds { 11 });
    drain.onNoticeConfirmed();
    clock.advance(milliseconds { 500 });
    CHECK(drain.tick(1) == DrainPhase::Refusing);
}

TEST_CASE_FIXTURE(DrainFixture,
                  "a router stops only once nothing is in progress, however long it takes")
{
    drain.onStop();
    drain.onNoticeConfirmed();
    clock.advance(seconds { 12 });
    CHECK(drain.tick(3) == DrainPhase::Refusing);
    clock.advance(std::chrono::hours { 5 });
    CHECK(drain.tick(1) == DrainPhase::Refusing);
    CHECK(drain.tick(0) == DrainPhase::Stopped);
    CHECK(drain.tick(1) == DrainPhase::Stopped);
}

TEST_CASE("phases have names")
{
    CHECK(drainPhaseName(DrainPhase::Serving) == "serving");
    CHECK(drainPhaseName(DrainPhase::Stopped) == "stopped");
}

} // namespace
} // namespace figrack::router
