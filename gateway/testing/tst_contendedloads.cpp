// Loads of rarely used models under contention, in virtual time without a network.
//
// Load: engines that hold one model each get requests for many models; some have 1.5 s to start,
// most have 5 s. Faults: the leader is lost, and an endpoint answers no order. The tests check what
// callers get: how many start on time, and how many are held for a load that never helps them.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/duration.h"
#include "core/random.h"
#include "fleet/demandtable.h"
#include "fleet/loadorder.h"
#include "fleet/loadschedule.h"
#include "gateway/demand.h"
#include "gateway/loadwatch.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

const auto service = ServiceId { "s" };
constexpr auto step = Duration { 10ms };
constexpr auto loadTime = Duration { 600ms };
constexpr auto runTime = Duration { 800ms };
constexpr auto reportEvery = Duration { 500ms };
constexpr auto retryPause = Duration { 250ms };
/// By what a gateway knows alone: a load from disk takes 700 ms more, one from the store 1,500 ms.
constexpr auto diskGuess = loadTime + Duration { 700ms };
constexpr auto storeTime = Duration { 3s };
constexpr auto storeGuess = storeTime + Duration { 1500ms };
constexpr auto perSecond = 8.0; ///< Requests; each of six engines loads a model in 0.6 to 3 s.
constexpr auto modelCount = 24;
constexpr auto urgentModels = 6;
constexpr auto storeModels = 3; ///< The last ones: no endpoint has a copy of them.

auto modelNumber(int number) -> ModelId
{
    return ModelId { "m" + std::to_string(number) };
}

struct Caller
{
    ModelId model;
    Instant arrived {};
    Instant latestStart {}; ///< To be on time.
    Instant startBy {};     ///< To be of any use.
};

struct Result
{
    int asked = 0;
    int onTime = 0;
    int urgent = 0; ///< Requests with 1.5 s to start.
    int urgentOnTime = 0;
    Duration inVain {};   ///< Sum of the waits of those that were then refused.
    int storeStarted = 0; ///< Of the models without a copy.
    Duration longestHeld {};
};

struct PlayedEngine
{
    Host host;
    std::optional<Plan> plan;
    Instant plannedAt {};
    std::optional<Instant> acceptedAt;
    std::optional<Instant> retryAt;
    std::uint32_t tries = 0;   ///< Orders without an answer.
    Instant pausedUntil {};    ///< After a plan that failed.
    std::vector<Instant> ends; ///< Of the requests in progress.
    bool answers = true;
};

struct WorldOptions
{
    bool ordersByStart = true;
    bool hasSchedule = true;
    std::uint64_t seed = 1;
};

class World
{
public:
    explicit World(WorldOptions options)
        : options_(options)
        , random_(options.seed)
    {
        engine_.weightsMb = 100;
        for (auto i = 0; i < modelCount; ++i) {
            auto model = catalogue::ModelSpec {};
            model.id = modelNumber(i);
            model.weightsMb = 100;
            model.loadFromStore = storeTime;
            model.loadFromDisk = model.loadFromMemory = loadTime;
            engine_.models.push_back(model);
        }
        for (auto i = 0; i < 6; ++i) {
            auto &engine = engines.emplace_back();
            engine.host.id = EndpointId { "e" + std::to_string(i) };
            for (auto number = 0; number < modelCount - storeModels; ++number)
                engine.host.onDisk.push_back(modelNumber(number));
        }
    }

    auto run(Duration duration) -> void
    {
        const auto end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(step);
            if (random_.unit() < perSecond * inSeconds(step))
                arrive();
            for (auto &engine : engines)
                advance(engine);
            if (hasLeader)
                lead();
            std::erase_if(waiting_, [this](const Caller &caller) { return isSettled(caller); });
        }
    }

    /// A new leader knows neither the demand nor its predecessor's schedule.
    auto changeLeader() -> void
    {
        hasLeader = true;
        ++term_;
        table_.clear();
        scheduler_.reset();
    }

    ManualClock clock;
    Result result;
    std::vector<PlayedEngine> engines;
    gateway::LoadWatch watch { {}, clock };
    bool hasLeader = true;
    std::vector<Duration> promiseErrors;

