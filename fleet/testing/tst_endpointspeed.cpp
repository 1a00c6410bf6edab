// Tests what is learned of endpoints' speeds, and how the balancer uses it, in virtual time.

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/duration.h"
#include "fleet/balancer.h"
#include "fleet/endpointspeed.h"
#include "fleet/metrics.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

auto idOf(std::uint64_t number) -> EndpointId
{
    return EndpointId { "e-" + std::to_string(number), Incarnation { 1 } };
}

/// Endpoints that serve models, with samples of their reading times.
struct Samples
{
    /// @param noise each sample is up to this fraction off
    auto take(std::uint64_t endpoint, std::uint64_t model, double seen, double noise = 0.1) -> void
    {
        const auto off = (static_cast<double>(random.below(2001)) / 1000 - 1) * noise;
        speeds.learn(idOf(endpoint), model, seen * (1 + off), clock.now());
        clock.advance(20ms);
    }
    auto factor(std::uint64_t endpoint) -> double
    {
        return speeds.factorOf(idOf(endpoint), clock.now());
    }
    auto learned(std::uint64_t endpoint) -> double
    {
        return speeds.learnedFactor(idOf(endpoint), clock.now());
    }
    auto meanLearned(std::uint64_t count) -> double
    {
        speeds.maintain(clock.now() + 2s);
        auto sum = 0.0;
        for (auto i = std::uint64_t { 0 }; i < count; ++i)
            sum += learned(i);
        return sum / static_cast<double>(count);
    }

    ManualClock clock;
    Random random { 5 };
    EndpointSpeeds speeds { {} };
};

constexpr auto promptTokens = std::uint64_t { 2800 };

/// Asks a balancer for engines that read 10 tokens per millisecond.
struct Picks
{
    auto pick(const std::vector<EndpointId> &among, std::uint64_t outputTokens = 0) -> EndpointId
    {
        auto request = proto::PickRequest {};
        request.ticket = ++ticket;
        request.candidates = among;
        request.model = 1;
        request.ownTokens = tokens;
        request.outputTokens = outputTokens;
        request.limitMs = 10'000;
        request.isOrdered = isOrdered;
        reply = balancer.pick(gateway, request);
        return reply.endpoint;
    }
    auto end(std::uint64_t which, std::int64_t startMs) -> void
    {
        balancer.onEnd(gateway, { which, startMs });
    }

    /// Samples that show the second of two endpoints to be three times slower than the first.
    auto learnSlow() -> void
    {
        for (auto i = 0; i < 120; ++i) {
            const auto isSlow = i % 2 == 1;
            pick({ isSlow ? slow : fast });
            end(ticket, isSlow ? 45 + 420 : 45 + 140);
            clock.advance(500ms);
        }
    }

    ManualClock clock;
    Random random { 1 };
    Balancer balancer { { .tokensPerMs = 10 }, clock, random };
    NodeId gateway { "g-1" };
    std::uint64_t ticket = 0;
    std::uint64_t tokens = promptTokens;
    bool isOrdered = true;
    proto::PickReply reply;
    EndpointId fast { "fast", Incarnation { 1 } };
    EndpointId slow { "slow", Incarnation { 1 } };
};

/// Engines that read prompts one after another, a quarter of them at half of the speed. Prompts
/// arrive at random, at 0.63 of the rate at which all engines together can read.
/// @return the fraction of the prompts that were read more than 700 ms after they were booked
auto lateShare(bool isOrdered, std::uint64_t seed) -> double
{
    constexpr auto engines = std::uint64_t { 16 };
    constexpr auto prompts = 6000;
    constexpr auto betweenMs = 32;
    auto picks = Picks {};
    picks.isOrdered = isOrdered;
    auto among = std::vector<EndpointId> {};
    auto freeAt = std::map<EndpointId, Instant> {};
    auto readMs = std::map<EndpointId, double> {};
    for (auto i = std::uint64_t { 0 }; i < engines; ++i) {
        among.push_back(idOf(i));
        readMs[idOf(i)] = i % 4 == 0 ? 560 : 280;
    }
    struct Ending
    {
        std::uint64_t ticket = 0;
        std::int64_t startMs = 0;
    };
    auto endings = std::multimap<Instant, Ending> {};
    auto arrivals = Random { seed };
    auto late = 0;
    for (auto i = 0; i < prompts; ++i) {
        const auto at = picks.clock.now() - fromMillis(betweenMs * std::log(1 - arrivals.unit()));
        while (!endings.empty() && endings.begin()->first <= at) {
            picks.clock.advanceTo(endings.begin()->first);
            picks.end(endings.begin()->second.ticket, endings.begin()->second.startMs);
            endings.erase(endings.begin());
        }
        picks.clock.advanceTo(at);
        const auto id = picks.pick(among, 10);
        const auto sentAt = at + std::chrono::milliseconds { picks.reply.holdMs };
        freeAt[id] = std::max(freeAt[id], sentAt) + fromMillis(readMs[id]);
        const auto startMs = wholeMillis(freeAt[id] - sentAt) + 45;
        endings.emplace(freeAt[id] + 100ms, Ending { picks.ticket, startMs });
        if (i >= prompts / 3) // Before, the speeds are being learned.
            late += freeAt[id] - at > 700ms ? 1 : 0;
    }
    return late / (prompts * 2 / 3.0);
}

} // namespace

