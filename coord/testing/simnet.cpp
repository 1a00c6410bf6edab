// A queue of events in true time. After every step of a node the cluster looks
// at the node from outside, and at every node's belief in its lease.

#include "coord/testing/simnet.h"

#include <algorithm>

#include <fmt/format.h>

#include "coord/membership.h"
#include "core/check.h"

namespace figrack::coord::testing {

namespace {

constexpr auto maxHeld = std::size_t { 300 };
constexpr auto slowMessages = 0.01; ///< Share of messages that take up to a second.

auto raise(const char * /*condition*/, const char *promise) -> void
{
    throw Violation { promise };
}

auto require(bool holds, const std::string &promise) -> void
{
    if (!holds)
        throw Violation { promise };
}

} // namespace

SimNode::SimNode(SimCluster &owner, NodeId nodeName, Random &random)
    : cluster(owner)
    , name(std::move(nodeName))
    , disk(random)
{ }

auto SimNode::send(const NodeId &to, Message message) -> void
{
    cluster.deliver(name, to, message);
}

SimCluster::SimCluster(SimOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , random_(seed)
    , now_(std::chrono::hours { 1 })
{
    setCheckHandler(&raise);
}

SimCluster::~SimCluster()
{
    setCheckHandler(nullptr);
}

auto SimCluster::add(const std::string &name, std::vector<Member> founders) -> SimNode &
{
    auto id = NodeId { name };
    auto &node = nodes_[id];
    node = std::make_unique<SimNode>(*this, id, random_);
    node->founders = std::move(founders);
    if (options_.lyingDisks > 0)
        node->disk.setLying(3);
    // Mostly at either end of the bound, where an error shows.
    const auto place = random_.chance(0.2) ? random_.unit() : (random_.chance(0.5) ? 0.0 : 1.0);
    const auto rate = 1.0 + options_.clockSkew * (place - 0.5);
    const auto offset = std::chrono::seconds { random_.below(100000) };
    node->clock = std::make_unique<SkewedClock>(now_, rate, offset);
    return *node;
}

auto SimCluster::start(SimNode &node) -> void
{
    if (node.replica)
        return;
    auto options = options_.replica;
    options.self.node = node.name;
    options.founders = node.founders;
    node.state = std::make_unique<SimState>();
    node.checkedCommit = LogIndex {};
    ++node.life;
    node.paused = false;
    node.replica = std::make_unique<Replica>(options, *node.clock, node, node.disk, *node.state,
                                             random_);
    step(node, [](Replica &replica) { replica.start().IgnoreError(); });
    tickLater(node, node.life);
}

auto SimCluster::kill(SimNode &node) -> void
{
    if (!node.replica)
        return;
    node.replica.reset();
    node.state.reset();
    node.held.clear();
    node.paused = false;
    node.disk.powerOff();
}

auto SimCluster::wipe(SimNode &node) -> void
{
    kill(node);
    node.disk.wipe();
    node.incarnation = Incarnation {};
    node.highestTerm = Term {};
    node.mayStop = false;
    lastMembership_.erase(node.name);
}

auto SimCluster::pause(SimNode &node) -> void
{
    node.paused = node.replica != nullptr;
}

auto SimCluster::resume(SimNode &node) -> void
{
    node.paused = false;
    const auto held = std::exchange(node.held, {});
    for (const auto &what : held)
        what();
}

auto SimCluster::cut(const NodeId &from, const NodeId &to, bool isCut) -> void
{
    if (isCut)
        cuts_.insert({ from, to });
    else
        cuts_.erase({ from, to });
}

auto SimCluster::isolate(const SimNode &node, bool outward, bool inward) -> void
{
    for (const auto &[other, ignored] : nodes_) {
        if (outward)
            cut(node.name, other, true);
        if (inward)
            cut(other, node.name, true);
    }
}

auto SimCluster::mend() -> void
{
    cuts_.clear();
}

auto SimCluster::after(Duration delay, std::function<void()> what) -> void
{
    events_.push({ now_ + delay, order_++, std::move(what) });
}

auto SimCluster::run(Duration time) -> void
{
    const auto end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        auto event = events_.top();
        events_.pop();
        now_ = event.at;
        event.what();
    }
    now_ = end;
}

auto SimCluster::step(SimNode &node, const std::function<void(Replica &)> &what) -> void
{
    if (!node.replica)
        return;
    ++steps_;
    try {
        what(*node.replica);
    } catch (const Crashed &) {
        kill(node);
        return;
    }
    check(node);
}

auto SimCluster::tickLater(SimNode &node, std::uint64_t life) -> void
{
    after(options_.replica.tick, [this, &node, life] {
        if (node.life != life || !node.replica)
            return;
        if (!node.paused)
            step(node, [](Replica &replica) { replica.tick(); });
        tickLater(node, life);
    });
}

auto SimCluster::deliver(const NodeId &from, const NodeId &to, const Message &message) -> void
{
    if (!nodes_.contains(to) || cuts_.contains({ from, to }) || random_.chance(options_.loss))
        return;
    const auto copies = random_.chance(options_.duplicate) ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        const auto range = random_.chance(slowMessages) ? Duration { std::chrono::seconds { 1 } }
                                                        : options_.maxDelay - options_.minDelay;
        const auto extra = random_.below(static_cast<std::uint64_t>(range.count()));
        const auto delay = options_.minDelay + Duration { static_cast<Duration::rep>(extra) };
        after(delay, [this, to, message] {
            auto &node = *nodes_.at(to);
            const auto life = node.life;
            auto take = [this, &node, message, life] {
                if (node.life == life)
                    step(node, [&](Replica &replica) { replica.receive(message); });
            };
            if (!node.paused)
                take();
            else if (node.held.size() < maxHeld)
                node.held.emplace_back(take);
        });
    }
}

