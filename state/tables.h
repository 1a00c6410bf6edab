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
// change that wins; of the classes, once there are any, exactly one is the
// default; an endpoint's replicas, loads in flight and loads in doubt never
// need more memory than it has; each (model, endpoint) holds one replica; an
// order's fence is never below the highest fence seen; a claim that is Done
// stays Done, and one that is Unknown becomes nothing but Done, by its own
// holder, until it expires.
//
// Bounds: maxChangeResults results of changes, maxClaims claims and
// maxClaimAnswerBytes of stored answers. A change that is resent after its
// result has gone meets a revision that has moved on and gets Conflict: it is
// never applied twice.

#ifndef FIGRACK_STATE_TABLES_H
#define FIGRACK_STATE_TABLES_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include <absl/status/status.h>

#include "core/error.h"
#include "core/ids.h"
#include "state/commands.h"

namespace figrack::state {

constexpr auto maxChangeResults = std::size_t { 4096 };
constexpr auto maxClaims = std::size_t { 500'000 };
constexpr auto maxClaimAnswerBytes = std::size_t { 256 } << 20;

struct RouterRow
{
    RegisterRouter registered;
    Incarnation former; ///< The life before, which cannot come back.
    bool draining = false;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(registered, former, draining);
    }
};

struct EndpointRow
{
    EndpointSpec spec;
    bool draining = false;
    bool suspected = false;
    Millis changedAt = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec, draining, suspected, changedAt);
    }
};

enum class ReplicaState : std::uint8_t { Loading, Ready, Unloading };

/// @return "loading", "ready" or "unloading"
auto replicaStateName(ReplicaState state) -> std::string_view;

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
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(model, version, endpoint, state, order, fence, inDoubt, readyAt, orderedAt,
                memoryMb, reason);
    }
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
    /// @return OK for a change that won, else the error it got
    auto status() const -> absl::Status;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(change, author, won, revision, error, detail, operationHash);
    }
};

struct ClaimRow
{
    TakeClaim taken;
    ClaimState state = ClaimState::Taken;
    EndClaim ended;            ///< Its `at` is when the claim left Taken.
    bool answerStored = false; ///< False for an answer that was over a bound.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(taken, state, ended, answerStored);
    }
};

struct Configuration
{
    Revision revision;
    std::map<ClassId, ClassSpec> classes;
    std::map<ModelId, ModelSpec> models;
    std::map<ServiceId, ServiceSpec> services;
    auto defaultClass() const -> const ClassSpec *;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(revision, classes, models, services);
    }
};

/// What applying a command told its proposer.
struct Applied
{
    absl::Status status; ///< Conflict, KeyReused, InProgress, NoCapacity, Unknown* and others.
    std::optional<ChangeResult> change;
    std::optional<ClaimRow> claim;     ///< The claim that stands, whoever holds it.
    std::optional<ReplicaKey> replica; ///< That an order's intent or outcome changed.
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
    /// @return the replica whose last order this is, or nullptr
    auto findOrder(OrderId order) const -> const ReplicaRow *;
    /// @return the highest fence of any order's intent so far
    auto highestFence() const -> Fence { return highestFence_; }

    /// @return the models that hold memory on an endpoint, with the MiB of each
    auto modelsOn(const EndpointId &endpoint) const -> const std::map<ModelId, std::uint64_t> &;
    /// @return MiB of an endpoint's memory that replicas and orders hold
    auto memoryHeldMb(const EndpointId &endpoint) const -> std::uint64_t;
    /// @return MiB that a replica of the model takes: weights and KV room. An adapter stands on a
    /// replica of its base, which holds its own and cannot be unloaded before it
    auto replicaMemoryMb(const ModelId &model) const -> std::uint64_t;

    /// Moves the index on past entries that this reader was not sent.
    auto skipTo(LogIndex index) -> void;

    /// @param withClaims false for a router's copy
    /// @return the whole state in a stable encoding: equal tables give equal bytes
    auto snapshot(bool withClaims) const -> std::string;
    /// @return Malformed when the bytes are no snapshot; the tables are then unchanged
    auto restore(std::string_view bytes) -> absl::Status;

private:
    auto applyCommand(const ConfigChange &command, LogIndex index) -> Applied;
    auto applyCommand(const RegisterRouter &command, LogIndex index) -> Applied;
    auto applyCommand(const DrainRouter &command, LogIndex index) -> Applied;
    auto applyCommand(const RemoveRouter &command, LogIndex index) -> Applied;
    auto applyCommand(const RegisterEndpoint &command, LogIndex index) -> Applied;
    auto applyCommand(const DrainEndpoint &command, LogIndex index) -> Applied;
    auto applyCommand(const SuspectEndpoint &command, LogIndex index) -> Applied;
    auto applyCommand(const ForgetEndpoint &command, LogIndex index) -> Applied;
    auto applyCommand(const OrderIntent &command, LogIndex index) -> Applied;
    auto applyCommand(const OrderOutcome &command, LogIndex index) -> Applied;
    auto applyCommand(const TakeClaim &command, LogIndex index) -> Applied;
    auto applyCommand(const EndClaim &command, LogIndex index) -> Applied;
    auto applyCommand(const ExpireClaims &command, LogIndex index) -> Applied;

