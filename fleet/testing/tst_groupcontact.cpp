// Tests when a control counts as a member of its group.

#include <doctest/doctest.h>

#include "core/clock.h"
#include "fleet/groupcontact.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

struct ContactRig
{
    ManualClock clock;
    GroupContact contact { { .self = NodeId { "a" } }, clock };
    coord::ReplicaStatus status;

    ContactRig()
    {
        status.role = coord::Role::Follower;
        status.incarnation = Incarnation { 7 };
        list("a", 7, coord::MemberKind::Voter);
        list("b", 8, coord::MemberKind::Voter);
    }
    auto list(const char *node, std::uint64_t incarnation, coord::MemberKind kind) -> void
    {
        auto member = coord::Member {};
        member.node = NodeId { node };
        member.incarnation = Incarnation { incarnation };
        member.kind = kind;
        status.membership.members.push_back(member);
    }
    auto observeLeader(const char *leader) -> void
    {
        status.leader = NodeId { leader };
        contact.observe(status);
    }
};

} // namespace

TEST_CASE("A control that finds itself on its disk asks to join until it has a leader")
{
    auto rig = ContactRig {};
    rig.observeLeader("");
    CHECK(rig.contact.isListed());
    CHECK(rig.contact.shouldJoin());
    CHECK_FALSE(rig.contact.isCurrent());
    CHECK_FALSE(rig.contact.isInTouch());
    rig.observeLeader("b");
    CHECK_FALSE(rig.contact.shouldJoin());
    CHECK(rig.contact.isInTouch());
    CHECK(rig.contact.isVoter());
}

TEST_CASE("A control stays in touch over an election and not for longer")
{
    auto rig = ContactRig {};
    rig.observeLeader("b");
    rig.observeLeader("");
    rig.clock.advance(2400ms);
    rig.contact.observe(rig.status);
    CHECK(rig.contact.isInTouch());
    CHECK(rig.contact.shouldJoin());
    rig.clock.advance(100ms);
    CHECK_FALSE(rig.contact.isInTouch());
}

TEST_CASE("A control that the membership lists with another disk, or not at all, is no member")
{
    auto rig = ContactRig {};
    SUBCASE("another disk")
    {
        rig.status.membership.members.front().incarnation = Incarnation { 6 };
    }
    SUBCASE("not listed")
    {
        rig.status.membership.members.erase(rig.status.membership.members.begin());
    }
    rig.observeLeader("b");
    CHECK(rig.contact.shouldJoin());
    CHECK(rig.contact.isCurrent());
    CHECK_FALSE(rig.contact.isInTouch());
    CHECK_FALSE(rig.contact.isVoter());
}

TEST_CASE("A leader without a lease may have been replaced")
{
    auto rig = ContactRig {};
    rig.status.role = coord::Role::Leader;
    rig.observeLeader("a");
    CHECK_FALSE(rig.contact.hasLeader());
    rig.status.leaseHeld = true;
    rig.observeLeader("a");
    CHECK(rig.contact.isInTouch());
}

TEST_CASE("A control whose disk has failed does not ask to join")
{
    auto rig = ContactRig {};
    rig.status.role = coord::Role::Stopped;
    rig.observeLeader("");
    CHECK_FALSE(rig.contact.shouldJoin());
}
