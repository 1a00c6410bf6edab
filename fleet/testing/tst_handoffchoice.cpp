// Which gateways one that cannot reach the endpoints is told.

#include <doctest/doctest.h>

#include <map>

#include "fleet/handoffchoice.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

auto gatewaysOf(const std::string &domain, int count) -> std::vector<proto::HandoffTarget>
{
    auto result = std::vector<proto::HandoffTarget> {};
    for (auto i = 0; i < count; ++i) {
        result.push_back({ NodeId { domain + std::to_string(i) },
                           { "10.0.0.1", 1 },
                           DomainId { domain },
                           100,
                           {} });
    }
    return result;
}

} // namespace

TEST_CASE("Gateways of preferred domains come first, the asker never")
{
    auto gateways = gatewaysOf("b", 5);
    const auto near = gatewaysOf("a", 3);
    gateways.insert(gateways.end(), near.begin(), near.end());
    const auto chosen = chooseHandoffTargets(gateways, NodeId { "a0" }, { DomainId { "a" } });
    REQUIRE(chosen.size() == 7);
    CHECK(chosen[0].domain == DomainId { "a" });
    CHECK(chosen[1].domain == DomainId { "a" });
    CHECK(chosen[2].domain == DomainId { "b" });
    for (const auto &gateway : chosen)
        CHECK(gateway.node != NodeId { "a0" });
}

TEST_CASE("Where there are many gateways, askers are told different ones")
{
    const auto gateways = gatewaysOf("a", 200);
    auto counts = std::map<NodeId, int> {};
    for (auto i = 0; i < 100; ++i) {
        const auto asker = NodeId { "cut" + std::to_string(i) };
        const auto chosen = chooseHandoffTargets(gateways, asker, {});
        CHECK(chosen.size() == maxHandoffTargets);
        for (const auto &gateway : chosen)
            ++counts[gateway.node];
    }
    // 1,600 places over 200 gateways are 8 each.
    for (const auto &[node, count] : counts)
        CHECK(count <= 24);
    CHECK(counts.size() >= 190);
}
