// Tests which accounts are over their share, in virtual time.

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/duration.h"
#include "core/random.h"
#include "policy/fairshare.h"

using namespace figrack;
using namespace figrack::policy;
using namespace std::chrono_literals;

namespace {

/// Usual rates are this fraction of the limits.
constexpr auto usualUse = 1 / 1.8;

struct Shares
{
    auto ask(const std::string &account, double perSecond, double cost) -> void
    {
        const auto id = AccountId { account };
        shares.onAsked(id, perSecond, now);
        shares.onGranted(id, cost, now);
    }
    /// Accounts ask for a fraction of their limits, in requests that cost 100 units, 16 of them a
    /// second at the usual use.
    /// @param uses of the accounts "0", "1" and so on
    auto run(Duration duration, const std::vector<double> &uses) -> void
    {
        const auto until = now + duration;
        for (; now < until; now += 1ms) {
            for (auto i = std::size_t { 0 }; i < uses.size(); ++i) {
                if (random.chance(16 / usualUse * uses[i] / 1000))
                    ask(std::to_string(i), 1600 / usualUse, 100);
            }
        }
    }
    auto isOver(const std::string &account) const -> bool
    {
        return shares.isOver(AccountId { account });
    }
    auto use(const std::string &account) const -> double
    {
        return shares.useOf(AccountId { account }, now);
    }

    FairShare shares { {} };
    Random random { 11 };
    Instant now { 24h };
};

} // namespace

TEST_CASE("Of 16 accounts, the one at its limit is over its share and the others are not")
{
    // Guards against shedding the requests of all accounts alike when one asks for too much.
    auto bench = Shares {};
    auto uses = std::vector<double>(16, usualUse);
    uses[7] = 1;
    bench.run(8s, uses);
    auto over = std::vector<int>(16);
    for (auto i = 0; i < 100; ++i) {
        bench.run(100ms, uses);
        for (auto account = std::size_t { 0 }; account < over.size(); ++account)
            over[account] += bench.isOver(std::to_string(account)) ? 1 : 0;
    }
    CHECK(over[7] >= 95);
    over[7] = 0;
    CHECK(*std::max_element(over.begin(), over.end()) <= 30);
    CHECK(bench.use("7") == doctest::Approx(1).epsilon(0.2));
    CHECK(bench.shares.mean(bench.now) == doctest::Approx(0.58).epsilon(0.1));
}

TEST_CASE("An account alone is never over, whatever it takes")
{
    // Guards against holding back the only account, for which nobody else would gain.
    auto bench = Shares {};
    bench.run(10s, { 6 });
    CHECK(!bench.isOver("0"));
    CHECK(bench.shares.countOver(bench.now) == 0);
}

