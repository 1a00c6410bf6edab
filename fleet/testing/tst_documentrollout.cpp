// When a change may be called accepted, in virtual time.

#include <doctest/doctest.h>

#include "fleet/documentrollout.h"
#include "fleet/testing/fakepeer.h"

using namespace figrack;
using namespace figrack::fleet;
using figrack::fleet::testing::FakePeer;
using namespace std::chrono_literals;

namespace {

struct SpreadRig
{
    ManualClock clock;
    Metrics metrics;
    DocumentSpread spread { clock, metrics };
    proto::PeerPointer one = std::make_shared<FakePeer>("g1");
    proto::PeerPointer two = std::make_shared<FakePeer>("g2");
    int ended = 0;

    SpreadRig()
    {
        spread.onSubscribed(one, true, Revision { 1 });
        spread.onSubscribed(two, true, Revision { 1 });
    }
    auto await(Revision version) -> void
    {
        spread.await(version, clock.now() + 400ms, [this] { ++ended; });
    }
};

} // namespace

TEST_CASE("A change is accepted once all gateways obey it, and not before")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.spread.onInForce(rig.one, Revision { 2 });
    rig.clock.advance(399ms);
    rig.spread.settle();
    CHECK(rig.ended == 0);
    // A newer one will do.
    rig.spread.onInForce(rig.two, Revision { 3 });
    CHECK(rig.ended == 1);
    rig.await(Revision { 2 });
    CHECK(rig.ended == 2);
}

TEST_CASE("A gateway that says nothing delays a change by the deadline at most")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.spread.onInForce(rig.one, Revision { 2 });
    rig.clock.advance(400ms);
    rig.spread.settle();
    CHECK(rig.ended == 1);
    rig.spread.settle();
    CHECK(rig.ended == 1);
}

TEST_CASE("Gateways that are gone, or that no caller is sent to, are not waited for")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.spread.onInForce(rig.one, Revision { 2 });
    SUBCASE("gone")
    {
        rig.spread.onLost(rig.two);
    }
    SUBCASE("not ready")
    {
        rig.spread.onSubscribed(rig.two, false, Revision { 1 });
    }
    CHECK(rig.ended == 1);
}

TEST_CASE("What a gateway said on another connection does not count")
{
    auto rig = SpreadRig {};
    const auto again = proto::PeerPointer { std::make_shared<FakePeer>("g2") };
    rig.spread.onInForce(again, Revision { 2 });
    rig.spread.onInForce(rig.one, Revision { 2 });
    rig.await(Revision { 2 });
    CHECK(rig.ended == 0);
}