private:
    auto arrive() -> void
    {
        ++result.asked;
        const auto isUrgent = random_.unit() < 0.2;
        result.urgent += isUrgent ? 1 : 0;
        const auto number = isUrgent ? random_.below(urgentModels)
                                     : urgentModels + random_.below(modelCount - urgentModels);
        const auto now = clock.now();
        const auto target = isUrgent ? 1500ms : 5000ms;
        auto caller = Caller { modelNumber(static_cast<int>(number)), now, now + target,
                               now + target + 1s };
        if (isFromStore(caller.model))
            caller.startBy = now + 4s;
        const auto ready = readyAt(caller, now);
        if (startAt(caller))
            return;
        if (ready >= caller.startBy) {
            demand_.onRefused(targetOf(caller));
            return;
        }
        demand_.onWaitBegin(targetOf(caller), caller.latestStart);
        reportAt_ = now; // Urgently.
        waiting_.push_back(std::move(caller));
    }

    static auto isFromStore(const ModelId &model) -> bool
    {
        for (auto number = modelCount - storeModels; number < modelCount; ++number) {
            if (model == modelNumber(number))
                return true;
        }
        return false;
    }

    static auto targetOf(const Caller &caller) -> gateway::DemandTarget
    {
        return { service, caller.model, {} };
    }

    /// As Forwarder::Run::readyAt() does.
    auto readyAt(const Caller &caller, Instant since) const -> Instant
    {
        const auto now = clock.now();
        if (const auto load = watch.find(targetOf(caller)))
            return std::max(load->readyAt, now);
        const auto guess = isFromStore(caller.model) ? storeGuess : diskGuess;
        const auto isUnscheduled = watch.isUnscheduled(targetOf(caller), since);
        return isUnscheduled ? now + guess : std::max(since + guess, now);
    }

    auto startAt(const Caller &caller) -> bool
    {
        const auto now = clock.now();
        for (auto &engine : engines) {
            const auto &models = engine.host.models;
            if (models.empty() || models[0].model != caller.model || engine.ends.size() >= 8)
                continue;
            engine.ends.push_back(now + runTime);
            demand_.onStart(targetOf(caller));
            ends_.push_back({ caller.model, now, {}, now + runTime });
            result.onTime += now <= caller.latestStart ? 1 : 0;
            const auto isUrgent = caller.latestStart - caller.arrived < 5s;
            result.urgentOnTime += isUrgent && now <= caller.latestStart ? 1 : 0;
            result.storeStarted += isFromStore(caller.model) ? 1 : 0;
            return true;
        }
        return false;
    }

    auto isSettled(const Caller &caller) -> bool
    {
        const auto held = clock.now() - caller.arrived;
        const auto since = demand_.waitingSince(targetOf(caller));
        const auto isStarted = startAt(caller);
        if (!isStarted && readyAt(caller, since) < caller.startBy && clock.now() < caller.startBy)
            return false;
        result.longestHeld = std::max(result.longestHeld, held);
        demand_.onWaitEnd(targetOf(caller), caller.latestStart);
        if (!isStarted) {
            result.inVain += held;
            demand_.onRefused(targetOf(caller));
        }
        return true;
    }

    static auto loadTimeOf(const PlayedEngine &engine) -> Duration
    {
        return engine.plan->source == LoadSource::Store ? storeTime : loadTime;
    }

    /// Unloads once no request is in progress, loads, and announces it at once.
    auto advance(PlayedEngine &engine) -> void
    {
        const auto now = clock.now();
        std::erase_if(engine.ends, [&](Instant end) { return end <= now; });
        if (!engine.plan)
            return;
        if (!engine.answers && !engine.acceptedAt) {
            fail(engine);
            return;
        }
        engine.retryAt.reset();
        engine.tries = 0;
        engine.host.models.clear();
        if (!engine.acceptedAt && engine.ends.empty()) {
            engine.acceptedAt = now;
            scheduler_.onLoadChanged();
        }
        if (!engine.acceptedAt || now < *engine.acceptedAt + loadTimeOf(engine))
            return;
        const auto model = engine.plan->steps.back().model;
        engine.host.models = { { model, {} } };
        engine.plan.reset();
        engine.acceptedAt.reset();
        scheduler_.onLoadChanged();
        if (const auto error = scheduler_.onHeld(model, now))
            promiseErrors.push_back(*error);
        planAt_ = now;
    }

    /// As the order runner does: four tries, and then a pause for the endpoint.
    auto fail(PlayedEngine &engine) -> void
    {
        const auto now = clock.now();
        if (engine.retryAt && now < *engine.retryAt)
            return;
        engine.retryAt = now + retryPause;
        if (++engine.tries <= 4)
            return;
        engine.plan.reset();
        engine.retryAt.reset();
        engine.tries = 0;
        engine.pausedUntil = now + 2s;
    }

    auto lead() -> void
    {
        const auto now = clock.now();
        std::erase_if(ends_, [&](const Caller &caller) {
            if (caller.startBy <= now)
                demand_.onEnd(targetOf(caller));
            return caller.startBy <= now;
        });
        if (now >= reportAt_) {
            reportAt_ = now + reportEvery;
            if (table_.onReport(NodeId { "g1" }, demand_.take()))
                planAt_ = now;
        }
        if (now >= planAt_)
            planLoads();
        if (!options_.hasSchedule || !scheduler_.isDue(now))
            return;
        auto loads = std::vector<LoadProgress> {};
        for (const auto &engine : engines) {
            if (engine.plan)
                loads.push_back({ engine.plan->steps.back().model,
                                  {},
                                  loadTimeOf(engine),
                                  engine.plannedAt + swapTime,
                                  engine.acceptedAt,
                                  engine.retryAt });
        }
        if (const auto schedule = scheduler_.next(Term { term_ }, loads, now))
            watch.onSchedule(*schedule);
    }

    auto planLoads() -> void
    {
        const auto now = clock.now();
        planAt_ = now + 500ms;
        auto input = PlacementInput { engine_, {}, {}, {}, {}, {}, {}, {}, 1, 0 };
        input.models = table_.of(service).models;
        auto held = HeldTargets {};
        for (const auto &engine : engines) {
            auto &host = input.hosts.emplace_back(engine.host);
            host.running = static_cast<std::uint32_t>(engine.ends.size());
            host.busySeconds = engine.plan
                    ? 0.5
                    : inSeconds(std::max<Duration>(engine.pausedUntil - now, Duration::zero()));
            if (engine.plan && engine.plan->source == LoadSource::Store)
                input.storeLoads = 0;
            if (engine.plan)
                ++input.loading[engine.plan->steps.back().model];
            for (const auto &model : host.models)
                held.models.insert(model.model);
        }
        input.ordersByStart = options_.ordersByStart;
        if (options_.ordersByStart)
            input.freshModels = fresh_.onPass(input.models, held.models, now);
        const auto placement = plan(input);
        for (const auto &next : placement.plans) {
            const auto engine = std::find_if(engines.begin(), engines.end(), [&](const auto &one) {
                return one.host.id == next.endpoint;
            });
            engine->plan = next;
            engine->plannedAt = now;
        }
        scheduler_.onPass(lackedLoads(service, input, placement, held, now));
    }

    WorldOptions options_;
    Random random_;
    catalogue::EngineSpec engine_;
    gateway::Demand demand_ { clock };
    DemandTable table_ { {}, clock };
    FreshLoads fresh_;
    LoadScheduler scheduler_ { {} };
    std::vector<Caller> waiting_;
    std::vector<Caller> ends_; ///< Of requests in progress, at startBy.
    Instant reportAt_ {};
    Instant planAt_ {};
    std::uint64_t term_ = 1;
};

