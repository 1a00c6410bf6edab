// How many more replicas a queue needs to be served at its targets.
//
//   auto more = replicasMissing(queue);
//
// A burst at all routers is one queue and one answer: replicas that are ready or
// on the way are counted with what they can start by each class's deadline, and
// only the rest is asked for. Pure.

#ifndef FIGRACK_POLICY_DEMAND_H
#define FIGRACK_POLICY_DEMAND_H

#include "policy/tables.h"

namespace figrack::policy {

/// Requests of one class that wait.
struct Waiting
{
    Millis slack = 0; ///< From now to the earliest start deadline.
    std::uint32_t queued = 0;
};

struct QueueState
{
    std::vector<Waiting> waiting; ///< Least slack first.
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    std::uint32_t ready = 0;
    std::vector<Millis> loadingFor; ///< For each load on the way, ms until it ends.
    Millis loadTime = 1;            ///< Of one more load.
    Millis serviceTime = 1;         ///< A stream holds its slot for.
};

/// @return replicas to load beside those ready and on the way
auto replicasMissing(const QueueState &queue) -> std::uint32_t;

} // namespace figrack::policy

#endif // FIGRACK_POLICY_DEMAND_H
