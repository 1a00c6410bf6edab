// Which gateway a request is handed to.

#include <doctest/doctest.h>

#include <map>

#include "gateway/handofftargets.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

auto targetOf(const std::string &name, const std::string &domain, std::uint32_t capacity)
        -> proto::HandoffTarget
{
    return { NodeId { name }, { "10.0.0.1", 1 }, DomainId { domain }, capacity, {} };
}

auto groupIn(const std::string &domain) -> catalogue::EndpointGroup
{
    return { ServiceId { "s" }, DomainId { domain } };
}

const auto noRegions = catalogue::RegionMap {};
const auto anywhere = catalogue::HomeRule { noRegions };

struct TargetsRig
{
    ManualClock clock;
    Random random { 7 };
    HandoffTargets targets { { DomainId { "a" } }, clock, random };
    /// @return how many of the requests each gateway got; none ends
    auto spread(int requests) -> std::map<std::string, int>
    {
        auto counts = std::map<std::string, int> {};
        for (auto i = 0; i < requests; ++i) {
            const auto chosen = targets.choose({}, {}, anywhere);
            REQUIRE(chosen);
            targets.onBegin(chosen->node);
            ++counts[chosen->node.value()];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("Requests spread over other gateways by their capacities, with more in the own domain")
{
    auto rig = TargetsRig {};
    rig.targets.onTargets(
            { targetOf("near", "a", 100), targetOf("far", "b", 100), targetOf("large", "b", 300) });
    const auto counts = rig.spread(600);
    // By weights 200, 100 and 300 of 600; two draws each keep them within a tenth.
    CHECK(counts.at("near") >= 180);
    CHECK(counts.at("near") <= 220);
    CHECK(counts.at("far") >= 80);
    CHECK(counts.at("far") <= 120);
    CHECK(rig.targets.inProgress() == 600);
    for (const auto &[name, count] : counts) {
        for (auto i = 0; i < count; ++i)
            rig.targets.onEnd(NodeId { name });
    }
    CHECK(rig.targets.inProgress() == 0);
}

TEST_CASE("A gateway that declined, was tried or lacks the path itself is not chosen")
{
    auto rig = TargetsRig {};
    auto cut = targetOf("cut", "a", 100);
    cut.unreached = { groupIn("a"), groupIn("b") };
    rig.targets.onTargets({ cut, targetOf("g2", "a", 100), targetOf("g3", "b", 100) });
    for (auto i = 0; i < 20; ++i)
        CHECK(rig.targets.choose({ groupIn("a") }, {}, anywhere)->node != cut.node);
    // It reaches one of the groups asked for.
    CHECK(rig.targets.choose({ groupIn("c") }, { NodeId { "g2" }, NodeId { "g3" } }, anywhere)->node
          == cut.node);
    CHECK(rig.targets.choose({ groupIn("a") }, { NodeId { "g2" } }, anywhere)->node
          == NodeId { "g3" });
    rig.targets.onFailed(NodeId { "g3" });
    CHECK(!rig.targets.choose({ groupIn("a") }, { NodeId { "g2" } }, anywhere));
    rig.clock.advance(1s);
    CHECK(rig.targets.choose({ groupIn("a") }, { NodeId { "g2" } }, anywhere));
}

TEST_CASE("Gateways are asked for each second, and old answers are not used")
{
    auto rig = TargetsRig {};
    CHECK(rig.targets.isDue());
    CHECK(!rig.targets.isUsable());
    rig.targets.onTargets({ targetOf("g2", "a", 0) });
    CHECK(!rig.targets.isDue());
    rig.clock.advance(1s);
    CHECK(rig.targets.isDue());
    CHECK(rig.targets.choose({}, {}, anywhere));
    rig.clock.advance(9s);
    CHECK(!rig.targets.choose({}, {}, anywhere));
    rig.targets.onTargets({});
    CHECK(!rig.targets.isUsable());
}
