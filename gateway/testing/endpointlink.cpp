// A new connection hangs while the listener's backlog is full: the kernel then drops the SYN. To
// fill it, the backlog is reduced to its minimum, and connections are made that nobody accepts.

#include "gateway/testing/endpointlink.h"

#include <algorithm>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace figrack::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto usualBacklog = 128;
/// Connections that fill the smallest backlog, and one that shows that it is full.
constexpr auto fillers = 3;

/// The two connections of one gateway connection.
struct Pair
{
    explicit Pair(asio::io_context &context)
        : gateway(context)
        , endpoint(context)
    { }
    auto close() -> void
    {
        auto ignored = error_code {};
        gateway.close(ignored);
        endpoint.close(ignored);
    }
    auto reset() -> void
    {
        auto ignored = error_code {};
        gateway.set_option(asio::socket_base::linger { true, 0 }, ignored);
        close();
    }
    tcp::socket gateway;
    tcp::socket endpoint;
};

using PairPointer = std::shared_ptr<Pair>;

} // namespace

class EndpointLink::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, std::uint16_t endpointPort)
        : context_(context)
        , endpoint_(asio::ip::address_v4::loopback(), endpointPort)
        , acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
        , address_(acceptor_.local_endpoint())
    { }

    auto start() -> void { asio::co_spawn(context_, accept(shared_from_this()), asio::detached); }

    auto stop() -> void
    {
        auto ignored = error_code {};
        acceptor_.close(ignored);
        fillers_.clear();
        for (const auto &pair : pairs_)
            pair->close();
    }

    auto port() const -> std::uint16_t { return address_.port(); }
    auto delivered() const -> std::size_t { return delivered_; }

    auto cut(Cut how) -> void
    {
        cut_ = how;
        auto ignored = error_code {};
        if (how == Cut::Hang || how == Cut::OneWay) {
            acceptor_.cancel(ignored);
            ::listen(acceptor_.native_handle(), 0);
            for (auto i = 0; i < fillers; ++i) {
                auto &filler = fillers_.emplace_back(context_, tcp::v4());
                filler.native_non_blocking(true);
                static_cast<void>(::connect(filler.native_handle(), address_.data(),
                                            static_cast<socklen_t>(address_.size())));
            }
            return;
        }
        acceptor_.close(ignored);
        if (how == Cut::Reset) {
            for (const auto &pair : pairs_)
                pair->reset();
        }
    }

    auto heal() -> void
    {
        cut_.reset();
        fillers_.clear();
        // Bytes that were lost are not sent again, so connections of the time of the cut end.
        for (const auto &pair : pairs_)
            pair->reset();
        auto ignored = error_code {};
        acceptor_.close(ignored);
        acceptor_ = tcp::acceptor { context_, address_ };
        start();
    }

private:
    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto accept(std::shared_ptr<Impl> self) -> asio::awaitable<void>
    {
        while (true) {
            auto code = error_code {};
            const auto pair = std::make_shared<Pair>(self->context_);
            co_await self->acceptor_.async_accept(pair->gateway,
                                                  asio::redirect_error(asio::use_awaitable, code));
            if (code || self->cut_)
                co_return;
            asio::co_spawn(self->context_, serve(self, pair), asio::detached);
        }
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto serve(std::shared_ptr<Impl> self, PairPointer pair) -> asio::awaitable<void>
    {
        auto code = error_code {};
        co_await pair->endpoint.async_connect(self->endpoint_,
                                              asio::redirect_error(asio::use_awaitable, code));
        if (code)
            co_return;
        self->pairs_.push_back(pair);
        asio::co_spawn(self->context_, pump(self, pair, false), asio::detached);
        co_await pump(self, pair, true);
        std::erase(self->pairs_, pair);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto pump(std::shared_ptr<Impl> self, PairPointer pair, bool isToEndpoint)
            -> asio::awaitable<void>
    {
        auto &from = isToEndpoint ? pair->gateway : pair->endpoint;
        auto &to = isToEndpoint ? pair->endpoint : pair->gateway;
        auto bytes = std::array<char, 4096> {};
        auto code = error_code {};
        while (!code) {
            const auto count = co_await from.async_read_some(
                    asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
            if (code || self->loses(isToEndpoint))
                continue;
            self->delivered_ += isToEndpoint ? count : 0;
            co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                                       asio::redirect_error(asio::use_awaitable, code));
        }
        // A close does not pass a cut either.
        if (!self->loses(isToEndpoint))
            pair->close();
    }

    auto loses(bool isToEndpoint) const -> bool
    {
        return cut_ == Cut::Hang || (cut_ == Cut::OneWay && !isToEndpoint);
    }

    asio::io_context &context_;
    tcp::endpoint endpoint_;
    tcp::acceptor acceptor_;
    tcp::endpoint address_;
    std::optional<Cut> cut_;
    std::vector<tcp::socket> fillers_;
    std::vector<PairPointer> pairs_;
    std::size_t delivered_ = 0;
};

EndpointLink::EndpointLink(asio::io_context &context, std::uint16_t endpointPort)
    : impl_(std::make_shared<Impl>(context, endpointPort))
{
    impl_->start();
}

EndpointLink::~EndpointLink()
{
    impl_->stop();
}

auto EndpointLink::port() const -> std::uint16_t
{
    return impl_->port();
}

auto EndpointLink::cut(Cut how) -> void
{
    impl_->cut(how);
}

auto EndpointLink::heal() -> void
{
    impl_->heal();
}

auto EndpointLink::delivered() const -> std::size_t
{
    return impl_->delivered();
}

} // namespace figrack::gateway::testing
