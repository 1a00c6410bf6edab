// Counts the cost of all gateways' requests against their client accounts' limits.
//
//   if (auto refusal = ledger.refuse(gateway, request)) return *refusal;   // else it is counted
//   ledger.onEnd(gateway, end);              // refunds a request that did not run
//   ledger.onNews(control, news);            // what other controls have admitted
//   ledger.tick(hearsGroup);                 // reports what this control has admitted
//
// A request is counted when its gateway asks this control for an endpoint, so no
// extra message is needed. Each control counts, because gateways turn to another
// control when the one they asked does not answer (see policy/accountlimits.h). A
// control that is isolated from its group refuses to count; gateways then ask the
// next one. Not thread-safe.

#ifndef FIGRACK_FLEET_ACCOUNTLEDGER_H
#define FIGRACK_FLEET_ACCOUNTLEDGER_H

#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "fleet/registry.h"
#include "policy/accountlimits.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct AccountLedgerOptions
{
    policy::AccountLimitsOptions limits;
    /// Interval between two reports to the other controls. When gateways change the control that
    /// they ask, what was admitted in this time may be admitted twice.
    Duration reportInterval = std::chrono::milliseconds { 60 };
    /// A control that has known no leader of its group for this time refuses to count: it may be
    /// cut off from the other controls and miss their reports.
    Duration isolatedAfter = std::chrono::milliseconds { 300 };
};

class AccountLedger
{
public:
    /// @param incarnation of this process; differs after each start
    /// @param registry must outlive this object
    AccountLedger(AccountLedgerOptions options, Registry &registry, const Clock &clock,
                  Incarnation incarnation);
    /// @return the refusal; nullopt: the request is counted, or its account has no limit
    auto refuse(const NodeId &gateway, const proto::PickRequest &request)
            -> std::optional<proto::PickReply>;
    /// @return true when the request's account has recently used most of its limit
    auto isNearLimit(const proto::PickRequest &request) const -> bool;
    /// Refunds a request that was refused for another reason. A queued request keeps its charge
    /// until its end: while it waits, no other request may use its part of the limit.
    /// @param reply what the gateway is told, at once or with the grant that ends the wait
    auto onReply(const NodeId &gateway, std::uint64_t ticket, const proto::PickReply &reply)
            -> void;
    auto onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void;
    auto onGatewayLost(const NodeId &gateway) -> void;
    auto onNews(const NodeId &control, const proto::AccountNews &news) -> void;
    /// @param hearsGroup this control leads and holds its lease, or knows the leader
    auto tick(bool hearsGroup) -> void;
    auto limits() const -> const policy::AccountLimits & { return limits_; }

private:
    struct Counted
    {
        AccountId account;
        std::uint64_t cost = 0;
        Instant expiresAt {};
    };
    auto now() const -> policy::Millis { return policy::millisOf(clock_.now()); }
    auto isIsolated() const -> bool;
    auto expire() -> void;

    AccountLedgerOptions options_;
    Registry &registry_;
    const Clock &clock_;
    Incarnation incarnation_;
    policy::AccountLimits limits_;
    std::map<std::pair<NodeId, std::uint64_t>, Counted> counted_; ///< By gateway and ticket.
    Instant heardAt_;
    Instant nextReport_ {};
    Instant nextExpiry_ {};
    bool wasIsolated_ = false;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ACCOUNTLEDGER_H