TEST_CASE("Uses are compared by the accounts' limits, not by their costs")
{
    // Guards against holding back accounts for having paid for a higher limit.
    auto bench = Shares {};
    for (auto i = 0; i < 4000; ++i, bench.now += 5ms) {
        bench.ask("large", 10'000, 25); // 0.5 of its limit.
        bench.ask("small", 1000, 4.5);  // 0.9
    }
    CHECK(!bench.isOver("large"));
    CHECK(bench.isOver("small"));
    CHECK(bench.use("large") == doctest::Approx(0.5).epsilon(0.05));
    // Weighted by limits: (5,000 + 900) / 11,000.
    CHECK(bench.shares.mean(bench.now) == doctest::Approx(0.536).epsilon(0.05));
}

TEST_CASE("A new account starts at the mean")
{
    // Guards against an account that takes all places until its use has been learned.
    auto bench = Shares {};
    bench.run(10s, { usualUse, usualUse, usualUse });
    const auto mean = bench.shares.mean(bench.now);
    const auto id = AccountId { "new" };
    bench.shares.onAsked(id, 500, bench.now);
    CHECK(bench.shares.useOf(id, bench.now) == doctest::Approx(mean));
    CHECK(!bench.shares.isOver(id));
    // At 6 times the usual rate it is over its share within 500 ms.
    for (auto i = 0; i < 50; ++i, bench.now += 10ms)
        bench.ask("new", 500, 500 * usualUse * 6 / 100);
    CHECK(bench.isOver("new"));
}

TEST_CASE("An account that asks for less is within its share after one window")
{
    // Guards against a penalty that lasts longer than its reason.
    auto bench = Shares {};
    bench.run(10s, { usualUse, usualUse, usualUse, usualUse, 1.0 });
    CHECK(bench.isOver("4"));
    // Nor is it counted as over its share when no account asks any more.
    CHECK(bench.shares.countOver(bench.now) == 1);
    CHECK(bench.shares.countOver(bench.now + 5s) == 0);
    bench.run(4s, { usualUse, usualUse, usualUse, usualUse, 0.3 });
    CHECK(!bench.isOver("4"));
}

TEST_CASE("The mean is of accounts that ask, whether they are granted anything or not")
{
    // Guards against hiding an account's use behind those whose requests are all refused.
    auto bench = Shares {};
    bench.run(10s, { usualUse, usualUse });
    CHECK(!bench.isOver("0"));
    for (auto i = 0; i < 400; ++i) {
        bench.run(10ms, { usualUse });
        bench.shares.onAsked(AccountId { "1" }, 1600 / usualUse, bench.now);
    }
    CHECK(bench.isOver("0"));
    // When the other one does not ask any more, it is alone.
    bench.run(5s, { usualUse });
    CHECK(!bench.isOver("0"));
}

TEST_CASE("A grant whose request did not run is taken back with its decay")
{
    // Guards against counting requests that endpoints rejected.
    auto bench = Shares {};
    bench.run(10s, { usualUse, usualUse });
    const auto before = bench.use("0");
    const auto grantedAt = bench.now;
    bench.ask("0", 1600 / usualUse, 20'000);
    CHECK(bench.isOver("0"));
    bench.now += 2s;
    bench.shares.onReturned(AccountId { "0" }, 20'000, grantedAt, bench.now);
    CHECK(bench.use("0") == doctest::Approx(before * std::exp(-0.5)));
    bench.shares.onReturned(AccountId { "0" }, 1e9, grantedAt, bench.now);
    CHECK(bench.use("0") == 0);
}

TEST_CASE("Each change is reported once, and at most one a second for each account")
{
    // Guards against a log that is filled by accounts near the threshold.
    auto bench = Shares {};
    auto changes = std::vector<ShareChange> {};
    auto reportedAt = std::vector<Instant> {};
    const auto uses = std::vector<double> { 0.45, 0.45, 0.63 };
    for (auto i = 0; i < 3000; ++i) {
        bench.run(10ms, uses);
        for (const auto &change : bench.shares.takeChanges(bench.now)) {
            if (change.account != AccountId { "2" })
                continue;
            CHECK((changes.empty() ? false : changes.back().isOver) != change.isOver);
            CHECK((reportedAt.empty() || bench.now - reportedAt.back() >= 990ms));
            CHECK((change.use > 1.25 * change.mean) == change.isOver);
            changes.push_back(change);
            reportedAt.push_back(bench.now);
        }
    }
    CHECK(changes.size() > 2);
    // An account that is over its share and stops asking is reported as well.
    bench.run(10s, { 0.3, 0.3, 1 });
    bench.shares.takeChanges(bench.now);
    bench.run(5s, { 0.3, 0.3 });
    const auto last = bench.shares.takeChanges(bench.now);
    const auto ofTwo = std::find_if(last.begin(), last.end(), [](const auto &change) {
        return change.account == AccountId { "2" };
    });
    REQUIRE(ofTwo != last.end());
    CHECK(!ofTwo->isOver);
}

TEST_CASE("Uses stay exact over hours")
{
    // Guards against overflow and rounding errors of the stored costs.
    auto bench = Shares {};
    for (auto i = 0; i < 200'000; ++i, bench.now += 50ms) {
        bench.ask("a", 100, 5); // At its limit.
        bench.ask("b", 100, 1);
        if (i % 400 == 0)
            bench.ask("c" + std::to_string(i), 1e6, 1e6);
    }
    // The sum of a geometric series with a ratio of exp(-50 ms / 4 s).
    CHECK(bench.use("a") == doctest::Approx(1).epsilon(0.02));
    CHECK(bench.use("b") == doctest::Approx(0.2).epsilon(0.02));
    bench.now += 5s;
    bench.ask("a", 100, 5);
    CHECK(bench.shares.mean(bench.now) == doctest::Approx(bench.use("a")));
}

TEST_CASE("No more accounts are remembered than allowed, and none for long")
{
    // Guards against memory that grows with the accounts that were ever seen.
    auto shares = FairShare { { .maxAccounts = 100 } };
    auto now = Instant { 24h };
    for (auto i = 0; i < 1000; ++i, now += 1ms) {
        const auto id = AccountId { std::to_string(i) };
        shares.onAsked(id, 1, now);
        shares.onGranted(id, 1, now);
        CHECK(shares.size() <= 100);
    }
    CHECK(shares.useOf(AccountId { "999" }, now) > 0);
    CHECK(shares.useOf(AccountId { "899" }, now) == 0);
    now += 17s;
    shares.takeChanges(now);
    CHECK(shares.size() == 0);
    CHECK(shares.mean(now) == 0);
}
