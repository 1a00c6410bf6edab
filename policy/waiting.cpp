// A fluid model: busy slots become free evenly, totalSlots in each service time, and a load adds
// its slots, all free, when it is done. There are at most two steps for loads (those in progress
// and those that could still be decided), so a prediction takes constant time.

#include "policy/waiting.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figrack::policy {
namespace {

struct Step
{
    Millis at = 0;
    double slots = 0;
};

/// Returns the two times at which further slots become available, in order.
auto capacitySteps(const ModelView &view, Millis now, double share) -> std::array<Step, 2>
{
    const auto perReplica = share * std::max<std::uint32_t>(view.slotsPerReplica, 1);
    const auto loading = Step { std::max(view.nextReady, now),
                                static_cast<double>(view.loading) * perReplica };
    const auto added
            = Step { now + view.predictedLoad, static_cast<double>(view.mayAdd) * perReplica };
    if (loading.at <= added.at)
        return { loading, added };
    return { added, loading };
}

/// Returns true when nothing is ready or being loaded, so that the queued demand determines the
/// number of loads.
auto isUnloaded(const ModelView &view) -> bool
{
    return view.ready == 0 && view.loading == 0;
}

} // namespace

auto serviceTimeOf(const ModelView &view, Millis assumedServiceTime) -> Millis
{
    return std::max<Millis>(view.serviceTime > 0 ? view.serviceTime : assumedServiceTime, 1);
}

auto slotInterval(const ModelView &view, Millis assumedServiceTime) -> Millis
{
    const auto perReplica = std::max<std::uint32_t>(view.slotsPerReplica, 1);
    const auto slots = std::max(view.totalSlots + view.loading * perReplica, perReplica);
    return std::max<Millis>(serviceTimeOf(view, assumedServiceTime) / slots, 1);
}

auto predictStart(const ModelView &view, std::size_t ahead, Millis assumedServiceTime, Millis now,
                  double share) -> Millis
{
    if (isUnloaded(view))
        return view.canEverLoad ? now + view.predictedLoad : never;
    if (ahead < view.freeSlots)
        return now;
    const auto service = static_cast<double>(serviceTimeOf(view, assumedServiceTime));
    auto wanted = static_cast<double>(ahead + 1 - view.freeSlots);
    auto slots = share * static_cast<double>(view.totalSlots);
    auto time = now;
    for (const auto &step : capacitySteps(view, now, share)) {
        if (step.slots == 0)
            continue;
        const auto freed = slots * static_cast<double>(step.at - time) / service;
        if (freed >= wanted)
            break;
        wanted -= freed;
        time = step.at;
        if (wanted <= step.slots)
            return time;
        wanted -= step.slots;
        slots += step.slots;
    }
    if (slots == 0)
        return never;
    return time + static_cast<Millis>(std::ceil(wanted * service / slots));
}

} // namespace figrack::policy
