// What a gateway admits for accounts while it cannot reach a balancer, in virtual time.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "core/random.h"
#include "gateway/localadmission.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

auto chargeOf(std::uint64_t cost) -> catalogue::AccountCharge
{
    return { AccountId { "a" }, cost, { 100'000, 100'000 }, Revision { 1 }, 0 };
}

} // namespace

TEST_CASE("It continues at the recent rate plus one request, for a limited time")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto localAdmission = LocalAdmission { {}, clock, random };
    // A recent rate of 1,000 units per second; the window covers 8 s.
    for (auto i = 0; i < 400; ++i) {
        localAdmission.onCounted(AccountId { "a" }, 100, false);
        clock.advance(100ms);
    }
    auto admitted = std::uint64_t { 0 };
    for (auto i = 0; i < 100; ++i) {
        admitted += localAdmission.admit(chargeOf(500)) ? 0 : 500;
        clock.advance(40ms);
    }
    CHECK(admitted >= 3000);
    CHECK(admitted <= 4500); // 4 s at the average rate, which decays, and one request.
    clock.advance(1s);
    CHECK(localAdmission.admit(chargeOf(1)).has_value()); // Without a balancer for too long.
    localAdmission.onCounted(AccountId { "a" }, 0, false);
    CHECK_FALSE(localAdmission.admit(chargeOf(1)).has_value());
}

TEST_CASE("A request that costs more than is served in several seconds is admitted once")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto localAdmission = LocalAdmission { {}, clock, random };
    localAdmission.onCounted(AccountId { "a" }, 9000, false);
    CHECK_FALSE(localAdmission.admit(chargeOf(9000)).has_value());
    const auto retryAfter = localAdmission.admit(chargeOf(9000));
    REQUIRE(retryAfter.has_value());
    CHECK(*retryAfter >= 300ms);
    CHECK(*retryAfter <= 4s);
}

TEST_CASE("Locally admitted charges are reported once, except those whose requests did not run")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto localAdmission = LocalAdmission { {}, clock, random };
    const auto account = AccountId { "a" };
    CHECK_FALSE(localAdmission.admit(chargeOf(700)).has_value());
    localAdmission.giveBack(account, 700);
    CHECK(localAdmission.takeUnreported(account) == 0);
    CHECK_FALSE(localAdmission.admit(chargeOf(700)).has_value());
    CHECK(localAdmission.takeUnreported(account) == 700);
    CHECK(localAdmission.takeUnreported(account) == 0);
    localAdmission.restoreUnreported(account, 700);
    CHECK(localAdmission.takeUnreported(account) == 700);
    CHECK(localAdmission.takeUnreported(AccountId { "b" }) == 0);
}

TEST_CASE("For an account near its limit, many gateways together stay at its rate")
{
    // 200 gateways that each serve 100 units per second, in requests of 2,000 units.
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto gateways = std::vector<LocalAdmission>(200, LocalAdmission { {}, clock, random });
    for (auto i = 0; i < 80; ++i) {
        for (auto &localAdmission : gateways)
            localAdmission.onCounted(AccountId { "a" }, 50, true);
        clock.advance(500ms);
    }
    auto admitted = std::uint64_t { 0 };
    for (auto i = 0; i < 40; ++i) {
        for (auto &localAdmission : gateways)
            admitted += localAdmission.admit(chargeOf(2000)) ? 0 : 2000;
        clock.advance(100ms);
    }
    CHECK(admitted <= 200 * 100 * 4 * 11 / 10);
    CHECK(admitted >= 200 * 100 * 4 / 2);
}

TEST_CASE("Unused accounts are forgotten, but not while they have unreported units")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto localAdmission = LocalAdmission { {}, clock, random };
    for (auto i = 0; i < 1000; ++i)
        localAdmission.onCounted(AccountId { "old-" + std::to_string(i) }, 100, false);
    CHECK_FALSE(localAdmission.admit(chargeOf(7)).has_value());
    clock.advance(90s);
    localAdmission.onCounted(AccountId { "new" }, 100, false);
    CHECK(localAdmission.size() == 2);
    CHECK(localAdmission.takeUnreported(AccountId { "a" }) == 7);
}
