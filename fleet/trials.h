// Runs suspected work one request at a time in the whole fleet, on the endpoints
// where a failure would affect the fewest requests.
//
//   if (auto refusal = trials.refuse(request)) return *refusal;
//   trials.narrow(request, runningAt);          // to the endpoints with the fewest requests
//   trials.begin(gateway, request);             // an endpoint was picked
//   trials.onEnd(gateway, ticket);
//
// Work that makes its endpoint's process end can end as many endpoints as it has
// copies running before the first end is known. Gateways ask a balancer for an
// endpoint for each request, so the balancer sees all copies. After the first
// end, each copy waits until the previous one has completed or its end has been
// counted.
//
// Soft state, like the balancer's: a second copy may run when it is sent to
// another balancer. Not thread-safe.

#ifndef FIGRACK_FLEET_TRIALS_H
#define FIGRACK_FLEET_TRIALS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "policy/quarantine.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct TrialOptions
{
    /// Retry-After while another copy runs. Most endpoints that end because of work do so in this
    /// time.
    Duration retryAfter = std::chrono::milliseconds { 500 };
    /// How long the next copy waits for the outcome of the one that has just ended: the gateway
    /// tries to connect to the endpoint for up to 300 ms before it reports the outcome.
    Duration outcomeWait = std::chrono::milliseconds { 400 };
};

class Trials
{
public:
    /// @param quarantine must outlive this object
    Trials(TrialOptions options, const policy::Quarantine &quarantine, const Clock &clock);
    /// @return the reply to a request whose work may not run now; nullopt: it may run
    auto refuse(const NodeId &gateway, const proto::PickRequest &request)
            -> std::optional<proto::PickReply>;
    /// Reduces the candidates of a request with suspected work to those with the fewest requests.
    /// @param runningAt returns the requests in progress at an endpoint
    auto narrow(proto::PickRequest &request,
                const std::function<std::uint32_t(const EndpointId &)> &runningAt) const -> void;
    /// Call when an endpoint has been picked for the work.
    auto begin(const NodeId &gateway, const proto::PickRequest &request) -> void;
    auto onEnd(const NodeId &gateway, std::uint64_t ticket) -> void;
    auto onGatewayLost(const NodeId &gateway) -> void;

private:
    struct Trial
    {
        NodeId gateway;
        std::uint64_t ticket = 0;
        Instant expiresAt {};
    };
    auto standing(const proto::PickRequest &request) const -> policy::Verdict;
    /// @return the work and the parts of the request that run one at a time
    auto suspectsOf(const proto::PickRequest &request) const -> std::vector<catalogue::WorkId>;

    TrialOptions options_;
    const policy::Quarantine &quarantine_;
    const Clock &clock_;
    std::map<catalogue::WorkId, Trial> trials_; ///< At most as many as there are suspects.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_TRIALS_H
