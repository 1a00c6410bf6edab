// One coroutine a connection reads a request, runs the handler, and goes round.
// While a handler runs, one read stays outstanding into a buffer of its own:
// pipelined bytes are kept for the next round and the end of the stream tells
// that the peer has gone. The same outstanding read is then the next request's
// first read, so watching costs nothing. A watchdog holds the one deadline that
// applies at any time; a fired watchdog always ends the connection.
//
// A refused request is answered before the close, and the close lingers: bytes
// the peer still sends are read and dropped for a moment, since closing over
// unread bytes would reset the connection and take the answer with it.
//
// What a connection holds is noted in its account of the PeerBudget each time it
// may have grown. The budget may ask a connection to end for another one; a
// request of which a part has come is then refused as not run.

#include "http/server.h"

#include <array>
#include <atomic>
#include <optional>
#include <unordered_map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "core/boottimer.h"
#include "core/log.h"
#include "http/requestparser.h"
#include "http/watchdog.h"

namespace figrack::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<tcp, Strand>;
using TlsStream = asio::ssl::stream<Socket>;
using Acceptor = asio::basic_socket_acceptor<tcp, Strand>;
using Timer = BasicBootTimer<Strand>;

constexpr auto readChunkBytes = std::size_t { 8 } << 10;
constexpr auto lingerTime = std::chrono::seconds { 1 };
constexpr auto lingerBytes = std::size_t { 256 } << 10;
constexpr auto acceptRetryDelay = std::chrono::milliseconds { 20 };
/// Connections over the bound that may be told so at once; more are closed without a word.
constexpr auto maxRejecting = std::size_t { 64 };
/// Of requests and buffers; covered by PeerBudget::connectionBytes.
constexpr auto includedBytes = std::size_t { 16 } << 10;
/// Room is given back by others when they are seen to have stalled.
constexpr auto roomRetryAfterMs = std::int64_t { 1000 };

/// What connections share with their server and keep alive.
struct Shared
{
    ServerOptions options;
    Handler handler;
    std::shared_ptr<PeerBudget> budget;
    std::atomic<std::size_t> connections { 0 };
    std::atomic<std::size_t> rejecting { 0 };
    std::atomic<std::size_t> inProgress { 0 };
    std::atomic<bool> closing { false };
};

/// A connection as the server lists it. Both calls come from any thread.
class ConnectionBase
{
public:
    virtual ~ConnectionBase() = default;
    virtual auto closeIfIdle() -> void = 0;
    virtual auto close() -> void = 0;
    /// Ends the connection, unless a handler has its request.
    virtual auto endForRoom(EndReason reason) -> void = 0;
};

/// Why a request was not read to its end.
struct ReadFailure
{
    absl::Status error;
    std::uint32_t status = 0; ///< 0: the connection ends without a word.
    std::int64_t retryAfterMs = -1;
};

auto silentEnd() -> ReadFailure
{
    return {};
}

auto noRoom() -> ReadFailure
{
    return { makeError(ErrorKind::Overloaded, "memory"), 503, roomRetryAfterMs };
}

auto gone(const error_code &code) -> absl::Status
{
    return makeError(ErrorKind::EndpointFailed, "peer gone reason=" + code.message());
}

/// Header values may hold text from outside: a line break in one would start another header.
auto cleanValue(std::string_view value) -> std::string
{
    auto clean = std::string { value };
    for (auto &letter : clean) {
        if (static_cast<unsigned char>(letter) < ' ' && letter != '\t')
            letter = ' ';
    }
    return clean;
}

auto wantsClose(const Headers &headers) -> bool
{
    return beast::iequals(std::string { findHeader(headers, "Connection") }, "close");
}

/// @return a budget for a server by itself, which leaves the number of connections to its options
auto ownBudget(const ServerOptions &options) -> std::shared_ptr<PeerBudget>
{
    auto result = PeerBudgetOptions {};
    result.maxConnections = options.maxConnections + 1;
    return std::make_shared<PeerBudget>(result, systemClock());
}

template<typename Message>
auto setHeaders(Message &message, const Headers &headers) -> void
{
    for (const auto &header : headers) {
        if (!beast::iequals(header.name, "Connection"))
            message.insert(header.name, cleanValue(header.value));
    }
}

