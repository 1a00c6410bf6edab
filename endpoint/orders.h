// Sends load and unload orders to engines and reads their status.
//
//   auto sender = OrderSender { context, options };
//   auto reply = co_await sender.send(address, order, [&] { return lease.holds(clock.now()); });
//   auto report = co_await sender.fetchStatus(address);
//   sender.abortAll();          // the lease has run out
//
// Guarantees: an order goes out at most once, on a connection of its own that
// is never kept. mayStart is asked after the connection stands and right before the first
// byte is written. After abortAll() has returned, no byte of an order begun
// before it leaves this process, neither from here nor from the kernel's send
// queue; such an order ends as NotSent or Unknown. Status replies are bounded and checked.

#ifndef FIGRACK_ENDPOINT_ORDERS_H
#define FIGRACK_ENDPOINT_ORDERS_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "http/client.h"
#include "proto/messages.h"
#include "state/commands.h"

namespace figrack::endpoint {

struct OrderOptions
{
    Duration orderTimeout = std::chrono::seconds { 2 }; ///< From the call to the whole reply.
    Duration statusTimeout = std::chrono::seconds { 1 };
    Duration connectTimeout = std::chrono::milliseconds { 500 };
    Duration userTimeout = std::chrono::seconds { 2 }; ///< TCP_USER_TIMEOUT.
};

/// One order as it goes to an engine.
struct Order
{
    OrderId id;
    Fence fence;
    state::OrderAction action = state::OrderAction::Load;
    ModelId model;
    std::string version;
    ModelId base;               ///< Empty for a base model.
    std::uint64_t memoryMb = 0; ///< Weights and KV room that a load may take, MiB; 0 for an unload.
};

/// What became of an order, as far as this process can know.
enum class OrderReply : std::uint8_t {
    Taken,      ///< 202: the engine works on it.
    Already,    ///< 200: it was so already.
    StaleFence, ///< The engine has seen a higher fence: another leads.
    Refused,    ///< The engine did not take it, and says so.
    NotSent,    ///< Certainly no byte left: no connection, or mayStart said no.
    Unknown,    ///< Anything else; only a newer observation settles it.
};

/// @return "taken", "already", "stale_fence", "refused", "not_sent" or "unknown"
auto orderReplyName(OrderReply reply) -> std::string_view;

struct OrderAnswer
{
    OrderReply reply = OrderReply::Unknown;
    std::string detail; ///< The engine's error or the transport's, for the log.
};

class OrderSender
{
public:
    OrderSender(boost::asio::io_context &context, OrderOptions options);
    /// Sends one order.
    /// @param endpoint the engine's address
    /// @param order the order
    /// @param mayStart asked right before the first byte; may be empty. Called on any worker.
    /// @return what is known of it
    auto send(Address endpoint, Order order, std::function<bool()> mayStart = {})
            -> boost::asio::awaitable<OrderAnswer>;
    /// Asks an endpoint for its state now.
    /// @return the report; EndpointFailed, Timeout, TooLarge, or Malformed naming the field
    auto fetchStatus(Address endpoint)
            -> boost::asio::awaitable<absl::StatusOr<proto::EndpointReport>>;
    /// Ends every connection that carries an order, by RST. From any thread.
    auto abortAll() -> void;

private:
    OrderOptions options_;
    http::Client orders_;   ///< Orders alone, so that abortAll() hits nothing else.
    http::Client statuses_; ///< Kept connections for status.
};

} // namespace figrack::endpoint

#endif // FIGRACK_ENDPOINT_ORDERS_H
