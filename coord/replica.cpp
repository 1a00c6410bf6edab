// The log is replicated as in Raft: a leader elected for a term by a majority
// of voters orders the entries, and an entry of its own term is committed once
// a majority has it on disk. Beside the plain algorithm stand pre-votes (a
// healed replica disturbs nobody), a lease (a leader knows that it is the only
// one), learners, and disks with names of their own, so that one that has lost
// its memory does not vote as if it remembered. docs/design/consensus.md says
// why each is there.
//
// Everything that a message claims about this replica is on disk before the
// message is handed to the transport.

#include "coord/replica.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coord/membership.h"
#include "coord/replicaimpl.h"
#include "coord/sabotage.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::coord {

namespace {

auto badOption(std::string_view option) -> absl::Status
{
    return makeError(ErrorKind::BadSettings, fmt::format("replica.{}", option));
}

} // namespace

auto ReplicaOptions::check() const -> absl::Status
{
    if (group.empty())
        return badOption("group is empty");
    if (self.node.empty())
        return badOption("self.node is empty");
    if (tick <= Duration::zero() || heartbeat < tick)
        return badOption("heartbeat must be at least tick, and tick positive");
    if (electionTimeout < 3 * heartbeat)
        return badOption("election_timeout must be at least three heartbeats");
    if (maxClockDrift < 0.0 || maxClockDrift > 0.5)
        return badOption("max_clock_drift must be from 0 to 0.5");
    if (maxBatchEntries == 0 || maxProposalBytes == 0 || maxMessageBytes == 0)
        return badOption("max_batch_entries, max_proposal_bytes and max_message_bytes "
                         "must be positive");
    if (maxUncommitted == 0 || snapshotEvery == 0 || snapshotPartBytes == 0)
        return badOption("max_uncommitted, snapshot_every and snapshot_part_bytes "
                         "must be positive");
    if (founders.size() > maxMembers)
        return badOption("founders are too many");
    return absl::OkStatus();
}

Replica::Impl::Impl(ReplicaOptions options, const Clock &clock, Transport &transport,
                    LogStore &store, StateMachine &machine, Random &random)
    : options_(std::move(options))
    , clock_(clock)
    , transport_(transport)
    , store_(store)
    , machine_(machine)
    , random_(random)
    , log_(store)
    , assembly_(options_.maxSnapshotBytes)
{ }

auto Replica::Impl::start() -> absl::Status
{
    auto status = options_.check();
    if (status.ok())
        status = recover();
    if (!status.ok()) {
        fail(status);
        return status;
    }
    startedAt_ = clock_.now();
    startedFresh_ = isFresh();
    nextFoundingAt_ = startedAt_;
    resetElectionDeadline();
    followMembership();
    return absl::OkStatus();
}

auto Replica::Impl::recover() -> absl::Status
{
    auto recovered = store_.recover();
    if (!recovered.ok())
        return recovered.status();
    if (auto status = adoptIdentity(recovered->identity); !status.ok())
        return status;
    if (auto status = log_.load(*recovered); !status.ok())
        return status;
    if (log_.lastTerm() > recovered->vote.term && recovered->vote.term.value() > 0)
        return makeError(ErrorKind::Corrupt, "vote: its term is below the log's");
    term_ = std::max(recovered->vote.term, log_.lastTerm());
    votedFor_ = recovered->vote.votedFor;
    if (!recovered->snapshot)
        return absl::OkStatus();
    commit_ = applied_ = snapshotIndex_ = recovered->snapshot->lastIndex;
    return machine_.restore(recovered->snapshot->state, applied_);
}

auto Replica::Impl::adoptIdentity(const std::optional<Identity> &identity) -> absl::Status
{
    if (identity) {
        identity_ = *identity;
        if (identity_.group == options_.group && identity_.node == options_.self.node)
            return absl::OkStatus();
        return makeError(ErrorKind::Corrupt,
                         fmt::format("identity: the folder is of node {} in group {}",
                                     identity_.node.value(), identity_.group));
    }
    identity_.group = options_.group;
    identity_.node = options_.self.node;
    identity_.incarnation = Incarnation { std::max<std::uint64_t>(random_.bits(), 1) };
    return store_.saveIdentity(identity_);
}

auto Replica::Impl::fail(const absl::Status &status) -> bool
{
    if (!isStopped())
        LogEvent(LogLevel::Error, "replica_stopped")
                .with("node", options_.self.node)
                .with("term", term_)
                .with(status);
    if (failure_.ok())
        failure_ = status;
    leader_ = NodeId {};
    leading_.reset();
    roles_.handle(RoleEvent::Failed);
    return false;
}

/// Stops after an error that was met among the leader's records, which go when it stops.
auto Replica::Impl::stopIfFailed() -> void
{
    if (!failure_.ok() && !isStopped())
        fail(failure_);
}

auto Replica::Impl::tick() -> void
{
    if (isStopped())
        return;
    if (is(Role::Leader))
        tickLeader();
    else if (is(Role::Learner))
        tickLearner();
    else if (clock_.now() >= electionDeadline_)
        startPreVote();
    stopIfFailed();
    if (!isStopped())
        snapshotIfDue();
}

