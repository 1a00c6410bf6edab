// Runs the registered benchmarks and holds them to ratios against plain references of
// the same run, so that bounds hold on any machine.
//
//   return runWithBounds(argc, argv, { { "choose", "chooseByWalk", 0.006 } });

#ifndef FIGRACK_BENCH_RATIOBOUNDS_H
#define FIGRACK_BENCH_RATIOBOUNDS_H

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

namespace figrack::bench {

struct RatioBound
{
    const char *name;
    const char *reference;
    double ratio; ///< At most, of processor times.
};

/// Prints as usual and keeps the times.
class KeepingReporter : public benchmark::ConsoleReporter
{
public:
    auto ReportRuns(const std::vector<Run> &runs) -> void override // NOLINT: the library's name
    {
        for (const auto &run : runs)
            times[run.benchmark_name()] = run.GetAdjustedCPUTime();
        ConsoleReporter::ReportRuns(runs);
    }
    std::map<std::string, double> times;
};

/// @return the program's exit code: 1 when a bound is passed
inline auto runWithBounds(int argc, char **argv, const std::vector<RatioBound> &bounds) -> int
{
    benchmark::Initialize(&argc, argv);
    auto reporter = KeepingReporter {};
    benchmark::RunSpecifiedBenchmarks(&reporter);
    auto failed = 0;
    for (const auto &bound : bounds) {
        const auto time = reporter.times.find(bound.name);
        const auto reference = reporter.times.find(bound.reference);
        if (time == reporter.times.end() || reference == reporter.times.end())
            continue;
        const auto ratio = time->second / reference->second;
        const auto held = ratio <= bound.ratio;
        failed += held ? 0 : 1;
        std::printf("bench=%s time=%.1f reference=%.1f ratio=%.5f bound=%.5f held=%s\n", bound.name,
                    time->second, reference->second, ratio, bound.ratio, held ? "yes" : "no");
    }
    return failed == 0 ? 0 : 1;
}

} // namespace figrack::bench

#endif // FIGRACK_BENCH_RATIOBOUNDS_H
