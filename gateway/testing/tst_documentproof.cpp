// Revoked keys at gateways that cannot reach any control: the complete path of a proof in virtual
// time, without a network. Voters, rounds and leases are those of the product. A small log replaces
// the replicated one (stored, committed by a majority, truncated, kept over a power loss).
//
// Checked at every step: no gateway accepts keys for longer than revokeWithin after a newer
// document was accepted, whatever is cut off, hangs or restarts. Each mechanism is also broken on
// purpose, and a run must detect that.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/serial.h"
#include "fleet/configlog.h"
#include "fleet/documentproof.h"
#include "fleet/documentvoter.h"
#include "fleet/testing/fakepeer.h"
#include "gateway/keylease.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using fleet::testing::LinkedPeer;

namespace {

constexpr auto revokeWithin = Duration { 5s };
constexpr auto step = Duration { 10ms };
constexpr auto controlCount = std::size_t { 5 };
constexpr auto gatewayCount = std::size_t { 6 };
constexpr auto majority = controlCount / 2 + 1;
/// Maximum difference between the rates of any two clocks; half of it in each direction.
constexpr auto clockDrift = 0.01;

/// The mechanism that is broken on purpose.
enum class Break : std::uint8_t {
    Nothing,
    AgeFromAnswer, ///< The age of a proof is measured from its answer.
    CommittedOnly, ///< Voters demand the document they know to be committed, not the one they have
                   ///< stored.
    OneVoterSuffices, ///< The answer of one voter is taken as a majority.
    DemandIgnored,    ///< A proof counts regardless of the document in force.
    StandsStill,      ///< The gateway's clock stops while its VM is suspended.
    ForgetsAtRestart, ///< After a restart, a voter ignores what its disk holds.
    ProofFromStart,   ///< A gateway is assumed to have proof when it starts.
};

/// A clock that runs at its own rate.
class RatedClock final : public Clock
{
public:
    auto now() const -> Instant override { return Instant { Duration { nanos_ } }; }
    auto wallNow() const -> WallTime override { return {}; }
    auto advance(Duration by) -> void
    {
        nanos_ += static_cast<std::int64_t>(static_cast<double>(by.count()) * rate);
    }
    double rate = 1;

private:
    std::int64_t nanos_ = 86'400'000'000'000;
};

class World
{
public:
    World(std::uint64_t seed, Break broken)
        : random_(seed)
        , broken_(broken)
    {
        for (std::size_t i = 0; i < controlCount; ++i)
            startControl(i);
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            gateways_[i].clock.rate = 1 + clockDrift * (random_.unit() - 0.5);
            startGateway(i);
        }
        change();
        run(2s);
    }

    /// The leader accepts a new document.
    auto change() -> void
    {
        auto &leader = controls_[leader_];
        if (leader.down)
            return;
        const auto version = Revision { ++lastVersion_ };
        store(leader_, { LogIndex { leader.log.size() + 1 }, version, term_ });
        for (std::size_t i = 0; i < controlCount; ++i) {
            if (i != leader_)
                replicate(leader_, i);
        }
    }

    /// Another control on the majority side becomes leader. Entries that only the former leader has
    /// stored are overwritten when it learns of the new one.
    auto changeLeader() -> void
    {
        auto best = leader_;
        auto found = false;
        for (std::size_t i = 0; i < controlCount; ++i) {
            const auto &control = controls_[i];
            const auto isFit = i != leader_ && !control.down && reachable(i) >= majority;
            if (isFit && (!found || isAhead(control, controls_[best]))) {
                best = i;
                found = true;
            }
        }
        auto voters = std::size_t { 0 };
        for (std::size_t i = 0; found && i < controlCount; ++i)
            voters += reaches(best, i) && !isAhead(controls_[i], controls_[best]) ? 1 : 0;
        if (voters < majority)
            return;
        leader_ = best;
        ++term_;
    }

