// OperatorApi serves the operators' HTTP calls with JSON bodies, listed in docs/API.md.
//
//   auto api = OperatorApi { control, strand, addresses, tokens };
//   auto server = http::Server { context, options, [&api](const auto &request, auto &responder) {
//       return api.handle(request, responder);
//   } };
//
// Every call except /healthz, /readyz and /metrics requires a token. Calls that only the leader
// can answer are redirected to it with status 307.
//
// Guarantees: a change is answered with 200 only once it is in force everywhere. An answer
// with ran=not_run means that nothing was changed.

#ifndef FIGRACK_CONTROL_OPERATORAPI_H
#define FIGRACK_CONTROL_OPERATORAPI_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "control/control.h"
#include "core/secretfile.h"
#include "http/server.h"

namespace figrack::control {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class OperatorApi
{
public:
    /// @param control only accessed on the strand; must outlive this object
    /// @param addresses the address of each control for operators
    OperatorApi(Control &control, Strand strand, std::map<NodeId, Address> addresses,
                std::shared_ptr<SecretFile> tokens);

    auto handle(const http::Request &request, http::Responder &responder)
            -> boost::asio::awaitable<void>;

private:
    /// Sends the response to a request. Call it exactly once, now or later, on the strand.
    using Answer = std::function<void(http::Response)>;
    struct Route;

    auto respond(const http::Request &request) -> boost::asio::awaitable<http::Response>;
    auto isAuthorized(const http::Request &request) const -> bool;
    static auto findRoute(const http::Request &request) -> const Route *;

    // On the strand.
    auto getConfig(const http::Request &request, const Answer &answer) -> void;
    auto postConfig(const http::Request &request, const Answer &answer) -> void;
    auto getStatus(const http::Request &request, const Answer &answer) -> void;
    auto postDrain(const http::Request &request, const Answer &answer) -> void;
    auto postMembers(const http::Request &request, const Answer &answer) -> void;
    auto getReport(const http::Request &request, const Answer &answer) -> void;
    auto postTransfer(const http::Request &request, const Answer &answer) -> void;
    auto getHealth(const http::Request &request, const Answer &answer) -> void;
    auto getReady(const http::Request &request, const Answer &answer) -> void;
    auto getMetrics(const http::Request &request, const Answer &answer) -> void;
    auto redirect(const http::Request &request) const -> http::Response;
    auto answerStatus(const http::Request &request, const absl::Status &status,
                      const Answer &answer) const -> void;

    Control &control_;
    Strand strand_;
    std::map<NodeId, Address> addresses_;
    std::shared_ptr<SecretFile> tokens_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_OPERATORAPI_H
