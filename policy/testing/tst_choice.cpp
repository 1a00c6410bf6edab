// Tests the choice of a replica: lag correction, two random candidates, prefix affinity, circuit
// breaking, and gaps in cache events.

#include "policy/choice.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include "core/random.h"
#include "policy/circuit.h"
#include "policy/loadestimate.h"
#include "policy/prefixindex.h"
#include "policy/testing/herding.h"

namespace figrack::policy {
namespace {

const auto model = ModelId { "m" };

auto endpointName(std::size_t number) -> EndpointId
{
    auto digits = std::to_string(number);
    return EndpointId { "e" + std::string(5 - digits.size(), '0') + digits };
}

auto makeCandidates(std::size_t count) -> std::vector<ReplicaInfo>
{
    auto candidates = std::vector<ReplicaInfo> {};
    for (auto i = std::size_t { 0 }; i < count; ++i)
        candidates.push_back({ model, endpointName(i), ReplicaPhase::Ready, 0, 0, 0, 0 });
    return candidates;
}

} // namespace

TEST_CASE("a report is corrected by own dispatches and ends since it was taken")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto endpoint = endpointName(0);
    chooser.onDispatch(endpoint, model, 100);
    chooser.onDispatch(endpoint, model, 200);
    chooser.onReport(endpoint, model, 3, 1, 150); // Includes the first, not the second.
    CHECK(chooser.estimatedLoad(endpoint, model) == 5);
    chooser.onEnd(endpoint, model, DispatchResult::Finished, 300);
    CHECK(chooser.estimatedLoad(endpoint, model) == 4);
    chooser.onReport(endpoint, model, 0, 0, 310); // Our stream must still be there.
    CHECK(chooser.estimatedLoad(endpoint, model) == 1);
    chooser.onReport(endpoint, model, 9, 9, 305); // Older than the last.
    CHECK(chooser.estimatedLoad(endpoint, model) == 1);
}

TEST_CASE("a full replica gets nothing, and all full gives no choice")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto candidates = makeCandidates(3);
    chooser.onReport(endpointName(0), model, 8, 0, 1);
    chooser.onReport(endpointName(1), model, 8, 4, 1);
    chooser.onReport(endpointName(2), model, 7, 0, 1);
    for (auto i = 0; i < 100; ++i)
        CHECK(chooser.choose({ model, {} }, candidates, 8, 2) == std::size_t { 2 });
    chooser.onDispatch(endpointName(2), model, 2);
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 2));
}

TEST_CASE("a failing endpoint is excluded and probed with one request at a time")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto candidates = makeCandidates(1);
    const auto endpoint = endpointName(0);
    for (auto i = 0; i < 3; ++i) {
        CHECK(chooser.choose({ model, {} }, candidates, 8, 0));
        chooser.onDispatch(endpoint, model, 0);
        chooser.onEnd(endpoint, model, DispatchResult::Failed, 0);
    }
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 1999));
    CHECK(chooser.choose({ model, {} }, candidates, 8, 2500));
    chooser.onDispatch(endpoint, model, 2500);
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 2501)); // The trial is in progress.
    chooser.onEnd(endpoint, model, DispatchResult::Failed, 2600);
    // The circuit is open for twice the time.
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 6500));
    CHECK(chooser.choose({ model, {} }, candidates, 8, 7700));
    chooser.onDispatch(endpoint, model, 7700);
    chooser.onEnd(endpoint, model, DispatchResult::Finished, 7800);
    CHECK(chooser.choose({ model, {} }, candidates, 8, 7800));
}

TEST_CASE("a cached prefix attracts the request until the queue outweighs it")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto candidates = makeCandidates(100);
    const auto holder = endpointName(42);
    chooser.onCacheEvents({ holder, 0, false, { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 }, {} }, 0);
    const auto request = ChoiceRequest { model, { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 } };
    CHECK(chooser.choose(request, candidates, 8, 1) == std::size_t { 42 });
    for (auto i = 0; i < 7; ++i)
        chooser.onDispatch(holder, model, 1);
    auto chosen = 0;
    for (auto i = 0; i < 100; ++i)
        chosen += chooser.choose(request, candidates, 8, 1) == std::size_t { 42 } ? 1 : 0;
    CHECK(chosen < 10);
}

