// Claims for requests that may not run twice: taken at the leader before the
// dispatch, ended after it.
//
//   auto verdict = co_await claims.take(key, bodyHash);
//   if (granted) { ... dispatch while claims' mayStart says so ...; claims.end(...) }
//
// Guarantees: a request is dispatched only under a claim granted to this very
// attempt, and only until claimWindow after the moment before the claim was
// asked for, on this router's own clock, which also counts while the process is
// stopped. Of two requests with one key at this router only one is at work; the
// other is told in_progress. A key whose claim's fate this router cannot know
// (a reply that never came) stays closed here for closedFor, longer than any
// message stays under way, so that no late message of the old attempt can touch
// a new one. Thread-safe.
//
// The caller gets its answer before the outcome is in the log: the claim already
// stands, so a resend in between is told in_progress, and if this router dies,
// unknown; waiting would add a round trip and make nothing safer.

#ifndef FIGRACK_ROUTER_CLAIMS_H
#define FIGRACK_ROUTER_CLAIMS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/messages.h"

namespace figrack::router {

/// Sends a request to the leader. done is called once, on any thread. A request that a control
/// refused as NotLeader may be sent again; any other failure leaves its fate unknown.
using CallLeader = std::function<void(proto::Payload, Duration,
                                      std::function<void(absl::StatusOr<proto::Payload>)>)>;

struct ClaimOptions
{
    NodeId self;
    Incarnation incarnation;
    Duration timeout = std::chrono::seconds { 1 };    ///< For the verdict.
    Duration window = std::chrono::seconds { 5 };     ///< From the asking to the dispatch.
    Duration closedFor = std::chrono::minutes { 15 }; ///< A key in doubt.
    std::size_t maxKeys = 65536;                      ///< Keys at work or closed.
    std::uint32_t endAttempts = 8;
};

/// This request, and no other, may be dispatched until the deadline.
struct ClaimGranted
{
    Instant dispatchBy;
};
/// It ran before; here is its answer.
struct ClaimStored
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string answer;
};
/// It is not dispatched.
struct ClaimRefused
{
    absl::Status status;     ///< InProgress, KeyReused, OutcomeUnknown, Overloaded, NoQuorum, ...
    bool mayHaveRun = false; ///< An earlier request with the key may have; this one did not.
};
using ClaimResult = std::variant<ClaimGranted, ClaimStored, ClaimRefused>;

/// Stands in a stored claim for an answer that was too long to keep.
constexpr auto notStoredType = "application/x-figrack-not-stored";

class Claims : public std::enable_shared_from_this<Claims>
{
public:
    Claims(ClaimOptions options, const Clock &clock, CallLeader callLeader);

    /// Asks for the claim of a key. Call end() once and only after ClaimGranted.
    /// @param runsFor how long it may run once dispatched; so long a resend is told in_progress
    auto take(IdempotencyKey key, std::uint64_t bodyHash, Duration runsFor)
            -> boost::asio::awaitable<ClaimResult>;

    /// Ends a granted claim. Never waits; tries again in the background.
    /// @param state Done, NotRun or Unknown
    auto end(const IdempotencyKey &key, state::ClaimState state, std::uint32_t status,
             std::string contentType, std::string answer) -> void;

    /// @return keys at work or closed, for metrics and tests
    auto openKeys() const -> std::size_t;
    /// @return ends that are not confirmed yet; a planned stop waits for them
    auto pendingEnds() const -> std::size_t { return pendingEnds_; }
    /// Opens keys whose doubt has passed. Call now and then.
    auto tick() -> void;

private:
    struct OpenKey
    {
        bool inDoubt = false; ///< A message about it may still be under way.
        Instant closedUntil;
    };
    auto open(const IdempotencyKey &key) -> absl::Status;
    auto close(const IdempotencyKey &key, bool inDoubt) -> void;
    auto onVerdict(const IdempotencyKey &key, Instant asked,
                   const absl::StatusOr<proto::Payload> &reply) -> ClaimResult;
    auto startEnd(state::EndClaim end, bool inDoubt) -> void;
    auto sendEnd(state::EndClaim end, std::uint32_t attempt, bool inDoubt) -> void;

    ClaimOptions options_;
    const Clock &clock_;
    CallLeader callLeader_;
    mutable std::mutex mutex_; ///< Lock order: a leaf; nothing is called under it.
    std::map<IdempotencyKey, OpenKey> keys_;
    std::atomic<std::size_t> pendingEnds_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CLAIMS_H
