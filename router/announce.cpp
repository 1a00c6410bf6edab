// The TCP peer's address is the only information about an announcing host that
// the host cannot forge, so names and addresses are bound to it. An endpoint is
// live if the tables contain it and do not mark it as suspected. After a crash,
// its name and address become free as soon as its announcements have expired.

#include "router/announce.h"

#include <algorithm>

#include <boost/json.hpp>

#include "core/error.h"
#include "endpoint/announcement.h"

namespace figrack::router {
namespace {

auto checkName(const state::EndpointSpec &spec, const View &view) -> absl::Status
{
    const auto known = view.endpoint(spec.id);
    if (!known)
        return absl::OkStatus();
    if (spec.incarnation < known->spec.incarnation)
        return makeError(ErrorKind::Conflict, "an earlier life of endpoint=" + spec.id.value());
    if (spec.address == known->spec.address || known->suspected)
        return absl::OkStatus();
    return makeError(ErrorKind::Conflict,
                     "endpoint=" + spec.id.value() + " is alive at another address");
}

auto checkAddress(const state::EndpointSpec &spec, const View &view) -> absl::Status
{
    const auto holder = view.endpointAt(spec.address);
    if (!holder || holder->spec.id == spec.id || holder->suspected)
        return absl::OkStatus();
    return makeError(ErrorKind::Conflict,
                     "address=" + spec.address + " belongs to endpoint=" + holder->spec.id.value()
                             + ", which is alive");
}

} // namespace

auto checkAnnouncement(const http::Request &request, const View &view,
                       const std::vector<std::string> &proxies)
        -> absl::StatusOr<proto::EndpointReport>
{
    auto report = endpoint::parseAnnouncement(request.body);
    if (errorKind(report.status()) == ErrorKind::Malformed)
        return makeError(ErrorKind::BadRequest, errorArgument(report.status()));
    if (!report.ok())
        return report.status();
    const auto address = parseAddress(report->spec.address);
    if (!address.ok() || address->port == 0)
        return makeError(ErrorKind::BadRequest, "address=" + report->spec.address);
    const auto trusted
            = std::find(proxies.begin(), proxies.end(), request.remoteIp) != proxies.end();
    if (!trusted && address->ip != request.remoteIp) {
        return makeError(ErrorKind::AuthFailed,
                         "address=" + report->spec.address
                                 + " announced from ip=" + request.remoteIp);
    }
    if (auto status = checkName(report->spec, view); !status.ok())
        return status;
    if (auto status = checkAddress(report->spec, view); !status.ok())
        return status;
    return report;
}

auto announcementAnswer(Duration lease, const std::vector<std::string> &routers) -> std::string
{
    auto list = boost::json::array {};
    for (const auto &router : routers)
        list.emplace_back(router);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
    return boost::json::serialize(boost::json::object { { "lease_ms", ms }, { "routers", list } });
}

} // namespace figrack::router
