// Tests whose requests yield at the balancer when there is not room for all, in virtual time.

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/duration.h"
#include "fleet/balancer.h"
#include "fleet/metrics.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

/// Sends requests of accounts to a balancer with endpoints of ten places.
struct Accounts
{
    explicit Accounts(BalancerOptions options = {})
        : balancer(options, clock, random)
    { }

    auto pick(const std::string &account, std::uint64_t cost = 100) -> bool
    {
        auto request = proto::PickRequest {};
        request.ticket = ++ticket;
        request.candidates = endpoints;
        request.model = 1;
        request.limitMs = 60'000;
        request.places = 10;
        request.rank = 1;
        request.isOrdered = isOrdered;
        request.hasBegun = hasBegun;
        request.account = AccountId { account };
        request.cost = cost;
        request.accountPerSecond = perSecond;
        const auto reply = balancer.pick(gateway, request);
        // Callers here do not wait: one that is queued counts as refused.
        if (reply.isQueued)
            end(ticket);
        return !reply.endpoint.empty();
    }
    auto end(std::uint64_t which, bool mayHaveRun = true) -> void
    {
        balancer.onEnd(gateway, { which, 0, proto::PickOutcome::Unknown, mayHaveRun });
    }
    /// Makes "hog" an account over its share, beside "other" within it, with no request running.
    auto useUp() -> void
    {
        for (auto i = 0; i < 40; ++i) {
            pick("other", 50);
            end(ticket);
            pick("hog", 100);
            end(ticket);
            clock.advance(100ms);
        }
    }
    /// @return the number of the account's requests that find a place, at most `most`
    auto fill(const std::string &account, int most = 100) -> int
    {
        auto placed = 0;
        while (placed < most && pick(account))
            ++placed;
        return placed;
    }

    ManualClock clock;
    Random random { 1 };
    Balancer balancer;
    NodeId gateway { "g-1" };
    std::vector<EndpointId> endpoints { EndpointId { "a" } };
    std::uint64_t ticket = 0;
    bool isOrdered = true;
    bool hasBegun = false;
    double perSecond = 1000;
};

/// What callers of a load got.
struct Outcome
{
    double othersRefused = 0; ///< Fraction of the requests of the accounts at their usual rate.
    double hogRefused = 0;
    double used = 0; ///< Mean fraction of the places in use.
};

/// Five accounts, one of which asks for 1.8 times its usual rate, which is its limit, on endpoints
/// with places for all but a few of the requests.
/// @param others rate of each of the other accounts as a fraction of the usual one
auto play(double overShareLimit, double others, std::uint64_t seed) -> Outcome
{
    constexpr auto accounts = std::size_t { 5 };
    constexpr auto usual = 12.0; // Requests of an account a second.
    constexpr auto seconds = 40;
    auto bench = Accounts { { .overShareLimit = overShareLimit } };
    bench.perSecond = usual * 1.8 * 100;
    for (const auto *name : { "b", "c", "d", "e", "f" })
        bench.endpoints.emplace_back(name);
    auto random = Random { seed };
    auto endings = std::multimap<Instant, std::uint64_t> {};
    auto asked = std::vector<double>(accounts);
    auto refused = std::vector<double>(accounts);
    auto outcome = Outcome {};
    for (auto step = 0; step < seconds * 1000; ++step) {
        bench.clock.advance(1ms);
        for (; !endings.empty() && endings.begin()->first <= bench.clock.now();
             endings.erase(endings.begin()))
            bench.end(endings.begin()->second);
        outcome.used += static_cast<double>(endings.size()) / 60 / (seconds * 1000);
        for (auto account = std::size_t { 0 }; account < accounts; ++account) {
            if (!random.chance(usual * (account == 0 ? 1.8 : others) / 1000))
                continue;
            ++asked[account];
            if (bench.pick(std::to_string(account)))
                endings.emplace(bench.clock.now() - fromMillis(850 * std::log(1 - random.unit())),
                                bench.ticket);
            else
                ++refused[account];
        }
    }
    outcome.hogRefused = refused[0] / asked[0];
    for (auto account = std::size_t { 1 }; account < accounts; ++account)
        outcome.othersRefused += refused[account] / asked[account] / (accounts - 1);
    return outcome;
}

} // namespace

TEST_CASE("When one account asks for too much, its requests are refused rather than the others'")
{
    // Guards against an account that takes the places of all others up to its limit.
    for (auto seed = std::uint64_t { 1 }; seed <= 4; ++seed) {
        const auto without = play(1e9, 1, seed);
        const auto with = play(0.8, 1, seed);
        MESSAGE("others refused ", without.othersRefused, " -> ", with.othersRefused,
                ", the one over its share ", without.hogRefused, " -> ", with.hogRefused);
        CHECK(without.othersRefused > 0.05);
        CHECK(with.othersRefused < 0.7 * without.othersRefused);
        CHECK(with.hogRefused > without.hogRefused);
    }
}

