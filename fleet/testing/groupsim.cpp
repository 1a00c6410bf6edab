#include "fleet/testing/groupsim.h"

#include <utility>

namespace figrack::fleet::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto manageEvery = 200ms;
constexpr auto joinEvery = 500ms;
constexpr auto foundingTime = 4s;
constexpr auto commitSteps = 100;
constexpr auto commitStep = 50ms;

} // namespace

GroupSim::GroupSim(const std::vector<std::string> &founders, std::uint64_t seed)
    : cluster_(coord::testing::SimOptions {}, seed)
{
    for (const auto &name : founders)
        start(cluster_.add(name, coord::testing::foundersNamed(founders)));
    cluster_.run(foundingTime);
}

auto GroupSim::join(const std::string &name) -> SimNode &
{
    auto &node = cluster_.add(name, {});
    start(node);
    return node;
}

auto GroupSim::start(SimNode &node) -> void
{
    cluster_.start(node);
    auto &control = controls_[node.name];
    control.manager = std::make_unique<GroupManager>(GroupOptions {}, *node.clock);
    control.contact = std::make_unique<GroupContact>(GroupContactOptions { .self = node.name },
                                                     *node.clock);
    control.life = node.life;
    control.rounds = 0;
    manageLater(node);
}

auto GroupSim::contactOf(const SimNode &node) const -> const GroupContact &
{
    return *controls_.at(node.name).contact;
}

auto GroupSim::manageLater(SimNode &node) -> void
{
    cluster_.after(manageEvery, [this, &node, life = node.life] {
        auto &control = controls_.at(node.name);
        if (control.life != life || node.life != life || !node.replica)
            return;
        if (!node.paused)
            manage(node, control);
        manageLater(node);
    });
}

auto GroupSim::manage(SimNode &node, Control &control) -> void
{
    cluster_.step(node, [&](coord::Replica &replica) {
        control.manager->tick(replica);
        control.contact->observe(replica.status());
    });
    const auto isDue = ++control.rounds % (joinEvery / manageEvery) == 0;
    if (node.replica && isDue && control.contact->shouldJoin())
        askToJoin(node);
}

auto GroupSim::askToJoin(SimNode &node) -> void
{
    auto member = coord::Member {};
    member.node = node.name;
    member.incarnation = node.replica->status().incarnation;
    for (auto *other : cluster_.nodes()) {
        if (other == &node || cluster_.isCut(node.name, other->name))
            continue;
        cluster_.after(1ms, [this, other, member, life = other->life] {
            if (other->life != life || other->paused)
                return;
            cluster_.step(*other, [&](coord::Replica &replica) {
                controls_.at(other->name).manager->onJoin(replica, member);
            });
        });
    }
}

auto GroupSim::commit(const std::string &command) -> bool
{
    auto *leader = cluster_.leader();
    if (leader == nullptr)
        return false;
    auto index = LogIndex {};
    cluster_.step(*leader, [&](coord::Replica &replica) {
        index = replica.propose(command).value_or(LogIndex {});
        replica.flush();
    });
    for (auto tries = 0; index != LogIndex {} && tries < commitSteps; ++tries) {
        if (cluster_.committed() >= index)
            return true;
        cluster_.run(commitStep);
    }
    return false;
}

auto GroupSim::missingVoters(const std::vector<std::string> &names) -> std::string
{
    const auto *leader = cluster_.leader();
    if (leader == nullptr)
        return "all: there is no leader";
    const auto membership = leader->replica->status().membership;
    auto missing = std::string {};
    for (const auto &name : names) {
        const auto *member = membership.find(NodeId { name });
        const auto isVoter = member != nullptr && member->kind == coord::MemberKind::Voter
                && member->incarnation == cluster_.node(name).incarnation;
        if (!isVoter)
            missing += name + " ";
    }
    return missing;
}

} // namespace figrack::fleet::testing