auto SimCluster::nodes() -> std::vector<SimNode *>
{
    auto result = std::vector<SimNode *> {};
    for (auto &[name, node] : nodes_)
        result.push_back(node.get());
    return result;
}

auto SimCluster::leader() -> SimNode *
{
    for (auto &[name, node] : nodes_)
        if (node->replica && !node->paused && node->replica->holdsLease())
            return node.get();
    return nullptr;
}

auto SimCluster::committed() const -> LogIndex
{
    return LogIndex { committed_.size() };
}

auto SimCluster::lostVoters() const -> std::size_t
{
    auto lost = std::set<std::pair<NodeId, Incarnation>> {};
    for (const auto &[name, membership] : lastMembership_)
        for (const auto &member : membership.members) {
            const auto &node = *nodes_.at(member.node);
            const auto gone = node.incarnation != member.incarnation;
            if (member.kind == MemberKind::Voter && gone)
                lost.insert({ member.node, member.incarnation });
        }
    return lost.size();
}

auto SimCluster::check(SimNode &node) -> void
{
    const auto status = node.replica->status();
    require(status.role != Role::Stopped || node.mayStop,
            fmt::format("no replica stops without a cause: {}", status.failure.ToString()));
    node.incarnation = status.incarnation;
    checkTerm(node, status);
    checkLease();
    checkCommitted(node, status);
    checkState(node, status);
    if (status.role == Role::Leader)
        checkLeader(node, status);
    lastMembership_[node.name] = status.membership;
}

auto SimCluster::checkTerm(SimNode &node, const ReplicaStatus &status) -> void
{
    require(status.term >= node.highestTerm || node.mayStop, "a disk's term never falls");
    node.highestTerm = std::max(node.highestTerm, status.term);
}

auto SimCluster::checkLease() -> void
{
    auto holders = 0;
    for (const auto &[name, node] : nodes_) {
        if (!node->replica || !node->replica->holdsLease())
            continue;
        ++holders;
        const auto applied = node->replica->status().appliedIndex;
        require(applied >= committed(), "who holds the lease has applied all that is committed");
    }
    require(holders <= 1, "at most one replica believes it holds the lease");
}

