// One step moves true time on a little, each clock at its own rate, and does one
// random act. The promise is checked against true time: what any gate accepts,
// every observer that is current has applied.

#include "coord/testing/viewleasemodel.h"

#include <algorithm>

#include <fmt/format.h>

namespace figrack::coord::testing {

namespace {

using std::chrono::milliseconds;

const auto replicaNames = std::vector<std::string> { "a", "b", "c", "d", "e", "f" };
constexpr auto observerCount = std::size_t { 4 };
constexpr auto maxZombies = std::size_t { 10 };
constexpr auto maxVoters = std::size_t { 5 };
constexpr auto drift = 0.1; ///< Large, so that a missing stretch shows soon.

auto majority(std::size_t of) -> std::size_t
{
    return of / 2 + 1;
}

} // namespace

struct ViewLeaseModel::Replica
{
    Replica(std::string replicaName, double clockRate, const ViewLeaseOptions &options)
        : name(std::move(replicaName))
        , rate(clockRate)
        , grantor(NodeId { name })
        , gate(std::make_unique<AcceptGate>(options, clock))
    { }

    std::string name;
    ManualClock clock;
    double rate;
    ViewGrantor grantor;
    std::unique_ptr<AcceptGate> gate;
    Log log; ///< log[i] has index i + 1.
    Term term;
    bool leads = false;
    bool recovering = false;
    bool side = false; ///< Of a split network.
    std::size_t commit = 0;
    std::size_t applied = 0;
    Applied state;
    std::map<std::string, std::size_t> match; ///< As leader, in its own term.

    auto lastTerm() const -> Term { return log.empty() ? Term {} : log.back().term; }
    auto upToDate(const Replica &other) const -> bool
    {
        return lastTerm() != other.lastTerm() ? lastTerm() > other.lastTerm()
                                              : log.size() >= other.log.size();
    }
};

struct ViewLeaseModel::Observer
{
    Observer(const std::string &observerName, std::uint64_t life, double clockRate,
             const ViewLeaseOptions &options)
        : name(observerName)
        , incarnation(life)
        , rate(clockRate)
        , holder(options, clock, name, incarnation)
    { }

    NodeId name;
    Incarnation incarnation;
    ManualClock clock;
    double rate;
    ViewHolder holder;
    Revision applied;
    std::size_t appliedIndex = 0;
    bool side = false;
    bool former = false; ///< Its next life has begun.
};

ViewLeaseModel::ViewLeaseModel(std::uint64_t seed)
    : random_(seed)
    , options_ { milliseconds { 1000 }, milliseconds { 200 }, drift }
{
    const auto rate = [&] { return random_.chance(0.5) ? 1.0 : 1.0 + drift; };
    for (const auto &name : replicaNames) {
        replicas_.push_back(std::make_unique<Replica>(name, rate(), options_));
        auto &replica = *replicas_.back();
        replica.log.push_back({ Term { 1 }, Kind::Voters, {}, { "a", "b", "c" }, {}, {} });
        replica.term = Term { 1 };
        replica.commit = 1;
        replica.applied = 1;
        replica.grantor.onRecovered();
    }
    for (auto i = std::size_t { 0 }; i < observerCount; ++i)
        observers_.push_back(std::make_unique<Observer>("o" + std::to_string(i), nextIncarnation_++,
                                                        rate(), options_));
}

ViewLeaseModel::~ViewLeaseModel() = default;

auto ViewLeaseModel::pickReplica() -> Replica &
{
    return *replicas_[random_.below(replicas_.size())];
}

/// Any that believes it leads, else any.
auto ViewLeaseModel::pickLeader() -> Replica &
{
    auto leaders = std::vector<Replica *> {};
    for (auto &replica : replicas_) {
        if (replica->leads)
            leaders.push_back(replica.get());
    }
    return leaders.empty() ? pickReplica() : *leaders[random_.below(leaders.size())];
}

auto ViewLeaseModel::pickObserver() -> Observer &
{
    return *observers_[random_.below(observers_.size())];
}

auto ViewLeaseModel::stateAt(const Log &log, std::size_t count) -> Applied
{
    auto state = Applied {};
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto &item = log[i];
        if (item.kind == Kind::Change && item.expected == state.revision)
            state.revision = state.revision.next();
        if (item.kind == Kind::Register)
            state.observers[item.observer] = item.incarnation;
        const auto found = state.observers.find(item.observer);
        if (item.kind == Kind::Remove && found != state.observers.end()
            && found->second == item.incarnation)
            state.observers.erase(found);
    }
    return state;
}

