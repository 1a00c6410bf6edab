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
#include "policy/drainshare.h"

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

} // namespace figrack::policy

#endif // FIGRACK_POLICY_WAITING_H
