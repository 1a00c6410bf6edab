// The tables are ordered maps: keys are short, tables are small (thousands of rows), and an order
// that does not depend on hashing keeps decisions identical on every machine. Every change of an
// endpoint's memory is enclosed by unindex() and index().

#include "policy/fleet.h"

#include <algorithm>

namespace figrack::policy {

auto EndpointRow::heldMb() const -> std::uint64_t
{
    return std::max(info.heldMb, replicasMb) + reservedMb;
}

auto EndpointRow::freeMb() const -> std::uint64_t
{
    const auto held = heldMb();
    return held < info.memoryMb ? info.memoryMb - held : 0;
}

auto Fleet::unindex(const EndpointId &id, const EndpointRow &row) -> void
{
    byFree_.erase({ row.freeMb(), id });
}

auto Fleet::index(const EndpointId &id, const EndpointRow &row) -> void
{
    if (row.info.usable && !row.info.draining)
        byFree_.insert({ row.freeMb(), id });
    if (row.releasingMb > 0)
        releasing_.insert(id);
    else
        releasing_.erase(id);
}

auto Fleet::setModel(const ModelInfo &model) -> void
{
    auto &row = models_[model.id];
    if (row.known && row.info.base != model.base)
        if (auto *base = findModel(row.info.base))
            base->adapters.erase(model.id);
    row.info = model;
    row.known = true;
    if (!model.base.empty())
        models_[model.base].adapters.insert(model.id);
    for (auto &[endpoint, replica] : row.replicas) {
        auto &holder = endpoints_[endpoint];
        unindex(endpoint, holder);
        holder.replicasMb += model.memoryMb - replica.memoryMb;
        if (replica.info.phase == ReplicaPhase::Unloading)
            holder.releasingMb += model.memoryMb - replica.memoryMb;
        replica.memoryMb = model.memoryMb;
        index(endpoint, holder);
    }
}

auto Fleet::eraseIfUnused(const ModelId &id) -> void
{
    const auto found = models_.find(id);
    if (found == models_.end() || found->second.known)
        return;
    if (found->second.replicas.empty() && found->second.adapters.empty())
        models_.erase(found);
}

auto Fleet::removeModel(const ModelId &id) -> void
{
    auto *row = findModel(id);
    if (row == nullptr)
        return;
    row->known = false;
    row->demand.clear();
    while (!row->cached.empty())
        uncache(*row, EndpointId { row->cached.begin()->first });
    const auto base = row->info.base;
    if (auto *baseRow = findModel(base); baseRow != nullptr)
        baseRow->adapters.erase(id);
    eraseIfUnused(base);
    eraseIfUnused(id);
}

auto Fleet::setEndpoint(const EndpointInfo &endpoint) -> void
{
    auto &row = endpoints_[endpoint.id];
    unindex(endpoint.id, row);
    row.info = endpoint;
    index(endpoint.id, row);
}

auto Fleet::removeEndpoint(const EndpointId &id) -> void
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    const auto models = found->second.models;
    for (const auto &model : models)
        removeReplica(model, id);
    // Its caches are gone too. Endpoints leave rarely, so walking all models is acceptable.
    for (auto &[model, row] : models_)
        uncache(row, id);
    unindex(id, endpoints_[id]);
    releasing_.erase(id);
    endpoints_.erase(id);
}

auto Fleet::setCached(const EndpointId &endpoint, const ModelId &model, Tier tier) -> void
{
    auto *row = findModel(model);
    if (row == nullptr)
        return;
    uncache(*row, endpoint);
    const auto holder = endpoints_.find(endpoint);
    if (tier == Tier::Remote || holder == endpoints_.end())
        return;
    countSole(*row, false);
    row->cached[endpoint] = { tier, row->info.memoryMb };
    countSole(*row, true);
}

/// Adds or subtracts the size of a model's cached copy if there is exactly one.
auto Fleet::countSole(const ModelRow &model, bool add) -> void
{
    if (model.cached.size() != 1)
        return;
    const auto &[endpoint, cached] = *model.cached.begin();
    const auto holder = endpoints_.find(endpoint);
    if (holder == endpoints_.end())
        return;
    if (add)
        holder->second.soleMb += cached.memoryMb;
    else
        holder->second.soleMb -= cached.memoryMb;
}

auto Fleet::uncache(ModelRow &model, const EndpointId &endpoint) -> void
{
    const auto found = model.cached.find(endpoint);
    if (found == model.cached.end())
        return;
    countSole(model, false);
    model.cached.erase(found);
    countSole(model, true);
}

