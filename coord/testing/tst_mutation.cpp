// Proof that the checks bite: each mechanism is broken on purpose, and the
// randomised run must find it. Prints one row a mechanism for docs/INVARIANTS.md.
// FIGRACK_SEEDS sets how many seeds each may take.

#include <cstdlib>

#include <doctest/doctest.h>

#include "coord/sabotage.h"
#include "coord/testing/chaos.h"
#include "core/log.h"

using namespace figrack;
using namespace figrack::coord;
using namespace figrack::coord::testing;

namespace {

struct Mutation
{
    const char *name;
    bool *broken;
};

const auto mutations = std::vector<Mutation> {
    { "ackBeforeSync", &sabotage::ackBeforeSync },
    { "voteBeforeSync", &sabotage::voteBeforeSync },
    { "voteForShorterLog", &sabotage::voteForShorterLog },
    { "noLeaseWait", &sabotage::noLeaseWait },
    { "noWaitAfterRestart", &sabotage::noWaitAfterRestart },
    { "noDriftAllowance", &sabotage::noDriftAllowance },
    { "leaseFromAnswer", &sabotage::leaseFromAnswer },
    { "keepLeaseOnTransfer", &sabotage::keepLeaseOnTransfer },
    { "leaseBeforeNoop", &sabotage::leaseBeforeNoop },
    { "commitOlderTerm", &sabotage::commitOlderTerm },
    { "commitWithoutQuorum", &sabotage::commitWithoutQuorum },
    { "promoteAtOnce", &sabotage::promoteAtOnce },
    { "manyChangesAtOnce", &sabotage::manyChangesAtOnce },
    { "ignoreIncarnation", &sabotage::ignoreIncarnation },
    { "foundWithSome", &sabotage::foundWithSome },
    { "installBeforeSync", &sabotage::installBeforeSync },
    { "noPreviousCheck", &sabotage::noPreviousCheck },
};

auto seedLimit() -> std::uint64_t
{
    const auto *text = std::getenv("FIGRACK_SEEDS");
    return text == nullptr ? 1000 : std::strtoull(text, nullptr, 10);
}

auto firstViolation(const ChaosOptions &options) -> std::pair<std::uint64_t, ChaosResult>
{
    for (auto seed = std::uint64_t { 1 }; seed <= seedLimit(); ++seed)
        if (auto result = runChaos(seed, options); !result.violation.empty())
            return { seed, result };
    return {};
}

struct OldCopies
{
    std::uint64_t putBack = 0;
    std::uint64_t noticed = 0;
    std::uint64_t brokenRuns = 0;
};

auto countOldCopies() -> OldCopies
{
    auto options = ChaosOptions {};
    options.oldCopies = true;
    auto total = OldCopies {};
    for (auto seed = std::uint64_t { 1 }; seed <= seedLimit() / 5; ++seed) {
        const auto result = runChaos(seed, options);
        total.putBack += result.oldCopies;
        total.noticed += result.noticed;
        total.brokenRuns += result.violation.empty() ? 0 : 1;
    }
    return total;
}

auto expectCaught(const char *name, const ChaosOptions &options) -> void
{
    const auto [seed, result] = firstViolation(options);
    const auto what = result.violation.substr(0, result.violation.find('\n'));
    INFO(name, " must be caught within ", seedLimit(), " seeds");
    CHECK(seed > 0);
    MESSAGE("| ", std::string { name }, " | ", what, " | ", seed, " | ", result.steps, " |");
}

} // namespace

TEST_CASE("each broken mechanism is caught by the randomised run")
{
    auto logging = LogOptions {};
    logging.level = LogLevel::Error;
    logging.file = "/dev/null";
    REQUIRE(startLogging(logging).ok());
    for (const auto &mutation : mutations) {
        *mutation.broken = true;
        expectCaught(mutation.name, {});
        *mutation.broken = false;
    }
}

TEST_CASE("a disk that lies about its syncs is caught by the randomised run")
{
    auto options = ChaosOptions {};
    options.lyingDisks = 1.0;
    expectCaught("lyingDisk", options);
}

// What no reachable peer remembers cannot be noticed, so some runs break: the figures tell.
TEST_CASE("old copies of disks are noticed only where they are looked for")
{
    const auto looked = countOldCopies();
    sabotage::noOldCopyCheck = true;
    const auto blind = countOldCopies();
    sabotage::noOldCopyCheck = false;
    CHECK(looked.noticed > 0);
    CHECK(blind.noticed == 0);
    MESSAGE("looked for: put_back=", looked.putBack, " noticed=", looked.noticed,
            " broken_runs=", looked.brokenRuns, "; not looked for: put_back=", blind.putBack,
            " broken_runs=", blind.brokenRuns);
}
