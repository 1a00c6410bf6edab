// A connection belongs to one request at a time, whose coroutine is alone in
// using its socket. What comes from other threads (abortAll(), a watchdog)
// never touches the socket object but acts on its descriptor in the kernel:
// connect() to AF_UNSPEC drops the send queue, resets the peer and wakes every
// wait, all before it returns. That is stronger than a close with SO_LINGER 0,
// which would have to wait for the owner's thread, and it is what lets a leader
// say at the end of its lease that no order of its own can leave any more. The
// descriptor cannot be reused meanwhile, since closing takes the same lock.
//
// An attempt to connect is different: not every system wakes a pending connect() then. Only during
// the attempt is the socket used on a strand of its own, where abort() cancels the operation
// itself.
//
// Sent is Nothing only where it is certain: no connection stood, mayStart said
// no, or the write ended with no byte accepted by the kernel.

#include "http/client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/error.h"
#include "core/log.h"
#include "http/growingbody.h"
#include "http/lastchunk.h"
#include "http/watchdog.h"

namespace figrack::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using ResponseParser = beast::http::response_parser<GrowingBody>;

constexpr auto readBytes = std::size_t { 16 } << 10;
constexpr auto maxHeaderBytes = std::size_t { 32 } << 10;
/// Bytes that are read and dropped before the answer to a request.
constexpr auto maxSkippedBytes = std::size_t { 1 } << 20;
constexpr auto maxInterimAnswers = 1024;                     ///< In a row, before another answer.
constexpr auto maxPromisedSeconds = std::int64_t { 86'400 }; ///< Longer promises count as none.

/// One connection: the socket, what was read of the next answer, and the way to abort it.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(asio::io_context &context, ConnectionNumber number, std::function<void(int)> disconnect)
        : number_(number)
        , socket_(context)
        , strand_(asio::make_strand(context))
        , disconnect_(std::move(disconnect))
    { }
    ~Link() { close(); }
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;

    auto number() const -> ConnectionNumber { return number_; }
    auto socket() -> Socket & { return socket_; }
    auto buffer() -> beast::flat_buffer & { return buffer_; }

    auto open(const tcp::endpoint &endpoint, Duration userTimeout) -> error_code
    {
        const auto lock = std::lock_guard { mutex_ };
        auto code = error_code {};
        socket_.open(endpoint.protocol(), code);
        if (code)
            return code;
        socket_.set_option(tcp::no_delay { true }, code);
        const auto millis = static_cast<unsigned int>(
                std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout).count());
        setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
        return code;
    }

    /// Connects the open socket. @return operation_aborted if abort() came first
    auto connect(tcp::endpoint endpoint) -> asio::awaitable<error_code>
    {
        auto initiate = [self = shared_from_this(), endpoint](auto handler) {
            const auto executor = asio::get_associated_executor(handler);
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            auto done = [shared, executor](Connected result) {
                asio::post(executor, [shared, result] { (*shared)(result); });
            };
            asio::post(self->strand_,
                       [self, endpoint, done] { self->startConnect(endpoint, done); });
        };
        const auto result
                = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Connected)>(
                        initiate, asio::use_awaitable);
        co_return aborted_ ? error_code { asio::error::operation_aborted } : result.code;
    }

    /// Ends the connection at once, from any thread.
    auto abort() -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        aborted_ = true;
        if (!socket_.is_open())
            return;
        disconnect_(socket_.native_handle());
        if (isConnecting_)
            asio::post(strand_, [self = shared_from_this()] { self->cancelConnect(); });
    }

    auto aborted() const -> bool { return aborted_; }

    /// @return true while a kept connection has neither ended nor got bytes out of turn
    auto isQuiet() -> bool
    {
        auto byte = char {};
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return !aborted_ && buffer_.size() == 0 && got < 0
                && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

private:
    struct Connected
    {
        error_code code;
    };

    /// Runs on the strand, as does cancelConnect().
    template<typename Done>
    auto startConnect(const tcp::endpoint &endpoint, Done done) -> void
    {
        isConnecting_ = true;
        auto onEnd = [self = shared_from_this(), done](const error_code &code) {
            self->isConnecting_ = false;
            done(Connected { code });
        };
        socket_.async_connect(endpoint, asio::bind_executor(strand_, std::move(onEnd)));
        // An abort() that came before saw no attempt to cancel.
        if (aborted_)
            cancelConnect();
    }

    auto cancelConnect() -> void
    {
        auto code = error_code {};
        if (isConnecting_)
            socket_.cancel(code);
    }

    auto close() -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        auto code = error_code {};
        socket_.close(code);
    }

    const ConnectionNumber number_;
    std::mutex mutex_; ///< Guards opening, closing and aborting; a leaf in the lock order.
    Socket socket_;
    asio::strand<asio::io_context::executor_type> strand_;
    std::function<void(int)> disconnect_;
    std::atomic<bool> isConnecting_ { false };
    std::atomic<bool> aborted_ { false };
    beast::flat_buffer buffer_;
};

