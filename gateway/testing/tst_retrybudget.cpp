// Repeats of all gateways together, while gateways and controls are killed and restarted.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/retryworld.h"

using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto seeds = std::uint64_t { 20 };

auto mostOverBudget(RetryWorldOptions options) -> double
{
    auto most = -1e9;
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
        options.seed = seed;
        auto world = RetryWorld { options };
        world.run(60s);
        most = std::max(most, world.mostOverBudget());
    }
    return most;
}

} // namespace

TEST_CASE("Repeats stay within the common budget while gateways restart")
{
    auto options = RetryWorldOptions {};
    options.killedGateways = 0.6;
    CHECK(mostOverBudget(options) <= 0);
}

TEST_CASE("Repeats stay within the common budget while controls restart")
{
    auto options = RetryWorldOptions {};
    options.killedControls = 0.6;
    CHECK(mostOverBudget(options) <= 0);
}

TEST_CASE("Repeats stay within the common budget while gateways and controls restart")
{
    auto options = RetryWorldOptions {};
    options.killedGateways = 0.6;
    options.killedControls = 0.6;
    CHECK(mostOverBudget(options) <= 0);
}

TEST_CASE("Repeats stay within the common budget while every process keeps running")
{
    CHECK(mostOverBudget({}) <= 0);
}
