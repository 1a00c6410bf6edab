// One authenticated connection between two processes, from either side.
//
// Made by PeerServer and PeerClient (proto/channel.h), which co_spawn run() on
// the connection's strand. run() does the handshake, then hands on each message
// until the connection ends.
//
// Guarantees: onOpen and onClose come once each, in this order, or neither when
// the handshake failed; all events come on the strand, none after silence().
// send(), close() and isOpen() are safe from any thread and never block.

#ifndef FIGRACK_PROTO_CONNECTION_H
#define FIGRACK_PROTO_CONNECTION_H

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include "core/boottimer.h"
#include "proto/channel.h"
#include "proto/handshake.h"

namespace figrack::proto {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// @return what may follow the length of a frame at most, once the peer is known
constexpr auto maxSealedBytes = maxFrameBytes + frameOverheadBytes - frameLengthBytes;

class Connection final
    : public PeerConnection
    , public std::enable_shared_from_this<Connection>
{
public:
    /// @param socket connected, on the strand
    /// @param remote the peer's address, for the log
    Connection(boost::asio::ip::tcp::socket socket, Strand strand, ChannelOptions options,
               PeerHandler handler, Role role, std::string remote);

    /// Handshake, then messages, until the end. Runs on the strand.
    /// @return why it ended
    auto run() -> boost::asio::awaitable<absl::Status>;

    auto peer() const -> const NodeId & override { return peer_; }
    auto send(Envelope envelope) -> bool override;
    auto sendShared(const SharedPush &push) -> bool override;
    auto close() -> void override;
    auto isOpen() const -> bool override { return open_; }

    /// Takes room in the send queue. @return false when the queue is full or the connection gone
    auto reserve(std::size_t bodyBytes) -> bool;
    /// Gives back room that reserve() gave.
    auto release(std::size_t bodyBytes) -> void { queuedBytes_ -= bodyBytes + frameOverheadBytes; }
    /// Queues a body for which reserve() gave room. On the strand.
    auto writeReserved(std::string_view body) -> void;
    /// No event comes after this.
    auto silence() -> void { silent_ = true; }
    /// @return true once the handshake has succeeded
    auto wasOpen() const -> bool { return wasOpen_; }

private:
    using Bytes = absl::StatusOr<std::string>;

    auto handshake() -> boost::asio::awaitable<absl::Status>;
    auto exchangeHellos() -> boost::asio::awaitable<absl::StatusOr<std::string>>;
    auto proveAsClient(const std::string &transcript)
            -> boost::asio::awaitable<absl::StatusOr<std::string>>;
    auto proveAsServer(const std::string &transcript)
            -> boost::asio::awaitable<absl::StatusOr<std::string>>;
    auto receiveMessages() -> boost::asio::awaitable<absl::Status>;
    auto dispatch(std::string_view body) -> absl::Status;

    auto readFrame(std::size_t maxBytes) -> boost::asio::awaitable<Bytes>;
    auto writeFrame(std::string body) -> boost::asio::awaitable<absl::Status>;
    auto writeQueued() -> void;
    auto startTicks() -> void;
    auto onTick() -> void;
    auto finish(const absl::Status &status) -> void;
    auto failure(std::string_view what) const -> absl::Status;

    boost::asio::ip::tcp::socket socket_;
    Strand strand_;
    const ChannelOptions options_;
    const PeerHandler handler_;
    const Role role_;
    const std::string remote_;
    NodeId peer_; ///< Set by the handshake, before any event.

    std::atomic<bool> open_ { false };
    std::atomic<bool> silent_ { false };
    std::atomic<std::size_t> queuedBytes_ { 0 };

    // What follows is used on the strand only.
    BootTimer timer_;
    FrameSealer sealer_;
    FrameOpener opener_;
    std::vector<std::string> queue_;    ///< Sealed frames that wait.
    std::vector<std::string> inFlight_; ///< Sealed frames that are being written.
    bool finished_ = false;
    bool wasOpen_ = false;
    bool sentSinceTick_ = false;
    int silentTicks_ = 0; ///< Ticks since anything came.
    absl::Status status_;
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_CONNECTION_H
