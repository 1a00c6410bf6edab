// The replicated tables: configuration, routers, endpoints, replicas, claims.
//
//   auto tables = Tables {};
//   auto result = tables.apply(command, index);
//   tables.replicas()...
//
// Controls apply every committed command; routers apply the same commands, less
// those that isControlOnly() names. Applying is deterministic: the tables at an
// index depend on the commands up to it and on nothing else.
//
// Invariants, checked inside apply(): the revision rises by one with each
// change that wins; an endpoint's replicas, loads in flight and loads in doubt
// never need more memory than it has; each (model, endpoint) holds one replica;
// a claim's state never leaves Done or Unknown until it expires.

#ifndef FIGRACK_STATE_TABLES_H
#define FIGRACK_STATE_TABLES_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include <absl/status/status.h>

#include "core/ids.h"
#include "state/commands.h"

namespace figrack::state {

struct RouterRow
{
    RegisterRouter registered;
    bool draining = false;
};

struct EndpointRow
{
    EndpointSpec spec;
    bool draining = false;
    bool suspected = false;
    Millis changedAt = 0;
};

enum class ReplicaState : std::uint8_t { Loading, Ready, Unloading };

/// One replica of a model on an endpoint. Memory is held from the intent to load until an
/// observation shows it gone.
struct ReplicaRow
{
    ModelId model;
    std::string version;
    EndpointId endpoint;
    ReplicaState state = ReplicaState::Loading;
    OrderId order; ///< The last order for it.
    Fence fence;
    bool inDoubt = false; ///< The last order's outcome is unknown to the present leader.
    Millis readyAt = 0;   ///< Predicted, while Loading; actual, afterwards.
    Millis orderedAt = 0;
    std::uint64_t memoryMb = 0; ///< Held on the endpoint, MiB.
    std::string reason;
};

using ReplicaKey = std::pair<ModelId, EndpointId>;

/// What a configuration change ended in; kept so that a resend gets the first answer.
struct ChangeResult
{
    ChangeId change;
    std::string author;
    bool won = false;
    Revision revision;      ///< The new revision, or the one that won instead.
    std::uint8_t error = 0; ///< ErrorKind of a change that lost.
    std::string detail;
    std::uint64_t operationHash = 0; ///< A resend with another operation is an error.
};

struct ClaimRow
{
    TakeClaim taken;
    ClaimState state = ClaimState::Taken;
    EndClaim ended;
};

struct Configuration
{
    Revision revision;
    std::map<ClassId, ClassSpec> classes;
    std::map<ModelId, ModelSpec> models;
    std::map<ServiceId, ServiceSpec> services;
    auto defaultClass() const -> const ClassSpec *;
};

/// What applying a command told its proposer.
struct Applied
{
    absl::Status status; ///< Conflict, KeyReused, InProgress, NoCapacity, Unknown* and others.
    std::optional<ChangeResult> change;
    std::optional<ClaimRow> claim; ///< The claim that stands, whoever holds it.
};

class Tables
{
public:
    /// Applies one command.
    /// @param command the decoded entry
    /// @param index its log index, above all before
    auto apply(const Command &command, LogIndex index) -> Applied;

    auto appliedIndex() const -> LogIndex { return appliedIndex_; }
    auto configuration() const -> const Configuration & { return configuration_; }
    auto routers() const -> const std::map<NodeId, RouterRow> & { return routers_; }
    auto endpoints() const -> const std::map<EndpointId, EndpointRow> & { return endpoints_; }
    auto replicas() const -> const std::map<ReplicaKey, ReplicaRow> & { return replicas_; }
    auto claims() const -> const std::map<IdempotencyKey, ClaimRow> & { return claims_; }
    auto findChange(const ChangeId &change) const -> const ChangeResult *;

    /// @return MiB of an endpoint's memory that replicas and orders hold
    auto memoryHeldMb(const EndpointId &endpoint) const -> std::uint64_t;
    /// @return MiB that a replica of the model takes: weights and KV room
    auto replicaMemoryMb(const ModelId &model) const -> std::uint64_t;

    /// Moves the index on past entries that this reader was not sent.
    auto skipTo(LogIndex index) -> void;

    /// @param withClaims false for a router's copy
    /// @return the whole state in a stable encoding: equal tables give equal bytes
    auto snapshot(bool withClaims) const -> std::string;
    /// @return Malformed when the bytes are no snapshot
    auto restore(std::string_view bytes) -> absl::Status;

private:
    LogIndex appliedIndex_;
    Configuration configuration_;
    std::map<NodeId, RouterRow> routers_;
    std::map<EndpointId, EndpointRow> endpoints_;
    std::map<ReplicaKey, ReplicaRow> replicas_;
    std::map<IdempotencyKey, ClaimRow> claims_;
    std::map<ChangeId, ChangeResult> changes_;
    std::deque<ChangeId> changeOrder_; ///< Oldest first; bounds changes_.
};

} // namespace figrack::state

#endif // FIGRACK_STATE_TABLES_H
