// Reading is one coroutine; writing gathers everything queued into one system call.
// A body is sealed when it enters the queue on the strand, so that numbers and queue
// are in one order.
//
// Silence is counted in ticks rather than measured by a clock: a process that was
// stopped and goes on sees one late tick, reads what waits, and keeps its peers.

#include "proto/connection.h"

#include <algorithm>
#include <netinet/tcp.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "core/error.h"
#include "core/log.h"
#include "proto/codec.h"

namespace figrack::proto {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto ticksPerIdleTimeout = 3;
/// A frame's buffer begins with this size and doubles as bytes arrive.
constexpr auto firstFrameBytes = std::size_t { 16 } << 10;
constexpr auto maxHandshakeFrameBytes = std::size_t { 1024 };

auto setSocketOptions(asio::ip::tcp::socket &socket, Duration userTimeout) -> void
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout).count();
    // A socket that broke meanwhile shows that at its first read.
    auto ignored = error_code {};
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(millis)), ignored);
}

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, Strand strand, ChannelOptions options,
                       PeerHandler handler, Role role, std::string remote)
    : socket_(std::move(socket))
    , strand_(std::move(strand))
    , options_(std::move(options))
    , handler_(std::move(handler))
    , role_(role)
    , remote_(std::move(remote))
    , timer_(strand_)
{
    setSocketOptions(socket_, options_.idleTimeout);
}

auto Connection::run() -> asio::awaitable<absl::Status>
{
    const auto self = shared_from_this();
    auto status = co_await handshake();
    if (status.ok() && !finished_) {
        wasOpen_ = true;
        open_ = true;
        startTicks();
        if (handler_.onOpen && !silent_)
            handler_.onOpen(self);
        status = co_await receiveMessages();
    }
    finish(status);
    if (wasOpen_ && handler_.onClose && !silent_)
        handler_.onClose(self, status_);
    co_return status_;
}

auto Connection::handshake() -> asio::awaitable<absl::Status>
{
    timer_.expires_after(options_.handshakeTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
        // The timer may have fired just before it was cancelled.
        if (!error && !self->wasOpen_)
            self->finish(makeError(ErrorKind::Timeout, "handshake peer=" + self->remote_));
    });
    const auto transcript = co_await exchangeHellos();
    if (!transcript.ok())
        co_return transcript.status();
    auto key = absl::StatusOr<std::string> {};
    if (role_ == Role::Client)
        key = co_await proveAsClient(*transcript);
    else
        key = co_await proveAsServer(*transcript);
    if (!key.ok())
        co_return key.status();
    timer_.cancel();
    const auto other = role_ == Role::Client ? Role::Server : Role::Client;
    sealer_ = FrameSealer { *key, role_, *transcript };
    opener_ = FrameOpener { *key, other, *transcript };
    co_return absl::OkStatus();
}

auto Connection::exchangeHellos() -> asio::awaitable<absl::StatusOr<std::string>>
{
    const auto own = makeHello(options_.version, options_.self);
    if (auto status = co_await writeFrame(encodeHello(own)); !status.ok())
        co_return status;
    const auto bytes = co_await readFrame(maxHandshakeFrameBytes);
    if (!bytes.ok())
        co_return bytes.status();
    const auto theirs = decodeHello(*bytes, options_.version);
    if (!theirs.ok())
        co_return makeError(errorKind(theirs.status()),
                            fmt::format("peer={} {}", remote_,
                                        std::string_view { errorArgument(theirs.status()) }));
    peer_ = theirs->name;
    co_return role_ == Role::Client ? transcriptOf(own, *theirs) : transcriptOf(*theirs, own);
}

auto Connection::proveAsClient(const std::string &transcript)
        -> asio::awaitable<absl::StatusOr<std::string>>
{
    const auto keys = std::vector { options_.keys->current().front() };
    if (auto status = co_await writeFrame(proofOf(keys[0], role_, transcript)); !status.ok())
        co_return status;
    const auto proof = co_await readFrame(maxHandshakeFrameBytes);
    if (!proof.ok())
        co_return proof.status();
    if (proof->empty())
        co_return makeError(ErrorKind::AuthFailed,
                            fmt::format("peer={} refused our key", peer_.value()));
    co_return verifyProof(keys, Role::Server, transcript, *proof);
}

auto Connection::proveAsServer(const std::string &transcript)
        -> asio::awaitable<absl::StatusOr<std::string>>
{
    const auto proof = co_await readFrame(maxHandshakeFrameBytes);
    if (!proof.ok())
        co_return proof.status();
    auto key = verifyProof(options_.keys->current(), Role::Client, transcript, *proof);
    const auto answer = key.ok() ? proofOf(*key, role_, transcript) : std::string {};
    if (auto status = co_await writeFrame(answer); !status.ok())
        co_return status;
    co_return key;
}

auto Connection::receiveMessages() -> asio::awaitable<absl::Status>
{
    while (!finished_) {
        const auto frame = co_await readFrame(maxSealedBytes);
        if (!frame.ok())
            co_return frame.status();
        const auto body = opener_.open(*frame);
        if (!body.ok())
            co_return body.status();
        if (auto status = dispatch(*body); !status.ok())
            co_return status;
    }
    co_return status_;
}

