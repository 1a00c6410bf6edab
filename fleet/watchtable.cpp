// A group holds either endpoints that hold what its key names, up to endpointsPerKey,
// or a few substitutes. As long as hasMore is false, it contains all endpoints that
// fit, so that the change of one endpoint is handled by looking at that endpoint
// alone. Only a group that had to leave some out, or has lost its last member,
// searches the index again.

#include "fleet/watchtable.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "core/hash.h"

namespace figrack::fleet {

using catalogue::EndpointRow;
using catalogue::EndpointState;
using proto::WatchKey;

WatchTable::WatchTable(WatchOptions options, const EndpointTable &table, const EndpointIndex &index)
    : options_(options)
    , table_(table)
    , index_(index)
{ }

auto WatchTable::add(Subscriber subscriber, const DomainId &domain,
                     const std::vector<WatchKey> &keys) -> std::set<EndpointId>
{
    auto told = std::set<EndpointId> {};
    for (const auto &key : keys) {
        const auto groupKey = GroupKey { key, domain };
        if (!keysOf_[subscriber].insert(groupKey).second)
            continue;
        auto &group = groupFor(groupKey);
        group.watchers.insert(subscriber);
        for (const auto &id : group.members) {
            if (tell(subscriber, id))
                told.insert(id);
        }
    }
    return told;
}

auto WatchTable::remove(Subscriber subscriber, const std::vector<WatchKey> &keys)
        -> std::set<EndpointId>
{
    auto withdrawn = std::set<EndpointId> {};
    const auto found = keysOf_.find(subscriber);
    if (found == keysOf_.end())
        return withdrawn;
    for (auto item = found->second.begin(); item != found->second.end();) {
        const auto groupKey = *item;
        if (std::find(keys.begin(), keys.end(), groupKey.first) == keys.end()) {
            ++item;
            continue;
        }
        item = found->second.erase(item);
        auto &group = groups_.at(groupKey);
        group.watchers.erase(subscriber);
        for (const auto &id : group.members) {
            if (untell(subscriber, id))
                withdrawn.insert(id);
        }
        eraseIfUnwatched(groupKey);
    }
    if (found->second.empty())
        keysOf_.erase(found);
    return withdrawn;
}

auto WatchTable::drop(Subscriber subscriber) -> void
{
    const auto found = keysOf_.find(subscriber);
    if (found == keysOf_.end())
        return;
    auto keys = std::vector<WatchKey> {};
    for (const auto &[key, domain] : found->second)
        keys.push_back(key);
    static_cast<void>(remove(subscriber, keys));
}

auto WatchTable::isWatching(Subscriber subscriber) const -> bool
{
    return keysOf_.contains(subscriber);
}

auto WatchTable::onChanged(const EndpointId &id, EndpointTable::Change change) -> NewsOf
{
    auto news = NewsOf {};
    if (const auto found = told_.find(id);
        found != told_.end() && change != EndpointTable::Change::Silence) {
        for (const auto &[subscriber, count] : found->second)
            news[subscriber].rows.insert(id);
    }
    for (auto *group : affectedBy(id))
        adapt(*group, id, news);
    return news;
}

auto WatchTable::setEvacuations(const catalogue::Evacuations &evacuations) -> NewsOf
{
    auto news = NewsOf {};
    evacuations_ = evacuations;
    for (auto &[key, group] : groups_)
        choose(group, news);
    return news;
}

auto WatchTable::isFit(const EndpointRow &row) const -> bool
{
    return row.state == EndpointState::Ready && !evacuations_.contains(row.domain)
            && !table_.isSilent(row.id);
}

auto WatchTable::fitOf(const EndpointRow &row, const WatchKey &key) -> Fit
{
    if (row.service != key.service)
        return Fit::None;
    if (key.model.empty())
        return Fit::Holds;
    const auto has = [&](const std::vector<ModelId> &copies) {
        return std::find(copies.begin(), copies.end(), key.model) != copies.end();
    };
    if (const auto *held = row.find(key.model)) {
        const auto isWhole = key.adapter.empty() || held->hasAdapter(key.adapter);
        return isWhole ? Fit::Holds : Fit::HoldsModel;
    }
    return has(row.inMemory) || has(row.onDisk) ? Fit::HasCopy : Fit::Serves;
}

auto WatchTable::fitOf(const EndpointId &id, const WatchKey &key) const -> Fit
{
    const auto *row = table_.find(id);
    return row != nullptr && isFit(*row) ? fitOf(*row, key) : Fit::None;
}

/// @return the endpoints among which those of the fit are
auto WatchTable::pool(const WatchKey &key, Fit fit) const -> const EndpointIndex::Ids &
{
    if (key.model.empty() || fit == Fit::Serves)
        return index_.ofService(key.service);
    if (fit == Fit::HasCopy)
        return index_.copies(key.service, key.model);
    const auto isAdapter = fit == Fit::Holds && !key.adapter.empty();
    return isAdapter ? index_.adapterHolders(key.service, key.model, key.adapter)
                     : index_.holders(key.service, key.model);
}

auto WatchTable::groupFor(const GroupKey &key) -> Group &
{
    const auto [item, isNew] = groups_.try_emplace(key);
    auto &group = item->second;
    if (!isNew)
        return group;
    group.key = key;
    byModel_[{ key.first.service, key.first.model }].insert(&group);
    auto unused = NewsOf {}; // Nobody watches the group yet.
    choose(group, unused);
    return group;
}

auto WatchTable::eraseIfUnwatched(const GroupKey &key) -> void
{
    const auto found = groups_.find(key);
    auto &group = found->second;
    if (!group.watchers.empty())
        return;
    for (const auto &id : group.members) {
        auto &groups = byMember_.at(id);
        groups.erase(&group);
        if (groups.empty())
            byMember_.erase(id);
    }
    const auto models = byModel_.find({ key.first.service, key.first.model });
    models->second.erase(&group);
    if (models->second.empty())
        byModel_.erase(models);
    groups_.erase(found);
}

auto WatchTable::affectedBy(const EndpointId &id) const -> std::set<Group *>
{
    auto result = std::set<Group *> {};
    if (const auto found = byMember_.find(id); found != byMember_.end())
        result = found->second;
    const auto *row = table_.find(id);
    if (row == nullptr || row->state != EndpointState::Ready)
        return result;
    const auto add = [&](const ModelId &model) {
        if (const auto found = byModel_.find({ row->service, model }); found != byModel_.end())
            result.insert(found->second.begin(), found->second.end());
    };
    add({});
    for (const auto &held : row->models)
        add(held.model);
    for (const auto *copies : { &row->inMemory, &row->onDisk })
        std::for_each(copies->begin(), copies->end(), add);
    return result;
}

auto WatchTable::adapt(Group &group, const EndpointId &id, NewsOf &news) -> void
{
    const auto fit = fitOf(id, group.key.first);
    const auto isMember = group.members.contains(id);
    if (fit > group.fit) {
        if (!isMember)
            return;
        leave(group, id, news);
        if (group.hasMore || group.members.empty())
            choose(group, news);
    } else if (fit < group.fit) {
        choose(group, news);
    } else if (!isMember && fit != Fit::None) {
        const auto limit = fit == Fit::Holds ? options_.endpointsPerKey : options_.substitutes;
        if (group.members.size() < limit)
            join(group, id, news);
        else
            group.hasMore = true;
    }
}

auto WatchTable::choose(Group &group, NewsOf &news) -> void
{
    auto chosen = std::set<EndpointId> {};
    group.hasMore = false;
    group.fit = Fit::None;
    for (const auto fit : { Fit::Holds, Fit::HoldsModel, Fit::HasCopy, Fit::Serves }) {
        const auto limit = fit == Fit::Holds ? options_.endpointsPerKey : options_.substitutes;
        chosen = chooseFrom(group, fit, limit);
        if (chosen.empty())
            continue;
        group.fit = fit;
        group.hasMore = chosen.size() >= limit;
        break;
    }
    for (const auto &id : std::set<EndpointId> { group.members }) {
        if (!chosen.contains(id))
            leave(group, id, news);
    }
    for (const auto &id : chosen) {
        if (!group.members.contains(id))
            join(group, id, news);
    }
}

/// Members that fit are kept. Of the others those with the highest rendezvous weights are taken, so
/// that all controls choose alike.
auto WatchTable::chooseFrom(const Group &group, Fit fit, std::size_t limit) const
        -> std::set<EndpointId>
{
    const auto &key = group.key.first;
    const auto &domain = group.key.second;
    auto chosen = std::set<EndpointId> {};
    auto near = std::vector<std::pair<std::uint64_t, EndpointId>> {};
    auto far = std::vector<std::pair<std::uint64_t, EndpointId>> {};
    auto nearChosen = std::size_t { 0 };
    const auto weightKey = std::hash<std::string> {}(key.model.value());
    const auto consider = [&](const EndpointId &id) {
        const auto *row = table_.find(id);
        if (row == nullptr || !isFit(*row) || fitOf(*row, key) != fit)
            return;
        const auto isNear = row->domain == domain;
        if (group.members.contains(id)) {
            chosen.insert(id);
            nearChosen += isNear ? 1 : 0;
        } else {
            (isNear ? near : far).emplace_back(rendezvousWeight(weightKey, id.value()), id);
        }
    };
    const auto &candidates = pool(key, fit);
    if (fit == Fit::Serves) {
        // Any of the endpoints will do, so the search ends with the first ones.
        for (auto item = candidates.begin(); item != candidates.end(); ++item) {
            consider(*item);
            if (chosen.size() + near.size() + far.size() >= limit)
                break;
        }
    } else {
        std::for_each(candidates.begin(), candidates.end(), consider);
    }
    const auto take = [&](auto &from, std::size_t count) {
        const auto taken = std::min({ count, from.size(), limit - std::min(limit, chosen.size()) });
        std::partial_sort(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(taken),
                          from.end(), std::greater {});
        for (std::size_t i = 0; i < taken; ++i)
            chosen.insert(from[i].second);
        from.erase(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(taken));
    };
    take(near, options_.nearPerKey - std::min(options_.nearPerKey, nearChosen));
    take(far, limit);
    take(near, limit);
    return chosen;
}

auto WatchTable::join(Group &group, const EndpointId &id, NewsOf &news) -> void
{
    group.members.insert(id);
    byMember_[id].insert(&group);
    for (const auto subscriber : group.watchers) {
        if (!tell(subscriber, id))
            continue;
        news[subscriber].rows.insert(id);
        news[subscriber].withdrawn.erase(id);
    }
}

auto WatchTable::leave(Group &group, const EndpointId &id, NewsOf &news) -> void
{
    group.members.erase(id);
    auto &groups = byMember_.at(id);
    groups.erase(&group);
    if (groups.empty())
        byMember_.erase(id);
    for (const auto subscriber : group.watchers) {
        if (untell(subscriber, id))
            news[subscriber].withdrawn.insert(id);
    }
}

/// @return true when the gateway was not told of the endpoint before
auto WatchTable::tell(Subscriber subscriber, const EndpointId &id) -> bool
{
    return ++told_[id][subscriber] == 1;
}

/// @return true when the gateway is not told of the endpoint any more
auto WatchTable::untell(Subscriber subscriber, const EndpointId &id) -> bool
{
    const auto found = told_.find(id);
    if (--found->second.at(subscriber) > 0)
        return false;
    found->second.erase(subscriber);
    if (found->second.empty())
        told_.erase(found);
    return true;
}

} // namespace figrack::fleet
