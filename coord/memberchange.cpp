// Changes of membership, one member at a time through the log.
//
// A membership is in effect as soon as its entry is appended. Two majorities of
// memberships that differ by one voter share a voter, so one change at a time is
// safe, provided that a leader first commits an entry of its own term: before
// that it might not know of a change under way.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coord/membership.h"
#include "coord/replicaimpl.h"
#include "coord/sabotage.h"
#include "core/check.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::coord {

auto Replica::Impl::membershipChanging() const -> bool
{
    return log_.membershipIndex() > commit_;
}

auto Replica::Impl::readyForChange() const -> absl::Status
{
    if (!is(Role::Leader) || leading_->heir)
        return makeError(ErrorKind::NotLeader, fmt::format("leader={}", leader_.value()));
    if (sabotage::manyChangesAtOnce)
        return absl::OkStatus();
    if (membershipChanging() || commit_ < leading_->noopIndex)
        return makeError(ErrorKind::MembershipBusy,
                         fmt::format("log_index={}", log_.membershipIndex().value()));
    return absl::OkStatus();
}

auto Replica::Impl::changeMembership(const Membership &membership) -> absl::StatusOr<LogIndex>
{
    flush();
    if (!is(Role::Leader))
        return failure_;
    auto entry = makeEntry(EntryKind::Membership, encodeMembership(membership));
    const auto index = entry.index;
    if (!appendOwn({ std::move(entry) }) && isStopped())
        return failure_;
    return index;
}

auto Replica::Impl::addLearner(const Member &member) -> absl::StatusOr<LogIndex>
{
    if (auto status = readyForChange(); !status.ok())
        return status;
    if (member.node.empty() || member.incarnation == Incarnation {})
        return makeError(ErrorKind::BadRequest, "member: node and incarnation must be given");
    if (log_.membership().find(member.node) != nullptr)
        return makeError(ErrorKind::Conflict,
                         fmt::format("member={} is listed: remove it first", member.node.value()));
    if (log_.membership().members.size() >= maxMembers)
        return makeError(ErrorKind::TooLarge, fmt::format("members={}", maxMembers));
    auto learner = member;
    learner.kind = MemberKind::Learner;
    return changeMembership(withMember(log_.membership(), std::move(learner)));
}

auto Replica::Impl::promote(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    if (auto status = readyForChange(); !status.ok())
        return status;
    const auto *member = log_.membership().find(node);
    if (member == nullptr)
        return makeError(ErrorKind::UnknownNode, fmt::format("member={}", node.value()));
    if (member->kind == MemberKind::Voter)
        return makeError(ErrorKind::Conflict, fmt::format("member={} is a voter", node.value()));
    if (!sabotage::promoteAtOnce && (!isCaughtUp(node) || !heardOfLate(node)))
        return makeError(ErrorKind::MembershipBusy,
                         fmt::format("member={} has not caught up", node.value()));
    auto voter = *member;
    voter.kind = MemberKind::Voter;
    return changeMembership(withMember(log_.membership(), std::move(voter)));
}

auto Replica::Impl::remove(const NodeId &node) -> absl::StatusOr<LogIndex>
{
    if (auto status = readyForChange(); !status.ok())
        return status;
    if (log_.membership().find(node) == nullptr)
        return makeError(ErrorKind::UnknownNode, fmt::format("member={}", node.value()));
    auto rest = withoutMember(log_.membership(), node);
    auto alive = [&](const Member &member) {
        return member.kind == MemberKind::Voter
                && (member.node == options_.self.node || heardOfLate(member.node));
    };
    const auto living = std::count_if(rest.members.begin(), rest.members.end(), alive);
    if (rest.voterCount() == 0 || static_cast<std::size_t>(living) < rest.quorum())
        return makeError(
                ErrorKind::NoQuorum,
                fmt::format("member={}: the others that are heard are no majority", node.value()));
    return changeMembership(rest);
}

/// A voter may stand for election, and so may one whose removal is stored here but not known to
/// be committed: it may be the only one with a log that the others need.
auto Replica::Impl::mayStand() const -> bool
{
    if (isVoter())
        return true;
    return listsVoter(log_.membershipAt(commit_), options_.self.node, identity_.incarnation);
}

/// Brings the role, and a leader's records, in line with the membership in effect.
auto Replica::Impl::followMembership() -> void
{
    const auto stands = mayStand();
    if (is(Role::Learner) && stands)
        roles_.handle(RoleEvent::Enfranchised);
    else if (!is(Role::Learner) && !is(Role::Leader) && !stands)
        roles_.handle(RoleEvent::Disenfranchised);
    if (is(Role::Leader))
        leading_->peers.follow(log_.membership(), options_.self.node, log_.lastIndex());
}

/// A leader that removed itself stays in charge until that is committed, then hands over.
auto Replica::Impl::leaveIfRemoved() -> void
{
    if (isVoter() || membershipChanging())
        return;
    beginRound();
    const auto heardSince = clock_.now() - options_.electionTimeout;
    const auto *heir = leading_->peers.mostCaughtUp(log_.membership(), heardSince);
    leading_->lease.giveUp();
    if (heir != nullptr)
        send(heir->node, heir->incarnation, TransferRequest {});
    LogEvent(LogLevel::Info, "leader_removed").with("node", options_.self.node).with("term", term_);
    leading_.reset();
    leader_ = NodeId {};
    roles_.handle(RoleEvent::Disenfranchised);
}

auto Replica::Impl::isCaughtUp(const NodeId &node) const -> bool
{
    if (node == options_.self.node)
        return true;
    const auto *peer = leading_->peers.find(node);
    return peer != nullptr && peer->match >= commit_;
}

auto Replica::Impl::heardOfLate(const NodeId &node) const -> bool
{
    if (node == options_.self.node)
        return true;
    const auto *peer = leading_->peers.find(node);
    return peer != nullptr && peer->heardAt + options_.electionTimeout > clock_.now();
}

auto Replica::Impl::repairComplete() const -> bool
{
    if (!holdsLease() || membershipChanging())
        return false;
    const auto &members = log_.membership().members;
    return std::all_of(members.begin(), members.end(), [&](const Member &member) {
        return isCaughtUp(member.node) && heardOfLate(member.node);
    });
}

auto Replica::Impl::progress() const -> std::vector<MemberProgress>
{
    auto result = std::vector<MemberProgress> {};
    if (!is(Role::Leader))
        return result;
    for (const auto &member : log_.membership().members) {
        const auto *peer = leading_->peers.find(member.node);
        auto item = MemberProgress {};
        item.node = member.node;
        item.matchIndex = peer == nullptr ? log_.lastIndex() : peer->match;
        item.caughtUp = isCaughtUp(member.node);
        item.recentlyHeard = heardOfLate(member.node);
        result.push_back(std::move(item));
    }
    return result;
}

} // namespace figrack::coord
