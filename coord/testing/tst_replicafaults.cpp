// One test a failure, in virtual time.

#include <doctest/doctest.h>

#include "coord/testing/simnet.h"
#include "core/error.h"

using namespace figrack;
using namespace figrack::coord;
using namespace figrack::coord::testing;
using namespace std::chrono_literals;

REGISTER_EXCEPTION_TRANSLATOR(const Violation &violation)
{
    return violation.what.c_str();
}

namespace {

/// Three founders that have a leader, and a spare "x".
struct Three
{
    explicit Three(std::uint64_t seed = 1, SimOptions options = {})
        : cluster(std::move(options), seed)
    {
        const auto names = std::vector<std::string> { "a", "b", "c" };
        for (const auto &name : names)
            cluster.start(cluster.add(name, foundersNamed(names)));
        cluster.start(cluster.add("x", {}));
        cluster.run(4s);
        REQUIRE(cluster.leader() != nullptr);
    }
    auto lead() -> SimNode &
    {
        REQUIRE(cluster.leader() != nullptr);
        return *cluster.leader();
    }
    /// @return a founder that does not lead
    auto follower() -> SimNode & { return cluster.node(lead().name.value() == "a" ? "b" : "a"); }
    auto propose(int count, std::size_t bytes = 10) -> void
    {
        cluster.step(lead(), [&](Replica &replica) {
            for (auto i = 0; i < count; ++i)
                CHECK(replica.propose(std::string(bytes, 'p')).ok());
            replica.flush();
        });
        cluster.run(200ms);
    }
    auto memberOf(const SimNode &node) -> Member
    {
        auto member = Member {};
        member.node = node.name;
        member.incarnation = node.replica->status().incarnation;
        return member;
    }

    SimCluster cluster;
};

auto smallLog() -> SimOptions
{
    auto options = SimOptions {};
    options.replica.snapshotEvery = 20;
    options.replica.keepEntries = 3;
    options.replica.snapshotPartBytes = 64;
    return options;
}

} // namespace

TEST_CASE("a silently partitioned leader loses its lease before another holds one")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto three = Three { seed };
        auto &old = three.lead();
        const auto cutAt = old.clock->now();
        three.cluster.isolate(old, true, true);
        while (three.cluster.leader() == &old)
            three.cluster.run(1ms);
        CHECK(old.clock->now() - cutAt <= 500ms);
        // That no two hold one at any time is checked at every step.
        three.cluster.run(3s);
        CHECK(&three.lead() != &old);
        CHECK(old.replica->status().role != Role::Leader);
    }
}

TEST_CASE("a healed replica disturbs nobody")
{
    auto three = Three {};
    auto &leader = three.lead();
    auto &cutOff = three.follower();
    three.cluster.isolate(cutOff, true, true);
    three.cluster.run(20s);
    const auto term = leader.replica->status().term;
    CHECK(cutOff.replica->status().term == term);
    three.cluster.mend();
    three.cluster.run(3s);
    CHECK(&three.lead() == &leader);
    CHECK(leader.replica->status().term == term);
}

TEST_CASE("a learner that was removed while it was cut off knows no leader any more")
{
    auto three = Three {};
    auto &learner = three.cluster.node("x");
    const auto member = three.memberOf(learner);
    three.cluster.step(three.lead(), [&](Replica &r) { CHECK(r.addLearner(member).ok()); });
    three.cluster.run(1s);
    CHECK(learner.replica->status().leader == three.lead().name);
    three.cluster.isolate(learner, true, true);
    three.cluster.step(three.lead(), [&](Replica &r) { CHECK(r.remove(member.node).ok()); });
    three.cluster.run(2s);
    three.cluster.mend();
    three.cluster.run(2s);
    CHECK(learner.replica->status().leader.empty());
    CHECK(learner.replica->status().membership.find(member.node) != nullptr);
}

TEST_CASE("a transfer gives the lease up first and is quick")
{
    auto three = Three {};
    auto &old = three.lead();
    three.propose(5);
    three.cluster.step(old, [](Replica &replica) { CHECK(replica.transferLeadership().ok()); });
    CHECK_FALSE(old.replica->holdsLease());
    CHECK(errorKind(old.replica->propose("late").status()) == ErrorKind::NotLeader);
    three.cluster.run(300ms); // Less than an election timeout.
    CHECK(&three.lead() != &old);
}

