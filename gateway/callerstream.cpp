#include "gateway/callerstream.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figrack::gateway {

namespace asio = boost::asio;

CallerStream::CallerStream(asio::io_context &context, http::Responder &responder,
                           HeldBytes &heldBytes)
    : responder_(responder)
    , heldBytes_(heldBytes)
    , progress_(context)
    , share_(heldBytes.hold(HeldBytes::Kind::Buffered))
{ }

auto CallerStream::write(std::string bytes) -> asio::awaitable<bool>
{
    while (!isGone_ && isWriting_ && !heldBytes_.mayBuffer(share_.bytes(), bytes.size()))
        co_await waitForWriter();
    if (isGone_)
        co_return false;
    if (!heldBytes_.mayBuffer(share_.bytes(), bytes.size())) {
        const auto written = co_await responder_.write(std::move(bytes));
        isGone_ = !written.ok();
        co_return !isGone_;
    }
    share_.add(bytes.size());
    buffered_ += bytes;
    if (!isWriting_) {
        const auto executor = co_await asio::this_coro::executor;
        startWriting(executor);
    }
    co_return true;
}

auto CallerStream::drain() -> asio::awaitable<bool>
{
    while (isWriting_)
        co_await waitForWriter();
    co_return !isGone_;
}

auto CallerStream::drop() -> void
{
    isGone_ = true;
    share_.remove(std::exchange(buffered_, {}).size());
    progress_.cancel();
}

auto CallerStream::startWriting(const asio::any_io_executor &executor) -> void
{
    isWriting_ = true;
    asio::co_spawn(executor, writeBuffered(), [this, executor](const std::exception_ptr &failure) {
        isWriting_ = false;
        if (failure)
            drop();
        // Bytes may have been added after the writer looked for the last time.
        if (!buffered_.empty())
            startWriting(executor);
        progress_.cancel();
    });
}

auto CallerStream::writeBuffered() -> asio::awaitable<void>
{
    while (!buffered_.empty()) {
        auto bytes = std::exchange(buffered_, {});
        const auto size = bytes.size();
        const auto written = co_await responder_.write(std::move(bytes));
        share_.remove(size);
        if (!written.ok())
            drop();
        progress_.cancel();
    }
}

auto CallerStream::waitForWriter() -> asio::awaitable<void>
{
    progress_.expires_at(Instant::max());
    auto code = boost::system::error_code {};
    co_await progress_.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

} // namespace figrack::gateway