using LinkPointer = std::shared_ptr<Link>;
struct KeptLink
{
    LinkPointer link;
    Instant since;
    Instant until; ///< Not used any more from then on.
};

/// The kept connections, and the list of all for abortAll().
class Pool
{
public:
    Pool(asio::io_context &context, ClientOptions options, const Clock &clock)
        : context_(context)
        , options_(std::move(options))
        , clock_(clock)
    { }

    auto context() -> asio::io_context & { return context_; }
    auto options() const -> const ClientOptions & { return options_; }

    /// @param maxIdleAge a connection that has been idle for longer is not taken
    /// @param excluded connections that are left where they are
    auto takeKept(const Address &address, Duration maxIdleAge,
                  const std::vector<ConnectionNumber> &excluded) -> LinkPointer
    {
        const auto now = clock_.now();
        while (true) {
            auto kept = takeNewest(address, excluded);
            if (!kept)
                return nullptr;
            const auto isYoung = now - kept->since < maxIdleAge;
            if (isYoung && now < kept->until && kept->link->isQuiet())
                return kept->link;
            forget(address, kept->link);
        }
    }

    auto hasKept(const Address &address, Duration maxIdleAge) -> bool
    {
        const auto now = clock_.now();
        const auto lock = std::lock_guard { mutex_ };
        const auto found = kept_.find(address);
        return found != kept_.end()
                && std::any_of(found->second.begin(), found->second.end(), [&](const auto &kept) {
                       return now - kept.since < maxIdleAge && now < kept.until
                               && kept.link->isQuiet();
                   });
    }

    auto make(const Address &address) -> LinkPointer
    {
        const auto lock = std::lock_guard { mutex_ };
        auto link = std::make_shared<Link>(context_, ++lastNumber_, options_.disconnect);
        all_[address].insert(link);
        return link;
    }

    /// @param promised how long the peer keeps it; the own limit holds besides
    auto keep(const Address &address, LinkPointer link, Duration promised) -> void
    {
        const auto now = clock_.now();
        const auto until = now + std::min(promised, options_.idleTimeout);
        auto dropped = std::vector<LinkPointer> {}; // Closed outside the lock.
        const auto lock = std::lock_guard { mutex_ };
        auto &list = kept_[address];
        list.push_back({ std::move(link), now, until });
        while (list.size() > options_.maxIdlePerPeer)
            dropFront(address, list, dropped);
        if (now < nextSweep_)
            return;
        nextSweep_ = now + options_.idleTimeout / 4;
        sweep(now, dropped);
    }

    auto forget(const Address &address, const LinkPointer &link) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        eraseFromAll(address, link);
    }

    auto abortAll(const Address &address) -> void
    {
        for (const auto &link : linksOf(&address))
            link->abort();
    }

    auto abortAll() -> void
    {
        for (const auto &link : linksOf(nullptr))
            link->abort();
    }

