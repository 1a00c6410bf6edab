// Conversion between the operators' JSON (docs/API.md) and commands.
//
//   auto change = parseChange(request.body);
//   if (!change.ok()) ...                       // BadRequest naming the field
//
// Guarantees: a body that is not JSON, a missing or mistyped field, a number out of range, an
// unknown field, or more than one operation gives BadRequest. A misspelt field is therefore
// never replaced by a default.

#ifndef FIGRACK_CONTROL_CONFIGJSON_H
#define FIGRACK_CONTROL_CONFIGJSON_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "coord/messages.h"
#include "state/commands.h"
#include "state/tables.h"

namespace figrack::control {

/// The action requested by POST /v1/members.
enum class MemberAction : std::uint8_t { Add, Promote, Remove };
struct MemberRequest
{
    MemberAction action = MemberAction::Add;
    coord::Member member; ///< Only the node is set, unless the action is Add.
};

/// @return the change, or BadRequest naming the field
auto parseChange(std::string_view json) -> absl::StatusOr<state::ConfigChange>;
/// @return the value of "draining"
auto parseDraining(std::string_view json) -> absl::StatusOr<bool>;
auto parseMember(std::string_view json) -> absl::StatusOr<MemberRequest>;

/// @return the body of GET /v1/config
auto configurationJson(const state::Configuration &configuration) -> std::string;
/// @return {"revision":R}
auto revisionJson(Revision revision) -> std::string;
/// @return the error body with the revision that the change conflicted with
auto conflictJson(const absl::Status &status, Revision revision) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CONFIGJSON_H
