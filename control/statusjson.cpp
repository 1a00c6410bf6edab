#include "control/statusjson.h"

#include <utility>

#include <boost/json.hpp>

namespace figrack::control {
namespace {

namespace json = boost::json;

auto membersJson(const Control &control, const coord::ReplicaStatus &status) -> json::array
{
    const auto progress = control.node().replica().progress();
    auto members = json::array {};
    for (const auto &member : status.membership.members) {
        auto row = json::object { { "node", member.node.value() },
                                  { "domain", member.domain.value() },
                                  { "address", member.address },
                                  { "incarnation", member.incarnation.value() },
                                  { "voter", member.kind == coord::MemberKind::Voter } };
        for (const auto &one : progress) {
            if (one.node != member.node)
                continue;
            row["match_index"] = one.matchIndex.value();
            row["caught_up"] = one.caughtUp;
            row["heard"] = one.recentlyHeard;
        }
        members.push_back(std::move(row));
    }
    return members;
}

auto routersJson(const Control &control) -> json::array
{
    auto routers = json::array {};
    for (const auto &[node, row] : control.node().tables().routers()) {
        routers.push_back({ { "node", node.value() },
                            { "domain", row.registered.domain.value() },
                            { "address", row.registered.callerAddress },
                            { "draining", row.draining },
                            { "alive", control.routers().isAlive(node) } });
    }
    return routers;
}

auto endpointsJson(const Control &control) -> json::array
{
    const auto &tables = control.node().tables();
    auto endpoints = json::array {};
    for (const auto &[id, row] : tables.endpoints()) {
        const auto engine = row.spec.kind == state::EndpointKind::Engine;
        endpoints.push_back({ { "id", id.value() },
                              { "kind", engine ? "engine" : "service" },
                              { "domain", row.spec.domain.value() },
                              { "address", row.spec.address },
                              { "service", row.spec.service.value() },
                              { "memory_mb", row.spec.memoryMb },
                              { "held_mb", tables.memoryHeldMb(id) },
                              { "checks_fence", row.spec.checksFence },
                              { "draining", row.draining },
                              { "suspected", row.suspected } });
    }
    return endpoints;
}

auto replicasJson(const Control &control) -> json::array
{
    auto replicas = json::array {};
    for (const auto &[key, row] : control.node().tables().replicas()) {
        const auto name = state::replicaStateName(row.state);
        replicas.push_back({ { "model", row.model.value() },
                             { "version", row.version },
                             { "endpoint", row.endpoint.value() },
                             { "state", json::string_view { name.data(), name.size() } },
                             { "in_doubt", row.inDoubt },
                             { "order", row.order.value() },
                             { "fence", row.fence.value() },
                             { "memory_mb", row.memoryMb },
                             { "reason", row.reason } });
    }
    return replicas;
}

} // namespace

auto statusJson(const Control &control) -> std::string
{
    const auto status = control.node().status();
    const auto role = coord::roleName(status.role);
    const auto &tables = control.node().tables();
    return json::serialize(json::object {
            { "node", control.node().self().value() },
            { "incarnation", status.incarnation.value() },
            { "role", json::string_view { role.data(), role.size() } },
            { "leader", status.leader.value() },
            { "term", status.term.value() },
            { "lease_held", status.leaseHeld },
            { "commit_index", status.commitIndex.value() },
            { "applied_index", status.appliedIndex.value() },
            { "revision", tables.configuration().revision.value() },
            { "accepted_revision", control.routers().acceptedUpTo().value() },
            { "repair_complete", control.node().replica().repairComplete() },
            { "membership_changing", status.membershipChanging },
            { "open_orders", control.orders().open() },
            { "claims", tables.claims().size() },
            { "members", membersJson(control, status) },
            { "routers", routersJson(control) },
            { "endpoints", endpointsJson(control) },
            { "replicas", replicasJson(control) },
    });
}

} // namespace figrack::control
