// Both times are first clamped to the waiting period, so that clock skew cannot
// make a part negative.

#include "router/coldwait.h"

#include <algorithm>

namespace figrack::router {

auto splitColdWait(const ColdWait &wait) -> report::ColdParts
{
    auto parts = report::ColdParts {};
    if (wait.orderedAt == 0) {
        parts.queue = wait.waited;
        return parts;
    }
    const auto ordered = std::clamp<state::Millis>(wait.orderedAt - wait.arrivedAt, 0, wait.waited);
    const auto ready = std::clamp(wait.readyAt - wait.arrivedAt, ordered, wait.waited);
    parts.decision = ordered;
    parts.load = ready - ordered;
    parts.queue = wait.waited - ready;
    return parts;
}

} // namespace figrack::router
