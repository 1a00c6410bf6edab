// Carries out what the log decided: sends the orders, and settles them by what is seen.
//
//   orders.onLeading(term);
//   orders.onApplied(applied);     // an intent of this term is sent, an outcome ends it
//   orders.tick();                 // asks endpoints with open orders for their state
//
// Only the leader holds one, in its term. An order is sent after its intent is
// committed and applied, while the lease of that term holds. Orders left by
// earlier terms are adopted: on an endpoint that checks fences a load is ordered
// anew under the present fence; elsewhere it is in doubt until observations
// settle it (control/ordermachine.h, docs/design/orders.md).
//
// It also looks after what was settled before: a replica that its endpoint no
// longer has is settled as unloaded, and a model found there that the tables do
// not list is adopted by an intent of its own where the memory allows.
//
// Guarantees: an order is given to the port at most once; no order is given to
// it outside a lease; one state request an endpoint is under way at a time.

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
    Duration pollEvery = std::chrono::milliseconds { 100 }; ///< While an order is carried out.
    Duration pollInDoubtEvery = std::chrono::milliseconds { 500 }; ///< While one is in doubt.
    Duration auditEvery = std::chrono::seconds { 5 }; ///< At most, for one endpoint that differs.
    /// After gaining the lease, before anything of an earlier term is judged: what an earlier
    /// leader wrote may be acknowledged no longer than this after it had to abort.
    Duration holdOff = std::chrono::seconds { 4 };
};

/// Why a load did not come to be.
struct LoadFailure
{
    EndpointId endpoint;
    ModelId model;
    state::OrderResult result = state::OrderResult::Failed;
};

class Orders
{
public:
    /// @param clock,node,port outlive this
    Orders(OrdersOptions options, const Clock &clock, Node &node, OrderPort &port);
    ~Orders();

    auto onLeading(Term term) -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    /// A report that came by way of a router: only a hint to look for oneself.
    auto onReport(const proto::EndpointReport &report) -> void;
    auto tick() -> void;

    /// Called when a load was refused or failed.
    auto setOnFailure(std::function<void(const LoadFailure &)> listener) -> void;
    /// @return orders that are not settled
    auto open() const -> std::size_t { return open_.size(); }
    /// @return orders given to the port since the process started
    auto sent() const -> std::uint64_t { return sent_; }
    /// @return MiB used on an endpoint by what the tables do not list, by its last state
    auto unlistedMb(const EndpointId &endpoint) const -> std::uint64_t;

private:
    struct OpenOrder
    {
        state::ReplicaKey key;
        OrderMachine machine;
        state::OrderAction action = state::OrderAction::Load;
        bool outcomeProposed = false;
    };
    /// What is being asked of one endpoint.
    struct StatusPoll
    {
        bool inFlight = false;
        Instant nextAt;
        Instant auditAt; ///< Not to be audited again before.
        bool audit = false;
    };

    /// What the tables listed on an endpoint when its state was asked for.
    struct Listed
    {
        std::set<ModelId> models;
        std::map<ModelId, OrderId> ready; ///< Those settled as loaded, by their last order.
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
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Guards callbacks of the port.
    std::optional<Term> term_;                              ///< While leading.
    std::optional<Instant> adoptAt_;                        ///< End of the hold-off.
    std::map<OrderId, OpenOrder> open_;
    std::map<EndpointId, std::set<OrderId>> openByEndpoint_;
    std::map<EndpointId, StatusPoll> polls_;
    std::map<EndpointId, std::uint64_t> unlistedMb_;
    std::set<state::ReplicaKey> adopting_;  ///< Intents proposed for what was found loaded.
    std::set<state::ReplicaKey> reissuing_; ///< Intents proposed for loads of earlier terms.
    Fence highestSent_;
    std::function<void(const LoadFailure &)> onFailure_;
    std::uint64_t sent_ = 0;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERS_H
