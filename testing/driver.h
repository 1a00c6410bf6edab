// What the demo and the fault run share: a cluster, callers in every failure
// domain, an operator, and the results of all calls.
//
//   auto driver = Driver { options };
//   if (!driver.start(limit)) ...
//   driver.putModel(...);
//   driver.submit(call, domain); ... driver.waitCalls(limit);
//   auto verdict = driver.finish();
//
// Calls run on the driver's workers. Asking operators, telling endpoints, submitting
// and noting are thread-safe; the rest is called from one thread.

#ifndef FIGRACK_TESTING_DRIVER_H
#define FIGRACK_TESTING_DRIVER_H

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "testing/calleragent.h"
#include "testing/cluster.h"
#include "testing/operatoragent.h"
#include "testing/verdict.h"

namespace figrack::testing {

/// Waits until a condition holds, looking every few milliseconds.
/// @return false when the limit was over first
auto waitUntil(Duration limit, const std::function<bool()> &condition) -> bool;

/// @return the value below which a share of the values lies; 0 for none
auto percentile(std::vector<double> values, double share) -> double;

class Driver
{
public:
    explicit Driver(ClusterOptions options, std::size_t threads = 3);
    ~Driver();
    Driver(const Driver &) = delete;
    auto operator=(const Driver &) -> Driver & = delete;

    auto cluster() -> Cluster & { return cluster_; }
    auto context() -> boost::asio::io_context & { return context_; }

    /// Starts every process and waits until work can be done. Says what is missing otherwise.
    auto start(Duration limit) -> bool;
    /// Runs a coroutine on the workers and waits for it. @return its result
    template<typename Awaitable>
    auto wait(Awaitable awaitable)
    {
        return boost::asio::co_spawn(context_, std::move(awaitable), boost::asio::use_future).get();
    }
    /// Waits until all routers that run are ready and all endpoints that run are known.
    auto waitReady(Duration limit) -> bool;

    /// Operators' acts. @return the revision, or 0
    auto putClass(const std::string &id, Millis startMs, Millis finishMs, bool isDefault)
            -> std::uint64_t;
    auto putModel(const std::string &id, std::uint64_t weightMb, std::uint32_t slots,
                  const std::string &base = {}) -> std::uint64_t;
    auto putService(const std::string &id, bool repeatable, Millis timeoutMs) -> std::uint64_t;
    auto change(const std::string &operation) -> std::uint64_t;
    auto ask(const std::string &method, const std::string &path, const std::string &body = {},
             Duration limit = std::chrono::seconds { 20 }) -> OperatorReply;
    auto operatorAgent() -> OperatorAgent & { return *operator_; }
    /// Notes a revision that was read somewhere.
    auto sawRevision(const std::string &where, std::uint64_t revision) -> void;
    /// Tells a fake endpoint something. @return whether it answered
    auto tell(const Node &endpoint, const std::string &path, const std::string &body) -> bool;

    /// @return a new request id
    auto newId(const std::string &prefix) -> std::string;
    auto submit(Call call, std::size_t domain) -> void;
    /// @return false when calls were still under way at the limit
    auto waitCalls(Duration limit) -> bool;
    auto pendingCalls() const -> std::size_t { return pending_; }
    auto results() -> std::vector<CallResult>;
    auto forgetAddresses() -> void;

    /// Ends all processes and judges the run.
    auto finish() -> Verdict;

private:
    auto isReady(std::string &missing) -> bool;

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    Cluster cluster_;
    std::vector<std::unique_ptr<CallerAgent>> callers_; ///< One a failure domain.
    std::unique_ptr<OperatorAgent> operator_;
    std::unique_ptr<http::Client> teller_;
    std::mutex mutex_; ///< Guards the two below; a leaf.
    std::vector<CallResult> results_;
    std::vector<RevisionSighting> revisions_;
    std::atomic<std::size_t> pending_ { 0 };
    std::atomic<std::uint64_t> lastId_ { 0 };
    std::vector<std::thread> threads_;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_DRIVER_H
