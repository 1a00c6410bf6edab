// When a slot comes free for the n-th request that waits for a model.
//
//   auto start = predictStart(view, ahead, options.assumedServiceTime, now);
//
// Pure arithmetic over a ModelView: slots that are free now, slots that come free
// one after another at the usual service time, and slots that loads bring.

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
/// @return the predicted start, absolute; never when no slot is in sight
auto predictStart(const ModelView &view, std::size_t ahead, Millis assumedServiceTime, Millis now)
        -> Millis;

/// @return the usual time that a stream holds a slot, at least 1 ms
auto serviceTimeOf(const ModelView &view, Millis assumedServiceTime) -> Millis;

/// @return the time between two slots coming free once all that is ready or loading runs, ms
auto slotInterval(const ModelView &view, Millis assumedServiceTime) -> Millis;

} // namespace figrack::policy

#endif // FIGRACK_POLICY_WAITING_H
