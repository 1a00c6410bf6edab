#include "fleet/group.h"

#include <algorithm>

#include "core/log.h"

namespace figrack::fleet {
namespace {

auto logChange(std::string_view change, const NodeId &node, const absl::Status &status) -> void
{
    auto line = LogEvent { status.ok() ? LogLevel::Info : LogLevel::Debug, "member_change" };
    line.with("change", change).with("member", node);
    if (!status.ok())
        line.with(status);
}

} // namespace

GroupManager::GroupManager(GroupOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto GroupManager::onJoin(coord::Replica &replica, const coord::Member &member) -> void
{
    const auto status = replica.status();
    if (status.role != coord::Role::Leader)
        return;
    const auto *listed = status.membership.find(member.node);
    if (listed == nullptr) {
        logChange("add_learner", member.node, replica.addLearner(member).status());
        return;
    }
    if (listed->incarnation != member.incarnation)
        logChange("remove_wiped", member.node, replica.remove(member.node).status());
}

auto GroupManager::tick(coord::Replica &replica) -> void
{
    const auto status = replica.status();
    if (status.role != coord::Role::Leader) {
        leads_ = false;
        heardAt_.clear();
        return;
    }
    noteHeard(replica);
    if (status.membershipChanging || !replica.holdsLease())
        return;
    const auto learnerReady = promoteReady(replica);
    removeSilent(replica, learnerReady);
}

auto GroupManager::noteHeard(const coord::Replica &replica) -> void
{
    const auto now = clock_.now();
    const auto isNew = !std::exchange(leads_, true);
    for (const auto &item : replica.progress()) {
        if (isNew || item.recentlyHeard || !heardAt_.contains(item.node))
            heardAt_[item.node] = now;
    }
}

/// Promotes one learner that has caught up, unless a lost voter should be removed first.
/// @return true when a learner is ready
auto GroupManager::promoteReady(coord::Replica &replica) -> bool
{
    const auto membership = replica.status().membership;
    const auto now = clock_.now();
    const auto isLost = [&](const coord::Member &member) {
        return member.kind == coord::MemberKind::Voter
                && now - heardAt_[member.node] >= options_.replaceAfter;
    };
    const auto someLost = std::any_of(membership.members.begin(), membership.members.end(), isLost);
    for (const auto &item : replica.progress()) {
        const auto *member = membership.find(item.node);
        if (member == nullptr || member->kind != coord::MemberKind::Learner || !item.caughtUp
            || !item.recentlyHeard)
            continue;
        if (!someLost || membership.voterCount() <= options_.minVoters)
            logChange("promote", item.node, replica.promote(item.node).status());
        return true;
    }
    return false;
}

auto GroupManager::removeSilent(coord::Replica &replica, bool learnerReady) -> void
{
    const auto status = replica.status();
    if (status.membershipChanging)
        return;
    const auto silenceLimit = learnerReady ? options_.replaceAfter : options_.removeAfter;
    const auto now = clock_.now();
    for (const auto &member : status.membership.members) {
        if (now - heardAt_[member.node] < silenceLimit)
            continue;
        const auto isVoter = member.kind == coord::MemberKind::Voter;
        if (isVoter && status.membership.voterCount() <= options_.minVoters)
            continue;
        logChange("remove_silent", member.node, replica.remove(member.node).status());
        return;
    }
}

} // namespace figrack::fleet
