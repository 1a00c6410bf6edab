// Orders to endpoints: intent, then outcome.
//
// A load's row, and with it the memory, stands from its intent on, and goes only by
// an outcome that says the memory is free. Fences rise with the leaders' terms: the
// first intent of a later one puts every unsettled order of earlier ones in doubt,
// and a load in doubt may be ordered anew by the later leader under a fence of its
// own, which is how it adopts what an earlier one decided.

#include "state/tables.h"

#include <fmt/format.h>

#include "core/check.h"

namespace figrack::state {
namespace {

auto describe(const ModelId &model, const EndpointId &endpoint) -> std::string
{
    return fmt::format("model={} endpoint={}", model.value(), endpoint.value());
}

} // namespace

auto Tables::findOrder(OrderId order) const -> const ReplicaRow *
{
    const auto found = orders_.find(order);
    return found == orders_.end() ? nullptr : &replicas_.at(found->second);
}

auto Tables::modelsOn(const EndpointId &endpoint) const -> const std::map<ModelId, std::uint64_t> &
{
    static const auto none = std::map<ModelId, std::uint64_t> {};
    const auto found = heldMb_.find(endpoint);
    return found == heldMb_.end() ? none : found->second;
}

auto Tables::memoryHeldMb(const EndpointId &endpoint) const -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto &[model, memory] : modelsOn(endpoint))
        sum += memory;
    return sum;
}

auto Tables::applyCommand(const OrderIntent &command, LogIndex index) -> Applied
{
    if (auto status = checkOrder(command); !status.ok())
        return Applied { std::move(status), std::nullopt, std::nullopt, std::nullopt };
    raiseFence(command.fence);
    const auto key = ReplicaKey { command.model, command.endpoint };
    const auto [position, added] = replicas_.try_emplace(key);
    auto &row = position->second;
    if (added) {
        row.model = command.model;
        row.version = command.version;
        row.endpoint = command.endpoint;
        row.memoryMb = replicaMemoryMb(command.model);
        heldMb_[command.endpoint][command.model] = row.memoryMb;
    }
    setOrder(row, command, index);
    checkMemory(command.endpoint);
    return Applied { absl::OkStatus(), std::nullopt, std::nullopt, key };
}

auto Tables::checkOrder(const OrderIntent &intent) const -> absl::Status
{
    if (intent.fence < highestFence_) {
        return makeError(
                ErrorKind::StaleFence,
                fmt::format("fence={} highest={}", intent.fence.value(), highestFence_.value()));
    }
    const auto endpoint = endpoints_.find(intent.endpoint);
    if (endpoint == endpoints_.end())
        return makeError(ErrorKind::UnknownEndpoint, "endpoint=" + intent.endpoint.value());
    const auto &row = endpoint->second;
    if (row.spec.incarnation != intent.incarnation) {
        return makeError(ErrorKind::Conflict,
                         fmt::format("endpoint={} has another incarnation={}",
                                     intent.endpoint.value(), row.spec.incarnation.value()));
    }
    if (row.suspected) {
        return makeError(ErrorKind::NoCapacity,
                         fmt::format("endpoint={} is suspected", intent.endpoint.value()));
    }
    return intent.action == OrderAction::Load ? checkLoad(intent, row) : checkUnload(intent);
}

auto Tables::checkLoad(const OrderIntent &intent, const EndpointRow &endpoint) const -> absl::Status
{
    const auto model = configuration_.models.find(intent.model);
    if (model == configuration_.models.end())
        return makeError(ErrorKind::UnknownModel, "model=" + intent.model.value());
    if (model->second.version != intent.version) {
        return makeError(ErrorKind::Conflict,
                         fmt::format("model={} has version={}", intent.model.value(),
                                     model->second.version));
    }
    if (endpoint.draining || endpoint.spec.kind != EndpointKind::Engine) {
        return makeError(ErrorKind::NoCapacity,
                         fmt::format("endpoint={} takes no loads", intent.endpoint.value()));
    }
    const auto held = replicas_.find(ReplicaKey { intent.model, intent.endpoint });
    if (held != replicas_.end()) {
        const auto &row = held->second;
        const auto inDoubt = row.inDoubt || row.fence < intent.fence;
        if (row.state == ReplicaState::Loading && inDoubt && row.version == intent.version)
            return absl::OkStatus();
        return makeError(ErrorKind::Conflict,
                         describe(intent.model, intent.endpoint) + " is loaded already");
    }
    if (!model->second.base.empty()) {
        if (auto status = checkBase(intent, model->second); !status.ok())
            return status;
    }
    const auto need = replicaMemoryMb(intent.model);
    const auto used = memoryHeldMb(intent.endpoint);
    if (used + need > endpoint.spec.memoryMb) {
        return makeError(ErrorKind::NoCapacity,
                         fmt::format("endpoint={} holds {} of {} MiB and {} are needed",
                                     intent.endpoint.value(), used, endpoint.spec.memoryMb, need));
    }
    return absl::OkStatus();
}

