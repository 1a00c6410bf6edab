// Count the requests that the replicas there are, and those on the way, can
// start by a horizon; a new replica is for the rest. The horizon is the earliest
// start deadline, or the end of the load if that is later: what would have been
// started anyway by the time a load ends is no reason for it.

#include "policy/demand.h"

#include <algorithm>
#include <cmath>

namespace figrack::policy {

namespace {

/// Requests a replica that is ready after some ms can start by the horizon.
auto startsBy(double horizon, double readyAfter, const QueueState &queue) -> double
{
    if (readyAfter > horizon)
        return 0;
    const auto turns = (horizon - readyAfter) / static_cast<double>(queue.serviceTime);
    return static_cast<double>(queue.slots) * (1.0 + turns);
}

} // namespace

auto replicasMissing(const QueueState &queue) -> std::uint32_t
{
    if (queue.queued == 0)
        return 0;
    const auto load = static_cast<double>(std::max<Millis>(queue.loadTime, 1));
    const auto horizon = std::max(static_cast<double>(queue.slack), load);
    const auto capacity = static_cast<double>(queue.slots) * queue.ready;
    auto supply = std::max(capacity - queue.running, 0.0)
            + capacity * horizon / static_cast<double>(queue.serviceTime);
    for (const auto readyAfter : queue.loadingFor)
        supply += startsBy(std::max(horizon, static_cast<double>(readyAfter)),
                           static_cast<double>(std::max<Millis>(readyAfter, 0)), queue);
    const auto rest = static_cast<double>(queue.queued) - supply;
    if (rest <= 0)
        return 0;
    return static_cast<std::uint32_t>(std::ceil(rest / startsBy(horizon, load, queue)));
}

} // namespace figrack::policy
