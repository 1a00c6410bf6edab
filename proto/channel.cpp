// PeerServer and PeerClient around Connection. Both keep their state in a shared
// Impl that the coroutines hold, so that destroying the face is safe at any time.

#include "proto/channel.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <unordered_map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "core/boottimer.h"
#include "core/check.h"
#include "core/crypto.h"
#include "core/log.h"
#include "core/random.h"
#include "core/serial.h"
#include "proto/codec.h"
#include "proto/connection.h"

namespace figrack::proto {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using ConnectionPointer = std::shared_ptr<Connection>;

constexpr auto acceptRetryDelay = std::chrono::milliseconds { 100 };

auto endpointOf(const Address &address) -> absl::StatusOr<tcp::endpoint>
{
    auto error = error_code {};
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        return makeError(ErrorKind::BadSettings, "address=" + address.text());
    return tcp::endpoint { ip, address.port };
}

auto textOf(const tcp::endpoint &endpoint) -> std::string
{
    return Address { endpoint.address().to_string(), endpoint.port() }.text();
}

/// A peer that leaves or cannot be reached is ordinary; one that may not connect is a fault.
auto levelOf(const absl::Status &status) -> LogLevel
{
    switch (errorKind(status)) {
    case ErrorKind::AuthFailed:
    case ErrorKind::VersionMismatch:
    case ErrorKind::Malformed:
        return LogLevel::Error;
    case ErrorKind::Cancelled:
        return LogLevel::Debug;
    default:
        return LogLevel::Info;
    }
}

auto randomSeed() -> std::uint64_t
{
    auto seed = std::uint64_t { 0 };
    FIGRACK_CHECK(deserialize(secureRandom(sizeof(seed)), seed).ok(), "eight bytes are a number");
    return seed;
}

} // namespace

class PeerServer::Impl : public std::enable_shared_from_this<Impl>
{
    /// Of a connection whose peer has not proved a key.
    using AccountPointer = std::unique_ptr<PeerBudget::Account>;

public:
    Impl(asio::io_context &context, ChannelOptions options, PeerHandler handler,
         std::shared_ptr<PeerBudget> budget)
        : context_(context)
        , options_(std::move(options))
        , handler_(std::move(handler))
        , budget_(std::move(budget))
        , strand_(asio::make_strand(context))
        , acceptor_(strand_)
        , retryTimer_(strand_)
    { }

