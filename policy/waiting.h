// Predicts when a slot becomes free for the n-th request that waits for a model.
//
//   auto start = predictStart(view, ahead, options.assumedServiceTime, now, share);
//
// Pure arithmetic over a ModelView: slots that are free now, slots that become free one after
// another at the usual service time, and slots added by loads. Other routers take a part of
// the slots that become free; DrainShare measures the part that this router gets.

#ifndef FIGRACK_POLICY_WAITING_H
#define FIGRACK_POLICY_WAITING_H

#include <cstddef>
#include <limits>

#include "policy/admission.h"

namespace figrack::policy {

/// Predicted time of something that is not expected to happen.
constexpr auto never = std::numeric_limits<Millis>::max();

/// @param view what is known about the model
/// @param ahead requests that are dispatched before this one
/// @param assumedServiceTime service time for a view that does not have one, ms
/// @param now on the scale of the view's times
/// @param share part of the slots becoming free that this queue gets, in (0, 1]
/// @return the predicted start, absolute; `never` when no slot is expected
auto predictStart(const ModelView &view, std::size_t ahead, Millis assumedServiceTime, Millis now,
                  double share) -> Millis;

/// @return the usual time that a stream holds a slot, at least 1 ms
auto serviceTimeOf(const ModelView &view, Millis assumedServiceTime) -> Millis;

/// @return the time between two slots becoming free once all ready and loading replicas run, ms
auto slotInterval(const ModelView &view, Millis assumedServiceTime) -> Millis;

/// Measures which share of a model's slots this router's queue gets. Other routers have queues
/// for the model that this router cannot see, so the share is derived from how fast the own queue
/// drains while it is not empty.
class DrainShare
{
public:
    /// Advances the measurement to `now`. Must be called before the queue is read or changed.
    /// @param waits true when the queue is not empty
    auto advance(bool waits, Millis now) -> void;
    /// Ignores the time since the last advance(), since no replica was ready in it.
    auto discard(Millis now) -> void;
    /// Records that a request that had waited was dispatched.
    auto onPop() -> void;
    /// Undoes onPop() for a request that was not dispatched after all.
    auto onRequeue() -> void;
    /// @param nominal time between two slots becoming free, ms
    /// @return the share, in (0, 1]
    auto value(double nominal) const -> double;

private:
    double waited_ = 0; ///< Time during which the queue was not empty, ms.
    double pops_ = 0;
    Millis at_ = 0;
    bool waits_ = false;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_WAITING_H