TEST_CASE("a transfer whose heir has gone ends the term, and the lease stays given up")
{
    auto three = Three {};
    auto &old = three.lead();
    for (const auto *name : { "a", "b", "c" })
        if (&three.cluster.node(name) != &old)
            three.cluster.pause(three.cluster.node(name));
    const auto term = old.replica->status().term;
    three.cluster.step(old, [](Replica &replica) { CHECK(replica.transferLeadership().ok()); });
    three.cluster.run(300ms);
    CHECK_FALSE(old.replica->holdsLease());
    for (auto *node : three.cluster.nodes())
        three.cluster.resume(*node);
    three.cluster.run(4s);
    CHECK(three.lead().replica->status().term > term);
}

TEST_CASE("an old copy of a disk is noticed by the entries that it acknowledged")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto three = Three { seed };
        auto &node = three.follower();
        const auto copy = node.disk.copy();
        three.propose(10);
        three.cluster.kill(node);
        node.disk.putBack(copy);
        node.mayStop = true;
        three.cluster.start(node);
        three.cluster.run(1s);
        const auto status = node.replica->status();
        CHECK(status.role == Role::Stopped);
        CHECK(errorKind(status.failure) == ErrorKind::Corrupt);
    }
}

TEST_CASE("an old copy of a disk is noticed by the term that it forgot")
{
    auto three = Three {};
    auto &node = three.follower();
    const auto copy = node.disk.copy();
    three.cluster.step(three.lead(),
                       [](Replica &replica) { CHECK(replica.transferLeadership().ok()); });
    three.cluster.run(1s);
    three.cluster.kill(node);
    node.disk.putBack(copy);
    node.mayStop = true;
    three.cluster.start(node);
    three.cluster.run(1s);
    CHECK(errorKind(node.replica->status().failure) == ErrorKind::Corrupt);
}

TEST_CASE("a founder that lost its disk founds nothing and comes back as a learner")
{
    auto three = Three {};
    three.propose(10);
    auto &chief = three.cluster.node("a");
    three.cluster.wipe(chief);
    three.cluster.start(chief);
    three.cluster.run(5s);
    CHECK(chief.replica->status().lastIndex == LogIndex {});
    CHECK(chief.replica->status().role == Role::Learner);
    auto &leader = three.lead();
    CHECK_FALSE(leader.replica->repairComplete());
    three.cluster.step(leader, [&](Replica &replica) {
        CHECK(errorKind(replica.addLearner(three.memberOf(chief)).status()) == ErrorKind::Conflict);
        CHECK(replica.remove(chief.name).ok());
        // A second operator, at the same moment.
        CHECK(errorKind(replica.remove(chief.name).status()) == ErrorKind::MembershipBusy);
    });
    three.cluster.run(500ms);
    three.cluster.step(leader, [&](Replica &replica) {
        CHECK(replica.addLearner(three.memberOf(chief)).ok());
    });
    CHECK_FALSE(leader.replica->repairComplete());
    three.cluster.run(500ms);
    three.cluster.step(leader, [&](Replica &replica) { CHECK(replica.promote(chief.name).ok()); });
    CHECK_FALSE(leader.replica->repairComplete());
    three.cluster.run(500ms);
    CHECK(leader.replica->repairComplete());
}

TEST_CASE("a second VM lost right after a repair loses nothing")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto three = Three { seed };
        three.propose(30);
        auto &first = three.follower();
        three.cluster.wipe(first);
        three.cluster.run(1s);
        three.cluster.step(three.lead(),
                           [&](Replica &replica) { CHECK(replica.remove(first.name).ok()); });
        three.cluster.run(500ms);
        const auto joining = three.memberOf(three.cluster.node("x"));
        three.cluster.step(three.lead(),
                           [&](Replica &replica) { CHECK(replica.addLearner(joining).ok()); });
        three.cluster.run(500ms);
        three.cluster.step(three.lead(),
                           [&](Replica &replica) { CHECK(replica.promote(joining.node).ok()); });
        while (!three.lead().replica->repairComplete())
            three.cluster.run(1ms);
        const auto committed = three.cluster.committed();
        three.cluster.wipe(three.lead());
        three.cluster.run(4s);
        CHECK(three.lead().replica->status().commitIndex > committed);
    }
}

