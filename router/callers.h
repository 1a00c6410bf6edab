// Answers all HTTP requests to a router; docs/API.md specifies them.
//
//   auto callers = Callers { parts };
//   auto server = http::Server { context, options, callers.handler() };
//
// Guarantees: each request gets exactly one answer, and each request for work
// exactly one record. A refusal states whether the work ran and when and where to retry. New work
// is accepted only while the configuration is known to be current and the router is not in its
// refusing or stopped drain phase.

#ifndef FIGRACK_ROUTER_CALLERS_H
#define FIGRACK_ROUTER_CALLERS_H

#include <atomic>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "http/server.h"
#include "report/recorder.h"
#include "router/claims.h"
#include "router/dispatch.h"
#include "router/drain.h"
#include "router/metrics.h"
#include "router/scheduler.h"
#include "router/settings.h"
#include "router/view.h"

namespace figrack::router {

/// The objects that Callers uses. All of them must outlive it.
struct CallerParts
{
    const RouterOptions &options;
    const Clock &clock;
    View &view;
    Scheduler &scheduler;
    Dispatcher &dispatcher;
    Claims &claims;
    Drain &drain;
    Metrics &metrics;
    report::Recorder &recorder;
    std::function<bool()> isCurrent;
    std::function<void(const proto::EndpointReport &)>
            onAnnounced;     ///< Forwards the report to the controls.
    Incarnation incarnation; ///< Makes request ids unique across restarts.
};

class Callers
{
public:
    explicit Callers(CallerParts parts);
    auto handle(const http::Request &request, http::Responder &responder)
            -> boost::asio::awaitable<void>;
    auto handler() -> http::Handler;
    /// @return the number of requests for work that have not ended
    auto inProgress() const -> std::size_t { return *inProgress_; }

private:
    auto answer(const http::Request &request, const RequestId &id) -> http::Response;
    auto addresses(const http::Request &request) const -> http::Response;
    auto models() const -> http::Response;
    auto metricsPage() -> http::Response;
    auto ready() const -> http::Response;
    auto announce(const http::Request &request) -> http::Response;

    auto serve(const http::Request &request, RequestId id, http::Responder &responder)
            -> boost::asio::awaitable<void>;
    auto runClaimed(Work &work, CallerState &caller, http::Responder &responder)
            -> boost::asio::awaitable<Outcome>;
    auto endClaim(const Work &work, const Outcome &outcome) -> void;
    auto mayTakeWork() const -> absl::Status;
    auto refusal(const absl::Status &status, Ran ran, Millis retryAfter) const -> http::Response;
    auto responseOf(const Outcome &outcome) const -> http::Response;
    auto record(const Work &work, const Outcome &outcome, Instant arrived) -> void;
    auto nextId() -> std::string;

    CallerParts parts_;
    std::atomic<std::uint64_t> nextRequest_ = 1;
    mutable std::atomic<std::uint64_t> nextAddress_ = 0;
    std::shared_ptr<std::atomic<std::size_t>> inProgress_
            = std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CALLERS_H
