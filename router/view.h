// Holds this router's copy of the replicated tables and answers queries on them.
//
//   view.apply(batch);                              // from the feed, in order
//   auto target = view.target(Target { id, {} });   // the endpoints that can take work now
//   view.setAnnouncedDraining(endpoint, incarnation, true);
//
// Guarantees: the applied index and the revision never decrease. An endpoint that
// announced to this router that it is draining is not a candidate from that call
// on, even before the tables show it as draining. Thread-safe. Lock order: taken
// after the scheduler's mutex.

#ifndef FIGRACK_ROUTER_VIEW_H
#define FIGRACK_ROUTER_VIEW_H

#include <atomic>
#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "core/ids.h"
#include "core/settings.h"
#include "policy/tables.h"
#include "proto/messages.h"
#include "state/tables.h"

namespace figrack::router {

/// The model or plain service that a request addresses.
struct Target
{
    ModelId model;
    ServiceId service; ///< If not empty, the target is a service and model is empty.
    auto isService() const -> bool { return !service.empty(); }
    /// @return the key of the target in the request queue; a service's key never equals a model's
    auto queueKey() const -> ModelId
    {
        return isService() ? ModelId { "\x01service/" + service.value() } : model;
    }
};

/// One endpoint that may take a request.
struct Candidate
{
    EndpointId id;
    Incarnation incarnation;
    Address address;
    state::Millis orderedAt = 0; ///< When its load was ordered, in the leader's wall time, ms;
                                 ///< 0 for a service.
    state::Millis readyAt = 0;   ///< When it became ready, in the leader's wall time, ms.
};

/// The endpoints that can serve a target, according to the tables.
struct TargetView
{
    std::vector<policy::ReplicaInfo> replicas; ///< Ready replicas on usable endpoints.
    std::vector<Candidate> candidates;         ///< Parallel to replicas.
    std::uint32_t loading = 0;
    state::Millis nextReadyWall = 0; ///< When the next loading replica is expected to be ready, in
                                     ///< the leader's wall time, ms; 0 if none is loading.
    std::uint32_t slots = 1;         ///< Per replica.
    bool canEverLoad = true;         ///< False if no endpoint could serve the target.
};

/// A router as listed to callers.
struct RouterAddress
{
    NodeId id;
    DomainId domain;
    std::string address;
};

class View
{
public:
    /// @param serviceSlots the number of concurrent calls to one endpoint of a plain service
    View(NodeId self, std::uint32_t serviceSlots);

    /// Applies a batch of the feed. Entries at or below the applied index are skipped.
    /// @return Malformed if an entry cannot be decoded; the tables then hold all entries before it
    auto apply(const proto::FeedBatch &batch) -> absl::Status;

    auto appliedIndex() const -> LogIndex;
    auto revision() const -> Revision;
    /// @return a number that increases with every change; used to invalidate cached target()
    /// results
    auto version() const -> std::uint64_t { return version_.load(std::memory_order_acquire); }

    /// @param id a class, or empty for the default class
    auto classSpec(const ClassId &id) const -> std::optional<state::ClassSpec>;
    auto model(const ModelId &id) const -> std::optional<state::ModelSpec>;
    auto service(const ServiceId &id) const -> std::optional<state::ServiceSpec>;
    auto models() const -> std::vector<state::ModelSpec>;
    auto target(const Target &target) const -> TargetView;
    auto endpoint(const EndpointId &id) const -> std::optional<state::EndpointRow>;
    /// @return the endpoint registered at an address, if any
    auto endpointAt(const std::string &address) const -> std::optional<state::EndpointRow>;
    /// @return true while the endpoint may receive new work
    auto isUsable(const EndpointId &id) const -> bool;
    /// @return the routers that are not draining, those of domain `nearest` first
    auto routers(const DomainId &nearest) const -> std::vector<RouterAddress>;
    /// @return the addresses of the other routers that are not draining
    auto otherRouters() const -> std::vector<std::string>;
    /// @return true if the tables mark this router as draining
    auto selfDraining() const -> bool;
    /// @return true if the tables hold this router with this incarnation
    auto isRegistered(Incarnation incarnation) const -> bool;
    /// Removes this router from the list returned by routers(), before the tables show that it
    /// leaves.
    auto setSelfLeaving() -> void;

    /// Records whether an endpoint announced to this router directly that it is draining.
    auto setAnnouncedDraining(const EndpointId &id, Incarnation incarnation, bool draining) -> void;
    /// @return the weighted mean time of completed model loads in ms; 0 if none was observed
    auto meanLoadMs() const -> std::int64_t;

private:
    auto usable(const state::EndpointRow &row) const -> bool;
    auto applyOne(const proto::FeedEntry &entry) -> absl::Status;
    auto recordLoadTime(const state::Command &command) -> void;
    auto modelTarget(const ModelId &model, TargetView &out) const -> void;
    auto serviceTarget(const ServiceId &service, TargetView &out) const -> void;
    auto changed() -> void;

    NodeId self_;
    std::uint32_t serviceSlots_;
    mutable std::shared_mutex mutex_; ///< Lock order: 2, taken after Scheduler::mutex_.
    state::Tables tables_;
    std::map<EndpointId, Incarnation> announcedDraining_;
    std::map<std::string, EndpointId> byAddress_;
    double meanLoadMs_ = 0;
    bool selfLeaving_ = false;
    std::atomic<std::uint64_t> version_ = 1;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_VIEW_H
