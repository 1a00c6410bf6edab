// How a gateway uses the leader's load schedule.

#include <doctest/doctest.h>

#include "gateway/loadwatch.h"
#include "gateway/testing/feedrig.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
using proto::ScheduledLoadState;

namespace {

const auto target = DemandTarget { ServiceId { "s" }, ModelId { "m0" }, {} };

auto scheduleOf(std::uint64_t term, std::uint64_t number, ScheduledLoadState state,
                std::uint64_t readyInMs) -> proto::LoadSchedule
{
    return { Term { term }, number, { { target.service, target.model, {}, state, readyInMs } } };
}

auto requestFor(const std::string &id) -> http::ClientRequest
{
    auto request = Rig::request("/once/x", id);
    request.headers.push_back({ "X-Model", "m0" });
    return request;
}

auto comeBackMs(const Got &got) -> int
{
    return std::stoi(std::string { http::findHeader(got.headers, "X-Come-Back") });
}

} // namespace

// Guards against the schedule of a deposed leader that arrives late.
TEST_CASE("The newest schedule counts, by term and then by number")
{
    auto clock = ManualClock {};
    auto watch = LoadWatch { {}, clock };
    CHECK(watch.onSchedule(scheduleOf(2, 7, ScheduledLoadState::Ordered, 900)));
    CHECK_FALSE(watch.onSchedule(scheduleOf(2, 7, ScheduledLoadState::Ordered, 100)));
    CHECK_FALSE(watch.onSchedule(scheduleOf(1, 99, ScheduledLoadState::Ordered, 100)));
    REQUIRE(watch.find(target));
    CHECK(watch.find(target)->readyAt - clock.now() == 900ms);
    CHECK(watch.onSchedule(scheduleOf(3, 1, ScheduledLoadState::Deferred, 2000)));
    CHECK(watch.find(target)->state == ScheduledLoadState::Deferred);
    // A fleet that lost all its disks begins with the first term again.
    clock.advance(1500ms);
    CHECK(watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 100)));
    CHECK(watch.find(target));
}

TEST_CASE("A schedule expires, so that the loss of the leader does not mislead a gateway for long")
{
    auto clock = ManualClock {};
    auto watch = LoadWatch { {}, clock };
    CHECK_FALSE(watch.isCurrent());
    watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 5000));
    clock.advance(1499ms);
    CHECK(watch.find(target));
    clock.advance(1ms);
    CHECK_FALSE(watch.find(target));
    CHECK_FALSE(watch.isUnscheduled({ target.service, ModelId { "m1" }, {} }, Instant {}));
}

TEST_CASE("A model that a schedule does not name is unscheduled once its demand must be known")
{
    auto clock = ManualClock {};
    auto watch = LoadWatch { {}, clock };
    const auto since = clock.now();
    const auto other = DemandTarget { target.service, ModelId { "m1" }, {} };
    watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 900));
    clock.advance(299ms);
    CHECK_FALSE(watch.isUnscheduled(other, since));
    clock.advance(1ms);
    CHECK(watch.isUnscheduled(other, since));
    CHECK_FALSE(watch.isUnscheduled(target, since));
}

TEST_CASE("A feed passes on the schedules of controls")
{
    auto rig = FeedRig { "n1" };
    auto &control = *rig.controls.at("n1");
    control.schedule = scheduleOf(1, 1, ScheduledLoadState::Ordered, 900);
    rig.addFeed("g1");
    rig.runUntil([&] { return rig.schedules == 1; });
}

// Guards against urgent requests that the leader cannot tell from those which can wait.
TEST_CASE("A demand report names the shortest time left of the waiting requests")
{
    auto clock = ManualClock {};
    auto demand = Demand { clock };
    const auto now = clock.now();
    const auto within = [&] { return demand.take().rows.at(0).startWithinMs; };
    demand.onWaitBegin(target);
    CHECK_FALSE(within());
    demand.onWaitBegin(target, now + 3s);
    demand.onWaitBegin(target, now + 1s);
    demand.onWaitBegin(target, now + 1s);
    CHECK(within() == 1000);
    demand.onWaitEnd(target, now + 1s);
    CHECK(within() == 1000);
    clock.advance(1s);
    CHECK(within() == 2000); // The other request is late.
    demand.onWaitEnd(target, now + 1s);
    clock.advance(3s);
    CHECK(within() == 0);
    demand.onWaitEnd(target, now + 3s);
    CHECK_FALSE(within());
}

