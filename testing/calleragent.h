// Callers as figrack's users would write them: ask for addresses, keep the
// answer for its lifetime, connect there, check every token of the answer.
//
//   auto caller = CallerAgent { context, options, "morlaix" };
//   auto result = co_await caller.call(call);
//
// A call is one request under one id. Where nothing of it has left this process
// (no connection) the next address is tried; in any other case the call ends
// with what came. Thread-safe.

#ifndef FIGRACK_TESTING_CALLERAGENT_H
#define FIGRACK_TESTING_CALLERAGENT_H

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "http/client.h"

namespace figrack::testing {

/// One request to make.
struct Call
{
    std::string id;
    std::string model;   ///< Empty for a service call.
    std::string service; ///< Empty for a model's.
    std::string prompt;  ///< The body of a service call.
    std::string key;     ///< Idempotency key; empty: none.
    std::string classId; ///< Empty: the default class.
    std::uint64_t tokens = 16;
    bool stream = true;
    bool chat = false;
    Duration limit = std::chrono::seconds { 60 }; ///< An answer or a refusal must be whole by then.
    std::optional<Duration> leaveAfter; ///< The caller goes away so long after the first byte.
};

enum class CallEnd : std::uint8_t {
    Answered,    ///< The whole right answer.
    Refused,     ///< A typed refusal, before any of the answer or as an error event.
    Wrong,       ///< An answer that is not the right one, or none that can be read.
    Broken,      ///< The connection ended early.
    Late,        ///< Neither an answer nor a refusal in time.
    Unreachable, ///< No address took the connection.
    Left,        ///< The caller went away on purpose.
};

auto callEndName(CallEnd end) -> std::string_view;

struct CallResult
{
    Call call;
    CallEnd end = CallEnd::Unreachable;
    Address router; ///< The one that took the request.
    std::uint32_t status = 0;
    std::string code; ///< Of a refusal.
    std::string ran;  ///< "not_run" or "unknown", of a refusal.
    std::string detail;
    bool repeatedTokens = false; ///< Some token came twice.
    std::uint64_t tokensSeen = 0;
    Instant sentAt;
    Instant firstAt; ///< First token, or the whole answer where it is no stream.
    Instant endedAt;
    auto firstMs() const -> double;
    auto totalMs() const -> double;
};

struct CallerOptions
{
    std::vector<Address> seeds;    ///< Routers to ask for addresses first.
    std::optional<Address> direct; ///< Not empty: call this address and ask for no others.
    bool toEndpoint = false;       ///< The direct address is an endpoint's, not a router's.
    /// False: each request on a fresh connection, so that the caller knows when nothing was sent.
    bool keepConnections = false;
};

class CallerAgent
{
public:
    CallerAgent(boost::asio::io_context &context, CallerOptions options, std::string domain);
    auto call(Call call) -> boost::asio::awaitable<CallResult>;
    /// Asks for the addresses anew at the next call.
    auto forgetAddresses() -> void;

private:
    using Addresses = std::vector<Address>;
    auto addresses() -> boost::asio::awaitable<Addresses>;
    auto askAddresses(Address router) -> boost::asio::awaitable<std::optional<Addresses>>;
    auto tryOne(CallResult &result, const Address &address) -> boost::asio::awaitable<bool>;
    auto readAnswer(CallResult &result, http::ClientStream &stream) -> boost::asio::awaitable<void>;

    http::Client client_;
    CallerOptions options_;
    std::string domain_;
    SystemClock clock_;
    std::mutex mutex_; ///< Guards the two below; a leaf.
    Addresses known_;
    Instant goodUntil_;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_CALLERAGENT_H