TEST_CASE("after a gap in cache events the endpoint is distrusted until a snapshot")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto candidates = makeCandidates(50);
    const auto holder = endpointName(7);
    const auto request = ChoiceRequest { model, { 11, 12 } };
    const auto timesChosen = [&] {
        auto chosen = 0;
        for (auto i = 0; i < 100; ++i)
            chosen += chooser.choose(request, candidates, 8, 1) == std::size_t { 7 } ? 1 : 0;
        return chosen;
    };
    chooser.onCacheEvents({ holder, 0, false, { 11 }, {} }, 0);
    CHECK_FALSE(chooser.wantsCacheSnapshot(holder));
    CHECK(timesChosen() == 100);
    chooser.onCacheEvents({ holder, 2, false, { 12 }, {} }, 0); // Event 1 was lost.
    CHECK(chooser.wantsCacheSnapshot(holder));
    CHECK(timesChosen() < 20);
    chooser.onCacheEvents({ holder, 3, false, { 13 }, {} }, 0);
    CHECK(chooser.wantsCacheSnapshot(holder));
    chooser.onCacheEvents({ holder, 9, true, { 11, 12 }, {} }, 0);
    CHECK_FALSE(chooser.wantsCacheSnapshot(holder));
    CHECK(timesChosen() == 100);
    chooser.onCacheEvents({ holder, 9, false, {}, { 11, 12 } }, 0);
    CHECK(timesChosen() < 20);
}

TEST_CASE("the estimate matches a reference that records the times of every stream")
{
    struct Stream
    {
        Millis from = 0;
        Millis to = -1; ///< -1: still running.
    };
    for (auto seed = std::uint64_t { 1 }; seed <= 60; ++seed) {
        auto random = Random { seed };
        auto estimate = LoadEstimate {};
        auto streams = std::vector<Stream> {};
        auto reported = std::int64_t { 0 };
        auto takenAt = Millis { -1000 }; // Before any report.
        auto now = Millis { 0 };
        for (auto step = 0; step < 500; ++step) {
            now += 1 + static_cast<Millis>(random.below(20));
            const auto action = random.below(10);
            if (action < 5) {
                estimate.onDispatch(now);
                streams.push_back({ now, -1 });
            } else if (action < 9) {
                const auto running = std::ranges::find(streams, -1, &Stream::to);
                if (running == streams.end())
                    continue;
                running->to = now;
                estimate.onEnd(now);
            } else {
                const auto at = now - static_cast<Millis>(random.below(200));
                const auto count = static_cast<std::uint32_t>(random.below(40));
                estimate.onReport(count, at);
                if (at >= takenAt) {
                    takenAt = at;
                    reported = count;
                }
            }
            auto own = std::int64_t { 0 };
            auto ownReported = std::int64_t { 0 };
            auto since = std::int64_t { 0 };
            for (const auto &stream : streams) {
                own += stream.to < 0 ? 1 : 0;
                ownReported += stream.from <= takenAt && (stream.to < 0 || stream.to > takenAt);
                since += stream.from > takenAt ? 1 : 0;
                since -= stream.to >= 0 && stream.to > takenAt ? 1 : 0;
            }
            CHECK(estimate.inFlight() == own);
            CHECK(estimate.corrected() == std::max(reported + since, own));
            CHECK(estimate.othersReported() == std::max<std::int64_t>(reported - ownReported, 0));
        }
    }
}

