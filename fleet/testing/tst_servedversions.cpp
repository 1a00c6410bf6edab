// What a control tells of software versions and when it vouches that none is missing, in virtual
// time.

#include <doctest/doctest.h>

#include "coord/testing/fakedisk.h"
#include "fleet/servedversions.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using catalogue::EndpointState;
using coord::testing::FakeDisk;

namespace {

constexpr auto folder = "data";
constexpr auto tickEvery = 100ms;

auto rowOf(const std::string &id, const std::string &version,
           EndpointState state = EndpointState::Ready) -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { id };
    row.service = ServiceId { "s" };
    row.softwareVersion = version;
    row.state = state;
    return row;
}

/// A control's life, and what its gateways know from it.
struct Life
{
    Life(FakeDisk &disk, const Clock &clock, bool isFirstStart)
        : store(folder, disk)
        , served({}, store, clock)
    {
        served.recall(isFirstStart);
    }
    auto tick(bool isCurrent) -> void
    {
        const auto changes = served.tick(isCurrent);
        if (!changes)
            return;
        ++told;
        isComplete = changes->isComplete;
        for (const auto &row : changes->services) {
            if (row.service == ServiceId { "s" })
                versions = row.versions;
        }
    }

    LastKnownStore store;
    ServedVersions served;
    std::vector<std::string> versions;
    bool isComplete = false;
    int told = 0; ///< Number of messages.
};

struct Rig
{
    Rig() { REQUIRE(disk.makeFolder(folder).ok()); }
    auto start(bool isFirstStart = false) -> Life &
    {
        life.reset();
        life = std::make_unique<Life>(disk, clock, isFirstStart);
        return *life;
    }
    auto loseDisk() -> void
    {
        life.reset();
        disk = FakeDisk {};
        REQUIRE(disk.makeFolder(folder).ok());
    }
    /// @return true if it was complete throughout
    auto run(Duration time, bool isCurrent = true) -> bool
    {
        auto always = true;
        for (auto passed = Duration {}; passed < time; passed += tickEvery) {
            life->tick(isCurrent);
            always = always && life->isComplete;
            clock.advance(tickEvery);
        }
        life->tick(isCurrent);
        return always && life->isComplete;
    }

    FakeDisk disk;
    ManualClock clock;
    std::unique_ptr<Life> life;
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("A fleet that starts for the first time is complete once its group is there")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(5min, false); // A founder is late.
    CHECK_FALSE(rig.life->isComplete);
    rig.run(1500ms);
    CHECK(rig.life->isComplete);
}

TEST_CASE("A control that lost its disk is incomplete until it has listened for the window")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2s);
    rig.loseDisk();
    rig.start();
    rig.run(59900ms);
    CHECK_FALSE(rig.life->isComplete);
    rig.run(100ms);
    CHECK(rig.life->isComplete);
}

TEST_CASE("A control that lost its disk and is started as a founder is never complete, nor is its "
          "next life by that disk")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2min, false); // The group exists and does not take it in.
    CHECK_FALSE(rig.life->isComplete);
    rig.start();
    rig.run(30s);
    CHECK_FALSE(rig.life->isComplete);
}

TEST_CASE("After a restart a version that has gone counts for the window from the restart on")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2s);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.life->served.onRow(rowOf("e2", "v2"));
    rig.run(1s);
    rig.life->served.onRow(rowOf("e1", "v1", EndpointState::Gone));
    rig.run(59s);
    CHECK(rig.life->versions == Names { "v1", "v2" });
    rig.start();
    rig.life->tick(true);
    CHECK(rig.life->versions == Names { "v1", "v2" });
    rig.life->served.onRow(rowOf("e2", "v2"));
    rig.run(1500ms);
    CHECK(rig.life->isComplete);
    rig.run(57s);
    CHECK(rig.life->versions == Names { "v1", "v2" });
    rig.run(3s);
    CHECK(rig.life->versions == Names { "v2" });
}

TEST_CASE("A version is saved with the tick that learns of it, and the disk is not waited for")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2s);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.life->tick(true);
    rig.start();
    rig.life->tick(true);
    CHECK(rig.life->versions == Names { "v1" });
}

TEST_CASE("A history that was not complete when it was saved is not complete after a restart")
{
    auto rig = Rig {};
    rig.start();
    rig.run(10s);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.run(1s);
    rig.start();
    rig.run(59s);
    CHECK_FALSE(rig.life->isComplete);
    rig.run(1s);
    CHECK(rig.life->isComplete);
}

TEST_CASE("A control that never reached its group is not complete by the disk it kept meanwhile")
{
    auto rig = Rig {};
    rig.start();
    rig.run(2min, false);
    rig.start();
    rig.run(30s);
    CHECK_FALSE(rig.life->isComplete);
}

// A version that serves meanwhile, and is gone for longer than the other controls remember it, is
// missing from the history on the disk. Gateways that all start anew take the word of one control.
TEST_CASE("A control that was down for long doesn't vouch for the history on its disk")
{
    auto rig = Rig {};
    rig.start(true);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.run(2min);
    CHECK(rig.life->isComplete);
    SUBCASE("down for a short time")
    {
        rig.life.reset();
        rig.clock.advance(20s);
        rig.start();
        rig.run(2s);
        CHECK(rig.life->isComplete);
    }
    SUBCASE("down for long")
    {
        rig.life.reset();
        rig.clock.advance(90s);
        rig.start();
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(1s);
        CHECK(rig.life->isComplete);
    }
    SUBCASE("out of touch before and after it was down, each for a short time")
    {
        rig.run(15s, false);
        rig.start();
        rig.run(20s, false);
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(1s);
        CHECK(rig.life->isComplete);
    }
    SUBCASE("the machine was started anew, so that its monotonic clock began anew")
    {
        auto saved = rig.life->store.loadVersions();
        rig.life.reset();
        saved.bootNanos = (rig.clock.now().time_since_epoch() + Duration { 1s }).count();
        LastKnownStore { folder, rig.disk }.save(saved);
        rig.start();
        rig.run(30s);
        CHECK_FALSE(rig.life->isComplete);
    }
}

