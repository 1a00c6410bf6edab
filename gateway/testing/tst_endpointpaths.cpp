// What a gateway concludes from silence, failed connections and probes, in virtual time.

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "gateway/endpointpaths.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

const auto group = EndpointGroup { ServiceId { "s" }, DomainId { "d1" } };
const auto other = EndpointGroup { ServiceId { "s" }, DomainId { "d2" } };
const auto one = EndpointId { "i-1" };
const auto two = EndpointId { "i-2" };
const auto three = EndpointId { "i-3" };

struct PathRig
{
    PathRig()
    {
        paths.setOnChanged([this](const EndpointGroup &changed, PathState, PathState now) {
            if (changed == group)
                states.push_back(now);
        });
    }
    /// @return true if the group is to be probed now
    auto isDue() -> bool
    {
        const auto due = paths.takeDue();
        return std::find(due.begin(), due.end(), group) != due.end();
    }
    auto probed(DialOutcome first, DialOutcome second) -> void
    {
        paths.onProbed(group, clock.now(), { { one, first }, { two, second } });
    }
    /// Makes the path one that is lost.
    auto lose() -> void
    {
        paths.onSent(group);
        clock.advance(400ms);
        REQUIRE(isDue());
        probed(DialOutcome::TimedOut, DialOutcome::TimedOut);
        REQUIRE(paths.state(group) == PathState::Lost);
    }
    ManualClock clock;
    EndpointPaths paths { clock, {} };
    std::vector<PathState> states;
};

} // namespace

TEST_CASE("A path is probed only after silence with requests in progress")
{
    auto rig = PathRig {};
    CHECK(!rig.paths.nextDueAt());
    rig.paths.onSent(group);
    rig.clock.advance(399ms);
    CHECK(!rig.isDue());
    rig.paths.onHeard(group);
    rig.clock.advance(399ms);
    CHECK(!rig.isDue());
    rig.paths.onEnded(group);
    rig.clock.advance(10s);
    CHECK(!rig.isDue());
    CHECK(!rig.paths.nextDueAt());
    rig.paths.onSent(group);
    rig.clock.advance(400ms);
    CHECK(rig.isDue());
    CHECK(rig.paths.state(group) == PathState::Suspected);
    CHECK(!rig.isDue()); // While a probe is on its way, no other one begins.
}

TEST_CASE("A slow or silent endpoint is not taken for a lost path")
{
    auto rig = PathRig {};
    rig.paths.onSent(group);
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::TimedOut, DialOutcome::Connected);
    CHECK(rig.paths.isOpen(group));
    // It stays silent: probes come at most once a second.
    rig.clock.advance(999ms);
    CHECK(!rig.isDue());
    rig.clock.advance(1ms);
    CHECK(rig.isDue());
    rig.paths.onHeard(group);
    CHECK(rig.paths.isOpen(group));
    rig.probed(DialOutcome::Connected, DialOutcome::Connected);
    CHECK(rig.paths.unreached().empty());
}

TEST_CASE("A path whose probes hang is lost, and open again after two that succeed")
{
    auto rig = PathRig {};
    rig.lose();
    CHECK(rig.paths.unreached() == std::vector { group });
    rig.paths.onEnded(group);
    CHECK(!rig.isDue());
    rig.clock.advance(500ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Connected, DialOutcome::TimedOut);
    CHECK(rig.paths.state(group) == PathState::Lost);
    rig.clock.advance(200ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::TimedOut, DialOutcome::TimedOut); // Not in a row: it counts anew.
    rig.clock.advance(500ms);
    for (auto i = 0; i < 2; ++i) {
        CHECK(rig.paths.state(group) == PathState::Lost);
        REQUIRE(rig.isDue());
        rig.probed(DialOutcome::Connected, DialOutcome::Connected);
        rig.clock.advance(200ms);
    }
    CHECK(rig.paths.isOpen(group));
    CHECK(rig.states == std::vector { PathState::Suspected, PathState::Lost, PathState::Open });
}

