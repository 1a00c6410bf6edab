// Splits the waiting time of a cold start into parts, using the times of the order
// that loaded the replica.
//
//   auto parts = splitColdWait({ waited, arrivedAt, orderedAt, readyAt });
//
// Guarantees: a pure function. The parts are never negative and add up to the
// waiting time. The order's times come from the leader's clock; an offset between
// the clocks moves time from one part to another and has no other effect.

#ifndef FIGRACK_ROUTER_COLDWAIT_H
#define FIGRACK_ROUTER_COLDWAIT_H

#include "report/recorder.h"
#include "state/commands.h"

namespace figrack::router {

struct ColdWait
{
    state::Millis waited = 0;    ///< From arrival to dispatch, ms.
    state::Millis arrivedAt = 0; ///< This router's wall time, ms.
    state::Millis orderedAt = 0; ///< Leader's wall time, ms; 0 if unknown.
    state::Millis readyAt = 0;   ///< Leader's wall time, ms.
};

/// @param wait the times of a request that found no ready replica
/// @return decision: the time until the load was ordered; load: from then until the replica was
///     ready, including the queue of the model store; queue: the rest. If the order is unknown,
///     all of the time is counted as queue.
auto splitColdWait(const ColdWait &wait) -> report::ColdParts;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_COLDWAIT_H