TEST_CASE("Slow endpoints are told from models that are read slowly")
{
    // Guards against attributing a model's reading time to the endpoints that serve it.
    auto samples = Samples {};
    for (auto i = std::uint64_t { 0 }; i < 4000; ++i) {
        const auto endpoint = samples.random.below(8);
        const auto model = samples.random.below(2); // Model 1 takes twice as long as model 0.
        samples.take(endpoint, model, (endpoint < 2 ? 1.0 : 0.5) * (model == 1 ? 2.0 : 1.0));
    }
    // The mean factor is 1: a quarter at 1.6, the others at 0.8.
    for (auto endpoint = std::uint64_t { 0 }; endpoint < 8; ++endpoint)
        CHECK(samples.learned(endpoint) == doctest::Approx(endpoint < 2 ? 1.6 : 0.8).epsilon(0.1));
    CHECK(samples.factor(0) > 1.4);
    CHECK(samples.speeds.modelFactor(0) == doctest::Approx(0.625).epsilon(0.1));
    CHECK(samples.speeds.modelFactor(1) == doctest::Approx(1.25).epsilon(0.1));
}

TEST_CASE("A change that all endpoints share goes to their model, and their mean factor stays 1")
{
    // Guards against the two factors of the product drifting apart.
    auto samples = Samples {};
    for (auto i = std::uint64_t { 0 }; i < 6000; ++i) {
        const auto seen = i < 3000 ? 1.0 : 3.0;
        samples.take(samples.random.below(6), 1, seen, 0.3);
    }
    CHECK(samples.meanLearned(6) == doctest::Approx(1).epsilon(0.01));
    CHECK(samples.speeds.modelFactor(1) == doctest::Approx(3).epsilon(0.15));
    for (auto endpoint = std::uint64_t { 0 }; endpoint < 6; ++endpoint)
        CHECK(samples.factor(endpoint) == 1);
}

TEST_CASE("Small differences count as none")
{
    // Guards against moving requests away from their cached prompts because of sampling noise.
    auto samples = Samples {};
    for (auto i = 0; i < 400; ++i) {
        samples.take(0, 1, 1.1, 0);
        samples.take(1, 1, 0.9, 0);
    }
    CHECK(samples.learned(0) > 1.05);
    CHECK(samples.factor(0) == 1);
    CHECK(samples.factor(1) == 1);
}

TEST_CASE("The only endpoint of a model is not compared by it")
{
    // Guards against attributing the first samples of a rarely used model to its endpoint.
    auto samples = Samples {};
    for (auto i = 0; i < 200; ++i) {
        samples.take(0, 1, 1, 0);
        samples.take(1, 1, 1, 0);
        samples.take(0, 2 + static_cast<std::uint64_t>(i), 4, 0);
    }
    CHECK(samples.factor(0) == 1);
    for (auto i = 0; i < 40; ++i)
        samples.take(0, 1000, 4, 0);
    CHECK(samples.factor(0) == 1);
    CHECK(samples.speeds.modelFactor(1000) == doctest::Approx(4).epsilon(0.05));
}

TEST_CASE("Endpoints are not compared by a model with few samples")
{
    // Guards against attributing the difference between a new model's initial factor and its true
    // one to the endpoint that happens to be sampled next.
    auto samples = Samples {};
    for (auto model = std::uint64_t { 1 }; model <= 100; ++model) {
        samples.take(0, model, 4, 0);
        samples.take(1, model, 4, 0);
    }
    CHECK(samples.learned(0) == doctest::Approx(1).epsilon(0.02));
    CHECK(samples.learned(1) == doctest::Approx(1).epsilon(0.02));
}

