// Applying is one visitor over the command, an overload a command: routers and
// endpoints here, the rest in tablesconfig.cpp, tablesorders.cpp and
// tablesclaims.cpp. Each overload first decides by const check functions and then
// changes the tables, so that a refused command leaves them as they were.
//
// Ordered maps give a snapshot its stable bytes. What is derived from them (memory
// held, the orders' index, the claims by time) is not in the snapshot but rebuilt,
// and a snapshot that breaks an invariant is refused.

#include "state/tables.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/check.h"
#include "core/serial.h"

namespace figrack::state {
namespace {

constexpr auto snapshotFormat = std::uint8_t { 1 };

/// Everything a snapshot holds, in its order of encoding.
struct SnapshotImage
{
    std::uint8_t format = 0;
    LogIndex appliedIndex;
    Configuration configuration;
    std::map<NodeId, RouterRow> routers;
    std::map<EndpointId, EndpointRow> endpoints;
    std::map<ReplicaKey, ReplicaRow> replicas;
    std::vector<ChangeResult> changes; ///< Oldest first.
    Fence highestFence;
    std::map<IdempotencyKey, ClaimRow> claims;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(format, appliedIndex, configuration, routers, endpoints, replicas, changes,
                highestFence, claims);
    }
};

auto refused(ErrorKind kind, const std::string &argument) -> Applied
{
    return Applied { makeError(kind, argument), std::nullopt, std::nullopt, std::nullopt };
}

} // namespace

auto replicaStateName(ReplicaState state) -> std::string_view
{
    switch (state) {
    case ReplicaState::Loading:
        return "loading";
    case ReplicaState::Ready:
        return "ready";
    case ReplicaState::Unloading:
        return "unloading";
    }
    return "loading";
}

auto Tables::apply(const Command &command, LogIndex index) -> Applied
{
    FIGRACK_CHECK(index > appliedIndex_, "entries are applied once and in order");
    appliedIndex_ = index;
    return std::visit([this, index](const auto &one) { return applyCommand(one, index); }, command);
}

auto Tables::applyCommand(const RegisterRouter &command, LogIndex /*index*/) -> Applied
{
    if (command.node.empty())
        return refused(ErrorKind::BadRequest, "a router without a name");
    const auto found = routers_.find(command.node);
    if (found == routers_.end()) {
        routers_.emplace(command.node, RouterRow { command, {}, false });
        return {};
    }
    auto &row = found->second;
    const auto before = row.registered.incarnation;
    if (command.incarnation != before && command.incarnation == row.former) {
        return refused(ErrorKind::Conflict,
                       fmt::format("router={} is registered with a later incarnation={}",
                                   command.node.value(), before.value()));
    }
    if (command.incarnation != before) {
        loseClaims(command.node, command.at);
        row.former = before;
        row.draining = false;
    }
    row.registered = command;
    return {};
}

auto Tables::applyCommand(const DrainRouter &command, LogIndex /*index*/) -> Applied
{
    const auto found = routers_.find(command.node);
    if (found == routers_.end() || found->second.registered.incarnation != command.incarnation)
        return refused(ErrorKind::UnknownNode, "router=" + command.node.value());
    found->second.draining = command.draining;
    return {};
}

auto Tables::applyCommand(const RemoveRouter &command, LogIndex /*index*/) -> Applied
{
    const auto found = routers_.find(command.node);
    if (found == routers_.end() || found->second.registered.incarnation != command.incarnation)
        return refused(ErrorKind::UnknownNode, "router=" + command.node.value());
    loseClaims(command.node, 0);
    routers_.erase(found);
    return {};
}

auto Tables::applyCommand(const RegisterEndpoint &command, LogIndex /*index*/) -> Applied
{
    const auto &spec = command.spec;
    if (auto status = checkRegistration(spec); !status.ok())
        return Applied { std::move(status), std::nullopt, std::nullopt, std::nullopt };
    auto &row = endpoints_[spec.id];
    if (spec.incarnation != row.spec.incarnation) {
        startNewLife(spec.id);
        row.draining = false;
        row.suspected = false;
    }
    addresses_.erase(row.spec.address);
    addresses_[spec.address] = spec.id;
    row.spec = spec;
    row.changedAt = command.at;
    checkMemory(spec.id);
    return {};
}

