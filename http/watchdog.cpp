// The timer is restarted only when the new deadline lies before its next look.

#include "http/watchdog.h"
#include "core/boottimer.h"

#include <utility>

namespace figrack::http {

auto Watchdog::make(boost::asio::io_context &context, std::function<void()> onExpire)
        -> std::shared_ptr<Watchdog>
{
    return std::make_shared<Watchdog>(context, std::move(onExpire));
}

Watchdog::Watchdog(boost::asio::io_context &context, std::function<void()> onExpire)
    : timer_(context.get_executor())
    , onExpire_(std::move(onExpire))
{ }

auto Watchdog::arm(Duration timeout) -> void
{
    const auto lock = std::lock_guard { mutex_ };
    if (stopped_)
        return;
    fired_ = false;
    deadline_ = BootClock::now() + timeout;
    if (deadline_ < wakeAt_)
        wait();
}

auto Watchdog::disarm() -> bool
{
    const auto lock = std::lock_guard { mutex_ };
    deadline_ = Instant::max();
    return !std::exchange(fired_, false);
}

auto Watchdog::stop() -> void
{
    auto callback = std::function<void()> {};
    const auto lock = std::lock_guard { mutex_ };
    stopped_ = true;
    deadline_ = Instant::max();
    callback.swap(onExpire_);
    timer_.cancel();
}

auto Watchdog::wait() -> void
{
    wakeAt_ = deadline_;
    timer_.expires_at(wakeAt_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &code) {
        if (!code)
            self->onTimer();
    });
}

auto Watchdog::onTimer() -> void
{
    auto callback = std::function<void()> {};
    {
        const auto lock = std::lock_guard { mutex_ };
        if (BootClock::now() < wakeAt_)
            return; // An older wait whose end was already on its way when arm() moved it.
        wakeAt_ = Instant::max();
        if (stopped_ || deadline_ == Instant::max())
            return;
        if (BootClock::now() < deadline_)
            return wait();
        deadline_ = Instant::max();
        fired_ = true;
        callback = onExpire_;
    }
    callback();
}

} // namespace figrack::http
