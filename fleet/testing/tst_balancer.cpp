// Tests the balancer with hand-made requests, in virtual time.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fleet/balancer.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

/// Sends the requests of one gateway to a balancer.
struct Bench
{
    explicit Bench(BalancerOptions options = {})
        : balancer(options, clock, random)
    { }

    auto pick(std::uint64_t ownTokens, std::uint64_t outputTokens,
              std::vector<proto::PromptSpan> shared = {},
              const std::vector<std::string> &among = { "a", "b" }) -> std::string
    {
        auto request = proto::PickRequest {};
        request.ticket = ++ticket;
        for (const auto &name : among)
            request.candidates.emplace_back(name);
        request.model = model;
        request.shared = std::move(shared);
        request.ownTokens = ownTokens;
        request.outputTokens = outputTokens;
        request.fetchTokensPerMs = fetchTokensPerMs;
        request.limitMs = 10'000;
        request.startTargetMs = startTargetMs;
        request.places = places;
        request.gapTargetMs = gapTargetMs;
        reply = balancer.pick(gateway, request);
        return reply.endpoint.value();
    }

    auto end(std::uint64_t which, std::int64_t startMs = 0) -> void
    {
        balancer.onEnd(gateway, { which, startMs });
    }

    ManualClock clock;
    Random random { 1 };
    Balancer balancer;
    NodeId gateway { "g-1" };
    std::uint64_t ticket = 0;
    std::uint64_t model = 1;
    std::uint64_t fetchTokensPerMs = 0;
    std::int64_t startTargetMs = 0;
    std::uint32_t places = 0; ///< 0: unlimited.
    std::int64_t gapTargetMs = 0;
    proto::PickReply reply; ///< The latest reply.
};

constexpr auto longPrompt = std::uint64_t { 9000 };
constexpr auto fewTokens = std::uint64_t { 50 };
constexpr auto manyTokens = std::uint64_t { 400 };

} // namespace

TEST_CASE("Simultaneous prompts go to different endpoints, whichever gateway they come from")
{
    auto bench = Bench {};
    const auto first = bench.pick(longPrompt, fewTokens);
    bench.gateway = NodeId { "g-2" };
    CHECK(bench.pick(longPrompt, fewTokens) != first);
}

TEST_CASE("A reply contains the values that the pick was based on")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.pick(1000, fewTokens, {}, { "a" });
    CHECK(bench.reply.startMs == 100);
    CHECK(bench.reply.running == 0);
    bench.pick(500, fewTokens, {}, { "a" });
    CHECK(bench.reply.startMs == 150);
    CHECK(bench.reply.running == 1);
}

TEST_CASE("A prompt that has been read delays no other request")
{
    auto bench = Bench {};
    const auto first = bench.pick(longPrompt, fewTokens, {}, { "a" });
    bench.end(1);
    // Both are idle again, so the shared prefix that "a" has cached decides.
    bench.clock.advance(20s);
    const auto shared = std::vector<proto::PromptSpan> { { 7, 6000 } };
    CHECK(bench.pick(100, fewTokens, shared, { "a" }) == first);
    bench.end(2);
    bench.clock.advance(20s);
    CHECK(bench.pick(100, fewTokens, shared) == "a");
}

TEST_CASE("A shared prefix is read again rather than waited for behind long prompts")
{
    auto bench = Bench {};
    const auto shared = std::vector<proto::PromptSpan> { { 7, 6000 } };
    CHECK(bench.pick(100, fewTokens, shared, { "a" }) == "a");
    bench.end(1);
    bench.clock.advance(1s);
    CHECK(bench.pick(2 * longPrompt, fewTokens, {}, { "a" }) == "a");
    CHECK(bench.pick(100, fewTokens, shared) == "b");
}

