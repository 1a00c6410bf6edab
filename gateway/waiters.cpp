#include "gateway/waiters.h"
#include "core/boottimer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figrack::gateway {

auto Waiters::wait(Duration timeout) -> boost::asio::awaitable<void>
{
    auto timer = BootTimer { context_, timeout };
    timers_.insert(&timer);
    auto code = boost::system::error_code {};
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, code));
    timers_.erase(&timer);
}

auto Waiters::wakeAll() -> void
{
    for (auto *timer : timers_)
        timer->cancel();
}

} // namespace figrack::gateway
