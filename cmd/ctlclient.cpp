// call() sends the request to one control at a time. Each try has one of four results:
//   Final       the response is returned to the caller;
//   NotRun      the call did not run, so the next control is tried;
//   Redirected  the leader named in the response is tried;
//   Unknown     the call may have run, so it is sent again only with Resend::Yes.

#include "cmd/ctlclient.h"

#include <algorithm>
#include <thread>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "core/check.h"
#include "core/error.h"

namespace figrack::cmd {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto statusRedirect = std::uint32_t { 307 };
constexpr auto firstServerError = std::uint32_t { 500 };
constexpr auto maxRedirects = 5;

/// @return the address in "http://ip:port/path", or nothing if the location has another form
auto addressOfLocation(std::string_view location) -> std::optional<Address>
{
    constexpr auto scheme = std::string_view { "http://" };
    if (!location.starts_with(scheme))
        return std::nullopt;
    const auto rest = location.substr(scheme.size());
    auto address = parseAddress(rest.substr(0, rest.find('/')));
    return address.ok() ? std::optional { *std::move(address) } : std::nullopt;
}

/// @return the field "ran" of the "error" object in a JSON body, or an empty string
auto ranOf(const std::string &body) -> std::string
{
    auto error = json::error_code {};
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return {};
    const auto *inner = value.get_object().if_contains("error");
    if (inner == nullptr || !inner->is_object())
        return {};
    const auto *ran = inner->get_object().if_contains("ran");
    return ran != nullptr && ran->is_string() ? std::string { ran->get_string() } : std::string {};
}

} // namespace

ControlClient::ControlClient(ControlClientOptions options, const Clock &clock)
    : options_(std::move(options))
    , clock_(clock)
    , http_(context_, {}, clock)
{
    FIGRACK_CHECK(!options_.controls.empty(), "there is a control to call");
}

auto ControlClient::call(const ControlCall &call) -> ControlReply
{
    const auto end = clock_.now() + options_.timeout;
    auto last = Try {};
    auto mayHaveRun = false;
    auto redirects = 0;
    for (auto tries = std::size_t { 1 };; ++tries) {
        const auto left = end - clock_.now();
        last = tryOnce(call, nextAddress(last), std::min(options_.tryTimeout, left));
        if (last.verdict == Verdict::Final)
            return last.reply;
        mayHaveRun = mayHaveRun || last.verdict == Verdict::Unknown;
        if (mayHaveRun && call.resend == Resend::No)
            break;
        const auto redirected = last.verdict == Verdict::Redirected && ++redirects <= maxRedirects;
        const auto pause = !redirected && tries % options_.controls.size() == 0;
        if (clock_.now() + options_.retryDelay >= end)
            break;
        if (pause)
            std::this_thread::sleep_for(options_.retryDelay);
        if (!redirected) {
            redirects = 0;
            last.leader.reset();
            ++next_;
        }
    }
    last.reply.outcome = mayHaveRun ? Outcome::Unknown : Outcome::Unreachable;
    return last.reply;
}

auto ControlClient::nextAddress(const Try &last) -> Address
{
    if (last.leader)
        return *last.leader;
    return options_.controls[next_ % options_.controls.size()];
}

auto ControlClient::tryOnce(const ControlCall &call, const Address &address, Duration timeout)
        -> Try
{
    auto request = http::ClientRequest {};
    request.address = address;
    request.method = call.method;
    request.target = call.target;
    request.body = call.body;
    request.freshConnection = call.resend == Resend::No;
    request.headers = { { "Authorization", "Bearer " + options_.token } };
    if (!call.body.empty())
        request.headers.push_back({ "Content-Type", "application/json" });
    auto result = fetch(std::move(request), timeout);
    auto outcome = Try {};
    if (const auto *error = std::get_if<http::ClientError>(&result)) {
        outcome.verdict = error->sent == http::Sent::Nothing ? Verdict::NotRun : Verdict::Unknown;
        outcome.reply.detail = fmt::format("control={} {}", address.text(),
                                           std::string_view { errorArgument(error->status) });
        return outcome;
    }
    auto &response = std::get<http::Response>(result);
    outcome.reply = { Outcome::Answered, response.status, response.body,
                      fmt::format("control={} answered {}", address.text(), response.status) };
    const auto ran = ranOf(response.body);
    if (response.status == statusRedirect) {
        outcome.leader = addressOfLocation(http::findHeader(response.headers, "Location"));
        outcome.verdict = outcome.leader ? Verdict::Redirected : Verdict::NotRun;
    } else if (response.status < firstServerError) {
        outcome.verdict = Verdict::Final;
    } else {
        outcome.verdict = ran == "not_run" ? Verdict::NotRun : Verdict::Unknown;
    }
    return outcome;
}

auto ControlClient::fetch(http::ClientRequest request, Duration timeout)
        -> http::ClientResult<http::Response>
{
    auto result = std::optional<http::ClientResult<http::Response>> {};
    asio::co_spawn(context_, http_.fetch(std::move(request), timeout),
                   [&](const std::exception_ptr &error, http::ClientResult<http::Response> got) {
                       if (error)
                           got = http::ClientError { makeError(ErrorKind::Internal, "call") };
                       result = std::move(got);
                   });
    // run() might not return: connections that are kept open may leave work in the context.
    context_.restart();
    while (!result)
        context_.run_one();
    return *std::move(result);
}

} // namespace figrack::cmd
