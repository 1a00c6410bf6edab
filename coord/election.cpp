// Founding, elections and the handing over of leadership.
//
// A replica that hears of no leader for a randomised election timeout asks for
// pre-votes, which change nothing; only with a majority of them does it raise
// its term and ask for votes. A replica refuses both while it hears a leader,
// and for one election timeout after a start, since it may have answered a
// leader's heartbeat just before it went down. That is what a lease rests on.
//
// A leader that hands over gives its lease up first, for good: it takes no
// lease again in that term, so a late vote for its heir is harmless.
//
// Founding uses a pre-vote at term 0. Only a replica with an empty disk says
// yes, and only to the founder that its own settings put in charge; with every
// founder's yes the one in charge writes entry 1, which names all disks.

#include <algorithm>
#include <utility>

#include "coord/membership.h"
#include "coord/replicaimpl.h"
#include "coord/sabotage.h"
#include "core/check.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::coord {

namespace {

constexpr auto foundingTerm = Term { 1 };

} // namespace

auto Replica::Impl::isFresh() const -> bool
{
    return term_ == Term {} && log_.lastIndex() == LogIndex {};
}

auto Replica::Impl::isFounderInChief() const -> bool
{
    auto byNode = [](const Member &one, const Member &other) { return one.node < other.node; };
    const auto &all = options_.founders;
    const auto chief = std::min_element(all.begin(), all.end(), byNode);
    return chief != all.end() && chief->node == options_.self.node;
}

/// A learner does not stand for election, but it must not believe in a leader that has not sent
/// anything for a while: the leader may have removed it, and tells only members.
auto Replica::Impl::tickLearner() -> void
{
    if (clock_.now() >= electionDeadline_)
        leader_ = NodeId {};
    tickFounding();
}

auto Replica::Impl::tickFounding() -> void
{
    if (!isFresh() || !isFounderInChief() || clock_.now() < nextFoundingAt_)
        return;
    nextFoundingAt_ = clock_.now() + options_.heartbeat;
    founders_[options_.self.node] = identity_.incarnation;
    auto request = VoteRequest {};
    request.preVote = true;
    for (const auto &founder : options_.founders)
        if (founder.node != options_.self.node)
            send(founder.node, Incarnation {}, request);
    if (founders_.size() == options_.founders.size())
        found();
}

auto Replica::Impl::onFoundingReply(const Message &message) -> void
{
    auto isSender = [&](const Member &member) { return member.node == message.from; };
    const auto &all = options_.founders;
    if (!isFounderInChief() || std::none_of(all.begin(), all.end(), isSender))
        return;
    founders_[message.from] = message.fromIncarnation;
    const auto wanted = sabotage::foundWithSome ? all.size() / 2 + 1 : all.size();
    if (founders_.size() >= wanted)
        found();
}

auto Replica::Impl::found() -> void
{
    auto membership = Membership {};
    for (auto member : options_.founders) {
        member.incarnation = founders_[member.node];
        member.kind = MemberKind::Voter;
        membership = withMember(std::move(membership), std::move(member));
    }
    term_ = foundingTerm;
    auto entry = makeEntry(EntryKind::Membership, encodeMembership(membership));
    if (auto status = log_.append({ entry }); !status.ok()) {
        fail(status);
        return;
    }
    LogEvent(LogLevel::Info, "group_founded").with("group", options_.group);
    followMembership();
    startPreVote();
}

auto Replica::Impl::resetElectionDeadline() -> void
{
    const auto timeout = options_.electionTimeout;
    const auto extra = random_.below(static_cast<std::uint64_t>(timeout.count()));
    electionDeadline_ = clock_.now() + timeout + Duration { static_cast<Duration::rep>(extra) };
}

auto Replica::Impl::hearsLeader() const -> bool
{
    if (sabotage::noLeaseWait)
        return false;
    if (is(Role::Leader))
        return true;
    return leaderHeardAt_ && clock_.now() < *leaderHeardAt_ + options_.electionTimeout;
}

