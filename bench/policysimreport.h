// What a run of the policy benchmark measures.
//
// Cold start: a request that arrived while no usable replica of its model was
// ready; its time runs from its first arrival to its first token, through every
// refusal and return. One that gave up is counted as refused, never as fast.
// Idle accelerator hours: over all replicas, from the start of a load until the
// memory is free again, the time in which nothing ran on the replica (for a base:
// nor on an adapter beside it), weighted by its share of the endpoint's memory
// times the endpoint's accelerators.

#ifndef FIGRACK_BENCH_POLICYSIMREPORT_H
#define FIGRACK_BENCH_POLICYSIMREPORT_H

#include <string>
#include <vector>

#include "bench/policysimworkload.h"

namespace figrack::bench {

struct ClassReport
{
    std::uint64_t requests = 0;
    std::uint64_t metStart = 0;
    std::uint64_t metFinish = 0;
    std::uint64_t refused = 0;    ///< Gave up after its returns.
    std::uint64_t coldMissed = 0; ///< Cold and past the start target, refused ones included.
    std::vector<Millis> coldStarts;
    std::vector<Millis> starts; ///< Time to first token of all that got one.
};

struct SimReport
{
    std::string scenario;
    std::string policy;
    std::string fault;
    std::vector<std::string> classNames;
    std::vector<ClassReport> classes;
    std::uint64_t refusals = 0; ///< Answers that were a refusal, returns included.
    std::uint64_t loads = 0;
    std::uint64_t storeLoads = 0;
    std::uint64_t evictions = 0; ///< Unloads to make room.
    std::uint64_t unloads = 0;
    std::uint64_t failed = 0; ///< Streams cut off by a lost endpoint.
    double idleHours = 0;
    double usedHours = 0; ///< The same weight, while something ran.
};

/// @param share 0.99 for p99. @return the value; 0 when there is none
auto percentile(std::vector<Millis> values, double share) -> Millis;
/// @return cold starts of all classes
auto allColdStarts(const SimReport &report) -> std::vector<Millis>;
/// @return times to first token of all classes, warm and cold
auto allStarts(const SimReport &report) -> std::vector<Millis>;
/// @return one line of key=value pairs
auto toLine(const SimReport &report) -> std::string;

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMREPORT_H
