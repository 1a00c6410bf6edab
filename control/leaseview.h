// LeaseView lets other threads check whether the leader's lease is valid.
//
//   view.publish(term, replica.leaseEnd());      // On the control's strand.
//   if (view.holds(term, clock.now())) ...       // On any thread, before an order's first byte.
//
// Guarantee: holds() returns true only before the end of a lease that this process held in the
// same term, less a margin for the time between the check and the action.

#ifndef FIGRACK_CONTROL_LEASEVIEW_H
#define FIGRACK_CONTROL_LEASEVIEW_H

#include <mutex>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::control {

class LeaseView
{
public:
    /// @param margin how long before the end of the lease holds() starts to return false
    explicit LeaseView(Duration margin)
        : margin_(margin)
    { }

    /// @param term the term in which this control leads; Term {} when not leading
    /// @param end the lease's end on this process's clock
    auto publish(Term term, Instant end) -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        term_ = term;
        end_ = end;
    }

    /// @return true while the lease of that term holds
    auto holds(Term term, Instant now) const -> bool
    {
        const auto lock = std::scoped_lock { mutex_ };
        return term == term_ && term != Term {} && now + margin_ < end_;
    }

    /// @return true while a lease of any term holds
    auto holdsAny(Instant now) const -> bool
    {
        const auto lock = std::scoped_lock { mutex_ };
        return term_ != Term {} && now + margin_ < end_;
    }

private:
    Duration margin_;
    mutable std::mutex mutex_; ///< Leaf in the lock order: no other lock is taken while it is held.
    Term term_;
    Instant end_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_LEASEVIEW_H
