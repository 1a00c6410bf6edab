#include <doctest/doctest.h>
#include <sys/resource.h>

#include "coord/membership.h"
#include "coord/rolemachine.h"
#include "core/check.h"
#include "core/error.h"
#include "core/random.h"

using namespace figrack;
using namespace figrack::coord;

namespace {

auto member(const char *name, std::uint64_t incarnation, MemberKind kind) -> Member
{
    return { NodeId { name }, Incarnation { incarnation }, kind, DomainId { "d" }, "127.0.0.1:1" };
}

struct CheckFailed
{ };

} // namespace

TEST_CASE("membership keeps order, counts voters and survives its encoding")
{
    auto membership = Membership {};
    membership = withMember(membership, member("c", 3, MemberKind::Learner));
    membership = withMember(membership, member("a", 1, MemberKind::Voter));
    membership = withMember(membership, member("b", 2, MemberKind::Voter));
    CHECK(membership.members[0].node == NodeId { "a" });
    CHECK(membership.members[2].node == NodeId { "c" });
    CHECK(membership.voterCount() == 2);
    CHECK(membership.quorum() == 2);
    CHECK(listsVoter(membership, NodeId { "a" }, Incarnation { 1 }));
    CHECK_FALSE(listsVoter(membership, NodeId { "a" }, Incarnation { 2 }));
    CHECK_FALSE(listsVoter(membership, NodeId { "c" }, Incarnation { 3 }));
    CHECK(listsDisk(membership, NodeId { "c" }, Incarnation { 3 }));
    auto back = decodeMembership(encodeMembership(membership));
    REQUIRE(back.ok());
    CHECK(*back == membership);
    CHECK(withoutMember(membership, NodeId { "b" }).find(NodeId { "b" }) == nullptr);
}

TEST_CASE("decoding a membership takes any bytes")
{
    auto random = Random { 7 };
    auto good = encodeMembership(withMember(Membership {}, member("a", 1, MemberKind::Voter)));
    for (auto round = 0; round < 2000; ++round) {
        auto bytes = good;
        bytes[random.below(bytes.size())] = static_cast<char>(random.bits());
        bytes.resize(random.below(bytes.size() + 1));
        auto decoded = decodeMembership(bytes);
        if (!decoded.ok())
            CHECK(errorKind(decoded.status()) == ErrorKind::Malformed);
    }
}

TEST_CASE("a forged length in a membership asks for no memory")
{
    // 8 bytes of count, then the length of the first name: its fifth byte adds 4 GiB.
    auto bytes = encodeMembership(withMember(Membership {}, member("a", 1, MemberKind::Voter)));
    bytes[8 + 4] = 1;
    auto limit = rlimit {};
    REQUIRE(getrlimit(RLIMIT_AS, &limit) == 0);
    auto tight = limit;
    tight.rlim_cur = rlim_t { 2 } << 30;
    REQUIRE(setrlimit(RLIMIT_AS, &tight) == 0);
    auto decoded = decodeMembership(bytes);
    REQUIRE(setrlimit(RLIMIT_AS, &limit) == 0);
    CHECK(errorKind(decoded.status()) == ErrorKind::Malformed);
    CHECK(decoded.status().message().find("bad_alloc") == absl::string_view::npos);
}

TEST_CASE("an event that a role may not take fails a check")
{
    auto before = setCheckHandler([](const char *, const char *) { throw CheckFailed {}; });
    auto roles = RoleMachine {};
    CHECK(roles.role() == Role::Learner);
    CHECK_THROWS_AS(roles.handle(RoleEvent::VoteWon), CheckFailed);
    roles.handle(RoleEvent::Enfranchised);
    roles.handle(RoleEvent::ElectionTimeout);
    roles.handle(RoleEvent::PreVoteWon);
    roles.handle(RoleEvent::VoteWon);
    CHECK(roles.role() == Role::Leader);
    CHECK_THROWS_AS(roles.handle(RoleEvent::PreVoteWon), CheckFailed);
    roles.handle(RoleEvent::Failed);
    CHECK(roles.role() == Role::Stopped);
    CHECK_THROWS_AS(roles.handle(RoleEvent::Enfranchised), CheckFailed);
    setCheckHandler(before);
}
