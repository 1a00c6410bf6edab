// Lets suspected work run one at a time in the whole fleet, where its end would cost least.
//
//   if (auto refusal = trials.refuse(request)) return *refusal;
//   trials.narrow(request, runningAt);          // to the endpoints with the fewest requests
//   trials.begin(gateway, request);             // a pick was made
//   trials.onEnd(gateway, ticket);
//
// Copies of work that ends what runs it end as many endpoints as they reach
// before the first end is known. Gateways ask a balancer for each request, so it
// is the place where copies meet: from the first end on the next one waits until
// the one before has come back, completed or with another end counted.
//
// Soft state, like the balancer's: with another balancer a second copy may run.
// Not thread-safe.

#ifndef FIGRACK_FLEET_TRIALS_H
#define FIGRACK_FLEET_TRIALS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "policy/quarantine.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct TrialOptions
{
    /// Retry-After while another one runs: most endpoints that end under work do so within it.
    Duration comeBack = std::chrono::milliseconds { 500 };
    /// After the end of one the next waits so long for the word of what came of it: the gateway
    /// dials the endpoint for 300 ms at most before it tells.
    Duration settle = std::chrono::milliseconds { 400 };
};

class Trials
{
public:
    /// @param quarantine outlives this object
    Trials(TrialOptions options, const policy::Quarantine &quarantine, const Clock &clock);
    /// @return the reply to a request whose work may not run now; nullopt: it may
    auto refuse(const NodeId &gateway, const proto::PickRequest &request)
            -> std::optional<proto::PickReply>;
    /// Leaves of the candidates of suspected work those with the fewest requests.
    /// @param runningAt requests in progress at an endpoint
    auto narrow(proto::PickRequest &request,
                const std::function<std::uint32_t(const EndpointId &)> &runningAt) const -> void;
    /// The work has been given an endpoint.
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

    TrialOptions options_;
    const policy::Quarantine &quarantine_;
    const Clock &clock_;
    std::map<catalogue::WorkId, Trial> trials_; ///< As many as there are suspects at most.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_TRIALS_H
