// Measures the part of a model's slots that a queue gets, where others use the same endpoints.
//
//   drain.advance(waits, now);                  // before the queue is read or changed
//   drain.onPop();                              // a request that had waited was dispatched
//   const auto share = drain.value(nominal);    // nominal: ms between two slots becoming free
//
// No clock, no I/O: times are parameters.

#ifndef FIGRACK_POLICY_DRAINSHARE_H
#define FIGRACK_POLICY_DRAINSHARE_H

#include "policy/tables.h"

namespace figrack::policy {

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

#endif // FIGRACK_POLICY_DRAINSHARE_H
