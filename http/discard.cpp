#include "http/discard.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace figrack::http {

namespace asio = boost::asio;

namespace {

// The stream ends its connection if it is destroyed before the end of the answer.
auto readAway(std::unique_ptr<ClientStream> stream, DiscardBounds bounds) -> asio::awaitable<void>
{
    const auto until = BootClock::now() + bounds.time;
    auto bytes = std::size_t { 0 };
    while (bytes <= bounds.bytes) {
        const auto left = until - BootClock::now();
        if (left <= Duration::zero())
            co_return;
        auto chunk = co_await stream->read(left);
        if (!chunk.ok() || chunk->empty())
            co_return;
        bytes += chunk->size();
    }
}

} // namespace

auto discardRest(asio::io_context &context, std::unique_ptr<ClientStream> stream,
                 DiscardBounds bounds) -> void
{
    asio::co_spawn(context, readAway(std::move(stream), bounds), asio::detached);
}

} // namespace figrack::http
