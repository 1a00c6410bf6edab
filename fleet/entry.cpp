#include "fleet/entry.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace figrack::fleet {

namespace {

constexpr auto scopeNames = std::array<std::string_view, 3> { "domain", "region", "all" };

/// @return the capacity of each entry's gateway; an unknown one counts as the mean of the known
/// ones, and all are equal when none is known
auto capacitiesOf(const std::vector<Entry> &entries) -> std::vector<double>
{
    auto sum = 0.0;
    auto known = 0;
    for (const auto &entry : entries) {
        sum += entry.gateway.capacity;
        known += entry.gateway.capacity > 0 ? 1 : 0;
    }
    const auto mean = known > 0 ? sum / known : 1.0;
    auto result = std::vector<double> {};
    for (const auto &entry : entries)
        result.push_back(entry.gateway.capacity > 0 ? entry.gateway.capacity : mean);
    return result;
}

/// Repeats entries until each is listed in proportion to its capacity, the smallest once, or the
/// answer is full. The next repeat goes to the gateway that has the most capacity for each of its
/// entries, rounded by halves (Sainte-Lague), so that a full answer is in proportion too.
/// Capacities that differ by a factor of less than 1.5 give no repeats.
auto repeatByCapacity(std::vector<Entry> &entries) -> void
{
    if (entries.empty())
        return;
    const auto capacities = capacitiesOf(entries);
    const auto smallest = *std::min_element(capacities.begin(), capacities.end());
    for (auto total = entries.size(); total < maxEntries; ++total) {
        auto *next = static_cast<Entry *>(nullptr);
        auto most = 0.0;
        for (auto i = std::size_t { 0 }; i < entries.size(); ++i) {
            const auto half = entries[i].repeats + 0.5;
            const auto perEntry = capacities[i] / half;
            if (entries[i].repeats < maxRepeats && perEntry >= smallest && perEntry > most) {
                next = &entries[i];
                most = perEntry;
            }
        }
        if (next == nullptr)
            return;
        ++next->repeats;
    }
}

} // namespace

auto entryScopeName(EntryScope scope) -> std::string_view
{
    return scopeNames.at(static_cast<std::size_t>(scope));
}

auto EntryChoice::isWeighted() const -> bool
{
    return std::any_of(entries.begin(), entries.end(),
                       [](const Entry &entry) { return entry.repeats > 1; });
}

auto EntryChoice::addresses() const -> std::vector<Address>
{
    auto result = std::vector<Address> {};
    for (const auto &entry : entries)
        result.push_back(entry.gateway.callers);
    for (const auto &entry : entries)
        result.insert(result.end(), entry.repeats - 1, entry.gateway.callers);
    return result;
}

auto EntryChoice::weightsText() const -> std::string
{
    if (!isWeighted())
        return {};
    auto kinds = std::set<std::pair<std::uint32_t, std::uint32_t>> {};
    for (const auto &entry : entries)
        kinds.emplace(entry.gateway.capacity, entry.repeats);
    auto text = std::string {};
    for (const auto &[capacity, repeats] : kinds) {
        if (!text.empty())
            text += ',';
        text += std::to_string(capacity) + ':' + std::to_string(repeats);
    }
    return text;
}

auto chooseEntries(const std::vector<GatewayInfo> &gateways, const CallerPlace &caller,
                   const catalogue::RegionMap &regions) -> EntryChoice
{
    auto near = std::vector<Entry> {};
    auto inRegion = std::vector<Entry> {};
    auto all = std::vector<Entry> {};
    const auto mayLeaveOut = std::any_of(gateways.begin(), gateways.end(),
                                         [](const auto &gateway) { return !gateway.reachesNone; });
    for (const auto &gateway : gateways) {
        if (gateway.reachesNone && mayLeaveOut)
            continue;
        all.push_back({ gateway });
        const auto known = regions.find(gateway.domain);
        if (known != regions.end() && known->second == caller.region)
            inRegion.push_back({ gateway });
        if (gateway.domain == caller.domain)
            near.push_back({ gateway });
    }
    auto choice = EntryChoice {};
    // A caller's own region may always be named, whatever the homes of its requests are.
    if (near.size() >= 2)
        choice = { EntryScope::Domain, caller.domain.value(), std::move(near) };
    else if (!inRegion.empty())
        choice = { EntryScope::Region, caller.region.value(), std::move(inRegion) };
    else
        choice = { EntryScope::All, {}, std::move(all) };
    if (choice.entries.size() > maxEntries)
        choice.entries.resize(maxEntries);
    else
        repeatByCapacity(choice.entries);
    return choice;
}

} // namespace figrack::fleet