auto Replica::Impl::waitsAfterStart() const -> bool
{
    if (sabotage::noWaitAfterRestart || startedFresh_)
        return false;
    return clock_.now() < startedAt_ + options_.electionTimeout;
}

auto Replica::Impl::logIsCurrent(const VoteRequest &request) const -> bool
{
    if (sabotage::voteForShorterLog)
        return true;
    return std::pair { request.lastTerm, request.lastIndex }
    >= std::pair { log_.lastTerm(), log_.lastIndex() };
}

auto Replica::Impl::saveVote(Term term, const NodeId &node, Incarnation incarnation) -> bool
{
    FIGRACK_CHECK(term >= term_, "a replica's term never falls");
    if (!sabotage::voteBeforeSync || node == options_.self.node)
        if (auto status = store_.saveVote({ term, node }); !status.ok())
            return fail(status);
    term_ = term;
    votedFor_ = node;
    votedForDisk_ = incarnation;
    return true;
}

/// Goes on to a higher term and out of any office. @return false when the store failed
auto Replica::Impl::adoptTerm(Term term) -> bool
{
    if (!saveVote(term, NodeId {}, Incarnation {}))
        return false;
    stepDown();
    leader_ = NodeId {};
    return true;
}

auto Replica::Impl::stepDown() -> void
{
    if (is(Role::Leader))
        resetElectionDeadline();
    leading_.reset();
    votes_.clear();
    roles_.handle(RoleEvent::SteppedDown);
    followMembership();
}

/// Takes the sender of entries or of a snapshot for the leader of its term.
/// @return false when the store failed
auto Replica::Impl::followLeader(const Message &message) -> bool
{
    if (message.term > term_ && !adoptTerm(message.term))
        return false;
    FIGRACK_CHECK(!is(Role::Leader), "there is one leader a term");
    FIGRACK_CHECK(leader_.empty() || leader_ == message.from, "there is one leader a term");
    if (is(Role::Candidate) || is(Role::PreCandidate))
        stepDown();
    leader_ = message.from;
    leaderHeardAt_ = clock_.now();
    resetElectionDeadline();
    return true;
}

auto Replica::Impl::startPreVote() -> void
{
    resetElectionDeadline();
    roles_.handle(RoleEvent::ElectionTimeout);
    leader_ = NodeId {};
    votes_.clear();
    auto request = VoteRequest {};
    request.preVote = true;
    askForVotes(request);
    if (isVoter())
        countVote(options_.self.node);
}

auto Replica::Impl::startElection(RoleEvent event, bool transfer) -> void
{
    resetElectionDeadline();
    roles_.handle(event);
    leader_ = NodeId {};
    votes_.clear();
    if (!saveVote(term_.next(), options_.self.node, identity_.incarnation))
        return;
    auto request = VoteRequest {};
    request.transfer = transfer;
    askForVotes(request);
    if (isVoter())
        countVote(options_.self.node);
}

auto Replica::Impl::askForVotes(const VoteRequest &request) -> void
{
    auto filled = request;
    filled.lastIndex = log_.lastIndex();
    filled.lastTerm = log_.lastTerm();
    for (const auto &member : log_.membership().members)
        if (member.kind == MemberKind::Voter && member.node != options_.self.node)
            send(member.node, member.incarnation, filled);
}

auto Replica::Impl::countVote(const NodeId &node) -> void
{
    votes_.insert(node);
    if (votes_.size() < log_.membership().quorum())
        return;
    if (is(Role::PreCandidate))
        startElection(RoleEvent::PreVoteWon, false);
    else
        becomeLeader();
}

auto Replica::Impl::becomeLeader() -> void
{
    roles_.handle(RoleEvent::VoteWon);
    leader_ = options_.self.node;
    const auto drift = sabotage::noDriftAllowance ? 0.0 : options_.maxClockDrift;
    leading_.emplace(leaseLength(options_.electionTimeout, drift));
    leading_->since = clock_.now();
    leading_->nextRoundAt = clock_.now();
    leading_->peers.follow(log_.membership(), options_.self.node, log_.lastIndex());
    leading_->noopIndex = log_.lastIndex().next();
    LogEvent(LogLevel::Info, "leader_elected").with("node", options_.self.node).with("term", term_);
    leading_->lease.beginRound(clock_.now());
    leading_->nextRoundAt = clock_.now() + options_.heartbeat;
    if (appendOwn({ makeEntry(EntryKind::Noop, {}) }))
        renewLease();
}

