// Scenarios of the policy benchmark and their arrivals.
//
//   auto scenario = granits();
//   auto arrivals = makeArrivals(scenario, seed);
//
// The shape is the brief's: rare models that wake and fall idle (35 in 100 change
// within an hour), bursts that reach many routers at once, a peak in the middle.
// The same seed gives the same arrivals on every machine.

#ifndef FIGRACK_BENCH_POLICYSIMWORKLOAD_H
#define FIGRACK_BENCH_POLICYSIMWORKLOAD_H

#include <string>
#include <vector>

#include "policy/tables.h"

namespace figrack::bench {

using policy::Millis;

constexpr auto hour = Millis { 3600000 };

/// How a class is mixed into the scenario.
struct SimClass
{
    policy::ClassTarget target;
    double modelShare = 0; ///< Of models whose main class it is.
};

struct SimModel
{
    policy::ModelInfo info;
    std::size_t mainClass = 0;
    double rate = 1.0; ///< Bursts while awake, relative to the scenario's.
};

enum class Fault : std::uint8_t {
    None,
    StoreSlow,     ///< The store is ten times slower in the middle third.
    Reclaimed,     ///< A third of the endpoints is gone for half an hour.
    DomainLost,    ///< A failure domain is gone for half an hour.
    ReportsLate,   ///< Load and demand reports arrive 5 s late.
    EventsDropped, ///< Half of the events on cached checkpoints are lost.
    Overload,      ///< Arrivals at twice the fleet's capacity for two minutes.
};

struct Scenario
{
    std::string name;
    std::vector<SimClass> classes;
    std::vector<SimModel> models; ///< Bases first.
    std::uint32_t runners = 18;
    std::uint32_t domains = 3;
    std::uint32_t routers = 6;
    std::uint64_t memoryMb = 80000;     ///< Of a runner's accelerators.
    std::uint64_t diskMb = 160000;      ///< For checkpoints.
    std::uint64_t hostMemoryMb = 60000; ///< For checkpoints.
    std::uint32_t accelerators = 1;
    std::uint32_t storeConcurrency = 4;
    double storeLoadsPerSecond = 3;
    Millis duration = 12 * hour;
    Millis awake = hour;           ///< Mean time a model is in use.
    Millis asleep = 13 * hour / 5; ///< Mean time between.
    double burstsPerHour = 10;     ///< Of an awake model.
    double burstSize = 4;          ///< Mean requests of a burst.
    double wakeBurst = 3;          ///< The burst that wakes a model is so much larger.
    Millis burstSpan = 2000;       ///< A burst's requests arrive within.
    Millis service = 5000;         ///< Mean decode time.
    Millis peakFrom = 5 * hour;    ///< The peak: Toussaint, a flood.
    Millis peakTo = 7 * hour;
    double peakRate = 3;              ///< Bursts are so many times as frequent.
    double peakWakes = 0.2;           ///< Share of sleeping models that the peak wakes.
    Millis peakWakeSpan = 30 * 60000; ///< They wake within.
    Fault fault = Fault::None;
};

struct Arrival
{
    Millis at = 0;
    std::uint32_t model = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t router = 0;
    Millis service = 0;
};

/// Granits de l'Arree: patient work, a small budget, the peak before Toussaint.
auto granits() -> Scenario;
/// Socorro Norte: urgent work, floods that wake most of the catalogue at once.
auto socorro() -> Scenario;
/// A sixtieth of the target, for ten minutes: fleet, catalogue and arrivals are divided alike;
/// the store's speed at the target is not given and is taken as ten loads a second here.
auto target() -> Scenario;

/// @return arrivals in order of time
auto makeArrivals(const Scenario &scenario, std::uint64_t seed) -> std::vector<Arrival>;

/// @return the name of a fault
auto faultName(Fault fault) -> const char *;

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMWORKLOAD_H
