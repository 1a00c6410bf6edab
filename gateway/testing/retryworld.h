// Gateways of one service whose endpoints reject most requests, and controls with their replicated
// log, in virtual time. Both kinds of process are killed and restarted at random, and gateways lose
// the controls.
//
//   auto world = RetryWorld { options };
//   world.run(60s);
//   CHECK(world.mostOverBudget() <= 0);
//
// Each message takes one step.

#ifndef FIGRACK_GATEWAY_TESTING_RETRYWORLD_H
#define FIGRACK_GATEWAY_TESTING_RETRYWORLD_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/retryledger.h"
#include "gateway/retrybudget.h"

namespace figrack::gateway::testing {

struct RetryWorldOptions
{
    std::uint64_t seed = 1;
    std::size_t gateways = 8;
    std::size_t controls = 3;
    double requestsPerSecond = 40; ///< Of the service, over all gateways that run.
    double rejectedShare = 0.9;    ///< Of the arrivals at endpoints.
    /// Share of the gateways that are killed every killEvery, and start again after downFor.
    double killedGateways = 0;
    double killedControls = 0; ///< The same for controls.
    double cutGateways = 0;    ///< Of the gateways, cut off from all controls for downFor.
    Duration killEvery = std::chrono::seconds { 3 };
    Duration downFor = std::chrono::milliseconds { 500 };
    /// Longest time for which a retry waits for an endpoint.
    Duration longestWait = std::chrono::seconds { 0 };
    /// Times the usual requests, every other five seconds.
    double burst = 1;
};

class RetryWorld
{
public:
    static constexpr auto step = std::chrono::milliseconds { 5 };
    static constexpr auto maxAttempts = 4;

    explicit RetryWorld(const RetryWorldOptions &options);
    ~RetryWorld();
    RetryWorld(const RetryWorld &) = delete;
    auto operator=(const RetryWorld &) -> RetryWorld & = delete;

    auto run(Duration duration) -> void;
    /// @return the largest excess, over all windows, of retries over what their requests and the
    /// fixed number allow; zero or less if no window had too many
    auto mostOverBudget() const -> double;
    /// @return the most retries in any window, of those that the requests allow and the fixed
    /// number
    auto mostUsed() const -> double;
    /// @return the most retries in any window
    auto mostInWindow() const -> std::size_t;

private:
    struct Gateway;
    struct Control;
    struct Delivery
    {
        Instant at;
        std::function<void()> deliver;
    };
    auto deliverDue() -> void;
    auto sendRequests() -> void;
    /// @param attempts arrivals of the request so far
    auto tryAgain(std::size_t gateway, std::uint64_t life, int attempts) -> void;
    auto sendRetry(std::size_t gateway, std::uint64_t life, int attempts,
                   const std::shared_ptr<Retry> &retry) -> void;
    auto reportRequests() -> void;
    auto askLeader(std::size_t gateway, const proto::RetryGrantRequest &request, Duration timeout,
                   const RetryBudget::Granted &done) -> bool;
    auto isRunning(std::size_t gateway, std::uint64_t life) const -> bool;
    auto killSome() -> void;
    auto restartDue() -> void;
    auto post(Duration delay, std::function<void()> deliver) -> void;
    /// @return the number of instants in [from, from + length)
    static auto countIn(const std::vector<Instant> &instants, Instant from, Duration length)
            -> std::size_t;
    auto allowedFrom(Instant from) const -> double;

    RetryWorldOptions options_;
    RetryBudgetOptions budget_;
    fleet::RetryLedgerOptions ledger_;
    ManualClock clock_;
    Random random_;
    Metrics metrics_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Control>> controls_;
    std::vector<Delivery> deliveries_;
    std::vector<Instant> requests_;
    std::vector<Instant> retries_;
    double dueRequests_ = 0;
    Instant nextKill_;
    Instant nextReport_ {};
    Instant begunAt_;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_RETRYWORLD_H