private:
    auto takeNewest(const Address &address, const std::vector<ConnectionNumber> &excluded)
            -> std::optional<KeptLink>
    {
        const auto lock = std::lock_guard { mutex_ };
        const auto found = kept_.find(address);
        if (found == kept_.end())
            return std::nullopt;
        auto &list = found->second;
        const auto newest = std::find_if(list.rbegin(), list.rend(), [&](const auto &kept) {
            return std::find(excluded.begin(), excluded.end(), kept.link->number())
                    == excluded.end();
        });
        if (newest == list.rend())
            return std::nullopt;
        auto kept = std::move(*newest);
        list.erase(std::next(newest).base());
        return kept;
    }

    auto sweep(Instant now, std::vector<LinkPointer> &dropped) -> void
    {
        for (auto entry = kept_.begin(); entry != kept_.end();) {
            auto &list = entry->second;
            while (!list.empty() && now >= list.front().until)
                dropFront(entry->first, list, dropped);
            entry = list.empty() ? kept_.erase(entry) : std::next(entry);
        }
    }

    auto dropFront(const Address &address, std::deque<KeptLink> &list,
                   std::vector<LinkPointer> &dropped) -> void
    {
        eraseFromAll(address, list.front().link);
        dropped.push_back(std::move(list.front().link));
        list.pop_front();
    }

    auto eraseFromAll(const Address &address, const LinkPointer &link) -> void
    {
        const auto found = all_.find(address);
        if (found == all_.end())
            return;
        found->second.erase(link);
        if (found->second.empty())
            all_.erase(found);
    }

    auto linksOf(const Address *address) -> std::vector<LinkPointer>
    {
        const auto lock = std::lock_guard { mutex_ };
        auto links = std::vector<LinkPointer> {};
        for (const auto &[peer, set] : all_) {
            if (address == nullptr || peer == *address)
                links.insert(links.end(), set.begin(), set.end());
        }
        return links;
    }

    asio::io_context &context_;
    ClientOptions options_;
    const Clock &clock_;
    ConnectionNumber lastNumber_ = 0;
    std::mutex mutex_; ///< Guards the tables; taken before a Link's and never with it held.
    std::map<Address, std::deque<KeptLink>> kept_; ///< Oldest first.
    std::map<Address, std::set<LinkPointer>> all_; ///< Kept and in use.
    Instant nextSweep_ = Instant::min();
};

using PoolPointer = std::shared_ptr<Pool>;

/// A connection while one request uses it. Gone without release(), the connection is aborted.
class Lease
{
public:
    Lease(PoolPointer pool, Address address, LinkPointer link)
        : pool_(std::move(pool))
        , address_(std::move(address))
        , link_(std::move(link))
        , watchdog_(Watchdog::make(pool_->context(), [link = link_] { link->abort(); }))
    { }
    ~Lease()
    {
        watchdog_->stop();
        if (link_ == nullptr)
            return;
        link_->abort();
        pool_->forget(address_, link_);
    }
    Lease(const Lease &) = delete;
    auto operator=(const Lease &) -> Lease & = delete;

    auto link() -> Link & { return *link_; }
    auto watchdog() -> Watchdog & { return *watchdog_; }
    auto address() const -> const Address & { return address_; }

    /// Other bytes than the request's answer have arrived, so that more may follow.
    auto keepNoLonger() -> void { mayKeep_ = false; }

    /// Lets a canceller abort the connection until it is given back.
    auto obey(std::shared_ptr<Canceller> canceller) -> void
    {
        canceller_ = std::move(canceller);
        canceller_->setAbort([weak = std::weak_ptr<Link> { link_ }] {
            if (const auto open = weak.lock())
                open->abort();
        });
    }

    /// Gives the connection back after a whole answer.
    /// @param promised how long the peer keeps it open when idle
    auto release(bool keep, Duration promised) -> void
    {
        watchdog_->stop();
        if (canceller_)
            canceller_->setAbort({}); // The connection may serve another request from now on.
        const auto link = std::exchange(link_, nullptr);
        if (keep && mayKeep_ && !link->aborted() && link->buffer().size() == 0)
            pool_->keep(address_, link, promised);
        else
            pool_->forget(address_, link);
    }

private:
    PoolPointer pool_;
    Address address_;
    LinkPointer link_;
    std::shared_ptr<Watchdog> watchdog_;
    std::shared_ptr<Canceller> canceller_; ///< May be empty.
    bool mayKeep_ = true;
};