/// @return the sums over four days of a minute each
auto play(bool ordersByStart, bool hasSchedule) -> Result
{
    auto sum = Result {};
    for (auto seed = std::uint64_t { 1 }; seed <= 4; ++seed) {
        auto world = World { { ordersByStart, hasSchedule, seed } };
        world.run(60s);
        sum.asked += world.result.asked;
        sum.onTime += world.result.onTime;
        sum.urgent += world.result.urgent;
        sum.urgentOnTime += world.result.urgentOnTime;
        sum.inVain += world.result.inVain;
        sum.storeStarted += world.result.storeStarted;
        sum.longestHeld = std::max(sum.longestHeld, world.result.longestHeld);
    }
    return sum;
}

auto worst(const std::vector<Duration> &errors) -> Duration
{
    auto result = Duration {};
    for (const auto &error : errors)
        result = std::max(result, error < Duration {} ? -error : error);
    return result;
}

} // namespace

// Guards against urgent requests that wait behind the loads of many requests with more time.
TEST_CASE("Under load, more requests start on time when loads are ordered by latest start")
{
    const auto byNumber = play(false, true);
    const auto byStart = play(true, true);
    CHECK(byStart.asked == byNumber.asked);
    CHECK(byStart.onTime > byNumber.onTime * 1.05);
    CHECK(byStart.onTime > byStart.asked * 0.82);
    CHECK(byStart.urgentOnTime > byNumber.urgentOnTime * 1.2);
}

// Guards against gateways that guess: they hold requests for loads that nobody has ordered, and
// refuse others although their load is about to end.
TEST_CASE("Under load, the schedule spares callers waits in vain, and serves those whose load is "
          "under way")
{
    const auto guessing = play(true, false);
    const auto scheduled = play(true, true);
    CHECK(scheduled.inVain < guessing.inVain * 0.75);
    CHECK(scheduled.storeStarted > guessing.storeStarted * 1.5);
    CHECK(scheduled.onTime > guessing.onTime);
    CHECK(scheduled.longestHeld <= 6s + step);
}

TEST_CASE("When the leader is lost, its schedule expires, and the next leader's replaces it")
{
    auto world = World { {} };
    world.run(20s);
    CHECK(world.watch.isCurrent());
    world.hasLeader = false;
    world.run(1500ms);
    CHECK_FALSE(world.watch.isCurrent());
    world.run(3s);
    world.changeLeader();
    world.run(1s);
    CHECK(world.watch.isCurrent());
    const auto before = world.result;
    world.run(30s);
    CHECK(world.result.onTime - before.onTime > (world.result.asked - before.asked) * 0.75);
    CHECK(world.result.longestHeld <= 6s + step);
}

// Guards against promises for an order that the endpoint has never confirmed.
TEST_CASE("An endpoint that answers no order spoils no promise, and its loads go elsewhere")
{
    auto world = World { {} };
    world.run(10s);
    world.engines[0].answers = false;
    const auto before = world.result;
    world.run(20s);
    world.engines[0].answers = true;
    world.run(10s);
    CHECK_FALSE(world.promiseErrors.empty());
    CHECK(worst(world.promiseErrors) <= 200ms);
    CHECK(world.result.onTime - before.onTime > (world.result.asked - before.asked) * 0.65);
}
