#include "proto/origintable.h"

#include <utility>

namespace figrack::proto {

OriginTable::OriginTable(OriginTableOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto OriginTable::keep(BegunStream stream, OriginKeeper keeper) -> std::size_t
{
    while (!entries_.empty() && isOver(entries_.front()))
        removeOldest();
    if (const auto known = byKey_.find(stream.key); known != byKey_.end()) {
        renew(known->second, stream.origin, keeper);
        return 0;
    }
    auto dropped = std::size_t { 0 };
    while (!entries_.empty() && entries_.size() >= options_.maxEntries) {
        removeOldest();
        ++dropped;
    }
    entries_.push_back({ std::move(stream), clock_.now(), keeper == OriginKeeper::Own });
    const auto added = std::prev(entries_.end());
    byKey_.emplace(added->stream.key, added);
    return dropped;
}

auto OriginTable::renew(Entries::iterator entry, const StreamOrigin &origin, OriginKeeper keeper)
        -> void
{
    if (entry->stream.origin.account != origin.account)
        return;
    entry->keptAt = clock_.now();
    entry->isOwn = entry->isOwn || keeper == OriginKeeper::Own;
    entry->isAmbiguous
            = entry->isAmbiguous || entry->stream.origin.softwareVersion != origin.softwareVersion;
    entries_.splice(entries_.end(), entries_, entry);
}

auto OriginTable::removeOldest() -> void
{
    byKey_.erase(entries_.front().stream.key);
    entries_.pop_front();
}

auto OriginTable::isOver(const Entry &entry) const -> bool
{
    return clock_.now() - entry.keptAt > options_.window;
}

auto OriginTable::find(const StreamKey &key) const -> std::optional<StreamOrigin>
{
    const auto known = byKey_.find(key);
    if (known == byKey_.end() || known->second->isAmbiguous || isOver(*known->second))
        return std::nullopt;
    return known->second->stream.origin;
}

auto OriginTable::all() const -> std::vector<BegunStream>
{
    auto result = std::vector<BegunStream> {};
    for (const auto &entry : entries_) {
        if (!entry.isAmbiguous && !isOver(entry))
            result.push_back(entry.stream);
    }
    return result;
}

auto OriginTable::ownOf(const ServiceId &service) const -> std::vector<BegunStream>
{
    auto result = std::vector<BegunStream> {};
    for (const auto &entry : entries_) {
        if (entry.isOwn && !entry.isAmbiguous && !isOver(entry)
            && entry.stream.key.service == service)
            result.push_back(entry.stream);
    }
    return result;
}

} // namespace figrack::proto