auto failure(ErrorKind kind, const Address &address, std::string_view step,
             const error_code &code = {}) -> absl::Status
{
    auto argument = "address=" + address.text() + " step=" + std::string { step };
    if (code)
        argument += " reason=" + code.message();
    return makeError(kind, argument);
}

/// A fault of the transport: a fired watchdog shows as one and is told apart here.
auto transportFailure(Lease &lease, std::string_view step, const error_code &code) -> absl::Status
{
    const auto inTime = lease.watchdog().disarm() && code != asio::error::timed_out;
    return failure(inTime ? ErrorKind::EndpointFailed : ErrorKind::Timeout, lease.address(), step,
                   code);
}

auto parseFailure(Lease &lease, const error_code &code) -> absl::Status
{
    if (code == beast::http::error::body_limit || code == beast::http::error::header_limit)
        return failure(ErrorKind::TooLarge, lease.address(), "answer", code);
    if (code == beast::http::error::partial_message || code == beast::http::error::end_of_stream)
        return failure(ErrorKind::EndpointFailed, lease.address(), "answer", code);
    return failure(ErrorKind::Malformed, lease.address(), "answer", code);
}

auto headOf(const ClientRequest &request) -> std::string
{
    auto message = beast::http::request<beast::http::string_body> {};
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &header : request.headers)
        message.insert(header.name, header.value);
    if (message.find(beast::http::field::host) == message.end())
        message.set(beast::http::field::host, request.address.text());
    if (request.freshConnection)
        message.set(beast::http::field::connection, "close");
    if (!request.content().empty() || request.method == "POST")
        message.content_length(request.content().size());
    auto serializer = beast::http::request_serializer<beast::http::string_body> { message };
    serializer.split(true);
    auto head = std::string {};
    auto code = error_code {};
    serializer.next(code, [&head](error_code &, const auto &buffers) {
        for (const auto part : beast::buffers_range_ref(buffers))
            head.append(static_cast<const char *>(part.data()), part.size());
    });
    return head;
}

/// @return true when a header would break the message
auto hasControlCharacter(const ClientRequest &request) -> bool
{
    const auto isBad = [](const std::string &text) {
        return text.find_first_of(std::string_view { "\r\n\0", 3 }) != std::string::npos;
    };
    for (const auto &header : request.headers) {
        if (isBad(header.name) || isBad(header.value))
            return true;
    }
    return isBad(request.target) || isBad(request.method);
}

/// @return true for "100 Continue" and the like, which precede an answer
auto isInterim(const ResponseParser &parser) -> bool
{
    return parser.get().result_int() < 200;
}

/// One request under way on one connection: writes it, then parses the answer piece by piece.
class Exchange
{
public:
    Exchange(PoolPointer pool, Address address, LinkPointer link)
        : lease_(std::move(pool), std::move(address), std::move(link))
    {
        makeParser();
    }

    auto lease() -> Lease & { return lease_; }
    auto parser() -> ResponseParser & { return *parser_; }
    auto setReused(bool isReused) -> void { isReused_ = isReused; }
    auto isReused() const -> bool { return isReused_; }
    auto isRefused() const -> bool { return isRefused_; }

    /// Sets how the next answer is read. @param bodyLimit bytes; empty: without a bound
    auto expect(std::optional<std::size_t> bodyLimit, bool isHead) -> void
    {
        bodyLimit_ = bodyLimit;
        isHead_ = isHead;
        makeParser();
    }

    /// Reads away the answer whose header has come and waits for the header of the next one.
    auto skipAnswer() -> asio::awaitable<absl::Status>
    {
        isSkipping_ = true;
        while (!parser_->is_done()) {
            parser_->get().body().clear();
            if (auto status = co_await advance(); !status.ok())
                co_return status;
        }
        // The final answer follows on the same connection, even if an interim one says "close".
        if (!isInterim(*parser_) && !parser_->keep_alive())
            co_return failure(ErrorKind::EndpointFailed, lease_.address(), "another answer");
        makeParser();
        auto status = co_await readHeader();
        isSkipping_ = false;
        co_return status;
    }

