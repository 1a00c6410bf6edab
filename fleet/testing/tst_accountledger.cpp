// Charges of requests that a balancer queues, in virtual time and without a network.

#include <doctest/doctest.h>

#include "fleet/accountledger.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

const auto gateway = NodeId { "g1" };

/// A ledger of a control that hears its group, and an account whose limit is used up by a few
/// requests.
struct World
{
    World()
    {
        clock.advance(20s); // A ledger that has just started counts its accounts as nearly full.
        ledger.tick(true);
    }
    auto pick(std::uint64_t ticket) -> bool
    {
        auto request = proto::PickRequest {};
        request.ticket = ticket;
        request.candidates = { EndpointId { "i-1" } };
        request.limitMs = 5000;
        request.charge = catalogue::AccountCharge {
            AccountId { "a" }, 1000, { 1000, 0 }, Revision { 1 }, 0
        };
        return !ledger.refuse(gateway, request);
    }
    /// Makes requests until one is refused for the limit. @return number that was admitted
    auto fill() -> std::uint64_t
    {
        const auto before = ticket;
        while (pick(++ticket))
            REQUIRE(ticket < 1000);
        return ticket - 1 - before;
    }
    auto reply(std::uint64_t itsTicket, const proto::PickReply &reply) -> void
    {
        ledger.onReply(gateway, itsTicket, reply);
    }

    ManualClock clock;
    Registry registry { {}, clock };
    AccountLedger ledger { {}, registry, clock, Incarnation { 1 } };
    std::uint64_t ticket = 0;
};

auto queued() -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.isQueued = true;
    return reply;
}

auto refused() -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.refusal = proto::PickRefusal::NoRoom;
    reply.comeBackMs = 100;
    return reply;
}

} // namespace

TEST_CASE("A queued request keeps its charge, so that its account cannot exceed its limit by it")
{
    auto world = World {};
    REQUIRE(world.fill() > 0);
    world.reply(1, queued());
    CHECK_FALSE(world.pick(2000));
}

TEST_CASE("A wait that is refused or cancelled gives the charge back, and only once")
{
    auto world = World {};
    REQUIRE(world.fill() > 0);
    world.reply(1, queued());
    SUBCASE("the balancer refuses it")
    {
        world.reply(1, refused());
    }
    SUBCASE("its gateway cancels it")
    {
        world.ledger.onEnd(gateway, { 1 });
    }
    SUBCASE("the balancer refuses it, and its gateway confirms that")
    {
        world.reply(1, refused());
        world.ledger.onEnd(gateway, { 1 });
    }
    CHECK(world.pick(2000));
    CHECK_FALSE(world.pick(2001));
}

TEST_CASE("A queued request that was granted and ran keeps its charge")
{
    auto world = World {};
    REQUIRE(world.fill() > 0);
    world.reply(1, queued());
    auto granted = proto::PickReply {};
    granted.endpoint = EndpointId { "i-1" };
    world.reply(1, granted);
    world.ledger.onEnd(gateway, { 1, 50, proto::PickOutcome::OnTime, true });
    CHECK_FALSE(world.pick(2000));
}
