// The operator's JSON (docs/API.md) to commands and back.
//
//   auto change = parseChange(request.body);
//   if (!change.ok()) ...                       // BadRequest naming the field
//
// Guarantees: a body that is no JSON, a missing or mistyped field, a number out
// of range, a field that is not known or more than one operation is BadRequest;
// nothing is left to a default that the operator could have misspelt.

#ifndef FIGRACK_CONTROL_CONFIGJSON_H
#define FIGRACK_CONTROL_CONFIGJSON_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "coord/messages.h"
#include "state/commands.h"
#include "state/tables.h"

namespace figrack::control {

/// What POST /v1/members asks for.
enum class MemberAction : std::uint8_t { Add, Promote, Remove };
struct MemberRequest
{
    MemberAction action = MemberAction::Add;
    coord::Member member; ///< Only its node, unless it is to be added.
};

/// @return the change, or BadRequest naming the field
auto parseChange(std::string_view json) -> absl::StatusOr<state::ConfigChange>;
/// @return the value of "draining"
auto parseDraining(std::string_view json) -> absl::StatusOr<bool>;
auto parseMember(std::string_view json) -> absl::StatusOr<MemberRequest>;

/// @return GET /v1/config's body
auto configurationJson(const state::Configuration &configuration) -> std::string;
/// @return {"revision":R}
auto revisionJson(Revision revision) -> std::string;
/// @return the error body with the revision that won
auto conflictJson(const absl::Status &status, Revision revision) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CONFIGJSON_H
