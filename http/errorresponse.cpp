// The table maps every error kind to its HTTP status, as docs/API.md lists them;
// kinds that only travel between figrack's own processes read as 500 or 503.

#include "http/server.h"

#include <array>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace figrack::http {
namespace {

struct StatusRow
{
    ErrorKind kind;
    std::uint32_t status;
};

constexpr auto statusTable = std::array<StatusRow, errorKindCount> { {
        { ErrorKind::Ok, 200 },
        { ErrorKind::Internal, 500 },
        { ErrorKind::BadSettings, 500 },
        { ErrorKind::BadRequest, 400 },
        { ErrorKind::BadToken, 401 },
        { ErrorKind::UnknownClass, 404 },
        { ErrorKind::UnknownModel, 404 },
        { ErrorKind::UnknownService, 404 },
        { ErrorKind::UnknownEndpoint, 404 },
        { ErrorKind::UnknownNode, 404 },
        { ErrorKind::TooLarge, 413 },
        { ErrorKind::QueueFull, 429 },
        { ErrorKind::TargetUnreachable, 503 },
        { ErrorKind::DeadlineExceeded, 504 },
        { ErrorKind::NoCapacity, 503 },
        { ErrorKind::NotCurrent, 503 },
        { ErrorKind::Draining, 503 },
        { ErrorKind::EndpointFailed, 502 },
        { ErrorKind::OutcomeUnknown, 502 },
        { ErrorKind::InProgress, 409 },
        { ErrorKind::KeyReused, 400 },
        { ErrorKind::Conflict, 409 },
        { ErrorKind::NotLeader, 503 },
        { ErrorKind::NoQuorum, 503 },
        { ErrorKind::LeaseExpired, 503 },
        { ErrorKind::StaleFence, 409 },
        { ErrorKind::VersionMismatch, 500 },
        { ErrorKind::AuthFailed, 401 },
        { ErrorKind::Malformed, 400 },
        { ErrorKind::Overloaded, 429 },
        { ErrorKind::MembershipBusy, 409 },
        { ErrorKind::DiskFull, 500 },
        { ErrorKind::DiskFailed, 500 },
        { ErrorKind::Corrupt, 500 },
        { ErrorKind::Timeout, 504 },
        { ErrorKind::Cancelled, 499 },
        { ErrorKind::InUse, 409 },
        { ErrorKind::Quarantined, 503 },
        { ErrorKind::OverLimit, 429 },
        { ErrorKind::UnknownDomain, 404 },
} };

constexpr auto tableNamesEveryKind() -> bool
{
    for (auto kind = std::size_t { 0 }; kind < errorKindCount; ++kind) {
        auto found = false;
        for (const auto &entry : statusTable)
            found = found || static_cast<std::size_t>(entry.kind) == kind;
        if (!found)
            return false;
    }
    return true;
}
static_assert(tableNamesEveryKind(), "statusTable must name every kind");

auto asView(const absl::Status &status) -> std::string_view
{
    return { status.message().data(), status.message().size() };
}

auto asJsonView(std::string_view text) -> boost::json::string_view
{
    return { text.data(), text.size() };
}

constexpr auto millisPerSecond = std::int64_t { 1000 };

} // namespace

auto httpStatus(ErrorKind kind) -> std::uint32_t
{
    for (const auto &entry : statusTable) {
        if (entry.kind == kind)
            return entry.status;
    }
    return 500;
}

auto errorResponse(const absl::Status &status, std::string_view ran, std::int64_t retryAfterMs,
                   const std::vector<std::string> &retryAt) -> Response
{
    const auto kind = errorKind(status);
    auto error = boost::json::object {};
    error["code"] = asJsonView(errorName(kind));
    error["message"] = asJsonView(asView(status));
    if (!ran.empty())
        error["ran"] = asJsonView(ran);
    if (retryAfterMs >= 0)
        error["retry_after_ms"] = retryAfterMs;
    if (!retryAt.empty())
        error["retry_at"] = boost::json::array(retryAt.begin(), retryAt.end());
    error["remedy"] = asJsonView(errorRemedy(kind));

    auto response = Response {};
    response.status = httpStatus(kind);
    response.headers.push_back({ "Content-Type", "application/json" });
    if (retryAfterMs >= 0) {
        const auto seconds = (retryAfterMs + millisPerSecond - 1) / millisPerSecond;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    if (!ran.empty())
        response.headers.push_back({ "X-Figrack-Ran", std::string { ran } });
    response.body = boost::json::serialize(boost::json::object { { "error", std::move(error) } });
    return response;
}

} // namespace figrack::http
