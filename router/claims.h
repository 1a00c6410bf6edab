// Obtains claims on idempotency keys for requests that must not run twice. A
// claim is requested from the leader before the dispatch and ended after it.
//
//   auto result = co_await claims.acquire(key, bodyHash, maxRunTime);
//   if (granted) { ... dispatch until the claim's dispatchBy ...; claims.end(...) }
//
// Guarantees: a request is dispatched only under a claim granted to this attempt,
// and only until ClaimOptions::window has passed since the moment before the claim was
// requested. The window is measured on this router's own clock, which also
// advances while the process is stopped. Of two requests with the same key at this
// router, only one is processed; the other is refused with in_progress. If a reply
// never arrives, this router cannot know whether the claim stands. It then refuses
// the key for ClaimOptions::inDoubtPeriod, which is longer than any message can
// stay in transit, so that no late message of the old attempt affects a new one.
// Thread-safe.
//
// The caller receives its answer before the outcome is committed to the log. This
// is safe because the claim already stands: a resend in the meantime is refused
// with in_progress, or with an unknown outcome if this router fails. Waiting for
// the commit would add a round trip without making anything safer.

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

/// Sends a request to the leader. The callback is called once, on any thread. A request that a
/// control refused as NotLeader may be sent again; after any other failure it is unknown whether
/// the request took effect.
using CallLeader = std::function<void(proto::Payload, Duration,
                                      std::function<void(absl::StatusOr<proto::Payload>)>)>;

struct ClaimOptions
{
    NodeId self;
    Incarnation incarnation;
    Duration timeout = std::chrono::seconds { 1 }; ///< For the leader's verdict.
    Duration window = std::chrono::seconds { 5 };  ///< From requesting the claim to the dispatch.
    Duration inDoubtPeriod
            = std::chrono::minutes { 15 }; ///< How long a key is refused while it is in doubt.
    std::size_t maxKeys = 65536;           ///< Keys in progress or in doubt.
    std::uint32_t endAttempts = 8;
};

/// This request alone may be dispatched until the deadline.
struct ClaimGranted
{
    Instant dispatchBy;
};
/// The request ran before; this is its stored answer.
struct ClaimStored
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string answer;
};
/// The request must not be dispatched.
struct ClaimRefused
{
    absl::Status status;     ///< InProgress, KeyReused, OutcomeUnknown, Overloaded, NoQuorum, ...
    bool mayHaveRun = false; ///< An earlier request with the key may have run; this one did not.
};
using ClaimResult = std::variant<ClaimGranted, ClaimStored, ClaimRefused>;

/// The content type of a stored claim whose answer was too long to store.
constexpr auto notStoredType = "application/x-figrack-not-stored";

class Claims : public std::enable_shared_from_this<Claims>
{
public:
    Claims(ClaimOptions options, const Clock &clock, CallLeader callLeader);

    /// Requests the claim on a key. After ClaimGranted, and only then, call end() once.
    /// @param maxRunTime how long the request may run once dispatched; until then a resend is
    /// refused with in_progress
    auto acquire(IdempotencyKey key, std::uint64_t bodyHash, Duration maxRunTime)
            -> boost::asio::awaitable<ClaimResult>;

    /// Ends a granted claim. Does not block; retries in the background.
    /// @param state Done, NotRun or Unknown
    auto end(const IdempotencyKey &key, state::ClaimState state, std::uint32_t status,
             std::string contentType, std::string answer) -> void;

    /// @return the number of keys in progress or in doubt, for metrics and tests
    auto heldKeys() const -> std::size_t;
    /// @return the number of claim ends not confirmed yet; a planned stop waits for them
    auto pendingEnds() const -> std::size_t { return pendingEnds_; }
    /// Releases keys whose period of doubt has passed. Call periodically.
    auto tick() -> void;

private:
    struct HeldKey
    {
        bool inDoubt = false; ///< A message about the key may still be in transit.
        Instant heldUntil;
    };
    auto reserveKey(const IdempotencyKey &key) -> absl::Status;
    auto releaseKey(const IdempotencyKey &key, bool inDoubt) -> void;
    auto onVerdict(const IdempotencyKey &key, Instant asked,
                   const absl::StatusOr<proto::Payload> &reply) -> ClaimResult;
    auto startEnd(state::EndClaim end, bool inDoubt) -> void;
    auto sendEnd(state::EndClaim end, std::uint32_t attempt, bool inDoubt) -> void;

    ClaimOptions options_;
    const Clock &clock_;
    CallLeader callLeader_;
    mutable std::mutex mutex_; ///< Lock order: a leaf; no other lock is taken under it.
    std::map<IdempotencyKey, HeldKey> keys_;
    std::atomic<std::size_t> pendingEnds_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CLAIMS_H
