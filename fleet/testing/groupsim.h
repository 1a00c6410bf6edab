// Controls' groups in virtual time: a replica, a GroupManager and a GroupContact on each node.
//
//   auto group = GroupSim { { "a", "b", "c" }, seed };
//   group.kill(node);   group.cluster().run(12s);   group.start(node);
//   group.missingVoters(names);          // empty: all of them are voters
//
// As in fleet/core, a control asks all others for membership while its contact tells it to. The
// requests travel over the network of the cluster, and are lost where a link is cut.

#ifndef FIGRACK_FLEET_TESTING_GROUPSIM_H
#define FIGRACK_FLEET_TESTING_GROUPSIM_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coord/testing/simnet.h"
#include "fleet/group.h"
#include "fleet/groupcontact.h"

namespace figrack::fleet::testing {

class GroupSim
{
public:
    using SimNode = coord::testing::SimNode;
    /// Founds a group of these controls and runs it until it has a leader.
    GroupSim(const std::vector<std::string> &founders, std::uint64_t seed);

    auto cluster() -> coord::testing::SimCluster & { return cluster_; }
    /// Adds a control that does not found the group, and starts it.
    auto join(const std::string &name) -> SimNode &;
    auto start(SimNode &node) -> void;
    auto kill(SimNode &node) -> void { cluster_.kill(node); }
    auto contactOf(const SimNode &node) const -> const GroupContact &;
    /// Proposes a command at the leader, and runs the group until it is committed.
    /// @return false: it was not within a few seconds
    auto commit(const std::string &command) -> bool;
    /// @return the names of the controls that a leader does not list as voters; a text that says so
    /// if there is no leader
    auto missingVoters(const std::vector<std::string> &names) -> std::string;

private:
    struct Control
    {
        std::unique_ptr<GroupManager> manager;
        std::unique_ptr<GroupContact> contact;
        std::uint64_t life = 0;   ///< Of the node's process.
        std::uint64_t rounds = 0; ///< Of manage(), in this life.
    };

    auto manageLater(SimNode &node) -> void;
    auto manage(SimNode &node, Control &control) -> void;
    auto askToJoin(SimNode &node) -> void;

    coord::testing::SimCluster cluster_;
    std::map<NodeId, Control> controls_;
};

} // namespace figrack::fleet::testing

#endif // FIGRACK_FLEET_TESTING_GROUPSIM_H
