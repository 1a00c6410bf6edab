// Which gateways keep the origin of a stream.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "core/random.h"
#include "gateway/originowners.h"

using namespace figrack;
using namespace figrack::gateway;

namespace {

auto gatewaysOf(int count, int domains) -> std::vector<OriginOwner>
{
    auto result = std::vector<OriginOwner> {};
    for (auto i = 0; i < count; ++i) {
        result.push_back({ NodeId { "g" + std::to_string(i) },
                           { "10.0.0.1", static_cast<std::uint16_t>(i + 1) },
                           DomainId { "d" + std::to_string(i % domains) } });
    }
    return result;
}

auto keyOf(int number) -> proto::StreamKey
{
    return { ServiceId { "s" }, "id-" + std::to_string(number) };
}

auto nodesOf(const std::vector<OriginOwner> &gateways) -> std::vector<NodeId>
{
    auto result = std::vector<NodeId> {};
    for (const auto &gateway : gateways)
        result.push_back(gateway.node);
    return result;
}

auto contains(const std::vector<OriginOwner> &gateways, const NodeId &node) -> bool
{
    const auto nodes = nodesOf(gateways);
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

} // namespace

TEST_CASE("A stream has owners in two failure domains, and they are among those that are asked")
{
    // With failure domains of very different sizes, the second owner is often far down the ranking.
    auto gateways = gatewaysOf(60, 1);
    for (auto i = 0; i < 3; ++i)
        gateways[static_cast<std::size_t>(i)].domain = DomainId { "other" };
    for (auto i = 0; i < 200; ++i) {
        const auto owners = ownersOf(keyOf(i), gateways);
        REQUIRE(owners.size() == 2);
        CHECK(owners[0].domain != owners[1].domain);
        const auto asked = gatewaysToAsk(keyOf(i), gateways);
        CHECK(asked.size() == 4);
        CHECK(asked.front().node == owners.front().node);
        CHECK(contains(asked, owners[1].node));
        auto nodes = nodesOf(asked);
        std::sort(nodes.begin(), nodes.end());
        CHECK(std::adjacent_find(nodes.begin(), nodes.end()) == nodes.end());
    }
}

TEST_CASE("Owners do not depend on the order in which gateways are known")
{
    auto gateways = gatewaysOf(20, 3);
    auto reversed = gateways;
    std::reverse(reversed.begin(), reversed.end());
    for (auto i = 0; i < 100; ++i) {
        CHECK(nodesOf(ownersOf(keyOf(i), gateways)) == nodesOf(ownersOf(keyOf(i), reversed)));
        CHECK(nodesOf(gatewaysToAsk(keyOf(i), gateways))
              == nodesOf(gatewaysToAsk(keyOf(i), reversed)));
    }
}

TEST_CASE("Streams have as many owners as there are gateways and failure domains for it")
{
    CHECK(ownersOf(keyOf(1), {}).empty());
    CHECK(gatewaysToAsk(keyOf(1), {}).empty());
    CHECK(ownersOf(keyOf(1), gatewaysOf(1, 1)).size() == 1);
    CHECK(ownersOf(keyOf(1), gatewaysOf(5, 1)).size() == 1);
    CHECK(gatewaysToAsk(keyOf(1), gatewaysOf(3, 1)).size() == 3);
}

TEST_CASE("Streams spread evenly over their owners")
{
    const auto gateways = gatewaysOf(20, 4);
    auto counts = std::map<NodeId, int> {};
    for (auto i = 0; i < 4000; ++i) {
        for (const auto &owner : ownersOf(keyOf(i), gateways))
            ++counts[owner.node];
    }
    for (const auto &gateway : gateways) {
        CHECK(counts[gateway.node] > 300);
        CHECK(counts[gateway.node] < 500);
    }
}

TEST_CASE("An owner of before is asked after one gateway has joined and another one has ended")
{
    const auto before = gatewaysOf(20, 4);
    for (auto i = 0; i < 500; ++i) {
        const auto owners = ownersOf(keyOf(i), before);
        auto now = gatewaysOf(21, 4);
        now.erase(now.begin() + i % 20);
        const auto asked = gatewaysToAsk(keyOf(i), now);
        CHECK((contains(asked, owners[0].node) || contains(asked, owners[1].node)));
    }
}