TEST_CASE("A control that was down for long takes over the history of one that is complete")
{
    auto rig = Rig {};
    const auto news = [](Names versions, bool isComplete) {
        return proto::VersionNews { { { ServiceId { "s" }, std::move(versions) } }, isComplete };
    };
    rig.start(true);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.run(1min);
    rig.life.reset();
    rig.clock.advance(90s);
    rig.start();
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.life->served.onHistory(NodeId { "n2" }, news({ "v1", "v2" }, false));
    rig.run(5s);
    CHECK_FALSE(rig.life->isComplete);
    SUBCASE("which it has told, and says so later")
    {
        rig.life->served.onHistory(NodeId { "n2" }, { {}, true });
        rig.run(1s);
        CHECK(rig.life->isComplete);
        CHECK(rig.life->versions == Names { "v1", "v2" });
        rig.run(1min); // It counts for the window from then on, whatever the other one says.
        CHECK(rig.life->versions == Names { "v1" });
    }
    SUBCASE("whose connection is still open")
    {
        rig.life->served.onHistory(NodeId { "n2" }, { {}, true });
        rig.life->served.onHistoryLost(NodeId { "n2" });
        rig.run(5s);
        CHECK_FALSE(rig.life->isComplete);
    }
    SUBCASE("and not while it is out of touch itself")
    {
        rig.run(1s, false);
        rig.life->served.onHistory(NodeId { "n2" }, { {}, true });
        rig.run(5s, false);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(2s);
        CHECK(rig.life->isComplete);
    }
}

TEST_CASE("A control that is cut off from its group is incomplete")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2s);
    CHECK(rig.run(1min));
    rig.run(100ms, false);
    CHECK_FALSE(rig.life->isComplete);
    SUBCASE("after a short break until it has the rows of the others")
    {
        rig.run(29s, false);
        rig.run(1400ms);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(100ms);
        CHECK(rig.life->isComplete);
    }
    SUBCASE("after a long break until it has listened for the window, also by its disk")
    {
        rig.run(30s, false);
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
        rig.start();
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(1s);
        CHECK(rig.life->isComplete);
    }
}

// Guards against a control that vouches for what it knew before it stood still.
TEST_CASE("A gateway that asks is told the versions of this moment, and whether none is missing")
{
    auto rig = Rig {};
    auto &life = rig.start(true);
    const auto ask = [&](bool isInTouch) {
        auto reply = proto::StreamOriginReply {};
        life.served.addTo(reply, ServiceId { "s" }, isInTouch);
        return reply;
    };
    CHECK_FALSE(ask(true).isComplete);
    life.served.onRow(rowOf("i-1", "v1"));
    for (auto passed = 0ms; passed < 5s; passed += tickEvery) {
        rig.clock.advance(tickEvery);
        life.tick(true);
    }
    CHECK(ask(true).isComplete);
    CHECK(ask(true).versions == std::vector<std::string> { "v1" });
    life.served.onRow(rowOf("i-2", "v2"));
    CHECK(ask(true).versions == std::vector<std::string> { "v1", "v2" });
    CHECK_FALSE(ask(false).isComplete);
}

// Guards against a control that vouches for a history without what it missed while it stood still.
TEST_CASE("The time for which a control stood still counts as time out of touch")
{
    auto rig = Rig {};
    rig.start(true);
    rig.run(2s);
    CHECK(rig.run(1min));
    SUBCASE("for longer than others keep what it missed, in touch at its first tick")
    {
        rig.clock.advance(90s);
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(1s);
        CHECK(rig.life->isComplete);
    }
    SUBCASE("for longer than others keep what it missed, out of touch at first")
    {
        rig.clock.advance(90s);
        rig.run(500ms, false);
        rig.run(59s);
        CHECK_FALSE(rig.life->isComplete);
    }
    SUBCASE("for a few seconds, until it has the rows of the others")
    {
        rig.clock.advance(5s);
        auto reply = proto::StreamOriginReply {};
        rig.life->served.addTo(reply, ServiceId { "s" }, true);
        CHECK_FALSE(reply.isComplete);
        rig.run(1400ms);
        CHECK_FALSE(rig.life->isComplete);
        rig.run(100ms);
        CHECK(rig.life->isComplete);
    }
}

TEST_CASE("Nothing is told while one version serves, and each change once")
{
    auto rig = Rig {};
    rig.start(true);
    rig.life->served.onRow(rowOf("e1", "v1"));
    rig.run(2s);
    CHECK(rig.life->told == 2); // The version, and that none is missing.
    for (auto i = 0; i < 100; ++i) {
        rig.life->served.onRow(rowOf("e" + std::to_string(i), "v1"));
        rig.run(1s);
    }
    for (auto i = 1; i < 100; ++i)
        rig.life->served.onForgotten(EndpointId { "e" + std::to_string(i) });
    rig.run(2min);
    CHECK(rig.life->told == 2);
    rig.life->served.onRow(rowOf("e1", "v2"));
    rig.run(10s);
    CHECK(rig.life->told == 3);
    rig.life->served.onForgotten(EndpointId { "e1" });
    rig.run(59s);
    CHECK(rig.life->told == 3);
    CHECK(rig.life->versions == Names { "v1", "v2" });
    rig.run(3s);
    CHECK(rig.life->told == 4);
    CHECK(rig.life->versions == Names { "v1" });
}