    auto readHeader() -> asio::awaitable<absl::Status>
    {
        while (!parser_->is_header_done()) {
            if (auto status = co_await advance(); !status.ok())
                co_return status;
        }
        co_return absl::OkStatus();
    }

    auto connect(const ClientOptions &options, Duration timeout) -> asio::awaitable<absl::Status>
    {
        auto code = error_code {};
        const auto &address = lease_.address();
        const auto ip = asio::ip::make_address(address.ip, code);
        const auto endpoint = tcp::endpoint { ip, address.port };
        if (!code)
            code = lease_.link().open(endpoint, options.userTimeout);
        if (code)
            co_return failure(ErrorKind::EndpointFailed, address, "connect", code);
        lease_.watchdog().arm(std::min(options.connectTimeout, timeout));
        code = co_await lease_.link().connect(endpoint);
        isRefused_ = code == asio::error::connection_refused;
        if (code)
            co_return transportFailure(lease_, "connect", code);
        co_return absl::OkStatus();
    }

    /// Writes the request. @param timeout until the head of the answer has come
    auto write(const ClientRequest &request, Duration timeout)
            -> asio::awaitable<std::optional<ClientError>>
    {
        if (request.mayStart && !request.mayStart())
            co_return ClientError { failure(ErrorKind::Cancelled, lease_.address(), "start"),
                                    Sent::Nothing };
        const auto head = headOf(request);
        const auto buffers = std::array<asio::const_buffer, 2> { asio::buffer(head),
                                                                 asio::buffer(request.content()) };
        auto code = error_code {};
        lease_.watchdog().arm(timeout);
        const auto written = co_await asio::async_write(
                lease_.link().socket(), buffers, asio::redirect_error(asio::use_awaitable, code));
        if (!code)
            co_return std::nullopt;
        co_return ClientError { transportFailure(lease_, "write", code),
                                written == 0 ? Sent::Nothing : Sent::MaybeSome };
    }

    /// Parses what is there, reading once more if that brings nothing new.
    auto advance() -> asio::awaitable<absl::Status>
    {
        while (true) {
            const auto hadHeader = parser_->is_header_done();
            if (auto status = parseBuffered(); !status.ok())
                co_return status;
            if (parser_->is_done() || !parser_->get().body().empty()
                || (!hadHeader && parser_->is_header_done()))
                co_return absl::OkStatus();
            if (auto status = co_await readMore(); !status.ok())
                co_return status;
            if (parser_->is_done())
                co_return absl::OkStatus();
        }
    }

private:
    auto makeParser() -> void
    {
        parser_.emplace();
        lastChunk_ = {};
        parser_->eager(true);
        parser_->header_limit(maxHeaderBytes);
        if (bodyLimit_)
            parser_->body_limit(*bodyLimit_);
        else
            parser_->body_limit(boost::none);
        if (isHead_)
            parser_->skip(true);
    }

    auto parseBuffered() -> absl::Status
    {
        auto &buffer = lease_.link().buffer();
        while (buffer.size() > 0 && !parser_->is_done()) {
            const auto bytes = buffer.cdata();
            if (parser_->is_header_done()
                && !lastChunk_.mayPut({ static_cast<const char *>(bytes.data()), bytes.size() }))
                break;
            auto code = error_code {};
            const auto used = parser_->put(bytes, code);
            buffer.consume(used);
            lastChunk_.onLeft(buffer.size());
            if (code == beast::http::error::need_more || (!code && used == 0))
                break;
            if (code)
                return parseFailure(lease_, code);
        }
        if (!parser_->is_done() && buffer.size() > maxHeaderBytes)
            return failure(ErrorKind::TooLarge, lease_.address(), "answer");
        return absl::OkStatus();
    }

