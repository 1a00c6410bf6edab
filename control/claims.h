// Claims for requests that may not be repeated, on the leader.
//
// A claim is a command in the log; what the tables then say is the verdict, so
// that of all requests with one key, at any router and through any change of
// leader, one is granted. A key whose outcome is stored is answered from the
// tables without a log entry, under the leader's lease.
//
// Many claims make one sync: the node writes all that was proposed in one turn
// of the event loop together.

#ifndef FIGRACK_CONTROL_CLAIMS_H
#define FIGRACK_CONTROL_CLAIMS_H

#include "control/node.h"
#include "control/replies.h"

namespace figrack::control {

struct ClaimsOptions
{
    Duration keepFor = std::chrono::hours { 24 }; ///< Outcomes; then a key may be claimed anew.
    Duration expireEvery = std::chrono::seconds { 10 };
    Duration maxWait = std::chrono::minutes { 10 }; ///< Longest time a router may ask for.
};

class Claims
{
public:
    /// @param clock,node outlive this
    Claims(ClaimsOptions options, const Clock &clock, Node &node);

    auto onRequest(const Caller &caller, const proto::ClaimRequest &request) -> void;
    auto onEnd(const Caller &caller, const proto::ClaimEnd &end) -> void;
    /// Lets claims expire; call it on the leader.
    auto tick() -> void;

private:
    ClaimsOptions options_;
    const Clock &clock_;
    Node &node_;
    Instant nextExpiry_;
};

/// @param status what applying the TakeClaim gave
/// @param row the claim that stands, or nullptr
/// @param mine the claim asked for
/// @return the verdict that the router is told
auto claimReply(const absl::Status &status, const state::ClaimRow *row,
                const state::TakeClaim &requested) -> proto::ClaimReply;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CLAIMS_H
