// The role of a replica, as a state machine with a table of legal transitions.
//
//   auto roles = RoleMachine {};
//   roles.handle(RoleEvent::Enfranchised);   // learner -> follower
//   roles.role();
//
// Guarantees: an event that the present role may not take fails a check; the
// machine never guesses. Boost.MSM stays behind rolemachine.cpp, since it is
// slow to compile.

#ifndef FIGRACK_COORD_ROLEMACHINE_H
#define FIGRACK_COORD_ROLEMACHINE_H

#include <cstdint>
#include <memory>
#include <string_view>

namespace figrack::coord {

enum class Role : std::uint8_t { Learner, Follower, PreCandidate, Candidate, Leader, Stopped };

/// @return "learner", "follower", "pre_candidate", "candidate", "leader" or "stopped"
auto roleName(Role role) -> std::string_view;

/// What can change a role.
enum class RoleEvent : std::uint8_t {
    Enfranchised,    ///< The membership now lists this disk as a voter.
    Disenfranchised, ///< It no longer does.
    ElectionTimeout, ///< No leader was heard for an election timeout.
    PreVoteWon,      ///< A majority would vote for this replica.
    TransferAsked,   ///< The leader asked this replica to stand at once.
    VoteWon,         ///< A majority voted for this replica.
    SteppedDown,     ///< A leader or a higher term was heard, or a quorum was not.
    Failed,          ///< The store failed or the disk is not what it was.
};

/// A replica's role. It starts as a learner.
class RoleMachine
{
public:
    RoleMachine();
    ~RoleMachine();
    RoleMachine(const RoleMachine &) = delete;
    auto operator=(const RoleMachine &) -> RoleMachine & = delete;

    /// Takes an event. @param event one that the present role may take
    auto handle(RoleEvent event) -> void;
    auto role() const -> Role { return role_; }

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
    Role role_ = Role::Learner;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_ROLEMACHINE_H
