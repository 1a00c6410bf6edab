// Adds new members to a control group and replaces lost ones automatically.
//
//   auto manager = GroupManager { options, clock };
//   manager.onJoin(replica, member);     // a control asks to become a member
//   manager.tick(replica);               // a few times a second, on every control
//
// The leader makes one change at a time. A member whose node has restarted with
// another incarnation of its disk is removed, since that disk has lost its state.
// A control that asks to join and is not a member becomes a learner; one that is
// a member asks as well while it has no leader, which changes nothing. A learner
// that has caught up becomes a voter. A voter that has been silent for
// removeAfter is removed if at least minVoters responding voters remain. It is not
// told; once it is back it has no leader, so that it asks to join like a new one.
//
// Guarantee: no change leaves fewer than a majority of voters that respond;
// coord/memberchange.cpp checks that again. Not thread-safe.

#ifndef FIGRACK_FLEET_GROUP_H
#define FIGRACK_FLEET_GROUP_H

#include <map>

#include "coord/replica.h"
#include "core/clock.h"

namespace figrack::fleet {

struct GroupOptions
{
    /// A voter that is silent for this time is considered lost. This is longer than a restart, a
    /// short network partition or a disk stall usually takes, since the learner that replaces a
    /// removed voter has to catch up first.
    Duration removeAfter = std::chrono::seconds { 10 };
    /// The same, when a learner is ready to replace the voter.
    Duration replaceAfter = std::chrono::seconds { 4 };
    std::size_t minVoters = 3; ///< A smaller group would not survive the loss of one disk.
};

class GroupManager
{
public:
    GroupManager(GroupOptions options, const Clock &clock);
    /// Call on the leader. @param member the control that asks, with its disk's incarnation
    auto onJoin(coord::Replica &replica, const coord::Member &member) -> void;
    auto tick(coord::Replica &replica) -> void;

private:
    auto noteHeard(const coord::Replica &replica) -> void;
    auto promoteReady(coord::Replica &replica) -> bool;
    auto removeSilent(coord::Replica &replica, bool learnerReady) -> void;

    GroupOptions options_;
    const Clock &clock_;
    bool leads_ = false;
    std::map<NodeId, Instant> heardAt_; ///< When this leader last heard from each, in its term.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_GROUP_H
