// Links figrack::coord from an install tree and uses one part of it.

#include <coord/viewlease.h>
#include <core/clock.h>

auto main() -> int
{
    auto clock = figrack::ManualClock {};
    auto holder = figrack::coord::ViewHolder {
        {}, clock, figrack::NodeId { "observer" }, figrack::Incarnation { 1 }
    };
    return holder.isCurrent() ? 1 : 0;
}
