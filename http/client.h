// An HTTP/1.1 client with kept connections, over Boost.Beast.
//
//   auto client = Client { context, options, clock };
//   auto reply = co_await client.fetch(request, timeout);       // whole answer
//   auto stream = co_await client.open(request, timeout);       // head, then chunks
//   while (auto chunk = co_await stream->read(timeout)) { ... }
//
// Guarantees: an error says whether any byte of the request may have left this
// process (ClientError::sent): only then may the work have run. A kept
// connection that turns out closed before a byte of the answer counts as sent;
// requests that may not be repeated therefore ask for a fresh connection.
// A connection is kept no longer than its peer promises by a Keep-Alive header.
// A Host header of the request goes before the address.
// Other answers before that to a request are bounded by 1 MiB together.
// A whole answer is bounded by maxBodyBytes, one read of a stream by 64 KiB; a
// stream's length is not bounded. Destroying a stream before its end aborts its
// connection. After abortAll() has returned no byte of a request begun before
// it leaves this process, also none that waited in the kernel's send queue.

#ifndef FIGRACK_HTTP_CLIENT_H
#define FIGRACK_HTTP_CLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/settings.h"
#include "http/message.h"

namespace figrack::http {

/// Drops what the kernel has queued for a connection, resets the peer and wakes every wait.
auto disconnectSocket(int descriptor) -> void;

struct ClientOptions
{
    std::size_t maxIdlePerPeer = 64; ///< Kept connections to one address.
    Duration idleTimeout = std::chrono::seconds { 20 };
    Duration connectTimeout = std::chrono::milliseconds { 500 };
    std::size_t maxBodyBytes = 16U << 20;
    Duration userTimeout = std::chrono::seconds { 5 }; ///< TCP_USER_TIMEOUT: unacknowledged data.
    /// Ends the connection of a descriptor in the kernel. Where it does not wake a pending
    /// connect(), an attempt to connect is cancelled all the same.
    std::function<void(int descriptor)> disconnect = disconnectSocket;
};

/// Ends a request from outside, also before its answer has begun. Has no effect on a connection
/// whose answer has come to its end. Thread-safe.
class Canceller
{
public:
    /// Aborts the connection of the request, or of the next one that is given this object.
    auto cancel() -> void;
    auto isCancelled() const -> bool;
    /// For the client: what cancel() is to do from now on. Done at once if it has been called.
    auto setAbort(std::function<void()> abort) -> void;

private:
    mutable std::mutex mutex_; ///< Guards all below; taken before a connection's.
    std::function<void()> abort_;
    bool cancelled_ = false;
};

/// A header by which an answer names its request. No other answer is taken for the request's.
///
/// On a kept connection, an answer that names another request or none may be left from an earlier
/// request. It is dropped, the next one is waited for, and the connection is not kept afterwards.
/// On a new connection it fails the request.
struct AnswerMatch
{
    std::string header; ///< Empty: every answer is taken.
    std::string value;
    /// For peers that need not name requests: on a new connection an answer that names none is
    /// taken, and the connection is not kept afterwards.
    bool mayBeUnnamed = false;
};

/// Names a connection of a Client; never used twice.
using ConnectionNumber = std::uint64_t;

struct ClientRequest
{
    Address address;
    std::string method = "POST";
    std::string target = "/";
    Headers headers;
    std::string body;
    /// Sent in place of body if it is not empty, which spares a copy of a large one. Must stay
    /// valid until open() or fetch() has returned.
    std::string_view borrowedBody = {};
    bool freshConnection = false; ///< Never on a kept connection, and not kept afterwards.
    /// A kept connection is used only when it has been idle for less.
    Duration maxIdleAge = Duration::max();
    /// Kept connections that are not used, see ClientStream::connection(). A peer may repeat an
    /// earlier answer late, so a connection on which an answer of the same name has arrived says
    /// nothing about the next request of that name.
    std::vector<ConnectionNumber> excludedConnections = {};
    AnswerMatch match = {};
    std::shared_ptr<Canceller> canceller = {}; ///< May be empty.
    /// Asked once the connection stands, right before the first byte is written; false ends the
    /// request with Cancelled and Sent::Nothing. May be empty.
    std::function<bool()> mayStart = {};

    auto content() const -> std::string_view { return borrowedBody.empty() ? body : borrowedBody; }
};

/// Whether bytes of the request may have left.
enum class Sent : std::uint8_t { Nothing, MaybeSome };

struct ClientError
{
    absl::Status status; ///< EndpointFailed, Timeout, TooLarge, Malformed or Cancelled.
    Sent sent = Sent::MaybeSome;
    bool isReused = false;  ///< The request was sent on a kept connection.
    bool isRefused = false; ///< No process listens at the address.
};

template<typename T>
using ClientResult = std::variant<T, ClientError>;

/// An answer whose body is read in pieces.
class ClientStream
{
public:
    virtual ~ClientStream() = default;
    virtual auto status() const -> std::uint32_t = 0;
    virtual auto headers() const -> const Headers & = 0;
    /// @return true if the request was sent on a kept connection
    virtual auto isReused() const -> bool = 0;
    virtual auto connection() const -> ConnectionNumber = 0;
    /// @return true if a length or chunks mark the end of the body; false if only the end of the
    /// connection does
    virtual auto isDelimited() const -> bool = 0;
    /// @return the next bytes; an empty string at the true end of the body; an error when cut short
    virtual auto read(Duration timeout) -> boost::asio::awaitable<absl::StatusOr<std::string>> = 0;
    /// Aborts the connection (RST), from the strand that reads or any other thread.
    virtual auto abort() -> void = 0;
};

class Client
{
public:
    /// @param clock outlives the client; by it kept connections age, also in a suspension of the VM
    Client(boost::asio::io_context &context, ClientOptions options, const Clock &clock);
    ~Client();
    auto fetch(ClientRequest request, Duration timeout)
            -> boost::asio::awaitable<ClientResult<Response>>;
    /// @param headTimeout until the head of the answer has come
    auto open(ClientRequest request, Duration headTimeout)
            -> boost::asio::awaitable<ClientResult<std::unique_ptr<ClientStream>>>;
    /// Makes a connection and keeps it for the next request. @return EndpointFailed or Timeout
    auto preconnect(Address address, Duration timeout) -> boost::asio::awaitable<absl::Status>;
    /// @param maxIdleAge see ClientRequest
    /// @return true if a kept connection to the address can be used
    auto hasKept(const Address &address, Duration maxIdleAge = Duration::max()) -> bool;
    /// Aborts every connection to an address, in use or kept.
    auto abortAll(const Address &address) -> void;
    /// Aborts every connection.
    auto abortAll() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_CLIENT_H
