// Which endpoints of a service are ready, hold a model or an adapter, or have a copy of a model's
// weights.
//
//   index.update(row);    index.remove(id);
//   for (const auto &id : index.holders(service, model)) ...
//
// A lookup costs nothing that grows with the number of endpoints. Not thread-safe.

#ifndef FIGRACK_FLEET_ENDPOINTINDEX_H
#define FIGRACK_FLEET_ENDPOINTINDEX_H

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/endpointrow.h"

namespace figrack::fleet {

class EndpointIndex
{
public:
    using Ids = std::set<EndpointId>;
    /// Replaces what is indexed of an endpoint. One that is not ready is removed.
    auto update(const catalogue::EndpointRow &row) -> void;
    auto remove(const EndpointId &id) -> void;
    /// @return the ready endpoints of a service
    auto ofService(const ServiceId &service) const -> const Ids &;
    /// @return the ready endpoints that hold a model
    auto holders(const ServiceId &service, const ModelId &model) const -> const Ids &;
    /// @return the ready endpoints that hold an adapter of a model
    auto adapterHolders(const ServiceId &service, const ModelId &model,
                        const std::string &adapter) const -> const Ids &;
    /// @return the ready endpoints with a copy of a model's weights in memory or on disk
    auto copies(const ServiceId &service, const ModelId &model) const -> const Ids &;

private:
    using ModelKey = std::pair<ServiceId, ModelId>;
    using AdapterKey = std::pair<ModelKey, std::string>;
    /// What is indexed of one endpoint.
    struct Entry
    {
        ServiceId service;
        std::vector<catalogue::HeldModel> held;
        std::vector<ModelId> copied;
    };
    template<typename Map, typename Key>
    static auto lookUp(const Map &map, const Key &key) -> const Ids &;
    template<typename Map, typename Key>
    static auto erase(Map &map, const Key &key, const EndpointId &id) -> void;

    std::map<EndpointId, Entry> entries_;
    std::map<ServiceId, Ids> byService_;
    std::map<ModelKey, Ids> holders_;
    std::map<AdapterKey, Ids> adapterHolders_;
    std::map<ModelKey, Ids> copies_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ENDPOINTINDEX_H
