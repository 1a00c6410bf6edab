// The replica calls apply() from within tick(), receive() and flush(). Applied commands are
// queued and deliverApplied() passes them on after the replica has returned, so that a listener
// may call the node again.
//
// View leases: a voter must not grant a lease to a router that has not applied a change which
// the voter has stored. When a change is stored, the required revision is the one after the
// revision that the change expects. When it is applied, the required revision becomes the
// actual revision of the tables, so that a change that lost a conflict blocks no router.
// coord/viewlease.h describes the protocol.

#include "control/node.h"

#include <utility>

#include "core/check.h"
#include "core/log.h"

namespace figrack::control {

Node::Node(NodeOptions options, const Clock &clock, coord::Transport &transport,
           coord::LogStore &store, Random &random, Defer defer)
    : options_(std::move(options))
    , clock_(clock)
    , defer_(std::move(defer))
    , grantor_(options_.replica.self.node)
    , lease_(options_.leaseMargin)
    , replica_(options_.replica, clock, transport, store, *this, random)
{
    replica_.setStoredHook(
            [this](const coord::Entry &entry, bool stored) { onStored(entry, stored); });
}

Node::~Node() = default;

auto Node::start() -> absl::Status
{
    auto status = replica_.start();
    if (status.ok())
        grantor_.onRecovered();
    deliverApplied();
    return status;
}

auto Node::tick() -> void
{
    replica_.tick();
    deliverApplied();
}

auto Node::receive(const coord::Message &message) -> void
{
    replica_.receive(message);
    deliverApplied();
}

auto Node::propose(const state::Command &command, Done done) -> void
{
    const auto term = replica_.status().term;
    const auto index = replica_.propose(state::encodeCommand(command));
    if (!index.ok()) {
        done(index.status());
        return;
    }
    const auto deadline = clock_.now() + options_.proposalTimeout;
    proposals_[*index] = Proposal { term, deadline, std::move(done) };
    scheduleFlush();
}

auto Node::scheduleFlush() -> void
{
    if (flushScheduled_)
        return;
    flushScheduled_ = true;
    defer_([this, alive = std::weak_ptr<int> { alive_ }] {
        if (alive.expired())
            return;
        flushScheduled_ = false;
        replica_.flush();
        deliverApplied();
    });
}

auto Node::grant(const coord::RenewRequest &request) const -> coord::RenewReply
{
    return grantor_.grant(request, coord::voterSetOf(replica_.status().membership, self()));
}

auto Node::addLearner(const coord::Member &member) -> absl::StatusOr<LogIndex>
{
    auto result = replica_.addLearner(member);
    scheduleFlush();
    return result;
}

auto Node::promote(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    auto result = replica_.promote(node);
    scheduleFlush();
    return result;
}

auto Node::remove(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    auto result = replica_.remove(node);
    scheduleFlush();
    return result;
}

auto Node::transferLeadership() -> absl::Status
{
    auto status = replica_.transferLeadership();
    deliverApplied();
    return status;
}

auto Node::setOnApplied(std::function<void(const AppliedCommand &)> listener) -> void
{
    onApplied_ = std::move(listener);
}

auto Node::setOnRestored(std::function<void()> listener) -> void
{
    onRestored_ = std::move(listener);
}

auto Node::apply(const coord::Entry &entry) -> void
{
    auto command = state::decodeCommand(entry.data);
    FIGRACK_CHECK(command.ok(), "a committed command can be decoded");
    auto applied = tables_.apply(*command, entry.index);
    updateGrantor(*command);
    grantor_.onApplied(entry.index, tables_.configuration().revision);
    applied_.push_back({ entry.index, entry.term, std::move(*command), std::move(applied) });
}

auto Node::snapshot() const -> std::string
{
    return tables_.snapshot(true);
}

auto Node::restore(std::string_view state, LogIndex lastIndex) -> absl::Status
{
    const auto before = tables_.routers();
    auto status = tables_.restore(state);
    if (!status.ok())
        return status;
    for (const auto &[node, row] : before)
        grantor_.onDeregistered(node);
    registerAllRouters();
    grantor_.onApplied(lastIndex, tables_.configuration().revision);
    applied_.clear();
    restored_ = true;
    return absl::OkStatus();
}

auto Node::onStored(const coord::Entry &entry, bool stored) -> void
{
    if (!stored) {
        grantor_.onTruncated(entry.index);
        return;
    }
    if (entry.kind != coord::EntryKind::Command)
        return;
    const auto command = state::decodeCommand(entry.data);
    if (!command.ok())
        return;
    if (const auto *change = std::get_if<state::ConfigChange>(&*command))
        grantor_.onStored(entry.index, change->expected.next());
    if (const auto *joined = std::get_if<state::RegisterRouter>(&*command))
        grantor_.onRegistrationStored(entry.index, joined->node, joined->incarnation);
    if (const auto *removed = std::get_if<state::RemoveRouter>(&*command))
        grantor_.onRemovalStored(entry.index, removed->node, removed->incarnation);
}

auto Node::updateGrantor(const state::Command &command) -> void
{
    if (const auto *joined = std::get_if<state::RegisterRouter>(&command)) {
        const auto row = tables_.routers().find(joined->node);
        if (row != tables_.routers().end())
            grantor_.onRegistered(joined->node, row->second.registered.incarnation);
    }
    if (const auto *removed = std::get_if<state::RemoveRouter>(&command)) {
        if (!tables_.routers().contains(removed->node))
            grantor_.onDeregistered(removed->node);
    }
}

auto Node::registerAllRouters() -> void
{
    for (const auto &[node, row] : tables_.routers())
        grantor_.onRegistered(node, row.registered.incarnation);
}

auto Node::deliverApplied() -> void
{
    const auto status = replica_.status();
    const auto leads = status.role == coord::Role::Leader && replica_.holdsLease();
    lease_.publish(leads ? status.term : Term {}, replica_.leaseEnd());
    if (delivering_)
        return;
    delivering_ = true;
    if (std::exchange(restored_, false) && onRestored_)
        onRestored_();
    while (!applied_.empty()) {
        const auto applied = std::move(applied_.front());
        applied_.pop_front();
        if (onApplied_)
            onApplied_(applied);
        completeProposal(applied);
    }
    failLostProposals(status);
    delivering_ = false;
}

auto Node::completeProposal(const AppliedCommand &applied) -> void
{
    const auto found = proposals_.find(applied.index);
    if (found == proposals_.end())
        return;
    const auto proposal = std::move(found->second);
    proposals_.erase(found);
    if (proposal.term == applied.term)
        proposal.done(applied);
    else
        proposal.done(makeError(ErrorKind::NotLeader, "another leader's entry took the place"));
}

// Fails proposals of earlier terms and those past their deadline. Their outcome is unknown,
// since the next leader may still commit them.
auto Node::failLostProposals(const coord::ReplicaStatus &status) -> void
{
    const auto leads = status.role == coord::Role::Leader;
    const auto now = clock_.now();
    for (auto item = proposals_.begin(); item != proposals_.end();) {
        const auto &proposal = item->second;
        if (!leads || proposal.term != status.term)
            item = endProposal(item, makeError(ErrorKind::OutcomeUnknown, "leadership was lost"));
        else if (now >= proposal.deadline)
            item = endProposal(item, makeError(ErrorKind::OutcomeUnknown, "no majority in time"));
        else
            ++item;
    }
}

auto Node::endProposal(std::map<LogIndex, Proposal>::iterator item, const absl::Status &status)
        -> std::map<LogIndex, Proposal>::iterator
{
    const auto done = std::move(item->second.done);
    const auto next = proposals_.erase(item);
    done(status);
    return next;
}

} // namespace figrack::control