    auto cutControl(std::size_t control, bool cut) -> void { controls_[control].cut = cut; }
    /// Makes a control unreachable for controls and gateways, as if its failure domain were cut
    /// off.
    auto darken(std::size_t control, bool dark) -> void
    {
        controls_[control].cut = dark;
        controls_[control].dark = dark;
    }
    /// A document is accepted, and the other controls do not know yet that it is committed.
    auto changeUnheard() -> void
    {
        change();
        const auto count = accepted_.size();
        for (auto i = 0; i < 100 && accepted_.size() == count; ++i)
            run(step);
    }
    auto cutGateway(std::size_t gateway, bool cut) -> void { gateways_[gateway].cut = cut; }
    auto suspendGateway(std::size_t gateway, Duration duration) -> void
    {
        gateways_[gateway].suspendedUntil = now_ + duration;
    }
    /// All controls lose power; the disk of one control returns in an earlier state.
    auto losePowerOfAll() -> void
    {
        messages_.clear();
        for (std::size_t i = 0; i < controlCount; ++i)
            startControl(i);
        for (std::size_t i = 0; i < gatewayCount; ++i)
            startGateway(i);
    }
    auto restartGateway(std::size_t gateway) -> void { startGateway(gateway); }

    auto run(Duration duration) -> void
    {
        const auto until = now_ + duration;
        while (now_ < until) {
            now_ += step;
            clock_.advance(step);
            deliver();
            for (std::size_t i = 0; i < controlCount; ++i)
                tickControl(i);
            for (std::size_t i = 0; i < gatewayCount; ++i)
                tickGateway(i);
            check();
        }
    }

    auto isCurrent(std::size_t gateway) const -> bool
    {
        return gateways_[gateway].lease->isCurrent();
    }
    /// @return number of steps at which a gateway accepted keys for too long after they were
    /// revoked
    auto violations() const -> std::size_t { return violations_; }
    auto leader() const -> std::size_t { return leader_; }
    auto random() -> Random & { return random_; }

private:
    struct LogEntry
    {
        LogIndex index;
        Revision version;
        std::uint64_t term = 0;
    };
    struct Control
    {
        std::vector<LogEntry> log; ///< Entries on its disk.
        std::size_t committed = 0;
        Revision document; ///< The document that it has applied.
        std::unique_ptr<DocumentVoter> voter;
        std::unique_ptr<DocumentProof> proof;
        bool down = false;
        bool cut = false;  ///< Cut off from the other controls.
        bool dark = false; ///< Cut off from the gateways too.
    };
    struct Gateway
    {
        RatedClock clock;
        std::unique_ptr<gateway::KeyLease> lease;
        Revision inForce;
        Instant suspendedUntil {};
        Duration sinceAsked {};
        bool cut = false; ///< Cut off from all controls.
    };

    static auto nameOf(std::size_t control) -> NodeId
    {
        return NodeId { "n" + std::to_string(control) };
    }
    static auto membership() -> coord::Membership
    {
        auto result = coord::Membership {};
        for (std::size_t i = 0; i < controlCount; ++i)
            result.members.push_back({ nameOf(i), Incarnation { i + 1 }, coord::MemberKind::Voter,
                                       DomainId {}, "" });
        return result;
    }
    static auto entryOf(const LogEntry &entry) -> coord::Entry
    {
        auto document = Document { entry.version, "text" };
        return { Term { 1 }, entry.index, coord::EntryKind::Command, ConfigLog::encode(document) };
    }

    auto reaches(std::size_t from, std::size_t to) const -> bool
    {
        return from == to
                || (!controls_[from].cut && !controls_[to].cut && !controls_[from].down
                    && !controls_[to].down);
    }
    /// @return true if the log of one is newer than that of the other by the rule of a voter
    static auto isAhead(const Control &one, const Control &other) -> bool
    {
        const auto termOf = [](const Control &control) {
            return control.log.empty() ? 0 : control.log.back().term;
        };
        return std::pair { termOf(one), one.log.size() }
        > std::pair { termOf(other), other.log.size() };
    }
    auto reachable(std::size_t control) const -> std::size_t
    {
        auto count = std::size_t { 0 };
        for (std::size_t i = 0; i < controlCount; ++i)
            count += reaches(control, i) ? 1 : 0;
        return count;
    }

    auto startControl(std::size_t index) -> void
    {
        auto &control = controls_[index];
        control.voter = std::make_unique<DocumentVoter>(nameOf(index));
        control.proof = std::make_unique<DocumentProof>(DocumentProofOptions {}, clock_);
        // The commit index is not stored on disk; the last applied document is stored next to the
        // log.
        if (broken_ != Break::ForgetsAtRestart && broken_ != Break::CommittedOnly) {
            for (const auto &entry : control.log)
                control.voter->onStored(entryOf(entry), true);
        }
        // It keeps only what it knew to be committed.
        if (broken_ == Break::ForgetsAtRestart)
            control.voter->onApplied(LogIndex { control.committed }, control.document);
        control.voter->onRecovered();
    }
    auto startGateway(std::size_t index) -> void
    {
        auto &gateway = gateways_[index];
        gateway.lease = std::make_unique<gateway::KeyLease>(
                gateway::KeyLeaseOptions { revokeWithin }, gateway.clock);
        gateway.inForce = {};
        gateway.sinceAsked = {};
        if (broken_ == Break::ProofFromStart) {
            gateway.lease->onInForce(Revision { 1 });
            gateway.lease->onProof(gateway.lease->ask(), Revision { 1 });
        }
    }

