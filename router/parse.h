// Parses a caller's HTTP request into Work or returns an error that describes the
// fault.
//
//   auto work = parseWork(request, view);
//   if (!work.ok()) ... errorResponse(work.status(), "not_run") ...
//
// Guarantees: no I/O and no state. For any input bytes, the result is either a
// Work whose class and target exist in the configuration or a typed error. Header
// values that are forwarded to endpoints or returned to callers are printable and
// bounded in length.

#ifndef FIGRACK_ROUTER_PARSE_H
#define FIGRACK_ROUTER_PARSE_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "http/message.h"
#include "router/view.h"
#include "router/work.h"

namespace figrack::router {

/// @param generated the id to use if the request has none that is valid
/// @return the request's X-Request-Id if it can be echoed, otherwise `generated`
auto requestIdOf(const http::Request &request, const std::string &generated) -> RequestId;

/// @param request a POST to /v1/completions, /v1/chat/completions or /v1/services/{name}
/// @return the work with id and mayStart not set, or BadRequest or one of the Unknown* errors
auto parseWork(const http::Request &request, const View &view) -> absl::StatusOr<Work>;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_PARSE_H
