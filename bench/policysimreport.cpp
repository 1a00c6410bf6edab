// Percentiles are by nearest rank over all values: runs are small enough to keep
// every cold start.

#include "bench/policysimreport.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace figrack::bench {

auto percentile(std::vector<Millis> values, double share) -> Millis
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank
            = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

auto allColdStarts(const SimReport &report) -> std::vector<Millis>
{
    auto all = std::vector<Millis> {};
    for (const auto &entry : report.classes)
        all.insert(all.end(), entry.coldStarts.begin(), entry.coldStarts.end());
    return all;
}

auto allStarts(const SimReport &report) -> std::vector<Millis>
{
    auto all = std::vector<Millis> {};
    for (const auto &entry : report.classes)
        all.insert(all.end(), entry.starts.begin(), entry.starts.end());
    return all;
}

auto toLine(const SimReport &report) -> std::string
{
    const auto cold = allColdStarts(report);
    auto refused = std::uint64_t { 0 };
    auto coldMissed = std::uint64_t { 0 };
    for (const auto &entry : report.classes) {
        refused += entry.refused;
        coldMissed += entry.coldMissed;
    }
    auto line = fmt::format("scenario={} fault={} policy={} cold={} cold_p50_ms={} cold_p99_ms={} "
                            "cold_p999_ms={} cold_missed={} start_p99_ms={} idle_acc_h={:.2f} "
                            "used_acc_h={:.2f} refused={} "
                            "refusals={} loads={} store_loads={} evictions={} unloads={} failed={}",
                            report.scenario, report.fault, report.policy, cold.size(),
                            percentile(cold, 0.5), percentile(cold, 0.99), percentile(cold, 0.999),
                            coldMissed, percentile(allStarts(report), 0.99), report.idleHours,
                            report.usedHours, refused, report.refusals, report.loads,
                            report.storeLoads, report.evictions, report.unloads, report.failed);
    for (auto i = std::size_t { 0 }; i < report.classes.size(); ++i) {
        const auto &entry = report.classes[i];
        const auto total = static_cast<double>(std::max<std::uint64_t>(entry.requests, 1));
        line += fmt::format(" {0}.requests={1} {0}.start_met={2:.4f} {0}.finish_met={3:.4f} "
                            "{0}.refused={4} {0}.cold={5} {0}.cold_p50_ms={6} {0}.cold_p99_ms={7}",
                            report.classNames[i], entry.requests,
                            static_cast<double>(entry.metStart) / total,
                            static_cast<double>(entry.metFinish) / total, entry.refused,
                            entry.coldStarts.size(), percentile(entry.coldStarts, 0.5),
                            percentile(entry.coldStarts, 0.99));
    }
    return line;
}

} // namespace figrack::bench