    auto later(std::function<void()> action) -> void
    {
        const auto delay = std::chrono::milliseconds { 1 + random_.below(30) };
        messages_.push_back({ now_ + delay, std::move(action) });
    }

    auto store(std::size_t index, const LogEntry &entry) -> void
    {
        auto &control = controls_[index];
        control.log.push_back(entry);
        if (broken_ != Break::CommittedOnly)
            control.voter->onStored(entryOf(entry), true);
    }

    /// Copies the leader's log to a control.
    auto replicate(std::size_t from, std::size_t to) -> void
    {
        later([this, from, to] {
            if (from != leader_ || !reaches(from, to))
                return;
            auto &control = controls_[to];
            const auto &log = controls_[from].log;
            auto same = std::size_t { 0 };
            while (same < std::min(log.size(), control.log.size())
                   && log[same].version == control.log[same].version)
                ++same;
            while (control.log.size() > same) {
                control.voter->onStored(entryOf(control.log.back()), false);
                control.log.pop_back();
            }
            for (auto i = same; i < log.size(); ++i)
                store(to, log[i]);
            later([this, from, size = log.size()] { commit(from, size); });
        });
    }

    auto commit(std::size_t leader, std::size_t size) -> void
    {
        const auto &log = controls_[leader].log;
        if (leader != leader_ || size <= committed_ || log.size() < size
            || log[size - 1].term != term_)
            return;
        auto holders = std::size_t { 0 };
        for (const auto &control : controls_) {
            const auto holds = control.log.size() >= size && controls_[leader].log.size() >= size
                    && control.log[size - 1].version == controls_[leader].log[size - 1].version;
            holders += holds ? 1 : 0;
        }
        if (holders < majority)
            return;
        committed_ = size;
        accepted_.push_back({ controls_[leader].log[size - 1].version, now_ });
        apply(leader, size);
    }

    auto apply(std::size_t index, std::size_t size) -> void
    {
        auto &control = controls_[index];
        for (; control.committed < std::min(size, control.log.size()); ++control.committed) {
            const auto &entry = control.log[control.committed];
            control.document = std::max(control.document, entry.version);
            control.voter->onApplied(entry.index, control.document);
        }
    }

    auto tickControl(std::size_t index) -> void
    {
        auto &control = controls_[index];
        if (control.down)
            return;
        if (index == leader_ && random_.chance(0.2)) {
            for (std::size_t to = 0; to < controlCount; ++to) {
                if (to == index)
                    continue;
                replicate(index, to);
                later([this, index, to, size = control.committed] {
                    if (reaches(index, to))
                        apply(to, size);
                });
            }
        }
        if (const auto query = control.proof->nextQuery())
            askVoters(index, *query);
        control.proof->settle(control.document);
    }

    auto askVoters(std::size_t index, const coord::RevisionQuery &query) -> void
    {
        for (std::size_t to = 0; to < controlCount; ++to) {
            later([this, index, to, query] {
                if (!reaches(index, to))
                    return;
                auto reply = controls_[to].voter->answer(query, membership());
                if (broken_ == Break::OneVoterSuffices)
                    reply.voters = 1;
                later([this, index, to, reply] {
                    if (reaches(to, index))
                        controls_[index].proof->onReply(reply, controls_[index].document);
                });
            });
        }
    }

    auto tickGateway(std::size_t index) -> void
    {
        auto &gateway = gateways_[index];
        const auto isSuspended = now_ < gateway.suspendedUntil;
        if (!isSuspended || broken_ != Break::StandsStill)
            gateway.clock.advance(step);
        if (isSuspended)
            return;
        gateway.sinceAsked += step;
        const auto every = gateway.lease->isCurrent() ? gateway.lease->renewEvery() : 100ms;
        if (gateway.sinceAsked >= every) {
            gateway.sinceAsked = {};
            ask(index);
        }
        fetch(index, random_.below(controlCount));
    }

