// When a slot comes free for the n-th request that waits for a model.
//
//   auto start = predictStart(view, ahead, options.assumedServiceTime, now);
//
// Pure arithmetic over a ModelView: slots that are free now, slots that come free
// one after another at the usual service time, and slots that loads bring. Of those
// that come, other routers take their part: DrainShare measures the own one.

#ifndef FIGRACK_POLICY_WAITING_H
#define FIGRACK_POLICY_WAITING_H

#include <cstddef>
#include <limits>

#include "policy/admission.h"

namespace figrack::policy {

/// A predicted time that never comes.
constexpr auto never = std::numeric_limits<Millis>::max();

/// @param view what is known of the model
/// @param ahead requests that are dispatched before this one
/// @param assumedServiceTime for a view that does not know it, ms
/// @param now on the scale of the view's times
/// @param share of the slots that come free which this queue gets, in (0, 1]
/// @return the predicted start, absolute; never when no slot is in sight
auto predictStart(const ModelView &view, std::size_t ahead, Millis assumedServiceTime, Millis now,
                  double share) -> Millis;

/// @return the usual time that a stream holds a slot, at least 1 ms
auto serviceTimeOf(const ModelView &view, Millis assumedServiceTime) -> Millis;

/// @return the time between two slots coming free once all that is ready or loading runs, ms
auto slotInterval(const ModelView &view, Millis assumedServiceTime) -> Millis;

/// How much of a model's slots this router's queue gets, when other routers have queues for it
/// too, which it cannot see: measured by how fast the queue drains while something waits.
class DrainShare
{
public:
    /// To be called first by whatever looks at or changes the queue.
    /// @param waits something is queued
    auto advance(bool waits, Millis now) -> void;
    /// Time since the last advance() says nothing: no replica was ready.
    auto discard(Millis now) -> void;
    /// A request that had waited was dispatched.
    auto onPop() -> void;
    /// It was not dispatched after all.
    auto onPutBack() -> void;
    /// @param nominal time between two slots coming free, ms
    /// @return in (0, 1]
    auto value(double nominal) const -> double;

private:
    double waited_ = 0; ///< Time in which something was queued, ms.
    double pops_ = 0;
    Millis at_ = 0;
    bool waits_ = false;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_WAITING_H
