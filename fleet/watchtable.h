// Which endpoints each gateway is told of, by the keys that it watches.
//
//   auto ids = watches.add(subscriber, domain, keys);       // rows to send now
//   for (const auto &[subscriber, news] : watches.onChanged(id)) ...
//
// For each key, the gateways of one failure domain are told of the same few
// endpoints: so many that one of them can take a request, but no more, whatever the
// number of endpoints that hold the model. Most of them are in the gateways' own
// domain, the others elsewhere, in case the domain is lost. Gateways share the choice
// so that requests with a common prompt find it cached.
//
// Where no endpoint holds what a key names, a few others are told instead, so that
// gateways can tell how long a load would take.
//
// A selected endpoint stays selected while it is fit: it is ready, not silent,
// not in an evacuated domain and still holds what the key names. A gateway is told of
// each change of an endpoint until it is told that the endpoint is withdrawn.
//
// Depends only on the table and the index. Not thread-safe.

#ifndef FIGRACK_FLEET_WATCHTABLE_H
#define FIGRACK_FLEET_WATCHTABLE_H

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "catalogue/evacuations.h"
#include "fleet/endpointindex.h"
#include "fleet/endpointtable.h"
#include "proto/channel.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct WatchOptions
{
    /// Endpoints that are told for one key; as many as a gateway names to a balancer.
    std::size_t endpointsPerKey = 16;
    /// How many of them are in the gateway's own failure domain.
    std::size_t nearPerKey = 12;
    /// Endpoints that are told where none holds what the key names.
    std::size_t substitutes = 2;
};

class WatchTable
{
public:
    using Subscriber = const proto::PeerConnection *;
    /// What a gateway is to be sent.
    struct News
    {
        std::set<EndpointId> rows;
        std::set<EndpointId> withdrawn;
    };
    using NewsOf = std::map<Subscriber, News>;

    /// @param table must outlive this object
    /// @param index must outlive this object
    WatchTable(WatchOptions options, const EndpointTable &table, const EndpointIndex &index);

    /// @param domain the gateway's failure domain
    /// @return the endpoints that the gateway has not been told of yet
    auto add(Subscriber subscriber, const DomainId &domain,
             const std::vector<proto::WatchKey> &keys) -> std::set<EndpointId>;
    /// @return the endpoints that the gateway is told of no more
    auto remove(Subscriber subscriber, const std::vector<proto::WatchKey> &keys)
            -> std::set<EndpointId>;
    /// Removes all keys of a gateway.
    auto drop(Subscriber subscriber) -> void;
    /// Call when the table and the index have changed.
    auto onChanged(const EndpointId &id, EndpointTable::Change change) -> NewsOf;
    auto setEvacuations(const catalogue::Evacuations &evacuations) -> NewsOf;
    /// @return true when the gateway watches any key
    auto isWatching(Subscriber subscriber) const -> bool;

private:
    /// How well an endpoint fits a key; a lower one is better.
    enum class Fit : std::uint8_t { Holds, HoldsModel, HasCopy, Serves, None };
    using GroupKey = std::pair<proto::WatchKey, DomainId>;
    using ModelKey = std::pair<ServiceId, ModelId>;
    /// The gateways of one failure domain that watch one key.
    struct Group
    {
        GroupKey key;
        std::set<EndpointId> members;
        std::set<Subscriber> watchers;
        Fit fit = Fit::None;  ///< Of the members.
        bool hasMore = false; ///< Other endpoints would fit as well.
    };

    auto isFit(const catalogue::EndpointRow &row) const -> bool;
    static auto fitOf(const catalogue::EndpointRow &row, const proto::WatchKey &key) -> Fit;
    auto fitOf(const EndpointId &id, const proto::WatchKey &key) const -> Fit;
    auto pool(const proto::WatchKey &key, Fit fit) const -> const EndpointIndex::Ids &;
    auto groupFor(const GroupKey &key) -> Group &;
    auto eraseIfUnwatched(const GroupKey &key) -> void;
    auto affectedBy(const EndpointId &id) const -> std::set<Group *>;
    /// Adapts a group to the change of one endpoint.
    auto adapt(Group &group, const EndpointId &id, NewsOf &news) -> void;
    /// Chooses the members of a group anew, and keeps those that still fit.
    auto choose(Group &group, NewsOf &news) -> void;
    auto chooseFrom(const Group &group, Fit fit, std::size_t limit) const -> std::set<EndpointId>;
    auto join(Group &group, const EndpointId &id, NewsOf &news) -> void;
    auto leave(Group &group, const EndpointId &id, NewsOf &news) -> void;
    auto tell(Subscriber subscriber, const EndpointId &id) -> bool;
    auto untell(Subscriber subscriber, const EndpointId &id) -> bool;

    WatchOptions options_;
    const EndpointTable &table_;
    const EndpointIndex &index_;
    catalogue::Evacuations evacuations_;
    std::map<GroupKey, Group> groups_;
    std::map<ModelKey, std::set<Group *>> byModel_;
    std::map<EndpointId, std::set<Group *>> byMember_;
    std::map<Subscriber, std::set<GroupKey>> keysOf_;
    /// The number of its groups for which a gateway is told of an endpoint.
    std::map<EndpointId, std::map<Subscriber, std::uint32_t>> told_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_WATCHTABLE_H
