// How a gateway sends another one a message about the origins of streams.

#ifndef FIGRACK_GATEWAY_ORIGINTRANSPORT_H
#define FIGRACK_GATEWAY_ORIGINTRANSPORT_H

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "gateway/foundorigin.h"
#include "gateway/originowners.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

struct OriginTransport
{
    /// Sends a message. A coroutine of it may outlive the objects that take part.
    /// @param timeout until the answer has arrived
    /// @return the answer, or why there is none
    std::function<boost::asio::awaitable<OriginAnswer>(
            OriginOwner owner, proto::StreamOriginMessage message, Duration timeout)>
            send;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ORIGINTRANSPORT_H
