// Configuration leases: grantor, holder and gate alone, and all of them in
// random runs over replicated logs.

#include "coord/viewlease.h"

#include <cstdlib>

#include <doctest/doctest.h>

#include "coord/testing/viewleasemodel.h"

namespace figrack::coord {
namespace {

using std::chrono::milliseconds;

const auto router = NodeId { "r" };
const auto life = Incarnation { 7 };
const auto options = ViewLeaseOptions { milliseconds { 1000 }, milliseconds { 200 }, 0.1 };

auto membership(const std::vector<std::string> &voters) -> Membership
{
    auto result = Membership {};
    for (const auto &name : voters)
        result.members.push_back(
                { NodeId { name }, Incarnation { 1 }, MemberKind::Voter, DomainId {}, "" });
    return result;
}

/// A grantor that knows one observer and stands at revision 3.
auto grantorAtThree() -> ViewGrantor
{
    auto grantor = ViewGrantor { NodeId { "a" } };
    grantor.onRegistered(router, life);
    grantor.onApplied(LogIndex { 10 }, Revision { 3 });
    grantor.onRecovered();
    return grantor;
}

const auto threeVoters = voterSetOf(membership({ "a", "b", "c" }), NodeId { "a" });

auto grants(const ViewGrantor &grantor, std::uint64_t applied, Incarnation incarnation = life)
        -> bool
{
    return grantor.grant({ router, incarnation, Revision { applied }, 1 }, threeVoters).granted;
}

TEST_CASE("options that cannot work are refused")
{
    CHECK(ViewLeaseOptions {}.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 0 }, milliseconds { 1 }, 0.0 }.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 100 }, milliseconds { 51 }, 0.0 }.check().ok());
    CHECK_FALSE(ViewLeaseOptions { milliseconds { 100 }, milliseconds { 50 }, 1.0 }.check().ok());
}

TEST_CASE("a voter demands what it has stored, until it is cut or applied")
{
    auto grantor = grantorAtThree();
    CHECK(grants(grantor, 3));
    CHECK_FALSE(grants(grantor, 2));
    grantor.onStored(LogIndex { 11 }, Revision { 4 });
    CHECK_FALSE(grants(grantor, 3));
    CHECK(grants(grantor, 4));
    grantor.onTruncated(LogIndex { 12 });
    CHECK_FALSE(grants(grantor, 3));
    grantor.onTruncated(LogIndex { 11 });
    CHECK(grants(grantor, 3));
    // A change that asked for an impossible revision blocks only till it is applied, and loses.
    grantor.onStored(LogIndex { 11 }, Revision { 999 });
    CHECK_FALSE(grants(grantor, 4));
    grantor.onApplied(LogIndex { 11 }, Revision { 3 });
    CHECK(grants(grantor, 3));
}

TEST_CASE("a voter grants to the registered life only, and to none before it has recovered")
{
    auto grantor = grantorAtThree();
    CHECK_FALSE(grants(grantor, 3, Incarnation { 8 }));
    grantor.onRegistrationStored(LogIndex { 11 }, router, Incarnation { 8 });
    CHECK_FALSE(grants(grantor, 3));
    CHECK_FALSE(grants(grantor, 3, Incarnation { 8 }));
    grantor.onTruncated(LogIndex { 11 });
    CHECK(grants(grantor, 3));
    grantor.onRemovalStored(LogIndex { 11 }, router, Incarnation { 6 });
    CHECK(grants(grantor, 3));
    grantor.onRemovalStored(LogIndex { 12 }, router, life);
    CHECK_FALSE(grants(grantor, 3));
    auto restarted = ViewGrantor { NodeId { "a" } };
    restarted.onRegistered(router, life);
    CHECK_FALSE(grants(restarted, 3));
    restarted.onRecovered();
    CHECK(grants(restarted, 3));
    const auto request = RenewRequest { router, life, Revision { 3 }, 1 };
    CHECK_FALSE(restarted.grant(request, {}).granted);
}

TEST_CASE("a voter set is told by its voters and their disks; a learner is in none")
{
    const auto of = [](const Membership &members) { return voterSetOf(members, NodeId { "a" }); };
    auto abc = membership({ "a", "b", "c" });
    CHECK(of(abc).size == 3);
    CHECK(of(abc) == threeVoters);
    CHECK(of(abc) != of(membership({ "a", "b", "d" })));
    CHECK(of(membership({ "b", "c" })).size == 0);
    auto otherDisk = abc;
    otherDisk.members[1].incarnation = Incarnation { 2 };
    CHECK(of(abc) != of(otherDisk));
    abc.members.push_back({ NodeId { "d" }, Incarnation { 1 }, MemberKind::Learner, {}, "" });
    CHECK(of(abc) == threeVoters);
}