    auto readMore() -> asio::awaitable<absl::Status>
    {
        auto code = error_code {};
        auto &buffer = lease_.link().buffer();
        const auto bytes = co_await lease_.link().socket().async_read_some(
                buffer.prepare(readBytes), asio::redirect_error(asio::use_awaitable, code));
        buffer.commit(bytes);
        if (isSkipping_ && (skippedBytes_ += bytes) > maxSkippedBytes)
            co_return failure(ErrorKind::TooLarge, lease_.address(), "other answers");
        if (!code)
            co_return absl::OkStatus();
        if (code != asio::error::eof || lease_.link().aborted())
            co_return transportFailure(lease_, "read", code);
        if (!parser_->is_header_done())
            co_return failure(ErrorKind::EndpointFailed, lease_.address(), "read", code);
        parser_->put_eof(code); // Ends a body without a length; an error for any other.
        if (code)
            co_return failure(ErrorKind::EndpointFailed, lease_.address(), "read", code);
        co_return absl::OkStatus();
    }

    Lease lease_;
    std::optional<ResponseParser> parser_;
    LastChunkGuard lastChunk_;
    std::optional<std::size_t> bodyLimit_;
    bool isHead_ = false;
    bool isReused_ = false;
    bool isRefused_ = false;
    bool isSkipping_ = false; ///< What is read belongs to other answers.
    std::size_t skippedBytes_ = 0;
};

using ExchangePointer = std::unique_ptr<Exchange>;

auto headersOf(const ResponseParser &parser) -> Headers
{
    auto headers = Headers {};
    for (const auto &field : parser.get()) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back({ std::string { name.data(), name.size() },
                            std::string { value.data(), value.size() } });
    }
    return headers;
}

/// @return how long the peer keeps an idle connection, by its Keep-Alive header; less a margin for
/// what is on the way when it closes
auto promisedIdle(const ResponseParser &parser) -> Duration
{
    constexpr auto margin = std::chrono::milliseconds { 500 };
    const auto field = parser.get().find("Keep-Alive");
    if (field == parser.get().end())
        return Duration::max();
    const auto value = std::string_view { field->value().data(), field->value().size() };
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos)
        return Duration::max();
    auto seconds = std::int64_t { 0 };
    const auto digits = value.substr(at + std::string_view { "timeout=" }.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc {} || seconds < 0 || seconds > maxPromisedSeconds)
        return Duration::max();
    return std::chrono::seconds { seconds } - margin;
}

/// @return true if the answer names the request, and no other one
auto isAnswerTo(const AnswerMatch &match, const ResponseParser &parser) -> bool
{
    if (match.header.empty())
        return true;
    const auto [begin, end] = parser.get().equal_range(match.header);
    return begin != end && std::all_of(begin, end, [&](const auto &field) {
               return field.value() == match.value;
           });
}

/// @return true if the answer names no request, on a connection on which it can only be the answer
/// to this one
auto isUnnamedButOwn(const AnswerMatch &match, Exchange &exchange) -> bool
{
    return match.mayBeUnnamed && !exchange.isReused()
            && exchange.parser().get().count(match.header) == 0;
}

/// Reads the heads of answers up to the next one that is not interim, whatever those name.
auto skipInterimAnswers(Exchange &exchange) -> asio::awaitable<absl::Status>
{
    constexpr auto switchingProtocols = 101U;
    for (auto count = 0; isInterim(exchange.parser()); ++count) {
        const auto &address = exchange.lease().address();
        // No request of this client asks for an upgrade, so that what follows has no meaning.
        if (exchange.parser().get().result_int() == switchingProtocols)
            co_return failure(ErrorKind::Malformed, address, "switch of protocols");
        if (count == maxInterimAnswers)
            co_return failure(ErrorKind::TooLarge, address, "interim answers");
        if (auto status = co_await exchange.skipAnswer(); !status.ok())
            co_return status;
    }
    co_return absl::OkStatus();
}

