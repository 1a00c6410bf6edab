// The router's retry budget, shared by all worker threads.
//
// Wraps policy::RetryBudget, which makes the decisions, with a mutex.

#ifndef FIGRACK_ROUTER_RETRYBUDGET_H
#define FIGRACK_ROUTER_RETRYBUDGET_H

#include <cstdint>
#include <mutex>
#include <optional>

#include "policy/retry.h"

namespace figrack::router {

class RetryBudget
{
public:
    RetryBudget(policy::RetryOptions options, std::uint64_t seed)
        : budget_(options, seed)
    { }
    auto onRequest() -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        budget_.onRequest();
    }
    auto next(const policy::FailedAttempt &attempt, policy::Millis now)
            -> std::optional<policy::Millis>
    {
        const auto lock = std::scoped_lock { mutex_ };
        const auto wait = budget_.next(attempt, now);
        granted_ += wait ? 1 : 0;
        return wait;
    }
    /// @return the number of retries granted since the process started
    auto granted() const -> std::uint64_t
    {
        const auto lock = std::scoped_lock { mutex_ };
        return granted_;
    }
    auto left() const -> std::uint32_t
    {
        const auto lock = std::scoped_lock { mutex_ };
        return budget_.left();
    }

private:
    mutable std::mutex mutex_; ///< Lock order: a leaf; no other lock is taken under it.
    policy::RetryBudget budget_;
    std::uint64_t granted_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_RETRYBUDGET_H