auto Tables::checkBase(const OrderIntent &intent, const ModelSpec &model) const -> absl::Status
{
    const auto base = replicas_.find(ReplicaKey { model.base, intent.endpoint });
    if (base == replicas_.end() || base->second.state != ReplicaState::Ready) {
        return makeError(
                ErrorKind::Conflict,
                fmt::format("base {} is not ready", describe(model.base, intent.endpoint)));
    }
    return absl::OkStatus();
}

auto Tables::checkUnload(const OrderIntent &intent) const -> absl::Status
{
    const auto held = replicas_.find(ReplicaKey { intent.model, intent.endpoint });
    if (held == replicas_.end() || held->second.version != intent.version) {
        return makeError(ErrorKind::Conflict,
                         describe(intent.model, intent.endpoint) + " is not loaded");
    }
    const auto &row = held->second;
    const auto inDoubt = row.inDoubt || row.fence < intent.fence;
    if (row.state != ReplicaState::Ready && !inDoubt) {
        return makeError(ErrorKind::Conflict,
                         describe(intent.model, intent.endpoint) + " has an order under way");
    }
    const auto &models = configuration_.models;
    for (const auto &[other, memory] : heldMb_.at(intent.endpoint)) {
        const auto spec = models.find(other);
        if (spec != models.end() && spec->second.base == intent.model)
            return makeError(ErrorKind::InUse, "adapter " + describe(other, intent.endpoint));
    }
    return absl::OkStatus();
}

auto Tables::raiseFence(Fence fence) -> void
{
    FIGRACK_CHECK(fence >= highestFence_, "an order's fence is never below the highest seen");
    if (fence == highestFence_)
        return;
    highestFence_ = fence;
    for (auto &[key, row] : replicas_) {
        if (row.state != ReplicaState::Ready)
            row.inDoubt = true;
    }
}

auto Tables::setOrder(ReplicaRow &row, const OrderIntent &intent, LogIndex index) -> void
{
    const auto load = intent.action == OrderAction::Load;
    orders_.erase(row.order);
    row.order = OrderId { index.value() };
    orders_[row.order] = ReplicaKey { row.model, row.endpoint };
    row.state = load ? ReplicaState::Loading : ReplicaState::Unloading;
    row.fence = intent.fence;
    row.inDoubt = false;
    row.readyAt = load ? intent.readyAt : row.readyAt;
    row.orderedAt = intent.at;
    row.reason = intent.reason;
}

auto Tables::applyCommand(const OrderOutcome &command, LogIndex /*index*/) -> Applied
{
    const auto found = orders_.find(command.order);
    if (found == orders_.end()) {
        return Applied { makeError(ErrorKind::Conflict,
                                   fmt::format("order={} is settled", command.order.value())),
                         std::nullopt, std::nullopt, std::nullopt };
    }
    const auto key = found->second;
    auto &row = replicas_.at(key);
    auto applied = Applied { absl::OkStatus(), std::nullopt, std::nullopt, key };
    if (command.result == OrderResult::Unloaded)
        eraseReplica(key);
    else if (row.state == ReplicaState::Loading)
        settleLoading(row, command);
    else if (row.state == ReplicaState::Unloading)
        settleUnloading(row, command);
    else
        applied.status = settleReady(row, command);
    return applied;
}

auto Tables::settleLoading(ReplicaRow &row, const OrderOutcome &outcome) -> void
{
    if (outcome.result != OrderResult::Loaded) {
        eraseReplica(ReplicaKey { row.model, row.endpoint });
        return;
    }
    row.state = ReplicaState::Ready;
    row.inDoubt = false;
    row.readyAt = outcome.at;
}

auto Tables::settleReady(const ReplicaRow &row, const OrderOutcome &outcome) -> absl::Status
{
    if (outcome.result == OrderResult::Loaded)
        return absl::OkStatus();
    return makeError(ErrorKind::Conflict, fmt::format("order={} is settled", row.order.value()));
}

// An unload that was not taken, or whose model is still seen there, leaves it loaded.
auto Tables::settleUnloading(ReplicaRow &row, const OrderOutcome &outcome) -> void
{
    row.state = ReplicaState::Ready;
    row.inDoubt = false;
    row.readyAt = outcome.at;
}

auto Tables::eraseReplica(const ReplicaKey &key) -> void
{
    const auto found = replicas_.find(key);
    orders_.erase(found->second.order);
    heldMb_[key.second].erase(key.first);
    replicas_.erase(found);
}

auto Tables::checkMemory(const EndpointId &endpoint) const -> void
{
    FIGRACK_CHECK(memoryHeldMb(endpoint) <= endpoints_.at(endpoint).spec.memoryMb,
                  "accelerator memory is never overcommitted");
}

} // namespace figrack::state
