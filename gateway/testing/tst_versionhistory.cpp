// What a gateway knows of software versions and of owners of origins, in virtual time.

#include <doctest/doctest.h>

#include "gateway/testing/feedrig.h"
#include "gateway/versionhistory.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
using catalogue::EndpointState;

namespace {

using Names = std::set<std::string>;
using Versions = std::vector<std::string>;

const auto service = ServiceId { "s" };
const auto n1 = Address { "10.0.0.1", 1 };
const auto n2 = Address { "10.0.0.2", 1 };

auto rowOf(const std::string &version, EndpointState state = EndpointState::Ready)
        -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { "e-" + version };
    row.service = service;
    row.softwareVersion = version;
    row.state = state;
    return row;
}

struct Rig
{
    Rig()
    {
        history.setOnSecondVersion([this](const ServiceId &its) { seconds.push_back(its); });
    }
    auto beat(const Address &control, bool isCurrent = true) -> void
    {
        auto update = proto::ServingUpdate {};
        update.isCurrent = isCurrent;
        history.onUpdate(control, update);
    }
    auto tell(const Address &control, const Versions &versions, bool isComplete,
              bool isCurrent = true) -> void
    {
        auto update = proto::ServingUpdate {};
        update.isCurrent = isCurrent;
        update.softwareVersions = proto::VersionNews { { { service, versions } }, isComplete };
        history.onUpdate(control, update);
    }
    auto list(const Address &control, const std::vector<std::string> &names) -> void
    {
        auto update = proto::ServingUpdate {};
        update.originOwners.emplace();
        for (const auto &name : names)
            update.originOwners->push_back({ NodeId { name }, { name, 1 }, DomainId { "d" } });
        history.onUpdate(control, update);
    }
    auto run(Duration time, const std::vector<Address> &beating) -> void
    {
        for (auto passed = Duration {}; passed < time; passed += 1s) {
            clock.advance(1s);
            for (const auto &control : beating)
                beat(control);
        }
    }
    auto versions() const -> Names { return history.versionsOf(service); }
    auto owners() const -> Names
    {
        auto result = Names {};
        for (const auto &owner : history.owners())
            result.insert(owner.node.value());
        return result;
    }

    ManualClock clock;
    VersionHistory history { {}, clock };
    std::vector<ServiceId> seconds; ///< Services that got a second version.
};

} // namespace

TEST_CASE("Versions are those of all connected controls, and of rows within the window")
{
    auto rig = Rig {};
    rig.tell(n1, { "v1" }, true);
    rig.tell(n2, { "v2" }, true);
    rig.history.onRows({ rowOf("v3"), rowOf("v4", EndpointState::Gone) });
    auto unknown = rowOf("", EndpointState::Gone); // Its writer knows no more than the name.
    rig.history.onRows({ unknown });
    CHECK(rig.versions() == Names { "v1", "v2", "v3", "v4" });
    rig.run(59s, { n1, n2 });
    CHECK(rig.versions() == Names { "v1", "v2", "v3", "v4" });
    rig.run(1s, { n1, n2 });
    CHECK(rig.versions() == Names { "v1", "v2" });
    rig.tell(n2, {}, true);
    CHECK(rig.versions() == Names { "v1" });
    CHECK(rig.history.versionsOf(ServiceId { "other" }).empty());
}

TEST_CASE("What a control said counts for the window after its connection closed")
{
    auto rig = Rig {};
    rig.tell(n1, { "v1" }, true);
    rig.beat(n2);
    rig.run(1h, { n1, n2 });
    rig.history.onControlClosed(n1);
    rig.run(59s, { n2 });
    CHECK(rig.versions() == Names { "v1" });
    rig.run(1s, { n2 });
    CHECK(rig.versions().empty());
}

// Endpoints go on serving requests of a gateway that reaches no control.
TEST_CASE("No version ends while no control is connected, nor within the window after")
{
    auto rig = Rig {};
    rig.tell(n1, { "v1" }, true);
    rig.history.onRows({ rowOf("v2") });
    rig.run(30s, { n1 });
    rig.history.onControlClosed(n1);
    rig.clock.advance(1h);
    rig.history.onRows({ rowOf("v3") });
    CHECK(rig.versions() == Names { "v1", "v2", "v3" });
    rig.clock.advance(1h);
    CHECK(rig.versions() == Names { "v1", "v2", "v3" });
    rig.tell(n2, { "v1" }, false);
    rig.run(59s, { n2 });
    CHECK(rig.versions() == Names { "v1", "v2", "v3" });
    rig.run(1s, { n2 });
    CHECK(rig.versions() == Names { "v1" });
}

TEST_CASE("No version ends because a control that is cut off from its group forgets it")
{
    auto rig = Rig {};
    rig.tell(n1, { "v1", "v2" }, true);
    rig.run(10s, { n1 });
    rig.beat(n1, false);
    rig.clock.advance(90s);
    rig.tell(n1, { "v1" }, true, false);
    rig.clock.advance(1h);
    CHECK(rig.versions() == Names { "v1", "v2" });
}

