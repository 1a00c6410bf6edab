// Messages about the origins of streams between gateways, over HTTP (proto/streamorigin.h).
//
//   auto exchange = OriginExchange { { keys }, context, clock };           // the sender
//   auto answer = co_await exchange.transport().send(owner, message, timeout);
//   auto response = answerOriginMessage(request, *keys, handler);          // the receiver
//
// Messages go to the address at which the other gateway takes handed requests. They can be
// repeated.

#ifndef FIGRACK_GATEWAY_ORIGINEXCHANGE_H
#define FIGRACK_GATEWAY_ORIGINEXCHANGE_H

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "gateway/origintransport.h"
#include "http/client.h"
#include "http/message.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

/// Path at which a gateway takes messages about the origins of streams.
constexpr auto streamOriginsPath = std::string_view { "/stream-origins" };

/// Answers a message of another gateway.
using OriginHandler = std::function<proto::StreamOriginReply(const proto::StreamOriginMessage &)>;

/// @return options for short exchanges with up to 256 gateways: a connection that is not used again
/// soon costs both sides more than a new one
inline auto originClient() -> http::ClientOptions
{
    auto options = http::ClientOptions {};
    options.maxIdlePerPeer = 2;
    options.idleTimeout = std::chrono::seconds { 2 };
    options.maxBodyBytes = std::size_t { 256 } << 10;
    return options;
}

struct OriginExchangeOptions
{
    std::shared_ptr<proto::PeerKeys> keys;
    http::ClientOptions client = originClient();
};

class OriginExchange
{
public:
    /// @param clock must outlive the coroutines of this object
    OriginExchange(OriginExchangeOptions options, boost::asio::io_context &context,
                   const Clock &clock);
    ~OriginExchange();
    OriginExchange(const OriginExchange &) = delete;
    auto operator=(const OriginExchange &) -> OriginExchange & = delete;
    /// @return how to send messages; may be used after the end of this object
    auto transport() const -> OriginTransport;
    /// Ends all messages that are on their way.
    auto stop() -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// @param handler is called if one of the keys made the seal
/// @return the sealed reply, or the refusal
auto answerOriginMessage(const http::Request &request, const proto::PeerKeys &keys,
                         const OriginHandler &handler) -> http::Response;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ORIGINEXCHANGE_H
