// Tests how the leader grants retries, in virtual time.

#include <doctest/doctest.h>

#include <vector>

#include "fleet/retryledger.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

const auto service = ServiceId { "s" };

struct LedgerRig
{
    ManualClock clock;
    bool leads = true;
    std::vector<RetryReservation> proposed;
    RetryLedgerOptions options;
    RetryLedger ledger { options,
                         { clock, [this] { return leads; },
                           [this](const auto &reservation) { proposed.push_back(reservation); } } };

    /// Applies what was proposed, as committed.
    auto commit() -> void
    {
        for (const auto &reservation : std::exchange(proposed, {}))
            ledger.onReserved(reservation, true);
        ledger.tick();
    }
    /// @return the number of retries that are granted at once
    auto takeAll() -> std::uint32_t
    {
        auto granted = std::uint32_t { 0 };
        auto refused = false;
        while (!refused) {
            ledger.ask(service, [&](const auto &reply) {
                granted += reply.isGranted ? 1 : 0;
                refused = refused || !reply.isGranted;
                CHECK((reply.isGranted || reply.waitMs > 0));
            });
            while (!proposed.empty())
                commit();
        }
        return granted;
    }
};

} // namespace

TEST_CASE("The fixed number of retries is granted once per window")
{
    auto rig = LedgerRig {};
    CHECK(rig.takeAll() == rig.options.slack);
    rig.clock.advance(rig.options.window);
    CHECK(rig.takeAll() == 0); // The last grants may have been used a little later.
    rig.clock.advance(2s);
    CHECK(rig.takeAll() == rig.options.slack);
}

TEST_CASE("Nothing is granted before its reservation is committed")
{
    auto rig = LedgerRig {};
    auto granted = 0;
    auto refused = 0;
    rig.ledger.ask(service, [&](const auto &reply) { ++(reply.isGranted ? granted : refused); });
    CHECK(granted + refused == 0);
    REQUIRE(rig.proposed.size() == 1);
    SUBCASE("it is committed")
    {
        rig.commit();
        CHECK(granted == 1);
    }
    SUBCASE("it is not")
    {
        rig.ledger.onNotReserved(service);
        CHECK(refused == 1);
    }
    SUBCASE("the lease ends first")
    {
        rig.leads = false;
        rig.ledger.tick();
        CHECK(refused == 1);
    }
}

TEST_CASE("Reported requests allow a fraction of retries besides")
{
    auto rig = LedgerRig {};
    constexpr auto perWindow = 400;
    for (auto passed = Duration {}; passed < 3 * rig.options.window; passed += 100ms) {
        rig.clock.advance(100ms);
        rig.ledger.onRequests(service, perWindow / 100);
    }
    const auto granted = rig.takeAll();
    const auto ofRequests = static_cast<std::uint32_t>(perWindow * rig.options.ratio);
    CHECK(granted <= rig.options.slack + ofRequests);
    CHECK(granted >= rig.options.slack + ofRequests * 3 / 4);
}

TEST_CASE("A new leader counts the reservations of the one before")
{
    auto rig = LedgerRig {};
    rig.leads = false;
    rig.ledger.tick();
    rig.ledger.onReserved({ service, 20 }, false);
    rig.clock.advance(60s);
    rig.ledger.onReserved({ service, 7 }, false); // The first one was used up until now.
    rig.clock.advance(1s);
    rig.leads = true;
    CHECK(rig.takeAll() == rig.options.slack - 27);
    rig.clock.advance(rig.options.window + 2s);
    CHECK(rig.takeAll() == rig.options.slack);
}

TEST_CASE("A control that has started from a snapshot grants nothing for a window")
{
    auto rig = LedgerRig {};
    rig.ledger.onRestored();
    CHECK(rig.takeAll() == 0);
    rig.clock.advance(rig.options.window);
    CHECK(rig.takeAll() == 0);
    rig.clock.advance(2s);
    CHECK(rig.takeAll() == rig.options.slack);
}

TEST_CASE("A control that does not lead grants nothing and says when to ask again")
{
    auto rig = LedgerRig {};
    rig.leads = false;
    CHECK(rig.takeAll() == 0);
    CHECK(rig.proposed.empty());
}
