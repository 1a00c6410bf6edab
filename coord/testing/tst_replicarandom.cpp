// Long randomised runs. FIGRACK_SEED sets the first seed and FIGRACK_SEEDS how many:
//   FIGRACK_SEED=17 FIGRACK_SEEDS=1 figrack_replica_test -tc='randomised*'

#include <cstdlib>

#include <doctest/doctest.h>

#include "coord/testing/chaos.h"
#include "core/log.h"

using namespace figrack;
using namespace figrack::coord::testing;

namespace {

auto fromEnvironment(const char *name, std::uint64_t otherwise) -> std::uint64_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("randomised runs keep every invariant")
{
    auto logging = LogOptions {};
    logging.level = LogLevel::Error;
    REQUIRE(startLogging(logging).ok());
    const auto first = fromEnvironment("FIGRACK_SEED", 1);
    const auto count = fromEnvironment("FIGRACK_SEEDS", 200);
    auto total = ChaosResult {};
    for (auto seed = first; seed < first + count; ++seed) {
        const auto result = runChaos(seed, {});
        INFO("seed=", seed, " step=", result.steps);
        CHECK(result.violation == "");
        total.steps += result.steps;
        total.committed += result.committed;
        total.wipes += result.wipes;
        total.changes += result.changes;
    }
    MESSAGE("seeds=", count, " steps=", total.steps, " committed=", total.committed,
            " disks_lost=", total.wipes, " membership_changes=", total.changes);
}
