// How callers and endpoints of a deployment phrase what the gateway works with.
//
// The gateway decides on CallerRequest, DispatchTerms and Refusal alone; an
// adapter gives it a Dialect that reads and writes their wire form.

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

/// One part of a prompt; requests that share it name the same id.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// A request as it came from a caller.
struct CallerRequest
{
    RequestId id;
    std::string account; ///< Client account, or whatever else tells callers apart.
    std::string key;     ///< That the caller shows; empty: none. Never logged.
    std::string host;
    std::string path;
    http::Headers headers; ///< Those that go on to the endpoint as they are.
    /// By which the caller says who it is; they go on only where there are no accounts.
    http::Headers credentials;
    ModelId model; ///< Empty: it asks for no model.
    std::string adapter;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;   ///< At most.
    bool namesTokens = false;         ///< Both numbers are the caller's.
    std::vector<PromptPart> prompt;   ///< In order; the last one is its own.
    std::optional<Duration> deadline; ///< How long the caller waits, from its sending.
    std::string resumeAfter;          ///< Id of the last event it has of a broken stream.
};

/// What the gateway sets on one dispatch to an endpoint.
struct DispatchTerms
{
    EndpointId endpoint; ///< Any other endpoint at the address must not run it.
    Duration left {};    ///< Until nobody waits any more.
    std::uint32_t rank = 0;
    bool hasAccounts = false; ///< What the caller says of who it is does not go on.
    AccountId account;        ///< Of the caller; empty: nobody's.
    std::string resumeAfter;  ///< Not empty: go on after this event.
    /// An endpoint that keeps more of the prompt in its KV cache, to fetch it from.
    std::optional<Address> fetchFrom;
};

/// A final answer of the gateway's own.
struct Refusal
{
    absl::Status status;
    bool notRun = true;                 ///< The request has not run and never will.
    std::optional<Duration> retryAfter; ///< When to come back.
};

struct Dialect
{
    /// @return the request, or BadRequest
    std::function<absl::StatusOr<CallerRequest>(const http::Request &)> readRequest;
    /// @return all headers of a dispatch
    std::function<http::Headers(const CallerRequest &, const DispatchTerms &)> writeDispatch;
    /// @return what the head of an answer says of the endpoint
    std::function<catalogue::EndpointNotice(const EndpointId &meant, std::uint32_t status,
                                            const http::Headers &)>
            readNotice;
    std::function<http::Response(const Refusal &)> writeRefusal;
    std::string answerIdHeader; ///< Names the request that an answer belongs to.
    /// @return the catalogue that a document holds, or BadRequest
    std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)> readDocument;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DIALECT_H
