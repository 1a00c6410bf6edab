// Queries run under a shared lock directly on the ordered tables. The replicas of
// one model are adjacent, so a lookup costs one tree descent plus the rows it
// returns. Code that queries often caches the result until version() changes. A
// batch is applied under the exclusive lock.

#include "router/view.h"

#include <algorithm>
#include <mutex>

#include "core/check.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::router {
namespace {

/// Weight of the latest load time in the moving average.
constexpr auto loadMeanWeight = 0.25;

auto hasLargeEnoughEngine(const state::Tables &tables, const ModelId &model) -> bool
{
    const auto need = tables.replicaMemoryMb(model);
    const auto &endpoints = tables.endpoints();
    return std::any_of(endpoints.begin(), endpoints.end(), [need](const auto &entry) {
        const auto &row = entry.second;
        return row.spec.kind == state::EndpointKind::Engine && !row.draining && !row.suspected
                && row.spec.memoryMb >= need;
    });
}

} // namespace

View::View(NodeId self, std::uint32_t serviceSlots)
    : self_(std::move(self))
    , serviceSlots_(serviceSlots)
{ }

auto View::changed() -> void
{
    version_.fetch_add(1, std::memory_order_acq_rel);
}

auto View::apply(const proto::FeedBatch &batch) -> absl::Status
{
    const auto lock = std::unique_lock { mutex_ };
    const auto before = tables_.configuration().revision;
    if (!batch.snapshot.empty()) {
        auto fresh = state::Tables {};
        if (auto status = fresh.restore(batch.snapshot); !status.ok())
            return status;
        // A snapshot from a control that lags behind the previous source must not revert the
        // tables to an older state.
        if (fresh.appliedIndex() >= tables_.appliedIndex())
            tables_ = std::move(fresh);
    }
    auto status = absl::OkStatus();
    for (const auto &entry : batch.entries) {
        status = applyOne(entry);
        if (!status.ok())
            break;
    }
    if (status.ok() && batch.upTo > tables_.appliedIndex())
        tables_.skipTo(batch.upTo);
    FIGRACK_CHECK(tables_.configuration().revision >= before,
                  "an accepted configuration never reverts");
    byAddress_.clear();
    for (const auto &[id, row] : tables_.endpoints())
        byAddress_[row.spec.address] = id;
    std::erase_if(announcedDraining_, [this](const auto &entry) {
        const auto row = tables_.endpoints().find(entry.first);
        return row == tables_.endpoints().end() || row->second.spec.incarnation > entry.second;
    });
    changed();
    return status;
}

auto View::applyOne(const proto::FeedEntry &entry) -> absl::Status
{
    if (entry.index <= tables_.appliedIndex())
        return absl::OkStatus();
    auto command = state::decodeCommand(entry.command);
    if (!command.ok())
        return command.status();
    recordLoadTime(*command);
    (void)tables_.apply(*command, entry.index);
    return absl::OkStatus();
}

auto View::recordLoadTime(const state::Command &command) -> void
{
    const auto *outcome = std::get_if<state::OrderOutcome>(&command);
    if (outcome == nullptr || outcome->result != state::OrderResult::Loaded)
        return;
    for (const auto &[key, row] : tables_.replicas()) {
        if (row.order != outcome->order || row.state != state::ReplicaState::Loading)
            continue;
        const auto took
                = static_cast<double>(std::max<state::Millis>(outcome->at - row.orderedAt, 0));
        meanLoadMs_ = meanLoadMs_ == 0 ? took
                                       : meanLoadMs_ * (1 - loadMeanWeight) + took * loadMeanWeight;
        return;
    }
}

auto View::appliedIndex() const -> LogIndex
{
    const auto lock = std::shared_lock { mutex_ };
    return tables_.appliedIndex();
}

auto View::revision() const -> Revision
{
    const auto lock = std::shared_lock { mutex_ };
    return tables_.configuration().revision;
}

auto View::classSpec(const ClassId &id) const -> std::optional<state::ClassSpec>
{
    const auto lock = std::shared_lock { mutex_ };
    const auto &configuration = tables_.configuration();
    if (id.empty()) {
        const auto *spec = configuration.defaultClass();
        return spec == nullptr ? std::nullopt : std::optional { *spec };
    }
    const auto found = configuration.classes.find(id);
    if (found == configuration.classes.end())
        return std::nullopt;
    return found->second;
}

auto View::model(const ModelId &id) const -> std::optional<state::ModelSpec>
{
    const auto lock = std::shared_lock { mutex_ };
    const auto found = tables_.configuration().models.find(id);
    if (found == tables_.configuration().models.end())
        return std::nullopt;
    return found->second;
}

auto View::service(const ServiceId &id) const -> std::optional<state::ServiceSpec>
{
    const auto lock = std::shared_lock { mutex_ };
    const auto found = tables_.configuration().services.find(id);
    if (found == tables_.configuration().services.end())
        return std::nullopt;
    return found->second;
}

auto View::models() const -> std::vector<state::ModelSpec>
{
    const auto lock = std::shared_lock { mutex_ };
    auto out = std::vector<state::ModelSpec> {};
    for (const auto &[id, spec] : tables_.configuration().models)
        out.push_back(spec);
    return out;
}

auto View::usable(const state::EndpointRow &row) const -> bool
{
    if (row.draining || row.suspected)
        return false;
    const auto announced = announcedDraining_.find(row.spec.id);
    return announced == announcedDraining_.end() || announced->second != row.spec.incarnation;
}

auto View::isUsable(const EndpointId &id) const -> bool
{
    const auto lock = std::shared_lock { mutex_ };
    const auto row = tables_.endpoints().find(id);
    return row != tables_.endpoints().end() && usable(row->second);
}

