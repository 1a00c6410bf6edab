// Tests that the ends of waits reach the gateways, or are given up.

#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "core/random.h"
#include "fleet/placegrants.h"
#include "fleet/testing/fakepeer.h"
#include "policy/quarantine.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

/// A balancer with one engine of two slots, which are taken, and two gateways.
struct GrantRig
{
    GrantRig()
    {
        for (auto ticket = std::uint64_t { 1 }; ticket <= 2; ++ticket)
            REQUIRE_FALSE(pick(one, request(ticket)).endpoint.empty());
        ledger.tick(true);
    }

    static auto request(std::uint64_t ticket) -> proto::PickRequest
    {
        auto result = proto::PickRequest {};
        result.ticket = ticket;
        result.candidates = { EndpointId { "a" } };
        result.model = 1;
        result.ownTokens = 100;
        result.places = 2;
        result.rank = 1;
        result.limitMs = 9000;
        result.startTargetMs = result.startWithinMs = 3000;
        result.isOrdered = true;
        return result;
    }
    auto charged(std::uint64_t ticket) const -> proto::PickRequest
    {
        auto result = request(ticket);
        result.charge = catalogue::AccountCharge { AccountId { "acc" }, 2, { 10, 10 }, {}, 0 };
        return result;
    }
    /// As the control handles a pick.
    auto pick(const std::shared_ptr<testing::FakePeer> &peer, const proto::PickRequest &request)
            -> proto::PickReply
    {
        if (auto refusal = ledger.refuse(peer->peer(), request))
            return *refusal;
        auto reply = balancer.pick(peer->peer(), request);
        if (reply.isQueued)
            grants.onQueued(peer);
        else if (!reply.endpoint.empty())
            trials.begin(peer->peer(), request);
        grants.flush();
        return reply;
    }
    auto end(const std::shared_ptr<testing::FakePeer> &peer, std::uint64_t ticket) -> void
    {
        balancer.onEnd(peer->peer(), { ticket });
        grants.flush();
    }

    ManualClock clock;
    Random random { 1 };
    policy::Quarantine quarantine { {} };
    Registry registry { {}, clock };
    Metrics metrics;
    Balancer balancer { {}, clock, random };
    Trials trials { {}, quarantine, clock };
    AccountLedger ledger { {}, registry, clock, Incarnation { 1 } };
    PlaceGrants grants { balancer, trials, ledger, metrics };
    std::shared_ptr<testing::FakePeer> one = std::make_shared<testing::FakePeer>("g-1");
    std::shared_ptr<testing::FakePeer> other = std::make_shared<testing::FakePeer>("g-2");
};

} // namespace

TEST_CASE("A grant goes to the gateway that asked, and is counted on the metrics page")
{
    auto rig = GrantRig {};
    CHECK(rig.pick(rig.other, rig.request(7)).isQueued);
    CHECK(rig.metrics.text().find("figrack_core_place_queue_length 1") != std::string::npos);
    rig.end(rig.one, 1);
    CHECK(rig.one->grants.empty());
    REQUIRE(rig.other->grants.size() == 1);
    CHECK(rig.other->grants.front().ticket == 7);
    CHECK(rig.other->grants.front().reply.endpoint == EndpointId { "a" });
    const auto page = rig.metrics.text();
    CHECK(page.find("figrack_core_place_queue_length 0") != std::string::npos);
    CHECK(page.find("figrack_core_place_wait_seconds_count 1") != std::string::npos);
}

// Guards against slots that stay booked for requests that nobody was told of.
TEST_CASE("A grant that cannot be sent goes to the next request")
{
    auto rig = GrantRig {};
    auto lost = rig.request(7);
    lost.startWithinMs = 2000; // Goes first.
    CHECK(rig.pick(rig.other, lost).isQueued);
    CHECK(rig.pick(rig.one, rig.request(8)).isQueued);
    rig.other->accepts = false;
    rig.end(rig.one, 1);
    REQUIRE(rig.one->grants.size() == 1);
    CHECK(rig.one->grants.front().ticket == 8);
    CHECK(rig.balancer.booked() == 2);
    // Likewise after the connection was closed.
    rig.other->accepts = true;
    lost.ticket = 9;
    CHECK(rig.pick(rig.other, lost).isQueued);
    rig.grants.onClose(rig.other);
    rig.end(rig.one, 2);
    CHECK(rig.other->grants.empty());
    CHECK(rig.balancer.booked() == 1);
    CHECK(rig.balancer.queue().waiting() == 0);
}

// Guards against accounts that pay for requests which were refused.
TEST_CASE("A refused wait gives its account the charge back, a queued one keeps it")
{
    auto rig = GrantRig {};
    auto question = rig.charged(6);
    question.candidates.clear();
    rig.pick(rig.other, question);
    rig.clock.advance(2s); // The account's room is small at first.
    rig.ledger.tick(true);
    const auto room = [&] {
        const auto now = policy::millisOf(rig.clock.now());
        return rig.ledger.limits().accountStatuses(1, now).front().room;
    };
    const auto before = room();
    auto waiting = rig.charged(7);
    waiting.rank = 2;
    waiting.startWithinMs = 900;
    CHECK(rig.pick(rig.other, waiting).isQueued);
    CHECK(room() == doctest::Approx(before - 2));
    auto urgent = rig.request(8);
    urgent.rank = 1;
    urgent.startWithinMs = 900;
    CHECK(rig.pick(rig.one, urgent).isQueued); // There is time for one of them.
    REQUIRE(rig.other->grants.size() == 1);
    CHECK(rig.other->grants.front().reply.refusal == proto::PickRefusal::NoRoom);
    CHECK(rig.other->grants.front().reply.comeBackMs > 0);
    CHECK(room() == doctest::Approx(before));
}

// Guards against two copies of work that makes its endpoint fail.
TEST_CASE("A copy of suspected work is not granted a slot while another one runs")
{
    auto rig = GrantRig {};
    auto copy = rig.request(7);
    copy.works = catalogue::workIdsOf({ "POST", "h", "/p", "", "a", "poison" });
    rig.quarantine.onEnd(copy.works, 1, EndpointId { "x" }, policy::millisOf(rig.clock.now()));
    CHECK(rig.pick(rig.other, copy).isQueued);
    copy.ticket = 8;
    CHECK(rig.pick(rig.one, copy).isQueued);
    rig.end(rig.one, 1);
    rig.end(rig.one, 2);
    REQUIRE(rig.other->grants.size() == 1);
    CHECK(rig.other->grants.front().reply.endpoint == EndpointId { "a" });
    REQUIRE(rig.one->grants.size() == 1);
    CHECK(rig.one->grants.front().reply.refusal == proto::PickRefusal::Suspect);
    CHECK(rig.balancer.booked() == 1);
}