TEST_CASE("A control's word that none is missing counts while it is connected and current")
{
    auto rig = Rig {};
    CHECK_FALSE(rig.history.isComplete());
    rig.tell(n1, { "v1" }, true);
    CHECK(rig.history.isComplete());
    SUBCASE("not if it is cut off from its group")
    {
        rig.beat(n1, false);
        CHECK_FALSE(rig.history.isComplete());
        rig.beat(n1);
        CHECK(rig.history.isComplete());
    }
    SUBCASE("not after its connection closed")
    {
        rig.beat(n2);
        rig.history.onControlClosed(n1);
        CHECK_FALSE(rig.history.isComplete());
    }
    SUBCASE("not if it takes its word back")
    {
        rig.tell(n1, { "v1" }, false);
        CHECK_FALSE(rig.history.isComplete());
    }
    SUBCASE("while another one does not say so")
    {
        rig.tell(n2, { "v1" }, false);
        CHECK(rig.history.isComplete());
    }
}

TEST_CASE("A gateway that was in touch for the whole window misses none, whatever controls say")
{
    auto rig = Rig {};
    rig.tell(n1, {}, false);
    rig.run(30s, { n1 });
    rig.beat(n2);
    rig.history.onControlClosed(n1); // There was always one.
    rig.run(29s, { n2 });
    CHECK_FALSE(rig.history.isComplete());
    rig.run(1s, { n2 });
    CHECK(rig.history.isComplete());
    SUBCASE("until the last control closes")
    {
        rig.history.onControlClosed(n2);
        CHECK_FALSE(rig.history.isComplete());
        rig.beat(n2);
        rig.run(59s, { n2 });
        CHECK_FALSE(rig.history.isComplete());
    }
    SUBCASE("until the last control is cut off from its group")
    {
        rig.beat(n2, false);
        CHECK_FALSE(rig.history.isComplete());
        rig.run(59s, { n2 });
        CHECK_FALSE(rig.history.isComplete());
    }
}

TEST_CASE("A second version is told once, whoever says so")
{
    auto rig = Rig {};
    rig.tell(n1, { "v1" }, true);
    rig.tell(n2, { "v1" }, true);
    rig.history.onRows({ rowOf("v1") });
    CHECK(rig.seconds.empty());
    rig.history.onRows({ rowOf("v2") });
    CHECK(rig.seconds == std::vector { service });
    rig.tell(n1, { "v1", "v2" }, true);
    rig.tell(n2, { "v1", "v2" }, true);
    rig.tell(n2, { "v1", "v2", "v3" }, true);
    rig.history.onControlClosed(n1);
    CHECK(rig.seconds.size() == 1);
    rig.tell(n2, { "v2" }, true);
    rig.run(60s, { n2 });
    CHECK(rig.versions() == Names { "v2" });
    CHECK(rig.seconds.size() == 1);
    rig.tell(n2, { "v2", "v3" }, true); // Again one, and now another second one.
    CHECK(rig.seconds.size() == 2);
}

TEST_CASE("Partial lists of owners add up, and a gateway that no control lists ends after a while")
{
    auto rig = Rig {};
    rig.list(n1, { "a", "b" });
    rig.list(n2, { "b", "c" });
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.list(n1, { "b" });
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.run(7s, { n1, n2 });
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.run(2s, { n1, n2 });
    CHECK(rig.owners() == Names { "b", "c" });
}

TEST_CASE("Owners are kept without controls, and a control that has just started drops none")
{
    auto rig = Rig {};
    rig.list(n1, { "a", "b", "c" });
    rig.history.onControlClosed(n1);
    rig.clock.advance(1h);
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.list(n2, {});
    rig.run(1min, { n2 });
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.list(n2, { "a" });
    rig.run(3s, { n2 });
    rig.list(n2, { "a", "b" });
    rig.run(3s, { n2 });
    CHECK(rig.owners() == Names { "a", "b", "c" });
    rig.run(6s, { n2 });
    CHECK(rig.owners() == Names { "a", "b" });
}

TEST_CASE("An owner that starts again is known by its newest address")
{
    auto rig = Rig {};
    rig.list(n1, { "a" });
    auto update = proto::ServingUpdate {};
    update.originOwners = { { NodeId { "a" }, { "10.1.1.1", 9 }, DomainId { "d" } } };
    rig.history.onUpdate(n2, update);
    rig.run(20s, { n1, n2 });
    REQUIRE(rig.history.owners().size() == 1);
    CHECK(rig.history.owners()[0].address == Address { "10.1.1.1", 9 });
}

TEST_CASE("A feed says which control an update came from")
{
    auto rig = FeedRig { "n1" };
    auto feed = std::unique_ptr<ControlFeed> {};
    auto from = std::set<Address> {};
    auto options = ControlFeedOptions {};
    options.channel = channelOf("g");
    for (const auto &[name, control] : rig.controls)
        options.seeds.push_back(control->address());
    auto hooks = ControlFeedHooks {};
    hooks.onUpdate
            = [&](const Address &control, const proto::ServingUpdate &) { from.insert(control); };
    hooks.suspects = [] { return std::vector<catalogue::SuspectRow> {}; };
    feed = std::make_unique<ControlFeed>(rig.context, options, rig.clock, std::move(hooks));
    feed->start();
    rig.runUntil([&] { return from.size() == 3; });
    for (const auto &[name, control] : rig.controls)
        CHECK(from.contains(control->address()));
    feed->stop();
}