auto View::target(const Target &target) const -> TargetView
{
    const auto lock = std::shared_lock { mutex_ };
    auto out = TargetView {};
    if (target.isService())
        serviceTarget(target.service, out);
    else
        modelTarget(target.model, out);
    return out;
}

auto View::modelTarget(const ModelId &model, TargetView &out) const -> void
{
    const auto spec = tables_.configuration().models.find(model);
    if (spec == tables_.configuration().models.end()) {
        out.canEverLoad = false;
        return;
    }
    out.slots = std::max(spec->second.slots, 1U);
    const auto &replicas = tables_.replicas();
    auto entry = replicas.lower_bound(state::ReplicaKey { model, EndpointId {} });
    for (; entry != replicas.end() && entry->first.first == model; ++entry) {
        const auto &replica = entry->second;
        const auto endpoint = tables_.endpoints().find(replica.endpoint);
        if (endpoint == tables_.endpoints().end() || !usable(endpoint->second))
            continue;
        if (replica.state == state::ReplicaState::Loading) {
            ++out.loading;
            if (out.nextReadyWall == 0 || replica.readyAt < out.nextReadyWall)
                out.nextReadyWall = replica.readyAt;
        }
        // A replica whose version differs from the configured one must not serve requests.
        if (replica.state != state::ReplicaState::Ready || replica.version != spec->second.version)
            continue;
        const auto address = parseAddress(endpoint->second.spec.address);
        if (!address.ok())
            continue;
        out.replicas.push_back(
                { model, replica.endpoint, policy::ReplicaPhase::Ready, replica.readyAt, 0, 0, 0 });
        out.candidates.push_back({ replica.endpoint, endpoint->second.spec.incarnation, *address,
                                   replica.orderedAt, replica.readyAt });
    }
    if (out.replicas.empty() && out.loading == 0)
        out.canEverLoad = hasLargeEnoughEngine(tables_, model);
}

auto View::serviceTarget(const ServiceId &service, TargetView &out) const -> void
{
    out.slots = serviceSlots_;
    const auto key = Target { {}, service }.queueKey();
    for (const auto &[id, row] : tables_.endpoints()) {
        if (row.spec.kind != state::EndpointKind::Service || row.spec.service != service)
            continue;
        const auto address = parseAddress(row.spec.address);
        if (!usable(row) || !address.ok())
            continue;
        out.replicas.push_back({ key, id, policy::ReplicaPhase::Ready, 0, 0, 0, 0 });
        out.candidates.push_back({ id, row.spec.incarnation, *address });
    }
    out.canEverLoad = !out.replicas.empty();
}

auto View::endpoint(const EndpointId &id) const -> std::optional<state::EndpointRow>
{
    const auto lock = std::shared_lock { mutex_ };
    const auto row = tables_.endpoints().find(id);
    if (row == tables_.endpoints().end())
        return std::nullopt;
    return row->second;
}

auto View::endpointAt(const std::string &address) const -> std::optional<state::EndpointRow>
{
    const auto lock = std::shared_lock { mutex_ };
    const auto found = byAddress_.find(address);
    if (found == byAddress_.end())
        return std::nullopt;
    const auto row = tables_.endpoints().find(found->second);
    if (row == tables_.endpoints().end())
        return std::nullopt;
    return row->second;
}

auto View::routers(const DomainId &nearest) const -> std::vector<RouterAddress>
{
    const auto lock = std::shared_lock { mutex_ };
    auto out = std::vector<RouterAddress> {};
    for (const auto &[id, row] : tables_.routers()) {
        if (row.draining || (id == self_ && selfLeaving_))
            continue;
        out.push_back({ id, row.registered.domain, row.registered.callerAddress });
    }
    std::stable_partition(out.begin(), out.end(), [&nearest](const RouterAddress &router) {
        return router.domain == nearest;
    });
    return out;
}

auto View::otherRouters() const -> std::vector<std::string>
{
    auto out = std::vector<std::string> {};
    for (const auto &router : routers({})) {
        if (router.id != self_)
            out.push_back(router.address);
    }
    return out;
}

auto View::selfDraining() const -> bool
{
    const auto lock = std::shared_lock { mutex_ };
    const auto row = tables_.routers().find(self_);
    return row != tables_.routers().end() && row->second.draining;
}

auto View::isRegistered(Incarnation incarnation) const -> bool
{
    const auto lock = std::shared_lock { mutex_ };
    const auto row = tables_.routers().find(self_);
    return row != tables_.routers().end() && row->second.registered.incarnation == incarnation;
}

auto View::setSelfLeaving() -> void
{
    const auto lock = std::unique_lock { mutex_ };
    selfLeaving_ = true;
    changed();
}

auto View::setAnnouncedDraining(const EndpointId &id, Incarnation incarnation, bool draining)
        -> void
{
    const auto lock = std::unique_lock { mutex_ };
    const auto found = announcedDraining_.find(id);
    const auto known = found != announcedDraining_.end();
    if (draining && (!known || found->second < incarnation)) {
        // Unknown endpoints are ignored, which bounds the map. They receive no work anyway.
        if (tables_.endpoints().count(id) == 0)
            return;
        announcedDraining_[id] = incarnation;
        changed();
    } else if (!draining && known && found->second <= incarnation) {
        announcedDraining_.erase(found);
        changed();
    }
}

auto View::meanLoadMs() const -> std::int64_t
{
    const auto lock = std::shared_lock { mutex_ };
    return static_cast<std::int64_t>(meanLoadMs_);
}

} // namespace figrack::router
