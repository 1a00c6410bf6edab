// Reads the JSON that endpoints send about themselves: POST /v1/announce and
// GET /figrack/status (docs/API.md).
//
//   auto report = parseAnnouncement(request.body);
//   if (!report.ok()) co_await responder.send(errorResponse(report.status()));
//
// Guarantees: input is bounded in bytes, depth, counts and the length of each
// name; a missing or mistyped field, a number out of range, a duplicate replica
// or cached model is Malformed and names the field. Unknown fields are passed
// over, so that endpoints may be newer than figrack.

#ifndef FIGRACK_ENDPOINT_ANNOUNCEMENT_H
#define FIGRACK_ENDPOINT_ANNOUNCEMENT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "proto/messages.h"

namespace figrack::endpoint {

constexpr auto maxAnnouncementBytes = std::size_t { 1 } << 20;
constexpr auto maxNameBytes = std::size_t { 128 };
constexpr auto maxReplicas = std::size_t { 1024 };
constexpr auto maxCached = std::size_t { 8192 };

/// @param json the body of an announcement or a status reply
/// @return the report, or Malformed or TooLarge naming the field
auto parseAnnouncement(std::string_view json) -> absl::StatusOr<proto::EndpointReport>;

/// @return the JSON that parseAnnouncement() reads back to the same report
auto announcementJson(const proto::EndpointReport &report) -> std::string;

} // namespace figrack::endpoint

#endif // FIGRACK_ENDPOINT_ANNOUNCEMENT_H
