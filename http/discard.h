// Reads away the rest of an answer that nobody needs, so that its connection can be kept.
//
//   discardRest(context, std::move(stream), DiscardBounds {});
//
// Guarantee: nobody waits for it. A rest that exceeds a bound ends the connection instead.

#ifndef FIGRACK_HTTP_DISCARD_H
#define FIGRACK_HTTP_DISCARD_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "http/client.h"

namespace figrack::http {

/// Bounds on the whole rest.
struct DiscardBounds
{
    Duration time = std::chrono::milliseconds { 200 };
    std::size_t bytes = std::size_t { 64 } << 10;
};

/// @param context runs what has not arrived yet after the call returned
auto discardRest(boost::asio::io_context &context, std::unique_ptr<ClientStream> stream,
                 DiscardBounds bounds) -> void;

} // namespace figrack::http

#endif // FIGRACK_HTTP_DISCARD_H
