#include "gateway/testing/endlessendpoint.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace figrack::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto idName = std::string_view { "X-Id: " };
constexpr auto idMark = std::string_view { "{id}" };
/// Units are joined up to this size if there is no pause between them.
constexpr auto blockBytes = std::size_t { 8 } << 10;

auto replaceAll(std::string text, std::string_view mark, const std::string &value) -> std::string
{
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
        text.replace(at, mark.size(), value);
    return text;
}

} // namespace

EndlessEndpoint::EndlessEndpoint(asio::io_context &context, EndlessReply reply)
    : acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
    , reply_(std::move(reply))
{ }

auto EndlessEndpoint::start(asio::io_context &context, EndlessReply reply)
        -> std::shared_ptr<EndlessEndpoint>
{
    auto endpoint = std::make_shared<EndlessEndpoint>(context, std::move(reply));
    asio::co_spawn(context, accept(endpoint), asio::detached);
    return endpoint;
}

auto EndlessEndpoint::stop() -> void
{
    auto ignored = error_code {};
    acceptor_.close(ignored);
    for (const auto &socket : sockets_)
        socket->close(ignored);
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
auto EndlessEndpoint::accept(std::shared_ptr<EndlessEndpoint> self) -> asio::awaitable<void>
{
    while (true) {
        auto code = error_code {};
        auto socket = std::make_shared<tcp::socket>(self->acceptor_.get_executor());
        co_await self->acceptor_.async_accept(*socket,
                                              asio::redirect_error(asio::use_awaitable, code));
        if (code)
            co_return;
        self->sockets_.push_back(socket);
        asio::co_spawn(self->acceptor_.get_executor(), serve(self, socket), asio::detached);
    }
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
auto EndlessEndpoint::serve(std::shared_ptr<EndlessEndpoint> self, std::shared_ptr<Socket> socket)
        -> asio::awaitable<void>
{
    const auto id = co_await readId(*socket);
    if (id.empty())
        co_return;
    ++self->requests_;
    ++self->open_;
    auto code = error_code {};
    const auto begin = replaceAll(self->reply_.begin, idMark, id);
    co_await asio::async_write(*socket, asio::buffer(begin),
                               asio::redirect_error(asio::use_awaitable, code));
    auto block = replaceAll(self->reply_.unit, idMark, id);
    while (self->reply_.pause == Duration::zero() && block.size() < blockBytes)
        block += block;
    auto timer = asio::steady_timer { socket->get_executor() };
    while (!code && !block.empty()) {
        if (self->reply_.pause > Duration::zero()) {
            timer.expires_after(self->reply_.pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await asio::async_write(*socket, asio::buffer(block),
                                   asio::redirect_error(asio::use_awaitable, code));
    }
    --self->open_;
    auto ignored = error_code {};
    socket->close(ignored);
}

auto EndlessEndpoint::readId(Socket &socket) -> asio::awaitable<std::string>
{
    auto input = std::string {};
    auto code = error_code {};
    while (!code && input.find("\r\n\r\n") == std::string::npos) {
        auto bytes = std::array<char, 4096> {};
        const auto count = co_await socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
        input.append(bytes.data(), count);
    }
    const auto at = input.find(idName);
    if (at == std::string::npos)
        co_return std::string {};
    const auto begin = at + idName.size();
    co_return input.substr(begin, input.find('\r', begin) - begin);
}

} // namespace figrack::gateway::testing