    auto ask(std::size_t index) -> void
    {
        auto &gateway = gateways_[index];
        const auto question = gateway.lease->ask();
        const auto control = random_.below(controlCount);
        auto answer = [this, index, question](const proto::Envelope &envelope) {
            const auto demanded = std::get<proto::DocumentProofReply>(envelope.payload).demanded;
            later([this, index, question, demanded] { onAnswer(index, question, demanded); });
        };
        later([this, index, control, answer = std::move(answer)] {
            if (!gateways_[index].cut && !controls_[control].dark)
                controls_[control].proof->ask(std::make_shared<LinkedPeer>("g", answer), 1);
        });
    }

    auto onAnswer(std::size_t index, std::uint64_t question, Revision demanded) -> void
    {
        auto &gateway = gateways_[index];
        if (gateway.cut)
            return;
        if (now_ < gateway.suspendedUntil) { // Processed when the VM resumes.
            messages_.push_back({ gateway.suspendedUntil, [this, index, question, demanded] {
                                     onAnswer(index, question, demanded);
                                 } });
            return;
        }
        if (broken_ == Break::AgeFromAnswer)
            question = gateway.lease->ask();
        if (broken_ == Break::DemandIgnored && demanded != Revision {})
            demanded = Revision { 1 };
        gateway.lease->onProof(question, demanded);
    }

    /// A gateway fetches the document that a control announces.
    auto fetch(std::size_t index, std::size_t control) -> void
    {
        auto &gateway = gateways_[index];
        const auto version = controls_[control].document;
        if (gateway.cut || controls_[control].dark || version <= gateway.inForce
            || !random_.chance(0.3))
            return;
        gateway.inForce = version;
        gateway.lease->onInForce(version);
    }

    auto deliver() -> void
    {
        auto due = std::vector<std::function<void()>> {};
        for (auto item = messages_.begin(); item != messages_.end();) {
            if (item->at > now_) {
                ++item;
                continue;
            }
            due.push_back(std::move(item->action));
            item = messages_.erase(item);
        }
        for (const auto &action : due)
            action();
    }

    auto check() -> void
    {
        for (const auto &gateway : gateways_) {
            if (!gateway.lease->isCurrent() || now_ < gateway.suspendedUntil)
                continue;
            for (const auto &[version, at] : accepted_)
                violations_ += gateway.inForce < version && now_ > at + revokeWithin ? 1 : 0;
        }
    }

    struct Message
    {
        Instant at;
        std::function<void()> action;
    };
    struct Accepted
    {
        Revision version;
        Instant at;
    };

    Random random_;
    Break broken_;
    ManualClock clock_; ///< Clock of the controls.
    Instant now_ { 24h };
    std::vector<Control> controls_ { controlCount };
    std::vector<Gateway> gateways_ { gatewayCount };
    std::deque<Message> messages_;
    std::vector<Accepted> accepted_;
    std::size_t leader_ = 0;
    std::uint64_t term_ = 1;
    std::size_t committed_ = 0;
    std::uint64_t lastVersion_ = 0;
    std::size_t violations_ = 0;
};

/// Several seconds of network partitions, changes, suspensions and power losses, determined by the
/// seed.
auto trouble(World &world) -> void
{
    auto &random = world.random();
    for (auto round = 0; round < 12; ++round) {
        switch (random.below(7)) {
        case 0:
            world.cutControl(random.below(controlCount), random.chance(0.5));
            break;
        case 1:
            world.cutGateway(random.below(gatewayCount), random.chance(0.7));
            break;
        case 2:
            world.suspendGateway(random.below(gatewayCount), 1s + 1s * random.below(8));
            break;
        case 3:
            world.cutControl(world.leader(), true);
            world.change(); // Only a minority stores this change.
            world.changeLeader();
            break;
        case 4:
            world.losePowerOfAll();
            break;
        case 5:
            world.restartGateway(random.below(gatewayCount));
            break;
        default:
            break;
        }
        world.change();
        world.run(std::chrono::milliseconds { 200 + random.below(2500) });
    }
    world.run(6s);
}

/// The leader is lost right after it accepted a document, and there is no new leader for a while.
auto loseLeaderAfterAcceptance(World &world, bool losesPower) -> void
{
    for (std::size_t i = 0; i < controlCount; ++i)
        world.darken(i, false);
    world.change();
    world.run(3s);
    world.changeUnheard();
    const auto leader = world.leader();
    world.darken(leader, true);
    if (losesPower)
        world.losePowerOfAll();
    world.run(8s);
    world.darken(leader, false);
    world.run(2s);
}

