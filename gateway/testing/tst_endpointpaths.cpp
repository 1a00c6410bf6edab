// What a gateway concludes from silence, failed connections and probes, in virtual time.

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "gateway/endpointpaths.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

const auto domain = DomainId { "d1" };
const auto other = DomainId { "d2" };
const auto one = EndpointId { "i-1" };
const auto two = EndpointId { "i-2" };

struct PathRig
{
    PathRig()
    {
        paths.setOnChanged([this](const DomainId &changed, PathState, PathState now) {
            if (changed == domain)
                states.push_back(now);
        });
    }
    /// @return true if the domain is to be probed now
    auto isDue() -> bool
    {
        const auto due = paths.takeDue();
        return std::find(due.begin(), due.end(), domain) != due.end();
    }
    auto probed(DialOutcome first, DialOutcome second) -> void
    {
        paths.onProbed(domain, clock.now(), { { one, first }, { two, second } });
    }
    /// Makes the path one that is lost.
    auto lose() -> void
    {
        paths.onSent(domain);
        clock.advance(400ms);
        REQUIRE(isDue());
        probed(DialOutcome::TimedOut, DialOutcome::TimedOut);
        REQUIRE(paths.state(domain) == PathState::Lost);
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
    rig.paths.onSent(domain);
    rig.clock.advance(399ms);
    CHECK(!rig.isDue());
    rig.paths.onHeard(domain);
    rig.clock.advance(399ms);
    CHECK(!rig.isDue());
    rig.paths.onEnded(domain);
    rig.clock.advance(10s);
    CHECK(!rig.isDue());
    CHECK(!rig.paths.nextDueAt());
    rig.paths.onSent(domain);
    rig.clock.advance(400ms);
    CHECK(rig.isDue());
    CHECK(rig.paths.state(domain) == PathState::Suspected);
    CHECK(!rig.isDue()); // While a probe is on its way, no other one begins.
}

TEST_CASE("A slow or silent endpoint is not taken for a lost path")
{
    auto rig = PathRig {};
    rig.paths.onSent(domain);
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::TimedOut, DialOutcome::Connected);
    CHECK(rig.paths.isOpen(domain));
    // It stays silent: probes come at most once a second.
    rig.clock.advance(999ms);
    CHECK(!rig.isDue());
    rig.clock.advance(1ms);
    CHECK(rig.isDue());
    rig.paths.onHeard(domain);
    CHECK(rig.paths.isOpen(domain));
    rig.probed(DialOutcome::Connected, DialOutcome::Connected);
    CHECK(rig.paths.unreached().empty());
}

TEST_CASE("A path whose probes hang is lost, and open again after two that succeed")
{
    auto rig = PathRig {};
    rig.lose();
    CHECK(rig.paths.unreached() == std::vector { domain });
    rig.paths.onEnded(domain);
    CHECK(!rig.isDue());
    rig.clock.advance(500ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Connected, DialOutcome::TimedOut);
    CHECK(rig.paths.state(domain) == PathState::Lost);
    rig.clock.advance(200ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::TimedOut, DialOutcome::TimedOut); // Not in a row: it counts anew.
    rig.clock.advance(500ms);
    for (auto i = 0; i < 2; ++i) {
        CHECK(rig.paths.state(domain) == PathState::Lost);
        REQUIRE(rig.isDue());
        rig.probed(DialOutcome::Connected, DialOutcome::Connected);
        rig.clock.advance(200ms);
    }
    CHECK(rig.paths.isOpen(domain));
    CHECK(rig.states == std::vector { PathState::Suspected, PathState::Lost, PathState::Open });
}

TEST_CASE("Where new connections are refused, kept ones are used as long as they are heard")
{
    auto rig = PathRig {};
    rig.paths.onConnectFailed(domain, one);
    rig.paths.onHeard(domain); // One endpoint alone is no sign.
    CHECK(!rig.isDue());
    rig.paths.onConnectFailed(domain, two);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    CHECK(rig.paths.state(domain) == PathState::KeptOnly);
    rig.paths.onSent(domain);
    for (auto i = 0; i < 10; ++i) {
        rig.clock.advance(300ms);
        rig.paths.onHeard(domain);
        if (rig.isDue())
            rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    }
    CHECK(rig.paths.state(domain) == PathState::KeptOnly);
    rig.clock.advance(600ms);
    REQUIRE(rig.isDue());
    rig.probed(DialOutcome::Refused, DialOutcome::Refused);
    CHECK(rig.paths.state(domain) == PathState::Lost);
    rig.paths.onHeard(domain);
    CHECK(rig.paths.state(domain) == PathState::KeptOnly);
}

TEST_CASE("A domain that is heard while new connections hang is reached by kept ones")
{
    auto rig = PathRig {};
    rig.paths.onSent(domain);
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    const auto begun = rig.clock.now();
    rig.clock.advance(400ms);
    rig.paths.onHeard(domain);
    rig.paths.onProbed(domain, begun, { { one, DialOutcome::TimedOut } });
    CHECK(rig.paths.state(domain) == PathState::KeptOnly);
}

TEST_CASE("A broken connection is a sign only if its domain stays silent")
{
    auto rig = PathRig {};
    rig.paths.onBroken(domain);
    rig.clock.advance(49ms);
    rig.paths.onHeard(domain);
    rig.clock.advance(10s);
    CHECK(!rig.isDue());
    rig.paths.onBroken(domain);
    rig.clock.advance(50ms);
    CHECK(rig.isDue());
}

TEST_CASE("What was silent while this process did not run says nothing")
{
    auto rig = PathRig {};
    rig.paths.onSent(domain);
    rig.clock.advance(10s);
    rig.paths.onResumed();
    CHECK(!rig.isDue());
    rig.clock.advance(400ms);
    REQUIRE(rig.isDue());
    rig.paths.onProbeFailed(domain); // Nor does a probe of that time: it is made again at once.
    CHECK(rig.paths.state(domain) == PathState::Suspected);
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
    CHECK(rig.paths.unreached() == std::vector { domain });
}