TEST_CASE("Where new connections are refused, kept ones are used as long as they are heard")
{
    auto rig = PathRig {};
    rig.paths.onConnectFailed(group, one, DialOutcome::Refused);
    rig.paths.onHeard(group); // One endpoint alone is no sign.
    CHECK(!rig.isDue());
    rig.paths.onConnectFailed(group, two, DialOutcome::Refused);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    CHECK(rig.paths.state(group) == PathState::KeptOnly);
    rig.paths.onSent(group);
    for (auto i = 0; i < 10; ++i) {
        rig.clock.advance(300ms);
        rig.paths.onHeard(group);
        if (rig.isDue())
            rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    }
    CHECK(rig.paths.state(group) == PathState::KeptOnly);
    rig.clock.advance(600ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    CHECK(rig.paths.state(group) == PathState::Lost);
    rig.paths.onHeard(group);
    CHECK(rig.paths.state(group) == PathState::KeptOnly);
}

TEST_CASE("A group that is heard while new connections hang is reached by kept ones")
{
    auto rig = PathRig {};
    rig.paths.onSent(group);
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    const auto begun = rig.clock.now();
    rig.clock.advance(400ms);
    rig.paths.onHeard(group);
    rig.paths.onProbed(group, begun, { { one, DialOutcome::TimedOut } });
    CHECK(rig.paths.state(group) == PathState::KeptOnly);
}

TEST_CASE("A broken connection is a sign only if its group stays silent")
{
    auto rig = PathRig {};
    rig.paths.onBroken(group);
    rig.clock.advance(49ms);
    rig.paths.onHeard(group);
    rig.clock.advance(10s);
    CHECK(!rig.isDue());
    rig.paths.onBroken(group);
    rig.clock.advance(50ms);
    CHECK(rig.isDue());
}

TEST_CASE("What was silent while this process did not run says nothing")
{
    auto rig = PathRig {};
    rig.paths.onSent(group);
    rig.clock.advance(10s);
    rig.paths.onResumed();
    CHECK(!rig.isDue());
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    rig.paths.onProbeVoid(group); // Nor does a probe of that time: it is made again at once.
    CHECK(rig.paths.state(group) == PathState::Suspected);
    CHECK(rig.isDue());
}

TEST_CASE("Domains are judged one by one, and those not heard are probed when another is lost")
{
    auto rig = PathRig {};
    rig.paths.onSent(other);
    rig.paths.onHeard(other);
    rig.paths.onEnded(other);
    rig.lose();
    CHECK(rig.paths.isOpen(other));
    rig.paths.onHeard(other);
    rig.paths.suspectIfUnheard(other);
    CHECK(rig.paths.isOpen(other));
    rig.clock.advance(400ms);
    rig.paths.suspectIfUnheard(other);
    CHECK(rig.paths.state(other) == PathState::Suspected);
    CHECK(rig.paths.unreached() == std::vector { group });
}

TEST_CASE("An endpoint that cannot be connected to beside others that can is remembered")
{
    auto rig = PathRig {};
    rig.paths.onSent(group);
    rig.paths.onConnectFailed(group, one, DialOutcome::TimedOut);
    rig.clock.advance(50ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::TimedOut, DialOutcome::Connected);
    CHECK(rig.paths.isOpen(group));
    CHECK(rig.paths.failureOf(group, one) == DialOutcome::TimedOut);
    CHECK(!rig.paths.failureOf(group, two));
    rig.paths.onHeard(group);
    rig.clock.advance(1s); // It is tried again each second.
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Connected, DialOutcome::Connected);
    CHECK(!rig.paths.failureOf(group, one));
    rig.paths.onEnded(group);
    rig.clock.advance(10s);
    CHECK(!rig.isDue());
    rig.paths.onConnectFailed(group, three, DialOutcome::Refused);
    rig.paths.retainFailures(group, { one, two }); // It is gone.
    CHECK(!rig.paths.failureOf(group, three));
}