    auto start(const Address &listen) -> absl::Status
    {
        const auto endpoint = endpointOf(listen);
        if (!endpoint.ok())
            return endpoint.status();
        auto error = error_code {};
        acceptor_.open(endpoint->protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(*endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return makeError(ErrorKind::BadSettings,
                             fmt::format("listen={} {}", listen.text(), error.message()));
        port_ = acceptor_.local_endpoint().port();
        asio::co_spawn(strand_, acceptLoop(), asio::detached);
        return absl::OkStatus();
    }

    auto port() const -> std::uint16_t { return port_; }

    auto stop() -> void
    {
        asio::post(strand_, [self = shared_from_this()] {
            auto ignored = error_code {};
            self->acceptor_.close(ignored);
            self->retryTimer_.cancel();
        });
        const auto lock = std::lock_guard { mutex_ };
        stopped_ = true;
        for (const auto &connection : connections_) {
            connection->silence();
            connection->close();
        }
    }

private:
    auto acceptLoop() -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        while (acceptor_.is_open()) {
            auto error = error_code {};
            auto strand = asio::make_strand(context_);
            auto socket = co_await acceptor_.async_accept(
                    strand, asio::redirect_error(asio::use_awaitable, error));
            if (!error)
                admit(std::move(socket), strand);
            else if (acceptor_.is_open())
                co_await waitForDescriptors(error);
        }
    }

    /// Accepting fails when descriptors run out: going on at once would burn a core.
    auto waitForDescriptors(error_code why) -> asio::awaitable<void>
    {
        LogEvent(LogLevel::Error, "accept_failed").with("reason", why.message());
        auto ignored = error_code {};
        retryTimer_.expires_after(acceptRetryDelay);
        co_await retryTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    auto admit(tcp::socket socket, const Strand &strand) -> void
    {
        auto error = error_code {};
        const auto remote = textOf(socket.remote_endpoint(error));
        const auto account = std::make_shared<AccountPointer>();
        auto handler = handler_;
        handler.onOpen = [account, onOpen = handler_.onOpen](const PeerPointer &peer) {
            account->reset();
            if (onOpen)
                onOpen(peer);
        };
        const auto connection = std::make_shared<Connection>(
                std::move(socket), strand, options_, std::move(handler), Role::Server, remote);
        *account = openAccount(connection);
        {
            const auto lock = std::lock_guard { mutex_ };
            if (stopped_ || (budget_ && !*account)
                || connections_.size() >= options_.maxConnections) {
                LogEvent(LogLevel::Warning, "peer_refused").with("remote", remote);
                return;
            }
            connections_.insert(connection);
        }
        asio::co_spawn(strand, serve(connection, remote), asio::detached);
    }

    auto openAccount(const std::weak_ptr<Connection> &connection) -> AccountPointer
    {
        if (!budget_)
            return nullptr;
        return budget_->open([connection](EndReason) {
            if (const auto open = connection.lock())
                open->close();
        });
    }

    auto serve(ConnectionPointer connection, std::string remote) -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        const auto status = co_await connection->run();
        LogEvent(levelOf(status), "peer_left")
                .with("remote", remote)
                .with("peer", connection->peer())
                .with(status);
        const auto lock = std::lock_guard { mutex_ };
        connections_.erase(connection);
    }

    asio::io_context &context_;
    const ChannelOptions options_;
    const PeerHandler handler_;
    const std::shared_ptr<PeerBudget> budget_; ///< May be empty.
    Strand strand_;
    tcp::acceptor acceptor_;
    BootTimer retryTimer_;
    std::uint16_t port_ = 0;
    std::mutex mutex_; ///< Guards what follows. A leaf: no other lock is taken under it.
    std::set<ConnectionPointer> connections_;
    bool stopped_ = false;
};

PeerServer::PeerServer(asio::io_context &context, ChannelOptions options, PeerHandler handler,
                       std::shared_ptr<PeerBudget> budget)
    : impl_(std::make_shared<Impl>(context, std::move(options), std::move(handler),
                                   std::move(budget)))
{ }

PeerServer::~PeerServer()
{
    impl_->stop();
}

auto PeerServer::start(const Address &listen) -> absl::Status
{
    return impl_->start(listen);
}

auto PeerServer::port() const -> std::uint16_t
{
    return impl_->port();
}

auto PeerServer::stop() -> void
{
    impl_->stop();
}

class PeerClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, ChannelOptions options, Address address, PeerHandler handler)
        : options_(std::move(options))
        , address_(std::move(address))
        , handler_(std::move(handler))
        , strand_(asio::make_strand(context))
        , timer_(strand_)
        , backoff_(options_.dial)
        , random_(randomSeed())
    { }

    auto start() -> void { asio::co_spawn(strand_, keepConnected(), asio::detached); }

    auto stop() -> void
    {
        stopped_ = true;
        if (const auto connection = current()) {
            connection->silence();
            connection->close();
        }
        asio::post(strand_, [self = shared_from_this()] {
            self->timer_.cancel();
            if (self->dialling_ != nullptr)
                self->closeDialling();
            self->failPending("this client was stopped");
        });
    }

    auto isOpen() const -> bool
    {
        const auto connection = current();
        return connection && connection->isOpen();
    }

    auto call(Payload payload, Duration timeout, ReplyHandler done) -> void
    {
        const auto correlation = nextCorrelation_++;
        auto body = encode(Envelope { correlation, std::move(payload) });
        const auto connection = current();
        const auto refusal = refusalOf(connection, body.size());
        asio::post(strand_,
                   [self = shared_from_this(), correlation, timeout, refusal, connection,
                    body = std::move(body), done = std::move(done)]() mutable {
                       if (!refusal.ok())
                           done(refusal);
                       else
                           self->sendCall(correlation, timeout, connection, body, std::move(done));
                   });
    }

    auto push(Payload payload) -> bool
    {
        const auto connection = current();
        return connection && connection->send(Envelope { 0, std::move(payload) });
    }

