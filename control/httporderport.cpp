// The coroutines run on the worker pool, so that a busy strand does not delay connections and
// abortAll() takes effect at once.

#include "control/httporderport.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace figrack::control {
namespace {

namespace asio = boost::asio;

auto sendOrder(endpoint::OrderSender &sender, HttpOrderPort::Strand strand, Address endpoint,
               endpoint::Order order, std::function<bool()> mayStart, OrderPort::OrderDone done)
        -> asio::awaitable<void>
{
    auto answer = co_await sender.send(std::move(endpoint), std::move(order), std::move(mayStart));
    asio::post(strand, [done = std::move(done), answer = std::move(answer)] { done(answer); });
}

auto fetch(endpoint::OrderSender &sender, HttpOrderPort::Strand strand, Address endpoint,
           OrderPort::StatusDone done) -> asio::awaitable<void>
{
    auto report = co_await sender.fetchStatus(std::move(endpoint));
    asio::post(strand, [done = std::move(done), report = std::move(report)] { done(report); });
}

} // namespace

HttpOrderPort::HttpOrderPort(asio::io_context &context, Strand strand,
                             endpoint::OrderOptions options)
    : context_(context)
    , strand_(std::move(strand))
    , sender_(context, options)
{ }

auto HttpOrderPort::send(const Address &endpoint, const endpoint::Order &order,
                         std::function<bool()> mayStart, OrderDone done) -> void
{
    asio::co_spawn(
            asio::make_strand(context_),
            sendOrder(sender_, strand_, endpoint, order, std::move(mayStart), std::move(done)),
            asio::detached);
}

auto HttpOrderPort::fetchStatus(const Address &endpoint, StatusDone done) -> void
{
    asio::co_spawn(asio::make_strand(context_), fetch(sender_, strand_, endpoint, std::move(done)),
                   asio::detached);
}

auto HttpOrderPort::abortAll() -> void
{
    sender_.abortAll();
}

} // namespace figrack::control
