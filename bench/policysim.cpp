// Runs the policy benchmark and prints one line a scenario, fault and policy.
//
//   policysim --scenario granits --faults --seed 1

#include <cstdio>
#include <string>

#include <tclap/CmdLine.h>

#include "bench/policysimulation.h"

namespace figrack::bench {

namespace {

constexpr auto faults = { Fault::StoreSlow,   Fault::Reclaimed,     Fault::DomainLost,
                          Fault::ReportsLate, Fault::EventsDropped, Fault::Overload };

auto print(const SimReport &report) -> void
{
    std::printf("%s\n", toLine(report).c_str());
    std::fflush(stdout);
}

auto runPolicies(const Scenario &scenario, std::uint64_t seed, const std::string &only) -> void
{
    const auto arrivals = makeArrivals(scenario, seed);
    const auto run = [&](const char *name, const policy::KeepRule &keep) {
        if (only.empty() || only == name)
            print(simulate(scenario, arrivals, name, keep, seed));
    };
    run("figrack", policy::KeepByTarget {});
    run("keep_nothing", policy::KeepFixed { 0 });
    run("keep_10min", policy::KeepFixed { 600000 });
    run("lru", policy::KeepUntilNeeded {});
    run("warm_all", policy::KeepEverything {});
    run("clairvoyant", foreseen(scenario, arrivals));
}

auto runScenario(Scenario scenario, bool withFaults, std::uint64_t seed, const std::string &only)
        -> void
{
    runPolicies(scenario, seed, only);
    if (!withFaults)
        return;
    for (const auto fault : faults) {
        scenario.fault = fault;
        runPolicies(scenario, seed, only);
    }
}

auto run(int argc, char **argv) -> int
{
    auto line = TCLAP::CmdLine { "Policy benchmark: discrete events, no processes." };
    auto name = TCLAP::ValueArg<std::string> { "s",   "scenario", "granits, socorro, target or all",
                                               false, "all",      "name" };
    auto only
            = TCLAP::ValueArg<std::string> { "p", "policy", "one policy only", false, "", "name" };
    auto withFaults = TCLAP::SwitchArg { "f", "faults", "also under each fault" };
    auto seed = TCLAP::ValueArg<std::uint64_t> { "r",   "seed", "of arrivals and of the run",
                                                 false, 1,      "number" };
    line.add(name);
    line.add(only);
    line.add(withFaults);
    line.add(seed);
    line.parse(argc, argv);
    for (const auto &scenario : { granits(), socorro(), target() })
        if (name.getValue() == "all" || name.getValue() == scenario.name)
            runScenario(scenario, withFaults.getValue() && scenario.name != "target",
                        seed.getValue(), only.getValue());
    return 0;
}

} // namespace

} // namespace figrack::bench

auto main(int argc, char **argv) -> int
{
    return figrack::bench::run(argc, argv);
}
