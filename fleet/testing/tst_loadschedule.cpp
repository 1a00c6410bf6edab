// Tests the load schedule in virtual time.

#include <doctest/doctest.h>

#include "fleet/loadschedule.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using proto::ScheduledLoadState;

namespace {

const auto service = ServiceId { "s" };

auto modelNamed(const std::string &name) -> ModelId
{
    return ModelId { name };
}

auto makeLoad(const std::string &model, Instant dueAt, Duration loadTime) -> LoadProgress
{
    return { modelNamed(model), {}, loadTime, dueAt, std::nullopt, std::nullopt };
}

auto makeEngine() -> catalogue::EngineSpec
{
    auto engine = catalogue::EngineSpec {};
    engine.weightsMb = 100;
    engine.maxAdapters = 2;
    for (const auto *name : { "a", "b", "c" }) {
        auto model = catalogue::ModelSpec {};
        model.id = modelNamed(name);
        model.weightsMb = 100;
        model.loadFromStore = 6s;
        model.loadFromDisk = 600ms;
        model.loadFromMemory = 400ms;
        engine.models.push_back(model);
    }
    return engine;
}

} // namespace

TEST_CASE("Only an accepted order within its expected time is a promise")
{
    const auto begun = Instant { 10s };
    auto load = makeLoad("a", begun + 300ms, 600ms);
    auto known = forecast(load, begun);
    CHECK(known.state == ScheduledLoadState::Planned);
    CHECK(known.readyIn == 1000ms);
    load.acceptedAt = begun + 400ms;
    known = forecast(load, begun + 500ms);
    CHECK(known.state == ScheduledLoadState::Ordered);
    CHECK(known.readyIn == 600ms);
    // Guards against gateways that trust an endpoint which carries out its order late.
    known = forecast(load, begun + 2100ms);
    CHECK(known.state == ScheduledLoadState::Planned);
    CHECK(known.readyIn == 1000ms);
}

TEST_CASE("An order without an answer is planned for the time at which it is tried again")
{
    const auto now = Instant { 10s };
    auto load = makeLoad("a", now - 2s, 600ms);
    load.retryAt = now + 250ms;
    const auto known = forecast(load, now);
    CHECK(known.state == ScheduledLoadState::Planned);
    CHECK(known.readyIn == 950ms);
}

TEST_CASE("What requests lack and no endpoint holds is listed, with the time of what is deferred")
{
    const auto engine = makeEngine();
    const auto now = Instant { 10s };
    auto input = PlacementInput { engine, {}, {}, {}, {}, {}, {}, {}, 0, 0 };
    auto host = Host {};
    host.id = EndpointId { "e1" };
    host.models = { { modelNamed("a"), { "x" } } };
    host.onDisk = { modelNamed("b") };
    host.busySeconds = 2;
    input.hosts = { host };
    input.models[modelNamed("b")].refused = 1;
    input.models[modelNamed("c")].running = 1;
    input.adapters[{ modelNamed("a"), "x" }].waiting = 1;
    input.adapters[{ modelNamed("a"), "y" }].waiting = 1;
    const auto held = HeldTargets { { modelNamed("a") }, { { modelNamed("a"), "x" } } };
    const auto lacked = lackedLoads(service, input, plan(input), held, now);
    REQUIRE(lacked.size() == 2);
    CHECK(lacked[0].model == modelNamed("b"));
    REQUIRE(lacked[0].deferredReadyAt);
    // The endpoint is busy for 2 s; then come an unload, a load from disk and its announcement.
    CHECK(*lacked[0].deferredReadyAt - now == 2s + 300ms + 600ms + 100ms);
    CHECK(lacked[1].adapter == "y");
    REQUIRE(lacked[1].deferredReadyAt);
    CHECK(*lacked[1].deferredReadyAt - now == 2150ms);

    // Requests wait for the held model, so it cannot be evicted: the next pass may find room.
    input.models[modelNamed("a")].waiting = 1;
    const auto withoutRoom = lackedLoads(service, input, plan(input), held, now);
    REQUIRE(withoutRoom.size() == 2);
    REQUIRE(withoutRoom[0].deferredReadyAt);
    CHECK(*withoutRoom[0].deferredReadyAt - now == 500ms + 300ms + 600ms + 100ms);
}

