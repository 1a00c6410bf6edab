// An HTTP/1.1 server with bounds on everything a peer controls, over Boost.Beast.
//
//   auto server = Server { context, options, [](const Request &request, Responder &responder)
//           -> boost::asio::awaitable<void> {
//       co_await responder.send(Response { 200, {}, "ok" });
//   } };
//   server.start(address);
//
// Each connection runs on its own strand of the context, whose threads are the
// workers. A handler answers exactly once: send(), or startStream(), write()...,
// finish(). One that returns without an answer sends 500 internal.
//
// Guarantees: header, body, idle and handshake time, connections and unsent
// bytes are bounded by the options; a request over a bound gets 400, 408, 413
// or 503 with figrack's error JSON and the connection is closed. What all
// connections hold together is bounded by the PeerBudget, which servers of one
// process share (core/peerbudget.h). Pipelined
// requests are answered in order. write() suspends while the peer reads slowly
// and fails after writeTimeout. A response header "Connection: close" ends the
// connection after that answer. An exception out of a handler is logged and answered by 500.
//
// The handler may still be running when the Server is destroyed: run the context
// to its end, or stop its threads, before what the handler refers to goes away.

#ifndef FIGRACK_HTTP_SERVER_H
#define FIGRACK_HTTP_SERVER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/error.h"
#include "core/peerbudget.h"
#include "core/settings.h"
#include "http/message.h"

namespace figrack::http {

struct ServerOptions
{
    std::size_t maxConnections
            = 4096; ///< Without a shared PeerBudget, which has a limit of its own.
    std::size_t maxHeaderBytes = 16U << 10;
    std::size_t maxBodyBytes = 4U << 20;
    Duration headerTimeout = std::chrono::seconds { 10 }; ///< From first byte to whole header.
    Duration bodyTimeout = std::chrono::seconds { 30 };
    Duration idleTimeout = std::chrono::seconds { 60 };  ///< Between requests.
    Duration writeTimeout = std::chrono::seconds { 30 }; ///< A peer that does not read.
    /// Of each connection's socket, as the kernel is asked for it: bytes that have arrived and are
    /// not read yet take memory, too.
    std::size_t receiveBuffer = 64U << 10;
    /// Large answers count in the budget, and 503 is sent instead of one that has no room. Only for
    /// handlers whose requests may be asked again.
    bool mayWithholdAnswers = false;
    std::string certificateFile; ///< PEM; with keyFile, the listener speaks TLS.
    std::string keyFile;
};

/// The one answer to one request.
class Responder
{
public:
    virtual ~Responder() = default;
    /// Sends a whole answer. @return EndpointFailed when the peer is gone
    virtual auto send(Response response) -> boost::asio::awaitable<absl::Status> = 0;
    /// Sends status and headers; chunks follow.
    virtual auto startStream(std::uint32_t status, Headers headers)
            -> boost::asio::awaitable<absl::Status> = 0;
    virtual auto write(std::string chunk) -> boost::asio::awaitable<absl::Status> = 0;
    /// Ends a stream whole. Without it the connection is cut, so that the peer sees a broken one.
    virtual auto finish() -> boost::asio::awaitable<absl::Status> = 0;
    /// @return true once the peer has closed its connection; noticed while the handler waits
    virtual auto peerGone() const -> bool = 0;
    /// Called once, on the connection's strand, when the peer goes away before the answer ended.
    virtual auto onPeerGone(std::function<void()> callback) -> void = 0;
    virtual auto started() const -> bool = 0;
};

using Handler = std::function<boost::asio::awaitable<void>(const Request &, Responder &)>;

class Server
{
public:
    /// @param budget shared by the servers of a process; nullptr: one of its own, which bounds the
    /// memory only
    Server(boost::asio::io_context &context, ServerOptions options, Handler handler,
           std::shared_ptr<PeerBudget> budget = nullptr);
    ~Server();
    /// @return BadSettings when the address cannot be bound or the certificate not read
    auto start(const Address &listen) -> absl::Status;
    /// @return the bound port
    auto port() const -> std::uint16_t;
    /// Stops accepting and closes idle connections; requests in progress go on.
    auto stopAccepting() -> void;
    /// @return requests whose handler has not returned
    auto inProgress() const -> std::size_t;
    /// Closes everything.
    auto stop() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// figrack's error JSON; see docs/API.md.
/// @param status an error
/// @param ran "not_run", "unknown" or empty where no work is concerned
/// @param retryAfterMs when to come back, ms; negative for never
/// @param retryAt addresses to try, "ip:port"
/// @return the response with Retry-After, X-Figrack-Ran and the body
auto errorResponse(const absl::Status &status, std::string_view ran = {},
                   std::int64_t retryAfterMs = -1, const std::vector<std::string> &retryAt = {})
        -> Response;

/// @return the HTTP status of an error kind, as docs/API.md lists them
auto httpStatus(ErrorKind kind) -> std::uint32_t;

} // namespace figrack::http

#endif // FIGRACK_HTTP_SERVER_H
