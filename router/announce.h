// Checks an endpoint's announcement before it goes to the controls.
//
//   auto report = checkAnnouncement(request, view, options);
//   if (report.ok()) link.pushAll(*report);
//
// Guarantees: an announcement names only an address of the host it came from,
// unless that host is one of the proxies of the settings; it cannot take over
// the name of a live endpoint at another address, nor the address of a live
// endpoint of another name, nor go back to an earlier life.

#ifndef FIGRACK_ROUTER_ANNOUNCE_H
#define FIGRACK_ROUTER_ANNOUNCE_H

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "http/message.h"
#include "proto/messages.h"
#include "router/view.h"

namespace figrack::router {

/// @param request the POST; its remoteIp is what the address is held against
/// @param view who is there now
/// @param proxies IPs that may announce for others
/// @return the report, or BadRequest, Malformed, TooLarge, AuthFailed or Conflict
auto checkAnnouncement(const http::Request &request, const View &view,
                       const std::vector<std::string> &proxies)
        -> absl::StatusOr<proto::EndpointReport>;

/// @return the answer's JSON: how long the announcement holds, and the routers to announce to
auto announcementAnswer(Duration lease, const std::vector<std::string> &routers) -> std::string;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_ANNOUNCE_H
