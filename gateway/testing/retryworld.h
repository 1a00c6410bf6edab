// Gateways of one service whose endpoints reject most requests, and controls, in virtual time. Both
// kinds of process are killed and restarted at random.
//
//   auto world = RetryWorld { options };
//   world.run(120s);
//   CHECK(world.mostOverBudget() <= 0);

#ifndef FIGRACK_GATEWAY_TESTING_RETRYWORLD_H
#define FIGRACK_GATEWAY_TESTING_RETRYWORLD_H

#include <cstdint>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "gateway/retrywindow.h"

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
    Duration killEvery = std::chrono::seconds { 3 };
    Duration downFor = std::chrono::milliseconds { 500 };
};

class RetryWorld
{
public:
    static constexpr auto step = std::chrono::milliseconds { 20 };
    static constexpr auto maxAttempts = 4;

    explicit RetryWorld(const RetryWorldOptions &options);
    ~RetryWorld();
    RetryWorld(const RetryWorld &) = delete;
    auto operator=(const RetryWorld &) -> RetryWorld & = delete;

    auto run(Duration duration) -> void;
    /// @return the largest excess, over all windows, of repeats over what their requests and the
    /// fixed number allow; zero or less if no window had too many
    auto mostOverBudget() const -> double;
    /// @return repeats in the whole run
    auto repeats() const -> std::size_t { return repeats_.size(); }

private:
    struct Gateway;
    struct Control;
    auto sendRequests() -> void;
    auto killSome() -> void;
    auto restartDue() -> void;
    auto connect(std::size_t gateway) -> void;
    auto disconnect(std::size_t gateway) -> void;
    auto tell(std::size_t control) -> void;
    /// @return the number of instants in [from, from + length)
    static auto countIn(const std::vector<Instant> &instants, Instant from, Duration length)
            -> std::size_t;

    RetryWorldOptions options_;
    RetryWindowOptions budget_;
    ManualClock clock_;
    Random random_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Control>> controls_;
    std::vector<Instant> requests_;
    std::vector<Instant> repeats_;
    double dueRequests_ = 0;
    Instant nextKill_;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_RETRYWORLD_H