TEST_CASE("a lease needs a majority of one voter set in one round and runs from the sending")
{
    auto clock = ManualClock {};
    auto holder = ViewHolder { options, clock, router, life };
    const auto reply = [&](const RenewRequest &request, const std::string &voter,
                           std::uint64_t voterSet = 1) {
        holder.onReply(
                { NodeId { voter }, request.incarnation, request.round, true, {}, 3, voterSet });
    };
    const auto first = holder.request(Revision { 1 });
    clock.advance(milliseconds { 100 });
    reply(first, "a");
    reply(first, "a");
    CHECK_FALSE(holder.isCurrent());
    const auto second = holder.request(Revision { 1 });
    reply(second, "b");
    CHECK_FALSE(holder.isCurrent());
    reply(first, "d", 2);
    CHECK_FALSE(holder.isCurrent());
    holder.onReply({ NodeId { "c" }, Incarnation { 8 }, first.round, true, {}, 3, 1 });
    holder.onReply({ NodeId { "c" }, life, first.round, false, {}, 3, 1 });
    CHECK_FALSE(holder.isCurrent());
    reply(first, "b");
    CHECK(holder.isCurrent());
    clock.advance(milliseconds { 899 });
    CHECK(holder.isCurrent());
    clock.advance(milliseconds { 1 });
    CHECK_FALSE(holder.isCurrent());
    reply(second, "c"); // Late, and still good for what is left of its time.
    CHECK(holder.isCurrent());
    auto evenly = ViewHolder { options, clock, router, life };
    const auto even = evenly.request(Revision { 1 });
    for (const auto *voter : { "a", "b" })
        evenly.onReply({ NodeId { voter }, life, even.round, true, {}, 4, 1 });
    CHECK_FALSE(evenly.isCurrent());
}

TEST_CASE("the gate accepts by acknowledgements once it is warm, else by time")
{
    auto clock = ManualClock {};
    auto gate = AcceptGate { options, clock };
    gate.onRegistered(router, life);
    gate.onCommitted(Revision { 5 });
    gate.onAck(router, life, Revision { 5 });
    CHECK_FALSE(gate.accepted(Revision { 5 }));
    clock.advance(milliseconds { 1099 });
    CHECK_FALSE(gate.accepted(Revision { 5 }));
    clock.advance(milliseconds { 1 });
    CHECK(gate.accepted(Revision { 5 }));

    gate.onCommitted(Revision { 6 });
    CHECK_FALSE(gate.accepted(Revision { 6 }));
    gate.onAck(router, Incarnation { 8 }, Revision { 6 });
    CHECK_FALSE(gate.accepted(Revision { 6 }));
    gate.onAck(router, life, Revision { 6 });
    CHECK(gate.accepted(Revision { 6 }));

    // One that has acknowledged does not speak for one that has not.
    gate.onRegistered(NodeId { "q" }, life);
    gate.onCommitted(Revision { 7 });
    gate.onAck(router, life, Revision { 7 });
    CHECK_FALSE(gate.accepted(Revision { 7 }));

    gate.onDeregistered(NodeId { "q" });
    CHECK_FALSE(gate.accepted(Revision { 7 }));
    CHECK(gate.acceptedUpTo() == Revision { 6 });
    clock.advance(milliseconds { 1100 });
    CHECK(gate.accepted(Revision { 7 }));
    gate.onRegistered(router, Incarnation { 8 });
    gate.onCommitted(Revision { 8 });
    gate.onAck(router, Incarnation { 8 }, Revision { 8 });
    CHECK_FALSE(gate.accepted(Revision { 8 })); // The life before may still be current.
    clock.advance(milliseconds { 1100 });
    CHECK(gate.accepted(Revision { 8 }));
    gate.onRestored({ { router, Incarnation { 8 } } }, Revision { 9 });
    gate.onAck(router, Incarnation { 8 }, Revision { 9 });
    CHECK_FALSE(gate.accepted(Revision { 9 }));
    clock.advance(milliseconds { 1100 });
    CHECK(gate.accepted(Revision { 9 }));
}

/// FIGRACK_SEED and FIGRACK_SEEDS narrow or widen the runs.
auto numberFrom(const char *variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

TEST_CASE("random runs: what is accepted, every current observer has applied")
{
    const auto first = numberFrom("FIGRACK_SEED", 1);
    const auto seeds = numberFrom("FIGRACK_SEEDS", 40);
    constexpr auto steps = 4000;
    auto sum = testing::ViewLeaseModel::Counts {};
    for (auto seed = first; seed < first + seeds; ++seed) {
        auto model = testing::ViewLeaseModel { seed };
        for (auto step = 1; step <= steps; ++step) {
            model.step();
            const auto fault = model.fault();
            if (!fault.empty()) {
                FAIL_CHECK("seed=" << seed << " step=" << step << " " << fault);
                break;
            }
        }
        const auto &counts = model.counts();
        sum.changes += counts.changes;
        sum.acceptedByAcks += counts.acceptedByAcks;
        sum.acceptedByTime += counts.acceptedByTime;
        sum.currentSteps += counts.currentSteps;
        sum.staleSteps += counts.staleSteps;
        sum.voterChanges += counts.voterChanges;
        sum.truncations += counts.truncations;
        sum.snapshots += counts.snapshots;
    }
    MESSAGE("changes=" << sum.changes << " by_acks=" << sum.acceptedByAcks
                       << " by_time=" << sum.acceptedByTime << " current=" << sum.currentSteps
                       << " stale=" << sum.staleSteps << " voter_changes=" << sum.voterChanges
                       << " truncations=" << sum.truncations << " snapshots=" << sum.snapshots);
    // Each thing that could go wrong did happen often.
    CHECK(sum.changes > 10 * seeds);
    CHECK(sum.acceptedByAcks > seeds);
    CHECK(sum.acceptedByTime > seeds);
    CHECK(sum.currentSteps > 100 * seeds);
    CHECK(sum.staleSteps > 100 * seeds);
    CHECK(sum.voterChanges > seeds);
    CHECK(sum.truncations > seeds / 2);
    CHECK(sum.snapshots > seeds / 2);
}

} // namespace
} // namespace figrack::coord
