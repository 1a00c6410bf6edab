// Proposals, the sending and taking of entries, commit, and the leader's lease.
//
// A leader sends a batch first and syncs it itself while it travels: its own
// copy counts only once synced. It sends ahead of acknowledgements, up to a
// window; when a round passes without progress it goes back to what the peer
// has acknowledged, and a refusal names where to go on from.
//
// Only entries of the leader's own term are committed by count; those before
// them are committed by them. A lease is renewed by every answer to a round,
// also a refusal: a voter that answers has heard its leader.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coord/replicaimpl.h"
#include "coord/sabotage.h"
#include "core/check.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::coord {

namespace {

constexpr auto windowBatches = std::uint64_t { 4 };

} // namespace

auto Replica::Impl::propose(std::string command) -> absl::StatusOr<LogIndex>
{
    if (!is(Role::Leader) || leading_->heir)
        return makeError(ErrorKind::NotLeader, fmt::format("leader={}", leader_.value()));
    if (command.size() > options_.maxMessageBytes)
        return makeError(ErrorKind::TooLarge, fmt::format("command_bytes={}", command.size()));
    const auto uncommitted = log_.lastIndex().value() - commit_.value() + leading_->pending.size();
    if (leading_->pendingBytes + command.size() > options_.maxProposalBytes
        || uncommitted >= options_.maxUncommitted)
        return makeError(ErrorKind::Overloaded, fmt::format("uncommitted={}", uncommitted));
    leading_->pendingBytes += command.size();
    auto entry = makeEntry(EntryKind::Command, std::move(command));
    entry.index = LogIndex { log_.lastIndex().value() + leading_->pending.size() + 1 };
    leading_->pending.push_back(std::move(entry));
    return leading_->pending.back().index;
}

auto Replica::Impl::flush() -> void
{
    if (!is(Role::Leader) || leading_->pending.empty())
        return;
    leading_->pendingBytes = 0;
    appendOwn(std::exchange(leading_->pending, {}));
}

auto Replica::Impl::makeEntry(EntryKind kind, std::string data) const -> Entry
{
    auto entry = Entry {};
    entry.term = term_;
    entry.index = log_.lastIndex().next();
    entry.kind = kind;
    entry.data = std::move(data);
    return entry;
}

/// Sends entries of this leader's own and syncs them while they travel.
/// @return false when this replica is no longer the leader
auto Replica::Impl::appendOwn(const std::vector<Entry> &entries) -> bool
{
    if (auto status = log_.stage(entries); !status.ok())
        return fail(status);
    broadcast();
    stopIfFailed();
    if (isStopped())
        return false;
    if (auto status = log_.persist(entries); !status.ok())
        return fail(status);
    followMembership();
    advanceCommit();
    return is(Role::Leader);
}

auto Replica::Impl::tickLeader() -> void
{
    const auto now = clock_.now();
    const auto lastQuorum = std::max(leading_->lease.quorumSentAt(), leading_->since);
    const auto transferFailed = leading_->heir && now >= leading_->transferDeadline;
    if (transferFailed || now >= lastQuorum + 2 * options_.electionTimeout) {
        LogEvent(LogLevel::Warning, "leader_resigned")
                .with("node", options_.self.node)
                .with("term", term_)
                .with("reason", transferFailed ? "transfer" : "quorum");
        stepDown();
        leader_ = NodeId {};
        return;
    }
    flush();
    if (is(Role::Leader) && now >= leading_->nextRoundAt)
        beginRound();
}

auto Replica::Impl::beginRound() -> void
{
    leading_->lease.beginRound(clock_.now());
    leading_->nextRoundAt = clock_.now() + options_.heartbeat;
    for (auto &[node, peer] : leading_->peers.all()) {
        if (peer.match == peer.matchAtRound && peer.next > peer.match.next() && !peer.snapshot)
            peer.next = peer.match.next();
        peer.matchAtRound = peer.match;
        sendEntries(node, peer);
    }
    renewLease();
}

auto Replica::Impl::broadcast() -> void
{
    for (auto &[node, peer] : leading_->peers.all()) {
        const auto window = windowBatches * options_.maxBatchEntries;
        if (!peer.snapshot && peer.next.value() <= peer.match.value() + window)
            sendEntries(node, peer);
    }
}

