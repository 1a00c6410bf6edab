#include "gateway/testing/viewmodel.h"

#include <algorithm>

namespace figrack::gateway::testing {

using catalogue::EndpointState;

auto ViewModel::find(const EndpointId &id) -> Entry *
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const auto &entry) { return entry.id == id; });
    return found == entries_.end() ? nullptr : &*found;
}

auto ViewModel::isSuperseded(const EndpointId &id) const -> bool
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry.id.name() == id.name() && entry.state != EndpointState::Gone
                && entry.id.incarnation() > id.incarnation();
    });
}

auto ViewModel::supersedeOlder(const EndpointId &id) -> void
{
    for (auto &entry : entries_) {
        if (entry.id.name() == id.name() && entry.id != id)
            entry.state = EndpointState::Gone;
    }
}

auto ViewModel::replaceOthersAt(const Entry &entry) -> void
{
    if (entry.state == EndpointState::Gone)
        return;
    for (auto &other : entries_) {
        if (other.id != entry.id && other.address == entry.address)
            other.isReplaced = true;
    }
}

auto ViewModel::hasYoungerAt(const catalogue::EndpointRow &row) const -> bool
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &other) {
        return other.state != EndpointState::Gone && !other.isReplaced
                && other.address == row.address && row.id.incarnation() != Incarnation {}
        && other.id.incarnation() > row.id.incarnation();
    });
}

auto ViewModel::apply(const catalogue::EndpointRow &row) -> void
{
    auto *entry = find(row.id);
    if (entry == nullptr && isSuperseded(row.id))
        return;
    const auto isNew = entry == nullptr;
    if (isNew) {
        entries_.push_back({});
        entry = &entries_.back();
        entry->id = row.id;
    }
    entry->isWithdrawn = false;
    const auto isGone = row.state == EndpointState::Gone;
    const auto isNews
            = entry->state != EndpointState::Gone && (isGone || row.sequence > entry->sequence);
    if (!isNew && !isNews)
        return;
    const auto wasReplaced = entry->isReplaced;
    // The address at which a gone endpoint was is not news.
    const auto isDisplaced = (isNew || wasReplaced) && hasYoungerAt(row);
    entry->state = row.state;
    entry->heardAt = clock_.now();
    if (isNew || !isGone) {
        entry->service = row.service;
        entry->address = row.address;
        entry->sequence = row.sequence;
    }
    if ((isNew || wasReplaced) && !isDisplaced)
        replaceOthersAt(*entry);
    entry->isReplaced = isDisplaced;
    if (isNew && !isGone)
        supersedeOlder(row.id);
}

auto ViewModel::applyBeat(const EndpointId &id, std::uint64_t sequence) -> void
{
    auto *entry = find(id);
    if (entry == nullptr || sequence < entry->sequence)
        return;
    entry->heardAt = clock_.now();
    if (!entry->isReplaced)
        return;
    replaceOthersAt(*entry);
    entry->isReplaced = false;
}

auto ViewModel::withdraw(const EndpointId &id) -> void
{
    auto *entry = find(id);
    if (entry == nullptr || entry->isWithdrawn)
        return;
    entry->isWithdrawn = true;
    entry->withdrawnAt = clock_.now();
}

auto ViewModel::withdrawAll() -> void
{
    for (auto &entry : entries_) {
        entry.isWithdrawn = true;
        entry.withdrawnAt = clock_.now();
    }
}

auto ViewModel::forgetOld() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + options_.forgetWithdrawnAfter;
    std::erase_if(entries_, [&](const auto &entry) {
        return entry.isWithdrawn ? now - entry.withdrawnAt >= options_.forgetWithdrawnAfter
                                 : now - entry.heardAt >= options_.forgetGoneAfter;
    });
}

auto ViewModel::of(const ServiceId &service) const -> std::set<EndpointId>
{
    auto result = std::set<EndpointId> {};
    for (const auto &entry : entries_) {
        const auto isReady = entry.state == EndpointState::Ready;
        if (entry.service == service && isReady && !entry.isReplaced && !entry.isWithdrawn)
            result.insert(entry.id);
    }
    return result;
}

} // namespace figrack::gateway::testing
