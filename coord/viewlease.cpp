// Why an accepted change is in force everywhere. Let change C be committed at
// true time T, and take a round of renewal that an observer sent after T and
// that a majority of one voter set granted.
//
//  1. One of the granting voters had stored C. Voter sets change by one member
//     at a time, each change committed before the next is begun, and a leader
//     commits an entry of its own term first. A voter names the set of the latest
//     membership in its log. If the set is that by which C was committed, or
//     next to it, the two majorities share a voter. If it is older, a majority
//     of the set after it had stored the change to that set before T, shares a
//     voter with the granting one, and that voter would have named the newer
//     set. If it is newer, its entry follows C in the log. So sets may be told
//     apart by what they contain, and grants that name different sets are never
//     added up.
//  2. That voter granted after T, so it demanded C of the observer, which had
//     therefore applied C when it sent the round.
//
// A round sent before T ends its lease at most L after T on the observer's
// clock, which is at most L * (1 + drift) on the gate's. Before that, the gate
// may accept when every observer that may hold a lease has acknowledged C:
// those registered, and those removed or replaced less than that time ago,
// since from the storing of a removal on a majority refuses them by the same
// argument as in 1 and 2.
//
// A voter needs to remember nothing of its grants over a restart: only what it
// has stored, which it recovers.

#include "coord/viewlease.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "core/error.h"

