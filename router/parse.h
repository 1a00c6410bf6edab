// Reads a caller's HTTP request into Work, or says what is wrong with it.
//
//   auto work = parseWork(request, view);
//   if (!work.ok()) ... errorResponse(work.status(), "not_run") ...
//
// Guarantees: no I/O and no state; whatever the bytes, a Work whose class and
// target the configuration knows, or a typed error; header values that go on to
// endpoints or back to callers are bounded and printable.

#ifndef FIGRACK_ROUTER_PARSE_H
#define FIGRACK_ROUTER_PARSE_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "http/message.h"
#include "router/view.h"
#include "router/work.h"

namespace figrack::router {

/// @return the request's X-Request-Id when it can be echoed, else made
auto requestIdOf(const http::Request &request, const std::string &made) -> RequestId;

/// @param request a POST to /v1/completions, /v1/chat/completions or /v1/services/{name}
/// @return the work without id and mayStart; BadRequest or Unknown*
auto parseWork(const http::Request &request, const View &view) -> absl::StatusOr<Work>;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_PARSE_H
