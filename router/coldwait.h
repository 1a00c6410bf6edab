// Where the wait of a cold start went, told from the order that loaded its replica.
//
//   auto parts = splitColdWait({ waited, arrivedAt, orderedAt, readyAt });
//
// Guarantees: pure; the parts are never negative and add up to the wait. The order's times
// are the leader's: a clock that is off moves time from one part to another, no more.

#ifndef FIGRACK_ROUTER_COLDWAIT_H
#define FIGRACK_ROUTER_COLDWAIT_H

#include "report/recorder.h"
#include "state/commands.h"

namespace figrack::router {

struct ColdWait
{
    state::Millis waited = 0;    ///< Arrival till dispatch, ms.
    state::Millis arrivedAt = 0; ///< Wall time here.
    state::Millis orderedAt = 0; ///< Wall time of the leader; 0 when unknown.
    state::Millis readyAt = 0;   ///< Wall time of the leader.
};

/// @param wait of a request that found no replica ready
/// @return decision: till the order; load: till the replica was ready, the store's queue
///     included; queue: the rest. All of it is queue when the order is not known.
auto splitColdWait(const ColdWait &wait) -> report::ColdParts;

} // namespace figrack::router

#endif // FIGRACK_ROUTER_COLDWAIT_H