/// Reads the heads of answers up to the one to the request.
auto readHeadOf(Exchange &exchange, const AnswerMatch &match) -> asio::awaitable<absl::Status>
{
    auto status = co_await exchange.readHeader();
    while (status.ok()) {
        status = co_await skipInterimAnswers(exchange);
        if (!status.ok() || isAnswerTo(match, exchange.parser()))
            break;
        if (isUnnamedButOwn(match, exchange)) {
            exchange.lease().keepNoLonger();
            break;
        }
        LogEvent(LogLevel::Warning, "answer_to_no_request")
                .with("address", exchange.lease().address().text())
                .with("request", match.value)
                .with("status", std::int64_t { exchange.parser().get().result_int() })
                .with("named", exchange.parser().get().count(match.header) > 0)
                .with("kept", exchange.isReused());
        if (!exchange.isReused())
            co_return failure(ErrorKind::Malformed, exchange.lease().address(),
                              "answer to no request");
        exchange.lease().keepNoLonger();
        status = co_await exchange.skipAnswer();
    }
    co_return status;
}

/// Connects, writes and reads the head of the answer.
auto begin(PoolPointer pool, const ClientRequest &request, Duration timeout,
           std::optional<std::size_t> bodyLimit) -> asio::awaitable<ClientResult<ExchangePointer>>
{
    if (hasControlCharacter(request)) {
        co_return ClientError { failure(ErrorKind::Malformed, request.address, "headers"),
                                Sent::Nothing };
    }
    if (request.canceller && request.canceller->isCancelled())
        co_return ClientError { failure(ErrorKind::Cancelled, request.address, "start"),
                                Sent::Nothing };
    auto link = LinkPointer {};
    if (!request.freshConnection)
        link = pool->takeKept(request.address, request.maxIdleAge, request.excludedConnections);
    const auto kept = link != nullptr;
    if (!kept)
        link = pool->make(request.address);
    auto exchange = std::make_unique<Exchange>(pool, request.address, std::move(link));
    if (request.canceller)
        exchange->lease().obey(request.canceller);
    exchange->expect(bodyLimit, request.method == "HEAD");
    exchange->setReused(kept);
    if (!kept) {
        if (auto status = co_await exchange->connect(pool->options(), timeout); !status.ok())
            co_return ClientError { std::move(status), Sent::Nothing, kept, exchange->isRefused() };
    }
    if (auto error = co_await exchange->write(request, timeout)) {
        error->isReused = kept;
        co_return std::move(*error);
    }
    auto status = co_await readHeadOf(*exchange, request.match);
    if (!status.ok())
        co_return ClientError { std::move(status), Sent::MaybeSome, kept };
    co_return exchange;
}

class StreamImpl final : public ClientStream
{
public:
    StreamImpl(ExchangePointer exchange, bool keep)
        : exchange_(std::move(exchange))
        , keep_(keep)
        , status_(exchange_->parser().get().result_int())
        , headers_(headersOf(exchange_->parser()))
        , connection_(exchange_->lease().link().number())
        , isDelimited_(!exchange_->parser().need_eof())
    { }

    auto status() const -> std::uint32_t override { return status_; }
    auto headers() const -> const Headers & override { return headers_; }
    auto isReused() const -> bool override { return exchange_->isReused(); }
    auto connection() const -> ConnectionNumber override { return connection_; }
    auto isDelimited() const -> bool override { return isDelimited_; }

    auto read(Duration timeout) -> asio::awaitable<absl::StatusOr<std::string>> override
    {
        auto &body = exchange_->parser().get().body();
        if (!ended_ && body.empty() && !exchange_->parser().is_done()) {
            exchange_->lease().watchdog().arm(timeout);
            if (auto status = co_await exchange_->advance(); !status.ok())
                co_return status;
            exchange_->lease().watchdog().disarm();
        }
        auto chunk = std::exchange(body, {});
        if (chunk.empty() && !ended_)
            end();
        co_return chunk;
    }

    auto abort() -> void override
    {
        const auto lock = std::lock_guard { mutex_ };
        if (!ended_)
            exchange_->lease().link().abort();
    }

private:
    auto end() -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        ended_ = true;
        exchange_->lease().release(keep_ && exchange_->parser().keep_alive(),
                                   promisedIdle(exchange_->parser()));
    }

    std::mutex mutex_; ///< Keeps abort() off a connection given back; taken before the pool's.
    ExchangePointer exchange_;
    bool keep_;
    bool ended_ = false;
    std::uint32_t status_;
    Headers headers_;
    ConnectionNumber connection_; ///< Of a connection that may be in other use after the end.
    bool isDelimited_;
};

} // namespace