auto ViewLeaseModel::votersOf(const Log &log) -> std::set<std::string>
{
    const auto last = std::find_if(log.rbegin(), log.rend(),
                                   [](const Item &item) { return item.kind == Kind::Voters; });
    return last == log.rend() ? std::set<std::string> {} : last->voters;
}

auto ViewLeaseModel::membershipOf(const Log &log) -> Membership
{
    auto membership = Membership {};
    for (const auto &name : votersOf(log))
        membership.members.push_back(
                { NodeId { name }, Incarnation { 1 }, MemberKind::Voter, DomainId {}, "" });
    return membership;
}

auto ViewLeaseModel::changedVoters(const std::set<std::string> &voters, Random &random)
        -> std::set<std::string>
{
    auto result = voters;
    const auto &name = replicaNames[random.below(replicaNames.size())];
    if (voters.contains(name) && voters.size() > 1)
        result.erase(name);
    else if (voters.size() < maxVoters)
        result.insert(name);
    return result;
}

auto ViewLeaseModel::advance() -> void
{
    const auto by = milliseconds { random_.below(random_.chance(0.02) ? 1500 : 30) };
    now_ += by;
    const auto move = [&](ManualClock &clock, double rate) {
        clock.advance(Duration {
                static_cast<Duration::rep>(static_cast<double>(Duration { by }.count()) * rate) });
    };
    for (auto &replica : replicas_)
        move(replica->clock, replica->rate);
    for (auto &observer : observers_)
        move(observer->clock, observer->rate);
}

auto ViewLeaseModel::step() -> void
{
    advance();
    deliver();
    if (random_.chance(0.01))
        busy_ = !busy_;
    if (random_.chance(0.003))
        split();
    for (auto acts = busy_ ? 20 : 4; acts > 0; --acts)
        act();
    noteAcceptance();
}

/// Parts the processes in two halves that do not hear each other, or joins them again.
auto ViewLeaseModel::split() -> void
{
    const auto whole = random_.chance(0.6);
    for (auto &replica : replicas_)
        replica->side = !whole && random_.chance(0.5);
    for (auto &observer : observers_)
        observer->side = !whole && random_.chance(0.5);
}

auto ViewLeaseModel::act() -> void
{
    const auto act = random_.below(1000);
    if (act < 5)
        elect();
    else if (act < 30)
        propose();
    else if (act < 360)
        replicate();
    else if (act < 500)
        commit();
    else if (act < 650)
        applySome();
    else if (act < 800)
        renew();
    else if (act < 950)
        catchUp();
    else if (act < 957)
        restartReplica();
    else if (act < 967)
        sendSnapshot();
    else if (act < 968)
        restartObserver();
}

auto ViewLeaseModel::elect() -> void
{
    auto &candidate = pickReplica();
    const auto voters = votersOf(candidate.log);
    if (candidate.recovering || !voters.contains(candidate.name))
        return;
    auto supporters = std::vector<Replica *> {};
    for (auto &replica : replicas_) {
        const auto votes = voters.contains(replica->name) && !replica->recovering;
        const auto reached = replica.get() == &candidate
                || (replica->side == candidate.side && random_.chance(0.8));
        if (votes && reached && replica->term <= candidate.term && candidate.upToDate(*replica))
            supporters.push_back(replica.get());
    }
    if (supporters.size() < majority(voters.size()))
        return;
    const auto term = candidate.term.next();
    for (auto *supporter : supporters) {
        supporter->term = term;
        supporter->leads = false;
    }
    candidate.leads = true;
    candidate.match.clear();
    store(candidate, { term, Kind::Noop, {}, {}, {}, {} });
}