template<typename Stream>
class Connection final
    : public ConnectionBase
    , public Responder
    , public std::enable_shared_from_this<Connection<Stream>>
{
public:
    Connection(asio::io_context &context, Stream stream, std::shared_ptr<Shared> shared,
               std::string remoteIp)
        : context_(context)
        , stream_(std::move(stream))
        , wake_(socket().get_executor())
        , shared_(std::move(shared))
        , remoteIp_(std::move(remoteIp))
    { }

    /// Before run(). @param account empty: the connection is refused
    auto setAccount(std::unique_ptr<PeerBudget::Account> account) -> void
    {
        account_ = std::move(account);
    }

    auto run() -> asio::awaitable<void>
    {
        watchdog_ = Watchdog::make(context_, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                asio::post(self->socket().get_executor(), [self] { self->onTimeout(); });
        });
        if (co_await handshake()) {
            if (account_) {
                co_await serve();
            } else {
                auto failure = ReadFailure { makeError(ErrorKind::Overloaded, "connections"), 503 };
                co_await refuse(std::move(failure));
            }
            co_await linger();
        }
        closeNow();
        watchdog_->stop();
        account_.reset();
    }

    auto closeIfIdle() -> void override
    {
        asio::post(socket().get_executor(), [self = this->shared_from_this()] {
            // Cancelled rather than closed: the read may have its bytes already, unreported.
            auto code = error_code {};
            self->stopsIdle_ = self->idle_ && self->reading_;
            if (self->stopsIdle_)
                self->socket().cancel(code);
        });
    }

    auto close() -> void override
    {
        asio::post(socket().get_executor(),
                   [self = this->shared_from_this()] { self->closeNow(); });
    }

    auto endForRoom(EndReason reason) -> void override
    {
        asio::post(socket().get_executor(), [self = this->shared_from_this(), reason] {
            // A handler may have got the request meanwhile, or the peer taken the answer.
            if (!self->open_ || !self->account_ || !self->account_->isEnded())
                return;
            if (self->writing_)
                return self->resetNow();
            self->endedFor_ = reason;
            if (self->waiting_)
                self->wake_.cancel();
        });
    }

    auto send(Response response) -> asio::awaitable<absl::Status> override
    {
        if (!holdAnswer(response.body)) {
            response = errorResponse(noRoom().error, {}, roomRetryAfterMs);
            response.status = 503;
        }
        started_ = true;
        keepAlive_ = keepAlive_ && !wantsClose(response.headers) && !shared_->closing;
        auto message = beast::http::response<beast::http::string_body> {};
        message.version(11);
        message.result(response.status);
        setHeaders(message, response.headers);
        message.keep_alive(keepAlive_);
        message.content_length(response.body.size());
        if (!headOnly_)
            message.body() = std::move(response.body);
        auto serializer = beast::http::response_serializer<beast::http::string_body> { message };
        auto code = error_code {};
        beginWrite();
        while (!code && !serializer.is_done()) {
            const auto bytes = co_await beast::http::async_write_some(
                    stream_, serializer, asio::redirect_error(asio::use_awaitable, code));
            noteMoved(bytes);
        }
        finished_ = !code;
        co_return endWrite(code);
    }

    auto startStream(std::uint32_t status, Headers headers)
            -> asio::awaitable<absl::Status> override
    {
        started_ = true;
        keepAlive_ = keepAlive_ && !http10_ && !wantsClose(headers) && !shared_->closing;
        auto message = beast::http::response<beast::http::empty_body> {};
        message.version(11);
        message.result(status);
        setHeaders(message, headers);
        message.keep_alive(keepAlive_);
        if (http10_)
            resetOnClose(true);
        else
            message.chunked(true);
        auto serializer = beast::http::response_serializer<beast::http::empty_body> { message };
        auto code = error_code {};
        beginWrite();
        co_await beast::http::async_write_header(stream_, serializer,
                                                 asio::redirect_error(asio::use_awaitable, code));
        co_return endWrite(code);
    }

    auto write(std::string chunk) -> asio::awaitable<absl::Status> override
    {
        if (chunk.empty() || headOnly_)
            co_return absl::OkStatus(); // An empty chunk would end the body.
        const auto bytes = asio::buffer(chunk);
        if (http10_)
            co_return co_await writeBuffers(bytes);
        co_return co_await writeBuffers(beast::http::make_chunk(bytes));
    }

    auto finish() -> asio::awaitable<absl::Status> override
    {
        auto status = absl::OkStatus();
        if (!http10_ && !headOnly_)
            status = co_await writeBuffers(beast::http::make_chunk_last());
        if (http10_)
            resetOnClose(false);
        finished_ = status.ok();
        co_return status;
    }

    auto peerGone() const -> bool override { return peerGone_; }

    auto onPeerGone(std::function<void()> callback) -> void override
    {
        onGone_ = std::move(callback);
        if (peerGone_)
            tellGone();
    }

    auto started() const -> bool override { return started_; }

