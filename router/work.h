// A caller's request as the router understands it, and what became of it.

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

/// Whether any of the work may have happened.
enum class Ran : std::uint8_t { NotRun, Unknown };

/// @return "not_run" or "unknown", as docs/API.md has it
auto ranName(Ran ran) -> std::string_view;

struct Work
{
    RequestId id;
    Target target;
    ClassId classId;
    std::string caller;
    std::string enginePath; ///< Where it goes on the endpoint.
    std::string_view body;  ///< The caller's request holds it for as long as the work runs.
    std::string contentType;
    bool stream = false;
    bool repeatable = true;
    IdempotencyKey key; ///< Empty: none given.
    std::vector<std::uint64_t> prefix;
    Millis startTarget = 0;  ///< ms from arrival.
    Millis finishTarget = 0; ///< ms from arrival.
    /// Asked before each dispatch's first byte; a claim's deadline. May be empty.
    std::function<bool()> mayStart;
};

/// How a request ended. When headSent is false the answer is still to be sent.
struct Outcome
{
    report::RequestEnd end = report::RequestEnd::Refused;
    absl::Status status; ///< Why it was refused or failed; OK for an answer.
    Ran ran = Ran::NotRun;
    Millis retryAfter = -1; ///< ms; negative: none.
    bool headSent = false;  ///< A stream was begun towards the caller.
    bool cold = false;
    Millis waited = 0;
    report::ColdParts parts;   ///< Of a cold start, its first token left out.
    Millis firstByteAfter = 0; ///< ms from arrival; 0 when there was none.

    bool whole = false; ///< The endpoint's answer came to its end.
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string answer;         ///< Of a call without streaming; of a stream what was kept of it.
    bool answerIsWhole = false; ///< answer holds all of it.
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_WORK_H