namespace figrack::coord {

namespace {

/// More rounds than this are never waited for at once.
constexpr auto maxOpenRounds = std::size_t { 64 };

auto stretched(Duration length, double drift) -> Duration
{
    const auto nanos = static_cast<double>(length.count()) * (1.0 + drift);
    return Duration { static_cast<Duration::rep>(std::ceil(nanos)) };
}

} // namespace

auto voterSetOf(const Membership &membership, const NodeId &self) -> VoterSet
{
    auto text = std::string {};
    auto set = VoterSet {};
    auto selfVotes = false;
    for (const auto &member : membership.members) {
        if (member.kind != MemberKind::Voter)
            continue;
        ++set.size;
        selfVotes = selfVotes || member.node == self;
        const auto &name = member.node.value();
        text += fmt::format("{}:{}:{};", name.size(), name, member.incarnation.value());
    }
    if (!selfVotes)
        return {};
    set.fingerprint = XXH3_64bits(text.data(), text.size());
    return set;
}

ViewGrantor::ViewGrantor(NodeId self)
    : self_(std::move(self))
{ }

auto ViewGrantor::Barrier::bars(const RenewRequest &request) const -> bool
{
    return request.observer == observer && (request.incarnation == incarnation) == removal;
}

auto ViewGrantor::onStored(LogIndex index, Revision revision) -> void
{
    stored_[index] = revision;
}

auto ViewGrantor::onRegistrationStored(LogIndex index, const NodeId &observer,
                                       Incarnation incarnation) -> void
{
    barriers_[index] = Barrier { observer, incarnation, false };
}

auto ViewGrantor::onRemovalStored(LogIndex index, const NodeId &observer, Incarnation incarnation)
        -> void
{
    barriers_[index] = Barrier { observer, incarnation, true };
}

auto ViewGrantor::onTruncated(LogIndex from) -> void
{
    stored_.erase(stored_.lower_bound(from), stored_.end());
    barriers_.erase(barriers_.lower_bound(from), barriers_.end());
}

auto ViewGrantor::onApplied(LogIndex index, Revision revision) -> void
{
    stored_.erase(stored_.begin(), stored_.upper_bound(index));
    barriers_.erase(barriers_.begin(), barriers_.upper_bound(index));
    applied_ = std::max(applied_, revision);
}

auto ViewGrantor::onRegistered(const NodeId &observer, Incarnation incarnation) -> void
{
    observers_[observer] = incarnation;
}

auto ViewGrantor::onDeregistered(const NodeId &observer) -> void
{
    observers_.erase(observer);
}

auto ViewGrantor::required() const -> Revision
{
    auto result = applied_;
    for (const auto &[index, revision] : stored_)
        result = std::max(result, revision);
    return result;
}

auto ViewGrantor::isRegistered(const RenewRequest &request) const -> bool
{
    const auto found = observers_.find(request.observer);
    return found != observers_.end() && found->second == request.incarnation;
}

auto ViewGrantor::isBarred(const RenewRequest &request) const -> bool
{
    return std::any_of(barriers_.begin(), barriers_.end(),
                       [&](const auto &barrier) { return barrier.second.bars(request); });
}

auto ViewGrantor::grant(const RenewRequest &request, const VoterSet &voters) const -> RenewReply
{
    const auto needed = required();
    const auto granted = recovered_ && voters.size > 0 && request.applied >= needed
            && isRegistered(request) && !isBarred(request);
    return { self_,  request.incarnation, request.round,     granted,
             needed, voters.size,         voters.fingerprint };
}

auto ViewGrantor::answer(const RevisionQuery &query, const VoterSet &voters) const -> RevisionReply
{
    return { self_, query.round, required(), recovered_ ? voters.size : 0, voters.fingerprint };
}

auto ViewLeaseOptions::check() const -> absl::Status
{
    if (length <= Duration::zero())
        return makeError(ErrorKind::BadSettings, "key=viewlease.length must be above 0");
    if (renewEvery <= Duration::zero() || renewEvery * 2 > length)
        return makeError(ErrorKind::BadSettings,
                         "key=viewlease.renewEvery must be at most half the length");
    if (!(maxClockDrift >= 0.0 && maxClockDrift < 1.0))
        return makeError(ErrorKind::BadSettings, "key=viewlease.maxClockDrift must be in [0, 1)");
    return absl::OkStatus();
}

ViewHolder::ViewHolder(ViewLeaseOptions options, const Clock &clock, NodeId self,
                       Incarnation incarnation)
    : options_(options)
    , clock_(clock)
    , self_(std::move(self))
    , incarnation_(incarnation)
{ }

auto ViewHolder::request(Revision applied) -> RenewRequest
{
    const auto now = clock_.now();
    std::erase_if(rounds_,
                  [&](const auto &round) { return round.second.sentAt + options_.length <= now; });
    if (rounds_.size() >= maxOpenRounds)
        rounds_.erase(rounds_.begin());
    const auto number = nextRound_++;
    rounds_[number] = Round { now, {} };
    return { self_, incarnation_, applied, number };
}

auto ViewHolder::onReply(const RenewReply &reply) -> void
{
    const auto found = rounds_.find(reply.round);
    if (!reply.granted || reply.incarnation != incarnation_ || found == rounds_.end())
        return;
    auto &round = found->second;
    auto &voters = round.grants[reply.voterSet];
    voters.insert(reply.voter);
    if (voters.size() > reply.voters / 2)
        leaseEnd_ = std::max(leaseEnd_, round.sentAt + options_.length);
}

auto ViewHolder::isCurrent() const -> bool
{
    return clock_.now() < leaseEnd_;
}

auto ViewHolder::leaseEnd() const -> Instant
{
    return leaseEnd_;
}

AcceptGate::AcceptGate(ViewLeaseOptions options, const Clock &clock)
    : clock_(clock)
    , wait_(stretched(options.length, options.maxClockDrift))
    , unknownUntil_(clock.now() + wait_)
{ }

auto AcceptGate::onRestored(const std::map<NodeId, Incarnation> &observers, Revision revision)
        -> void
{
    unknownUntil_ = clock_.now() + wait_;
    observers_.clear();
    ackCounts_.clear();
    for (const auto &[node, incarnation] : observers)
        add(node, incarnation);
    onCommitted(revision);
}

auto AcceptGate::add(const NodeId &observer, Incarnation incarnation) -> void
{
    observers_[observer] = Observer { incarnation, {} };
    ++ackCounts_[Revision {}];
}

auto AcceptGate::countOut(Revision acked) -> void
{
    const auto count = ackCounts_.find(acked);
    if (--count->second == 0)
        ackCounts_.erase(count);
}

auto AcceptGate::onRegistered(const NodeId &observer, Incarnation incarnation) -> void
{
    const auto known = observers_.find(observer);
    if (known != observers_.end() && known->second.incarnation == incarnation)
        return;
    onDeregistered(observer);
    add(observer, incarnation);
}

auto AcceptGate::onDeregistered(const NodeId &observer) -> void
{
    const auto known = observers_.find(observer);
    if (known == observers_.end())
        return;
    countOut(known->second.acked);
    observers_.erase(known);
    unknownUntil_ = clock_.now() + wait_;
}

auto AcceptGate::onCommitted(Revision revision) -> void
{
    committed_.try_emplace(revision, clock_.now());
    // Of those accepted by time, only the newest tells something.
    const auto accepted = acceptedUpTo();
    committed_.erase(committed_.begin(), committed_.lower_bound(accepted));
    acceptByAcks();
}

auto AcceptGate::onAck(const NodeId &observer, Incarnation incarnation, Revision applied) -> void
{
    const auto found = observers_.find(observer);
    if (found == observers_.end() || found->second.incarnation != incarnation)
        return;
    auto &acked = found->second.acked;
    if (applied > acked) {
        countOut(std::exchange(acked, applied));
        ++ackCounts_[applied];
    }
    acceptByAcks();
}

auto AcceptGate::lowestAck() const -> Revision
{
    const auto newest = committed_.empty() ? Revision {} : committed_.rbegin()->first;
    return ackCounts_.empty() ? newest : std::min(newest, ackCounts_.begin()->first);
}

auto AcceptGate::acceptByAcks() -> void
{
    if (clock_.now() < unknownUntil_)
        return;
    acceptedByAcks_ = std::max(acceptedByAcks_, lowestAck());
}

auto AcceptGate::acceptedUpTo() const -> Revision
{
    auto result = acceptedByAcks_;
    for (const auto &[revision, at] : committed_) {
        if (clock_.now() >= at + wait_)
            result = std::max(result, revision);
    }
    return result;
}

auto AcceptGate::accepted(Revision revision) const -> bool
{
    return revision <= acceptedUpTo();
}

} // namespace figrack::coord
