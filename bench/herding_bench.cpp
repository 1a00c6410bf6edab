// Fifty routers with the same stale view: how much longer requests wait by each way of
// choosing, in virtual time. One key=value line a way, lag and load.

#include <array>
#include <cstdio>

#include "policy/testing/herding.h"

namespace {

using namespace figrack::policy::testing;

constexpr auto seed = std::uint64_t { 20262 };

struct Way
{
    ChoiceKind kind;
    const char *name;
};

constexpr auto ways = std::array<Way, 5> { {
        { ChoiceKind::Random, "random" },
        { ChoiceKind::LeastStale, "least_reported" },
        { ChoiceKind::LeastOwn, "least_corrected" },
        { ChoiceKind::TwoStale, "two_reported" },
        { ChoiceKind::Chooser, "chooser" },
} };

auto printRun(const Way &way, std::int64_t lag, double load) -> void
{
    auto options = HerdingOptions {};
    options.lag = lag;
    options.load = load;
    const auto result = runHerding(options, way.kind, seed);
    std::printf("choice=%s lag_ms=%lld load=%.2f waited_percent=%.2f wait_p99_ms=%lld "
                "wait_max_ms=%lld longest_queue=%zu held=%llu\n",
                way.name, static_cast<long long>(lag), load,
                100.0 * static_cast<double>(result.waited) / static_cast<double>(result.served),
                static_cast<long long>(result.waitP99), static_cast<long long>(result.waitMax),
                result.longestQueue, static_cast<unsigned long long>(result.held));
}

} // namespace

auto main() -> int
{
    for (const auto load : std::array { 0.6, 0.85 }) {
        for (const auto lag : std::array { 100, 1000, 5000 }) {
            for (const auto &way : ways)
                printRun(way, lag, load);
        }
    }
    return 0;
}
