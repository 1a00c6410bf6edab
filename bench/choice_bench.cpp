// What a routing choice and an admission cost at the target size, beside a plain reference
// in the same run: a walk over all candidates, a walk over all queued. Bounds are ratios
// to the reference, so they hold on any machine; the program fails when one is passed.

#include <array>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "bench/ratiobounds.h"
#include "core/random.h"
#include "policy/admission.h"
#include "policy/choice.h"

namespace {

using namespace figrack;
using namespace figrack::policy;

constexpr auto runners = std::size_t { 5100 };
constexpr auto slots = std::uint32_t { 8 };
constexpr auto queued = std::size_t { 4000 };
constexpr auto promptBlocks = std::size_t { 64 };

/// A fleet of runners that all have one model, with reports and own streams.
class Fleet
{
public:
    Fleet()
    {
        auto random = Random { 1 };
        for (auto i = std::size_t { 0 }; i < runners; ++i) {
            const auto digits = std::to_string(i);
            const auto id = EndpointId { "runner-" + std::string(5 - digits.size(), '0') + digits };
            candidates.push_back({ model, id, ReplicaPhase::Ready, 0, 0, 0, 0 });
            loads.push_back(static_cast<std::uint32_t>(random.below(slots)));
            chooser.onReport(id, model, loads.back(), 0, 900);
            if (random.chance(0.2))
                chooser.onDispatch(id, model, 950);
            auto blocks = std::vector<std::uint64_t> {};
            for (auto block = 0; block < 40; ++block)
                blocks.push_back(random.below(100000));
            chooser.onCacheEvents({ id, 0, true, blocks, {} }, 950);
        }
        for (auto block = std::size_t { 0 }; block < promptBlocks; ++block)
            prompt.push_back(random.below(200000));
    }

    ModelId model { "model" };
    ReplicaChooser chooser { ChoiceOptions {}, 7 };
    std::vector<ReplicaInfo> candidates;
    std::vector<std::uint32_t> loads;
    std::vector<std::uint64_t> prompt;
};

auto fleet() -> Fleet &
{
    static auto instance = Fleet {};
    return instance;
}

auto choose(benchmark::State &state) -> void
{
    auto &all = fleet();
    const auto request = ChoiceRequest { all.model, {} };
    for (auto _ : state)
        benchmark::DoNotOptimize(all.chooser.choose(request, all.candidates, slots, 1000));
}
BENCHMARK(choose);

auto chooseWithPrompt(benchmark::State &state) -> void
{
    auto &all = fleet();
    const auto request = ChoiceRequest { all.model, all.prompt };
    for (auto _ : state)
        benchmark::DoNotOptimize(all.chooser.choose(request, all.candidates, slots, 1000));
}
BENCHMARK(chooseWithPrompt);

/// The reference: look at every candidate, take the least loaded.
auto chooseByWalk(benchmark::State &state) -> void
{
    auto &all = fleet();
    for (auto _ : state) {
        auto best = std::size_t { 0 };
        auto least = UINT32_MAX;
        for (auto i = std::size_t { 0 }; i < all.candidates.size(); ++i) {
            const auto load = all.chooser.estimatedLoad(all.candidates[i].endpoint, all.model);
            if (load >= least)
                continue;
            least = load;
            best = i;
        }
        benchmark::DoNotOptimize(best);
    }
}
BENCHMARK(chooseByWalk);

auto makeRequest(std::uint64_t ticket, Random &random) -> QueuedRequest
{
    constexpr auto starts = std::array<Millis, 3> { 2000000, 10000000, 60000000 };
    const auto which = random.below(starts.size());
    const auto start = starts[which] + static_cast<Millis>(random.below(1000));
    return { ticket,
             ModelId { "model" },
             ClassId { std::string(1, static_cast<char>('a' + which)) },
             "c" + std::to_string(ticket % 500),
             0,
             start,
             10 * start };
}

auto view() -> ModelView
{
    auto view = ModelView {};
    view.ready = 10;
    view.totalSlots = 80;
    view.serviceTime = 1000;
    return view;
}

/// One request in and one out, with many queued.
auto admitAndPop(benchmark::State &state) -> void
{
    auto random = Random { 3 };
    auto queue = RequestQueue { QueueOptions {} };
    auto ticket = std::uint64_t { 0 };
    while (queue.size() < queued)
        queue.admit(makeRequest(++ticket, random), view(), 0);
    for (auto _ : state) {
        benchmark::DoNotOptimize(queue.admit(makeRequest(++ticket, random), view(), 0));
        benchmark::DoNotOptimize(queue.pop(ModelId { "model" }, 0));
    }
}
BENCHMARK(admitAndPop);

/// The reference: a list, walked for the place of the newcomer and for the next to go.
auto admitAndPopByWalk(benchmark::State &state) -> void
{
    auto random = Random { 3 };
    auto list = std::vector<QueuedRequest> {};
    auto ticket = std::uint64_t { 0 };
    while (list.size() < queued)
        list.push_back(makeRequest(++ticket, random));
    for (auto _ : state) {
        auto request = makeRequest(++ticket, random);
        auto ahead = std::size_t { 0 };
        for (const auto &other : list)
            ahead += other.startBy < request.startBy ? 1 : 0;
        benchmark::DoNotOptimize(ahead);
        list.push_back(std::move(request));
        auto next = list.begin();
        for (auto it = list.begin(); it != list.end(); ++it) {
            if (it->startBy < next->startBy)
                next = it;
        }
        list.erase(next);
    }
}
BENCHMARK(admitAndPopByWalk);

} // namespace

auto main(int argc, char **argv) -> int
{
    return figrack::bench::runWithBounds(argc, argv,
                                         { { "choose", "chooseByWalk", 0.006 },
                                           { "chooseWithPrompt", "chooseByWalk", 0.01 },
                                           { "admitAndPop", "admitAndPopByWalk", 0.25 } });
}