/// What a voter must tell its grantor before it acknowledges.
auto ViewLeaseModel::store(Replica &replica, const Item &item) -> void
{
    replica.log.push_back(item);
    const auto index = LogIndex { replica.log.size() };
    if (item.kind == Kind::Change)
        replica.grantor.onStored(index, item.expected.next());
    if (item.kind == Kind::Register)
        replica.grantor.onRegistrationStored(index, item.observer, item.incarnation);
    if (item.kind == Kind::Remove)
        replica.grantor.onRemovalStored(index, item.observer, item.incarnation);
}

auto ViewLeaseModel::cut(Replica &replica, std::size_t keep) -> void
{
    if (keep >= replica.log.size())
        return;
    ++counts_.truncations;
    replica.log.resize(keep);
    replica.grantor.onTruncated(LogIndex { keep + 1 });
}

auto ViewLeaseModel::proposedItem(const Replica &leader) -> Item
{
    const auto kind = random_.below(10);
    const auto stored = stateAt(leader.log, leader.log.size());
    if (kind < 5) {
        const auto off = random_.chance(0.2) ? random_.below(3) : 0;
        return {
            leader.term, Kind::Change, Revision { stored.revision.value() + off }, {}, {}, {}
        };
    }
    const auto &observer = pickObserver();
    if (kind < 8)
        return { leader.term, Kind::Register, {}, {}, observer.name, observer.incarnation };
    if (kind == 8)
        return { leader.term, Kind::Remove, {}, {}, observer.name, observer.incarnation };
    return { leader.term, Kind::Voters, {}, changedVoters(votersOf(leader.log), random_), {}, {} };
}

auto ViewLeaseModel::propose() -> void
{
    auto &leader = pickLeader();
    if (!leader.leads || leader.recovering)
        return;
    const auto item = proposedItem(leader);
    if (item.kind == Kind::Register) {
        const auto isFormer = std::any_of(observers_.begin(), observers_.end(), [&](const auto &o) {
            return o->former && o->incarnation == item.incarnation;
        });
        if (isFormer)
            return;
    }
    if (item.kind == Kind::Voters) {
        const auto open = std::any_of(
                leader.log.begin() + static_cast<long>(leader.commit), leader.log.end(),
                [](const Item &stored) { return stored.kind == Kind::Voters; });
        const auto ownTerm = leader.commit > 0 && leader.log[leader.commit - 1].term == leader.term;
        if (open || !ownTerm)
            return;
        ++counts_.voterChanges;
    }
    store(leader, item);
}

auto ViewLeaseModel::reaches(const Replica &leader, const Replica &follower) -> bool
{
    return &leader != &follower && leader.leads && !leader.recovering && !follower.recovering
            && follower.term <= leader.term && follower.side == leader.side;
}

auto ViewLeaseModel::replicate() -> void
{
    auto &leader = pickLeader();
    auto &follower = pickReplica();
    if (!reaches(leader, follower))
        return;
    follower.term = leader.term;
    follower.leads = false;
    const auto upTo
            = random_.chance(0.8) ? leader.log.size() : random_.below(leader.log.size() + 1);
    for (auto i = std::size_t { 0 }; i < upTo; ++i) {
        if (i < follower.log.size() && follower.log[i].term == leader.log[i].term)
            continue;
        cut(follower, i);
        store(follower, leader.log[i]);
    }
    if (random_.chance(0.9))
        leader.match[follower.name] = std::max(leader.match[follower.name], upTo);
    follower.commit = std::max(follower.commit, std::min(leader.commit, upTo));
}

