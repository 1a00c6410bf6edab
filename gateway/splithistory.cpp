#include "gateway/splithistory.h"

namespace figrack::gateway {

auto SplitHistory::onCatalogue(const catalogue::Catalogue &catalogue, Instant now) -> void
{
    auto entries = std::map<Key, Entry> {};
    for (const auto &route : catalogue.routes) {
        auto key = Key { route.host, route.pathPrefix };
        auto entry = Entry { {}, now };
        for (const auto &part : route.split)
            entry.split.emplace_back(part.service, part.weight);
        const auto before = entries_.find(key);
        if (before != entries_.end() && before->second.split == entry.split)
            entry.since = before->second.since;
        entries.insert_or_assign(std::move(key), std::move(entry));
    }
    entries_ = std::move(entries);
}

auto SplitHistory::isSettled(const catalogue::Route &route, Instant now, Duration duration) const
        -> bool
{
    const auto found = entries_.find({ route.host, route.pathPrefix });
    return found != entries_.end() && now - found->second.since >= duration;
}

} // namespace figrack::gateway