private:
    auto socket() -> Socket &
    {
        if constexpr (std::is_same_v<Stream, TlsStream>)
            return stream_.next_layer();
        else
            return stream_;
    }

    auto handshake() -> asio::awaitable<bool>
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            auto code = error_code {};
            watchdog_->arm(shared_->options.headerTimeout);
            writing_ = true;
            co_await stream_.async_handshake(asio::ssl::stream_base::server,
                                             asio::redirect_error(asio::use_awaitable, code));
            writing_ = false;
            co_return watchdog_->disarm() && !code;
        } else {
            co_return true;
        }
    }

    auto serve() -> asio::awaitable<void>
    {
        while (keepAlive_ && open_) {
            auto request = co_await readRequest();
            if (!request)
                co_return;
            co_await answer(*request);
            if (shared_->closing)
                keepAlive_ = false;
        }
    }

    /// @return the next request; nullopt when the connection is to end, any refusal sent
    auto readRequest() -> asio::awaitable<std::optional<Request>>
    {
        const auto &options = shared_->options;
        auto parser = std::optional<RequestParser> {};
        parser.emplace(ParseLimits { options.maxHeaderBytes, options.maxBodyBytes });
        keepAlive_ = false; // Until a whole request says otherwise.
        static_cast<void>(hold(0));
        enter(PeerStage::Idle);
        if (auto failure = co_await readInto(*parser)) {
            parser.reset(); // Its memory is free before the refusal waits for the peer.
            input_ = {};
            static_cast<void>(hold(0));
            if (failure->status != 0)
                co_await refuse(std::move(*failure));
            co_return std::nullopt;
        }
        auto request = parser->take();
        request.remoteIp = remoteIp_;
        keepAlive_ = parser->keepAlive() && !timedOut_;
        http10_ = parser->isHttp10();
        headOnly_ = request.method == "HEAD";
        co_return request;
    }

    /// Reads until the parser has a whole request.
    auto readInto(RequestParser &parser) -> asio::awaitable<std::optional<ReadFailure>>
    {
        const auto &options = shared_->options;
        auto began = false;
        inBody_ = false;
        watchdog_->arm(options.idleTimeout);
        while (true) {
            if (!began && !input_.empty()) {
                began = true;
                watchdog_->arm(options.headerTimeout);
                enter(PeerStage::Receiving);
            }
            input_.erase(0, parser.put(input_));
            if (parser.state() != ParseState::NeedsMore)
                break;
            const auto isBodyNew
                    = parser.hasHeader() && !std::exchange(inBody_, parser.hasHeader());
            if (isBodyNew)
                watchdog_->arm(options.bodyTimeout);
            if (!hold(parser.bodyCapacity()))
                co_return noRoom();
            if (isBodyNew && parser.expectsContinue() && !co_await sendContinue())
                co_return silentEnd();
            idle_ = !began;
            if (idle_ && shared_->closing && !hasUnread())
                co_return silentEnd();
            const auto more = co_await fill();
            idle_ = false;
            if (!more && stopsIdle_ && hasUnread())
                continue;
            if (!more)
                co_return failureOfRead(began);
        }
        inBody_ = false;
        if (!watchdog_->disarm())
            timedOut_ = true;
        if (parser.state() == ParseState::Failed) {
            auto failure = ReadFailure { parser.error(), httpStatus(errorKind(parser.error())) };
            co_return failure;
        }
        if (!hold(parser.bodyCapacity()))
            co_return noRoom();
        co_return std::nullopt;
    }

    auto failureOfRead(bool began) -> ReadFailure
    {
        if (endedFor_ && began)
            return noRoom();
        if (timedOut_ && began)
            return { makeError(ErrorKind::Timeout, "part=request"), 408 };
        return silentEnd();
    }

    auto sendContinue() -> asio::awaitable<bool>
    {
        auto code = error_code {};
        co_await asio::async_write(stream_, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                                   asio::redirect_error(asio::use_awaitable, code));
        co_return !code;
    }

    auto enter(PeerStage stage) -> void
    {
        if (account_)
            account_->enter(stage);
    }

    auto noteMoved(std::size_t bytes) -> void
    {
        if (account_)
            account_->moved(bytes);
    }

    /// Notes what the connection holds. @param bodyBytes memory of the request's body
    /// @return false if there is no room for it
    auto hold(std::size_t bodyBytes) -> bool
    {
        const auto isPaused = inHandler_ && input_.size() > shared_->options.maxHeaderBytes;
        const auto unread = inBody_ || isPaused ? shared_->options.receiveBuffer : 0;
        const auto sum = bodyBytes + input_.capacity() + unread;
        const auto counted = sum > includedBytes ? sum : 0;
        if (account_ && counted != counted_) {
            if (!account_->resize(counted))
                return false;
            counted_ = counted;
        }
        bodyBytes_ = bodyBytes;
        return true;
    }

    /// @return false if the answer has no room and may be withheld
    auto holdAnswer(const std::string &body) -> bool
    {
        const auto isCounted = shared_->options.mayWithholdAnswers && inHandler_;
        return !isCounted || hold(bodyBytes_ + body.capacity());
    }

    auto answer(const Request &request) -> asio::awaitable<void>
    {
        started_ = false;
        finished_ = false;
        onGone_ = nullptr;
        inHandler_ = true;
        enter(PeerStage::Handling);
        startRead();
        ++shared_->inProgress;
        auto failure = std::string {};
        try {
            co_await shared_->handler(request, *this);
        } catch (const std::exception &error) {
            failure = error.what();
        }
        --shared_->inProgress;
        inHandler_ = false;
        onGone_ = nullptr;
        if (!failure.empty())
            LogEvent(LogLevel::Error, "http_handler_failed").with("reason", failure);
        if (!started_)
            co_await send(errorResponse(makeError(ErrorKind::Internal, "no answer"), "unknown"));
        if (!finished_)
            keepAlive_ = false;
        if (!finished_ && http10_)
            resetNow();
    }

    auto refuse(ReadFailure failure) -> asio::awaitable<void>
    {
        keepAlive_ = false;
        timedOut_ = false;
        auto response = errorResponse(failure.error, "not_run", failure.retryAfterMs);
        response.status = failure.status;
        co_await send(std::move(response));
    }

    template<typename Buffers>
    auto writeBuffers(const Buffers &buffers) -> asio::awaitable<absl::Status>
    {
        auto code = error_code {};
        beginWrite();
        co_await asio::async_write(stream_, buffers,
                                   asio::redirect_error(asio::use_awaitable, code));
        co_return endWrite(code);
    }

    auto beginWrite() -> void
    {
        watchdog_->arm(shared_->options.writeTimeout);
        writing_ = true;
        enter(PeerStage::Sending);
    }

    auto endWrite(const error_code &code) -> absl::Status
    {
        writing_ = false;
        enter(inHandler_ ? PeerStage::Handling : PeerStage::Closing);
        const auto inTime = watchdog_->disarm();
        if (!code && inTime)
            return absl::OkStatus();
        keepAlive_ = false;
        if (!peerGone_) {
            peerGone_ = true;
            tellGone();
        }
        return gone(code);
    }

    /// Waits until bytes have come. @return false at the end of the stream or of the time
    auto fill() -> asio::awaitable<bool>
    {
        const auto before = input_.size();
        startRead();
        while (input_.size() == before && !peerGone_ && !timedOut_ && !endedFor_ && open_
               && reading_) {
            auto code = error_code {};
            waiting_ = true;
            wake_.expires_at(Instant::max());
            co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, code));
            waiting_ = false;
        }
        co_return input_.size() > before && !timedOut_ && !endedFor_;
    }

    auto startRead() -> void
    {
        if (reading_ || peerGone_ || !open_ || input_.size() > shared_->options.maxHeaderBytes)
            return;
        reading_ = true;
        stream_.async_read_some(
                asio::buffer(chunk_),
                [self = this->shared_from_this()](const error_code &code, std::size_t bytes) {
                    self->onRead(code, bytes);
                });
    }

    auto onRead(const error_code &code, std::size_t bytes) -> void
    {
        reading_ = false;
        input_.append(chunk_.data(), bytes);
        if (inBody_)
            noteMoved(bytes);
        // A peer that sends on beside its request fills the kernel's buffer, too.
        if (inHandler_ && !hold(bodyBytes_)) {
            resetNow();
            peerGone_ = true;
        }
        const auto isOnlyCancelled = stopsIdle_ && code == asio::error::operation_aborted;
        if (code && !isOnlyCancelled)
            peerGone_ = true;
        else if (inHandler_)
            startRead();
        if (waiting_)
            wake_.cancel();
        if (peerGone_ && inHandler_)
            tellGone();
    }

    /// @return true when bytes of a request have reached this machine
    auto hasUnread() -> bool
    {
        auto code = error_code {};
        return !input_.empty() || socket().available(code) > 0;
    }

    auto tellGone() -> void
    {
        if (const auto callback = std::exchange(onGone_, nullptr))
            callback();
    }

    auto onTimeout() -> void
    {
        timedOut_ = true;
        if (writing_)
            resetNow();
        else if (waiting_)
            wake_.cancel();
    }

    /// Says that no more comes, then reads away what the peer still sends, within bounds.
    auto linger() -> asio::awaitable<void>
    {
        if (!open_ || peerGone_ || endedFor_ == EndReason::Connections)
            co_return;
        endedFor_.reset();
        enter(PeerStage::Closing);
        auto code = error_code {};
        watchdog_->arm(lingerTime);
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            writing_ = true;
            co_await stream_.async_shutdown(asio::redirect_error(asio::use_awaitable, code));
            writing_ = false;
        } else {
            socket().shutdown(tcp::socket::shutdown_send, code);
            timedOut_ = false;
            auto dropped = std::size_t { 0 };
            do {
                dropped += input_.size();
                input_.clear();
            } while (dropped < lingerBytes && co_await fill());
        }
    }

    auto resetNow() -> void
    {
        resetOnClose(true);
        closeNow();
    }

    /// Without chunks, only a reset tells a broken stream from a whole one. The kernel keeps to it
    /// also where this process is killed.
    auto resetOnClose(bool isReset) -> void
    {
        auto code = error_code {};
        socket().set_option(asio::socket_base::linger { isReset, 0 }, code);
    }

    auto closeNow() -> void
    {
        open_ = false;
        auto code = error_code {};
        socket().close(code);
        if (waiting_)
            wake_.cancel();
    }

    asio::io_context &context_;
    Stream stream_;
    Timer wake_;
    std::shared_ptr<Shared> shared_;
    std::shared_ptr<Watchdog> watchdog_;
    std::string remoteIp_;
    std::unique_ptr<PeerBudget::Account> account_; ///< Empty: the connection is refused.
    std::optional<EndReason> endedFor_;            ///< It is to end for another connection.
    std::size_t bodyBytes_ = 0;                    ///< Memory of the body, as noted last.
    std::size_t counted_ = 0;                      ///< What the account was set to.
    std::array<char, readChunkBytes> chunk_;       ///< Written by the outstanding read alone.
    std::string input_;                            ///< Read and not parsed yet.
    std::function<void()> onGone_;
    bool open_ = true;
    bool keepAlive_ = true;
    bool stopsIdle_ = false; ///< The idle read was cancelled, since the server stops accepting.
    bool idle_ = false;      ///< Waits for the first byte of a request.
    bool reading_ = false;   ///< A read is outstanding.
    bool waiting_ = false;   ///< fill() waits for it.
    bool writing_ = false;   ///< A write is outstanding.
    bool inHandler_ = false; ///< A request is being answered.
    bool inBody_ = false;    ///< The head has come, the body has not.
    bool started_ = false;
    bool finished_ = false;
    bool peerGone_ = false;
    bool timedOut_ = false;
    bool http10_ = false;
    bool headOnly_ = false;
};

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
    Impl(asio::io_context &context, ServerOptions options, Handler handler,
         std::shared_ptr<PeerBudget> budget)
        : context_(context)
        , shared_(std::make_shared<Shared>())
        , sharesBudget_(budget != nullptr)
        , acceptor_(asio::make_strand(context))
    {
        shared_->options = std::move(options);
        shared_->handler = std::move(handler);
        shared_->budget = sharesBudget_ ? std::move(budget) : ownBudget(shared_->options);
    }

    auto start(const Address &listen) -> absl::Status
    {
        if (auto status = loadCertificate(); !status.ok())
            return status;
        auto code = error_code {};
        const auto ip = asio::ip::make_address(listen.ip, code);
        const auto endpoint = tcp::endpoint { ip, listen.port };
        if (!code)
            acceptor_.open(endpoint.protocol(), code);
        if (!code)
            acceptor_.set_option(asio::socket_base::reuse_address { true }, code);
        if (!code)
            acceptor_.bind(endpoint, code);
        setReceiveBuffer();
        if (!code)
            acceptor_.listen(asio::socket_base::max_listen_connections, code);
        if (code) {
            return makeError(ErrorKind::BadSettings,
                             "listen=" + listen.ip + ":" + std::to_string(listen.port)
                                     + " reason=" + code.message());
        }
        port_ = acceptor_.local_endpoint(code).port();
        asio::co_spawn(acceptor_.get_executor(), acceptLoop(shared_from_this()), asio::detached);
        return absl::OkStatus();
    }

    auto port() const -> std::uint16_t { return port_; }
    auto inProgress() const -> std::size_t { return shared_->inProgress; }

    auto stopAccepting() -> void
    {
        shared_->closing = true;
        closeAcceptor(true);
        for (const auto &connection : listed())
            connection->closeIfIdle();
    }

    auto stop() -> void
    {
        shared_->closing = true;
        closeAcceptor(false);
        for (const auto &connection : listed())
            connection->close();
    }

