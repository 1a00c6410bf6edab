// What a gateway admits for accounts while it reaches nobody that counts, in virtual time.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "core/random.h"
#include "gateway/loneadmission.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

auto chargeOf(std::uint64_t cost) -> catalogue::AccountCharge
{
    return { AccountId { "a" }, cost, { 100'000, 100'000 }, Revision { 1 }, 0 };
}

} // namespace

TEST_CASE("It goes on at the rate that it has carried, with one request more, and not for ever")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto lone = LoneAdmission { {}, clock, random };
    // 1,000 units a second of late: the window holds 8 s of them.
    for (auto i = 0; i < 400; ++i) {
        lone.onCounted(AccountId { "a" }, 100, false);
        clock.advance(100ms);
    }
    auto admitted = std::uint64_t { 0 };
    for (auto i = 0; i < 100; ++i) {
        admitted += lone.admit(chargeOf(500)) ? 0 : 500;
        clock.advance(40ms);
    }
    CHECK(admitted >= 3000);
    CHECK(admitted <= 4500); // 4 s of what is usual, less with time, and one request.
    clock.advance(1s);
    CHECK(lone.admit(chargeOf(1)).has_value()); // Alone for too long.
    lone.onCounted(AccountId { "a" }, 0, false);
    CHECK_FALSE(lone.admit(chargeOf(1)).has_value());
}

TEST_CASE("A request that costs more than is carried in seconds is admitted once")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto lone = LoneAdmission { {}, clock, random };
    lone.onCounted(AccountId { "a" }, 9000, false);
    CHECK_FALSE(lone.admit(chargeOf(9000)).has_value());
    const auto comeBack = lone.admit(chargeOf(9000));
    REQUIRE(comeBack.has_value());
    CHECK(*comeBack >= 300ms);
    CHECK(*comeBack <= 4s);
}

TEST_CASE("What was admitted alone is told once, and what did not run is not")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto lone = LoneAdmission { {}, clock, random };
    const auto account = AccountId { "a" };
    CHECK_FALSE(lone.admit(chargeOf(700)).has_value());
    lone.giveBack(account, 700);
    CHECK(lone.takeUntold(account) == 0);
    CHECK_FALSE(lone.admit(chargeOf(700)).has_value());
    CHECK(lone.takeUntold(account) == 700);
    CHECK(lone.takeUntold(account) == 0);
    lone.putBackUntold(account, 700);
    CHECK(lone.takeUntold(account) == 700);
    CHECK(lone.takeUntold(AccountId { "b" }) == 0);
}

TEST_CASE("Of an account near its limit many gateways together stay at its rate")
{
    // 200 gateways that carry 100 units a second each, in requests of 2,000.
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto gateways = std::vector<LoneAdmission>(200, LoneAdmission { {}, clock, random });
    for (auto i = 0; i < 80; ++i) {
        for (auto &lone : gateways)
            lone.onCounted(AccountId { "a" }, 50, true);
        clock.advance(500ms);
    }
    auto admitted = std::uint64_t { 0 };
    for (auto i = 0; i < 40; ++i) {
        for (auto &lone : gateways)
            admitted += lone.admit(chargeOf(2000)) ? 0 : 2000;
        clock.advance(100ms);
    }
    CHECK(admitted <= 200 * 100 * 4 * 11 / 10);
    CHECK(admitted >= 200 * 100 * 4 / 2);
}

TEST_CASE("Accounts that nobody asks for are forgotten, but not what nobody was told of")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto lone = LoneAdmission { {}, clock, random };
    for (auto i = 0; i < 1000; ++i)
        lone.onCounted(AccountId { "old-" + std::to_string(i) }, 100, false);
    CHECK_FALSE(lone.admit(chargeOf(7)).has_value());
    clock.advance(90s);
    lone.onCounted(AccountId { "new" }, 100, false);
    CHECK(lone.size() == 2);
    CHECK(lone.takeUntold(AccountId { "a" }) == 7);
}
