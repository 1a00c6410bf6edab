#include "coord/testing/chaos.h"

#include <algorithm>
#include <array>

#include "coord/membership.h"
#include "coord/testing/simnet.h"

namespace figrack::coord::testing {

namespace {

using namespace std::chrono_literals;

enum class Fault : std::uint8_t {
    CutOneWay,
    CutBothWays,
    Silence, ///< A node's sending is lost; it still hears.
    Deafen,  ///< It sends and hears nothing.
    IsolateLeader,
    Pause,
    Kill,
    QuickRestart,
    CrashAtWrite,
    Loss,
    Transfer,
    Wipe,
    OneVoterLeft, ///< The leader keeps one voter, which then restarts as it is cut off too.
    Mend,
};
constexpr auto faultCount = static_cast<std::uint64_t>(Fault::Mend) + 1;

auto simOptions(Random &random, const ChaosOptions &options) -> SimOptions
{
    auto result = SimOptions {};
    result.replica.maxClockDrift = 0.2;
    result.replica.snapshotEvery = 30;
    result.replica.keepEntries = random.below(40);
    result.replica.snapshotPartBytes = 200;
    result.replica.maxBatchEntries = random.chance(0.3) ? 1 : 8;
    result.clockSkew = 0.2;
    result.duplicate = 0.02;
    result.loss = random.chance(0.5) ? 0.0 : 0.02;
    result.maxDelay = random.chance(0.3) ? Duration { 60ms } : Duration { 5ms };
    result.lyingDisks = options.lyingDisks;
    return result;
}

class Chaos
{
public:
    Chaos(std::uint64_t seed, const ChaosOptions &options)
        : random_(seed * 2 + 1)
        , options_(options)
        , cluster_(simOptions(random_, options), seed)
    { }

    auto run() -> void;
    auto result() const -> ChaosResult { return result_; }
    auto cluster() -> SimCluster & { return cluster_; }

private:
    auto anyNode() -> SimNode &
    {
        return *cluster_.nodes()[random_.below(cluster_.nodes().size())];
    }
    auto between(Duration low, Duration high) -> Duration;
    auto foundGroup() -> void;
    auto propose() -> void;
    auto keepProposing() -> void;
    auto keepOperating() -> void;
    auto keepBreaking() -> void;
    auto inject(Fault fault) -> void;
    auto restartLater(SimNode &node, Duration after) -> void;
    auto leaveOneVoter(SimNode &leader, SimNode &voter) -> void;
    auto wipeIfBearable() -> void;
    auto keepHarassing() -> void;
    auto keepCopying() -> void;
    auto putBackOldCopy(SimNode &node) -> void;
    auto endOldCopy(SimNode &node) -> void;
    auto operate(SimNode &node) -> void;
    auto changeMembers(Replica &replica) -> void;
    auto comeBack() -> void;