auto Fleet::setReplica(const ReplicaInfo &replica, Millis now) -> void
{
    auto &model = models_[replica.model];
    auto &holder = endpoints_[replica.endpoint];
    if (holder.info.id.empty()) {
        // Not announced yet: it holds replicas but receives none.
        holder.info.id = replica.endpoint;
        holder.info.usable = false;
    }
    unindex(replica.endpoint, holder);
    const auto inserted = model.replicas.try_emplace(replica.endpoint);
    auto &row = inserted.first->second;
    if (inserted.second) {
        row.from = tierAt(model, replica.endpoint);
        row.memoryMb = model.info.memoryMb;
        row.since = now;
        holder.replicasMb += row.memoryMb;
        holder.models.insert(replica.model);
    } else if (row.info.phase == ReplicaPhase::Unloading) {
        holder.releasingMb -= row.memoryMb;
    }
    row.info = replica;
    if (replica.phase != ReplicaPhase::Ready || replica.running + replica.waiting > 0)
        setBusy({ replica.model, replica.endpoint });
    if (replica.phase == ReplicaPhase::Unloading)
        holder.releasingMb += row.memoryMb;
    const auto inFlight
            = replica.phase == ReplicaPhase::Loading || replica.phase == ReplicaPhase::InDoubt;
    if (inFlight && row.from == Tier::Remote)
        storeLoads_.insert({ replica.model, replica.endpoint });
    else
        storeLoads_.erase({ replica.model, replica.endpoint });
    index(replica.endpoint, holder);
}

auto Fleet::removeReplica(const ModelId &model, const EndpointId &endpoint) -> void
{
    auto *row = findModel(model);
    if (row == nullptr)
        return;
    const auto found = row->replicas.find(endpoint);
    if (found == row->replicas.end())
        return;
    setBusy({ model, endpoint });
    auto &holder = endpoints_[endpoint];
    unindex(endpoint, holder);
    holder.replicasMb -= found->second.memoryMb;
    if (found->second.info.phase == ReplicaPhase::Unloading)
        holder.releasingMb -= found->second.memoryMb;
    holder.models.erase(model);
    index(endpoint, holder);
    row->replicas.erase(found);
    storeLoads_.erase({ model, endpoint });
    eraseIfUnused(model);
}

auto Fleet::setIdle(const ReplicaKey &key, double worth) -> void
{
    setBusy(key);
    auto *row = findModel(key.first);
    if (row == nullptr)
        return;
    const auto found = row->replicas.find(key.second);
    if (found == row->replicas.end())
        return;
    found->second.keepWorth = std::max(worth, 0.0);
    idle_.insert({ found->second.keepWorth, key });
}

auto Fleet::setBusy(const ReplicaKey &key) -> void
{
    auto *row = findModel(key.first);
    if (row == nullptr)
        return;
    const auto found = row->replicas.find(key.second);
    if (found == row->replicas.end() || found->second.keepWorth < 0)
        return;
    idle_.erase({ found->second.keepWorth, key });
    found->second.keepWorth = -1;
}

auto Fleet::reserve(const ModelId &model, const EndpointId &endpoint) -> void
{
    if (!reserved_.insert({ model, endpoint }).second)
        return;
    auto &row = endpoints_[endpoint];
    unindex(endpoint, row);
    row.reservedMb += models_[model].info.memoryMb;
    index(endpoint, row);
}

auto Fleet::releaseReserved() -> void
{
    for (const auto &[model, endpoint] : reserved_) {
        auto &row = endpoints_[endpoint];
        unindex(endpoint, row);
        row.reservedMb = 0;
        index(endpoint, row);
    }
    reserved_.clear();
}

auto Fleet::hasOrReserved(const ModelRow &model, const EndpointId &endpoint) const -> bool
{
    return model.replicas.count(endpoint) > 0 || reserved_.count({ model.info.id, endpoint }) > 0;
}

auto Fleet::findModel(const ModelId &id) -> ModelRow *
{
    const auto found = models_.find(id);
    return found == models_.end() ? nullptr : &found->second;
}

auto Fleet::findModel(const ModelId &id) const -> const ModelRow *
{
    const auto found = models_.find(id);
    return found == models_.end() ? nullptr : &found->second;
}

auto Fleet::findEndpoint(const EndpointId &id) const -> const EndpointRow *
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

auto Fleet::counts(const ModelRow &model) const -> ReplicaCounts
{
    auto result = ReplicaCounts {};
    for (const auto &[endpoint, replica] : model.replicas) {
        const auto *holder = findEndpoint(endpoint);
        if (holder == nullptr || !holder->info.usable || holder->info.draining)
            continue;
        if (replica.info.phase == ReplicaPhase::Ready)
            ++result.ready;
        if (replica.info.phase == ReplicaPhase::Loading)
            ++result.loading;
    }
    return result;
}

auto Fleet::tierAt(const ModelRow &model, const EndpointId &endpoint) const -> Tier
{
    const auto found = model.cached.find(endpoint);
    return found == model.cached.end() ? Tier::Remote : found->second.tier;
}

auto Fleet::baseOf(const ModelRow &model) const -> const ModelRow *
{
    if (model.info.base.empty())
        return nullptr;
    const auto *base = findModel(model.info.base);
    return base != nullptr && base->known ? base : nullptr;
}

} // namespace figrack::policy
