// Choice of a replica: lag correction, two draws, affinity, circuit breaking, cache-event gaps.

#include "policy/choice.h"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

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
    chooser.onReport(endpoint, model, 3, 1, 150); // Has the first, not the second.
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

TEST_CASE("a failing endpoint is put aside and tried with one request at a time")
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
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 2501)); // The trial runs.
    chooser.onEnd(endpoint, model, DispatchResult::Failed, 2600);
    CHECK_FALSE(chooser.choose({ model, {} }, candidates, 8, 6500)); // Twice the time.
    CHECK(chooser.choose({ model, {} }, candidates, 8, 7700));
    chooser.onDispatch(endpoint, model, 7700);
    chooser.onEnd(endpoint, model, DispatchResult::Finished, 7800);
    CHECK(chooser.choose({ model, {} }, candidates, 8, 7800));
}

TEST_CASE("a cached prefix draws the request until the queue outweighs it")
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

TEST_CASE("a gap in cache events is noticed, distrusted and mended by a snapshot")
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

} // namespace figrack::policy
