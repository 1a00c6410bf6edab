// Each model alternates between asleep and awake for exponential times. Awake it
// has bursts at exponential gaps; a burst's size is geometric and its requests
// spread over the routers. Expected changes between the two states, with the mean
// times of the scenarios, are 0.55 an hour a model: about 0.35 to 0.4 of all models
// change within an hour.

#include "bench/policysimworkload.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "core/random.h"

namespace figrack::bench {

namespace {

constexpr auto overloadSpan = Millis { 120000 };
constexpr auto catalogueSeed = std::uint64_t { 20241101 };

auto exponential(Random &random, double mean) -> double
{
    return -mean * std::log(1.0 - random.unit());
}

auto geometric(Random &random, double mean) -> std::uint32_t
{
    const auto stop = 1.0 / std::max(mean, 1.0);
    auto count = std::uint32_t { 1 };
    while (!random.chance(stop) && count < 64)
        ++count;
    return count;
}

auto pickClass(const Scenario &scenario, Random &random) -> std::size_t
{
    auto left = random.unit();
    for (auto i = std::size_t { 0 }; i < scenario.classes.size(); ++i) {
        left -= scenario.classes[i].modelShare;
        if (left < 0)
            return i;
    }
    return scenario.classes.size() - 1;
}

/// Bases of 12 to 60 GiB, adapters of 0.5 to 1.5 GiB on them.
auto addModels(Scenario &scenario, std::uint32_t bases, std::uint32_t adapters, std::uint32_t slots)
        -> void
{
    auto random = Random { catalogueSeed };
    for (auto i = std::uint32_t { 0 }; i < bases + adapters; ++i) {
        const auto isBase = i < bases;
        auto model = SimModel {};
        model.info.id = ModelId { fmt::format("{}{:04}", isBase ? "base" : "adapter", i) };
        model.info.version = "1";
        if (!isBase)
            model.info.base = scenario.models[random.below(bases)].info.id;
        model.info.memoryMb = isBase ? 12000 + random.below(48000) : 500 + random.below(1000);
        model.info.slots = slots;
        model.mainClass = pickClass(scenario, random);
        model.rate = 0.5 + random.unit();
        scenario.models.push_back(model);
    }
}

auto classOf(const char *id, Millis start, Millis finish, double modelShare) -> SimClass
{
    return { { ClassId { id }, start, finish, 0.95 }, modelShare };
}

class Generator
{
public:
    Generator(const Scenario &scenario, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
    { }

    auto run() -> std::vector<Arrival>
    {
        for (auto i = std::uint32_t { 0 }; i < scenario_.models.size(); ++i)
            addModel(i);
        if (scenario_.fault == Fault::Overload)
            addOverload();
        std::stable_sort(arrivals_.begin(), arrivals_.end(),
                         [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
        return std::move(arrivals_);
    }

private:
    auto inPeak(double at) const -> bool
    {
        return at >= static_cast<double>(scenario_.peakFrom)
                && at < static_cast<double>(scenario_.peakTo);
    }

    auto addModel(std::uint32_t model) -> void
    {
        const auto awakeMean = static_cast<double>(scenario_.awake);
        const auto asleepMean = static_cast<double>(scenario_.asleep);
        auto at = 0.0;
        auto awake = random_.chance(awakeMean / (awakeMean + asleepMean));
        const auto wokenByPeak = random_.chance(scenario_.peakWakes);
        const auto peakWake = static_cast<double>(scenario_.peakFrom)
                + random_.unit() * static_cast<double>(scenario_.peakWakeSpan);
        while (at < static_cast<double>(scenario_.duration)) {
            auto until = at + exponential(random_, awake ? awakeMean : asleepMean);
            if (!awake && wokenByPeak && at < peakWake && until > peakWake)
                until = peakWake;
            if (awake)
                addBursts(model, at, until);
            at = until;
            awake = !awake;
        }
    }

    auto gapAt(std::uint32_t model, double at) -> double
    {
        const auto rate = scenario_.burstsPerHour * scenario_.models[model].rate
                * (inPeak(at) ? scenario_.peakRate : 1.0);
        return exponential(random_, static_cast<double>(hour) / rate);
    }

    auto addBursts(std::uint32_t model, double from, double to) -> void
    {
        const auto until = std::min(to, static_cast<double>(scenario_.duration));
        const auto wakes = from > 0; // At the start it is in use already.
        auto at = wakes ? from : gapAt(model, 0);
        auto size = scenario_.burstSize * (wakes ? scenario_.wakeBurst : 1.0);
        while (at < until) {
            addBurst(model, at, geometric(random_, size));
            size = scenario_.burstSize;
            at += gapAt(model, at);
        }
    }

    /// Two minutes of twice what the fleet can run with its memory full, over all bases.
    auto addOverload() -> void
    {
        auto bases = std::uint32_t { 0 };
        auto memory = 0.0;
        for (const auto &model : scenario_.models) {
            bases += model.info.base.empty() ? 1 : 0;
            memory += model.info.base.empty() ? static_cast<double>(model.info.memoryMb) : 0.0;
        }
        const auto replicas
                = static_cast<double>(scenario_.memoryMb) * scenario_.runners / (memory / bases);
        const auto capacity = replicas * scenario_.models[0].info.slots
                / static_cast<double>(scenario_.service);
        const auto from = static_cast<double>(scenario_.duration) / 2;
        auto at = from;
        while (at < from + static_cast<double>(overloadSpan)) {
            addBurst(static_cast<std::uint32_t>(random_.below(bases)), at, 1);
            at += exponential(random_, 0.5 / capacity);
        }
    }

    auto addBurst(std::uint32_t model, double from, std::uint32_t count) -> void
    {
        for (auto i = std::uint32_t { 0 }; i < count; ++i) {
            const auto spread
                    = i == 0 ? 0.0 : random_.unit() * static_cast<double>(scenario_.burstSpan);
            const auto classIndex = random_.chance(0.85) ? scenario_.models[model].mainClass
                                                         : pickClass(scenario_, random_);
            const auto service
                    = exponential(random_, static_cast<double>(scenario_.service) - 1000.0) + 1000;
            arrivals_.push_back({ static_cast<Millis>(from + spread), model,
                                  static_cast<std::uint32_t>(classIndex),
                                  static_cast<std::uint32_t>(random_.below(scenario_.routers)),
                                  static_cast<Millis>(service) });
        }
    }

    const Scenario &scenario_;
    Random random_;
    std::vector<Arrival> arrivals_;
};

} // namespace

auto granits() -> Scenario
{
    auto scenario = Scenario {};
    scenario.name = "granits";
    scenario.classes
            = { classOf("urgent", 2000, 30000, 0.15), classOf("routine", 10000, 60000, 0.35),
                classOf("patient", 60000, 600000, 0.5) };
    addModels(scenario, 56, 116, 16);
    return scenario;
}

auto socorro() -> Scenario
{
    auto scenario = Scenario {};
    scenario.name = "socorro";
    scenario.classes = { classOf("urgent", 1700, 20000, 0.6), classOf("query", 5000, 30000, 0.3),
                         classOf("report", 60000, 600000, 0.1) };
    addModels(scenario, 43, 98, 16);
    scenario.storeLoadsPerSecond = 4;
    scenario.peakFrom = 5 * hour;
    scenario.peakTo = 6 * hour;
    scenario.peakRate = 6;
    scenario.peakWakes = 0.6;
    scenario.peakWakeSpan = 10 * 60000;
    return scenario;
}

auto target() -> Scenario
{
    auto scenario = Scenario {};
    scenario.name = "target";
    scenario.classes = { classOf("urgent", 1700, 30000, 0.3), classOf("routine", 10000, 60000, 0.4),
                         classOf("patient", 60000, 600000, 0.3) };
    addModels(scenario, 13, 78, 32);
    scenario.runners = 85;
    scenario.domains = 14;
    scenario.routers = 20;
    scenario.accelerators = 8;
    scenario.memoryMb = 640000;
    scenario.diskMb = 1000000;
    scenario.hostMemoryMb = 400000;
    scenario.storeConcurrency = 13;
    scenario.storeLoadsPerSecond = 10;
    scenario.duration = hour / 6;
    scenario.peakFrom = hour / 18;
    scenario.peakTo = hour / 12;
    scenario.peakRate = 2;
    scenario.peakWakeSpan = 60000;
    // 350 requests/s over about 25 awake models.
    scenario.burstsPerHour = 12500;
    return scenario;
}

auto makeArrivals(const Scenario &scenario, std::uint64_t seed) -> std::vector<Arrival>
{
    return Generator { scenario, seed }.run();
}

auto faultName(Fault fault) -> const char *
{
    switch (fault) {
    case Fault::None:
        return "none";
    case Fault::StoreSlow:
        return "store_slow";
    case Fault::Reclaimed:
        return "reclaimed";
    case Fault::DomainLost:
        return "domain_lost";
    case Fault::ReportsLate:
        return "reports_late";
    case Fault::EventsDropped:
        return "events_dropped";
    case Fault::Overload:
        return "overload";
    }
    return "none";
}

} // namespace figrack::bench
