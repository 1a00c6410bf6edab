// Classes are served in order of their deadlines, so for each class the requests of all classes
// up to and including it must start by its deadline. The replicas that are ready or being loaded
// can start some of them by then; new replicas are needed only for the rest. If a load would end
// after the deadline, the end of the load replaces the deadline: requests that the present
// replicas start before a load could end do not justify that load.

#include "policy/demand.h"

#include <algorithm>
#include <cmath>

namespace figrack::policy {

namespace {

/// Returns how many requests a replica that is ready after readyAfter ms can start by the horizon.
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
    const auto load = static_cast<double>(std::max<Millis>(queue.loadTime, 1));
    const auto capacity = static_cast<double>(queue.slots) * queue.ready;
    auto due = 0.0;
    auto missing = 0.0;
    for (const auto &waiting : queue.waiting) {
        due += waiting.queued;
        const auto horizon = std::max(static_cast<double>(waiting.slack), load);
        auto supply = std::max(capacity - queue.running, 0.0)
                + capacity * horizon / static_cast<double>(queue.serviceTime);
        for (const auto readyAfter : queue.loadingFor) {
            const auto after = static_cast<double>(std::max<Millis>(readyAfter, 0));
            supply += startsBy(std::max(horizon, after), after, queue);
        }
        const auto rest = due - supply;
        if (rest > 0)
            missing = std::max(missing, std::ceil(rest / startsBy(horizon, load, queue)));
    }
    return static_cast<std::uint32_t>(missing);
}

} // namespace figrack::policy
