// Repeats of all gateways together, while gateways and controls are killed and restarted.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/retryworld.h"

using namespace figrack;
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

TEST_CASE("Repeats stay within the common budget while gateways lose the controls")
{
    auto options = RetryWorldOptions {};
    options.cutGateways = 0.6;
    options.killedControls = 0.3;
    options.downFor = 2s;
    CHECK(mostOverBudget(options) <= 0);
}

TEST_CASE("Repeats stay within the common budget where requests wait and come in bursts")
{
    auto options = RetryWorldOptions {};
    options.longestWait = 4s;
    options.burst = 6;
    options.killedGateways = 0.3;
    CHECK(mostOverBudget(options) <= 0);
}

TEST_CASE("Nearly all of the common budget is used where it is needed")
{
    auto world = RetryWorld { {} };
    world.run(60s);
    CHECK(world.mostUsed() >= 0.9);
}

TEST_CASE("The fixed number of repeats is available to gateways that have just restarted")
{
    auto options = RetryWorldOptions {};
    options.killedGateways = 0.6;
    auto world = RetryWorld { options };
    world.run(60s);
    CHECK(world.mostInWindow() >= fleet::RetryLedgerOptions {}.slack);
}
