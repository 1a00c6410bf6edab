#include "fleet/endpointindex.h"

namespace figrack::fleet {

template<typename Map, typename Key>
auto EndpointIndex::lookUp(const Map &map, const Key &key) -> const Ids &
{
    static const auto none = Ids {};
    const auto found = map.find(key);
    return found == map.end() ? none : found->second;
}

template<typename Map, typename Key>
auto EndpointIndex::erase(Map &map, const Key &key, const EndpointId &id) -> void
{
    const auto found = map.find(key);
    if (found == map.end())
        return;
    found->second.erase(id);
    if (found->second.empty())
        map.erase(found);
}

auto EndpointIndex::update(const catalogue::EndpointRow &row) -> void
{
    remove(row.id);
    if (row.state != catalogue::EndpointState::Ready)
        return;
    auto &entry = entries_[row.id];
    entry.service = row.service;
    byService_[row.service].insert(row.id);
    entry.held = row.models;
    for (const auto &held : row.models) {
        const auto key = ModelKey { row.service, held.model };
        holders_[key].insert(row.id);
        for (const auto &adapter : held.adapters)
            adapterHolders_[{ key, adapter }].insert(row.id);
    }
    for (const auto *copies : { &row.inMemory, &row.onDisk }) {
        for (const auto &model : *copies) {
            entry.copied.push_back(model);
            copies_[{ row.service, model }].insert(row.id);
        }
    }
}

auto EndpointIndex::remove(const EndpointId &id) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    const auto &entry = found->second;
    erase(byService_, entry.service, id);
    for (const auto &held : entry.held) {
        const auto key = ModelKey { entry.service, held.model };
        erase(holders_, key, id);
        for (const auto &adapter : held.adapters)
            erase(adapterHolders_, AdapterKey { key, adapter }, id);
    }
    for (const auto &model : entry.copied)
        erase(copies_, ModelKey { entry.service, model }, id);
    entries_.erase(found);
}

auto EndpointIndex::ofService(const ServiceId &service) const -> const Ids &
{
    return lookUp(byService_, service);
}

auto EndpointIndex::holders(const ServiceId &service, const ModelId &model) const -> const Ids &
{
    return lookUp(holders_, ModelKey { service, model });
}

auto EndpointIndex::adapterHolders(const ServiceId &service, const ModelId &model,
                                   const std::string &adapter) const -> const Ids &
{
    return lookUp(adapterHolders_, AdapterKey { { service, model }, adapter });
}

auto EndpointIndex::copies(const ServiceId &service, const ModelId &model) const -> const Ids &
{
    return lookUp(copies_, ModelKey { service, model });
}

} // namespace figrack::fleet