private:
    struct PendingCall
    {
        ReplyHandler done;
        std::unique_ptr<BootTimer> timer;
    };

    auto current() const -> ConnectionPointer
    {
        const auto lock = std::lock_guard { mutex_ };
        return connection_;
    }

    auto setCurrent(ConnectionPointer connection) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        connection_ = std::move(connection);
    }

    /// Why a call cannot be sent; when OK, its room in the queue is taken.
    auto refusalOf(const ConnectionPointer &connection, std::size_t bodyBytes) const -> absl::Status
    {
        if (!connection || !connection->isOpen())
            return makeError(ErrorKind::EndpointFailed,
                             fmt::format("peer={} is not connected", address_.text()));
        if (bodyBytes > maxFrameBytes)
            return makeError(ErrorKind::TooLarge, fmt::format("message bytes={}", bodyBytes));
        if (!connection->reserve(bodyBytes))
            return makeError(ErrorKind::Overloaded,
                             fmt::format("peer={} send queue", address_.text()));
        return absl::OkStatus();
    }

    auto sendCall(std::uint64_t correlation, Duration timeout, const ConnectionPointer &connection,
                  std::string_view body, ReplyHandler done) -> void
    {
        // The connection may have broken, even come back, since the room was taken.
        if (!connection->isOpen() || connection != current()) {
            done(makeError(ErrorKind::EndpointFailed,
                           fmt::format("peer={} connection broke", address_.text())));
            return;
        }
        if (pending_.size() >= options_.maxPendingCalls) {
            connection->release(body.size());
            done(makeError(ErrorKind::Overloaded,
                           fmt::format("peer={} pending calls", address_.text())));
            return;
        }
        auto timer = std::make_unique<BootTimer>(strand_, timeout);
        timer->async_wait([self = shared_from_this(), correlation](error_code error) {
            if (!error)
                self->endCall(correlation,
                              makeError(ErrorKind::Timeout, "peer=" + self->address_.text()));
        });
        pending_.emplace(correlation, PendingCall { std::move(done), std::move(timer) });
        connection->writeReserved(body);
    }

    auto endCall(std::uint64_t correlation, absl::StatusOr<Payload> result) -> void
    {
        // Not found: it ended before, by its timeout or its reply.
        auto node = pending_.extract(correlation);
        if (!node.empty())
            node.mapped().done(std::move(result));
    }

    auto failPending(std::string_view why) -> void
    {
        auto calls = std::move(pending_);
        pending_.clear();
        for (auto &[correlation, call] : calls)
            call.done(makeError(ErrorKind::EndpointFailed,
                                fmt::format("peer={} {}", address_.text(), why)));
    }

    auto onMessage(const PeerPointer &peer, Envelope envelope) -> void
    {
        if (envelope.correlation == 0) {
            if (handler_.onMessage)
                handler_.onMessage(peer, std::move(envelope));
        } else if (const auto *failure = std::get_if<Failure>(&envelope.payload)) {
            endCall(envelope.correlation, errorOf(*failure));
        } else {
            endCall(envelope.correlation, std::move(envelope.payload));
        }
    }

    static auto errorOf(const Failure &failure) -> absl::Status
    {
        if (failure.kind == ErrorKind::Ok)
            return makeError(ErrorKind::Internal, "a failure without a kind");
        if (failure.leader.empty())
            return makeError(failure.kind, failure.argument);
        return makeError(failure.kind,
                         fmt::format("{}{}leader={}", failure.argument,
                                     failure.argument.empty() ? "" : " ", failure.leader.value()));
    }

    /// Dials, runs the connection till it ends, waits, dials again.
    auto keepConnected() -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        while (!stopped_) {
            auto wasOpen = false;
            const auto status = co_await connectAndRun(wasOpen);
            report(status, wasOpen);
            if (wasOpen)
                backoff_.onOpened();
            else
                backoff_.onFailed();
            if (!stopped_)
                co_await pause(backoff_.pause());
        }
    }

    auto connectAndRun(bool &wasOpen) -> asio::awaitable<absl::Status>
    {
        auto socket = tcp::socket { strand_ };
        if (auto status = co_await dial(socket); !status.ok())
            co_return status;
        // Weak: this owns the connection, which owns its handler.
        auto inner = handler_;
        inner.onMessage = [weak = weak_from_this()](const PeerPointer &peer, Envelope envelope) {
            if (const auto self = weak.lock())
                self->onMessage(peer, std::move(envelope));
        };
        const auto connection
                = std::make_shared<Connection>(std::move(socket), strand_, options_,
                                               std::move(inner), Role::Client, address_.text());
        setCurrent(connection);
        // stop() may have come before there was a connection to close.
        if (stopped_) {
            connection->silence();
            connection->close();
        }
        auto status = co_await connection->run();
        wasOpen = connection->wasOpen();
        setCurrent(nullptr);
        failPending("connection broke");
        co_return status;
    }

    auto dial(tcp::socket &socket) -> asio::awaitable<absl::Status>
    {
        const auto endpoint = endpointOf(address_);
        if (!endpoint.ok())
            co_return endpoint.status();
        dialling_ = &socket;
        timer_.expires_after(backoff_.patience());
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
                self->closeDialling();
        });
        auto error = error_code {};
        co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        dialling_ = nullptr;
        timer_.cancel();
        if (error || !socket.is_open())
            co_return makeError(ErrorKind::EndpointFailed,
                                fmt::format("peer={} {}", address_.text(), error.message()));
        co_return absl::OkStatus();
    }

    auto closeDialling() -> void
    {
        if (dialling_ == nullptr)
            return;
        auto ignored = error_code {};
        dialling_->close(ignored);
    }

    /// Waits between half of the delay and all of it, so that peers do not come back in step.
    auto pause(Duration delay) -> asio::awaitable<void>
    {
        const auto half = static_cast<std::uint64_t>(delay.count()) / 2;
        auto ignored = error_code {};
        timer_.expires_after(
                Duration { static_cast<std::int64_t>(half + random_.below(half + 1)) });
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Logs an end of a connection, and a failure to connect when it is another than the last.
    auto report(const absl::Status &status, bool wasOpen) -> void
    {
        const auto kind = errorKind(status);
        const auto repeated = !wasOpen && kind == lastFailure_;
        lastFailure_ = wasOpen ? ErrorKind::Ok : kind;
        if (repeated || stopped_)
            return;
        LogEvent(levelOf(status), wasOpen ? "peer_lost" : "peer_unreachable")
                .with("address", address_.text())
                .with(status);
    }

    const ChannelOptions options_;
    const Address address_;
    const PeerHandler handler_;
    Strand strand_;
    std::atomic<bool> stopped_ { false };
    std::atomic<std::uint64_t> nextCorrelation_ { 1 };
    mutable std::mutex mutex_; ///< Guards connection_. A leaf: no other lock is taken under it.
    ConnectionPointer connection_;

    // What follows is used on the strand only.
    BootTimer timer_;
    tcp::socket *dialling_ = nullptr; ///< The socket that is connecting, for the timer to close.
    DialBackoff backoff_;
    Random random_;
    std::unordered_map<std::uint64_t, PendingCall> pending_;
    ErrorKind lastFailure_ = ErrorKind::Ok;
};

PeerClient::PeerClient(asio::io_context &context, ChannelOptions options, Address address,
                       PeerHandler handler)
    : impl_(std::make_shared<Impl>(context, std::move(options), std::move(address),
                                   std::move(handler)))
{ }

PeerClient::~PeerClient()
{
    impl_->stop();
}

auto PeerClient::start() -> void
{
    impl_->start();
}

auto PeerClient::stop() -> void
{
    impl_->stop();
}

auto PeerClient::isOpen() const -> bool
{
    return impl_->isOpen();
}

auto PeerClient::call(Payload payload, Duration timeout, ReplyHandler done) -> void
{
    impl_->call(std::move(payload), timeout, std::move(done));
}

auto PeerClient::push(Payload payload) -> bool
{
    return impl_->push(std::move(payload));
}

auto fleetChannel(NodeId self, std::shared_ptr<PeerKeys> keys) -> ChannelOptions
{
    auto options = ChannelOptions {};
    options.self = std::move(self);
    options.keys = std::move(keys);
    options.idleTimeout = std::chrono::seconds { 3 };
    options.handshakeTimeout = std::chrono::seconds { 1 };
    return options;
}

} // namespace figrack::proto