    Random random_;
    ChaosOptions options_;
    SimCluster cluster_;
    ChaosResult result_;
    std::uint64_t proposed_ = 0;
    bool breaking_ = true;
    Instant quietUntil_;
    Term harassed_;
    std::map<NodeId, Recovered> copies_; ///< Of each node's disk, some time ago.
};

auto Chaos::between(Duration low, Duration high) -> Duration
{
    return low + Duration { random_.below(static_cast<std::uint64_t>((high - low).count())) };
}

auto Chaos::foundGroup() -> void
{
    auto names = std::vector<std::string> { "a", "b", "c" };
    if (random_.chance(0.3))
        names.insert(names.end(), { "d", "e" });
    for (const auto &name : names)
        cluster_.start(cluster_.add(name, foundersNamed(names)));
    for (const auto *name : { "x", "y" })
        cluster_.start(cluster_.add(name, {}));
    cluster_.run(4s);
    if (cluster_.leader() == nullptr)
        throw Violation { "founders that are all up elect a leader" };
}

auto Chaos::propose() -> void
{
    for (auto *node : cluster_.nodes()) {
        if (node->paused || !node->replica || node->replica->status().role != Role::Leader)
            continue;
        const auto count = 1 + random_.below(3);
        cluster_.step(*node, [&](Replica &replica) {
            for (auto i = std::uint64_t { 0 }; i < count; ++i)
                (void)replica.propose(std::to_string(++proposed_) + node->name.value());
            replica.flush();
        });
    }
}

auto Chaos::keepProposing() -> void
{
    if (!breaking_ || cluster_.now() >= quietUntil_)
        propose();
    // In a quiet spell a replica that was cut off is not behind.
    const auto quiet = breaking_ && random_.chance(0.02);
    const auto pause = quiet ? between(1s, 4s) : between(5ms, 80ms);
    cluster_.after(pause, [this] { keepProposing(); });
}

auto Chaos::keepOperating() -> void
{
    // Two operators, who may speak to two that both think they lead.
    if (options_.membershipChanges)
        for (auto *node : cluster_.nodes())
            if (random_.chance(0.7))
                operate(*node);
    cluster_.after(between(50ms, 600ms), [this] { keepOperating(); });
}

auto Chaos::operate(SimNode &node) -> void
{
    if (node.paused || !node.replica || node.replica->status().role != Role::Leader)
        return;
    cluster_.step(node, [&](Replica &replica) { changeMembers(replica); });
}

auto Chaos::changeMembers(Replica &replica) -> void
{
    const auto membership = replica.status().membership;
    for (const auto &member : membership.members) {
        const auto &node = cluster_.node(member.node.value());
        if (node.incarnation != member.incarnation) {
            result_.changes += replica.remove(member.node).ok() ? 1 : 0;
            return;
        }
        if (member.kind == MemberKind::Learner && replica.promote(member.node).ok()) {
            ++result_.changes;
            return;
        }
    }
    auto &node = anyNode();
    if (node.incarnation == Incarnation {})
        return;
    if (membership.find(node.name) == nullptr) {
        auto member = Member {};
        member.node = node.name;
        member.incarnation = node.incarnation;
        result_.changes += replica.addLearner(member).ok() ? 1 : 0;
    } else if (membership.voterCount() > 3 && cluster_.lostVoters() == 0 && breaking_) {
        result_.changes += replica.remove(node.name).ok() ? 1 : 0;
    }
}

auto Chaos::keepBreaking() -> void
{
    if (!breaking_)
        return;
    const auto fault = static_cast<Fault>(random_.below(faultCount));
    inject(fault);
    if (random_.chance(0.5))
        inject(random_.chance(0.5) ? fault : static_cast<Fault>(random_.below(faultCount)));
    cluster_.after(between(20ms, 900ms), [this] { keepBreaking(); });
}

auto Chaos::inject(Fault fault) -> void
{
    auto &node = anyNode();
    auto *leader = cluster_.leader();
    switch (fault) {
    case Fault::CutOneWay:
        cluster_.cut(node.name, anyNode().name, true);
        break;
    case Fault::CutBothWays: {
        const auto &other = anyNode();
        cluster_.cut(node.name, other.name, true);
        cluster_.cut(other.name, node.name, true);
        break;
    }
    case Fault::Silence:
        cluster_.isolate(node, true, false);
        break;
    case Fault::Deafen:
        cluster_.isolate(node, true, true);
        break;
    case Fault::IsolateLeader:
        if (leader != nullptr)
            cluster_.isolate(*leader, random_.chance(0.7), true);
        break;
    case Fault::Pause:
        cluster_.pause(leader != nullptr && random_.chance(0.5) ? *leader : node);
        for (auto *paused : cluster_.nodes())
            if (paused->paused)
                cluster_.after(between(50ms, 3s), [this, paused] { cluster_.resume(*paused); });
        break;
    case Fault::Kill:
        cluster_.kill(node);
        restartLater(node, between(20ms, 3s));
        break;
    case Fault::QuickRestart:
        cluster_.kill(node);
        restartLater(node, between(0ms, 20ms));
        break;
    case Fault::CrashAtWrite:
        node.disk.crashWithin(8);
        restartLater(node, between(100ms, 2s));
        break;
    case Fault::Loss:
        cluster_.setLoss(random_.chance(0.5) ? 0.0 : 0.2);
        break;
    case Fault::Transfer:
        for (auto *each : cluster_.nodes())
            if (each->replica && !each->paused)
                cluster_.step(*each, [](Replica &r) { r.transferLeadership().IgnoreError(); });
        break;
    case Fault::Wipe:
        wipeIfBearable();
        break;
    case Fault::OneVoterLeft:
        if (leader != nullptr && leader != &node)
            leaveOneVoter(*leader, node);
        break;
    case Fault::Mend:
        cluster_.mend();
        break;
    }
}

auto Chaos::restartLater(SimNode &node, Duration after) -> void
{
    cluster_.after(after, [this, &node] { cluster_.start(node); });
}

/// The group is quiet, so that those cut off are not behind and may be elected.
auto Chaos::leaveOneVoter(SimNode &leader, SimNode &voter) -> void
{
    quietUntil_ = cluster_.now() + 3s;
    cluster_.after(100ms, [this, &leader, &voter] {
        if (!breaking_)
            return;
        cluster_.isolate(leader, true, true);
        cluster_.cut(leader.name, voter.name, false);
        cluster_.cut(voter.name, leader.name, false);
    });
    cluster_.after(between(400ms, 1500ms), [this, &leader, &voter] {
        if (!breaking_)
            return;
        cluster_.isolate(leader, true, true);
        cluster_.kill(voter);
        restartLater(voter, between(0ms, 20ms));
    });
}

/// Cuts off leaders just after their election, so that logs end in many terms.
auto Chaos::keepHarassing() -> void
{
    for (auto *node : cluster_.nodes()) {
        if (!node->replica || node->highestTerm <= harassed_
            || node->replica->status().role != Role::Leader)
            continue;
        harassed_ = node->highestTerm;
        if (!breaking_ || random_.chance(0.3))
            continue;
        cluster_.after(between(0ms, 100ms), [this, node] {
            if (breaking_)
                cluster_.isolate(*node, true, true);
        });
        cluster_.after(between(500ms, 2s), [this] { cluster_.mend(); });
    }
    if (breaking_)
        cluster_.after(5ms, [this] { keepHarassing(); });
}

/// Loses a disk when the group has said that it can bear the loss.
auto Chaos::wipeIfBearable() -> void
{
    auto *leader = cluster_.leader();
    for (const auto *node : cluster_.nodes())
        if (node->mayStop)
            return;
    const auto bearable = leader != nullptr && cluster_.lostVoters() == 0
            && leader->replica->repairComplete()
            && leader->replica->status().membership.voterCount() > 2;
    if (!bearable)
        return;
    auto &node = anyNode();
    if (options_.oldCopies) {
        putBackOldCopy(node);
        return;
    }
    cluster_.wipe(node);
    restartLater(node, between(20ms, 1s));
    ++result_.wipes;
}

auto Chaos::keepCopying() -> void
{
    for (auto *node : cluster_.nodes())
        if (random_.chance(0.3))
            copies_[node->name] = node->disk.copy();
    cluster_.after(1s, [this] { keepCopying(); });
}

/// A replica that stops over it is replaced, as the operators' rule has it.
auto Chaos::putBackOldCopy(SimNode &node) -> void
{
    const auto copy = copies_.find(node.name);
    const auto ofThisDisk = copy != copies_.end() && copy->second.identity
            && copy->second.identity->incarnation == node.incarnation;
    if (!ofThisDisk || node.mayStop)
        return;
    cluster_.kill(node);
    node.disk.putBack(copy->second);
    node.highestTerm = copy->second.vote.term;
    node.mayStop = true;
    ++result_.oldCopies;
    restartLater(node, between(0ms, 1s));
    cluster_.after(3s, [this, &node] { endOldCopy(node); });
}

auto Chaos::endOldCopy(SimNode &node) -> void
{
    if (!node.mayStop)
        return;
    const auto stopped = node.replica && node.replica->status().role == Role::Stopped;
    if (!stopped) {
        cluster_.after(1s, [this, &node] { endOldCopy(node); });
        return;
    }
    ++result_.noticed;
    cluster_.wipe(node);
    cluster_.start(node);
}

auto Chaos::comeBack() -> void
{
    breaking_ = false;
    cluster_.mend();
    cluster_.setLoss(0.0);
    for (auto *node : cluster_.nodes()) {
        node->disk.disarm();
        cluster_.resume(*node);
        cluster_.start(*node);
    }
    cluster_.run(8s);
    auto *leader = cluster_.leader();
    if (leader == nullptr)
        throw Violation { "a mended group elects a leader: " + cluster_.describe() };
    const auto before = cluster_.committed();
    cluster_.run(2s);
    if (cluster_.committed() <= before)
        throw Violation { "a mended group commits" };
}

auto Chaos::run() -> void
{
    foundGroup();
    keepProposing();
    keepOperating();
    keepBreaking();
    if (random_.chance(0.3))
        keepHarassing();
    if (options_.oldCopies)
        keepCopying();
    cluster_.run(options_.length);
    comeBack();
}

} // namespace

auto runChaos(std::uint64_t seed, const ChaosOptions &options) -> ChaosResult
{
    auto chaos = Chaos { seed, options };
    auto violation = std::string {};
    try {
        chaos.run();
    } catch (const Violation &broken) {
        violation = broken.what;
    }
    auto result = chaos.result();
    result.violation = violation;
    result.steps = chaos.cluster().steps();
    result.committed = chaos.cluster().committed().value();
    return result;
}

} // namespace figrack::coord::testing