auto Tables::checkRegistration(const EndpointSpec &spec) const -> absl::Status
{
    constexpr auto maxMemoryMb = std::uint64_t { 1 } << 40;
    if (spec.id.empty() || spec.address.empty())
        return makeError(ErrorKind::BadRequest, "an endpoint without a name or an address");
    if (spec.memoryMb > maxMemoryMb)
        return makeError(ErrorKind::BadRequest, "memory_mb is out of range");
    const auto holder = addresses_.find(spec.address);
    if (holder != addresses_.end() && holder->second != spec.id) {
        return makeError(ErrorKind::Conflict,
                         fmt::format("address={} belongs to endpoint={}", spec.address,
                                     holder->second.value()));
    }
    const auto found = endpoints_.find(spec.id);
    return found == endpoints_.end() ? absl::OkStatus() : checkReturn(found->second, spec);
}

// A life that came later may take over from the same address, since two processes
// cannot listen there; from another address only once the earlier one is silent.
auto Tables::checkReturn(const EndpointRow &row, const EndpointSpec &spec) const -> absl::Status
{
    const auto &id = spec.id.value();
    const auto sameAddress = row.spec.address == spec.address;
    const auto sameLife = spec.incarnation == row.spec.incarnation;
    if (spec.incarnation < row.spec.incarnation) {
        return makeError(ErrorKind::Conflict,
                         fmt::format("endpoint={} is registered with a later incarnation={}", id,
                                     row.spec.incarnation.value()));
    }
    if (sameLife && !sameAddress)
        return makeError(ErrorKind::Conflict, fmt::format("endpoint={} has moved", id));
    if (!sameAddress && !row.suspected)
        return makeError(ErrorKind::Conflict, fmt::format("endpoint={} is live elsewhere", id));
    if (spec.memoryMb < memoryKeptMb(spec))
        return makeError(ErrorKind::InUse, fmt::format("endpoint={} needs more memory", id));
    return absl::OkStatus();
}

auto Tables::memoryKeptMb(const EndpointSpec &spec) const -> std::uint64_t
{
    if (endpoints_.at(spec.id).spec.incarnation == spec.incarnation)
        return memoryHeldMb(spec.id);
    const auto held = heldMb_.find(spec.id);
    auto sum = std::uint64_t { 0 };
    if (held == heldMb_.end())
        return sum;
    for (const auto &[model, memory] : held->second) {
        if (replicas_.at(ReplicaKey { model, spec.id }).state == ReplicaState::Loading)
            sum += memory;
    }
    return sum;
}

// The engine came back empty, but an order written to a connection before may still
// reach it: loads whose order is not settled go on holding their memory.
auto Tables::startNewLife(const EndpointId &endpoint) -> void
{
    auto gone = std::vector<ReplicaKey> {};
    for (const auto &[model, memory] : heldMb_[endpoint]) {
        const auto key = ReplicaKey { model, endpoint };
        if (replicas_.at(key).state != ReplicaState::Loading)
            gone.push_back(key);
    }
    for (const auto &key : gone)
        eraseReplica(key);
    doubtOrders(endpoint);
}

auto Tables::doubtOrders(const EndpointId &endpoint) -> void
{
    const auto held = heldMb_.find(endpoint);
    if (held == heldMb_.end())
        return;
    for (const auto &[model, memory] : held->second) {
        auto &row = replicas_.at(ReplicaKey { model, endpoint });
        if (row.state != ReplicaState::Ready)
            row.inDoubt = true;
    }
}

auto Tables::applyCommand(const DrainEndpoint &command, LogIndex /*index*/) -> Applied
{
    const auto found = endpoints_.find(command.endpoint);
    if (found == endpoints_.end())
        return refused(ErrorKind::UnknownEndpoint, "endpoint=" + command.endpoint.value());
    found->second.draining = command.draining;
    found->second.changedAt = command.at;
    return {};
}