TEST_CASE("A part of a prompt counts as cached only after all parts before it")
{
    auto bench = Bench {};
    CHECK(bench.pick(100, fewTokens, { { 7, 3000 }, { 8, 6000 } }, { "a" }) == "a");
    CHECK(bench.pick(100, fewTokens, { { 9, 1000 } }, { "b" }) == "b");
    bench.end(1);
    bench.end(2);
    bench.clock.advance(20s);
    // Key 8 is cached at "a" after key 7. After key 9 it is useless, so "b" has less to read.
    CHECK(bench.pick(100, fewTokens, { { 9, 1000 }, { 8, 6000 } }) == "b");
}

TEST_CASE("A long stream avoids an endpoint that reads much")
{
    auto bench = Bench {};
    for (auto i = 0; i < 8; ++i) {
        CHECK(bench.pick(longPrompt, fewTokens, {}, { "a" }) == "a");
        bench.end(bench.ticket);
        bench.clock.advance(400ms);
    }
    CHECK(bench.pick(100, manyTokens) == "b");
}

TEST_CASE("A long prompt avoids the endpoint that has the streams")
{
    auto bench = Bench {};
    for (auto i = 0; i < 6; ++i)
        CHECK(bench.pick(10, manyTokens, {}, { "a" }) == "a");
    bench.clock.advance(100ms);
    // It waits there for a moment instead of making six streams pause.
    CHECK(bench.pick(1700, fewTokens, {}, { "b" }) == "b");
    CHECK(bench.pick(2 * longPrompt, fewTokens) == "b");
}

TEST_CASE("After a run of reading the next prompt is held back, so that streams get their tokens")
{
    auto bench = Bench { { .tokensPerMs = 10, .decodeInterval = 50ms } };
    CHECK(bench.pick(10, manyTokens, {}, { "a" }) == "a");
    bench.clock.advance(1s);
    bench.pick(2000, fewTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 0);
    CHECK(bench.reply.startMs == 200);
    // 200 ms are read already: with 200 more the streams would pause for longer than allowed.
    bench.pick(2000, fewTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 250);
    CHECK(bench.reply.startMs == 450);
    // A short prompt is read in the same run, and held back with it.
    bench.pick(500, fewTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 250);
    CHECK(bench.reply.startMs == 500);
}

TEST_CASE("When streams tolerate shorter pauses, prompts are held back sooner, within their own "
          "target")
{
    auto bench = Bench {};
    const auto prompt = std::uint64_t { 1500 }; // About 54 ms of reading.
    bench.pick(prompt, manyTokens, {}, { "a" });
    bench.pick(prompt, manyTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 0); // 107 ms in a row are allowed when 300 are.
    auto strict = Bench { { .longestHoldPart = 0.5 } };
    strict.gapTargetMs = 150; // 90 ms are allowed.
    strict.startTargetMs = 300;
    strict.pick(prompt, manyTokens, {}, { "a" });
    strict.pick(prompt, manyTokens, {}, { "a" });
    CHECK(strict.reply.holdMs > 50);
    auto hurried = Bench { { .longestHoldPart = 0.5 } };
    hurried.gapTargetMs = 150;
    hurried.startTargetMs = 150; // Held for 100 ms, it would be late itself.
    hurried.pick(prompt, manyTokens, {}, { "a" });
    hurried.pick(prompt, manyTokens, {}, { "a" });
    CHECK(hurried.reply.holdMs == 0);
}

TEST_CASE("A prompt that would be held back longer than its target allows finds no room, a short "
          "one does")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.places = 64;
    bench.startTargetMs = 1000; // It may be held for 100 ms.
    bench.pick(10, manyTokens, {}, { "a" });
    bench.clock.advance(1s);
    CHECK(bench.pick(2000, fewTokens, {}, { "a" }) == "a");
    CHECK(bench.pick(2000, fewTokens, {}, { "a" }).empty());
    CHECK(bench.reply.comeBackMs > 0);
    CHECK(bench.pick(2000, fewTokens, {}, { "a", "b" }) == "b"); // "b" has less to read.
    CHECK(bench.pick(400, fewTokens, {}, { "a" }) == "a");       // 40 ms of reading.
    bench.clock.advance(200ms);                                  // Of 240 ms.
    CHECK(bench.pick(2000, fewTokens, {}, { "a" }) == "a");
    CHECK(bench.reply.holdMs <= 100);
    // Where no other request is running, none can be delayed.
    auto idle = Bench { { .tokensPerMs = 10 } };
    idle.places = 64;
    idle.startTargetMs = 1000;
    idle.pick(20'000, fewTokens, {}, { "a" });
    idle.end(1);
    CHECK(idle.pick(2000, fewTokens, {}, { "a" }) == "a");
}

