// A deadline that is moved often and seldom met.
//
//   auto watchdog = Watchdog::make(executor, [] { abortConnection(); });
//   watchdog->arm(timeout); ...; if (!watchdog->disarm()) ... // it has fired
//   watchdog->stop();
//
// Moving the deadline later costs a clock reading, not a timer: the one timer
// behind it looks again when it wakes. Thread-safe. The callback runs at most
// once an arm(), on any worker, outside the lock (a leaf in the lock order).

#ifndef FIGRACK_HTTP_WATCHDOG_H
#define FIGRACK_HTTP_WATCHDOG_H

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/io_context.hpp>

#include "core/boottimer.h"
#include "core/clock.h"

namespace figrack::http {

class Watchdog : public std::enable_shared_from_this<Watchdog>
{
public:
    static auto make(boost::asio::io_context &context, std::function<void()> onExpire)
            -> std::shared_ptr<Watchdog>;
    Watchdog(boost::asio::io_context &context, std::function<void()> onExpire);
    /// Sets the deadline anew. @param timeout from now
    auto arm(Duration timeout) -> void;
    /// Clears the deadline. @return false when it has passed and the callback has run or will
    auto disarm() -> bool;
    /// Ends it for good and lets go of the callback.
    auto stop() -> void;

private:
    auto wait() -> void;
    auto onTimer() -> void;

    std::mutex mutex_; ///< Guards all below; a leaf.
    BasicBootTimer<boost::asio::io_context::executor_type> timer_;
    std::function<void()> onExpire_;
    Instant deadline_ = Instant::max();
    Instant wakeAt_ = Instant::max(); ///< When the timer looks next; max() when it does not run.
    bool fired_ = false;
    bool stopped_ = false;
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_WATCHDOG_H
