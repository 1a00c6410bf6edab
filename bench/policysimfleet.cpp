// The account is kept lazily: a replica's time since its last change is booked as
// idle or used whenever what decides that is about to change.

#include "bench/policysimfleet.h"

#include <fmt/format.h>

#include "core/check.h"

namespace figrack::bench {

using policy::ReplicaPhase;

SimFleet::SimFleet(const Scenario &scenario)
    : scenario_(scenario)
    , ready_(scenario.models.size())
    , endpointsOf_(scenario.models.size())
{
    for (auto i = std::uint32_t { 0 }; i < scenario.runners; ++i) {
        auto info = policy::EndpointInfo {};
        info.id = EndpointId { fmt::format("runner{:04}", i) };
        info.domain = DomainId { fmt::format("domain{:02}", i % scenario.domains) };
        info.memoryMb = scenario.memoryMb;
        info.accelerators = scenario.accelerators;
        endpointIds_[info.id] = i;
        endpoints_.push_back({ info, SimCache { scenario.diskMb, scenario.hostMemoryMb }, true });
    }
    for (auto i = std::uint32_t { 0 }; i < scenario.models.size(); ++i)
        modelIds_[scenario.models[i].info.id] = i;
}

auto SimFleet::find(SimKey key) -> SimReplica *
{
    const auto found = replicas_.find(key);
    return found == replicas_.end() ? nullptr : &found->second;
}

auto SimFleet::baseBeside(SimKey key) -> SimReplica *
{
    const auto &base = scenario_.models[modelOf(key)].info.base;
    return base.empty() ? nullptr : find(simKey(endpointOf(key), modelIds_.at(base)));
}

auto SimFleet::account(SimReplica &replica, Millis now) -> void
{
    const auto &endpoint = endpoints_[endpointOf(replica.key)].info;
    const auto memory = scenario_.models[modelOf(replica.key)].info.memoryMb;
    const auto weight = static_cast<double>(memory) / static_cast<double>(endpoint.memoryMb)
            * endpoint.accelerators;
    const auto span = weight * static_cast<double>(now - replica.accountedTo);
    if (replica.running.empty() && replica.beside == 0)
        idleMillis_ += span;
    else
        usedMillis_ += span;
    replica.accountedTo = now;
}

auto SimFleet::add(SimKey key, Millis now) -> SimReplica &
{
    auto &endpoint = endpoints_[endpointOf(key)].info;
    endpoint.heldMb += scenario_.models[modelOf(key)].info.memoryMb;
    FIGRACK_CHECK(endpoint.heldMb <= endpoint.memoryMb, "memory is never overcommitted");
    FIGRACK_CHECK(replicas_.count(key) == 0, "no model is loaded twice on one endpoint");
    auto &replica = replicas_[key];
    replica.key = key;
    replica.orderedAt = replica.accountedTo = replica.idleSince = now;
    endpointsOf_[modelOf(key)].insert(endpointOf(key));
    return replica;
}

auto SimFleet::remove(SimKey key, Millis now) -> void
{
    auto &replica = replicas_.at(key);
    account(replica, now);
    endpoints_[endpointOf(key)].info.heldMb -= scenario_.models[modelOf(key)].info.memoryMb;
    endpointsOf_[modelOf(key)].erase(endpointOf(key));
    replicas_.erase(key);
    rebuildReady(modelOf(key));
}

auto SimFleet::start(SimReplica &replica, std::uint32_t request, Millis now) -> void
{
    account(replica, now);
    replica.running.insert(request);
    if (auto *base = baseBeside(replica.key)) {
        account(*base, now);
        ++base->beside;
    }
}

auto SimFleet::stop(SimReplica &replica, std::uint32_t request, Millis now) -> void
{
    account(replica, now);
    replica.running.erase(request);
    replica.idleSince = now;
    if (auto *base = baseBeside(replica.key)) {
        account(*base, now);
        --base->beside;
        base->idleSince = now;
    }
}

auto SimFleet::info(const SimReplica &replica) const -> policy::ReplicaInfo
{
    auto info = policy::ReplicaInfo {};
    info.model = scenario_.models[modelOf(replica.key)].info.id;
    info.endpoint = endpoints_[endpointOf(replica.key)].info.id;
    info.phase = replica.phase;
    info.readyAt = replica.expectedReady;
    info.idleSince = replica.idleSince;
    info.running = static_cast<std::uint32_t>(replica.running.size());
    info.waiting = static_cast<std::uint32_t>(replica.waiting.size());
    return info;
}

auto SimFleet::rebuildReady(std::uint32_t model) -> void
{
    ready_[model].clear();
    for (const auto endpoint : endpointsOf_[model]) {
        const auto &replica = replicas_.at(simKey(endpoint, model));
        if (replica.phase == ReplicaPhase::Ready && endpoints_[endpoint].present)
            ready_[model].push_back(info(replica));
    }
}

auto SimFleet::setPhase(SimReplica &replica, ReplicaPhase phase, Millis now) -> void
{
    account(replica, now);
    replica.phase = phase;
    if (phase == ReplicaPhase::Ready)
        replica.idleSince = now;
    rebuildReady(modelOf(replica.key));
}

auto SimFleet::finish(Millis now) -> void
{
    for (auto &[key, replica] : replicas_)
        account(replica, now);
}

} // namespace figrack::bench
