// The commands that change the replicated tables, and the rows of those tables.
//
// A command is what one log entry carries. All of them are plain values; what
// they do is in state/tables.h. Times inside commands are the leader's wall
// time when it proposed, so that every replica applies the same.

#ifndef FIGRACK_STATE_COMMANDS_H
#define FIGRACK_STATE_COMMANDS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"

namespace figrack::state {

using Millis = std::int64_t; ///< Wall time, ms since the epoch, or a span in ms.

/// An operator's class of work.
struct ClassSpec
{
    ClassId id;
    Millis startTarget = 2000;       ///< Request to first token, ms.
    Millis finishTarget = 30000;     ///< Request to last token, ms.
    std::uint32_t sharePercent = 95; ///< Of requests that must meet both.
    bool isDefault = false;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, startTarget, finishTarget, sharePercent, isDefault);
    }
    auto operator==(const ClassSpec &) const -> bool = default;
};

/// A base model or an adapter, one version of it.
struct ModelSpec
{
    ModelId id;
    std::string version = "1";
    ModelId base;               ///< Empty for a base model; an adapter names its base.
    std::uint64_t weightMb = 0; ///< Accelerator memory of the weights, MiB.
    std::uint64_t kvMb = 0;     ///< Accelerator memory set aside for KV cache a replica, MiB.
    std::uint32_t slots = 8;    ///< Streams one replica runs at once at full speed.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, version, base, weightMb, kvMb, slots);
    }
    auto operator==(const ModelSpec &) const -> bool = default;
};

/// A plain service that requests are routed to by name.
struct ServiceSpec
{
    ServiceId id;
    bool repeatable = false; ///< False: its calls need an idempotency key and run at most once.
    Millis timeout = 10000;  ///< ms
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, repeatable, timeout);
    }
    auto operator==(const ServiceSpec &) const -> bool = default;
};

struct PutClass
{
    ClassSpec spec;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec);
    }
};
struct DeleteClass
{
    ClassId id;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id);
    }
};
struct PutModel
{
    ModelSpec spec;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec);
    }
};
struct DeleteModel
{
    ModelId id;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id);
    }
};
struct PutService
{
    ServiceSpec spec;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec);
    }
};
struct DeleteService
{
    ServiceId id;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id);
    }
};

using ConfigOperation
        = std::variant<PutClass, DeleteClass, PutModel, DeleteModel, PutService, DeleteService>;

/// Compare-and-set on the configuration's revision.
struct ConfigChange
{
    ChangeId change; ///< The operator's id; a resend gets the first answer.
    std::string author;
    Revision expected; ///< The revision the operator read.
    ConfigOperation operation;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(change, author, expected, operation, at);
    }
};

enum class NodeKind : std::uint8_t { Router, Control };

/// A router takes part from here on; it gets no lease before this is applied.
struct RegisterRouter
{
    NodeId node;
    Incarnation incarnation;
    DomainId domain;
    std::string callerAddress; ///< Where callers connect.
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, domain, callerAddress, at);
    }
};
struct DrainRouter
{
    NodeId node;
    Incarnation incarnation;
    bool draining = true;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, draining, at);
    }
};
/// Proposed when the router's lease has lapsed for long or it has said goodbye.
struct RemoveRouter
{
    NodeId node;
    Incarnation incarnation;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation);
    }
};

enum class EndpointKind : std::uint8_t { Engine, Service };
enum class CacheTier : std::uint8_t { Remote, Disk, Memory };

/// Where an endpoint has a model's checkpoint.
struct CachedModel
{
    ModelId model;
    std::string version;
    CacheTier tier = CacheTier::Remote;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(model, version, tier);
    }
    auto operator==(const CachedModel &) const -> bool = default;
};

