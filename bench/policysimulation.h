// A discrete-event run of the policy code against a table-level fleet.
//
//   auto report = simulate(scenario, arrivals, "figrack", KeepByTarget {}, seed);
//
// The routers are RequestQueue and ReplicaChooser, the control is Planner: the code
// that ships. Around them stand plain models of runners, caches, store and callers;
// no processes, no network. Deterministic: the same arguments, the same report.

#ifndef FIGRACK_BENCH_POLICYSIMULATION_H
#define FIGRACK_BENCH_POLICYSIMULATION_H

#include <string>

#include "bench/policysimreport.h"
#include "bench/policysimworkload.h"
#include "policy/keepwarm.h"

namespace figrack::bench {

/// @param keep what stays warm; the rest of the policy is the same for all
auto simulate(const Scenario &scenario, const std::vector<Arrival> &arrivals,
              const std::string &policyName, const policy::KeepRule &keep, std::uint64_t seed)
        -> SimReport;

/// @return a rule that knows the arrivals: a model's next use, or that of its adapters
auto foreseen(const Scenario &scenario, const std::vector<Arrival> &arrivals)
        -> policy::KeepByOracle;

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMULATION_H
