#include "gateway/handoffserver.h"

#include <utility>

#include "core/error.h"
#include "core/log.h"
#include "gateway/handoffs.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

auto serverOptionsOf(const HandoffServerOptions &options) -> http::ServerOptions
{
    auto result = options.server;
    result.maxBodyBytes += options.maxEnvelopeBytes;
    return result;
}

auto callersRequest(proto::HandedRequest handed) -> http::Request
{
    auto request = http::Request {};
    request.method = std::move(handed.method);
    request.target = std::move(handed.target);
    request.path = std::move(handed.path);
    request.query = std::move(handed.query);
    for (auto &header : handed.headers)
        request.headers.push_back({ std::move(header.name), std::move(header.value) });
    request.body = std::move(handed.body);
    request.remoteIp = std::move(handed.remoteIp);
    return request;
}

} // namespace

HandoffServer::HandoffServer(asio::io_context &context, HandoffServerOptions options,
                             Handler handler, OriginHandler originHandler,
                             std::shared_ptr<PeerBudget> budget)
    : keys_(std::move(options.keys))
    , handler_(std::move(handler))
    , originHandler_(std::move(originHandler))
    , budget_(std::move(budget))
    , server_(
              context, serverOptionsOf(options),
              [this](const http::Request &request, http::Responder &responder) {
                  return handle(request, responder);
              },
              budget_)
{ }

auto HandoffServer::start(const Address &listen) -> absl::Status
{
    return server_.start(listen);
}

auto HandoffServer::handle(const http::Request &request, http::Responder &responder)
        -> asio::awaitable<void>
{
    if (request.path == streamOriginsPath && originHandler_) {
        auto response = answerOriginMessage(request, *keys_, originHandler_);
        static_cast<void>(co_await responder.send(std::move(response)));
        co_return;
    }
    auto handed = proto::openHandoff(request.body, request.header(handoffSealHeader), *keys_);
    if (request.path != handoffPath || !handed.ok()) {
        const auto status = handed.ok() ? makeError(ErrorKind::BadRequest, "path=" + request.path)
                                        : handed.status();
        LogEvent(LogLevel::Warning, "handoff_refused")
                .with("remote", request.remoteIp)
                .with(status);
        auto response = http::errorResponse(status, "not_run");
        response.headers.push_back(
                { std::string { handoffOutcomeHeader }, std::string { handoffDeclined } });
        static_cast<void>(co_await responder.send(std::move(response)));
        co_return;
    }
    const auto terms = handed->terms;
    const auto original = callersRequest(*std::move(handed));
    const auto copy = PeerBudget::Holding { budget_, original.body.size() };
    co_await handler_(original, terms, responder);
}

} // namespace figrack::gateway