/// Whether a pre-vote is given; nothing is changed by it.
auto Replica::Impl::wouldVote(const Message &message, const VoteRequest &request) const -> bool
{
    if (message.term < term_ || hearsLeader() || waitsAfterStart())
        return false;
    if (request.lastIndex > LogIndex {})
        return logIsCurrent(request);
    // Only founding asks with an empty log.
    auto precedes = [&](const Member &member) { return member.node < message.from; };
    const auto &all = options_.founders;
    return isFresh() && !all.empty() && std::none_of(all.begin(), all.end(), precedes);
}

auto Replica::Impl::grantVote(const Message &message, const VoteRequest &request) -> bool
{
    if (message.term < term_ || waitsAfterStart())
        return false;
    const auto released = request.transfer && message.term > term_;
    if (!released && hearsLeader())
        return false;
    if (message.term > term_ && !adoptTerm(message.term))
        return false;
    if (!logIsCurrent(request) || is(Role::Leader))
        return false;
    if (votedFor_ == message.from && votedForDisk_ == message.fromIncarnation)
        return true;
    if (!votedFor_.empty())
        return false;
    if (!saveVote(term_, message.from, message.fromIncarnation))
        return false;
    resetElectionDeadline();
    return true;
}

auto Replica::Impl::on(const Message &message, const VoteRequest &request) -> void
{
    const auto granted
            = request.preVote ? wouldVote(message, request) : grantVote(message, request);
    if (isStopped())
        return;
    auto answer = VoteReply {};
    answer.preVote = request.preVote;
    answer.granted = granted;
    reply(message, answer);
}

auto Replica::Impl::on(const Message &message, const VoteReply &reply) -> void
{
    if (isFresh()) {
        if (reply.preVote && reply.granted && message.term == Term {})
            onFoundingReply(message);
        return;
    }
    if (!isCounted(message))
        return;
    if (message.term > term_) {
        adoptTerm(message.term);
        return;
    }
    const auto *member = log_.membership().find(message.from);
    if (!reply.granted || member->kind != MemberKind::Voter)
        return;
    const auto wanted = reply.preVote ? Role::PreCandidate : Role::Candidate;
    if (is(wanted) && (reply.preVote || message.term == term_))
        countVote(message.from);
}

auto Replica::Impl::on(const Message &message, const TransferRequest & /*request*/) -> void
{
    if (message.term == term_ && message.from == leader_ && is(Role::Follower))
        startElection(RoleEvent::TransferAsked, true);
}

auto Replica::Impl::transferLeadership() -> absl::Status
{
    if (!is(Role::Leader))
        return makeError(ErrorKind::NotLeader, options_.self.node.value());
    flush();
    if (!is(Role::Leader))
        return failure_;
    if (leading_->heir)
        return absl::OkStatus();
    const auto heardSince = clock_.now() - options_.electionTimeout;
    const auto *heir = leading_->peers.mostCaughtUp(log_.membership(), heardSince);
    if (heir == nullptr)
        return makeError(ErrorKind::NoQuorum, "transfer: no other voter has been heard of late");
    if (!sabotage::keepLeaseOnTransfer)
        leading_->lease.giveUp();
    leading_->heir = heir->node;
    leading_->transferDeadline = clock_.now() + options_.electionTimeout;
    tellHeir();
    return absl::OkStatus();
}

/// Asks the heir to stand, once it has the whole log.
auto Replica::Impl::tellHeir() -> void
{
    if (!leading_ || !leading_->heir || leading_->heirTold)
        return;
    const auto *peer = std::as_const(leading_->peers).find(*leading_->heir);
    if (peer == nullptr || peer->match != log_.lastIndex())
        return;
    leading_->heirTold = true;
    send(*leading_->heir, peer->incarnation, TransferRequest {});
}

} // namespace figrack::coord
