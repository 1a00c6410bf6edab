// Decides whether a failed attempt is repeated, and when.
//
//   auto budget = RetryBudget { options, seed };
//   budget.onRequest();                              // each new request
//   if (auto delay = budget.next(attempt, now)) ...  // wait that long, then try again
//
// A token bucket: each request adds a fraction of a token, each retry takes one out. So
// retries are a bounded fraction of the work regardless of how much fails, and do not overload
// a failing fleet. The bound of the delay doubles with each attempt and the delay is drawn at
// random up to that bound, so that requests that failed together do not return together.
//
// Guarantee: an attempt that may have run is never repeated unless its request may be
// repeated. Not thread-safe; constant time and memory.

#ifndef FIGRACK_POLICY_RETRY_H
#define FIGRACK_POLICY_RETRY_H

#include <cstdint>
#include <optional>

#include "core/random.h"
#include "policy/tables.h"

namespace figrack::policy {

struct RetryOptions
{
    double perRequest = 0.1;       ///< Tokens added by each request.
    double capacity = 20;          ///< Maximum and initial number of tokens.
    std::uint32_t maxAttempts = 3; ///< Per request, including the first.
    Millis firstDelay = 20;        ///< Bound of the delay before the second attempt, ms.
    Millis maxDelay = 1000;
};

/// A failed attempt and the state of its request.
struct FailedAttempt
{
    std::uint32_t attempts = 1; ///< Attempts made so far, including this one.
    bool repeatable = false;    ///< The request may run more than once.
    bool mayHaveRun = true;     ///< False only when it is certain that it did not run.
    Millis latestStart = 0;     ///< Latest useful start of an attempt, absolute.
};

class RetryBudget
{
public:
    RetryBudget(RetryOptions options, std::uint64_t seed);
    /// Records a new request.
    auto onRequest() -> void;
    /// Decides on a retry and takes a token for it.
    /// @return how long to wait before the retry, ms; nullopt: do not retry
    auto next(const FailedAttempt &attempt, Millis now) -> std::optional<Millis>;
    /// @return the number of retries left
    auto left() const -> std::uint32_t { return static_cast<std::uint32_t>(tokens_); }

private:
    RetryOptions options_;
    Random random_;
    double tokens_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_RETRY_H
