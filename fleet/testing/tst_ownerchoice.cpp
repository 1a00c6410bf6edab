// Which gateways all gateways are told that may own origins of streams.

#include <algorithm>

#include <doctest/doctest.h>

#include "core/random.h"
#include "core/serial.h"
#include "fleet/ownerchoice.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

auto makeGateways(int count) -> std::vector<proto::OriginOwner>
{
    auto result = std::vector<proto::OriginOwner> {};
    for (auto i = 0; i < count; ++i) {
        const auto ip = "10.10." + std::to_string(i / 250) + "." + std::to_string(i % 250);
        result.push_back({ NodeId { "g" + ip + ":18080" },
                           { ip, 18090 },
                           DomainId { "rack-" + std::to_string(i % 14) } });
    }
    return result;
}

auto difference(const std::vector<proto::OriginOwner> &one,
                const std::vector<proto::OriginOwner> &other) -> std::ptrdiff_t
{
    return std::count_if(one.begin(), one.end(), [&](const auto &owner) {
        return std::find(other.begin(), other.end(), owner) == other.end();
    });
}

} // namespace

TEST_CASE("Two controls choose the same gateways, in whichever order they know them")
{
    auto random = Random { 1 };
    for (const auto count : { 0, 7, 256, 257, 1720 }) {
        auto gateways = makeGateways(count);
        const auto chosen = chooseOriginOwners(gateways);
        CHECK(chosen.size() == std::min<std::size_t>(gateways.size(), maxOriginOwners));
        for (auto i = gateways.size(); i > 1; --i)
            std::swap(gateways[i - 1], gateways[random.below(i)]);
        CHECK(chooseOriginOwners(gateways) == chosen);
    }
}

TEST_CASE("A gateway that joins or ends moves at most one owner")
{
    const auto all = makeGateways(400);
    const auto chosen = chooseOriginOwners(all);
    for (auto i = std::size_t { 0 }; i < all.size(); ++i) {
        auto others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        const auto wasChosen = std::find(chosen.begin(), chosen.end(), all[i]) != chosen.end();
        CHECK(difference(chosen, chooseOriginOwners(others)) == (wasChosen ? 1 : 0));
        CHECK(difference(chooseOriginOwners(others), chosen) == (wasChosen ? 1 : 0));
    }
}

TEST_CASE("The list takes few bytes, however many gateways there are")
{
    for (const auto count : { 7, 256, 1720 }) {
        auto update = proto::ServingUpdate {};
        const auto without = serialize(update).size();
        update.originOwners = chooseOriginOwners(makeGateways(count));
        const auto bytes = serialize(update).size() - without;
        MESSAGE(count << " gateways: " << bytes << " bytes");
        CHECK(bytes <= 20000);
    }
}
