// Tests that a group keeps its members over losses: with a replica, a GroupManager and a
// GroupContact on each control, in virtual time.

#include <doctest/doctest.h>

#include <set>

#include "fleet/testing/groupsim.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using fleet::testing::GroupSim;

namespace {

using Names = std::vector<std::string>;

const auto five = Names { "a", "b", "c", "d", "e" };
const auto nine = Names { "a", "b", "c", "d", "e", "f", "g", "h", "i" };
/// Time in which a control that is back is a voter again, by the deployments' sheets.
constexpr auto catchUp = 4s;

/// How a control is lost for some time.
enum class Loss : std::uint8_t { Killed, Cut, Paused };
constexpr auto losses = std::uint64_t { 3 };

auto lose(GroupSim &group, const std::string &name, Loss how) -> void
{
    auto &node = group.cluster().node(name);
    switch (how) {
    case Loss::Killed:
        return group.kill(node);
    case Loss::Cut:
        return group.cluster().isolate(node, true, true);
    case Loss::Paused:
        return group.cluster().pause(node);
    }
}

auto bringBack(GroupSim &group, const std::string &name, Loss how) -> void
{
    auto &node = group.cluster().node(name);
    switch (how) {
    case Loss::Killed:
        return group.start(node);
    case Loss::Cut:
        for (const auto *other : group.cluster().nodes()) {
            group.cluster().cut(node.name, other->name, false);
            group.cluster().cut(other->name, node.name, false);
        }
        return;
    case Loss::Paused:
        return group.cluster().resume(node);
    }
}

/// All processes end, the disks of some controls are lost, and all come back.
auto finalFault(GroupSim &group, const Names &names, const Names &withoutDisk) -> void
{
    for (const auto &name : names)
        group.kill(group.cluster().node(name));
    for (const auto &name : withoutDisk)
        group.cluster().wipe(group.cluster().node(name));
    group.cluster().run(800ms);
    for (const auto &name : names)
        group.start(group.cluster().node(name));
}

} // namespace

TEST_CASE("A control that was removed while it was down is a voter again once it is back")
{
    for (const auto how : { Loss::Killed, Loss::Cut, Loss::Paused }) {
        auto group = GroupSim { five, 1 };
        lose(group, "d", how);
        group.cluster().run(12s);
        CHECK(group.missingVoters(five) == "d ");
        bringBack(group, "d", how);
        group.cluster().run(catchUp);
        CHECK(group.missingVoters(five).empty());
        CHECK(group.contactOf(group.cluster().node("d")).isInTouch());
    }
}

// The disks of all controls list them all, though the group has gone on without some of them.
TEST_CASE("An acknowledged change outlives a final fault after controls were down in series")
{
    auto group = GroupSim { nine, 2 };
    for (const auto &down : { Names { "i", "h" }, Names { "g", "f" }, Names { "e" } }) {
        for (const auto &name : down)
            lose(group, name, Loss::Killed);
        group.cluster().run(12s);
        for (const auto &name : down)
            bringBack(group, name, Loss::Killed);
        group.cluster().run(6s);
        CHECK(group.missingVoters(nine).empty());
    }
    REQUIRE(group.commit("acknowledged"));
    const auto acknowledged = group.cluster().committed();
    finalFault(group, nine, { "c", "d" });
    group.cluster().run(15s);
    REQUIRE(group.cluster().leader() != nullptr);
    CHECK(group.cluster().leader()->replica->status().appliedIndex >= acknowledged);
    CHECK(group.missingVoters(nine).empty());
}

TEST_CASE("Controls come back beside a leader change, two at once, and with an empty disk")
{
    auto group = GroupSim { nine, 3 };
    SUBCASE("the leader is lost as they return")
    {
        lose(group, "h", Loss::Killed);
        group.cluster().run(12s);
        auto &leader = *group.cluster().leader();
        group.kill(leader);
        bringBack(group, "h", Loss::Killed);
        group.cluster().run(1s);
        group.start(leader);
    }
    SUBCASE("two at once")
    {
        lose(group, "h", Loss::Cut);
        lose(group, "i", Loss::Killed);
        group.cluster().run(12s);
        bringBack(group, "h", Loss::Cut);
        bringBack(group, "i", Loss::Killed);
    }
    SUBCASE("without its disk")
    {
        group.cluster().wipe(group.cluster().node("h"));
        group.cluster().run(12s);
        bringBack(group, "h", Loss::Killed);
    }
    SUBCASE("after a short loss of the disk")
    {
        group.cluster().wipe(group.cluster().node("h"));
        bringBack(group, "h", Loss::Killed);
    }
    group.cluster().run(catchUp);
    CHECK(group.missingVoters(nine).empty());
}

TEST_CASE("A learner that was removed while it was cut off joins again")
{
    auto group = GroupSim { five, 5 };
    auto &learner = group.join("x");
    while (learner.replica->status().membership.find(learner.name) == nullptr)
        group.cluster().run(1ms);
    lose(group, "x", Loss::Cut);
    group.cluster().run(12s);
    CHECK(learner.replica->status().role == coord::Role::Learner);
    CHECK(group.cluster().leader()->replica->status().membership.find(learner.name) == nullptr);
    bringBack(group, "x", Loss::Cut);
    group.cluster().run(catchUp);
    CHECK(group.missingVoters({ "x" }).empty());
}

TEST_CASE("A control that is new becomes a voter, and one that is gone for good leaves the group")
{
    auto group = GroupSim { five, 4 };
    lose(group, "e", Loss::Killed);
    group.join("x");
    group.cluster().run(12s);
    CHECK(group.missingVoters({ "a", "b", "c", "d", "x" }).empty());
    CHECK(group.missingVoters({ "e" }) == "e ");
}

TEST_CASE("Groups keep their voters and what they acknowledged over random series of losses")
{
    constexpr auto seeds = std::uint64_t { 40 };
    constexpr auto rounds = 6;
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto random = Random { seed };
        const auto &names = random.chance(0.5) ? five : nine;
        const auto atOnce = names.size() == nine.size() ? std::size_t { 2 } : std::size_t { 1 };
        auto group = GroupSim { names, seed };
        const auto drawSome = [&] {
            auto some = std::set<std::string> {};
            const auto count = 1 + random.below(atOnce);
            while (some.size() < count)
                some.insert(names[random.below(names.size())]);
            return Names { some.begin(), some.end() };
        };
        for (auto round = 0; round < rounds; ++round) {
            const auto how = static_cast<Loss>(random.below(losses));
            const auto lost = drawSome();
            for (const auto &name : lost)
                lose(group, name, how);
            group.cluster().run(std::chrono::seconds { 9 + random.below(12) });
            CHECK(group.commit("while lost"));
            for (const auto &name : lost)
                bringBack(group, name, how);
            group.cluster().run(catchUp);
            REQUIRE(group.missingVoters(names).empty());
        }
        REQUIRE(group.commit("acknowledged"));
        const auto acknowledged = group.cluster().committed();
        finalFault(group, names, drawSome());
        group.cluster().run(15s);
        REQUIRE(group.cluster().leader() != nullptr);
        CHECK(group.cluster().leader()->replica->status().appliedIndex >= acknowledged);
        CHECK(group.missingVoters(names).empty());
    }
}
