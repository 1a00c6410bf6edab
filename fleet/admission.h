// Limits how many requests an endpoint may have in progress, and decides which
// requests are admitted when there is little room.
//
//   auto limit = ConcurrencyLimit { options };
//   if (limit.admits(running, places, rank)) ...
//   limit.onEnd(isLate, running, now);
//
// The limit handles a model that gets more requests than its replicas can serve
// until another replica is loaded. Without a limit, the engine accepts all of
// them. Its batch is full, every other request waits for a place until its caller
// gives up, and the pauses of all streams exceed their target, so no request is
// on time. With fewer admitted, those are on time, and the others are told at
// once when to retry.
//
// The limit is adapted like the window of a congestion control: it is cut by a
// factor while too many requests end late, and raised by a small step while they
// end in time and the limit causes refusals. It stays between half of the
// engine's places and all of them. An engine that is late with half of its places
// in use is slow for another reason, which refusing requests does not solve.
//
// The most urgent requests are admitted slightly above the limit, the least
// urgent ones only below it. So the urgent ones get the available room first, but
// no rank is shut out by all others.
//
// A "place" is one of the requests that an engine runs at once.
//
// Uses no clock and does no I/O. Not thread-safe.

#ifndef FIGRACK_FLEET_ADMISSION_H
#define FIGRACK_FLEET_ADMISSION_H

#include <cstdint>

#include "core/clock.h"

namespace figrack::fleet {

struct ConcurrencyLimitOptions
{
    /// Interval at which the ended requests are evaluated together. Streams last some hundred ms,
    /// and a change of the limit shows only in requests that were admitted after it.
    Duration adjustInterval = std::chrono::milliseconds { 500 };
    /// With fewer ended requests the limit stays unchanged.
    std::uint32_t minEnds = 4;
    /// Fractions of late ends: the limit may rise up to the first and falls above the second.
    double raiseBelowLate = 0.1;
    double cutAboveLate = 0.25;
    double cutFactor = 0.85; ///< Applied to the limit, or to the running requests if fewer.
    double raiseStep = 1.5;  ///< In places.
    /// Lower bound of the limit, as a fraction of the engine's places.
    double minShare = 0.5;
    /// Factors on the limit by rank: the most urgent, the next, and all others.
    double mostUrgentFactor = 1.1;
    double nextUrgentFactor = 1.0;
    double otherFactor = 0.9;
};

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options);
    /// @param running requests in progress
    /// @param places number of requests the engine runs at once; 0: unlimited
    /// @param rank rank of the request; 0 is the most urgent
    auto admits(std::uint32_t running, std::uint32_t places, std::uint32_t rank) -> bool;
    /// Call when a request has ended. @param isLate it started late or had too long a pause
    /// @param running requests in progress, including this one
    auto onEnd(bool isLate, std::uint32_t running, Instant now) -> void;
    /// @return the number of requests that may be in progress; 0 before the first call of admits()
    auto limit() const -> double { return limit_; }

private:
    auto factorOf(std::uint32_t rank) const -> double;
    auto adjust(std::uint32_t running) -> void;

    ConcurrencyLimitOptions options_;
    double places_ = 0; ///< Of the engine; 0: not known yet.
    double limit_ = 0;
    std::uint32_t ends_ = 0;  ///< Requests that ended since the last adjustment.
    std::uint32_t late_ = 0;  ///< The late ones among them.
    bool hasRefused_ = false; ///< A request was not admitted since the last adjustment.
    Instant adjustedAt_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ADMISSION_H
