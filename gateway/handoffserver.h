// Takes requests that other gateways hand over (gateway/handoffs.h), and their messages about the
// origins of streams (gateway/originexchange.h).
//
//   auto server = HandoffServer { context, options, handler, originHandler };
//   if (auto status = server.start(address); !status.ok()) ...
//
// A request without a valid seal is refused before anything else is done with it.

#ifndef FIGRACK_GATEWAY_HANDOFFSERVER_H
#define FIGRACK_GATEWAY_HANDOFFSERVER_H

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/settings.h"
#include "gateway/originexchange.h"
#include "http/server.h"
#include "proto/handoff.h"

namespace figrack::gateway {

struct HandoffServerOptions
{
    http::ServerOptions server;
    std::shared_ptr<proto::PeerKeys> keys;
    /// Size of a request's terms and headers, in addition to its body.
    std::size_t maxEnvelopeBytes = std::size_t { 64 } << 10;
};

class HandoffServer
{
public:
    /// Handles a request as its caller sent it.
    using Handler = std::function<boost::asio::awaitable<void>(
            const http::Request &, const proto::HandoffTerms &, http::Responder &)>;
    /// @param originHandler answers messages about the origins of streams; empty: they are refused
    /// @param budget see http::Server
    HandoffServer(boost::asio::io_context &context, HandoffServerOptions options, Handler handler,
                  OriginHandler originHandler = {}, std::shared_ptr<PeerBudget> budget = nullptr);
    /// @return BadSettings if the address cannot be bound
    auto start(const Address &listen) -> absl::Status;
    auto port() const -> std::uint16_t { return server_.port(); }
    auto stopAccepting() -> void { server_.stopAccepting(); }
    auto stop() -> void { server_.stop(); }
    auto inProgress() const -> std::size_t { return server_.inProgress(); }

private:
    auto handle(const http::Request &request, http::Responder &responder)
            -> boost::asio::awaitable<void>;

    std::shared_ptr<proto::PeerKeys> keys_;
    Handler handler_;
    OriginHandler originHandler_;
    std::shared_ptr<PeerBudget> budget_;
    http::Server server_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_HANDOFFSERVER_H
