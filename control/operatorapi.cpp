// Each call is a row of a table. Its function runs on the control's strand and answers through a
// callback, either immediately or when an awaited event has happened. The connection's coroutine
// waits for that answer.

#include "control/operatorapi.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/configjson.h"
#include "control/metrics.h"
#include "control/statusjson.h"
#include "core/error.h"

namespace figrack::control {
namespace {

namespace asio = boost::asio;

constexpr auto retryAfterElection = std::int64_t { 1000 };

auto jsonResponse(std::uint32_t status, std::string body) -> http::Response
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

auto textResponse(std::uint32_t status, std::string body) -> http::Response
{
    return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(body) };
}

auto startsWith(std::string_view text, std::string_view start) -> bool
{
    return text.substr(0, start.size()) == start;
}

/// @return the id in "/v1/endpoints/{id}/drain", or an empty text
auto idBetween(std::string_view path, std::string_view before, std::string_view after)
        -> std::string
{
    if (!startsWith(path, before) || path.size() <= before.size() + after.size())
        return {};
    const auto rest = path.substr(before.size());
    const auto end = rest.size() - after.size();
    return rest.substr(end) == after ? std::string { rest.substr(0, end) } : std::string {};
}

/// @return the value of a field of a query such as "window=5m&format=json", or the fallback
auto queryField(std::string_view query, std::string_view name, std::string_view fallback)
        -> std::string_view
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name)
            return field.substr(equals + 1);
    }
    return fallback;
}

/// One output format of the burn report.
struct ReportForm
{
    std::string_view name;
    report::ReportFormat format;
    std::string_view contentType;
};

constexpr auto reportForms = std::array {
    ReportForm { "json", report::ReportFormat::Json, "application/json" },
    ReportForm { "table", report::ReportFormat::Text, "text/plain; charset=utf-8" },
    ReportForm { "html", report::ReportFormat::Html, "text/html; charset=utf-8" },
};

} // namespace

struct OperatorApi::Route
{
    std::string_view method;
    std::string_view path;
    std::string_view suffix; ///< If not empty, an id is between path and suffix.
    bool open = false;       ///< Needs no token.
    void (OperatorApi::*run)(const http::Request &, const Answer &);

    auto matches(const http::Request &request) const -> bool
    {
        if (request.method != method)
            return false;
        return suffix.empty() ? request.path == path
                              : !idBetween(request.path, path, suffix).empty();
    }
};

OperatorApi::OperatorApi(Control &control, Strand strand, std::map<NodeId, Address> addresses,
                         std::shared_ptr<SecretFile> tokens)
    : control_(control)
    , strand_(std::move(strand))
    , addresses_(std::move(addresses))
    , tokens_(std::move(tokens))
{ }

auto OperatorApi::findRoute(const http::Request &request) -> const Route *
{
    static const auto routes = std::array {
        Route { "GET", "/v1/config", "", false, &OperatorApi::getConfig },
        Route { "POST", "/v1/config", "", false, &OperatorApi::postConfig },
        Route { "GET", "/v1/status", "", false, &OperatorApi::getStatus },
        Route { "POST", "/v1/endpoints/", "/drain", false, &OperatorApi::postDrain },
        Route { "POST", "/v1/routers/", "/drain", false, &OperatorApi::postDrain },
        Route { "POST", "/v1/members", "", false, &OperatorApi::postMembers },
        Route { "POST", "/v1/transfer", "", false, &OperatorApi::postTransfer },
        Route { "GET", "/v1/report", "", false, &OperatorApi::getReport },
        Route { "GET", "/healthz", "", true, &OperatorApi::getHealth },
        Route { "GET", "/readyz", "", true, &OperatorApi::getReady },
        Route { "GET", "/metrics", "", true, &OperatorApi::getMetrics },
    };
    for (const auto &route : routes) {
        if (route.matches(request))
            return &route;
    }
    return nullptr;
}

auto OperatorApi::handle(const http::Request &request, http::Responder &responder)
        -> asio::awaitable<void>
{
    auto response = co_await respond(request);
    (void)co_await responder.send(std::move(response));
}

