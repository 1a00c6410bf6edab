// Defines a caller's request in parsed form, and its outcome.

#ifndef FIGRACK_ROUTER_WORK_H
#define FIGRACK_ROUTER_WORK_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "core/clock.h"
#include "core/ids.h"
#include "report/recorder.h"
#include "router/scheduler.h"

namespace figrack::router {

/// Whether any part of the request may have run.
enum class Ran : std::uint8_t { NotRun, Unknown };

/// @return "not_run" or "unknown", as specified in docs/API.md
auto ranName(Ran ran) -> std::string_view;

struct Work
{
    RequestId id;
    Target target;
    ClassId classId;
    std::string caller;
    std::string enginePath; ///< The request path on the endpoint.
    std::string_view body;  ///< Points into the caller's HTTP request, which outlives the work.
    std::string contentType;
    bool stream = false;
    bool repeatable = true;
    IdempotencyKey key; ///< Empty if none was given.
    std::vector<std::uint64_t> prefix;
    Millis startTarget = 0;  ///< ms from arrival.
    Millis finishTarget = 0; ///< ms from arrival.
    /// Called before the first byte of each dispatch is sent; returns false once the deadline of
    /// the claim has passed. May be empty.
    std::function<bool()> mayStart;
};

/// How a request ended. If headSent is false, the answer has yet to be sent.
struct Outcome
{
    report::RequestEnd end = report::RequestEnd::Refused;
    absl::Status status; ///< Why the request was refused or failed; OK if it was answered.
    Ran ran = Ran::NotRun;
    Millis retryAfter = -1; ///< ms; negative if none is given.
    bool headSent = false;  ///< A stream to the caller has been started.
    bool cold = false;
    Millis waited = 0;         ///< ms from arrival to the first grant.
    report::ColdParts parts;   ///< Parts of a cold start, without the time to the first token.
    Millis firstByteAfter = 0; ///< ms from arrival; 0 if there was none.

    bool isComplete = false; ///< The endpoint's answer arrived completely.
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string answer; ///< The body of a call without streaming, or the recorded part of a
                        ///< stream.
    bool answerIsComplete = false; ///< answer holds the complete answer.
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_WORK_H