private:
    /// Sockets inherit it from the listener. Without it the kernel lets the buffers grow.
    auto setReceiveBuffer() -> void
    {
        auto code = error_code {};
        const auto bytes = static_cast<int>(shared_->options.receiveBuffer);
        acceptor_.set_option(asio::socket_base::receive_buffer_size { bytes }, code);
        if (code)
            LogEvent(LogLevel::Warning, "receive_buffer_not_set").with("reason", code.message());
    }

    auto loadCertificate() -> absl::Status
    {
        const auto &options = shared_->options;
        if (options.certificateFile.empty() && options.keyFile.empty())
            return absl::OkStatus();
        tls_.emplace(asio::ssl::context::tls_server);
        auto code = error_code {};
        tls_->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
                                  | asio::ssl::context::no_tlsv1_1,
                          code);
        tls_->use_certificate_chain_file(options.certificateFile, code);
        if (!code)
            tls_->use_private_key_file(options.keyFile, asio::ssl::context::pem, code);
        if (!code)
            return absl::OkStatus();
        return makeError(ErrorKind::BadSettings,
                         "certificate=" + options.certificateFile + " key=" + options.keyFile
                                 + " reason=" + code.message());
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto acceptLoop(std::shared_ptr<Impl> self) -> asio::awaitable<void>
    {
        while (!self->shared_->closing) {
            auto code = error_code {};
            auto socket = co_await self->acceptor_.async_accept(
                    asio::make_strand(self->context_),
                    asio::redirect_error(asio::use_awaitable, code));
            if (!code) {
                self->admit(std::move(socket));
                continue;
            }
            if (!self->acceptor_.is_open())
                co_return;
            // Out of descriptors, most likely: a pause rather than a spin.
            auto timer = Timer { self->acceptor_.get_executor() };
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
    }

    auto admit(Socket socket) -> void
    {
        auto code = error_code {};
        const auto remote = socket.remote_endpoint(code);
        socket.set_option(tcp::no_delay { true }, code);
        const auto remoteIp = remote.address().to_string();
        if (tls_)
            launch(TlsStream { std::move(socket), *tls_ }, remoteIp);
        else
            launch(std::move(socket), remoteIp);
    }

    template<typename Stream>
    auto launch(Stream stream, const std::string &remoteIp) -> void
    {
        const auto executor = stream.get_executor();
        auto connection = std::make_shared<Connection<Stream>>(context_, std::move(stream), shared_,
                                                               remoteIp);
        auto account = openAccount(connection);
        const auto isRejected = account == nullptr;
        if (isRejected && ++shared_->rejecting > maxRejecting) {
            --shared_->rejecting;
            return;
        }
        connection->setAccount(std::move(account));
        const auto number = list(connection);
        asio::co_spawn(executor, connection->run(),
                       [self = shared_from_this(), connection, number,
                        isRejected](const std::exception_ptr &) {
                           self->unlist(number);
                           if (isRejected)
                               --self->shared_->rejecting;
                       });
    }

    /// @return nullptr if the connection is to be refused
    auto openAccount(const std::weak_ptr<ConnectionBase> &connection)
            -> std::unique_ptr<PeerBudget::Account>
    {
        const auto limit = shared_->options.maxConnections + shared_->rejecting;
        if (!sharesBudget_ && shared_->connections >= limit)
            return nullptr;
        return shared_->budget->open([connection](EndReason reason) {
            if (const auto open = connection.lock())
                open->endForRoom(reason);
        });
    }

    auto list(const std::shared_ptr<ConnectionBase> &connection) -> std::uint64_t
    {
        const auto lock = std::lock_guard { mutex_ };
        ++shared_->connections;
        connections_.emplace(++lastNumber_, connection);
        return lastNumber_;
    }

    auto unlist(std::uint64_t number) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        connections_.erase(number);
        --shared_->connections;
    }

    auto listed() -> std::vector<std::shared_ptr<ConnectionBase>>
    {
        const auto lock = std::lock_guard { mutex_ };
        auto all = std::vector<std::shared_ptr<ConnectionBase>> {};
        for (const auto &[number, weak] : connections_) {
            if (auto connection = weak.lock())
                all.push_back(std::move(connection));
        }
        return all;
    }

    auto closeAcceptor(bool withBacklog) -> void
    {
        asio::post(acceptor_.get_executor(), [self = shared_from_this(), withBacklog] {
            if (withBacklog)
                self->admitBacklog();
            auto code = error_code {};
            self->acceptor_.close(code);
        });
    }

    /// Takes in the connections that the kernel has made already: closing the listener would
    /// reset them, perhaps with a request on the way.
    auto admitBacklog() -> void
    {
        auto code = error_code {};
        acceptor_.non_blocking(true, code);
        while (!code) {
            auto socket = acceptor_.accept(asio::make_strand(context_), code);
            if (!code)
                admit(std::move(socket));
        }
    }

    asio::io_context &context_;
    std::shared_ptr<Shared> shared_;
    bool sharesBudget_; ///< With other servers of the process.
    Acceptor acceptor_;
    std::optional<asio::ssl::context> tls_;
    std::uint16_t port_ = 0;
    std::mutex mutex_; ///< Guards the list below; a leaf in the lock order.
    std::unordered_map<std::uint64_t, std::weak_ptr<ConnectionBase>> connections_;
    std::uint64_t lastNumber_ = 0;
};

Server::Server(asio::io_context &context, ServerOptions options, Handler handler,
               std::shared_ptr<PeerBudget> budget)
    : impl_(std::make_shared<Impl>(context, std::move(options), std::move(handler),
                                   std::move(budget)))
{ }

Server::~Server()
{
    impl_->stop();
}

auto Server::start(const Address &listen) -> absl::Status
{
    return impl_->start(listen);
}

auto Server::port() const -> std::uint16_t
{
    return impl_->port();
}

auto Server::stopAccepting() -> void
{
    impl_->stopAccepting();
}

auto Server::inProgress() const -> std::size_t
{
    return impl_->inProgress();
}

auto Server::stop() -> void
{
    impl_->stop();
}

} // namespace figrack::http