TEST_CASE("disks lost and all power gone right after an acknowledgement lose nothing")
{
    // As many disks as a group bears, the leader's among them in some runs; at that moment every
    // other VM loses power, those without a disk as well: whoever knew of the entry has forgotten
    // it.
    struct Group
    {
        std::size_t voters;
        std::size_t lostDisks;
    };
    for (const auto &group : { Group { 3, 1 }, Group { 5, 1 }, Group { 5, 2 }, Group { 9, 4 } }) {
        for (auto seed = std::uint64_t { 1 }; seed <= 40; ++seed) {
            CAPTURE(group.voters);
            CAPTURE(group.lostDisks);
            CAPTURE(seed);
            auto cluster = SimCluster { {}, seed };
            auto names = std::vector<std::string> {};
            for (std::size_t i = 0; i < group.voters; ++i)
                names.push_back(std::string(1, static_cast<char>('a' + i)));
            for (const auto &name : names)
                cluster.start(cluster.add(name, foundersNamed(names)));
            cluster.run(4s);
            REQUIRE(cluster.leader() != nullptr);
            auto index = LogIndex {};
            cluster.step(*cluster.leader(), [&](Replica &replica) {
                const auto proposed = replica.propose("last");
                REQUIRE(proposed.ok());
                index = *proposed;
                replica.flush();
            });
            const auto *leader = cluster.leader();
            while (leader->replica->status().commitIndex < index)
                cluster.run(50us);
            // The acknowledgement is out; some followers do not know that it is committed.
            auto order = cluster.nodes();
            for (std::size_t i = order.size() - 1; i > 0; --i)
                std::swap(order[i], order[cluster.random().below(i + 1)]);
            for (std::size_t i = 0; i < order.size(); ++i) {
                if (i < group.lostDisks) {
                    cluster.wipe(*order[i]);
                    order[i]->founders.clear(); // Only the first start of all founds a group.
                } else {
                    cluster.kill(*order[i]);
                }
            }
            for (auto *node : order) {
                const auto delay = std::chrono::milliseconds { cluster.random().below(1000) };
                cluster.after(delay, [&cluster, node] { cluster.start(*node); });
            }
            cluster.run(6s);
            REQUIRE(cluster.leader() != nullptr);
            CHECK(cluster.leader()->replica->status().commitIndex > index);
            CHECK(cluster.leader()->disk.termAt(index).has_value());
        }
    }
}

TEST_CASE("a promotion waits for the learner, and a removal for a living majority")
{
    auto three = Three {};
    auto &leader = three.lead();
    auto &spare = three.cluster.node("x");
    three.cluster.isolate(spare, true, true);
    const auto joining = three.memberOf(spare);
    three.cluster.step(leader, [&](Replica &replica) { CHECK(replica.addLearner(joining).ok()); });
    three.cluster.run(2s);
    three.cluster.step(leader, [&](Replica &replica) {
        CHECK(errorKind(replica.promote(joining.node).status()) == ErrorKind::MembershipBusy);
        CHECK(errorKind(replica.promote(NodeId { "q" }).status()) == ErrorKind::UnknownNode);
    });
    auto &gone = three.follower();
    three.cluster.kill(gone);
    three.cluster.run(1s);
    for (const auto *name : { "a", "b", "c" }) {
        auto &other = three.cluster.node(name);
        if (&other == &leader || &other == &gone)
            continue;
        three.cluster.step(leader, [&](Replica &replica) {
            CHECK(errorKind(replica.remove(other.name).status()) == ErrorKind::NoQuorum);
        });
    }
}

TEST_CASE("a far follower is caught up by a snapshot in parts over a lossy network")
{
    auto options = smallLog();
    options.loss = 0.2;
    auto three = Three { 3, options };
    auto &slow = three.follower();
    three.cluster.kill(slow);
    for (auto i = 0; i < 30; ++i)
        three.propose(5);
    three.cluster.start(slow);
    three.cluster.run(10s);
    CHECK(slow.replica->status().appliedIndex == three.lead().replica->status().appliedIndex);
    REQUIRE(slow.disk.content().snapshot.has_value());
    CHECK_FALSE(three.lead().replica->committedFrom(LogIndex { 1 }, 10).has_value());
    const auto tail = three.lead().replica->committedFrom(three.cluster.committed(), 10);
    REQUIRE(tail.has_value());
    CHECK(tail->size() == 1);
}

