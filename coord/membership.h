// The group's members as bytes, for log entries and snapshots.
//
//   auto bytes = encodeMembership(membership);
//   auto membership = decodeMembership(bytes);
//
// Guarantees: decoding takes any bytes without a crash and refuses more than
// maxMembers members; encoding is the same on every machine.

#ifndef FIGRACK_COORD_MEMBERSHIP_H
#define FIGRACK_COORD_MEMBERSHIP_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "coord/messages.h"

namespace figrack::coord {

/// Bound on the members of one group.
constexpr auto maxMembers = std::size_t { 64 };

/// @return the bytes of a Membership entry
auto encodeMembership(const Membership &membership) -> std::string;
/// @return the membership, or Malformed
auto decodeMembership(std::string_view bytes) -> absl::StatusOr<Membership>;
/// @return true when the membership lists this disk of the node
auto listsDisk(const Membership &membership, const NodeId &node, Incarnation incarnation) -> bool;
/// @return true when it lists this disk of the node as a voter
auto listsVoter(const Membership &membership, const NodeId &node, Incarnation incarnation) -> bool;
/// @return the membership with the member added or replaced, in order
auto withMember(Membership membership, Member member) -> Membership;
/// @return the membership without the node
auto withoutMember(Membership membership, const NodeId &node) -> Membership;

} // namespace figrack::coord

#endif // FIGRACK_COORD_MEMBERSHIP_H
