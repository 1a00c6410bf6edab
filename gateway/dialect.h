// Conversion between a deployment's wire format and the terms the gateway works with.
//
// The gateway makes its decisions on CallerRequest, DispatchTerms and Refusal only. An adapter
// provides a Dialect that reads and writes their wire form.

#ifndef FIGRACK_GATEWAY_DIALECT_H
#define FIGRACK_GATEWAY_DIALECT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "catalogue/catalogue.h"
#include "catalogue/endpointnotice.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "http/message.h"

namespace figrack::gateway {

/// One part of a prompt. Requests that share the part use the same ID.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// A request as received from a caller.
struct CallerRequest
{
    RequestId id;
    std::string account; ///< Client account, or another value that distinguishes callers.
    std::string key;     ///< API key of the caller; empty if there is none. Never logged.
    std::string host;
    std::string path;
    http::Headers headers; ///< Headers that are forwarded to the endpoint unchanged.
    /// Headers that identify the caller. They are forwarded only if there are no accounts.
    http::Headers credentials;
    ModelId model; ///< Empty if the request needs no model.
    std::string adapter;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;   ///< Maximum number of output tokens.
    bool namesTokens = false;         ///< The caller stated both token counts.
    std::vector<PromptPart> prompt;   ///< In order; the last part belongs to this request alone.
    std::optional<Duration> deadline; ///< How long the caller waits after sending the request.
    std::string resumeAfter;          ///< ID of the last event received of a broken stream.
    /// ID of the caller's attempt that brought the first event of the stream; empty if none is
    /// named.
    std::string resumes;
};

/// Values that the gateway sets on one dispatch to an endpoint.
struct DispatchTerms
{
    EndpointId endpoint; ///< No other endpoint at the address may run the request.
    Duration left {};    ///< Time until the caller stops waiting.
    std::uint32_t rank = 0;
    bool hasAccounts = false; ///< If true, the headers that identify the caller are not forwarded.
    AccountId account;        ///< Account of the caller; empty if there is none.
    std::string resumeAfter;  ///< If not empty, the ID of the event after which to resume.
    /// Address of an endpoint that holds more of the prompt in its KV cache, to fetch it from.
    std::optional<Address> fetchFrom;
};

/// A final answer that the gateway itself creates.
struct Refusal
{
    absl::Status status;
    bool notRun = true;                 ///< The request has not run and will not run.
    std::optional<Duration> retryAfter; ///< Time after which the caller should retry.
};

/// The functions that convert between wire form and gateway terms.
struct Dialect
{
    /// @return the request, or BadRequest
    std::function<absl::StatusOr<CallerRequest>(const http::Request &)> readRequest;
    /// @return all headers of a dispatch
    std::function<http::Headers(const CallerRequest &, const DispatchTerms &)> writeDispatch;
    /// @return what the head of an answer says about the endpoint
    std::function<catalogue::EndpointNotice(const EndpointId &meant, std::uint32_t status,
                                            const http::Headers &)>
            readNotice;
    std::function<http::Response(const Refusal &)> writeRefusal;
    /// @return the headers of a question to an endpoint that no other endpoint at its address may
    /// answer as if it were meant
    std::function<http::Headers(const EndpointId &meant, Duration left)> writeHealthQuestion;
    /// @return true if only the endpoint that is meant can have given the answer to that question
    std::function<bool(const EndpointId &meant, std::uint32_t status, const http::Headers &)>
            isOwnAnswer;
    /// @return true if a caller takes the status for a promise that its request has not run
    std::function<bool(std::uint32_t status)> promisesNotRun;
    std::string answerIdHeader; ///< Name of the header that identifies the request of an answer.
    /// Name of the header with which an endpoint signs each success; empty: they are not signed.
    std::string signatureHeader;
    /// @return the catalogue that a document holds, or BadRequest
    std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)> readDocument;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DIALECT_H