auto Tables::applyCommand(const SuspectEndpoint &command, LogIndex /*index*/) -> Applied
{
    const auto found = endpoints_.find(command.endpoint);
    if (found == endpoints_.end() || found->second.spec.incarnation != command.incarnation)
        return refused(ErrorKind::UnknownEndpoint, "endpoint=" + command.endpoint.value());
    found->second.suspected = command.suspected;
    found->second.changedAt = command.at;
    if (command.suspected)
        doubtOrders(command.endpoint);
    return {};
}

auto Tables::applyCommand(const ForgetEndpoint &command, LogIndex /*index*/) -> Applied
{
    const auto found = endpoints_.find(command.endpoint);
    if (found == endpoints_.end() || found->second.spec.incarnation != command.incarnation)
        return refused(ErrorKind::UnknownEndpoint, "endpoint=" + command.endpoint.value());
    if (!found->second.suspected) {
        return refused(ErrorKind::InUse,
                       fmt::format("endpoint={} is not suspected", command.endpoint.value()));
    }
    auto gone = std::vector<ReplicaKey> {};
    for (const auto &[model, memory] : heldMb_[command.endpoint])
        gone.emplace_back(model, command.endpoint);
    for (const auto &key : gone)
        eraseReplica(key);
    heldMb_.erase(command.endpoint);
    addresses_.erase(found->second.spec.address);
    endpoints_.erase(found);
    return {};
}

auto Tables::skipTo(LogIndex index) -> void
{
    appliedIndex_ = std::max(appliedIndex_, index);
}

auto Tables::snapshot(bool withClaims) const -> std::string
{
    auto changes = std::vector<ChangeResult> {};
    changes.reserve(changeOrder_.size());
    for (const auto &change : changeOrder_)
        changes.push_back(changes_.at(change));
    static const auto noClaims = std::map<IdempotencyKey, ClaimRow> {};
    auto output = ByteOutput {};
    output(snapshotFormat, appliedIndex_, configuration_, routers_, endpoints_, replicas_, changes,
           highestFence_, withClaims ? claims_ : noClaims);
    return output.take();
}

auto Tables::restore(std::string_view bytes) -> absl::Status
{
    auto image = SnapshotImage {};
    if (auto status = deserialize(bytes, image); !status.ok())
        return status;
    if (image.format != snapshotFormat)
        return makeError(ErrorKind::Malformed, "a snapshot of another format");
    auto next = Tables {};
    next.appliedIndex_ = image.appliedIndex;
    next.configuration_ = std::move(image.configuration);
    next.routers_ = std::move(image.routers);
    next.endpoints_ = std::move(image.endpoints);
    next.replicas_ = std::move(image.replicas);
    next.claims_ = std::move(image.claims);
    next.highestFence_ = image.highestFence;
    for (auto &result : image.changes)
        next.rememberChange(std::move(result));
    if (auto status = next.rebuildIndexes(); !status.ok())
        return status;
    *this = std::move(next);
    return absl::OkStatus();
}

auto Tables::rebuildIndexes() -> absl::Status
{
    for (const auto &[id, row] : endpoints_) {
        if (!addresses_.emplace(row.spec.address, id).second)
            return makeError(ErrorKind::Malformed, "two endpoints have one address");
    }
    for (const auto &[key, row] : replicas_) {
        if (!endpoints_.contains(key.second) || !orders_.emplace(row.order, key).second)
            return makeError(ErrorKind::Malformed, "a replica without an endpoint or an order");
        heldMb_[key.second][key.first] = row.memoryMb;
    }
    for (const auto &[id, row] : endpoints_) {
        if (memoryHeldMb(id) > row.spec.memoryMb)
            return makeError(ErrorKind::Malformed, "an endpoint's memory is overcommitted");
    }
    for (const auto &[key, row] : claims_) {
        const auto taken = row.state == ClaimState::Taken;
        (taken ? takenByDeadline_ : endedByTime_)
                .emplace(taken ? row.taken.deadline : row.ended.at, key);
        answerBytes_ += row.ended.answer.size();
    }
    return absl::OkStatus();
}

} // namespace figrack::state
