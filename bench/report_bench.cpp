// What the burn report costs: bytes a router sends, memory it keeps, time to render, by the
// number of models in use. Three sizes, so that a slope can be read off. Virtual time.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/random.h"
#include "report/collector.h"
#include "report/recorder.h"

namespace {

using namespace figrack;
using namespace figrack::report;

constexpr auto routers = std::size_t { 20 };
constexpr auto threeDays = std::chrono::hours { 72 };

auto heapBytes() -> std::size_t
{
    return mallinfo2().uordblks;
}

auto fill(Recorder &recorder, ManualClock &clock, Random &random, std::size_t models) -> void
{
    constexpr auto classes = std::array { "urgent", "routine", "patient" };
    constexpr auto steps = 3 * 24 * 12; // Three days by five minutes.
    for (auto step = 0; step < steps; ++step) {
        // A third of the models is used within an hour.
        for (auto i = std::size_t { 0 }; i < std::max<std::size_t>(models / 12, 1); ++i) {
            auto record = RequestRecord {};
            record.classId = ClassId { classes[random.below(classes.size())] };
            record.target = "model-" + std::to_string(random.below(models));
            record.startMs = static_cast<std::int64_t>(100 + random.below(3000));
            record.finishMs = record.startMs + static_cast<std::int64_t>(random.below(20000));
            record.metStart = random.chance(0.95);
            record.metFinish = random.chance(0.95);
            record.cold = random.chance(0.05);
            recorder.record(record);
        }
        clock.advance(std::chrono::minutes { 5 });
    }
    for (auto i = std::size_t { 0 }; i < models; ++i) { // And all of them just now.
        auto record = RequestRecord {};
        record.classId = ClassId { classes[0] };
        record.target = "model-" + std::to_string(i);
        recorder.record(record);
    }
}

auto measure(std::size_t models) -> void
{
    auto clock = ManualClock {};
    auto random = Random { 5 };
    const auto before = heapBytes();
    auto recorder = std::make_unique<Recorder>(clock);
    fill(*recorder, clock, random, models);
    const auto kept = heapBytes() - before;
    const auto everything = recorder->encode(threeDays);
    const auto lastMinute = recorder->encode(std::chrono::minutes { 1 });
    auto collector = Collector { clock, {} };
    for (auto i = std::size_t { 0 }; i < routers; ++i) {
        const auto status = collector.absorb(NodeId { "router-" + std::to_string(i) },
                                             Incarnation { 1 }, everything);
        if (!status.ok())
            std::printf("absorb failed\n");
    }
    const auto started = std::chrono::steady_clock::now();
    const auto page = collector.render(threeDays, ReportFormat::Html, {});
    const auto took = std::chrono::steady_clock::now() - started;
    std::printf("models=%zu routers=%zu recorder_kb=%zu whole_kb=%zu last_minute_kb=%.1f "
                "render_3d_ms=%lld page_kb=%zu\n",
                models, routers, kept / 1024, everything.size() / 1024,
                static_cast<double>(lastMinute.size()) / 1024,
                static_cast<long long>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(took).count()),
                page.size() / 1024);
}

} // namespace

auto main() -> int
{
    for (const auto models : { 50, 150, 450, 780 })
        measure(static_cast<std::size_t>(models));
    return 0;
}