    auto checkOperation(const PutClass &operation) const -> absl::Status;
    auto checkOperation(const DeleteClass &operation) const -> absl::Status;
    auto checkOperation(const PutModel &operation) const -> absl::Status;
    auto checkOperation(const DeleteModel &operation) const -> absl::Status;
    auto checkOperation(const PutService &operation) const -> absl::Status;
    auto checkOperation(const DeleteService &operation) const -> absl::Status;
    auto checkNotLoaded(const ModelId &model) const -> absl::Status;
    auto carryOut(const PutClass &operation) -> void;
    auto carryOut(const DeleteClass &operation) -> void;
    auto carryOut(const PutModel &operation) -> void;
    auto carryOut(const DeleteModel &operation) -> void;
    auto carryOut(const PutService &operation) -> void;
    auto carryOut(const DeleteService &operation) -> void;
    auto decideChange(const ConfigChange &command) const -> absl::Status;
    auto describeWinner(Revision expected) const -> std::string;
    auto rememberChange(ChangeResult result) -> void;

    auto checkRegistration(const EndpointSpec &spec) const -> absl::Status;
    auto checkReturn(const EndpointRow &row, const EndpointSpec &spec) const -> absl::Status;
    /// @return MiB that the endpoint holds once this announcement is applied
    auto memoryKeptMb(const EndpointSpec &spec) const -> std::uint64_t;
    auto startNewLife(const EndpointId &endpoint) -> void;
    auto doubtOrders(const EndpointId &endpoint) -> void;

    auto checkOrder(const OrderIntent &intent) const -> absl::Status;
    auto checkLoad(const OrderIntent &intent, const EndpointRow &endpoint) const -> absl::Status;
    auto checkUnload(const OrderIntent &intent) const -> absl::Status;
    auto checkBase(const OrderIntent &intent, const ModelSpec &model) const -> absl::Status;
    auto raiseFence(Fence fence) -> void;
    auto setOrder(ReplicaRow &row, const OrderIntent &intent, LogIndex index) -> void;
    auto settleLoading(ReplicaRow &row, const OrderOutcome &outcome) -> void;
    auto settleReady(const ReplicaRow &row, const OrderOutcome &outcome) -> absl::Status;
    auto settleUnloading(ReplicaRow &row, const OrderOutcome &outcome) -> void;
    auto eraseReplica(const ReplicaKey &key) -> void;
    auto checkMemory(const EndpointId &endpoint) const -> void;

    auto takeAnew(const TakeClaim &command) -> Applied;
    /// Makes a router's claims Unknown, from their deadline or a later time on.
    auto loseClaims(const NodeId &router, Millis at) -> void;
    auto endClaim(ClaimRow &row, ClaimState state, Millis at) -> void;
    auto storeAnswer(ClaimRow &row, const EndClaim &command) -> void;
    auto eraseClaim(const IdempotencyKey &key) -> void;

    template<typename Archive>
    auto archiveAll(Archive &archive) -> void;
    auto rebuildIndexes() -> absl::Status;

    LogIndex appliedIndex_;
    Configuration configuration_;
    std::map<NodeId, RouterRow> routers_;
    std::map<EndpointId, EndpointRow> endpoints_;
    std::map<ReplicaKey, ReplicaRow> replicas_;
    std::map<IdempotencyKey, ClaimRow> claims_;
    std::map<ChangeId, ChangeResult> changes_;
    std::deque<ChangeId> changeOrder_; ///< Oldest first; bounds changes_.
    Fence highestFence_;

    // Derived from the above, so that applying follows what a command touches.
    using ClaimTime = std::pair<Millis, IdempotencyKey>;
    std::map<EndpointId, std::map<ModelId, std::uint64_t>> heldMb_; ///< By endpoint and model.
    std::map<OrderId, ReplicaKey> orders_;                          ///< Last orders.
    std::map<std::string, EndpointId> addresses_;
    std::set<ClaimTime> takenByDeadline_; ///< Claims in state Taken.
    std::set<ClaimTime> endedByTime_;     ///< All others.
    std::size_t answerBytes_ = 0;
};

} // namespace figrack::state

#endif // FIGRACK_STATE_TABLES_H
