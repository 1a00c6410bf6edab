// The router's one budget of retries, shared by its workers.
//
// policy::RetryBudget under a mutex; what it decides is told there.

#ifndef FIGRACK_ROUTER_RETRYBUDGET_H
#define FIGRACK_ROUTER_RETRYBUDGET_H

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
        return budget_.next(attempt, now);
    }
    auto left() const -> std::uint32_t
    {
        const auto lock = std::scoped_lock { mutex_ };
        return budget_.left();
    }

private:
    mutable std::mutex mutex_; ///< Lock order: a leaf; nothing is called under it.
    policy::RetryBudget budget_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_RETRYBUDGET_H
