// A group that takes in new members and replaces lost ones by itself.
//
//   auto keeper = GroupKeeper { options, clock };
//   keeper.onJoin(replica, member);     // a control asks to become a member
//   keeper.tick(replica);               // a few times a second, on every control
//
// What a leader does, one change at a time: a disk that is listed under another
// incarnation of its node is removed, since it remembers nothing; a control that
// asks and is not listed becomes a learner; a learner that has caught up becomes
// a voter; a voter that has been silent for removeAfter is removed as long as
// minVoters that are heard remain. A removed voter that comes back asks to join
// like a new one.
//
// Guarantee: no change is made that leaves fewer than a majority of voters that
// are heard; coord/memberchange.cpp checks that again. Not thread-safe.

#ifndef FIGRACK_FLEET_GROUP_H
#define FIGRACK_FLEET_GROUP_H

#include <map>

#include "coord/replica.h"
#include "core/clock.h"

namespace figrack::fleet {

struct GroupOptions
{
    /// Silent for so long, a voter is taken for lost. Longer than a restart, a cut that heals or
    /// a disk that stalls usually take, since each removal costs a learner's catching up.
    Duration removeAfter = std::chrono::seconds { 10 };
    /// With a learner ready to take its place, a voter is taken for lost sooner.
    Duration replaceAfter = std::chrono::seconds { 4 };
    std::size_t minVoters = 3; ///< A smaller group would not survive the loss of one disk.
};

class GroupKeeper
{
public:
    GroupKeeper(GroupOptions options, const Clock &clock);
    /// On the leader. @param member who asks, with its disk's incarnation
    auto onJoin(coord::Replica &replica, const coord::Member &member) -> void;
    auto tick(coord::Replica &replica) -> void;

private:
    auto noteHeard(const coord::Replica &replica) -> void;
    auto promoteReady(coord::Replica &replica) -> bool;
    auto removeSilent(coord::Replica &replica, bool learnerReady) -> void;

    GroupOptions options_;
    const Clock &clock_;
    bool leads_ = false;
    std::map<NodeId, Instant> heardAt_; ///< By this leader, since it leads.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_GROUP_H
