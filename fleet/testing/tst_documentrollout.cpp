// Tests when a change is acknowledged, in virtual time.

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
    DocumentRollout rollout { clock, metrics };
    proto::PeerPointer one = std::make_shared<FakePeer>("g1");
    proto::PeerPointer two = std::make_shared<FakePeer>("g2");
    int ended = 0;

    SpreadRig()
    {
        rollout.onSubscribed(one, true, { Revision { 1 }, {} });
        rollout.onSubscribed(two, true, { Revision { 1 }, {} });
    }
    auto await(Revision version) -> void
    {
        rollout.await({ version, {} }, clock.now() + 400ms, [this] { ++ended; });
    }
};

} // namespace

TEST_CASE("A change is accepted when all gateways have it in force, and not before")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.rollout.onInForce(rig.one, { Revision { 2 }, {} });
    rig.clock.advance(399ms);
    rig.rollout.settle();
    CHECK(rig.ended == 0);
    // A newer version is enough.
    rig.rollout.onInForce(rig.two, { Revision { 3 }, {} });
    CHECK(rig.ended == 1);
    rig.await(Revision { 2 });
    CHECK(rig.ended == 2);
}

TEST_CASE("A gateway that does not respond delays a change until the deadline at most")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.rollout.onInForce(rig.one, { Revision { 2 }, {} });
    rig.clock.advance(400ms);
    rig.rollout.settle();
    CHECK(rig.ended == 1);
    rig.rollout.settle();
    CHECK(rig.ended == 1);
}

TEST_CASE("An evacuation is accepted when all gateways have it in force, whatever their document")
{
    auto rig = SpreadRig {};
    rig.rollout.await({ {}, Revision { 5 } }, rig.clock.now() + 400ms, [&] { ++rig.ended; });
    rig.rollout.onInForce(rig.one, { Revision { 2 }, Revision { 5 } });
    rig.rollout.onInForce(rig.two, { Revision { 2 }, Revision { 4 } });
    CHECK(rig.ended == 0);
    rig.rollout.onInForce(rig.two, { {}, Revision { 6 } });
    CHECK(rig.ended == 1);
}

TEST_CASE("Gateways that are gone, or that no caller is directed to, are not waited for")
{
    auto rig = SpreadRig {};
    rig.await(Revision { 2 });
    rig.rollout.onInForce(rig.one, { Revision { 2 }, {} });
    SUBCASE("gone")
    {
        rig.rollout.onLost(rig.two);
    }
    SUBCASE("not ready")
    {
        rig.rollout.onSubscribed(rig.two, false, { Revision { 1 }, {} });
    }
    CHECK(rig.ended == 1);
}

TEST_CASE("A gateway's report on another connection does not count")
{
    auto rig = SpreadRig {};
    const auto again = proto::PeerPointer { std::make_shared<FakePeer>("g2") };
    rig.rollout.onInForce(again, { Revision { 2 }, {} });
    rig.rollout.onInForce(rig.one, { Revision { 2 }, {} });
    rig.await(Revision { 2 });
    CHECK(rig.ended == 0);
}
