// Computes how many more replicas a queue needs to be served within its targets.
//
//   auto more = replicasMissing(queue);
//
// The queues of all routers count as one queue, so a burst gives one answer. Replicas that are
// ready or being loaded are counted with the requests they can start by each class's deadline;
// only the rest needs further replicas. Pure.

#ifndef FIGRACK_POLICY_DEMAND_H
#define FIGRACK_POLICY_DEMAND_H

#include "policy/tables.h"

namespace figrack::policy {

/// Queued requests of one class.
struct Waiting
{
    Millis slack = 0; ///< From now to the earliest start deadline, ms.
    std::uint32_t queued = 0;
};

struct QueueState
{
    std::vector<Waiting> waiting; ///< Smallest slack first.
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    std::uint32_t ready = 0;
    std::vector<Millis> loadingFor; ///< For each load in progress, ms until it ends.
    Millis loadTime = 1;            ///< Duration of one more load, ms.
    Millis serviceTime = 1;         ///< Time for which a stream holds its slot, ms.
};

/// @return replicas to load in addition to those ready or being loaded
auto replicasMissing(const QueueState &queue) -> std::uint32_t;

} // namespace figrack::policy

#endif // FIGRACK_POLICY_DEMAND_H
