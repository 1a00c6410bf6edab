// Which control a gateway asks for picks, over loopback channels.

#include <doctest/doctest.h>

#include "gateway/testing/feedrig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("All gateways ask the same control, and the leader only if there is no other")
{
    for (const auto *leader : { "n1", "n2", "n3" }) {
        auto rig = FeedRig { leader };
        const auto first = rig.pick(rig.addFeed("g1"));
        CHECK_FALSE(first.empty());
        CHECK(first != leader);
        CHECK(rig.pick(rig.addFeed("g2")) == first);
    }
}

// Guards against a subscription without the capacity: the gateway would count as one of mean size.
TEST_CASE("A gateway tells every control its capacity, also when it subscribes again")
{
    auto rig = FeedRig { "n3" };
    auto options = ControlFeedOptions {};
    options.capacity = 90;
    auto &feed = rig.addFeed("g1", options);
    for (auto &[name, control] : rig.controls)
        CHECK(std::exchange(control->capacity, 0) == 90);
    feed.setReady(true);
    rig.runUntil([&] {
        return std::all_of(rig.controls.begin(), rig.controls.end(),
                           [](const auto &item) { return item.second->capacity == 90; });
    });
}

TEST_CASE("A control that does not answer is not asked for a while, and its booking is ended")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    const auto first = rig.pick(feed);
    auto &silent = *rig.controls.at(first);
    silent.isSilent = true;
    CHECK(rig.pick(feed).empty());
    rig.runUntil([&] { return silent.ended == 1; });
    const auto second = rig.pick(feed);
    CHECK_FALSE(second.empty());
    CHECK(second != first);
    silent.isSilent = false;
    rig.clock.advance(ControlFeedOptions {}.balancerPause);
    CHECK(rig.pick(feed) == first);
}

// Guards against asking controls that are cut off from their group again each second: with several
// of them, each request spent its tries there.
TEST_CASE("A control that cannot count for accounts is not asked for longer than a silent one")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    const auto first = rig.pick(feed);
    rig.controls.at(first)->isIsolated = true;
    CHECK(rig.pick(feed).empty());
    rig.clock.advance(ControlFeedOptions {}.balancerPause);
    const auto second = rig.pick(feed);
    CHECK_FALSE(second.empty());
    CHECK(second != first);
    rig.controls.at(first)->isIsolated = false;
    rig.clock.advance(ControlFeedOptions {}.isolatedPause);
    CHECK(rig.pick(feed) == first);
}

// Guards against a check that is made only at the end of the latest pause, and only once.
TEST_CASE("The end of each control's pause is noticed, also where another one began meanwhile")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    auto &first = *rig.controls.at(rig.pick(feed));
    first.isIsolated = true;
    CHECK(rig.pick(feed).empty());
    auto &second = *rig.controls.at(rig.pick(feed));
    second.isSilent = true;
    CHECK(rig.pick(feed).empty());
    rig.runUntil([&] { return rig.balancers.back() == second.address(); });
    rig.runUntil([&] { return rig.balancers.back() == first.address(); });
}

TEST_CASE("The leader balances if it is the only control connected; without a control there is no "
          "balancer")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    rig.controls.at("n1")->server->stop();
    rig.controls.at("n2")->server->stop();
    rig.runUntil([&] { return feed.connected() == 1; });
    CHECK(rig.pick(feed) == "n3");
    rig.controls.at("n3")->server->stop();
    rig.runUntil([&] { return feed.connected() == 0; });
    CHECK_FALSE(feed.balancerLink().ask({}, 200ms, [](const auto &) {}));
    CHECK_FALSE(feed.balancerLink().tell({}));
}

TEST_CASE("Suspected work is sent to all controls, also to one that connects later")
{
    auto rig = FeedRig { "n1" };
    rig.controls.at("n2")->suspects.resize(2);
    rig.suspects.resize(1);
    auto &feed = rig.addFeed("g1");
    const auto allHeard = [&](std::size_t count) {
        return std::all_of(rig.controls.begin(), rig.controls.end(),
                           [&](const auto &item) { return item.second->suspectsHeard == count; });
    };
    rig.runUntil([&] { return allHeard(1) && rig.suspectsTold == 2; });
    feed.sendSuspects(std::vector<catalogue::SuspectRow>(3));
    rig.runUntil([&] { return allHeard(4); });
}

TEST_CASE("A grant of a balancer is passed on")
{
    auto rig = FeedRig { "n3" };
    auto &control = *rig.controls.at(rig.pick(rig.addFeed("g1")));
    control.asker->send({ 0, proto::PickGrant { 5, {} } });
    rig.runUntil([&] { return rig.grants == std::vector<std::uint64_t> { 5 }; });
}

TEST_CASE("Queued requests learn that a balancer closed its connection, and which one is next")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    auto &control = *rig.controls.at(rig.pick(feed));
    const auto address = control.address();
    REQUIRE_FALSE(rig.balancers.empty());
    CHECK(rig.balancers.back() == address);
    control.server->stop();
    rig.runUntil([&] { return rig.closed == std::vector { address }; });
    const auto &next = *rig.controls.at(rig.pick(feed));
    CHECK(rig.balancers.back() == next.address());
}

TEST_CASE("Queued requests learn that a balancer does not answer, and that it may be asked again")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    auto &control = *rig.controls.at(rig.pick(feed));
    const auto address = control.address();
    REQUIRE_FALSE(rig.balancers.empty());
    REQUIRE(rig.balancers.back() == address);
    control.isSilent = true;
    CHECK(rig.pick(feed).empty());
    // Reported before another pick is made: the requests that wait there must not wait for one.
    CHECK(rig.balancers.back().has_value());
    CHECK(rig.balancers.back() != address);
    CHECK(rig.closed.empty());
    rig.runUntil([&] { return rig.balancers.back() == address; });
}

TEST_CASE("Retries are asked of the leader alone, and of nobody while there is none")
{
    const auto isGranted = [](FeedRig &rig, ControlFeed &feed) {
        auto granted = std::optional<bool> {};
        const auto isAsked = feed.askRetry({ ServiceId { "s" } }, 1s, [&](const auto &reply) {
            granted = reply && reply->isGranted;
        });
        if (isAsked)
            rig.runUntil([&] { return granted.has_value(); });
        return isAsked && granted.value_or(false);
    };
    SUBCASE("one leads")
    {
        auto rig = FeedRig { "n2" };
        CHECK(isGranted(rig, rig.addFeed("g1")));
        for (const auto &[name, control] : rig.controls)
            CHECK(control->askedForRetries == (name == "n2" ? 1 : 0));
    }
    SUBCASE("the leader is not connected")
    {
        auto rig = FeedRig { "n9" };
        CHECK_FALSE(isGranted(rig, rig.addFeed("g1")));
    }
}
