// The gateways to which this one can hand requests that it cannot serve.
//
//   targets.onTargets(reply.targets);                    // a control has answered
//   if (auto target = targets.choose(groups, tried, homes)) ...
//   targets.onBegin(target->node); ...; targets.onEnd(target->node);
//
// Of two gateways drawn at random in proportion to their capacities, the one with fewer of this
// gateway's requests for its capacity is chosen. A gateway of the own failure domain is preferred
// until it has twice as many. Gateways that said that they cannot reach the endpoints either are
// left out. Not thread-safe.

#ifndef FIGRACK_GATEWAY_HANDOFFTARGETS_H
#define FIGRACK_GATEWAY_HANDOFFTARGETS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "catalogue/homes.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct HandoffTargetsOptions
{
    DomainId domain; ///< Of this gateway.
    /// After this time the controls are asked again.
    Duration refreshAfter = std::chrono::seconds { 1 };
    /// Older answers are not used any more.
    Duration staleAfter = std::chrono::seconds { 10 };
    /// A gateway that could not take a request is left out for this time.
    Duration pauseAfterFailure = std::chrono::seconds { 1 };
    /// Weight of a gateway in the own failure domain, relative to one elsewhere.
    double nearWeight = 2;
};

class HandoffTargets
{
public:
    /// @param clock must outlive this object
    /// @param random must outlive this object
    HandoffTargets(HandoffTargetsOptions options, const Clock &clock, Random &random);
    auto onTargets(std::vector<proto::HandoffTarget> targets) -> void;
    /// @return true if the controls should be asked again
    auto isDue() const -> bool;
    /// @return true if a gateway is known that may be used
    auto isUsable() const -> bool;
    /// @param groups of the endpoints that could serve the request; empty: any
    /// @param tried gateways that could not take it
    /// @param homes where the request and its body may be sent
    auto choose(const std::set<catalogue::EndpointGroup> &groups, const std::set<NodeId> &tried,
                const catalogue::HomeRule &homes) -> std::optional<proto::HandoffTarget>;
    auto onBegin(const NodeId &node) -> void;
    auto onEnd(const NodeId &node) -> void;
    auto onFailed(const NodeId &node) -> void;
    /// @return the number of requests that other gateways have in progress for this one
    auto inProgress() const -> std::size_t;

private:
    auto weightOf(const proto::HandoffTarget &target) const -> double;
    auto loadOf(const proto::HandoffTarget &target) const -> double;
    auto draw(const std::vector<const proto::HandoffTarget *> &able)
            -> const proto::HandoffTarget *;

    HandoffTargetsOptions options_;
    const Clock &clock_;
    Random &random_;
    std::vector<proto::HandoffTarget> targets_;
    std::optional<Instant> receivedAt_;
    std::map<NodeId, std::uint32_t> running_;
    std::map<NodeId, Instant> pausedUntil_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_HANDOFFTARGETS_H