TEST_CASE("The time left is reported only where a route of the service is deferrable")
{
    auto rig = Rig {};
    auto catalogue = *testCatalogue(true);
    catalogue.services.at(0).engine->models.at(0).loadFromDisk = 600ms;
    catalogue.routes.at(0).startTarget = 2s;
    auto isDeferrable = false;
    SUBCASE("it is not")
    {
        catalogue.routes.at(1).startTarget = 2599ms;
    }
    SUBCASE("it is")
    {
        catalogue.routes.at(1).startTarget = 2600ms;
        isDeferrable = true;
    }
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(catalogue));
    auto &endpoint = rig.addEndpoint("i-1", { "other" });
    endpoint.handler = answering("ok");
    const auto got = rig.begin(requestFor("r1"));
    REQUIRE(rig.runUntil([&] { return rig.waiters.size() == 1; }));
    const auto row = rig.demand.take().rows.at(0);
    CHECK(row.waiting == 1);
    CHECK(row.startWithinMs.has_value() == isDeferrable);
    CHECK(row.startWithinMs.value_or(0) <= 1500);
    rig.tell("i-1", endpoint.port, 2, catalogue::EndpointState::Ready, { "m0" });
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK_FALSE(rig.demand.take().rows.at(0).startWithinMs);
}

// Guards against requests that are held for a load which comes too late for them, and then refused.
// By the guess alone a load of m0 takes 6.5 s from the store.
TEST_CASE("A request is refused at once if its load is scheduled too late, and waits otherwise")
{
    auto rig = Rig {};
    auto &watch = rig.loadWatch;
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "other" });
    endpoint.handler = answering("ok");
    SUBCASE("a load that would be in time by the guess, but not by the schedule")
    {
        watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 11000));
        const auto got = rig.call(requestFor("r1"));
        CHECK(got.status == 503);
        // A third of the 10 s that the caller has; the load takes longer.
        CHECK(comeBackMs(got) > 3000);
        CHECK(comeBackMs(got) < 3400);
        CHECK(rig.demand.take().rows.at(0).refused == 1);
    }
    SUBCASE("a load that is deferred for too long")
    {
        watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Deferred, 3000));
        auto request = requestFor("r1");
        request.headers.push_back({ "X-Deadline", "2500" });
        CHECK(rig.call(request).status == 503);
    }
    SUBCASE("a load that would be too late by the guess, but not by the schedule")
    {
        watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 500));
        auto request = requestFor("r1");
        request.headers.push_back({ "X-Deadline", "2000" });
        const auto got = rig.begin(request);
        REQUIRE(rig.runUntil([&] { return rig.waiters.size() == 1 || got->has_value(); }));
        CHECK_FALSE(got->has_value());
        rig.tell("i-1", endpoint.port, 2, catalogue::EndpointState::Ready, { "m0" });
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 200);
    }
    SUBCASE("a later schedule that puts off the load of a waiting request")
    {
        watch.onSchedule(scheduleOf(1, 1, ScheduledLoadState::Ordered, 500));
        auto request = requestFor("r1");
        request.headers.push_back({ "X-Deadline", "2500" });
        const auto got = rig.begin(request);
        REQUIRE(rig.runUntil([&] { return rig.waiters.size() == 1; }));
        watch.onSchedule(scheduleOf(1, 2, ScheduledLoadState::Deferred, 4000));
        const auto begun = rig.clock.now();
        REQUIRE(rig.runUntil([&] { return got->has_value(); }));
        CHECK((*got)->status == 503);
        CHECK(rig.clock.now() - begun < 1500ms); // Before its deadline.
        CHECK(comeBackMs(**got) < 900);
    }
}
