#include "gateway/fleetview.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::gateway {
namespace {

auto isNewer(const catalogue::EndpointRow &row, const catalogue::EndpointRow &than) -> bool
{
    if (than.state == catalogue::EndpointState::Gone)
        return false;
    if (row.state == catalogue::EndpointState::Gone)
        return true;
    return std::pair { row.sequence, row.orderVersion }
    > std::pair { than.sequence, than.orderVersion };
}

} // namespace

FleetView::FleetView(FleetViewOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto FleetView::apply(const proto::ServingUpdate &update) -> bool
{
    auto changed = false;
    for (const auto &row : update.endpoints)
        changed = applyRow(row) || changed;
    const auto now = clock_.now();
    for (const auto &beat : update.beats) {
        auto *entry = find(beat.id);
        if (entry != nullptr && beat.sequence >= entry->row.sequence)
            entry->heardAt = now;
    }
    if (now >= nextForget_) {
        nextForget_ = now + options_.forgetGoneAfter / 4;
        forgetGone();
    }
    return changed;
}

auto FleetView::applyRow(const catalogue::EndpointRow &row) -> bool
{
    auto [item, isNew] = entries_.try_emplace(row.id);
    auto &entry = item->second;
    if (!isNew && !isNewer(row, entry.row))
        return false;
    const auto changed = isNew || !row.sameAs(entry.row);
    if (isNew)
        byService_[row.service].push_back(row.id);
    if (changed) {
        LogEvent(LogLevel::Info, "endpoint_changed")
                .with("endpoint", row.id)
                .with("service", row.service)
                .with("state", catalogue::endpointStateName(row.state))
                .with("sequence", row.sequence)
                .with("order_version", row.orderVersion)
                .with("models", static_cast<std::uint64_t>(row.models.size()));
    }
    entry.row = row;
    entry.heardAt = clock_.now();
    return changed;
}

auto FleetView::of(const ServiceId &service) -> std::vector<EndpointEntry *>
{
    auto result = std::vector<EndpointEntry *> {};
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return result;
    for (const auto &id : found->second) {
        auto &entry = entries_.at(id);
        if (entry.row.state == catalogue::EndpointState::Ready)
            result.push_back(&entry);
    }
    return result;
}

auto FleetView::find(const EndpointId &id) -> EndpointEntry *
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto FleetView::isHealthy(const EndpointEntry &entry) const -> bool
{
    const auto now = clock_.now();
    return now >= entry.avoidUntil && now - entry.heardAt < options_.staleAfter;
}

auto FleetView::onSuccess(const EndpointId &id) -> void
{
    if (auto *entry = find(id)) {
        entry->failures = 0;
        entry->avoidUntil = Instant {};
    }
}

auto FleetView::onFailure(const EndpointId &id) -> void
{
    auto *entry = find(id);
    if (entry == nullptr)
        return;
    auto pause = options_.firstPause;
    for (auto i = 0U; i < entry->failures && pause < options_.longestPause; ++i)
        pause *= 2;
    ++entry->failures;
    entry->avoidUntil = clock_.now() + std::min(pause, options_.longestPause);
}

auto FleetView::onMisdirected(const EndpointId &id) -> void
{
    if (auto *entry = find(id))
        entry->avoidUntil = std::max(entry->avoidUntil, clock_.now() + options_.firstPause);
}

auto FleetView::forgetGone() -> void
{
    const auto limit = clock_.now() - options_.forgetGoneAfter;
    for (auto item = entries_.begin(); item != entries_.end();) {
        const auto &entry = item->second;
        if (entry.heardAt > limit || entry.running > 0) {
            ++item;
            continue;
        }
        std::erase(byService_[entry.row.service], item->first);
        item = entries_.erase(item);
    }
}

} // namespace figrack::gateway
