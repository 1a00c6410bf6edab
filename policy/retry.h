// Whether a failed attempt is made again, and when.
//
//   auto budget = RetryBudget { options, seed };
//   budget.onRequest();                              // each new request
//   if (auto delay = budget.next(attempt, now)) ...  // wait so long, then try again
//
// A token bucket: each request puts in a part of a token, each retry takes one out. So
// retries are a bounded part of the work however much fails, and a failing fleet is not
// buried under them. Delays double with each attempt and are drawn at random up to that
// bound, so that requests that failed together do not come back together.
//
// Guarantee: an attempt that may have run is never made again unless its request may be
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
    double perRequest = 0.1;       ///< Tokens that a request puts in.
    double capacity = 20;          ///< Tokens held at most, and at the start.
    std::uint32_t maxAttempts = 3; ///< Of one request, the first included.
    Millis firstDelay = 20;        ///< Bound of the delay before the second attempt.
    Millis maxDelay = 1000;
};

/// An attempt that failed, as its request stands.
struct FailedAttempt
{
    std::uint32_t attempts = 1; ///< Made so far, this one included.
    bool repeatable = false;    ///< The request may run more than once.
    bool mayHaveRun = true;     ///< False only when it is certain that it did not run.
    Millis latestStart = 0;     ///< After this an attempt would be of no use, absolute.
};

class RetryBudget
{
public:
    RetryBudget(RetryOptions options, std::uint64_t seed);
    /// A new request came in.
    auto onRequest() -> void;
    /// Takes a token when the attempt is to be made again.
    /// @return how long to wait before; nullopt: give the final answer now
    auto next(const FailedAttempt &attempt, Millis now) -> std::optional<Millis>;
    /// @return whole retries left
    auto left() const -> std::uint32_t { return static_cast<std::uint32_t>(tokens_); }

private:
    RetryOptions options_;
    Random random_;
    double tokens_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_RETRY_H
