#include "testing/operatoragent.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace figrack::testing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto retryPause = std::chrono::milliseconds { 100 };
constexpr auto askTimeout = std::chrono::seconds { 10 };

auto pause(Duration time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer { co_await asio::this_coro::executor };
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// @return the address in "http://ip:port/path"
auto locationAddress(std::string_view location) -> absl::StatusOr<Address>
{
    constexpr auto scheme = std::string_view { "http://" };
    if (location.substr(0, scheme.size()) == scheme)
        location.remove_prefix(scheme.size());
    return parseAddress(location.substr(0, location.find('/')));
}

auto replyOf(const http::Response &response) -> OperatorReply
{
    auto code = json::error_code {};
    auto body = json::parse({ response.body.data(), response.body.size() }, code);
    return { response.status, code ? json::value {} : std::move(body) };
}

} // namespace

auto OperatorReply::number(std::string_view pointer) const -> std::uint64_t
{
    auto code = json::error_code {};
    const auto *value = body.find_pointer({ pointer.data(), pointer.size() }, code);
    if (value == nullptr || !value->is_number())
        return 0;
    const auto number = value->to_number<std::uint64_t>(code);
    return code ? 0 : number;
}

auto OperatorReply::text(std::string_view pointer) const -> std::string
{
    auto code = json::error_code {};
    const auto *value = body.find_pointer({ pointer.data(), pointer.size() }, code);
    return value != nullptr && value->is_string() ? std::string { value->get_string().c_str() }
                                                  : std::string {};
}

OperatorAgent::OperatorAgent(asio::io_context &context, std::vector<Address> controls,
                             std::string token)
    : client_(context, {}, systemClock())
    , controls_(std::move(controls))
    , token_(std::move(token))
{ }

auto OperatorAgent::ask(std::string method, std::string path, std::string body, Duration limit)
        -> asio::awaitable<OperatorReply>
{
    const auto end = clock_.now() + limit;
    constexpr auto unavailable = 503U;
    for (auto next = std::size_t { 0 }; clock_.now() < end; ++next) {
        const auto left = std::min<Duration>(end - clock_.now(), askTimeout);
        auto reply = co_await askOne(controls_[next % controls_.size()], method, path, body, left);
        if (reply.status != 0 && reply.status < unavailable)
            co_return reply;
        co_await pause(retryPause);
    }
    co_return OperatorReply {};
}

auto OperatorAgent::askOne(Address control, const std::string &method, const std::string &path,
                           const std::string &body, Duration limit)
        -> asio::awaitable<OperatorReply>
{
    constexpr auto maxHops = 3;
    constexpr auto redirect = 307U;
    for (auto hop = 0; hop < maxHops; ++hop) {
        auto request = http::ClientRequest {};
        request.address = control;
        request.method = method;
        request.target = path;
        request.body = body;
        request.headers.push_back({ "Authorization", "Bearer " + token_ });
        request.headers.push_back({ "Content-Type", "application/json" });
        request.freshConnection = true;
        const auto result = co_await client_.fetch(std::move(request), limit);
        const auto *response = std::get_if<http::Response>(&result);
        if (response == nullptr)
            co_return OperatorReply {};
        if (response->status != redirect)
            co_return replyOf(*response);
        const auto address = locationAddress(http::findHeader(response->headers, "Location"));
        if (!address.ok())
            co_return OperatorReply {};
        control = *address;
    }
    co_return OperatorReply {};
}

auto OperatorAgent::changeOnce(std::string id, std::uint64_t expected, std::string operation,
                               Duration limit) -> asio::awaitable<OperatorReply>
{
    auto body = fmt::format(R"({{"change":"{}","expected":{},"author":"driver",{}}})", id, expected,
                            operation);
    co_return co_await ask("POST", "/v1/config", std::move(body), limit);
}

auto OperatorAgent::change(std::string id, std::string operation, Duration limit)
        -> asio::awaitable<std::uint64_t>
{
    const auto end = clock_.now() + limit;
    constexpr auto ok = 200U;
    constexpr auto conflict = 409U;
    for (auto attempt = 0; clock_.now() < end; ++attempt) {
        const auto config = co_await ask("GET", "/v1/config", "", end - clock_.now());
        if (config.status != ok)
            continue;
        const auto reply
                = co_await changeOnce(fmt::format("{}-{}", id, attempt), config.number("/revision"),
                                      operation, end - clock_.now());
        if (reply.status == ok)
            co_return reply.number("/revision");
        if (reply.status != conflict)
            co_return 0;
    }
    co_return 0;
}

} // namespace figrack::testing
