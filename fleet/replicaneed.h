// Decides how many replicas of a model can read the prompts of its requests in time.
//
//   const auto replicas = replicasForReading(load, options);
//
// The load that this answers: demand moves to a model with one replica. Its prompts are read one
// after another, so most of them start late or are refused, although the replica has free places
// and other endpoints are idle. The number of requests in progress does not show this, since the
// refused ones are not in progress.
//
// A replica is treated as a queue with one server and constant service time, the mean reading time.
// Its utilization is bounded so that the mean wait and the reading together take half of the start
// target; the other half covers arrivals in bursts.

#ifndef FIGRACK_FLEET_REPLICANEED_H
#define FIGRACK_FLEET_REPLICANEED_H

#include <cstdint>

#include "fleet/readload.h"

namespace figrack::fleet {

struct ReplicaNeedOptions
{
    /// Prompt tokens that an engine reads per millisecond, including the decode steps in between.
    double tokensPerMs = 28;
    /// Bounds of a replica's utilization. Above the first, a burst of a few requests makes all of
    /// them late whatever their target; below the second, replicas would be idle most of the time
    /// without being in time, since reading alone takes the target.
    double maxUtilization = 0.6;
    double minUtilization = 0.2;
    /// Upper bound of the result.
    std::uint32_t maxReplicas = 16;
};

/// @return the number of replicas, at least 1 for a model with any load
auto replicasForReading(const ReadLoad &load, const ReplicaNeedOptions &options) -> std::uint32_t;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_REPLICANEED_H
