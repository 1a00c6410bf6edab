// Authenticated, framed TCP connections between figrack's processes.
//
//   auto server = PeerServer { context, options, handler };
//   server.start();
//   auto client = PeerClient { context, options, address, handler };
//   client.call(ClaimRequest { ... }, timeout, [](absl::StatusOr<Payload> reply) { ... });
//   client.push(DemandReport { ... });
//
// Handshake: both sides send version, name and a nonce, then prove the shared
// key by an HMAC over both nonces; each later frame carries an HMAC over its
// sequence number and body under a key derived for that connection. Another
// version, a wrong key, a replayed or altered frame ends the connection with a
// logged error that names the remedy.
//
// Guarantees: a connection's send queue is bounded by maxQueuedBytes; past it
// call() fails with Overloaded and push() drops and counts. A call ends exactly
// once: with its reply, Timeout, or EndpointFailed when the connection breaks.
// Handlers run on the channel's strand; hand long work to the pool. All functions
// are safe from any thread. Requests go from the client to the server; either
// side pushes. A connection on which nothing came for idleTimeout is closed.
//
// Handlers often refer to their owner: stop() lets no further handler begin, but
// one may be running on another thread. Stop the io_context's threads before what
// the handlers refer to goes away.

#ifndef FIGRACK_PROTO_CHANNEL_H
#define FIGRACK_PROTO_CHANNEL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/clock.h"
#include "core/ids.h"
#include "core/peerbudget.h"
#include "core/settings.h"
#include "proto/dialbackoff.h"
#include "proto/messages.h"
#include "proto/sharedpush.h"

namespace boost::asio {
class io_context;
}

namespace figrack::proto {

/// Keys that authenticate peers; the first signs, all verify, so that keys rotate.
/// Reloaded from the file when it changes, without a restart.
class PeerKeys
{
public:
    /// @param path a file with one hexadecimal key of 32 bytes or more a line
    /// @return the keys, or BadSettings
    static auto fromFile(const std::string &path) -> absl::StatusOr<std::shared_ptr<PeerKeys>>;
    static auto fromText(std::string_view text) -> absl::StatusOr<std::shared_ptr<PeerKeys>>;
    virtual ~PeerKeys() = default;
    /// @return the keys in force, the signing one first
    virtual auto current() const -> std::vector<std::string> = 0;
};

struct ChannelOptions
{
    NodeId self;
    std::shared_ptr<PeerKeys> keys;
    std::uint32_t version = protocolVersion; ///< Other values only in tests.
    std::size_t maxQueuedBytes = 32U << 20;
    std::size_t maxConnections = 4096;   ///< Server only.
    std::size_t maxPendingCalls = 65536; ///< Client only; past it call() fails with Overloaded.
    Duration handshakeTimeout = std::chrono::seconds { 2 };
    Duration idleTimeout = std::chrono::seconds { 10 }; ///< Pings go at a third of it.
    DialBackoffOptions dial;                            ///< Client only.
};

/// @return options for a fleet whose processes are milliseconds apart: a peer that is silent for
/// three seconds is lost, and so is one that does not answer the dial within one
auto fleetChannel(NodeId self, std::shared_ptr<PeerKeys> keys) -> ChannelOptions;

/// One accepted or dialled connection, as handlers see it.
class PeerConnection
{
public:
    virtual ~PeerConnection() = default;
    virtual auto peer() const -> const NodeId & = 0;
    /// Sends a push, or the reply to a request. Never blocks.
    /// @return false when the queue is full or the connection gone
    virtual auto send(Envelope envelope) -> bool = 0;
    /// The same for a push that goes to many connections.
    virtual auto sendShared(const SharedPush &push) -> bool { return send(push.envelope()); }
    virtual auto close() -> void = 0;
    virtual auto isOpen() const -> bool = 0;
};

using PeerPointer = std::shared_ptr<PeerConnection>;

/// What a process does with what its peers send.
struct PeerHandler
{
    std::function<void(const PeerPointer &)> onOpen; ///< May be empty.
    /// Requests and pushes; may be empty.
    std::function<void(const PeerPointer &, Envelope)> onMessage;
    std::function<void(const PeerPointer &, const absl::Status &)> onClose; ///< May be empty.
};

/// Accepts connections from peers.
class PeerServer
{
public:
    /// @param budget counts connections until their peers have proved a key, and may end them until
    /// then; nullptr: only ChannelOptions::maxConnections bounds them
    PeerServer(boost::asio::io_context &context, ChannelOptions options, PeerHandler handler,
               std::shared_ptr<PeerBudget> budget = nullptr);
    ~PeerServer();
    /// Binds and listens. @return BadSettings when the address cannot be bound
    auto start(const Address &listen) -> absl::Status;
    /// @return the port bound, for tests that listen on port 0
    auto port() const -> std::uint16_t;
    /// Stops accepting and closes every connection.
    auto stop() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Keeps one connection to a peer, dialling again when it breaks.
class PeerClient
{
public:
    using ReplyHandler = std::function<void(absl::StatusOr<Payload>)>;
    PeerClient(boost::asio::io_context &context, ChannelOptions options, Address address,
               PeerHandler handler);
    ~PeerClient();
    auto start() -> void;
    /// Closes the connection; calls that wait end with EndpointFailed.
    auto stop() -> void;
    auto isOpen() const -> bool;
    /// @param payload the request
    /// @param timeout after which done gets Timeout
    /// @param done called once, on the channel's strand; a Failure payload arrives as its error
    auto call(Payload payload, Duration timeout, ReplyHandler done) -> void;
    /// @return false when the queue is full or no connection is open
    auto push(Payload payload) -> bool;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_CHANNEL_H