/// What an endpoint announces of itself and seldom changes.
struct EndpointSpec
{
    EndpointId id;
    Incarnation incarnation; ///< Of the endpoint's process, as it announced.
    EndpointKind kind = EndpointKind::Engine;
    std::string address; ///< "ip:port"
    DomainId domain;
    ServiceId service; ///< The plain service it serves, or the runner pool's name.
    std::uint32_t accelerators = 0;
    std::uint64_t memoryMb = 0; ///< Accelerator memory for weights and KV cache, MiB.
    bool checksFence = false;   ///< Refuses an order whose fence is below the highest it saw.
    std::vector<CachedModel> cached;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, incarnation, kind, address, domain, service, accelerators, memoryMb,
                checksFence, cached);
    }
    auto operator==(const EndpointSpec &) const -> bool = default;
};

struct RegisterEndpoint
{
    EndpointSpec spec;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec, at);
    }
};
struct DrainEndpoint
{
    EndpointId endpoint;
    bool draining = true;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, draining, at);
    }
};
/// Proposed when an endpoint's announcements lapsed: it gets no new work. Its replicas count
/// until it is forgotten or comes back with another incarnation.
struct SuspectEndpoint
{
    EndpointId endpoint;
    Incarnation incarnation;
    bool suspected = true;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, incarnation, suspected, at);
    }
};
struct ForgetEndpoint
{
    EndpointId endpoint;
    Incarnation incarnation;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, incarnation);
    }
};

enum class OrderAction : std::uint8_t { Load, Unload };

/// Written before an order is sent. Its log index is the OrderId; its fence is the term.
struct OrderIntent
{
    OrderAction action = OrderAction::Load;
    EndpointId endpoint;
    Incarnation incarnation; ///< The life of the endpoint the order is for.
    ModelId model;
    std::string version;
    Fence fence;
    Millis readyAt = 0; ///< Predicted end of a load.
    std::string reason; ///< Why it was decided, for the report.
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(action, endpoint, incarnation, model, version, fence, readyAt, reason, at);
    }
};

enum class OrderResult : std::uint8_t {
    Loaded,   ///< Observed loaded after the order.
    Unloaded, ///< Observed gone after the order.
    Refused,  ///< The endpoint answered that it did not take the order.
    Failed,   ///< The endpoint answered that the load failed and its memory is free.
};

/// Written once an observation newer than the order settles it.
struct OrderOutcome
{
    OrderId order;
    OrderResult result = OrderResult::Loaded;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(order, result, at);
    }
};

/// Taken before the dispatch of a request that may not be repeated.
struct TakeClaim
{
    IdempotencyKey key;
    std::uint64_t bodyHash = 0;
    NodeId router;
    Incarnation incarnation;
    Millis deadline = 0; ///< The router does not dispatch past it.
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key, bodyHash, router, incarnation, deadline, at);
    }
};

enum class ClaimState : std::uint8_t {
    Taken,   ///< May be running.
    Done,    ///< Ran; the answer is stored.
    NotRun,  ///< Certain not to have run; the key may be claimed anew.
    Unknown, ///< May have run; never run again.
};

struct EndClaim
{
    IdempotencyKey key;
    NodeId router;
    Incarnation incarnation;
    ClaimState state = ClaimState::Unknown;
    std::uint32_t status = 0; ///< HTTP status of the answer.
    std::string contentType;
    std::string answer; ///< Bounded by maxStoredAnswerBytes; longer answers are not stored.
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key, router, incarnation, state, status, contentType, answer, at);
    }
};

/// Drops claims that ended, or whose deadline passed, before a time.
struct ExpireClaims
{
    Millis before = 0;
    Millis at = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(before, at);
    }
};

using Command = std::variant<ConfigChange, RegisterRouter, DrainRouter, RemoveRouter,
                             RegisterEndpoint, DrainEndpoint, SuspectEndpoint, ForgetEndpoint,
                             OrderIntent, OrderOutcome, TakeClaim, EndClaim, ExpireClaims>;

/// The longest answer kept with a claim.
constexpr auto maxStoredAnswerBytes = std::size_t { 64 } << 10;

/// @return bytes for a log entry
auto encodeCommand(const Command &command) -> std::string;
/// @return the command; Malformed when the bytes are none
auto decodeCommand(std::string_view bytes) -> absl::StatusOr<Command>;
/// @return true for commands that routers need not see: claims
auto isControlOnly(const Command &command) -> bool;

} // namespace figrack::state

#endif // FIGRACK_STATE_COMMANDS_H