TEST_CASE("Where there is room, an account over its share gets as much as without shares")
{
    // Guards against keeping places free that nobody else asks for.
    const auto without = play(1e9, 0.3, 1);
    const auto with = play(0.8, 0.3, 1);
    CHECK(with.hogRefused == without.hogRefused);
    CHECK(with.used == without.used);
}

TEST_CASE("After a refusal for want of a place, an account over its share gets 0.8 of the limit")
{
    // Guards against refusing the requests of all accounts alike.
    auto bench = Accounts {};
    bench.useUp();
    CHECK(bench.fill("hog") == 10); // There is no contention yet.
    CHECK(!bench.pick("other"));
    for (auto i = 0; i < 4; ++i)
        bench.end(bench.ticket - 2 - static_cast<std::uint64_t>(i));
    CHECK(bench.fill("hog") == 2);   // Up to 8 of 10.
    CHECK(bench.fill("other") == 2); // The others take the rest.
    bench.end(bench.ticket - 2);
    bench.clock.advance(501ms);
    CHECK(bench.fill("hog") == 1);
}

TEST_CASE("Refusals of the account over its share alone do not keep it from places")
{
    // Guards against places that stay free for as long as an account over its share asks.
    auto bench = Accounts {};
    bench.useUp();
    CHECK(bench.fill("hog") == 10);
    for (auto i = 0; i < 10; ++i) {
        CHECK(!bench.pick("hog"));
        bench.clock.advance(50ms);
    }
    bench.end(bench.ticket - 12);
    CHECK(bench.pick("hog"));
}

TEST_CASE("A request that has begun elsewhere goes on, whatever its account's share")
{
    // Guards against breaking off answers that callers have begun to receive.
    auto bench = Accounts {};
    bench.useUp();
    CHECK(bench.fill("hog") == 10);
    CHECK(!bench.pick("other"));
    bench.hasBegun = true;
    CHECK(bench.pick("hog"));
}

TEST_CASE("Shares do not concern requests that are not ordered, or of accounts without a limit")
{
    // Guards against a change for deployments whose configuration does not ask for it.
    auto bench = Accounts {};
    SUBCASE("Not ordered")
    {
        bench.isOrdered = false;
    }
    SUBCASE("No limit")
    {
        bench.perSecond = 0;
    }
    bench.useUp();
    CHECK(bench.fill("hog") == 10);
    CHECK(!bench.pick("other"));
    bench.end(bench.ticket - 2);
    CHECK(bench.fill("hog") == 1);
    CHECK(bench.balancer.status().grantsOverShare == 0);
    CHECK(bench.balancer.status().grantsWithinShare == 0);
}

TEST_CASE("Refusals of requests that are not ordered are no contention")
{
    // Guards against an effect of requests that the mechanism is not meant for.
    auto bench = Accounts {};
    bench.useUp();
    CHECK(bench.fill("hog") == 10);
    bench.isOrdered = false;
    CHECK(!bench.pick("other"));
    bench.isOrdered = true;
    bench.end(bench.ticket - 2);
    CHECK(bench.pick("hog"));
}

TEST_CASE("Requests that did not run do not count for the share")
{
    // Guards against holding back an account for requests that endpoints rejected.
    auto bench = Accounts {};
    for (auto i = 0; i < 40; ++i) {
        bench.pick("other", 50);
        bench.end(bench.ticket);
        bench.pick("hog", 100);
        bench.end(bench.ticket, i % 2 == 0);
        bench.clock.advance(100ms);
    }
    CHECK(bench.balancer.status().accountsOverShare == 0);
}

TEST_CASE("A new balancer learns the shares within one window")
{
    // Guards against shares that depend on the state of a balancer that died.
    auto bench = Accounts {};
    bench.useUp(); // Takes 4 s from an empty state.
    CHECK(bench.balancer.status().accountsOverShare == 1);
}

TEST_CASE("The metrics page has the accounts over their share and the grants")
{
    auto metrics = Metrics {};
    auto bench = Accounts {};
    bench.useUp();
    const auto status = bench.balancer.status();
    CHECK(status.grantsWithinShare + status.grantsOverShare == 80);
    for (auto i = 0; i < 2; ++i) // Counters keep their value when nothing has happened.
        metrics.setPicks(status);
    const auto page = metrics.text();
    const auto over = "figrack_core_account_grants_total{share=\"over\"} "
            + std::to_string(status.grantsOverShare);
    CHECK(status.grantsOverShare > 0);
    CHECK(page.find(over) != std::string::npos);
    CHECK(page.find("figrack_core_accounts_over_share 1") != std::string::npos);
}