auto SimCluster::checkCommitted(SimNode &node, const ReplicaStatus &status) -> void
{
    auto from = node.checkedCommit.next();
    while (from <= status.appliedIndex) {
        const auto entries = node.replica->committedFrom(from, 100);
        if (!entries) {
            // Committed in a step that ended in a crash, and compacted since.
            if (from > committed())
                committed_.emplace_back();
            from = from.next();
            continue;
        }
        for (const auto &entry : *entries) {
            require(entry.index.value() <= committed_.size() + 1, "entries commit in order");
            if (entry.index.value() == committed_.size() + 1)
                committed_.push_back({ entry.term, status.term, entry.data });
            const auto &known = committed_[entry.index.value() - 1];
            if (known.term == Term {})
                continue;
            require(known.term == entry.term && known.data == entry.data,
                    "a committed entry is never lost or replaced");
        }
        from = entries->back().index.next();
    }
    node.checkedCommit = std::max(node.checkedCommit, status.appliedIndex);
}

auto SimCluster::checkState(const SimNode &node, const ReplicaStatus &status) -> void
{
    const auto [known, isNew] = hashes_.emplace(status.appliedIndex, node.state->hash());
    require(isNew || known->second == node.state->hash(), "states are equal at equal index");
}

auto SimCluster::checkLeader(const SimNode &node, const ReplicaStatus &status) -> void
{
    const auto self = std::pair { node.name, status.incarnation };
    const auto [known, isNew] = leaders_.emplace(status.term, self);
    require(known->second == self, "there is one leader a term");
    // One elected late, beside a leader of a higher term, need not have what that one committed.
    auto upTo = committed();
    while (upTo > LogIndex {} && committed_[upTo.value() - 1].committedIn >= status.term)
        upTo = LogIndex { upTo.value() - 1 };
    if (isNew)
        requireHolds(node, upTo, "a new leader has every entry committed in an earlier term");
    checkPromotion(node, status);
    if (node.replica->repairComplete())
        checkRepaired(node);
}

/// When a leader makes a learner a voter, its disk has what that leader knows to be committed.
auto SimCluster::checkPromotion(const SimNode &node, const ReplicaStatus &status) -> void
{
    const auto before = lastMembership_.find(node.name);
    if (before == lastMembership_.end() || before->second == status.membership)
        return;
    for (const auto &member : status.membership.members) {
        const auto *old = before->second.find(member.node);
        if (old == nullptr || old->kind == member.kind || member.node == node.name)
            continue;
        const auto &promoted = *nodes_.at(member.node);
        if (promoted.incarnation != member.incarnation)
            continue;
        requireHolds(promoted, std::min(status.commitIndex, committed()),
                     "a promoted learner has caught up");
    }
}

auto SimCluster::checkRepaired(const SimNode &leader) -> void
{
    const auto membership = leader.replica->status().membership;
    for (const auto &member : membership.members) {
        const auto &node = *nodes_.at(member.node);
        if (node.incarnation != member.incarnation || node.mayStop)
            continue; // Lost since it was heard last: the one loss that must be survived.
        requireHolds(node, committed(),
                     "a complete repair has every committed entry on every disk");
    }
}

auto SimCluster::requireHolds(const SimNode &node, LogIndex upTo, const std::string &promise)
        -> void
{
    const auto &snapshot = node.disk.content().snapshot;
    const auto covered = snapshot ? snapshot->lastIndex : LogIndex {};
    for (auto index = covered.next(); index <= upTo; index = index.next()) {
        const auto term = committed_[index.value() - 1].term;
        require(term == Term {} || node.disk.holds(index, term), promise);
    }
}

auto SimCluster::describe() const -> std::string
{
    auto result = std::string {};
    for (const auto &[name, node] : nodes_) {
        if (!node->replica) {
            result += fmt::format("\n  {} down", name.value());
            continue;
        }
        const auto status = node->replica->status();
        result += fmt::format("\n  {} {} disk={} term={} last={} commit={} members:", name.value(),
                              roleName(status.role), status.incarnation.value() % 1000,
                              status.term.value(), status.lastIndex.value(),
                              status.commitIndex.value());
        for (const auto &member : status.membership.members)
            result += fmt::format(" {}/{}{}", member.node.value(),
                                  member.incarnation.value() % 1000,
                                  member.kind == MemberKind::Voter ? "+" : "");
    }
    return result;
}

auto foundersNamed(const std::vector<std::string> &names) -> std::vector<Member>
{
    auto result = std::vector<Member> {};
    for (const auto &name : names) {
        auto member = Member {};
        member.node = NodeId { name };
        result.push_back(member);
    }
    return result;
}

} // namespace figrack::coord::testing
