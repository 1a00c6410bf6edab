#include "gateway/originexchange.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/error.h"
#include "core/log.h"
#include "gateway/handoffs.h"
#include "http/server.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

auto isDroppedConnection(const http::ClientResult<http::Response> &result) -> bool
{
    const auto *error = std::get_if<http::ClientError>(&result);
    return error != nullptr && error->isReused
            && errorKind(error->status) == ErrorKind::EndpointFailed;
}

} // namespace

class OriginExchange::Impl
{
public:
    Impl(OriginExchangeOptions options, asio::io_context &context, const Clock &clock)
        : keys_(std::move(options.keys))
        , clock_(clock)
        , client_(context, options.client, clock)
    { }

    auto stop() -> void { client_.abortAll(); }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto send(std::shared_ptr<Impl> self, OriginOwner owner,
                     proto::StreamOriginMessage message, Duration timeout)
            -> asio::awaitable<OriginAnswer>
    {
        auto sealed = proto::sealStreamOrigin(message, *self->keys_);
        auto request = http::ClientRequest {};
        request.address = owner.address;
        request.target = streamOriginsPath;
        request.headers = { { std::string { handoffSealHeader }, sealed.seal } };
        request.body = std::move(sealed.bytes);
        const auto deadline = self->clock_.now() + timeout;
        auto result = co_await self->client_.fetch(request, timeout);
        if (isDroppedConnection(result)) {
            // The other gateway may have started anew: only a new connection shows what it is.
            request.freshConnection = true;
            const auto left = std::max(Duration::zero(), deadline - self->clock_.now());
            result = co_await self->client_.fetch(std::move(request), left);
        }
        co_return self->answerOf(result, sealed.seal);
    }

private:
    auto answerOf(const http::ClientResult<http::Response> &result,
                  std::string_view messageSeal) const -> OriginAnswer
    {
        if (const auto *error = std::get_if<http::ClientError>(&result))
            return error->isRefused ? OriginFailure::Refused : OriginFailure::NoAnswer;
        const auto &response = std::get<http::Response>(result);
        auto reply = proto::openStreamOriginReply(
                response.body, http::findHeader(response.headers, handoffSealHeader), messageSeal,
                *keys_);
        if (reply.ok())
            return *std::move(reply);
        LogEvent(LogLevel::Warning, "stream_origin_reply_refused")
                .with("status", std::uint64_t { response.status })
                .with(reply.status());
        return OriginFailure::NoAnswer;
    }

    std::shared_ptr<proto::PeerKeys> keys_;
    const Clock &clock_;
    http::Client client_;
};

OriginExchange::OriginExchange(OriginExchangeOptions options, asio::io_context &context,
                               const Clock &clock)
    : impl_(std::make_shared<Impl>(std::move(options), context, clock))
{ }

OriginExchange::~OriginExchange()
{
    impl_->stop();
}

auto OriginExchange::transport() const -> OriginTransport
{
    return { [impl = impl_](OriginOwner owner, proto::StreamOriginMessage message,
                            Duration timeout) {
        return Impl::send(impl, std::move(owner), std::move(message), timeout);
    } };
}

auto OriginExchange::stop() -> void
{
    impl_->stop();
}

auto answerOriginMessage(const http::Request &request, const proto::PeerKeys &keys,
                         const OriginHandler &handler) -> http::Response
{
    const auto seal = request.header(handoffSealHeader);
    const auto message = proto::openStreamOrigin(request.body, seal, keys);
    if (!message.ok()) {
        LogEvent(LogLevel::Warning, "stream_origin_refused")
                .with("remote", request.remoteIp)
                .with(message.status());
        return http::errorResponse(message.status());
    }
    auto sealed = proto::sealStreamOriginReply(handler(*message), seal, keys);
    auto response = http::Response {};
    response.headers = { { std::string { handoffSealHeader }, std::move(sealed.seal) } };
    response.body = std::move(sealed.bytes);
    return response;
}

} // namespace figrack::gateway
