// Claims grants and ends claims for requests that must not be repeated. It runs on the leader.
//
// A claim is a command in the log, and the verdict is read from the tables after the command
// was applied. Of all requests with one key, at any router and across changes of leader, only
// one is therefore granted. If the outcome of a key is stored already, the leader answers from
// the tables under its lease, without a log entry.
//
// Many claims share one sync: the node writes all commands proposed in one turn of the event
// loop together.

#ifndef FIGRACK_CONTROL_CLAIMS_H
#define FIGRACK_CONTROL_CLAIMS_H

#include "control/node.h"
#include "control/replies.h"

namespace figrack::control {

struct ClaimsOptions
{
    /// How long outcomes are kept; after that a key may be claimed again.
    Duration keepFor = std::chrono::hours { 24 };
    Duration expireEvery = std::chrono::seconds { 10 };
    Duration maxWait = std::chrono::minutes { 10 }; ///< Longest time a router may ask for.
};

class Claims
{
public:
    /// @param clock,node must outlive this object
    Claims(ClaimsOptions options, const Clock &clock, Node &node);

    auto onRequest(const Caller &caller, const proto::ClaimRequest &request) -> void;
    auto onEnd(const Caller &caller, const proto::ClaimEnd &end) -> void;
    /// Proposes the expiry of old claims. Call it on the leader only.
    auto tick() -> void;

private:
    ClaimsOptions options_;
    const Clock &clock_;
    Node &node_;
    Instant nextExpiry_;
};

/// @param status result of applying the TakeClaim command
/// @param row the claim that the tables now hold for the key, or nullptr
/// @param requested the requested claim
/// @return the reply with the verdict for the router
auto claimReply(const absl::Status &status, const state::ClaimRow *row,
                const state::TakeClaim &requested) -> proto::ClaimReply;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_CLAIMS_H
