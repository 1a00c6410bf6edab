// Waits in a coroutine for a callback that comes once.
//
//   const auto status = co_await completionOf(context, [&](auto done) {
//       core.propose(document, done);
//   });

#ifndef FIGRACK_FLEET_COMPLETION_H
#define FIGRACK_FLEET_COMPLETION_H

#include <functional>
#include <memory>
#include <optional>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"

namespace figrack::fleet {

/// @param start is given the callback; it calls it once, perhaps at once, on the context's thread
/// @return what the callback was given
inline auto completionOf(boost::asio::io_context &context,
                         std::function<void(std::function<void(absl::Status)>)> start)
        -> boost::asio::awaitable<absl::Status>
{
    struct State
    {
        explicit State(boost::asio::io_context &context)
            : timer(context, Instant::max())
        { }
        BootTimer timer;
        std::optional<absl::Status> status;
    };
    const auto state = std::make_shared<State>(context);
    start([state](absl::Status status) {
        state->status = std::move(status);
        state->timer.cancel();
    });
    auto code = boost::system::error_code {};
    while (!state->status)
        co_await state->timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, code));
    co_return *state->status;
}

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_COMPLETION_H
