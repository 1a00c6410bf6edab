// Checks an endpoint's announcement before it is forwarded to the controls.
//
//   auto report = checkAnnouncement(request, view, proxies);
//   if (report.ok()) link.pushAll(*report);
//
// Guarantees: an announcement is accepted only for an address of the host that it
// came from, unless that host is one of the proxies in the settings. It cannot
// take over the name of a live endpoint at another address or the address of a
// live endpoint with another name, and it cannot return to an earlier incarnation.

#ifndef FIGRACK_ROUTER_ANNOUNCE_H
#define FIGRACK_ROUTER_ANNOUNCE_H

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "http/message.h"
#include "proto/messages.h"
#include "router/view.h"

namespace figrack::router {

/// @param request the POST; the announced address is compared with its remoteIp
/// @param view the endpoints currently registered
/// @param proxies IPs that may announce addresses of other hosts
/// @return the report, or BadRequest, Malformed, TooLarge, AuthFailed or Conflict
auto checkAnnouncement(const http::Request &request, const View &view,
                       const std::vector<std::string> &proxies)
        -> absl::StatusOr<proto::EndpointReport>;

/// @param lease how long the announcement is valid
/// @param routers the addresses that the endpoint should announce itself to
/// @return the JSON body of the answer, with both
auto announcementAnswer(Duration lease, const std::vector<std::string> &routers) -> std::string;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_ANNOUNCE_H
