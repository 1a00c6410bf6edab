// Error kinds, and how an error is made and read.
//
// Every error that leaves a figrack function is an absl::Status. It carries
// one ErrorKind, so that callers branch on a kind and never on text, and a
// message made of the kind's summary, the argument at fault, and the remedy:
//
//   return makeError(ErrorKind::UnknownModel, "model=plaques");
//   ...
//   if (errorKind(status) == ErrorKind::UnknownModel) ...
//
// Guarantees: errorKind() of a status from makeError() is the kind it was
// made with; a status from elsewhere reads as ErrorKind::Internal.

#ifndef FIGRACK_CORE_ERROR_H
#define FIGRACK_CORE_ERROR_H

#include <cstdint>
#include <string_view>

#include <absl/status/status.h>

namespace figrack {

/// What went wrong. Values are stable: they travel in the inner protocol.
/// Add at the end; the table in error.cpp must name every value.
enum class ErrorKind : std::uint8_t {
    Ok = 0,
    Internal,
    BadSettings,
    BadRequest,
    BadToken,
    UnknownClass,
    UnknownModel,
    UnknownService,
    UnknownEndpoint,
    UnknownNode,
    TooLarge,
    QueueFull,
    TargetUnreachable, ///< The predicted start or finish is past the class's target.
    DeadlineExceeded,
    NoCapacity,
    NotCurrent, ///< This router cannot know that its configuration is current.
    Draining,
    EndpointFailed, ///< The endpoint broke off or answered with a fault.
    OutcomeUnknown, ///< The work may or may not have run.
    InProgress,
    KeyReused, ///< An idempotency key came back with another body.
    Conflict,  ///< A configuration change lost against another.
    NotLeader,
    NoQuorum,
    LeaseExpired,
    StaleFence,
    VersionMismatch,
    AuthFailed,
    Malformed,
    Overloaded, ///< A bounded send queue or table is full.
    DiskFull,
    DiskFailed,
    Corrupt,
    MembershipBusy, ///< Another membership change is under way.
    Timeout,
    Cancelled,
    InUse,       ///< Something else still refers to what is to be removed or replaced.
    Quarantined, ///< Endpoint after endpoint ended while it ran this work.
    OverLimit,   ///< The client account has used up what its limit gives.
    UnknownDomain,
};

/// Number of kinds, for tables indexed by kind.
constexpr auto errorKindCount
        = std::size_t { static_cast<std::size_t>(ErrorKind::UnknownDomain) + 1 };

/// The wire and log name of a kind, snake_case.
/// @param kind any ErrorKind value
/// @return a name such as "unknown_model"; "internal" for a value out of range
auto errorName(ErrorKind kind) -> std::string_view;

/// What the reader of the error should do about it.
/// @param kind any ErrorKind value
/// @return one sentence in the imperative
auto errorRemedy(ErrorKind kind) -> std::string_view;

/// Makes a status of a kind.
/// @param kind the kind; ErrorKind::Ok gives absl::OkStatus()
/// @param argument what the error is about, as key=value text
/// @return a status whose message is "name: summary: argument; remedy"
auto makeError(ErrorKind kind, std::string_view argument) -> absl::Status;

/// Reads the kind back.
/// @param status any status
/// @return ErrorKind::Ok for an OK status, the kind of makeError(), else Internal
auto errorKind(const absl::Status &status) -> ErrorKind;

/// The argument makeError() was given.
/// @param status any status
/// @return the argument, or the whole message of a status from elsewhere
auto errorArgument(const absl::Status &status) -> std::string_view;

} // namespace figrack

#endif // FIGRACK_CORE_ERROR_H