TEST_CASE("the load of a model is the sum over its replicas")
{
    auto random = Random { 8 };
    auto chooser = ReplicaChooser { {}, 1 };
    auto own = std::map<std::size_t, int> {};
    for (auto step = Millis { 1 }; step < 5000; ++step) {
        const auto i = random.below(20);
        const auto action = random.below(10);
        if (action < 4) {
            chooser.onDispatch(endpointName(i), model, step);
            ++own[i];
        } else if (action < 8 && own[i] > 0) {
            chooser.onEnd(endpointName(i), model, DispatchResult::Cancelled, step);
            --own[i];
        } else if (action == 8) {
            const auto others = static_cast<std::uint32_t>(random.below(9));
            chooser.onReport(endpointName(i), model, static_cast<std::uint32_t>(own[i]) + others, 0,
                             step);
        } else if (random.chance(0.02)) {
            chooser.forget(endpointName(i));
            own[i] = 0;
        }
        auto sum = std::uint32_t { 0 };
        for (auto one = std::size_t { 0 }; one < 20; ++one)
            sum += chooser.estimatedLoad(endpointName(one), model);
        CHECK(chooser.estimatedLoad(model) == sum);
    }
}

TEST_CASE("an old report counts for less, own streams always in full")
{
    auto estimate = LoadEstimate {};
    estimate.onReport(10, 0);
    estimate.onDispatch(5);
    const auto others = OthersLoad { 4, 1000 };
    CHECK(estimate.expected(others, 0) == doctest::Approx(11));
    CHECK(estimate.expected(others, 100000) == doctest::Approx(5));
    CHECK(estimate.expected(others, 1000) < 8);
    CHECK(estimate.unseen(others, 500) == doctest::Approx(2));
}

TEST_CASE("the prefix index matches a copy of each cache, despite lost and repeated batches")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto random = Random { seed };
        auto index = PrefixIndex { {} };
        constexpr auto slots = 6;
        struct Plain
        {
            std::set<std::uint64_t> blocks;
            std::uint64_t next = 0;
            bool trusted = true;
        };
        auto plain = std::array<Plain, slots> {};
        for (auto step = 0; step < 1500; ++step) {
            const auto slot = static_cast<PrefixIndex::Slot>(random.below(slots));
            auto &cache = plain[slot];
            auto added = std::vector<std::uint64_t> {};
            auto removed = std::vector<std::uint64_t> {};
            for (auto i = random.below(4); i > 0; --i)
                added.push_back(100 + random.below(40));
            for (auto i = random.below(3); i > 0; --i)
                removed.push_back(200 + random.below(40));
            if (random.chance(0.02)) {
                cache.blocks = { added.begin(), added.end() };
                cache.trusted = true;
                CHECK(index.apply(slot, { cache.next, true, added, {} }));
                continue;
            }
            const auto lost = random.chance(0.01) && added.size() + removed.size() > 0;
            const auto first = cache.next;
            cache.next += added.size() + removed.size();
            if (lost) {
                // The batch is lost; the next one reveals the gap.
                const auto more = std::vector<std::uint64_t> { 100 };
                CHECK_FALSE(index.apply(slot, { cache.next, false, more, {} }));
                ++cache.next;
                cache.trusted = false;
                cache.blocks.clear();
                continue;
            }
            // Blocks 200.. are added first so that removing them has an effect.
            if (cache.trusted) {
                cache.blocks.insert(added.begin(), added.end());
                for (const auto block : removed)
                    cache.blocks.erase(block);
            }
            CHECK(index.apply(slot, { first, false, added, removed }) == cache.trusted);
            CHECK(index.isDistrusted(slot) == !cache.trusted);
            auto prefix = std::vector<std::uint64_t> {};
            for (auto i = 0; i < 6; ++i)
                prefix.push_back(100 + random.below(40));
            auto depth = std::size_t { 0 };
            auto holders = std::set<PrefixIndex::Slot> {};
            for (auto i = prefix.size(); i > 0 && holders.empty(); --i) {
                for (auto one = PrefixIndex::Slot { 0 }; one < slots; ++one) {
                    if (plain[one].blocks.contains(prefix[i - 1]))
                        holders.insert(one);
                }
                depth = holders.empty() ? 0 : i;
            }
            const auto match = index.deepest(prefix);
            CHECK(match.depth == depth);
            CHECK(std::set<PrefixIndex::Slot> { match.holders.begin(), match.holders.end() }
                  == holders);
            auto total = std::size_t { 0 };
            for (const auto &one : plain)
                total += one.blocks.size();
            CHECK(index.size() == total);
        }
    }
}