/// A gateway is suspended while an answer is in transit, and documents change meanwhile.
auto suspendWithAnswer(World &world) -> void
{
    for (auto i = 0; i < 6; ++i) {
        world.suspendGateway(static_cast<std::size_t>(i) % gatewayCount, 7s);
        world.run(100ms);
        world.change();
        world.run(7500ms + std::chrono::milliseconds { world.random().below(300) });
    }
}

auto playAll(World &world) -> void
{
    trouble(world);
    for (std::size_t i = 0; i < gatewayCount; ++i)
        world.cutGateway(i, false);
    loseLeaderAfterAcceptance(world, false);
    loseLeaderAfterAcceptance(world, true);
    suspendWithAnswer(world);
}

auto violationsOver(Break broken, std::uint64_t seeds) -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
        auto world = World { seed, broken };
        playAll(world);
        sum += world.violations();
    }
    return sum;
}

} // namespace

TEST_CASE("No gateway accepts keys for too long after they were revoked, whatever faults occur")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 60; ++seed) {
        CAPTURE(seed);
        auto world = World { seed, Break::Nothing };
        playAll(world);
        CHECK(world.violations() == 0);
    }
}

TEST_CASE("Each mechanism that is broken on purpose is detected")
{
    for (const auto broken : { Break::AgeFromAnswer, Break::CommittedOnly, Break::OneVoterSuffices,
                               Break::DemandIgnored, Break::StandsStill, Break::ForgetsAtRestart,
                               Break::ProofFromStart }) {
        CAPTURE(static_cast<int>(broken));
        CHECK(violationsOver(broken, 20) > 0);
    }
}

TEST_CASE("Connected gateways accept keys without interruption, also while documents change")
{
    auto world = World { 1, Break::Nothing };
    for (auto i = 0; i < 60; ++i) {
        world.change();
        world.run(300ms);
        for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway)
            CHECK(world.isCurrent(gateway));
    }
}

TEST_CASE("A gateway that is cut off serves for at least six tenths of revokeWithin, and never "
          "longer than it")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        CAPTURE(seed);
        auto world = World { seed, Break::Nothing };
        world.run(std::chrono::milliseconds { world.random().below(1000) });
        world.cutGateway(0, true);
        world.run(revokeWithin * 6 / 10);
        CHECK(world.isCurrent(0));
        world.run(revokeWithin * 4 / 10);
        CHECK_FALSE(world.isCurrent(0));
        CHECK(world.isCurrent(1));
        world.cutGateway(0, false);
        world.run(1500ms);
        CHECK(world.isCurrent(0));
    }
}

TEST_CASE("A minority of the controls proves nothing")
{
    auto world = World { 3, Break::Nothing };
    for (const auto control : { std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 } })
        world.cutControl(control, true);
    world.run(revokeWithin);
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway)
        CHECK_FALSE(world.isCurrent(gateway));
}

TEST_CASE("Voters that become reachable during a round are asked in it")
{
    auto clock = ManualClock {};
    auto proof = DocumentProof { {}, clock };
    auto answered = std::optional<Revision> {};
    const auto gateway = std::make_shared<LinkedPeer>("g", [&](const proto::Envelope &envelope) {
        answered = std::get<proto::DocumentProofReply>(envelope.payload).demanded;
    });
    proof.ask(gateway, 1);
    const auto first = proof.nextQuery();
    REQUIRE(first.has_value());
    proof.onReply({ NodeId { "a" }, first->round, Revision { 7 }, 3, 1 }, Revision { 7 });
    CHECK_FALSE(proof.nextQuery().has_value());
    clock.advance(100ms);
    const auto again = proof.nextQuery();
    REQUIRE(again.has_value());
    CHECK(again->round == first->round);
    proof.onReply({ NodeId { "b" }, again->round, Revision { 7 }, 3, 1 }, Revision { 7 });
    CHECK(answered == Revision { 7 });
    // The next gateway's request waits for its own round, and is answered negatively without a
    // majority.
    answered.reset();
    proof.ask(gateway, 2);
    CHECK_FALSE(proof.nextQuery().has_value());
    clock.advance(400ms);
    CHECK(proof.nextQuery().has_value());
    clock.advance(500ms);
    proof.settle(Revision { 7 });
    CHECK(answered == Revision {});
}
