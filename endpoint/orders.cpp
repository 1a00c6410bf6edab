// What a reply means is a small table over the HTTP status. All that is not a
// clear answer counts as Unknown: a 5xx may come from an engine that has begun.

#include "endpoint/orders.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "core/error.h"
#include "endpoint/announcement.h"

namespace figrack::endpoint {

namespace asio = boost::asio;

namespace {

constexpr std::string_view replyNames[]
        = { "taken", "already", "stale_fence", "refused", "not_sent", "unknown" };
constexpr auto maxDetailBytes = std::size_t { 256 };

auto orderClientOptions(const OrderOptions &options) -> http::ClientOptions
{
    auto made = http::ClientOptions {};
    made.connectTimeout = options.connectTimeout;
    made.userTimeout = options.userTimeout;
    made.maxBodyBytes = maxAnnouncementBytes;
    return made;
}

auto orderBody(const Order &order) -> std::string
{
    auto object = boost::json::object {};
    object["order"] = order.id.value();
    object["fence"] = order.fence.value();
    object["action"] = order.action == state::OrderAction::Load ? "load" : "unload";
    object["model"] = order.model.value();
    object["version"] = order.version;
    object["base"] = order.base.value();
    object["memory_mb"] = order.memoryMb;
    return boost::json::serialize(object);
}

auto readReply(const http::Response &response) -> OrderAnswer
{
    const auto detail = response.body.substr(0, maxDetailBytes);
    const auto isStale = response.body.find("stale_fence") != std::string::npos;
    if (response.status == 202)
        return { OrderReply::Taken, {} };
    if (response.status == 200)
        return { OrderReply::Already, {} };
    if (response.status == 409 && isStale)
        return { OrderReply::StaleFence, detail };
    if (response.status >= 400 && response.status < 500)
        return { OrderReply::Refused, detail };
    return { OrderReply::Unknown, detail };
}

auto readError(const http::ClientError &error) -> OrderAnswer
{
    const auto message = error.status.message();
    return { error.sent == http::Sent::Nothing ? OrderReply::NotSent : OrderReply::Unknown,
             std::string { message.data(), message.size() } };
}

auto orderRequest(Address endpoint, const Order &order, std::function<bool()> mayStart)
        -> http::ClientRequest
{
    auto request = http::ClientRequest {};
    request.address = std::move(endpoint);
    request.target = "/figrack/orders";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = orderBody(order);
    request.freshConnection = true;
    request.mayStart = std::move(mayStart);
    return request;
}

} // namespace

auto orderReplyName(OrderReply reply) -> std::string_view
{
    const auto index = static_cast<std::size_t>(reply);
    return index < std::size(replyNames) ? replyNames[index] : replyNames[5];
}

OrderSender::OrderSender(asio::io_context &context, OrderOptions options)
    : options_(options)
    , orders_(context, orderClientOptions(options), systemClock())
    , statuses_(context, orderClientOptions(options), systemClock())
{ }

auto OrderSender::send(Address endpoint, Order order, std::function<bool()> mayStart)
        -> asio::awaitable<OrderAnswer>
{
    auto request = orderRequest(std::move(endpoint), order, std::move(mayStart));
    const auto result = co_await orders_.fetch(std::move(request), options_.orderTimeout);
    if (const auto *error = std::get_if<http::ClientError>(&result))
        co_return readError(*error);
    co_return readReply(std::get<http::Response>(result));
}

auto OrderSender::fetchStatus(Address endpoint)
        -> asio::awaitable<absl::StatusOr<proto::EndpointReport>>
{
    auto request = http::ClientRequest {};
    request.address = endpoint;
    request.method = "GET";
    request.target = "/figrack/status";
    const auto result = co_await statuses_.fetch(std::move(request), options_.statusTimeout);
    if (const auto *error = std::get_if<http::ClientError>(&result))
        co_return error->status;
    const auto &response = std::get<http::Response>(result);
    if (response.status != 200) {
        co_return makeError(ErrorKind::EndpointFailed,
                            "address=" + endpoint.text()
                                    + " status=" + std::to_string(response.status));
    }
    co_return parseAnnouncement(response.body);
}

auto OrderSender::abortAll() -> void
{
    orders_.abortAll();
}

} // namespace figrack::endpoint