auto Replica::Impl::receive(const Message &message) -> void
{
    if (isStopped() || !isAddressedHere(message))
        return;
    if (!sabotage::noOldCopyCheck && message.seenTerm > term_) {
        fail(makeError(ErrorKind::Corrupt,
                       fmt::format("data folder: it is an old copy, which knows term {} where "
                                   "{} was told term {}; remove the member, delete the folder "
                                   "and add it as a learner",
                                   term_.value(), message.from.value(), message.seenTerm.value())));
        return;
    }
    remember(message);
    std::visit([&](const auto &body) { on(message, body); }, message.body);
    stopIfFailed();
}

auto Replica::Impl::isAddressedHere(const Message &message) const -> bool
{
    if (message.group != options_.group || message.from == options_.self.node)
        return false;
    return sabotage::ignoreIncarnation || message.toIncarnation == Incarnation {}
    || message.toIncarnation == identity_.incarnation;
}

/// Whether votes and acknowledgements of the sender count.
auto Replica::Impl::isCounted(const Message &message) const -> bool
{
    if (sabotage::ignoreIncarnation)
        return log_.membership().find(message.from) != nullptr;
    return listsDisk(log_.membership(), message.from, message.fromIncarnation);
}

/// @param disk the one that the message is meant for; 0 when it is not known
auto Replica::Impl::send(const NodeId &node, Incarnation disk, Body body) -> void
{
    auto message = Message {};
    message.group = options_.group;
    message.from = options_.self.node;
    message.fromIncarnation = identity_.incarnation;
    message.toIncarnation = disk;
    message.term = term_;
    message.seenTerm = seenTerm(node, disk);
    message.body = std::move(body);
    transport_.send(node, std::move(message));
}

auto Replica::Impl::reply(const Message &message, Body body) -> void
{
    send(message.from, message.fromIncarnation, std::move(body));
}

auto Replica::Impl::remember(const Message &message) -> void
{
    if (seen_.size() >= maxMembers && !seen_.contains(message.from))
        seen_.erase(seen_.begin());
    auto &seen = seen_[message.from];
    if (seen.incarnation != message.fromIncarnation)
        seen = { message.fromIncarnation, Term {} };
    seen.term = std::max(seen.term, message.term);
}

auto Replica::Impl::seenTerm(const NodeId &node, Incarnation incarnation) const -> Term
{
    auto seen = seen_.find(node);
    if (seen == seen_.end() || seen->second.incarnation != incarnation)
        return Term {};
    return seen->second.term;
}

auto Replica::Impl::isVoter() const -> bool
{
    return listsVoter(log_.membership(), options_.self.node, identity_.incarnation);
}

auto Replica::Impl::status() const -> ReplicaStatus
{
    auto result = ReplicaStatus {};
    result.role = roles_.role();
    result.term = term_;
    result.leader = leader_;
    result.lastIndex = log_.lastIndex();
    result.commitIndex = commit_;
    result.appliedIndex = applied_;
    result.membership = log_.membership();
    result.incarnation = identity_.incarnation;
    result.leaseHeld = holdsLease();
    result.membershipChanging = membershipChanging();
    result.failure = failure_;
    return result;
}

auto Replica::Impl::committedFrom(LogIndex from, std::size_t maxEntries) const
        -> std::optional<std::vector<Entry>>
{
    if (from <= log_.baseIndex())
        return std::nullopt;
    return log_.slice(from, applied_, maxEntries, options_.maxMessageBytes);
}

auto Replica::Impl::setStoredHook(StoredHook hook) -> void
{
    log_.setStoredHook(std::move(hook));
}

Replica::Replica(ReplicaOptions options, const Clock &clock, Transport &transport, LogStore &store,
                 StateMachine &machine, Random &random)
    : impl_(std::make_unique<Impl>(std::move(options), clock, transport, store, machine, random))
{ }

Replica::~Replica() = default;

auto Replica::start() -> absl::Status
{
    return impl_->start();
}

auto Replica::tick() -> void
{
    impl_->tick();
}

auto Replica::receive(const Message &message) -> void
{
    impl_->receive(message);
}

auto Replica::propose(std::string command) -> absl::StatusOr<LogIndex>
{
    return impl_->propose(std::move(command));
}

auto Replica::flush() -> void
{
    impl_->flush();
}

auto Replica::holdsLease() const -> bool
{
    return impl_->holdsLease();
}

auto Replica::leaseEnd() const -> Instant
{
    return impl_->leaseEnd();
}

auto Replica::addLearner(const Member &member) -> absl::StatusOr<LogIndex>
{
    return impl_->addLearner(member);
}

auto Replica::promote(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    return impl_->promote(node);
}

auto Replica::remove(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    return impl_->remove(node);
}

auto Replica::transferLeadership() -> absl::Status
{
    return impl_->transferLeadership();
}

auto Replica::repairComplete() const -> bool
{
    return impl_->repairComplete();
}

auto Replica::status() const -> ReplicaStatus
{
    return impl_->status();
}

auto Replica::progress() const -> std::vector<MemberProgress>
{
    return impl_->progress();
}

auto Replica::committedFrom(LogIndex from, std::size_t maxEntries) const
        -> std::optional<std::vector<Entry>>
{
    return impl_->committedFrom(from, maxEntries);
}

auto Replica::setStoredHook(StoredHook hook) -> void
{
    impl_->setStoredHook(std::move(hook));
}

} // namespace figrack::coord
