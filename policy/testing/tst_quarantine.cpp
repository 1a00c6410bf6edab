// Tests which work is refused after endpoints ended while running it, in virtual time.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "core/random.h"
#include "policy/quarantine.h"

using namespace figrack;
using namespace figrack::policy;
using catalogue::SuspectRow;
using catalogue::WorkId;
using catalogue::WorkIds;
using catalogue::workIdsOf;

namespace {

constexpr auto start = Millis { 1'000'000 };
constexpr auto second = Millis { 1000 };
constexpr auto account = std::uint64_t { 7 };

auto workOf(const std::string &body, const std::string &caller = "a") -> WorkIds
{
    return workIdsOf({ "POST", "host", "/path", "", caller, body });
}

auto endpointOf(std::uint64_t number) -> EndpointId
{
    return EndpointId { "i-" + std::to_string(number) };
}

auto standingOf(const Quarantine &quarantine, const WorkIds &work, Millis now) -> Standing
{
    return quarantine.verdict(work, now).standing;
}

/// Endpoints that run harmless requests. Some endpoints end in each wave, and the requests that
/// were cut off are retried at once, as callers do, on an endpoint drawn at random.
struct WaveModel
{
    std::size_t endpoints = 240;
    std::size_t inProgress = 20; ///< Requests at each endpoint.
    double share = 0.25;         ///< Share of the endpoints that end in each wave.
    std::size_t waves = 3;
    Millis between = 400; ///< Time between waves, ms; a request takes longer.
    std::uint64_t seed = 1;
};

struct WaveResult
{
    std::size_t requests = 0;
    std::size_t quarantined = 0;
};

/// Simulates the worst case: no request completes before all waves are over.
auto playWaves(const WaveModel &model) -> WaveResult
{
    auto random = Random { model.seed };
    auto quarantine = Quarantine { {} };
    auto at = std::vector<std::size_t>(model.endpoints * model.inProgress);
    for (std::size_t i = 0; i < at.size(); ++i)
        at[i] = i / model.inProgress;
    auto lives = std::vector<std::uint64_t>(model.endpoints, 0);
    auto now = start;
    for (std::size_t wave = 0; wave < model.waves; ++wave, now += model.between) {
        auto ended = std::vector<bool>(model.endpoints, false);
        for (std::size_t i = 0; i < model.endpoints; ++i)
            ended[i] = random.unit() < model.share;
        for (std::size_t i = 0; i < at.size(); ++i) {
            const auto endpoint = at[i];
            if (!ended[endpoint])
                continue;
            const auto work = workOf(std::to_string(i));
            if (standingOf(quarantine, work, now) == Standing::Quarantined)
                continue;
            const auto id = endpointOf(endpoint + model.endpoints * lives[endpoint]);
            quarantine.onEnd(work, i, id, now);
            at[i] = random.below(model.endpoints);
        }
        for (std::size_t i = 0; i < model.endpoints; ++i)
            lives[i] += ended[i] ? 1 : 0;
    }
    auto result = WaveResult { at.size(), 0 };
    for (std::size_t i = 0; i < at.size(); ++i) {
        const auto standing = standingOf(quarantine, workOf(std::to_string(i)), now);
        result.quarantined += standing == Standing::Quarantined ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("Work is identified by method, host, path and body, per caller and over all callers")
{
    const auto works = workIdsOf({ "POST", "h", "/p", "q=1", "a", "b" });
    CHECK(works == workIdsOf({ "POST", "h", "/p", "q=1", "a", "b" }));
    for (const auto &parts : { catalogue::WorkParts { "PUT", "h", "/p", "q=1", "a", "b" },
                               catalogue::WorkParts { "POST", "g", "/p", "q=1", "a", "b" },
                               catalogue::WorkParts { "POST", "h", "/q", "q=1", "a", "b" },
                               catalogue::WorkParts { "POST", "h", "/p", "q=1", "a", "c" },
                               // The same bytes, split at another position.
                               catalogue::WorkParts { "POST", "h", "/pq=1", "", "a", "b" } }) {
        CHECK(workIdsOf(parts).ofCaller != works.ofCaller);
        CHECK(workIdsOf(parts).ofAnyone != works.ofAnyone);
    }
    // From another caller address or with another query, ofAnyone is the same.
    CHECK(workIdsOf({ "POST", "h", "/p", "q=1", "x", "b" }).ofAnyone == works.ofAnyone);
    CHECK(workIdsOf({ "POST", "h", "/p", "q=2", "a", "b" }).ofAnyone == works.ofAnyone);
    CHECK(workIdsOf({ "POST", "h", "/p", "q=1", "x", "b" }).ofCaller != works.ofCaller);
    CHECK(workIdsOf({ "POST", "h", "/p", "q=2", "a", "b" }).ofCaller != works.ofCaller);
    // Without a body, the query is part of the identity.
    const auto read = workIdsOf({ "GET", "h", "/p", "page=1", "a", "" });
    CHECK(workIdsOf({ "GET", "h", "/p", "page=2", "a", "" }).ofAnyone != read.ofAnyone);
    CHECK_FALSE(works.ofAnyone.isNone());
    CHECK(works.ofAnyone.text().size() == 32);
}

TEST_CASE(
        "The third end of an endpoint quarantines the work, a repeated report of one end does not")
{
    auto quarantine = Quarantine { {} };
    const auto work = workOf("poison");
    CHECK(standingOf(quarantine, work, start) == Standing::Clear);
    CHECK(quarantine.onEnd(work, account, endpointOf(1), start));
    CHECK_FALSE(quarantine.onEnd(work, account, endpointOf(1), start + second));
    CHECK(quarantine.verdict(work, start).ends == 1);
    CHECK(standingOf(quarantine, work, start) == Standing::Suspect);
    quarantine.onEnd(work, account, EndpointId { "i-1", Incarnation { 5 } }, start);
    CHECK(standingOf(quarantine, work, start) == Standing::Suspect);
    quarantine.onEnd(work, account, endpointOf(3), start);
    const auto verdict = quarantine.verdict(work, start + second);
    CHECK(verdict.standing == Standing::Quarantined);
    CHECK(verdict.releaseIn == QuarantineOptions {}.firstPeriod - second);
    // Also when it comes from an unknown address.
    CHECK(standingOf(quarantine, workOf("poison", "b"), start) == Standing::Quarantined);
    CHECK(standingOf(quarantine, workOf("other"), start) == Standing::Clear);
}

TEST_CASE("Ends are summed over the addresses from which the same request comes")
{
    auto quarantine = Quarantine { {} };
    for (std::uint64_t i = 0; i < 3; ++i)
        quarantine.onEnd(workOf("poison", std::to_string(i)), i, endpointOf(i), start);
    CHECK(standingOf(quarantine, workOf("poison", "new"), start) == Standing::Quarantined);
}

TEST_CASE("If the same work completes for other callers, only the caller whose runs end endpoints "
          "is quarantined")
{
    auto quarantine = Quarantine { {} };
    auto now = start;
    for (std::uint64_t i = 0; i < 3; ++i, now += second) {
        quarantine.onCompleted(workOf("", "sound"), now);
        quarantine.onEnd(workOf("", "poison"), account, endpointOf(i), now);
    }
    CHECK(standingOf(quarantine, workOf("", "poison"), now) == Standing::Quarantined);
    CHECK(standingOf(quarantine, workOf("", "sound"), now) == Standing::Clear);
    CHECK(standingOf(quarantine, workOf("", "another"), now) == Standing::Clear);
}

TEST_CASE(
        "After its period the work is admitted once more, and each further end doubles the period")
{
    const auto options = QuarantineOptions {};
    auto quarantine = Quarantine { options };
    const auto work = workOf("poison");
    for (std::uint64_t i = 0; i < options.endsUntilQuarantine; ++i)
        quarantine.onEnd(work, account, endpointOf(i), start);
    auto now = start + options.firstPeriod;
    CHECK(standingOf(quarantine, work, now - 1) == Standing::Quarantined);
    CHECK(standingOf(quarantine, work, now) == Standing::Suspect);
    quarantine.onEnd(work, account, endpointOf(9), now);
    CHECK(quarantine.verdict(work, now).releaseIn == 2 * options.firstPeriod);
    SUBCASE("up to the longest period")
    {
        for (std::uint64_t i = 10; i < 40; ++i)
            quarantine.onEnd(work, account, endpointOf(i), now);
        CHECK(quarantine.verdict(work, now).releaseIn == options.longestPeriod);
    }
    SUBCASE("a completed run clears it")
    {
        now += 2 * options.firstPeriod;
        CHECK(quarantine.onCompleted(work, now));
        CHECK(standingOf(quarantine, work, now) == Standing::Clear);
    }
}

TEST_CASE("A completed run clears the ends before it, and those within completionTtl after it")
{
    const auto options = QuarantineOptions {};
    auto quarantine = Quarantine { options };
    const auto work = workOf("");
    quarantine.onEnd(work, account, endpointOf(1), start);
    quarantine.onEnd(work, account, endpointOf(2), start);
    CHECK(quarantine.onCompleted(work, start + second));
    CHECK_FALSE(quarantine.onCompleted(work, start + second));
    CHECK(standingOf(quarantine, work, start + second) == Standing::Clear);
    // Equal requests were in progress at four endpoints that end together.
    auto now = start + 2 * second;
    for (std::uint64_t i = 10; i < 14; ++i)
        quarantine.onEnd(work, account, endpointOf(i), now);
    CHECK(standingOf(quarantine, work, now) == Standing::Clear);
    // Work that completed once and no longer does is quarantined all the same.
    now = start + second + options.completionTtl;
    for (std::uint64_t i = 20; i < 23; ++i)
        quarantine.onEnd(work, account, endpointOf(i), now);
    CHECK(standingOf(quarantine, work, now) == Standing::Quarantined);
}

TEST_CASE("Tables that receive the same ends agree, in any order and any number of times")
{
    constexpr auto seeds = std::uint64_t { 200 };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto random = Random { seed };
        const auto work = workOf("poison");
        constexpr auto tables = std::size_t { 5 };
        auto all = std::vector<Quarantine>(tables, Quarantine { {} });
        const auto ends = 1 + random.below(6);
        for (std::uint64_t i = 0; i < ends; ++i)
            all[random.below(tables)].onEnd(work, account, endpointOf(i), start);
        if (random.below(3) == 0)
            all[random.below(tables)].onCompleted(work, start);
        // Random pairs exchange rows, then each pair does, twice.
        for (auto round = 0; round < 40; ++round) {
            const auto from = random.below(tables);
            const auto to = random.below(tables);
            all[to].merge(all[from].row(work.ofAnyone, start), start);
        }
        for (std::size_t i = 0; i < tables * tables; ++i)
            all[i % tables].merge(all[i / tables].row(work.ofAnyone, start), start);
        for (std::size_t i = 0; i < tables * tables; ++i)
            all[i % tables].merge(all[i / tables].row(work.ofAnyone, start), start);
        for (const auto &table : all) {
            CHECK(table.row(work.ofAnyone, start).ended == all[0].row(work.ofAnyone, start).ended);
            CHECK(table.row(work.ofAnyone, start).acquitted
                  == all[0].row(work.ofAnyone, start).acquitted);
        }
    }
}

TEST_CASE("Ends seen by three gateways are summed, and a completed run at one gateway clears all")
{
    auto gateways = std::vector<Quarantine>(3, Quarantine { {} });
    auto control = Quarantine { {} };
    const auto work = workOf("poison");
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways[i].onEnd(work, account, endpointOf(i), start);
        for (const auto &row : gateways[i].takeLocalChanges(start))
            CHECK(control.merge(row, start));
        CHECK(gateways[i].takeLocalChanges(start).empty());
    }
    CHECK(standingOf(control, work, start) == Standing::Quarantined);
    for (auto &gateway : gateways) {
        for (const auto &row : control.rows(2, start + second))
            gateway.merge(row, start + second);
        CHECK(standingOf(gateway, work, start + second) == Standing::Quarantined);
        // The row carries its age, so the release time is the same everywhere.
        CHECK(gateway.verdict(work, start + second).releaseIn
              == control.verdict(work, start + second).releaseIn);
        CHECK(gateway.takeLocalChanges(start).empty()); // Received rows are not sent back.
    }
    gateways[1].onCompleted(work, start + 2 * second);
    for (const auto &row : gateways[1].takeLocalChanges(start + 2 * second))
        control.merge(row, start + 2 * second);
    CHECK(standingOf(control, work, start + 2 * second) == Standing::Clear);
}

TEST_CASE("Work that completed here recently is not suspected for ends that others saw")
{
    auto quarantine = Quarantine { {} };
    const auto work = workOf("");
    quarantine.onCompleted(work, start);
    auto row = SuspectRow {};
    row.work = work.ofAnyone;
    row.ended = { endpointOf(1), endpointOf(2), endpointOf(3) };
    CHECK(quarantine.merge(row, start + second));
    CHECK(standingOf(quarantine, work, start + second) == Standing::Clear);
    // The completed run is reported to the others.
    REQUIRE(quarantine.takeLocalChanges(start + second).size() == 1);
}

TEST_CASE("Two harmful kinds of work at once are both quarantined, and nothing else is")
{
    auto quarantine = Quarantine { {} };
    auto next = std::uint64_t { 0 };
    for (auto i = 0; i < 3; ++i) {
        for (const auto *poison : { "one", "other" }) {
            const auto endpoint = endpointOf(next++);
            quarantine.onEnd(workOf(poison), account, endpoint, start);
            // Ten harmless requests were in progress on the same endpoint.
            for (auto beside = 0; beside < 10; ++beside) {
                const auto body = std::to_string(next * 100 + beside);
                quarantine.onEnd(workOf(body), account, endpoint, start);
            }
        }
    }
    CHECK(quarantine.quarantined(start) == 4); // Two rows each: ofCaller and ofAnyone.
    CHECK(standingOf(quarantine, workOf("one"), start) == Standing::Quarantined);
    CHECK(standingOf(quarantine, workOf("other"), start) == Standing::Quarantined);
}

TEST_CASE("Waves of ends without harmful work quarantine at most 1 in 50 harmless requests")
{
    // To be quarantined, a request must be on an ending endpoint in all three waves. The
    // probability is 0.25 to the third, 1.6 in 100, if none completes in between and all are
    // retried at once.
    constexpr auto seeds = std::uint64_t { 20 };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto model = WaveModel {};
        model.seed = seed;
        const auto result = playWaves(model);
        CHECK(result.quarantined * 50 <= result.requests);
    }
    // Two waves quarantine nothing, however many endpoints end.
    auto two = WaveModel {};
    two.waves = 2;
    two.share = 1;
    CHECK(playWaves(two).quarantined == 0);
}

