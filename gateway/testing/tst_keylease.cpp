// How long a gateway may rely on its keys, in virtual time.

#include <doctest/doctest.h>

#include "gateway/keylease.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto revokeWithin = Duration { 5s };
constexpr auto length = Duration { 4500ms };

struct LeaseRig
{
    ManualClock clock;
    KeyLease lease { { revokeWithin }, clock };
};

} // namespace

TEST_CASE("Without a revocation limit, no proof is needed")
{
    const auto clock = ManualClock {};
    const auto lease = KeyLease { {}, clock };
    CHECK_FALSE(lease.isStrict());
    CHECK(lease.isCurrent());
}

TEST_CASE("A gateway that has just started has no proof, and a proof's age starts with its request")
{
    auto rig = LeaseRig {};
    rig.lease.onInForce(Revision { 7 });
    CHECK_FALSE(rig.lease.isCurrent());
    const auto question = rig.lease.ask();
    rig.clock.advance(2s);
    CHECK_FALSE(rig.lease.isCurrent());
    rig.lease.onProof(question, Revision { 7 });
    CHECK(rig.lease.isCurrent());
    rig.clock.advance(length - 2s - 1ms);
    CHECK(rig.lease.isCurrent());
    rig.clock.advance(1ms);
    CHECK_FALSE(rig.lease.isCurrent());
}

TEST_CASE("A proof counts once the document that it demands is in force")
{
    auto rig = LeaseRig {};
    rig.lease.onInForce(Revision { 7 });
    rig.lease.onProof(rig.lease.ask(), Revision { 8 });
    CHECK_FALSE(rig.lease.isCurrent());
    rig.clock.advance(1s);
    rig.lease.onInForce(Revision { 9 });
    CHECK(rig.lease.isCurrent());
    rig.clock.advance(length - 1s);
    CHECK_FALSE(rig.lease.isCurrent());
}

TEST_CASE("Answers that prove nothing, are repeated or were never requested have no effect")
{
    auto rig = LeaseRig {};
    rig.lease.onInForce(Revision { 7 });
    const auto first = rig.lease.ask();
    rig.lease.onProof(first, Revision {});
    rig.lease.onProof(first, Revision { 7 });
    rig.lease.onProof(99, Revision { 7 });
    CHECK_FALSE(rig.lease.isCurrent());
    const auto early = rig.lease.ask();
    rig.clock.advance(1s);
    rig.lease.onProof(rig.lease.ask(), Revision { 7 });
    rig.lease.onProof(early, Revision { 7 }); // Older than the current proof, which stays valid.
    rig.clock.advance(length - 1ms);
    CHECK(rig.lease.isCurrent());
    const auto late = rig.lease.ask();
    rig.clock.advance(length);
    rig.lease.onProof(late, Revision { 7 });
    CHECK_FALSE(rig.lease.isCurrent());
}

TEST_CASE("A gateway that is cut off serves six tenths of the time, whatever was in progress")
{
    auto rig = LeaseRig {};
    rig.lease.onInForce(Revision { 1 });
    rig.lease.onProof(rig.lease.ask(), Revision { 1 });
    // The next request has been sent, and its answer is lost with the connection.
    rig.clock.advance(rig.lease.renewEvery());
    static_cast<void>(rig.lease.ask());
    rig.clock.advance(rig.lease.answerWithin());
    const auto cutFor = revokeWithin * 6 / 10;
    rig.clock.advance(cutFor - 1ms);
    CHECK(rig.lease.isCurrent());
}