auto OperatorApi::respond(const http::Request &request) -> asio::awaitable<http::Response>
{
    const auto *route = findRoute(request);
    if (!route)
        co_return jsonResponse(
                404, http::errorResponse(makeError(ErrorKind::BadRequest, "no such call")).body);
    if (!route->open && !isAuthorized(request))
        co_return http::errorResponse(makeError(ErrorKind::BadToken, "Authorization"), "not_run");
    auto initiate = [this, route, &request](auto handler) {
        using Handler = decltype(handler);
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        auto answer = Answer { [shared, executor](http::Response response) {
            asio::post(executor, [shared, response = std::move(response)]() mutable {
                (*shared)(std::move(response));
            });
        } };
        asio::post(strand_, [this, route, &request, answer = std::move(answer)] {
            (this->*route->run)(request, answer);
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(http::Response)>(
            initiate, asio::use_awaitable);
}

auto OperatorApi::isAuthorized(const http::Request &request) const -> bool
{
    constexpr auto scheme = std::string_view { "Bearer " };
    const auto header = request.header("Authorization");
    return startsWith(header, scheme) && tokens_->matches(header.substr(scheme.size()));
}

// --- on the strand ---

auto OperatorApi::redirect(const http::Request &request) const -> http::Response
{
    const auto leader = control_.node().status().leader;
    const auto address = addresses_.find(leader);
    if (leader.empty() || leader == control_.node().self() || address == addresses_.end()) {
        return http::errorResponse(makeError(ErrorKind::NoQuorum, "no leader is known"), "not_run",
                                   retryAfterElection);
    }
    const auto query = request.query.empty() ? std::string {} : "?" + request.query;
    auto response = jsonResponse(307, "{}");
    response.headers.push_back(
            { "Location", "http://" + address->second.text() + request.path + query });
    return response;
}

auto OperatorApi::answerStatus(const http::Request &request, const absl::Status &status,
                               const Answer &answer) const -> void
{
    const auto kind = errorKind(status);
    if (status.ok())
        answer(jsonResponse(200, "{}"));
    else if (kind == ErrorKind::NotLeader)
        answer(redirect(request));
    else if (kind == ErrorKind::OutcomeUnknown)
        answer(http::errorResponse(status, "unknown", retryAfterElection));
    else
        answer(http::errorResponse(status, "not_run"));
}

auto OperatorApi::getConfig(const http::Request &request, const Answer &answer) -> void
{
    if (!control_.node().holdsLease())
        answer(redirect(request));
    else
        answer(jsonResponse(200, configurationJson(control_.node().tables().configuration())));
}

auto OperatorApi::postConfig(const http::Request &request, const Answer &answer) -> void
{
    const auto change = parseChange(request.body);
    if (!change.ok()) {
        answer(http::errorResponse(change.status(), "not_run"));
        return;
    }
    control_.changeConfiguration(
            *change, [this, request, answer](const absl::Status &status, Revision revision) {
                const auto kind = errorKind(status);
                if (status.ok())
                    answer(jsonResponse(200, revisionJson(revision)));
                else if (kind == ErrorKind::Conflict || kind == ErrorKind::InUse)
                    answer(jsonResponse(409, conflictJson(status, revision)));
                else
                    answerStatus(request, status, answer);
            });
}

auto OperatorApi::getStatus(const http::Request &request, const Answer &answer) -> void
{
    const auto local = request.query == "local=1" || control_.node().status().leader.empty();
    if (!local && !control_.node().holdsLease())
        answer(redirect(request));
    else
        answer(jsonResponse(200, statusJson(control_)));
}

auto OperatorApi::postDrain(const http::Request &request, const Answer &answer) -> void
{
    const auto draining = parseDraining(request.body);
    if (!draining.ok()) {
        answer(http::errorResponse(draining.status(), "not_run"));
        return;
    }
    const auto done = [this, request, answer](const absl::Status &status) {
        answerStatus(request, status, answer);
    };
    const auto endpoint = idBetween(request.path, "/v1/endpoints/", "/drain");
    const auto router = idBetween(request.path, "/v1/routers/", "/drain");
    if (!endpoint.empty())
        control_.drainEndpoint(EndpointId { endpoint }, *draining, done);
    else
        control_.drainRouter(NodeId { router }, *draining, done);
}

auto OperatorApi::postMembers(const http::Request &request, const Answer &answer) -> void
{
    const auto wanted = parseMember(request.body);
    if (!wanted.ok()) {
        answer(http::errorResponse(wanted.status(), "not_run"));
        return;
    }
    const auto done = [this, request, answer](const absl::Status &status) {
        answerStatus(request, status, answer);
    };
    switch (wanted->action) {
    case MemberAction::Add:
        control_.addMember(wanted->member, done);
        return;
    case MemberAction::Promote:
        control_.promoteMember(wanted->member.node, done);
        return;
    case MemberAction::Remove:
        control_.removeMember(wanted->member.node, done);
        return;
    }
}

auto OperatorApi::postTransfer(const http::Request &request, const Answer &answer) -> void
{
    answerStatus(request, control_.transfer(), answer);
}

auto OperatorApi::getReport(const http::Request &request, const Answer &answer) -> void
{
    constexpr auto longest = std::chrono::hours { 72 };
    const auto window = parseDuration(queryField(request.query, "window", "1h"));
    const auto name = queryField(request.query, "format", "json");
    const auto form = std::find_if(reportForms.begin(), reportForms.end(),
                                   [name](const auto &one) { return one.name == name; });
    if (!window.ok() || *window <= Duration::zero() || *window > longest
        || form == reportForms.end()) {
        const auto fault = "window=up to 72h format=json, table or html";
        answer(http::errorResponse(makeError(ErrorKind::BadRequest, fault)));
        return;
    }
    if (!control_.node().holdsLease()) {
        answer(redirect(request));
        return;
    }
    control_.makeReport(*window, form->format, [answer, form](std::string body) {
        answer({ 200, { { "Content-Type", std::string { form->contentType } } }, std::move(body) });
    });
}

auto OperatorApi::getHealth(const http::Request & /*request*/, const Answer &answer) -> void
{
    answer(textResponse(200, "ok\n"));
}

auto OperatorApi::getReady(const http::Request & /*request*/, const Answer &answer) -> void
{
    const auto status = control_.node().status();
    const auto ready = status.role != coord::Role::Stopped && !status.leader.empty();
    answer(textResponse(ready ? 200 : 503, ready ? "ready\n" : "no leader is known\n"));
}

auto OperatorApi::getMetrics(const http::Request & /*request*/, const Answer &answer) -> void
{
    answer(textResponse(200, metricsText(control_)));
}

} // namespace figrack::control