auto ViewLeaseModel::sendSnapshot() -> void
{
    auto &leader = pickLeader();
    auto &follower = pickReplica();
    if (!reaches(leader, follower) || follower.commit >= leader.applied)
        return;
    ++counts_.snapshots;
    follower.term = leader.term;
    follower.leads = false;
    follower.log.assign(leader.log.begin(), leader.log.begin() + static_cast<long>(leader.applied));
    follower.commit = leader.applied;
    follower.applied = leader.applied;
    for (const auto &[observer, incarnation] : follower.state.observers)
        follower.grantor.onDeregistered(observer);
    follower.state = leader.state;
    for (const auto &[observer, incarnation] : follower.state.observers)
        follower.grantor.onRegistered(observer, incarnation);
    follower.grantor.onTruncated(LogIndex { follower.log.size() + 1 });
    follower.grantor.onApplied(LogIndex { follower.applied }, follower.state.revision);
    follower.gate->onRestored(follower.state.observers, follower.state.revision);
    leader.match[follower.name] = std::max(leader.match[follower.name], follower.log.size());
}

auto ViewLeaseModel::commit() -> void
{
    auto &leader = pickLeader();
    if (!leader.leads || leader.recovering)
        return;
    const auto voters = votersOf(leader.log);
    for (auto count = leader.log.size(); count > leader.commit; --count) {
        if (leader.log[count - 1].term != leader.term)
            break;
        auto stored = std::size_t { 0 };
        for (const auto &voter : voters) {
            const auto match = leader.match.find(voter);
            const auto reached = voter == leader.name
                    || (match != leader.match.end() && match->second >= count);
            stored += reached ? 1 : 0;
        }
        if (stored < majority(voters.size()))
            continue;
        leader.commit = count;
        const auto revision = stateAt(leader.log, count).revision;
        for (auto each = committedAt_.size() + 1; each <= revision.value(); ++each) {
            committedAt_[Revision { each }] = now_;
            ++counts_.changes;
        }
        break;
    }
}

auto ViewLeaseModel::applyOne(Replica &replica) -> void
{
    const auto before = replica.state;
    ++replica.applied;
    replica.state = stateAt(replica.log, replica.applied);
    for (const auto &[observer, incarnation] : before.observers) {
        if (replica.state.observers.contains(observer))
            continue;
        replica.grantor.onDeregistered(observer);
        replica.gate->onDeregistered(observer);
    }
    for (const auto &[observer, incarnation] : replica.state.observers) {
        replica.grantor.onRegistered(observer, incarnation);
        replica.gate->onRegistered(observer, incarnation);
    }
    replica.grantor.onApplied(LogIndex { replica.applied }, replica.state.revision);
    if (replica.state.revision != before.revision)
        replica.gate->onCommitted(replica.state.revision);
}

auto ViewLeaseModel::applySome() -> void
{
    auto &replica = pickReplica();
    if (replica.recovering)
        return;
    const auto upTo = random_.chance(0.8)
            ? replica.commit
            : replica.applied + random_.below(replica.commit - replica.applied + 1);
    while (replica.applied < upTo)
        applyOne(replica);
}

/// The replica dies. Its log and some snapshot survive; it answers before it has read them back,
/// and finishes at a later restart act.
auto ViewLeaseModel::restartReplica() -> void
{
    auto &replica = pickReplica();
    if (replica.recovering) {
        finishRecovery(replica);
        return;
    }
    replica.leads = false;
    replica.recovering = true;
    replica.applied = random_.below(replica.applied + 1);
    replica.commit = replica.applied;
    replica.state = stateAt(replica.log, replica.applied);
    replica.grantor = ViewGrantor { NodeId { replica.name } };
    for (const auto &[observer, incarnation] : replica.state.observers)
        replica.grantor.onRegistered(observer, incarnation);
    replica.gate = std::make_unique<AcceptGate>(options_, replica.clock);
    replica.gate->onRestored(replica.state.observers, replica.state.revision);
    if (random_.chance(0.5))
        finishRecovery(replica);
}

auto ViewLeaseModel::finishRecovery(Replica &replica) -> void
{
    replica.grantor.onApplied(LogIndex { replica.applied }, replica.state.revision);
    const auto recovered = std::exchange(replica.log, Log {});
    for (const auto &item : recovered) {
        if (replica.log.size() < replica.applied)
            replica.log.push_back(item);
        else
            store(replica, item);
    }
    replica.grantor.onRecovered();
    replica.recovering = false;
}

