// Retry times that refused requests were told, and for which slots are reserved.
//
//   promises.add(key, work, retryAt);
//   if (promises.take(key, work, now)) ...      // the request returned at the time it was told
//   for (work : promises.expire(now)) ...       // did not return
//
// Callers that returned at the time they were told were refused again, because
// nothing was reserved for them. A promise is recognized by the request's work id,
// which is the same when the request is repeated.
//
// Pure: no clock, no I/O. Bounded by maxPromises. Not thread-safe.

#ifndef FIGRACK_FLEET_PLACEPROMISES_H
#define FIGRACK_FLEET_PLACEPROMISES_H

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"

namespace figrack::fleet {

struct PlacePromiseOptions
{
    /// A request that returns this much before its time still counts as returning in time: callers'
    /// timers start when the refusal arrives, and some round down to whole seconds or tenths.
    Duration earlyBy = std::chrono::milliseconds { 300 };
    /// A promise is kept for this long after its time: covers the caller's timer, a new connection
    /// and the way to the balancer.
    Duration lateBy = std::chrono::milliseconds { 1000 };
    std::size_t maxPromises = 4096;
};

class PlacePromises
{
public:
    using ByTime = std::multimap<Instant, std::uint64_t>;
    explicit PlacePromises(PlacePromiseOptions options);
    /// Records a retry time. @param key the queue of the request
    /// @param work work id of the request; 0: unknown, nothing is recorded
    /// @return false when nothing was recorded: the work id is unknown or the bound is reached
    auto add(std::uint64_t key, std::uint64_t work, Instant retryAt) -> bool;
    /// Removes the promise of a request that has returned in its time.
    /// @return false when there is none
    auto take(std::uint64_t key, std::uint64_t work, Instant now) -> bool;
    /// @return the promises of a queue by retry time, with their work ids
    auto of(std::uint64_t key) const -> const ByTime &;
    /// Removes the promises that were not used. @return their work ids
    auto expire(Instant now) -> std::vector<std::uint64_t>;
    auto size() const -> std::size_t { return size_; }

private:
    PlacePromiseOptions options_;
    std::map<std::uint64_t, ByTime> promises_; ///< By queue.
    ByTime none_;
    std::size_t size_ = 0;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEPROMISES_H
