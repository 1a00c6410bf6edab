// Tests the sum of demand reports that a control passes on to the leader.

#include <doctest/doctest.h>

#include "fleet/demandrelay.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

auto makeReport(std::uint32_t arrived, std::uint32_t waiting) -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    report.rows = { { ServiceId { "s" }, ModelId { "m" }, "a1", arrived, waiting, 2, 0, 1 } };
    report.loads = { { EndpointId { "e1" }, 3 } };
    report.unreachable = { EndpointId { "e2" } };
    return report;
}

} // namespace

TEST_CASE("Arrivals since the last sum are added up, and of the rest each gateway's latest counts")
{
    auto relay = DemandRelay {};
    CHECK_FALSE(relay.take());
    CHECK_FALSE(relay.onReport(NodeId { "g1" }, makeReport(5, 0)));
    CHECK(relay.onReport(NodeId { "g1" }, makeReport(4, 1)));
    CHECK(relay.onReport(NodeId { "g2" }, makeReport(1, 2)));
    auto sum = relay.take();
    REQUIRE(sum);
    REQUIRE(sum->rows.size() == 1);
    CHECK(sum->rows[0].arrived == 10);
    CHECK(sum->rows[0].late == 3);
    CHECK(sum->rows[0].waiting == 3);
    CHECK(sum->rows[0].running == 4);
    REQUIRE(sum->loads.size() == 1);
    CHECK(sum->loads[0].running == 6);
    CHECK(sum->unreachable == std::vector { EndpointId { "e2" } });
    CHECK_FALSE(relay.take()); // Nothing has been reported since.

    relay.onGatewayLost(NodeId { "g2" });
    sum = relay.take();
    REQUIRE(sum);
    CHECK(sum->rows[0].arrived == 0);
    CHECK(sum->rows[0].waiting == 1);
    relay.onGatewayLost(NodeId { "g1" });
    sum = relay.take();
    REQUIRE(sum);
    CHECK(sum->rows.empty());
    CHECK(sum->loads.empty());
}

TEST_CASE("Requests for the retry budget are summed over gateways, and passed on once")
{
    auto relay = DemandRelay {};
    auto report = makeReport(1, 0);
    report.requests = { { ServiceId { "s" }, 5 }, { ServiceId { "t" }, 2 } };
    relay.onReport(NodeId { "g1" }, report);
    relay.onReport(NodeId { "g1" }, report);
    relay.onReport(NodeId { "g2" }, report);
    const auto sum = relay.take();
    REQUIRE(sum);
    REQUIRE(sum->requests.size() == 2);
    CHECK(sum->requests[0].count == 15);
    CHECK(sum->requests[1].count == 6);
    relay.onGatewayLost(NodeId { "g2" });
    const auto next = relay.take();
    REQUIRE(next);
    CHECK(next->requests.empty());
}