TEST_CASE("a store that fails stops its replica and the others go on")
{
    for (const auto kind : { ErrorKind::DiskFull, ErrorKind::DiskFailed }) {
        auto three = Three {};
        auto &broken = three.lead();
        broken.mayStop = true;
        broken.disk.failWrites(makeError(kind, "folder=data"));
        three.cluster.step(broken, [](Replica &replica) {
            CHECK(replica.propose("p").ok());
            replica.flush();
        });
        CHECK(broken.replica->status().role == Role::Stopped);
        CHECK(errorKind(broken.replica->status().failure) == kind);
        CHECK(errorKind(broken.replica->propose("p").status()) == ErrorKind::NotLeader);
        three.cluster.run(3s);
        CHECK(&three.lead() != &broken);
    }
}

TEST_CASE("proposals are bounded in size, in bytes queued and in number uncommitted")
{
    auto options = SimOptions {};
    options.replica.maxUncommitted = 20;
    options.replica.maxMessageBytes = 1000;
    options.replica.maxProposalBytes = 5000;
    auto three = Three { 1, options };
    auto &leader = three.lead();
    three.cluster.isolate(leader, true, true);
    auto refusal = absl::Status {};
    auto taken = 0;
    three.cluster.step(leader, [&](Replica &replica) {
        CHECK(errorKind(replica.propose(std::string(1001, 'p')).status()) == ErrorKind::TooLarge);
        for (auto i = 0; i < 5; ++i)
            CHECK(replica.propose(std::string(1000, 'p')).ok());
        CHECK(errorKind(replica.propose("p").status()) == ErrorKind::Overloaded);
        replica.flush();
        for (taken = 5; refusal.ok() && taken < 100; ++taken)
            refusal = replica.propose("p").status();
    });
    CHECK(errorKind(refusal) == ErrorKind::Overloaded);
    CHECK(taken <= 21);
}

TEST_CASE("the hook hears of all entries stored and truncated, also of those found at a start")
{
    auto three = Three { 2, smallLog() };
    auto &node = three.lead();
    auto stored = std::map<LogIndex, Term> {};
    const auto hook = [&](const Entry &entry, bool isStored) {
        if (isStored)
            stored[entry.index] = entry.term;
        else
            CHECK(stored.erase(entry.index) == 1);
    };
    node.replica->setStoredHook(hook);
    three.cluster.isolate(node, true, true);
    three.cluster.step(node, [](Replica &replica) {
        CHECK(replica.propose("never committed").ok());
        replica.flush();
    });
    CHECK(stored.contains(node.replica->status().lastIndex));
    three.cluster.run(3s);
    for (auto i = 0; i < 10; ++i)
        three.propose(5);
    three.cluster.mend();
    three.cluster.run(3s);
    for (const auto &[index, term] : stored)
        CHECK(node.disk.holds(index, term));

    stored.clear();
    three.cluster.kill(node);
    three.cluster.start(node);
    node.replica->setStoredHook(hook);
    CHECK(stored.size() == node.disk.content().entries.size());
}

TEST_CASE("a disk of another node, another group or with a gap is refused")
{
    auto random = Random { 1 };
    auto clock = ManualClock {};
    auto options = ReplicaOptions {};
    options.self.node = NodeId { "a" };
    auto content = Recovered {};
    content.identity = Identity { "figrack", NodeId { "a" }, Incarnation { 1 } };
    auto startWith = [&](const Recovered &recovered) {
        auto cluster = SimCluster { {}, 1 };
        auto &node = cluster.add("a", {});
        node.disk.putBack(recovered);
        auto state = SimState {};
        auto replica = Replica { options, clock, node, node.disk, state, random };
        return errorKind(replica.start());
    };
    CHECK(startWith(content) == ErrorKind::Ok);
    auto other = content;
    other.identity->node = NodeId { "b" };
    CHECK(startWith(other) == ErrorKind::Corrupt);
    other = content;
    other.identity->group = "other";
    CHECK(startWith(other) == ErrorKind::Corrupt);
    other = content;
    other.vote.term = Term { 5 };
    other.entries = { Entry { Term { 1 }, LogIndex { 2 }, EntryKind::Noop, {} } };
    CHECK(startWith(other) == ErrorKind::Corrupt);
    options.heartbeat = Duration { 1 };
    CHECK(startWith(content) == ErrorKind::BadSettings);
}
