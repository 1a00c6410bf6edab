// How reports of gateways on endpoints that they cannot connect to are weighed.

#include <doctest/doctest.h>

#include "core/clock.h"
#include "fleet/demandrelay.h"
#include "fleet/demandtable.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

const auto endpoint = EndpointId { "i-1" };
const auto group = catalogue::EndpointGroup { ServiceId { "s" }, DomainId { "d1" } };

auto failing() -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    report.unreached = { { endpoint } };
    return report;
}

auto inUse() -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    report.loads = { { endpoint, 3 } };
    return report;
}

auto cutOff() -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    report.unreachedGroups = { group };
    return report;
}

struct TallyRig
{
    auto report(const std::string &gateway, const proto::ModelWanted &wanted) -> void
    {
        table.onReport(NodeId { gateway }, wanted);
        relay.onReport(NodeId { gateway }, wanted, clock.now());
    }
    /// The same by way of a control that sums up the reports.
    auto relayed() -> std::set<EndpointId>
    {
        auto leader = DemandTable { {}, clock };
        leader.onReport(NodeId { "n1" }, *relay.take(clock.now()));
        groups = leader.unreachedGroups();
        return leader.unreachable();
    }
    ManualClock clock;
    DemandTable table { {}, clock };
    DemandRelay relay;
    std::set<catalogue::EndpointGroup> groups; ///< Of the last call of relayed().
};

} // namespace

TEST_CASE("One gateway that cannot connect does not make an endpoint unreachable that others use")
{
    auto rig = TallyRig {};
    rig.report("g1", failing());
    CHECK(rig.table.unreachable() == std::set { endpoint }); // Nobody else has tried it.
    CHECK(rig.relayed() == std::set { endpoint });
    rig.report("g2", inUse());
    CHECK(rig.table.unreachable().empty());
    CHECK(rig.relayed().empty());
    rig.report("g3", failing());
    CHECK(rig.table.unreachable() == std::set { endpoint });
    CHECK(rig.relayed() == std::set { endpoint });
    rig.report("g1", {});
    rig.report("g3", {});
    CHECK(rig.table.unreachable().empty());
}

TEST_CASE("Reports of gateways that are cut off do not count, unless all gateways are")
{
    auto rig = TallyRig {};
    for (const auto *gateway : { "g1", "g2", "g3", "g4" })
        rig.report(gateway, cutOff());
    rig.report("g5", inUse());
    CHECK(rig.table.unreachable().empty());
    CHECK(rig.table.unreachedGroups().empty());
    CHECK(rig.relayed().empty());
    CHECK(rig.groups.empty());
    rig.report("g5", cutOff());
    CHECK(rig.table.unreachedGroups() == std::set { group });
    CHECK(rig.relayed().empty());
    CHECK(rig.groups == std::set { group });
}

TEST_CASE("An endpoint that says that it takes no work is believed through one gateway")
{
    auto rig = TallyRig {};
    auto report = proto::ModelWanted {};
    report.unreachable = { endpoint };
    rig.report("g1", report);
    rig.report("g2", inUse());
    CHECK(rig.table.unreachable() == std::set { endpoint });
    CHECK(rig.relayed() == std::set { endpoint });
}
