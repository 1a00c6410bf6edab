// Suspends requests until an endpoint may be able to take them.
//
//   co_await waiters.wait(timeout);                     // in a request's coroutine
//   waiters.wakeAll();                                  // when the view changes
//
// Each request checks its own condition again after waking up. Not thread-safe.

#ifndef FIGRACK_GATEWAY_WAITERS_H
#define FIGRACK_GATEWAY_WAITERS_H

#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/boottimer.h"
#include "core/clock.h"

namespace figrack::gateway {

class Waiters
{
public:
    explicit Waiters(boost::asio::io_context &context)
        : context_(context)
    { }
    /// Waits until wakeAll() is called or the timeout expires. @param timeout zero or more
    auto wait(Duration timeout) -> boost::asio::awaitable<void>;
    auto wakeAll() -> void;
    auto size() const -> std::size_t { return timers_.size(); }

private:
    boost::asio::io_context &context_;
    std::set<BootTimer *> timers_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_WAITERS_H