TEST_CASE("A restarted endpoint begins at 1, and a factor without samples is forgotten")
{
    // Guards against judging an endpoint by a former incarnation, and against never trying again
    // one that is avoided for being slow.
    auto samples = Samples {};
    for (auto i = 0; i < 200; ++i) {
        samples.take(0, 1, 3, 0);
        samples.take(1, 1, 1, 0);
    }
    CHECK(samples.factor(0) > 1.4);
    CHECK(samples.speeds.factorOf(EndpointId { "e-0", Incarnation { 2 } }, samples.clock.now())
          == 1);
    samples.clock.advance(59s);
    CHECK(samples.factor(0) > 1.4);
    samples.clock.advance(2s);
    CHECK(samples.factor(0) == 1);
    samples.speeds.maintain(samples.clock.now());
    CHECK(samples.speeds.size() == 0);
}

TEST_CASE("No more endpoints and models are remembered than allowed")
{
    // Guards against memory that grows with the ids that gateways name.
    auto speeds = EndpointSpeeds { { .maxEndpoints = 10, .maxModels = 10 } };
    auto clock = ManualClock {};
    for (auto i = std::uint64_t { 0 }; i < 1000; ++i)
        speeds.learn(idOf(i), i, 3, clock.now());
    CHECK(speeds.size() <= 10);
    CHECK(speeds.modelFactor(1) > 1);
    CHECK(speeds.modelFactor(500) == 1);
}

TEST_CASE("Fewer prompts start late where a quarter of the engines runs at half of the speed")
{
    // Guards against spreading prompts evenly over engines of different speed.
    for (auto seed = std::uint64_t { 1 }; seed <= 4; ++seed) {
        const auto without = lateShare(false, seed);
        const auto with = lateShare(true, seed);
        MESSAGE("late without speeds: ", without, ", with speeds: ", with);
        CHECK(without > 0.08);
        CHECK(with < without / 2);
    }
}

TEST_CASE("Prompts prefer the faster endpoint, and predictions use its speed")
{
    // Guards against promising starts that a slow endpoint cannot keep.
    auto picks = Picks {};
    picks.learnSlow();
    picks.pick({ picks.slow });
    const auto atSlow = picks.reply.startMs;
    CHECK(picks.pick({ picks.fast }) == picks.fast);
    const auto atFast = picks.reply.startMs;
    CHECK(atSlow == doctest::Approx(420).epsilon(0.1));
    CHECK(atFast == doctest::Approx(140).epsilon(0.1));
    picks.clock.advance(5s);
    for (auto i = 0; i < 2; ++i)
        CHECK(picks.pick({ picks.slow, picks.fast }) == picks.fast);
}

TEST_CASE("A slow endpoint needs longer decode intervals")
{
    // Guards against reading prompts so closely one after another that slow streams pause.
    auto picks = Picks {};
    picks.learnSlow();
    picks.clock.advance(5s);
    const auto holdAt = [&](const EndpointId &id, std::uint64_t tokens) {
        picks.tokens = tokens;
        picks.pick({ id });
        const auto readMs = picks.reply.startMs;
        picks.pick({ id });
        return picks.reply.holdMs - readMs;
    };
    CHECK(holdAt(picks.fast, 5000) == doctest::Approx(30).epsilon(0.1)); // 60 ms are usual.
    CHECK(holdAt(picks.slow, 2000) == doctest::Approx(90).epsilon(0.1));
}

TEST_CASE("A request that has nothing to read prefers more streams to a slow endpoint")
{
    // Guards against judging endpoints by the number of their streams alone.
    auto picks = Picks {};
    picks.learnSlow();
    picks.clock.advance(5s);
    picks.tokens = 0;
    for (auto i = 0; i < 5; ++i) {
        picks.pick({ picks.fast });
        if (i < 4)
            picks.pick({ picks.slow });
    }
    CHECK(picks.pick({ picks.slow, picks.fast }) == picks.fast);
}

TEST_CASE("Requests that are not ordered are neither placed nor predicted by speeds")
{
    // Guards against a change for deployments whose configuration does not ask for it.
    auto picks = Picks {};
    picks.learnSlow();
    picks.isOrdered = false;
    picks.pick({ picks.slow });
    CHECK(picks.reply.startMs == 280);
    picks.pick({ picks.fast });
    CHECK(picks.reply.startMs == 280);
    auto before = Picks {};
    before.isOrdered = false;
    before.learnSlow();
    CHECK(before.balancer.status().endpointsBySpeed == BalancerStatus {}.endpointsBySpeed);
}

TEST_CASE("The metrics page has the endpoints by speed")
{
    auto metrics = Metrics {};
    auto picks = Picks {};
    picks.learnSlow();
    metrics.setPicks(picks.balancer.status());
    const auto page = metrics.text();
    CHECK(page.find("figrack_core_endpoints_by_speed{speed=\"slow\"} 1") != std::string::npos);
    CHECK(page.find("figrack_core_endpoints_by_speed{speed=\"fast\"} 1") != std::string::npos);
}
