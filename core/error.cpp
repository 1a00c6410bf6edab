// One table row a kind: wire name, absl code, summary, remedy. The kind and the
// length of the argument travel in a status payload, so that reading them back
// never parses message text.

#include "core/error.h"

#include <array>
#include <string>

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace figrack {
namespace {

// A character array: the library's own string_view is not std::string_view here.
constexpr char payloadUrl[] = "figrack/error";

struct ErrorRow
{
    ErrorKind kind;
    absl::StatusCode code;
    std::string_view name;
    std::string_view summary;
    std::string_view remedy;
};

using absl::StatusCode;

constexpr auto errorTable = std::array<ErrorRow, errorKindCount> { {
        { ErrorKind::Ok, StatusCode::kOk, "ok", "no error", "nothing to do" },
        { ErrorKind::Internal, StatusCode::kInternal, "internal", "a fault inside figrack",
          "report it with the log lines around it" },
        { ErrorKind::BadSettings, StatusCode::kInvalidArgument, "bad_settings",
          "a setting cannot be used", "correct the named key and start again" },
        { ErrorKind::BadRequest, StatusCode::kInvalidArgument, "bad_request",
          "the request cannot be understood", "correct the request; do not resend it as it is" },
        { ErrorKind::BadToken, StatusCode::kUnauthenticated, "bad_token",
          "the token is missing or wrong", "send a current token" },
        { ErrorKind::UnknownClass, StatusCode::kNotFound, "unknown_class", "no such class",
          "create the class or name an existing one" },
        { ErrorKind::UnknownModel, StatusCode::kNotFound, "unknown_model", "no such model",
          "create the model or name an existing one" },
        { ErrorKind::UnknownService, StatusCode::kNotFound, "unknown_service", "no such service",
          "create the service or name an existing one" },
        { ErrorKind::UnknownEndpoint, StatusCode::kNotFound, "unknown_endpoint", "no such endpoint",
          "let the endpoint announce itself first" },
        { ErrorKind::UnknownNode, StatusCode::kNotFound, "unknown_node", "no such node",
          "name a node that status lists" },
        { ErrorKind::TooLarge, StatusCode::kOutOfRange, "too_large", "a size bound is exceeded",
          "send less at a time" },
        { ErrorKind::QueueFull, StatusCode::kResourceExhausted, "queue_full",
          "the queue of this class or caller is full", "try again after the time given" },
        { ErrorKind::TargetUnreachable, StatusCode::kUnavailable, "target_unreachable",
          "the class's target cannot be met now", "try again after the time given" },
        { ErrorKind::DeadlineExceeded, StatusCode::kDeadlineExceeded, "deadline_exceeded",
          "the request's time ran out", "try again after the time given" },
        { ErrorKind::NoCapacity, StatusCode::kUnavailable, "no_capacity",
          "no endpoint can hold the model", "add endpoints or try again after the time given" },
        { ErrorKind::NotCurrent, StatusCode::kUnavailable, "not_current",
          "this router cannot know that its configuration is current",
          "use another address of the list" },
        { ErrorKind::Draining, StatusCode::kUnavailable, "draining",
          "this process is stopping and takes no new work", "use another address of the list" },
        { ErrorKind::EndpointFailed, StatusCode::kUnavailable, "endpoint_failed",
          "the endpoint broke off", "try again if the request may be repeated" },
        { ErrorKind::OutcomeUnknown, StatusCode::kUnknown, "outcome_unknown",
          "the work may or may not have run", "find out before you repeat the work" },
        { ErrorKind::InProgress, StatusCode::kAlreadyExists, "in_progress",
          "a request with this key is running", "ask again with the same key later" },
        { ErrorKind::KeyReused, StatusCode::kInvalidArgument, "key_reused",
          "the idempotency key was used with another body", "use a new key for new work" },
        { ErrorKind::Conflict, StatusCode::kAborted, "conflict", "another change came first",
          "read the winning revision and decide again" },
        { ErrorKind::NotLeader, StatusCode::kUnavailable, "not_leader",
          "this control process is not the leader", "ask the leader named" },
        { ErrorKind::NoQuorum, StatusCode::kUnavailable, "no_quorum",
          "a majority of control processes cannot be reached", "restore control processes" },
        { ErrorKind::LeaseExpired, StatusCode::kUnavailable, "lease_expired", "a lease ran out",
          "wait for its renewal" },
        { ErrorKind::StaleFence, StatusCode::kFailedPrecondition, "stale_fence",
          "the fencing number is below the highest seen", "let the present leader give the order" },
        { ErrorKind::VersionMismatch, StatusCode::kFailedPrecondition, "version_mismatch",
          "the peer speaks another protocol version", "run releases that share a version" },
        { ErrorKind::AuthFailed, StatusCode::kUnauthenticated, "auth_failed",
          "the peer's key does not match", "give both processes the same key file" },
        { ErrorKind::Malformed, StatusCode::kDataLoss, "malformed", "bytes cannot be decoded",
          "check that the peer is a figrack process" },
        { ErrorKind::Overloaded, StatusCode::kResourceExhausted, "overloaded",
          "a bounded queue or table is full", "try again after the time given" },
        { ErrorKind::DiskFull, StatusCode::kResourceExhausted, "disk_full",
          "the data folder's disk is full", "free space, then start the process again" },
        { ErrorKind::DiskFailed, StatusCode::kDataLoss, "disk_failed",
          "the data folder cannot be written or synced", "replace the disk, then the replica" },
        { ErrorKind::Corrupt, StatusCode::kDataLoss, "corrupt", "stored data fails its checksum",
          "replace this replica; do not edit the file" },
        { ErrorKind::MembershipBusy, StatusCode::kAborted, "membership_busy",
          "another membership change is under way", "wait for it to end, then ask again" },
        { ErrorKind::Timeout, StatusCode::kDeadlineExceeded, "timeout", "no answer came in time",
          "ask again; the outcome is unknown" },
        { ErrorKind::Cancelled, StatusCode::kCancelled, "cancelled", "the caller went away",
          "nothing to do" },
        { ErrorKind::InUse, StatusCode::kFailedPrecondition, "in_use",
          "something still refers to it", "remove what refers to it first" },
        { ErrorKind::Quarantined, StatusCode::kUnavailable, "quarantined",
          "endpoints ended while they ran this request",
          "change the request, or try again after the time given" },
        { ErrorKind::OverLimit, StatusCode::kResourceExhausted, "over_limit",
          "the client account has used up its limit", "try again after the time given" },
        { ErrorKind::UnknownDomain, StatusCode::kNotFound, "unknown_domain",
          "nothing is known to be in this failure domain", "name the domain of a known endpoint" },
} };

constexpr auto tableIsOrdered() -> bool
{
    for (auto i = std::size_t { 0 }; i < errorTable.size(); ++i) {
        if (static_cast<std::size_t>(errorTable[i].kind) != i)
            return false;
    }
    return true;
}
static_assert(tableIsOrdered(), "errorTable must list every kind in order");

auto messageOf(const absl::Status &status) -> std::string_view
{
    return { status.message().data(), status.message().size() };
}

auto row(ErrorKind kind) -> const ErrorRow &
{
    const auto index = static_cast<std::size_t>(kind);
    return errorTable[index < errorTable.size() ? index : 1];
}

} // namespace

auto errorName(ErrorKind kind) -> std::string_view
{
    return row(kind).name;
}

auto errorRemedy(ErrorKind kind) -> std::string_view
{
    return row(kind).remedy;
}

auto makeError(ErrorKind kind, std::string_view argument) -> absl::Status
{
    if (kind == ErrorKind::Ok)
        return absl::OkStatus();
    const auto &entry = row(kind);
    auto status = absl::Status(
            entry.code,
            fmt::format("{}: {}: {}; {}", entry.name, entry.summary, argument, entry.remedy));
    auto payload = std::string(1, static_cast<char>(entry.kind));
    payload += argument;
    status.SetPayload(payloadUrl, absl::Cord(payload));
    return status;
}

auto errorKind(const absl::Status &status) -> ErrorKind
{
    if (status.ok())
        return ErrorKind::Ok;
    const auto payload = status.GetPayload(payloadUrl);
    if (!payload || payload->empty())
        return ErrorKind::Internal;
    return row(static_cast<ErrorKind>((*payload)[0])).kind;
}

auto errorArgument(const absl::Status &status) -> std::string_view
{
    const auto payload = status.GetPayload(payloadUrl);
    if (!payload || payload->empty())
        return messageOf(status);
    // The argument stands in the message after "name: summary: ".
    const auto &entry = row(static_cast<ErrorKind>((*payload)[0]));
    const auto start = entry.name.size() + entry.summary.size() + 4;
    return messageOf(status).substr(start, payload->size() - 1);
}

} // namespace figrack
