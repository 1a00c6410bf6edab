// Members are few, so every look-up is a walk over a sorted vector.

#include "coord/membership.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/error.h"
#include "core/serial.h"

namespace figrack::coord {

namespace {

constexpr auto maxMembershipBytes = std::size_t { 64U << 10 };

} // namespace

auto Membership::find(const NodeId &node) const -> const Member *
{
    auto found = std::find_if(members.begin(), members.end(),
                              [&](const Member &member) { return member.node == node; });
    return found == members.end() ? nullptr : &*found;
}

auto Membership::voterCount() const -> std::size_t
{
    auto isVoter = [](const Member &member) { return member.kind == MemberKind::Voter; };
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), isVoter));
}

auto encodeMembership(const Membership &membership) -> std::string
{
    return serialize(membership);
}

auto decodeMembership(std::string_view bytes) -> absl::StatusOr<Membership>
{
    if (bytes.size() > maxMembershipBytes)
        return makeError(ErrorKind::Malformed, fmt::format("membership_bytes={}", bytes.size()));
    auto membership = Membership {};
    if (auto status = deserialize(bytes, membership); !status.ok())
        return status;
    if (membership.members.size() > maxMembers)
        return makeError(ErrorKind::Malformed,
                         fmt::format("members={}", membership.members.size()));
    return membership;
}

auto listsDisk(const Membership &membership, const NodeId &node, Incarnation incarnation) -> bool
{
    const auto *member = membership.find(node);
    return member != nullptr && member->incarnation == incarnation;
}

auto listsVoter(const Membership &membership, const NodeId &node, Incarnation incarnation) -> bool
{
    const auto *member = membership.find(node);
    return member != nullptr && member->incarnation == incarnation
            && member->kind == MemberKind::Voter;
}

auto withMember(Membership membership, Member member) -> Membership
{
    auto result = withoutMember(std::move(membership), member.node);
    auto before = [](const Member &one, const Member &other) { return one.node < other.node; };
    auto place = std::lower_bound(result.members.begin(), result.members.end(), member, before);
    result.members.insert(place, std::move(member));
    return result;
}

auto withoutMember(Membership membership, const NodeId &node) -> Membership
{
    std::erase_if(membership.members, [&](const Member &member) { return member.node == node; });
    return membership;
}

} // namespace figrack::coord