/// Sends a peer what it lacks: entries, a heartbeat when it lacks none, or a snapshot.
auto Replica::Impl::sendEntries(const NodeId &node, PeerProgress &peer) -> void
{
    const auto previous = LogIndex { peer.next.value() - 1 };
    const auto previousTerm = log_.termAt(previous);
    if (peer.snapshot || !previousTerm) {
        sendSnapshot(node, peer);
        return;
    }
    auto request = AppendRequest {};
    request.previousIndex = previous;
    request.previousTerm = *previousTerm;
    request.commitIndex = commit_;
    request.round = leading_->lease.round();
    if (const auto known = log_.termAt(peer.match); known) {
        request.knownMatch = peer.match;
        request.knownTerm = *known;
    }
    request.entries = log_.slice(peer.next, log_.lastIndex(), options_.maxBatchEntries,
                                 options_.maxMessageBytes);
    peer.next = LogIndex { peer.next.value() + request.entries.size() };
    send(node, peer.incarnation, std::move(request));
}

auto Replica::Impl::advanceCommit() -> void
{
    const auto index = leading_->peers.quorumIndex(log_.membership(), isVoter(), log_.lastIndex());
    if (index <= commit_)
        return;
    const auto ownTerm = log_.termAt(index) == term_;
    if (!ownTerm && !sabotage::commitOlderTerm)
        return;
    commitTo(index);
    tellCommit();
}

/// Tells followers at once what is committed, since readers hang on their feeds too: until the
/// next heartbeat would be too late for them. Entries on their way out carry it anyway.
auto Replica::Impl::tellCommit() -> void
{
    if (!is(Role::Leader) || !leading_->pending.empty())
        return;
    for (auto &[node, peer] : leading_->peers.all())
        if (!peer.snapshot && peer.next > log_.lastIndex())
            sendEntries(node, peer);
}

auto Replica::Impl::commitTo(LogIndex index) -> void
{
    if (index <= commit_)
        return;
    FIGRACK_CHECK(index <= log_.lastIndex(), "only what is stored is committed");
    commit_ = index;
    applyCommitted();
    if (is(Role::Leader))
        leaveIfRemoved();
    else
        followMembership();
}

auto Replica::Impl::applyCommitted() -> void
{
    while (applied_ < commit_) {
        const auto &entry = log_.at(applied_.next());
        if (entry.kind == EntryKind::Command)
            machine_.apply(entry);
        applied_ = entry.index;
    }
}

auto Replica::Impl::renewLease() -> void
{
    const auto round
            = leading_->peers.quorumRound(log_.membership(), isVoter(), leading_->lease.round());
    if (sabotage::leaseFromAnswer && round > 0)
        leading_->lease.onQuorum(leading_->lease.beginRound(clock_.now()));
    else
        leading_->lease.onQuorum(round);
}

auto Replica::Impl::holdsLease() const -> bool
{
    if (!is(Role::Leader) || clock_.now() >= leading_->lease.end())
        return false;
    return sabotage::leaseBeforeNoop || applied_ >= leading_->noopIndex;
}

auto Replica::Impl::leaseEnd() const -> Instant
{
    return is(Role::Leader) ? leading_->lease.end() : Instant {};
}

auto Replica::Impl::matchesPrevious(const AppendRequest &request) const -> bool
{
    if (sabotage::noPreviousCheck)
        return request.previousIndex <= log_.lastIndex();
    // What is compacted away was committed, and so is the same everywhere.
    if (request.previousIndex < log_.baseIndex())
        return true;
    return log_.termAt(request.previousIndex) == request.previousTerm;
}

/// Whether the leader names an entry that this disk acknowledged in this term and does not hold.
auto Replica::Impl::isOldCopy(const AppendRequest &request) const -> bool
{
    if (sabotage::noOldCopyCheck || request.knownMatch <= commit_)
        return false;
    return log_.termAt(request.knownMatch) != request.knownTerm;
}

