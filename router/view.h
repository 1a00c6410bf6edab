// This router's copy of the replicated tables, and what requests ask of it.
//
//   view.apply(batch);                       // from the feed, in order
//   auto target = view.target(Target::model(id));   // who can take work now
//   view.setAnnouncedDraining(endpoint, incarnation, true);
//
// Guarantees: thread-safe; the applied index and revision never fall; an
// endpoint that announced to this router that it drains is no candidate from
// that call on, before the tables say so. Lock order: after the scheduler's.

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

/// What a request is for: a model or a plain service.
struct Target
{
    ModelId model;
    ServiceId service; ///< Not empty: a service, and model is empty.
    auto isService() const -> bool { return !service.empty(); }
    /// @return the name under which the queue keeps it; services cannot clash with models
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
    state::Millis orderedAt = 0; ///< When its load was ordered, leader's wall time; 0: a service.
    state::Millis readyAt = 0;   ///< When it was ready, leader's wall time.
};

/// Who can serve a target, as the tables say.
struct TargetView
{
    std::vector<policy::ReplicaInfo> replicas; ///< Ready, on usable endpoints.
    std::vector<Candidate> candidates;         ///< Parallel to replicas.
    std::uint32_t loading = 0;
    state::Millis nextReadyWall = 0; ///< Leader's wall time; 0 when none is loading.
    std::uint32_t slots = 1;         ///< A replica.
    bool canEverLoad = true;
};

/// A router as callers are told of it.
struct RouterAddress
{
    NodeId id;
    DomainId domain;
    std::string address;
};

class View
{
public:
    /// @param serviceSlots calls at once to one endpoint of a plain service
    View(NodeId self, std::uint32_t serviceSlots);

    /// Applies a batch of the feed. Entries at or below the applied index are skipped.
    /// @return Malformed when an entry cannot be decoded; the tables then stand before it
    auto apply(const proto::FeedBatch &batch) -> absl::Status;

    auto appliedIndex() const -> LogIndex;
    auto revision() const -> Revision;
    /// @return a number that rises with every change; for caches of target()
    auto version() const -> std::uint64_t { return version_.load(std::memory_order_acquire); }

    /// @param id a class, or empty for the default one
    auto classSpec(const ClassId &id) const -> std::optional<state::ClassSpec>;
    auto model(const ModelId &id) const -> std::optional<state::ModelSpec>;
    auto service(const ServiceId &id) const -> std::optional<state::ServiceSpec>;
    auto models() const -> std::vector<state::ModelSpec>;
    auto target(const Target &target) const -> TargetView;
    auto endpoint(const EndpointId &id) const -> std::optional<state::EndpointRow>;
    /// @return the endpoint that holds an address, if any
    auto endpointAt(const std::string &address) const -> std::optional<state::EndpointRow>;
    /// @return true while the endpoint may get new work
    auto isUsable(const EndpointId &id) const -> bool;
    /// @return routers that are not draining, those of a domain first
    auto routers(const DomainId &nearest) const -> std::vector<RouterAddress>;
    /// @return the addresses of the other routers that are not draining
    auto otherRouters() const -> std::vector<std::string>;
    /// @return true when the tables say that this router drains
    auto selfDraining() const -> bool;
    /// @return true when the tables hold this life of the router
    auto isRegistered(Incarnation incarnation) const -> bool;
    /// This router is stopping: it is off its own list before the tables say so.
    auto setSelfLeaving() -> void;

    /// What an endpoint said to this router itself.
    auto setAnnouncedDraining(const EndpointId &id, Incarnation incarnation, bool draining) -> void;
    /// @return load time of loads that ended, ms; 0 when none was seen
    auto meanLoadMs() const -> std::int64_t;

private:
    auto usable(const state::EndpointRow &row) const -> bool;
    auto applyOne(const proto::FeedEntry &entry) -> absl::Status;
    auto learnLoad(const state::Command &command) -> void;
    auto modelTarget(const ModelId &model, TargetView &out) const -> void;
    auto serviceTarget(const ServiceId &service, TargetView &out) const -> void;
    auto changed() -> void;

    NodeId self_;
    std::uint32_t serviceSlots_;
    mutable std::shared_mutex mutex_; ///< Lock order: 2, after Scheduler::mutex_.
    state::Tables tables_;
    std::map<EndpointId, Incarnation> announcedDraining_;
    std::map<std::string, EndpointId> byAddress_;
    double meanLoadMs_ = 0;
    bool selfLeaving_ = false;
    std::atomic<std::uint64_t> version_ = 1;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_VIEW_H