auto ViewLeaseModel::sendDelay() -> Duration
{
    return milliseconds { random_.below(random_.chance(0.1) ? 1500 : 50) };
}

auto ViewLeaseModel::renew() -> void
{
    const auto from = random_.below(observers_.size());
    auto &observer = *observers_[from];
    const auto request = observer.holder.request(observer.applied);
    for (auto to = std::size_t { 0 }; to < replicas_.size(); ++to) {
        for (auto copies = random_.below(10) == 0 ? 2 : 1; copies > 0; --copies) {
            if (replicas_[to]->side == observer.side && random_.chance(0.85))
                packets_.push_back({ now_ + sendDelay(), to, from, request });
        }
    }
}

auto ViewLeaseModel::deliver() -> void
{
    auto due = std::vector<Packet> {};
    for (const auto &packet : packets_) {
        if (packet.due <= now_)
            due.push_back(packet);
    }
    std::erase_if(packets_, [&](const Packet &packet) { return packet.due <= now_; });
    for (const auto &packet : due) {
        if (const auto *reply = std::get_if<RenewReply>(&packet.body)) {
            observers_[packet.observer]->holder.onReply(*reply);
            continue;
        }
        const auto &request = std::get<RenewRequest>(packet.body);
        auto &replica = *replicas_[packet.replica];
        const auto voters = voterSetOf(membershipOf(replica.log), NodeId { replica.name });
        const auto reply = replica.grantor.grant(request, voters);
        replica.gate->onAck(request.observer, request.incarnation, request.applied);
        // Replies reach whatever life of the observer now has the address.
        auto to = packet.observer;
        for (auto i = std::size_t { 0 }; i < observers_.size(); ++i) {
            if (observers_[i]->name == request.observer && random_.chance(0.5))
                to = i;
        }
        if (random_.chance(0.9))
            packets_.push_back({ now_ + sendDelay(), 0, to, reply });
    }
}

auto ViewLeaseModel::catchUp() -> void
{
    auto &observer = pickObserver();
    const auto &replica = pickReplica();
    if (replica.side != observer.side || replica.applied <= observer.appliedIndex)
        return;
    const auto ahead = replica.applied - observer.appliedIndex;
    observer.appliedIndex += random_.chance(0.7) ? ahead : random_.below(ahead + 1);
    observer.applied = stateAt(replica.log, observer.appliedIndex).revision;
}

auto ViewLeaseModel::restartObserver() -> void
{
    auto &old = pickObserver();
    if (old.former || observers_.size() >= observerCount + maxZombies)
        return;
    old.former = true;
    observers_.push_back(
            std::make_unique<Observer>(old.name.value(), nextIncarnation_++, old.rate, options_));
}

auto ViewLeaseModel::noteAcceptance() -> void
{
    for (const auto &replica : replicas_) {
        const auto accepted = replica->gate->acceptedUpTo();
        if (accepted <= accepted_)
            continue;
        const auto waited = now_ - committedAt_[accepted];
        (waited < options_.length ? counts_.acceptedByAcks : counts_.acceptedByTime) += 1;
        accepted_ = accepted;
    }
    for (const auto &observer : observers_) {
        counts_.currentSteps += observer->holder.isCurrent() ? 1 : 0;
        counts_.staleSteps += observer->applied < accepted_ ? 1 : 0;
    }
}

auto ViewLeaseModel::fault() const -> std::string
{
    if (accepted_.value() > committedAt_.size())
        return fmt::format("revision {} is accepted and not committed", accepted_.value());
    for (const auto &observer : observers_) {
        if (observer->holder.isCurrent() && observer->applied < accepted_)
            return fmt::format("revision {} is accepted, {} of life {} is current at {}",
                               accepted_.value(), observer->name.value(),
                               observer->incarnation.value(), observer->applied.value());
    }
    return {};
}

} // namespace figrack::coord::testing