TEST_CASE("an endpoint that restarts its event sequence is detected, single repeats are ignored")
{
    auto index = PrefixIndex { {} };
    const auto blocks = std::vector<std::uint64_t> { 1, 2, 3 };
    CHECK(index.apply(0, { 0, false, blocks, {} }));
    CHECK(index.apply(0, { 0, false, blocks, {} })); // A repeat.
    CHECK(index.apply(0, { 3, false, blocks, {} }));
    CHECK(index.apply(0, { 0, false, blocks, {} }));
    CHECK(index.apply(0, { 3, false, blocks, {} }));
    // Repeats in a row: the sequence restarted.
    CHECK_FALSE(index.apply(0, { 0, false, blocks, {} }));
    CHECK(index.isDistrusted(0));
    CHECK(index.deepest(blocks).depth == 0);
}

TEST_CASE("a batch from the first event on is equivalent to a snapshot")
{
    auto index = PrefixIndex { {} };
    const auto blocks = std::vector<std::uint64_t> { 1, 2, 3 };
    CHECK_FALSE(index.apply(0, { 7, false, blocks, {} })); // Its beginning was missed.
    CHECK_FALSE(index.apply(0, { 10, false, blocks, {} }));
    CHECK(index.apply(0, { 0, false, blocks, {} }));
    CHECK(index.deepest(blocks).depth == 3);
    CHECK(index.apply(0, { 3, false, {}, blocks }));
    CHECK(index.size() == 0);
}

TEST_CASE("the prefix index is bounded")
{
    auto index = PrefixIndex { { 100, 250, 2 } };
    for (auto slot = PrefixIndex::Slot { 0 }; slot < 10; ++slot) {
        auto blocks = std::vector<std::uint64_t> {};
        for (auto i = std::uint64_t { 0 }; i < 1000; ++i)
            blocks.push_back(slot * 50 + i);
        index.apply(slot, { 0, false, blocks, {} });
        CHECK(index.size() <= 250);
    }
    for (auto slot = PrefixIndex::Slot { 0 }; slot < 10; ++slot)
        index.forget(slot);
    CHECK(index.size() == 0);
}

TEST_CASE("a circuit lets one trial through at a time, later each time it fails")
{
    auto random = Random { 3 };
    auto circuit = Circuit { { 3, 1000, 8000 } };
    auto now = Millis { 0 };
    for (auto i = 0; i < 3; ++i)
        circuit.onFailure(now, random.unit());
    for (const auto openTime : { 1000, 2000, 4000, 8000, 8000 }) {
        CHECK_FALSE(circuit.allows(now + openTime - 1));
        now += openTime * 5 / 4; // With the largest jitter.
        CHECK(circuit.allows(now));
        circuit.onDispatch(now);
        CHECK_FALSE(circuit.allows(now + 100000));
        circuit.onNeutral(); // The caller cancelled: another trial may be made.
        CHECK(circuit.allows(now));
        circuit.onDispatch(now);
        circuit.onFailure(now, random.unit());
    }
    circuit.onSuccess(now); // A late result of earlier work is ignored.
    CHECK_FALSE(circuit.allows(now));
    now += 10000;
    circuit.onDispatch(now);
    circuit.onSuccess(now);
    CHECK(circuit.isClosed());
}

TEST_CASE("a slow replica is excluded, but used when there is no other")
{
    auto chooser = ReplicaChooser { {}, 1 };
    auto candidates = makeCandidates(10);
    for (auto i = std::size_t { 0 }; i < 10; ++i)
        chooser.onReport(endpointName(i), model, 0, 0, 0);
    for (auto round = 0; round < 20; ++round) {
        for (auto i = std::size_t { 0 }; i < 10; ++i)
            chooser.onFirstToken(endpointName(i), model, i == 4 ? 3000 : 200, round);
    }
    for (auto i = 0; i < 300; ++i)
        CHECK(chooser.choose({ model, {} }, candidates, 8, 20) != std::size_t { 4 });
    candidates = { candidates[4] };
    CHECK(chooser.choose({ model, {} }, candidates, 8, 20) == std::size_t { 0 });
}

