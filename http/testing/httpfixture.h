// What the tests of the server and the client share: a context on two threads,
// and a plain blocking socket that says exactly what a test wants it to say.

#ifndef FIGRACK_HTTP_TESTING_HTTPFIXTURE_H
#define FIGRACK_HTTP_TESTING_HTTPFIXTURE_H

#include <future>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include "core/settings.h"

namespace figrack::http {

/// A generous limit: tests wait for events, never for a time to have passed.
constexpr auto testLimit = std::chrono::seconds { 30 };

class ContextThreads
{
public:
    ContextThreads()
        : work_(context_.get_executor())
    {
        for (auto i = 0; i < 2; ++i)
            threads_.emplace_back([this] { context_.run(); });
    }
    ~ContextThreads()
    {
        work_.reset();
        context_.stop();
        for (auto &thread : threads_)
            thread.join();
    }
    ContextThreads(const ContextThreads &) = delete;
    auto operator=(const ContextThreads &) -> ContextThreads & = delete;

    auto context() -> boost::asio::io_context & { return context_; }

    /// Runs a coroutine to its end. @return its result
    template<typename Awaitable>
    auto wait(Awaitable awaitable)
    {
        return boost::asio::co_spawn(context_, std::move(awaitable), boost::asio::use_future).get();
    }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

class RawSocket
{
public:
    explicit RawSocket(std::uint16_t port)
        : socket_(context_)
    {
        socket_.connect({ boost::asio::ip::address_v4::loopback(), port });
    }
    explicit RawSocket(boost::asio::ip::tcp::acceptor &acceptor)
        : socket_(context_)
    {
        acceptor.accept(socket_);
    }
    /// @return false when the peer has reset the connection
    auto say(std::string_view text) -> bool
    {
        auto code = boost::system::error_code {};
        boost::asio::write(socket_, boost::asio::buffer(text.data(), text.size()), code);
        return !code;
    }
    /// @return what comes until the text has been seen or the stream ends
    auto hearUntil(std::string_view text) -> std::string
    {
        auto heard = std::string {};
        auto code = boost::system::error_code {};
        while (heard.find(text) == std::string::npos && !code) {
            char bytes[4096];
            const auto count = socket_.read_some(boost::asio::buffer(bytes), code);
            heard.append(bytes, count);
        }
        lastCode = code;
        return heard;
    }
    auto hearAll() -> std::string { return hearUntil(std::string_view { "\0never\0", 7 }); }
    auto reset() -> void
    {
        socket_.set_option(boost::asio::socket_base::linger { true, 0 });
        socket_.close();
    }
    auto close() -> void { socket_.close(); }
    boost::system::error_code lastCode; ///< Why the last hearing ended.

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

/// A listener on a free loopback port that a test plays the server on.
class RawListener
{
public:
    RawListener()
        : acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
    { }
    auto port() const -> std::uint16_t { return acceptor_.local_endpoint().port(); }
    auto address() const -> Address { return { "127.0.0.1", port() }; }
    auto accept() -> RawSocket { return RawSocket { acceptor_ }; }
    auto close() -> void { acceptor_.close(); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

/// A listener whose backlog is full, so that new connections hang as behind a partition.
class FullListener
{
public:
    FullListener()
        : acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        ::listen(acceptor_.native_handle(), 0);
        const auto address = acceptor_.local_endpoint();
        for (auto i = 0; i < 3; ++i) {
            auto &filler = fillers_.emplace_back(context_, boost::asio::ip::tcp::v4());
            filler.native_non_blocking(true);
            static_cast<void>(::connect(filler.native_handle(), address.data(),
                                        static_cast<socklen_t>(address.size())));
        }
    }
    auto address() const -> Address { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<boost::asio::ip::tcp::socket> fillers_;
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_TESTING_HTTPFIXTURE_H