TEST_CASE("No prompt is held back on an idle endpoint, or where there is too much to read")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.pick(20'000, fewTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 0);
    bench.pick(2000, fewTokens, {}, { "a" });
    CHECK(bench.reply.holdMs == 0);
    CHECK(bench.reply.startMs == 2200);
}

TEST_CASE("The reading speed of a model is learned from first events, and only its own")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.model = 1;
    for (auto i = 0; i < 40; ++i) {
        bench.pick(1000, fewTokens, {}, { "a" });
        bench.end(bench.ticket, 45 + 30); // Read in 30 ms instead of 100 ms.
        bench.clock.advance(1s);
    }
    bench.pick(1000, fewTokens, {}, { "a" });
    CHECK(bench.reply.startMs < 35);
    bench.clock.advance(20s);
    bench.model = 2;
    bench.pick(1000, fewTokens, {}, { "a" });
    CHECK(bench.reply.startMs == 100);
}

TEST_CASE("The reading speed is not learned from a prompt that had to wait for others")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.pick(20'000, fewTokens, {}, { "a" });
    bench.pick(1000, fewTokens, {}, { "a" });
    bench.end(bench.ticket, 2100);
    bench.clock.advance(20s);
    bench.pick(1000, fewTokens, {}, { "a" });
    CHECK(bench.reply.startMs == 100);
}

TEST_CASE("A shared prefix is fetched from the endpoint that has read it, if engines can do so")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.fetchTokensPerMs = 600;
    const auto shared = std::vector<proto::PromptSpan> { { 7, 2400 }, { 8, 3600 } };
    bench.pick(100, fewTokens, shared, { "a" });
    CHECK(bench.reply.fetchFrom.empty());
    // It is not fetched before it has been read there.
    bench.pick(100, fewTokens, shared, { "b" });
    CHECK(bench.reply.fetchFrom.empty());
    bench.clock.advance(20s);
    bench.pick(100, fewTokens, shared, { "c" });
    CHECK(bench.reply.fetchFrom == EndpointId { "b" });
    CHECK(bench.reply.startMs == 10 + 5 + 10); // Its own part is read, the other 6,000 fetched.
    // What an endpoint has cached itself is not fetched.
    bench.clock.advance(20s);
    bench.pick(100, fewTokens, shared, { "b" });
    CHECK(bench.reply.fetchFrom.empty());
    CHECK(bench.reply.startMs == 10);
}

TEST_CASE("Nothing is fetched when engines cannot do so, nor for a few tokens")
{
    auto bench = Bench { { .tokensPerMs = 10 } };
    bench.pick(100, fewTokens, { { 7, 6000 } }, { "a" });
    bench.pick(100, fewTokens, { { 9, 200 } }, { "a" });
    bench.clock.advance(20s);
    bench.pick(100, fewTokens, { { 7, 6000 } }, { "b" });
    CHECK(bench.reply.fetchFrom.empty());
    bench.clock.advance(20s);
    bench.fetchTokensPerMs = 600;
    bench.pick(100, fewTokens, { { 9, 200 } }, { "b" });
    CHECK(bench.reply.fetchFrom.empty());
}