TEST_CASE(
        "The table is bounded, in total and per client account, and keeps the rows with most ends")
{
    auto options = QuarantineOptions {};
    options.maxRows = 100;
    options.maxRowsPerAccount = 20;
    auto quarantine = Quarantine { options };
    const auto work = workOf("poison");
    for (std::uint64_t i = 0; i < 3; ++i)
        quarantine.onEnd(work, account, endpointOf(i), start);
    SUBCASE("one account fills the table")
    {
        for (auto i = 0; i < 1000; ++i)
            quarantine.onEnd(workOf(std::to_string(i)), account, endpointOf(5), start + i);
        CHECK(quarantine.size() == options.maxRowsPerAccount);
    }
    SUBCASE("many accounts fill the table")
    {
        for (std::uint64_t i = 0; i < 1000; ++i)
            quarantine.onEnd(workOf(std::to_string(i)), i, endpointOf(5), start + second);
        CHECK(quarantine.size() == options.maxRows);
    }
    CHECK(standingOf(quarantine, work, start + second) == Standing::Quarantined);
    // The ends of one row are bounded too.
    for (std::uint64_t i = 0; i < 100; ++i)
        quarantine.onEnd(work, account, endpointOf(i), start);
    CHECK(quarantine.row(work.ofAnyone, start).ended.size() == options.maxEndsPerRow);
}

TEST_CASE("Suspected work expires after a time without ends, quarantined work does not")
{
    const auto options = QuarantineOptions {};
    auto quarantine = Quarantine { options };
    quarantine.onEnd(workOf("suspect"), account, endpointOf(1), start);
    for (std::uint64_t i = 0; i < 3; ++i)
        quarantine.onEnd(workOf("poison"), account, endpointOf(i), start);
    const auto later = start + options.forgetSuspectAfter;
    CHECK(standingOf(quarantine, workOf("suspect"), later) == Standing::Clear);
    CHECK(quarantine.rows(1, later).size() == 2);
    // A row that arrives late from a peer that was cut off is not added again.
    auto row = SuspectRow {};
    row.work = workOf("late").ofAnyone;
    row.ended = { endpointOf(1) };
    row.quietMs = static_cast<std::uint64_t>(options.forgetSuspectAfter);
    CHECK_FALSE(quarantine.merge(row, later));
    CHECK(quarantine.verdict(workOf("poison"), later).ends == 3);
}
