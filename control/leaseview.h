// The leader's lease as other threads may ask about it.
//
//   view.publish(term, replica.leaseEnd());      // the control strand
//   if (view.holds(term, clock.now())) ...       // any thread, right before an order's first byte
//
// Guarantee: holds() is true only before the end of a lease that this process
// held in that very term, less a margin for the time between asking and acting.

#ifndef FIGRACK_CONTROL_LEASEVIEW_H
#define FIGRACK_CONTROL_LEASEVIEW_H

#include <mutex>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::control {

class LeaseView
{
public:
    /// @param margin by which holds() ends before the lease does
    explicit LeaseView(Duration margin)
        : margin_(margin)
    { }

    /// @param term the term led; the default when not leading
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
    mutable std::mutex mutex_; ///< A leaf in the lock order: nothing is locked under it.
    Term term_;
    Instant end_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_LEASEVIEW_H
