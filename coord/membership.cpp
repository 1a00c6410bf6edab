// Members are few, so every look-up is a walk over a sorted vector. The count
// is read by hand before the members: a forged one must not reserve memory.

#include "coord/membership.h"

#include <algorithm>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>

#include "core/error.h"

namespace figrack::coord {

namespace {

constexpr auto maxMembershipBytes = std::size_t { 64U << 10 };

auto readMembers(cereal::PortableBinaryInputArchive &archive) -> absl::StatusOr<Membership>
{
    auto count = cereal::size_type { 0 };
    archive(cereal::make_size_tag(count));
    if (count > maxMembers)
        return makeError(ErrorKind::Malformed, fmt::format("members={}", count));
    auto membership = Membership {};
    membership.members.resize(count);
    for (auto &member : membership.members)
        archive(member);
    return membership;
}

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
    auto stream = std::ostringstream {};
    auto archive = cereal::PortableBinaryOutputArchive { stream };
    archive(membership);
    return stream.str();
}

auto decodeMembership(std::string_view bytes) -> absl::StatusOr<Membership>
{
    if (bytes.size() > maxMembershipBytes)
        return makeError(ErrorKind::Malformed, fmt::format("membership_bytes={}", bytes.size()));
    auto stream = std::istringstream { std::string { bytes } };
    try {
        auto archive = cereal::PortableBinaryInputArchive { stream };
        return readMembers(archive);
    } catch (const std::exception &error) {
        return makeError(ErrorKind::Malformed, fmt::format("membership: {}", error.what()));
    }
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
