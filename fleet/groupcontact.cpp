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
    const auto hears
            = status.role == coord::Role::Leader ? status.leaseHeld : !status.leader.empty();
    if (hears)
        heardAt_ = clock_.now();
    const auto listedBefore = std::exchange(listedAs_, listedAs);
    const auto heardBefore = std::exchange(hearsLeader_, hears);
    if (listedBefore == listedAs && heardBefore == hears)
        return;
    LogEvent(LogLevel::Info, "group_contact")
            .with("hears_leader", hears)
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
    return heardAt_ && clock_.now() - *heardAt_ < options_.currentWithin;
}

} // namespace figrack::fleet
