#include "fleet/groupcontact.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {

GroupContact::GroupContact(GroupContactOptions options, const Clock &clock)
    : options_(std::move(options))
    , clock_(clock)
{ }

auto GroupContact::observe(const coord::ReplicaStatus &status) -> void
{
    isRunning_ = status.role != coord::Role::Stopped && status.incarnation != Incarnation {};
    const auto *self = status.membership.find(options_.self);
    const auto isSameDisk = self != nullptr && self->incarnation == status.incarnation;
    const auto listedAs = isSameDisk ? std::optional { self->kind } : std::nullopt;
    const auto hasLeader
            = status.role == coord::Role::Leader ? status.leaseHeld : !status.leader.empty();
    if (hasLeader)
        lastLeaderAt_ = clock_.now();
    const auto listedBefore = std::exchange(listedAs_, listedAs);
    const auto hadLeader = std::exchange(hasLeader_, hasLeader);
    if (listedBefore == listedAs && hadLeader == hasLeader)
        return;
    LogEvent(LogLevel::Info, "group_contact")
            .with("has_leader", hasLeader)
            .with("listed", isListed())
            .with("voter", isVoter())
            .with("voters", static_cast<std::uint64_t>(status.membership.voterCount()))
            .with("term", status.term);
}

auto GroupContact::isVoter() const -> bool
{
    return listedAs_ == coord::MemberKind::Voter;
}

auto GroupContact::isCurrent() const -> bool
{
    return lastLeaderAt_ && clock_.now() - *lastLeaderAt_ < options_.currentWithin;
}

} // namespace figrack::fleet