/// The entry after which the leader should go on: before the whole run of the conflicting term.
auto Replica::Impl::conflictHint(const AppendRequest &request) const -> LogIndex
{
    if (request.previousIndex > log_.lastIndex())
        return log_.lastIndex();
    const auto term = log_.termAt(request.previousIndex);
    auto hint = LogIndex { request.previousIndex.value() - 1 };
    while (hint > commit_ && hint > log_.baseIndex() && log_.termAt(hint) == term)
        hint = LogIndex { hint.value() - 1 };
    return hint;
}

/// Stores what is new, after cutting what conflicts. @return false when the store failed
auto Replica::Impl::storeEntries(const AppendRequest &request) -> bool
{
    auto fresh = std::find_if(request.entries.begin(), request.entries.end(), [&](const Entry &e) {
        return e.index > log_.baseIndex() && log_.termAt(e.index) != e.term;
    });
    if (fresh == request.entries.end())
        return true;
    FIGRACK_CHECK(fresh->index > commit_, "a committed entry is never lost");
    if (auto status = log_.truncate(fresh->index); !status.ok())
        return fail(status);
    if (auto status = log_.append({ fresh, request.entries.end() }); !status.ok())
        return fail(status);
    followMembership();
    return true;
}

auto Replica::Impl::on(const Message &message, const AppendRequest &request) -> void
{
    auto answer = AppendReply {};
    answer.round = request.round;
    if (message.term < term_) {
        reply(message, answer);
        return;
    }
    if (!followLeader(message))
        return;
    if (isOldCopy(request)) {
        fail(makeError(ErrorKind::Corrupt,
                       fmt::format("data folder: it is an old copy, without entry {} that it "
                                   "acknowledged; remove the member, delete the folder and "
                                   "add it as a learner",
                                   request.knownMatch.value())));
        return;
    }
    if (!matchesPrevious(request)) {
        answer.hintIndex = conflictHint(request);
        reply(message, answer);
        return;
    }
    answer.accepted = true;
    answer.matchIndex = LogIndex { request.previousIndex.value() + request.entries.size() };
    if (sabotage::ackBeforeSync)
        reply(message, answer);
    if (!storeEntries(request))
        return;
    if (!sabotage::ackBeforeSync)
        reply(message, answer);
    commitTo(std::min(request.commitIndex, answer.matchIndex));
}

/// Takes any answer of a listed peer to this leader's term.
/// @return the peer's record, or nullptr when the answer does not count
auto Replica::Impl::heard(const Message &message, std::uint64_t round) -> PeerProgress *
{
    if (!isCounted(message))
        return nullptr;
    if (message.term > term_) {
        adoptTerm(message.term);
        return nullptr;
    }
    if (message.term < term_ || !is(Role::Leader))
        return nullptr;
    const auto listed = log_.membership().find(message.from)->incarnation;
    auto *peer = leading_->peers.find(message.from, listed);
    if (peer == nullptr)
        return nullptr;
    peer->heardAt = clock_.now();
    peer->ackRound = std::max(peer->ackRound, std::min(round, leading_->lease.round()));
    renewLease();
    return peer;
}

auto Replica::Impl::on(const Message &message, const AppendReply &reply) -> void
{
    auto *peer = heard(message, reply.round);
    if (peer == nullptr)
        return;
    if (reply.accepted) {
        onAccepted(*peer, reply);
        return;
    }
    // A refusal that was overtaken by an acknowledgement says nothing new.
    if (reply.hintIndex.next() < peer->next && reply.hintIndex >= peer->match) {
        peer->next = std::max(reply.hintIndex, peer->match).next();
        sendEntries(message.from, *peer);
    }
}

auto Replica::Impl::onAccepted(PeerProgress &peer, const AppendReply &reply) -> void
{
    peer.match = std::max(peer.match, std::min(reply.matchIndex, log_.lastIndex()));
    peer.next = std::max(peer.next, peer.match.next());
    if (sabotage::commitWithoutQuorum)
        commitTo(peer.match);
    else
        advanceCommit();
    if (!is(Role::Leader))
        return;
    tellHeir();
    for (auto &[node, other] : leading_->peers.all())
        if (&other == &peer && peer.next <= log_.lastIndex() && !peer.snapshot)
            sendEntries(node, peer);
}

} // namespace figrack::coord