TEST_CASE("Schedules are sent at changes, at least each 500 ms while they have rows, and no more "
          "often than each 100 ms")
{
    auto scheduler = LoadScheduler { {} };
    auto now = Instant { 10s };
    const auto load = makeLoad("a", now, 2s);
    CHECK_FALSE(scheduler.isDue(now));
    scheduler.onPass({ { service, modelNamed("a"), {}, std::nullopt } });
    REQUIRE(scheduler.isDue(now));
    const auto first = scheduler.next(Term { 3 }, { load }, now);
    REQUIRE(first);
    REQUIRE(first->rows.size() == 1);
    CHECK(first->term == Term { 3 });
    // Under a burst of changes, one each 10 ms for 1 s.
    auto sent = 0;
    for (auto i = 0; i < 100; ++i) {
        now += 10ms;
        scheduler.onLoadChanged();
        sent += scheduler.isDue(now) && scheduler.next(Term { 3 }, { load }, now) ? 1 : 0;
    }
    CHECK(sent == 10);
    // Without any change.
    sent = 0;
    for (auto i = 0; i < 100; ++i) {
        now += 10ms;
        sent += scheduler.isDue(now) && scheduler.next(Term { 3 }, { load }, now) ? 1 : 0;
    }
    CHECK(sent == 2);
    // Guards against rows that gateways keep although the model is held.
    scheduler.onPass({});
    now += 100ms;
    REQUIRE(scheduler.isDue(now));
    const auto last = scheduler.next(Term { 3 }, {}, now);
    REQUIRE(last);
    CHECK(last->rows.empty());
    CHECK(last->number > first->number);
    CHECK_FALSE(scheduler.isDue(now + 10s));
}

TEST_CASE("Of several loads the earliest counts, and an adapter comes after its model")
{
    auto scheduler = LoadScheduler { {} };
    const auto now = Instant { 10s };
    scheduler.onPass({ { service, modelNamed("a"), {}, std::nullopt },
                       { service, modelNamed("a"), "x", std::nullopt },
                       { service, modelNamed("b"), {}, now + 3s },
                       { service, modelNamed("c"), {}, std::nullopt } });
    auto late = makeLoad("a", now, 6s);
    auto early = makeLoad("a", now, 600ms);
    early.acceptedAt = now;
    const auto schedule = scheduler.next(Term { 1 }, { late, early }, now);
    REQUIRE(schedule);
    REQUIRE(schedule->rows.size() == 3); // Nothing is known of c.
    CHECK(schedule->rows[0].readyInMs == 700);
    CHECK(schedule->rows[0].state == ScheduledLoadState::Ordered);
    CHECK(schedule->rows[1].adapter == "x");
    CHECK(schedule->rows[1].readyInMs == 850);
    CHECK(schedule->rows[2].state == ScheduledLoadState::Deferred);
    CHECK(schedule->rows[2].readyInMs == 3000);
}

TEST_CASE("The error of a promise is the time until the model was held less the time told first")
{
    auto scheduler = LoadScheduler { {} };
    const auto now = Instant { 10s };
    scheduler.onPass({ { service, modelNamed("a"), {}, std::nullopt } });
    auto load = makeLoad("a", now, 600ms);
    load.acceptedAt = now;
    scheduler.next(Term { 1 }, { load }, now);
    scheduler.next(Term { 1 }, { load }, now + 650ms);
    CHECK(scheduler.onHeld(modelNamed("a"), now + 900ms) == Duration { 200ms });
    CHECK_FALSE(scheduler.onHeld(modelNamed("a"), now + 900ms));
}

TEST_CASE("A schedule is bounded, and keeps what is ready first")
{
    auto options = LoadScheduleOptions {};
    options.maxRows = 2;
    auto scheduler = LoadScheduler { options };
    const auto now = Instant { 10s };
    scheduler.onPass({ { service, modelNamed("a"), {}, now + 3s },
                       { service, modelNamed("b"), {}, now + 1s },
                       { service, modelNamed("c"), {}, now + 2s } });
    const auto schedule = scheduler.next(Term { 1 }, {}, now);
    REQUIRE(schedule);
    REQUIRE(schedule->rows.size() == 2);
    CHECK(schedule->rows[0].model == modelNamed("b"));
    CHECK(schedule->rows[1].model == modelNamed("c"));
}

TEST_CASE("A leader that steps down forgets its schedule")
{
    auto scheduler = LoadScheduler { {} };
    const auto now = Instant { 10s };
    scheduler.onPass({ { service, modelNamed("a"), {}, now + 3s } });
    scheduler.next(Term { 1 }, {}, now);
    scheduler.reset();
    CHECK_FALSE(scheduler.isDue(now + 10s));
}
