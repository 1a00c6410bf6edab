// Carries one request to endpoints until it is answered, refused or given up.
//
//   auto dispatcher = Dispatcher { options, clock, scheduler, budget, view, open };
//   auto outcome = co_await dispatcher.run(work, caller, responder);
//
// Each round waits for a replica, opens the request there and passes the
// answer on. What may follow a failed round:
//
//   no byte of the request left, or the endpoint said that it did not run it   another round
//   it may have run, nothing was given to the caller, it may be repeated       another round
//   part of a stream was given, it may be repeated                             resumed elsewhere
//   anything else                                                              given up
//
// Guarantees: rounds are bounded by the shared retry budget; a
// request waits for a replica no longer than its start target and for a first
// byte no longer than its finish target; outcome.ran is NotRun only when every
// round certainly ran nothing; only whole events reach the caller, none twice;
// [DONE] is passed on only when it came from an endpoint.

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
/// http::Client::open(), or a test's stand-in.
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
    /// @param work the request; outlives the call
    /// @param caller told by the server when the caller goes
    /// @param responder used only to stream; refusals and whole answers are the caller's to send
    auto run(const Work &work, CallerState &caller, http::Responder &responder)
            -> boost::asio::awaitable<Outcome>;
    /// @return dispatches after the first of their request, since the start
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