auto Connection::dispatch(std::string_view body) -> absl::Status
{
    // An empty body is a ping: that it came is all it says.
    if (body.empty())
        return absl::OkStatus();
    auto envelope = decodeEnvelope(body);
    if (!envelope.ok())
        return envelope.status();
    if (handler_.onMessage && !silent_ && !finished_)
        handler_.onMessage(shared_from_this(), *std::move(envelope));
    return absl::OkStatus();
}

auto Connection::readFrame(std::size_t maxBytes) -> asio::awaitable<Bytes>
{
    auto error = error_code {};
    auto prefix = std::string(frameLengthBytes, '\0');
    co_await asio::async_read(socket_, asio::buffer(prefix),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return failure(error.message());
    const auto length = std::size_t { decodeLength(prefix) };
    if (length > maxBytes)
        co_return makeError(ErrorKind::Malformed,
                            fmt::format("peer={} announces a frame of {} bytes", remote_, length));
    auto frame = std::string {};
    // Bytes are a sign of life, not only whole frames: a large one on a slow link takes longer than
    // a peer may be silent.
    for (auto got = std::size_t { 0 }; got < length && !error;) {
        // Memory grows with what has come, not with what the peer states.
        if (got == frame.size())
            frame.resize(std::min(length, std::max(2 * got, firstFrameBytes)));
        got += co_await socket_.async_read_some(asio::buffer(frame) + got,
                                                asio::redirect_error(asio::use_awaitable, error));
        silentTicks_ = 0;
    }
    if (error)
        co_return failure(error.message());
    co_return frame;
}

auto Connection::writeFrame(std::string body) -> asio::awaitable<absl::Status>
{
    const auto frame = encodeLength(static_cast<std::uint32_t>(body.size())) + body;
    auto error = error_code {};
    co_await asio::async_write(socket_, asio::buffer(frame),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error ? failure(error.message()) : absl::OkStatus();
}

auto Connection::send(Envelope envelope) -> bool
{
    auto body = encode(envelope);
    if (!reserve(body.size()))
        return false;
    asio::post(strand_,
               [self = shared_from_this(), body = std::move(body)] { self->writeReserved(body); });
    return true;
}

auto Connection::sendShared(const SharedPush &push) -> bool
{
    const auto &body = push.body();
    if (!reserve(body->size()))
        return false;
    asio::post(strand_, [self = shared_from_this(), body] { self->writeReserved(*body); });
    return true;
}

auto Connection::reserve(std::size_t bodyBytes) -> bool
{
    if (!open_ || bodyBytes > maxFrameBytes)
        return false;
    const auto bytes = bodyBytes + frameOverheadBytes;
    if (queuedBytes_.fetch_add(bytes) + bytes <= options_.maxQueuedBytes)
        return true;
    release(bodyBytes);
    return false;
}

auto Connection::writeReserved(std::string_view body) -> void
{
    if (finished_)
        return;
    queue_.push_back(sealer_.seal(body));
    sentSinceTick_ = true;
    if (inFlight_.empty())
        writeQueued();
}

auto Connection::writeQueued() -> void
{
    inFlight_.swap(queue_);
    auto buffers = std::vector<asio::const_buffer> {};
    for (const auto &frame : inFlight_)
        buffers.push_back(asio::buffer(frame));
    asio::async_write(socket_, buffers,
                      asio::bind_executor(
                              strand_, [self = shared_from_this()](error_code error, std::size_t) {
                                  for (const auto &frame : self->inFlight_)
                                      self->queuedBytes_ -= frame.size();
                                  self->inFlight_.clear();
                                  if (error)
                                      self->finish(self->failure(error.message()));
                                  else if (!self->queue_.empty())
                                      self->writeQueued();
                              }));
}

auto Connection::startTicks() -> void
{
    timer_.expires_after(options_.idleTimeout / ticksPerIdleTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->finished_)
            self->onTick();
    });
}

auto Connection::onTick() -> void
{
    if (silentTicks_++ >= ticksPerIdleTimeout) {
        finish(makeError(ErrorKind::Timeout, fmt::format("peer={} is silent", peer_.value())));
        return;
    }
    // When the queue is full the peer will hear enough.
    if (!sentSinceTick_ && reserve(0))
        writeReserved({});
    sentSinceTick_ = false;
    startTicks();
}

auto Connection::close() -> void
{
    open_ = false;
    asio::post(strand_, [self = shared_from_this()] {
        self->finish(makeError(ErrorKind::Cancelled, "closed here"));
    });
}

auto Connection::finish(const absl::Status &status) -> void
{
    open_ = false;
    if (finished_)
        return;
    finished_ = true;
    status_ = status;
    timer_.cancel();
    auto ignored = error_code {};
    socket_.close(ignored);
}

auto Connection::failure(std::string_view what) const -> absl::Status
{
    const auto &name = peer_.empty() ? remote_ : peer_.value();
    return makeError(ErrorKind::EndpointFailed, fmt::format("peer={} {}", name, what));
}

} // namespace figrack::proto
