// Dispatches one request to endpoints until it is answered, refused or has failed.
//
//   auto dispatcher = Dispatcher { options, clock, scheduler, budget, view, open };
//   auto outcome = co_await dispatcher.run(work, caller, responder);
//
// Each round waits for a replica, sends the request to it and forwards the
// answer to the caller. What follows a failed round depends on how it failed:
//
//   no byte of the request was sent, or the endpoint
//   reported that it did not run the request              another round
//   the request may have run, the caller has received
//   nothing, and the request is repeatable                another round
//   the caller has received part of a stream, and the
//   request is repeatable                                 resumed on another replica
//   anything else                                         the request fails
//
// Guarantees: the shared retry budget bounds the number of rounds. A request
// waits for a replica no longer than its start target and for a first byte no
// longer than its finish target. outcome.ran is NotRun only if it is certain that
// no round ran anything. The caller receives only complete events and receives
// none twice. [DONE] is forwarded only if it came from an endpoint.

#ifndef FIGRACK_ROUTER_DISPATCH_H
#define FIGRACK_ROUTER_DISPATCH_H

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "router/callerstate.h"
#include "router/retrybudget.h"
#include "router/scheduler.h"
#include "router/view.h"
#include "router/work.h"

namespace figrack::router {

using OpenResult = http::ClientResult<std::unique_ptr<http::ClientStream>>;
/// http::Client::open(), or a fake in tests.
using OpenStream = std::function<boost::asio::awaitable<OpenResult>(http::ClientRequest, Duration)>;

struct DispatchOptions
{
    Duration streamIdle = std::chrono::seconds { 30 };
    std::size_t maxAnswerBytes = 16U << 20;
};

class Dispatcher
{
public:
    Dispatcher(DispatchOptions options, const Clock &clock, Scheduler &scheduler,
               RetryBudget &budget, const View &view, OpenStream open);
    ~Dispatcher();
    /// @param work the request; must outlive the call
    /// @param caller notified by the server when the caller disconnects
    /// @param responder used only for streams; the calling code sends refusals and complete,
    /// non-streamed answers itself
    /// @return how the request ended
    auto run(const Work &work, CallerState &caller, http::Responder &responder)
            -> boost::asio::awaitable<Outcome>;
    /// @return the number of retries granted since the process started, over all requests
    auto retries() const -> std::uint64_t { return budget_.granted(); }

private:
    class Run;
    DispatchOptions options_;
    const Clock &clock_;
    Scheduler &scheduler_;
    RetryBudget &budget_;
    const View &view_;
    OpenStream open_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_DISPATCH_H
