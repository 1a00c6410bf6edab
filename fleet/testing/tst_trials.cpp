// Tests that suspected work runs one at a time; in virtual time.

#include <doctest/doctest.h>

#include "fleet/trials.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

struct TrialRig
{
    ManualClock clock;
    policy::Quarantine quarantine { {} };
    Trials trials { {}, quarantine, clock };
    const catalogue::WorkIds works = catalogue::workIdsOf({ "POST", "h", "/p", "", "a", "poison" });
    const NodeId one { "g1" };
    const NodeId other { "g2" };

    auto endAt(const std::string &endpoint) -> void
    {
        quarantine.onEnd(works, 1, EndpointId { endpoint }, policy::millisOf(clock.now()));
    }
    auto request(std::uint64_t ticket) const -> proto::PickRequest
    {
        auto result = proto::PickRequest {};
        result.ticket = ticket;
        result.works = works;
        result.limitMs = 5000;
        result.candidates = { EndpointId { "i-1" }, EndpointId { "i-2" }, EndpointId { "i-3" } };
        return result;
    }
    /// @return true when the request was allowed
    auto tries(const NodeId &gateway, std::uint64_t ticket) -> bool
    {
        const auto wanted = request(ticket);
        const auto refusal = trials.refuse(gateway, wanted);
        if (!refusal)
            trials.begin(gateway, wanted);
        else
            CHECK((refusal->comeBackMs > 0 && refusal->refusal == proto::PickRefusal::Suspect));
        return !refusal.has_value();
    }
};

} // namespace

TEST_CASE("Work that is not suspected runs as often as it is requested")
{
    auto rig = TrialRig {};
    CHECK(rig.tries(rig.one, 1));
    CHECK(rig.tries(rig.other, 1));
    auto wanted = rig.request(2);
    rig.trials.narrow(wanted, [](const EndpointId &) { return 0; });
    CHECK(wanted.candidates.size() == 3);
}

TEST_CASE("After the first end a copy waits until the outcome of the previous one is known")
{
    auto rig = TrialRig {};
    rig.endAt("i-9");
    CHECK(rig.tries(rig.one, 1));
    CHECK_FALSE(rig.tries(rig.other, 1));
    CHECK_FALSE(rig.tries(rig.one, 2));
    rig.trials.onEnd(rig.one, 1);
    // The report of the outcome has not arrived yet.
    CHECK_FALSE(rig.tries(rig.other, 2));
    SUBCASE("nothing is reported")
    {
        rig.clock.advance(TrialOptions {}.outcomeWait);
        CHECK(rig.tries(rig.other, 3));
    }
    SUBCASE("it completed")
    {
        rig.quarantine.onCompleted(rig.works, 0);
        CHECK(rig.tries(rig.other, 3));
    }
    SUBCASE("two more endpoints ended")
    {
        rig.endAt("i-8");
        rig.endAt("i-7");
        rig.clock.advance(TrialOptions {}.outcomeWait);
        CHECK_FALSE(rig.tries(rig.other, 3));
        const auto refusal = rig.trials.refuse(rig.other, rig.request(4));
        REQUIRE(refusal);
        CHECK(refusal->comeBackMs > 500'000);
    }
}

TEST_CASE("A gateway that is lost, or never reports an end, delays the work for a limited time")
{
    auto rig = TrialRig {};
    rig.endAt("i-9");
    CHECK(rig.tries(rig.one, 1));
    SUBCASE("lost")
    {
        rig.trials.onGatewayLost(rig.one);
        rig.clock.advance(TrialOptions {}.outcomeWait);
    }
    SUBCASE("silent")
    {
        rig.clock.advance(5s);
    }
    CHECK(rig.tries(rig.other, 1));
}

TEST_CASE("Suspected work goes where the fewest requests are in progress")
{
    auto rig = TrialRig {};
    rig.endAt("i-9");
    auto wanted = rig.request(1);
    rig.trials.narrow(wanted, [](const EndpointId &id) { return id.value() == "i-2" ? 1U : 7U; });
    REQUIRE(wanted.candidates.size() == 1);
    CHECK(wanted.candidates[0].value() == "i-2");
}

TEST_CASE("Requests that share a suspected part run one at a time, and others as usual")
{
    auto rig = TrialRig {};
    const auto part = catalogue::workIdOfPart(ServiceId { "s" }, 7);
    for (const auto *endpoint : { "i-8", "i-9" }) {
        rig.quarantine.onPartEnd(part, ServiceId { "s" }, EndpointId { endpoint },
                                 policy::millisOf(rig.clock.now()));
        rig.clock.advance(400ms);
    }
    const auto requestWith = [&](std::uint64_t ticket, std::vector<catalogue::WorkId> parts) {
        auto result = rig.request(ticket);
        const auto body = std::to_string(ticket);
        result.works = catalogue::workIdsOf({ "POST", "h", "/p", "", "a", body });
        result.parts = std::move(parts);
        return result;
    };
    const auto first = requestWith(1, { part });
    CHECK_FALSE(rig.trials.refuse(rig.one, first));
    rig.trials.begin(rig.one, first);
    CHECK(rig.trials.refuse(rig.other, requestWith(2, { part })));
    CHECK_FALSE(rig.trials.refuse(rig.other, requestWith(3, {})));
    rig.quarantine.onPartsGoOn({ part }, policy::millisOf(rig.clock.now()));
    CHECK_FALSE(rig.trials.refuse(rig.other, requestWith(4, { part })));
}