TEST_CASE("Bookings end by message, when their gateway is lost, and by their time limit")
{
    auto bench = Bench {};
    bench.pick(1, 1);
    bench.pick(1, 1);
    CHECK(bench.balancer.booked() == 2);
    bench.end(1);
    bench.end(1);
    CHECK(bench.balancer.booked() == 1);
    bench.end(2);
    bench.pick(1, 1, {}, { "a" });
    CHECK(bench.reply.running == 0);
    bench.gateway = NodeId { "g-2" };
    bench.pick(1, 1);
    bench.balancer.onGatewayLost(NodeId { "g-1" });
    CHECK(bench.balancer.booked() == 1);
    bench.clock.advance(11s);
    bench.gateway = NodeId { "g-3" };
    bench.pick(1, 1);
    CHECK(bench.balancer.booked() == 1);
}

TEST_CASE("A plain service's requests are spread by count")
{
    auto bench = Bench {};
    auto perEndpoint = std::map<std::string, int> {};
    for (auto i = 0; i < 30; ++i)
        ++perEndpoint[bench.pick(0, 0, {}, { "a", "b", "c" })];
    CHECK(perEndpoint["a"] == 10);
    CHECK(perEndpoint["b"] == 10);
    CHECK(perEndpoint["c"] == 10);
}

TEST_CASE("Without candidates the pick is empty and nothing is booked")
{
    auto bench = Bench {};
    CHECK(bench.pick(1, 1, {}, {}).empty());
    CHECK(bench.balancer.booked() == 0);
}

TEST_CASE("Random requests: each pick is a candidate, and every booking ends")
{
    auto bench = Bench {};
    auto random = Random { 7 };
    auto open = std::vector<std::uint64_t> {};
    const auto names = std::vector<std::string> { "a", "b", "c", "d", "e" };
    for (auto step = 0; step < 3000; ++step) {
        bench.clock.advance(std::chrono::milliseconds { random.below(40) });
        auto among = std::vector<std::string> {};
        for (const auto &name : names) {
            if (random.chance(0.6))
                among.push_back(name);
        }
        const auto got = bench.pick(random.below(20000), random.below(500),
                                    { { random.below(9), random.below(9000) } }, among);
        const auto isCandidate = std::find(among.begin(), among.end(), got) != among.end();
        CHECK(isCandidate == !among.empty());
        open.push_back(bench.ticket);
        while (open.size() > 20) {
            const auto which = random.below(open.size());
            bench.end(open[which]);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
        }
        CHECK(bench.balancer.booked() <= 21);
    }
    for (const auto ticket : open)
        bench.end(ticket);
    CHECK(bench.balancer.booked() == 0);
}

TEST_CASE("A rate that any gateway reports applies to all, until a newer value replaces it")
{
    auto bench = Bench {};
    auto request = proto::PickRequest {};
    request.ticket = 1;
    request.candidates = { EndpointId { "i-1" } };
    request.model = 1;
    request.limitMs = 10'000;
    request.places = 96;
    auto told = request;
    told.rates = { { EndpointId { "i-1" }, 1.0, 50 } };
    auto &balancer = bench.balancer;
    CHECK(balancer.pick(NodeId { "g1" }, told).endpoint == EndpointId { "i-1" });
    const auto refused = balancer.pick(NodeId { "g2" }, request);
    CHECK(refused.endpoint.empty());
    CHECK(refused.refusal == proto::PickRefusal::RateUsed);
    CHECK(refused.comeBackMs == 1000);
    // A request that has started elsewhere is refused because of a rate, but not for want of room.
    auto begun = request;
    begun.hasBegun = true;
    CHECK(balancer.pick(NodeId { "g2" }, begun).refusal == proto::PickRefusal::RateUsed);
    told.rates = { { EndpointId { "i-1" }, std::nullopt, 100 } };
    CHECK(balancer.pick(NodeId { "g3" }, told).refusal == proto::PickRefusal::RateUsed);
    told.rates = { { EndpointId { "i-1" }, std::nullopt, 0 } };
    CHECK(balancer.pick(NodeId { "g3" }, told).endpoint == EndpointId { "i-1" });
}
