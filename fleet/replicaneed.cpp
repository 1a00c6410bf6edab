#include "fleet/replicaneed.h"

#include <algorithm>
#include <cmath>

#include "core/duration.h"

namespace figrack::fleet {

auto replicasForReading(const ReadLoad &load, const ReplicaNeedOptions &options) -> std::uint32_t
{
    if (load.requestsPerSecond <= 0 || load.tokensPerSecond <= 0)
        return 0;
    const auto busyPerSecond = load.tokensPerSecond / (options.tokensPerMs * 1000);
    const auto read = busyPerSecond / load.requestsPerSecond;
    // The mean wait of a queue with constant service time is read * u / (2 * (1 - u)).
    const auto wait = std::max(0.0, inSeconds(load.startTarget) / 2 - read);
    const auto utilization = std::clamp(2 * wait / (read + 2 * wait), options.minUtilization,
                                        options.maxUtilization);
    const auto replicas = static_cast<std::uint32_t>(std::ceil(busyPerSecond / utilization));
    return std::clamp(replicas, 1U, options.maxReplicas);
}

} // namespace figrack::fleet
