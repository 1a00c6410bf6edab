// Tests the retry budget against a reference that counts the tokens granted.

#include "policy/retry.h"

#include <algorithm>
#include <array>

#include <doctest/doctest.h>

namespace figrack::policy {
namespace {

constexpr auto anyTime = Millis { 1 } << 40;

auto repeatableAttempt(std::uint32_t attempts) -> FailedAttempt
{
    return { attempts, true, true, anyTime };
}

} // namespace

TEST_CASE("an attempt that may have run is never retried unless its request is repeatable")
{
    auto budget = RetryBudget { {}, 1 };
    CHECK_FALSE(budget.next({ 1, false, true, anyTime }, 0));
    CHECK(budget.next({ 1, false, false, anyTime }, 0)); // It certainly did not run.
    CHECK(budget.next({ 1, true, true, anyTime }, 0));
}

TEST_CASE("attempts are bounded, and none starts past the latest start")
{
    auto budget = RetryBudget { {}, 1 };
    CHECK(budget.next(repeatableAttempt(2), 0));
    CHECK_FALSE(budget.next(repeatableAttempt(3), 0));
    const auto before = budget.left();
    CHECK_FALSE(budget.next({ 1, true, true, 999 }, 1000));
    CHECK(budget.left() == before);
}

TEST_CASE("retries stay a bounded fraction of requests however much fails")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 50; ++seed) {
        auto random = Random { seed };
        auto options = RetryOptions {};
        options.perRequest = 0.05 + 0.2 * random.unit();
        options.capacity = static_cast<double>(1 + random.below(30));
        auto budget = RetryBudget { options, seed };
        auto ledger = options.capacity; // The reference: tokens left.
        for (auto step = 0; step < 5000; ++step) {
            if (random.chance(0.5)) {
                budget.onRequest();
                ledger = std::min(ledger + options.perRequest, options.capacity);
                continue;
            }
            const auto attempt = FailedAttempt { 1 + static_cast<std::uint32_t>(random.below(4)),
                                                 random.chance(0.7), random.chance(0.7),
                                                 static_cast<Millis>(random.below(2000)) };
            const auto delay = budget.next(attempt, 1000);
            const auto allowed = (attempt.repeatable || !attempt.mayHaveRun)
                    && attempt.attempts < options.maxAttempts && ledger >= 1;
            if (!allowed || attempt.latestStart < 1000)
                CHECK_FALSE(delay);
            if (allowed && attempt.latestStart >= 1000 + options.maxDelay)
                CHECK(delay);
            if (!delay)
                continue;
            ledger -= 1;
            CHECK(*delay >= 0);
            CHECK(*delay <= options.firstDelay << (attempt.attempts - 1));
            CHECK(1000 + *delay <= attempt.latestStart);
        }
        CHECK(budget.left() == static_cast<std::uint32_t>(ledger));
    }
}

TEST_CASE("requests that failed together are retried at different times")
{
    auto options = RetryOptions {};
    options.capacity = 10000;
    options.firstDelay = 1000;
    auto budget = RetryBudget { options, 9 };
    auto inTenth = std::array<int, 10> {};
    for (auto i = 0; i < 10000; ++i)
        ++inTenth[static_cast<std::size_t>(
                std::min<Millis>(*budget.next(repeatableAttempt(1), 0), 999) / 100)];
    for (const auto count : inTenth) {
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}

} // namespace figrack::policy