auto disconnectSocket(int descriptor) -> void
{
    auto nowhere = sockaddr {};
    nowhere.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(descriptor, &nowhere, sizeof nowhere));
    // Where that has no effect, the peer sees the end of the connection all the same, and closing
    // it drops what is still queued.
    const auto dropQueued = ::linger { 1, 0 };
    static_cast<void>(
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &dropQueued, sizeof dropQueued));
    static_cast<void>(::shutdown(descriptor, SHUT_RDWR));
}

auto Canceller::cancel() -> void
{
    const auto lock = std::lock_guard { mutex_ };
    cancelled_ = true;
    // Within the lock: once setAbort() has returned, the old connection is left alone.
    if (abort_)
        abort_();
}

auto Canceller::isCancelled() const -> bool
{
    const auto lock = std::lock_guard { mutex_ };
    return cancelled_;
}

auto Canceller::setAbort(std::function<void()> abort) -> void
{
    const auto lock = std::lock_guard { mutex_ };
    abort_ = std::move(abort);
    // A cancel() that came first found nothing to abort.
    if (cancelled_ && abort_)
        abort_();
}

class Client::Impl
{
public:
    Impl(asio::io_context &context, ClientOptions options, const Clock &clock)
        : pool_(std::make_shared<Pool>(context, std::move(options), clock))
    { }
    auto pool() const -> const PoolPointer & { return pool_; }

private:
    PoolPointer pool_;
};

Client::Client(asio::io_context &context, ClientOptions options, const Clock &clock)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock))
{ }

Client::~Client()
{
    abortAll();
}

auto Client::fetch(ClientRequest request, Duration timeout)
        -> asio::awaitable<ClientResult<Response>>
{
    const auto pool = impl_->pool();
    auto begun = co_await begin(pool, request, timeout, pool->options().maxBodyBytes);
    if (auto *error = std::get_if<ClientError>(&begun))
        co_return std::move(*error);
    auto exchange = std::move(std::get<ExchangePointer>(begun));
    auto response = Response {};
    while (true) {
        response.body += std::exchange(exchange->parser().get().body(), {});
        if (exchange->parser().is_done())
            break;
        if (auto status = co_await exchange->advance(); !status.ok())
            co_return ClientError { std::move(status), Sent::MaybeSome };
    }
    response.status = exchange->parser().get().result_int();
    response.headers = headersOf(exchange->parser());
    exchange->lease().release(!request.freshConnection && exchange->parser().keep_alive(),
                              promisedIdle(exchange->parser()));
    co_return response;
}

auto Client::open(ClientRequest request, Duration headTimeout)
        -> asio::awaitable<ClientResult<std::unique_ptr<ClientStream>>>
{
    auto begun = co_await begin(impl_->pool(), request, headTimeout, std::nullopt);
    if (auto *error = std::get_if<ClientError>(&begun))
        co_return std::move(*error);
    auto exchange = std::move(std::get<ExchangePointer>(begun));
    exchange->lease().watchdog().disarm();
    co_return std::unique_ptr<ClientStream>(
            std::make_unique<StreamImpl>(std::move(exchange), !request.freshConnection));
}

auto Client::preconnect(Address address, Duration timeout) -> asio::awaitable<absl::Status>
{
    const auto pool = impl_->pool();
    auto options = pool->options();
    options.connectTimeout = timeout;
    auto exchange = Exchange { pool, address, pool->make(address) };
    auto status = co_await exchange.connect(options, timeout);
    if (status.ok())
        exchange.lease().release(true, Duration::max());
    co_return status;
}

auto Client::hasKept(const Address &address, Duration maxIdleAge) -> bool
{
    return impl_->pool()->hasKept(address, maxIdleAge);
}

auto Client::abortAll(const Address &address) -> void
{
    impl_->pool()->abortAll(address);
}

auto Client::abortAll() -> void
{
    impl_->pool()->abortAll();
}

} // namespace figrack::http
