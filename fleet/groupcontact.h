// Whether a control is in contact with its group, judged by its leader rather than by its disk.
//
//   auto contact = GroupContact { { .self = name }, clock };
//   contact.observe(replica.status());     // after each step of the replica
//   if (contact.shouldJoin()) ...          // ask the other controls for membership
//   if (!contact.isInTouch()) ...          // the group does not learn what this control learns
//
// A group tells its changes of membership to its members alone. A control that was removed while it
// was down or cut off is therefore still listed on its own disk. A leader replicates only to disks
// that the membership lists, so that contact with one proves membership. Not thread-safe.

#ifndef FIGRACK_FLEET_GROUPCONTACT_H
#define FIGRACK_FLEET_GROUPCONTACT_H

#include <chrono>
#include <optional>

#include "coord/replica.h"
#include "core/clock.h"

namespace figrack::fleet {

struct GroupContactOptions
{
    NodeId self;
    /// A control that has had no leader for this time does not know what its group decides. Longer
    /// than an election, in which no control has one.
    Duration currentWithin = std::chrono::milliseconds { 2500 };
};

class GroupContact
{
public:
    /// @param clock must outlive this object
    GroupContact(GroupContactOptions options, const Clock &clock);
    /// Takes the replica's present state into account. @param status of this control's replica
    auto observe(const coord::ReplicaStatus &status) -> void;
    /// @return true while this control leads and holds its lease, or knows the leader
    auto hasLeader() const -> bool { return hasLeader_; }
    /// @return true if the membership that this control knows lists it with its present disk
    auto isListed() const -> bool { return listedAs_.has_value(); }
    /// @return true if it is listed as a voter
    auto isVoter() const -> bool;
    /// @return true if it has had a leader since its start, the last time within currentWithin
    auto isCurrent() const -> bool;
    /// @return true if it receives the group's decisions, and the group its messages
    auto isInTouch() const -> bool { return isCurrent() && isListed(); }
    /// @return true if its membership is not proven, so that it should ask to become a member
    auto shouldJoin() const -> bool { return isRunning_ && !(hasLeader_ && isListed()); }

private:
    GroupContactOptions options_;
    const Clock &clock_;
    bool isRunning_ = false; ///< The replica has recovered and its disk has not failed.
    bool hasLeader_ = false;
    std::optional<coord::MemberKind> listedAs_;
    std::optional<Instant> lastLeaderAt_; ///< When it had a leader last; absent until it did.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_GROUPCONTACT_H
