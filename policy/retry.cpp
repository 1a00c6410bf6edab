// The delay is drawn uniformly from zero to its bound ("full jitter"): of the usual methods it
// spreads a burst widest for the same maximum delay. If the delay would end past the last useful
// start, there is no retry and no token is taken.

#include "policy/retry.h"

#include <algorithm>

#include "core/check.h"

namespace figrack::policy {
namespace {

auto mayRepeat(const FailedAttempt &attempt) -> bool
{
    return attempt.repeatable || !attempt.mayHaveRun;
}

} // namespace

RetryBudget::RetryBudget(RetryOptions options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
    , tokens_(options.capacity)
{ }

auto RetryBudget::onRequest() -> void
{
    tokens_ = std::min(tokens_ + options_.perRequest, options_.capacity);
}

auto RetryBudget::next(const FailedAttempt &attempt, Millis now) -> std::optional<Millis>
{
    if (!mayRepeat(attempt) || attempt.attempts >= options_.maxAttempts || tokens_ < 1)
        return std::nullopt;
    constexpr auto mostDoublings = std::uint32_t { 20 };
    const auto doublings = std::min(std::max(attempt.attempts, 1U) - 1, mostDoublings);
    const auto bound = std::min(options_.firstDelay << doublings, options_.maxDelay);
    const auto delay = static_cast<Millis>(random_.below(static_cast<std::uint64_t>(bound) + 1));
    if (now + delay > attempt.latestStart)
        return std::nullopt;
    tokens_ -= 1;
    FIGRACK_CHECK(attempt.repeatable || !attempt.mayHaveRun,
                  "a request that may not be repeated runs at most once");
    return delay;
}

} // namespace figrack::policy
