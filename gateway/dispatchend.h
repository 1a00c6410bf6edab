// How a dispatch ended that did not settle its request, and what that proves about the request.

#ifndef FIGRACK_GATEWAY_DISPATCHEND_H
#define FIGRACK_GATEWAY_DISPATCHEND_H

#include <cstdint>
#include <string_view>

namespace figrack::gateway {

enum class DispatchEnd : std::uint8_t {
    Settled,     ///< The request has reached its final outcome.
    NotSent,     ///< No byte left: there was no connection, or the kernel accepted nothing.
    Withheld,    ///< No byte left: the endpoint must not be sent requests any more.
    Rejected,    ///< The answer says that the request has not run.
    Declined,    ///< The other gateway's answer says that it has not sent the request.
    Unanswered,  ///< Sent, and no head of an answer to the request arrived.
    Unsigned,    ///< A success without the signature arrived.
    BrokenOff,   ///< The answer ended before it was complete.
    Failed,      ///< The answer is a failure, or a retry after it did not settle the request.
    Interrupted, ///< An exception in this process.
};

/// @return "settled", "not_sent", "withheld", ...
auto dispatchEndName(DispatchEnd end) -> std::string_view;

/// @return true if the end proves that the request has not run
auto provesNotRun(DispatchEnd end) -> bool;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DISPATCHEND_H
