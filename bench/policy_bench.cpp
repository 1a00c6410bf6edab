// What a placement pass costs at the target size: 5,100 endpoints, 780 models and 4,700
// adapters. A full pass touches every model, an incremental one those that changed; the
// plain reference, in the same run, walks all models and endpoints once with a look-up
// each. Bounds are ratios of processor time to those.

#include <map>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "bench/ratiobounds.h"
#include "core/random.h"
#include "policy/planner.h"

namespace {

using namespace figrack;
using namespace figrack::policy;

constexpr auto endpoints = 5100;
constexpr auto bases = 780;
constexpr auto adapters = 4700;

/// The target's tables: each base is ready on six endpoints, each adapter on one of them.
class Target
{
public:
    Target()
        : planner({ .storeConcurrency = 800, .storeLoadsPerSecond = 600 })
    {
        auto random = Random { 1 };
        planner.setClass({ ClassId { "urgent" }, 1700, 30000, 0.95 });
        for (auto i = 0; i < endpoints; ++i) {
            auto info = EndpointInfo {};
            info.id = EndpointId { fmt::format("runner{:05}", i) };
            info.domain = DomainId { fmt::format("domain{:02}", i % 14) };
            info.memoryMb = 640000;
            info.accelerators = 8;
            planner.setEndpoint(info);
            held[info.id] = info.memoryMb;
        }
        for (auto i = 0; i < bases + adapters; ++i)
            addModel(i, random);
    }

    auto touch(std::size_t count) -> void
    {
        for (auto i = std::size_t { 0 }; i < count; ++i) {
            const auto &id = models[(next += 7) % models.size()];
            planner.setDemand({ id, ClassId { "urgent" }, 0,
                                1 + static_cast<std::uint32_t>(next % 3), now + 1000 });
        }
    }

    Planner planner;
    std::vector<ModelId> models;
    std::map<EndpointId, std::uint64_t> held;
    std::size_t next = 0;
    Millis now = 0;

private:
    auto addModel(int index, Random &random) -> void
    {
        auto info = ModelInfo {};
        info.id = ModelId { fmt::format("model{:05}", index) };
        info.memoryMb = index < bases ? 12000 + random.below(48000) : 500 + random.below(1000);
        info.slots = 32;
        const auto base = index < bases ? index : static_cast<int>(random.below(bases));
        if (index >= bases)
            info.base = models[static_cast<std::size_t>(base)];
        planner.setModel(info);
        models.push_back(info.id);
        for (auto i = 0; i < (index < bases ? 6 : 1); ++i) {
            auto replica = ReplicaInfo {};
            replica.model = info.id;
            replica.endpoint
                    = EndpointId { fmt::format("runner{:05}", (base * 6 + i) % endpoints) };
            replica.phase = ReplicaPhase::Ready;
            replica.running = 1;
            planner.setReplica(replica);
        }
    }
};

auto target() -> Target &
{
    static auto instance = Target {};
    return instance;
}

/// A pass after a number of models changed; the whole catalogue is the full pass.
auto pass(benchmark::State &state) -> void
{
    auto &tables = target();
    tables.planner.plan(tables.now);
    for (auto _ : state) {
        state.PauseTiming();
        tables.touch(static_cast<std::size_t>(state.range(0)));
        state.ResumeTiming();
        benchmark::DoNotOptimize(tables.planner.plan(tables.now));
    }
}
BENCHMARK(pass)->Arg(1)->Arg(10)->Arg(100)->Arg(bases + adapters)->Unit(benchmark::kMicrosecond);

/// The plain reference: for each model a walk over all endpoints for the tightest fit.
auto reference(benchmark::State &state) -> void
{
    auto &tables = target();
    for (auto _ : state) {
        for (auto i = std::int64_t { 0 }; i < state.range(0); ++i) {
            auto best = EndpointId {};
            auto room = ~std::uint64_t { 0 };
            for (const auto &[id, free] : tables.held) {
                if (free >= 20000 + static_cast<std::uint64_t>(i) && free < room) {
                    room = free;
                    best = id;
                }
            }
            benchmark::DoNotOptimize(best);
        }
    }
}
BENCHMARK(reference)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);

/// One wake-up at target size: a demand for a model that is loaded nowhere.
auto wakeUp(benchmark::State &state) -> void
{
    auto &tables = target();
    const auto id = ModelId { "sleeper" };
    auto info = ModelInfo {};
    info.id = id;
    info.memoryMb = 30000;
    tables.planner.setModel(info);
    tables.planner.plan(tables.now);
    for (auto _ : state) {
        tables.planner.setDemand({ id, ClassId { "urgent" }, 3, 0, tables.now + 1000 });
        benchmark::DoNotOptimize(tables.planner.plan(tables.now));
    }
    tables.planner.removeModel(id);
}
BENCHMARK(wakeUp)->Unit(benchmark::kMicrosecond);

} // namespace

auto main(int argc, char **argv) -> int
{
    return figrack::bench::runWithBounds(argc, argv,
                                         { { "pass/1", "pass/5480", 0.002 },
                                           { "pass/100", "pass/5480", 0.15 },
                                           { "pass/1", "reference/1", 1.2 },
                                           { "pass/10", "reference/10", 1.2 },
                                           { "wakeUp", "reference/1", 1.2 } });
}
