// The transition table is the whole of the machine; what a transition entails
// (terms, votes, timers) is done by the replica around it. Each state writes
// its Role on entry.

// MPL's ready-made vectors end at 20 rows.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "coord/rolemachine.h"

#include <array>
#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "core/check.h"

namespace figrack::coord {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template<RoleEvent event>
struct On
{ };
using Enfranchised = On<RoleEvent::Enfranchised>;
using Disenfranchised = On<RoleEvent::Disenfranchised>;
using ElectionTimeout = On<RoleEvent::ElectionTimeout>;
using PreVoteWon = On<RoleEvent::PreVoteWon>;
using TransferAsked = On<RoleEvent::TransferAsked>;
using VoteWon = On<RoleEvent::VoteWon>;
using SteppedDown = On<RoleEvent::SteppedDown>;
using Failed = On<RoleEvent::Failed>;

template<Role entered>
struct In : msm::front::state<>
{
    template<typename Event, typename Machine>
    auto on_entry(const Event & /*event*/, Machine &machine) -> void
    {
        machine.role = entered;
    }
};
using Learner = In<Role::Learner>;
using Follower = In<Role::Follower>;
using PreCandidate = In<Role::PreCandidate>;
using Candidate = In<Role::Candidate>;
using Leader = In<Role::Leader>;
using Stopped = In<Role::Stopped>;

template<typename Source, typename Event, typename Target>
using To = Row<Source, Event, Target, none, none>;

struct RoleTable : msm::front::state_machine_def<RoleTable>
{
    using initial_state = Learner; // NOLINT(readability-identifier-naming): MSM's name.
    using Transitions = boost::mpl::vector<To<Learner, Enfranchised, Follower>,             //
                                           To<Learner, SteppedDown, Learner>,               //
                                           To<Learner, Failed, Stopped>,                    //
                                           To<Follower, Disenfranchised, Learner>,          //
                                           To<Follower, ElectionTimeout, PreCandidate>,     //
                                           To<Follower, TransferAsked, Candidate>,          //
                                           To<Follower, SteppedDown, Follower>,             //
                                           To<Follower, Failed, Stopped>,                   //
                                           To<PreCandidate, Disenfranchised, Learner>,      //
                                           To<PreCandidate, ElectionTimeout, PreCandidate>, //
                                           To<PreCandidate, PreVoteWon, Candidate>,         //
                                           To<PreCandidate, SteppedDown, Follower>,         //
                                           To<PreCandidate, Failed, Stopped>,               //
                                           To<Candidate, Disenfranchised, Learner>,         //
                                           To<Candidate, ElectionTimeout, PreCandidate>,    //
                                           To<Candidate, VoteWon, Leader>,                  //
                                           To<Candidate, SteppedDown, Follower>,            //
                                           To<Candidate, Failed, Stopped>,                  //
                                           To<Leader, Disenfranchised, Learner>,            //
                                           To<Leader, SteppedDown, Follower>,               //
                                           To<Leader, Failed, Stopped>,                     //
                                           To<Stopped, Failed, Stopped>>;
    struct transition_table : Transitions // NOLINT(readability-identifier-naming): MSM's name.
    { };

    template<typename Machine, typename Event>
    auto no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) -> void
    {
        legal = false;
    }

    Role role = Role::Learner;
    bool legal = true;
};

constexpr auto roleNames = std::array<std::string_view, 6> {
    "learner", "follower", "pre_candidate", "candidate", "leader", "stopped",
};

} // namespace

auto roleName(Role role) -> std::string_view
{
    auto index = static_cast<std::size_t>(role);
    return index < roleNames.size() ? roleNames[index] : "unknown";
}

class RoleMachine::Machine : public msm::back::state_machine<RoleTable>
{ };

RoleMachine::RoleMachine()
    : machine_(std::make_unique<Machine>())
{
    machine_->start();
}

RoleMachine::~RoleMachine() = default;

auto RoleMachine::handle(RoleEvent event) -> void
{
    switch (event) {
    case RoleEvent::Enfranchised:
        machine_->process_event(Enfranchised {});
        break;
    case RoleEvent::Disenfranchised:
        machine_->process_event(Disenfranchised {});
        break;
    case RoleEvent::ElectionTimeout:
        machine_->process_event(ElectionTimeout {});
        break;
    case RoleEvent::PreVoteWon:
        machine_->process_event(PreVoteWon {});
        break;
    case RoleEvent::TransferAsked:
        machine_->process_event(TransferAsked {});
        break;
    case RoleEvent::VoteWon:
        machine_->process_event(VoteWon {});
        break;
    case RoleEvent::SteppedDown:
        machine_->process_event(SteppedDown {});
        break;
    case RoleEvent::Failed:
        machine_->process_event(Failed {});
        break;
    }
    role_ = machine_->role;
    // Checked out here: nothing may be thrown through the library's event processing.
    auto legal = std::exchange(machine_->legal, true);
    FIGRACK_CHECK(legal, "a replica's role changes only along the transition table");
}

} // namespace figrack::coord
