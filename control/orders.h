// Orders sends committed intents to endpoints as orders and determines their outcomes from
// observations of the endpoints.
//
//   orders.onLeading(term);
//   orders.onApplied(applied);     // Sends an intent of this term; an outcome closes its order.
//   orders.tick();                 // Requests the state of endpoints with open orders.
//
// Orders are only active on the leader, within its term. An order is sent after its intent
// has been committed and applied, while the lease of that term is valid. Orders left open by
// earlier terms are adopted: if the endpoint checks fences, a load is ordered again under the
// current fence. Otherwise the order is in doubt until observations settle it
// (control/ordermachine.h, docs/design/orders.md).
//
// Orders also reconciles settled replicas with the endpoints: if an endpoint no longer has a
// replica that the tables list, the replica is settled as unloaded. If an endpoint holds a
// model that the tables do not list, an intent is proposed that adds it to the tables, as far
// as the endpoint's memory allows.
//
// Guarantees: each order is passed to the port at most once and never outside a lease. At
// most one state request per endpoint is in flight.

#ifndef FIGRACK_CONTROL_ORDERS_H
#define FIGRACK_CONTROL_ORDERS_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "control/node.h"
#include "control/ordermachine.h"
#include "control/orderport.h"
#include "proto/messages.h"

namespace figrack::control {

struct OrdersOptions
{
    OrderMachineOptions machine;
    /// Interval of state requests to an endpoint that carries out an order.
    Duration pollEvery = std::chrono::milliseconds { 100 };
    /// Interval of state requests to an endpoint whose open orders are all in doubt.
    Duration pollInDoubtEvery = std::chrono::milliseconds { 500 };
    /// Minimum time between audits of one endpoint.
    Duration auditEvery = std::chrono::seconds { 5 };
    /// Time to wait after gaining the lease before orders of earlier terms are adopted. Bytes
    /// that an earlier leader wrote may be acknowledged up to this long after it had to abort.
    Duration holdOff = std::chrono::seconds { 4 };
};

/// A load that was refused or failed.
struct LoadFailure
{
    EndpointId endpoint;
    ModelId model;
    state::OrderResult result = state::OrderResult::Failed;
};

class Orders
{
public:
    /// @param clock,node,port must outlive this object
    Orders(OrdersOptions options, const Clock &clock, Node &node, OrderPort &port);
    ~Orders();

    auto onLeading(Term term) -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    /// Takes a report forwarded by a router. It only serves as a hint to request the state
    /// from the endpoint directly.
    auto onReport(const proto::EndpointReport &report) -> void;
    auto tick() -> void;

    /// Sets the listener that is called when a load was refused or failed.
    auto setOnFailure(std::function<void(const LoadFailure &)> listener) -> void;
    /// @return number of orders that are not settled
    auto open() const -> std::size_t { return open_.size(); }
    /// @return number of orders passed to the port since the process started
    auto sent() const -> std::uint64_t { return sent_; }
    /// @return MiB used on an endpoint by models that the tables do not list, according to the
    ///         last state requested from it
    auto unlistedMb(const EndpointId &endpoint) const -> std::uint64_t;

private:
    struct OpenOrder
    {
        state::ReplicaKey key;
        OrderMachine machine;
        state::OrderAction action = state::OrderAction::Load;
        bool outcomeProposed = false;
    };
    /// State requests to one endpoint.
    struct StatusPoll
    {
        bool inFlight = false;
        Instant nextAt;
        Instant auditAt; ///< Earliest time of the next audit.
        bool audit = false;
    };

    /// Replicas that the tables listed on an endpoint when its state was requested.
    struct Listed
    {
        std::set<ModelId> models;
        std::map<ModelId, OrderId> ready; ///< Loaded replicas, each with its last order.
    };

    auto adoptEarlier() -> void;
    auto adopt(const state::ReplicaRow &row) -> void;
    auto reissueLoad(const state::ReplicaRow &row) -> void;
    auto openInDoubt(const state::ReplicaRow &row) -> void;
    auto onIntent(const state::OrderIntent &intent, OrderId order) -> void;
    auto makeOrder(const state::OrderIntent &intent, OrderId order) const -> endpoint::Order;
    auto onAnswer(OrderId order, const endpoint::OrderAnswer &answer) -> void;
    auto onOutcome(const state::OrderOutcome &outcome) -> void;
    auto openOrder(OrderId order, OpenOrder open) -> OpenOrder &;
    auto closeOrder(OrderId order) -> void;
    auto closeRemoved(const EndpointId &endpoint) -> void;

    auto pollStatus(const EndpointId &endpoint, StatusPoll &poll) -> void;
    auto onStatus(const EndpointId &endpoint, Instant askedAt, const Listed &listed,
                  const absl::StatusOr<proto::EndpointReport> &report) -> void;
    auto observe(const proto::EndpointReport &report, Instant askedAt) -> void;
    auto audit(const proto::EndpointReport &report, const Listed &listed) -> void;
    auto listedOn(const EndpointId &endpoint) const -> Listed;
    auto pollInterval(const EndpointId &endpoint) const -> Duration;
    auto settleIfDone(OrderId order, OpenOrder &open) -> void;
    auto proposeOutcome(OrderId order, state::OrderResult result) -> void;
    auto proposeAdoption(const EndpointId &endpoint, const proto::ObservedReplica &found) -> void;
    auto isCurrent(const proto::EndpointReport &report) const -> bool;
    auto wallMillis() const -> state::Millis;

    OrdersOptions options_;
    const Clock &clock_;
    Node &node_;
    OrderPort &port_;
    /// Lets port callbacks detect destruction.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::optional<Term> term_;       ///< While leading.
    std::optional<Instant> adoptAt_; ///< End of the hold-off; empty once orders were adopted.
    std::map<OrderId, OpenOrder> open_;
    std::map<EndpointId, std::set<OrderId>> openByEndpoint_;
    std::map<EndpointId, StatusPoll> polls_;
    std::map<EndpointId, std::uint64_t> unlistedMb_;
    std::set<state::ReplicaKey> adopting_;  ///< Proposed intents for models found loaded.
    std::set<state::ReplicaKey> reissuing_; ///< Proposed intents for loads of earlier terms.
    Fence highestSent_;
    std::function<void(const LoadFailure &)> onFailure_;
    std::uint64_t sent_ = 0;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERS_H