TEST_CASE("a request that may not be repeated is not used as a trial while another replica can "
          "take it")
{
    auto chooser = ReplicaChooser { {}, 1 };
    const auto candidates = makeCandidates(4);
    for (auto i = 0; i < 3; ++i) {
        chooser.onDispatch(endpointName(2), model, 0);
        chooser.onEnd(endpointName(2), model, DispatchResult::Failed, 0);
    }
    auto request = ChoiceRequest { model, {} };
    request.repeatable = false;
    for (auto i = 0; i < 200; ++i)
        CHECK(chooser.choose(request, candidates, 8, 5000) != std::size_t { 2 });
    request.repeatable = true;
    auto tried = false;
    for (auto i = 0; i < 50 && !tried; ++i)
        tried = chooser.choose(request, candidates, 8, 5000) == std::size_t { 2 };
    CHECK(tried);
}

TEST_CASE("random use never picks a replica that is excluded or full of own streams")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto random = Random { seed };
        auto chooser = ReplicaChooser { {}, seed };
        const auto candidates = makeCandidates(1 + random.below(12));
        auto own = std::map<std::size_t, std::uint32_t> {};
        auto failures = std::map<std::size_t, int> {};
        auto openedAt = std::map<std::size_t, Millis> {};
        auto now = Millis { 0 };
        for (auto step = 0; step < 2000; ++step) {
            now += static_cast<Millis>(random.below(30));
            const auto chosen = chooser.choose({ model, {} }, candidates, 4, now);
            if (chosen) {
                REQUIRE(*chosen < candidates.size());
                CHECK(own[*chosen] < 4);
                if (openedAt.contains(*chosen))
                    CHECK(now >= openedAt[*chosen] + 2000);
                chooser.onDispatch(candidates[*chosen].endpoint, model, now);
                ++own[*chosen];
            } else {
                for (auto i = std::size_t { 0 }; i < candidates.size(); ++i)
                    CHECK((own[i] >= 4 || openedAt.contains(i)));
            }
            const auto i = random.below(candidates.size());
            if (own[i] == 0 || random.chance(0.3))
                continue;
            --own[i];
            const auto failed = random.chance(0.1);
            chooser.onEnd(candidates[i].endpoint, model,
                          failed ? DispatchResult::Failed : DispatchResult::Finished, now);
            const auto isAside = openedAt.contains(i) && now < openedAt[i] + 2000;
            if (isAside)
                continue;
            if (!failed) {
                failures[i] = 0;
                // The circuit may still be open because of jitter.
                if (openedAt.contains(i) && now >= openedAt[i] + 75000)
                    openedAt.erase(i);
            } else if (++failures[i] >= 3 || openedAt.contains(i)) {
                if (!openedAt.contains(i))
                    openedAt[i] = now;
            }
        }
    }
}

TEST_CASE("fifty routers with one stale view do not herd")
{
    using testing::ChoiceKind;
    auto options = testing::HerdingOptions {};
    options.duration = 20000;
    for (const auto lag : { 100, 1000, 5000 }) {
        options.lag = lag;
        const auto chooser = testing::runHerding(options, ChoiceKind::Chooser, 5);
        const auto atRandom = testing::runHerding(options, ChoiceKind::Random, 5);
        const auto least = testing::runHerding(options, ChoiceKind::LeastStale, 5);
        const auto two = testing::runHerding(options, ChoiceKind::TwoStale, 5);
        CHECK(chooser.waitP99 * 3 < least.waitP99);
        CHECK(chooser.waitP99 <= atRandom.waitP99);
        CHECK(chooser.waitP99 * 10 <= two.waitP99 * 11);
        CHECK(chooser.longestQueue * 2 < least.longestQueue);
    }
}

} // namespace figrack::policy
