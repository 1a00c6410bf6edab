// Tests the token buckets of accounts step by step. gateway/testing/tst_accountlimits.cpp simulates
// what callers get of them under load.

#include <doctest/doctest.h>

#include <algorithm>

#include "policy/accountlimits.h"

using namespace figrack;

namespace {

/// 1,000 units a second and a burst of 1,000: 9,000 in any window of 8 s, and a tolerance of 900.
constexpr auto limit = catalogue::RateLimit { 1000, 1000 };
constexpr auto later = policy::Millis { 100'000 };
/// Fill rate of the bucket, and its capacity.
constexpr auto perSecond = 1125;
constexpr auto held = 630;

/// Each request is different work unless a test says otherwise.
auto work = std::uint64_t { 0 };

auto chargeOf(std::uint64_t cost) -> catalogue::AccountCharge
{
    return { AccountId { "a" }, cost, limit, Revision { 1 }, 0 };
}

auto roomOf(const policy::AccountLimits &limits, policy::Millis now) -> double
{
    return limits.accountStatuses(1, now).at(0).room;
}

} // namespace

TEST_CASE("An account that asks for too much gets all of its limit, evenly")
{
    auto limits = policy::AccountLimits { {}, 0 };
    auto admitted = std::vector<int> {};
    for (auto second = 0; second < 16; ++second) {
        auto count = 0;
        // No caller returns: the room reserved for them is not lost to the others.
        for (auto i = 0; i < 100; ++i)
            count += limits.admit(chargeOf(50), ++work, later + second * 1000 + i * 10) ? 0 : 50;
        admitted.push_back(count);
    }
    CHECK(admitted.front() <= perSecond + held);
    for (std::size_t i = 1; i < admitted.size(); ++i) {
        CHECK(admitted[i] >= perSecond - 50);
        CHECK(admitted[i] <= perSecond + 50);
    }
}

TEST_CASE("A refused caller gets a retry time, each later than the one before, and has room then")
{
    auto limits = policy::AccountLimits { {}, 0 };
    CHECK_FALSE(limits.admit(chargeOf(held), 1, later).has_value());
    CHECK(limits.admit(chargeOf(450), 2, later) == 400);
    CHECK(limits.admit(chargeOf(450), 3, later) == 800);
    CHECK(limits.roomIn(chargeOf(450), 4, later) == 1200);
    // A request that happens to arrive first does not take the room reserved for another.
    CHECK(limits.admit(chargeOf(450), 5, later + 410).has_value());
    CHECK_FALSE(limits.admit(chargeOf(450), 2, later + 420).has_value());
    CHECK_FALSE(limits.admit(chargeOf(450), 3, later + 820).has_value());
    // The room of a caller that does not return becomes available after reservationTtl.
    CHECK(limits.admit(chargeOf(450), 6, later + 1210).has_value());
    CHECK_FALSE(limits.admit(chargeOf(450), 7, later + 1460).has_value());
}

TEST_CASE("A request that did not run is refunded, and retry times are bounded")
{
    auto limits = policy::AccountLimits { {}, 0 };
    CHECK_FALSE(limits.admit(chargeOf(held), 1, later).has_value());
    limits.giveBack(AccountId { "a" }, held, later);
    CHECK_FALSE(limits.admit(chargeOf(held), 2, later).has_value());
    for (auto i = std::uint64_t { 0 }; i < 20; ++i)
        CHECK(limits.admit(chargeOf(450), 3 + i, later) <= 4000);
}

TEST_CASE(
        "A request that costs more than the bucket's capacity is admitted when the bucket is full")
{
    auto limits = policy::AccountLimits { {}, 0 };
    CHECK_FALSE(limits.admit(chargeOf(4500), ++work, later).has_value());
    CHECK(limits.admit(chargeOf(4500), 1, later + 3900).has_value());
    CHECK_FALSE(limits.admit(chargeOf(4500), 1, later + 4000).has_value());
}

TEST_CASE("A counter that does not know what others admit starts with nearly empty buckets")
{
    auto limits = policy::AccountLimits { {}, later };
    CHECK_FALSE(limits.admit(chargeOf(90), ++work, later).has_value()); // A tenth of the tolerance.
    CHECK(limits.admit(chargeOf(90), ++work, later).has_value());
    CHECK(roomOf(limits, later + 10'000) == doctest::Approx(held));
    limits.resetBuckets(later + 10'000);
    CHECK(roomOf(limits, later + 10'000) == doctest::Approx(90));
}

TEST_CASE("Of the first update of a counter only its latest part is deducted")
{
    auto limits = policy::AccountLimits { {}, 0 };
    const auto row = [&](double sum, double latest) {
        return std::vector<catalogue::AccountUse> { { AccountId { "a" }, sum, latest, 0, false,
                                                      limit, Revision { 1 } } };
    };
    limits.onNews(NodeId { "c" }, Incarnation { 1 }, row(1e9, 100), later);
    CHECK(roomOf(limits, later) == doctest::Approx(held - 100));
    limits.onNews(NodeId { "c" }, Incarnation { 1 }, row(1e9 + 300, 50), later);
    CHECK(roomOf(limits, later) == doctest::Approx(held - 400));
    // The counter has restarted: its sums start from zero.
    limits.onNews(NodeId { "c" }, Incarnation { 2 }, row(200, 200), later);
    CHECK(roomOf(limits, later) == doctest::Approx(held - 600));
    // The counter has refunded 100 units.
    limits.onNews(NodeId { "c" }, Incarnation { 2 }, row(100, -100), later);
    CHECK(roomOf(limits, later) == doctest::Approx(held - 500));
}

TEST_CASE("A counter that was reset takes over the level that another one knows")
{
    auto limits = policy::AccountLimits { {}, 0 };
    CHECK_FALSE(limits.admit(chargeOf(100), ++work, later).has_value());
    limits.resetBuckets(later);
    CHECK_FALSE(limits.admit(chargeOf(50), ++work, later).has_value());
    auto row = catalogue::AccountUse { AccountId { "a" }, 1000, 1000, 300, false, limit,
                                       Revision { 1 } };
    limits.onNews(NodeId { "c" }, Incarnation { 1 }, { row }, later);
    CHECK(roomOf(limits, later) < 0);
    row.isKnown = true;
    limits.onNews(NodeId { "c" }, Incarnation { 1 }, { row }, later);
    // 300 less the 50 admitted here since the reset.
    CHECK(roomOf(limits, later) == doctest::Approx(250));
}

TEST_CASE("A counter whose updates stopped recently may have gone on admitting")
{
    auto limits = policy::AccountLimits { {}, 0 };
    auto sum = 0.0;
    for (auto i = 0; i < 200; ++i, sum += 100) {
        limits.onNews(NodeId { "c" }, Incarnation { 1 },
                      { { AccountId { "a" }, sum, 100, 0, false, limit, Revision { 1 } } },
                      later + i * 100);
    }
    const auto last = later + 19'900;
    const auto before = roomOf(limits, last + 1300);
    static_cast<void>(limits.roomIn(chargeOf(1), ++work, last + 1300));
    CHECK(before - roomOf(limits, last + 1300) > 500); // One second at about 1,000 units a second.
    const auto after = roomOf(limits, last + 1310);
    static_cast<void>(limits.roomIn(chargeOf(1), ++work, last + 1310));
    CHECK(after - roomOf(limits, last + 1310) < 20); // It is deducted once.
}

TEST_CASE("A lowered limit applies at once, and an older document does not raise it again")
{
    auto limits = policy::AccountLimits { {}, 0 };
    CHECK_FALSE(limits.admit(chargeOf(1), ++work, later).has_value());
    auto lower = chargeOf(60);
    lower.limit = { 100, 100 };
    lower.version = Revision { 2 };
    CHECK_FALSE(limits.admit(lower, ++work, later + 1000).has_value());
    CHECK(limits.admit(lower, ++work, later + 1000).has_value());
    CHECK(limits.admit(chargeOf(400), ++work, later + 1100).has_value());
    auto higher = chargeOf(400);
    higher.version = Revision { 3 };
    CHECK(limits.admit(higher, 1, later + 1200).has_value());
    CHECK_FALSE(limits.admit(higher, 1, later + 1700).has_value()); // It fills at the new rate.
}

TEST_CASE("When there are too many accounts, the one that used least of its limit is evicted")
{
    auto options = policy::AccountLimitsOptions {};
    options.maxAccounts = 2;
    auto limits = policy::AccountLimits { options, 0 };
    const auto chargeTo = [](const char *account, std::uint64_t cost) {
        auto charge = chargeOf(cost);
        charge.account = AccountId { account };
        return charge;
    };
    while (!limits.admit(chargeTo("a", 50), ++work, later)) {
    }
    CHECK_FALSE(limits.admit(chargeTo("b", 50), ++work, later));
    CHECK_FALSE(limits.admit(chargeTo("c", 50), ++work, later));
    CHECK(limits.size() == 2);
    CHECK(limits.admit(chargeTo("a", 50), ++work, later).has_value());
    const auto statuses = limits.accountStatuses(3, later);
    const auto isKnown = [&](const char *account) {
        return std::any_of(statuses.begin(), statuses.end(), [&](const auto &status) {
            return status.account == AccountId { account };
        });
    };
    CHECK(isKnown("a"));
    CHECK_FALSE(isKnown("b"));
}
