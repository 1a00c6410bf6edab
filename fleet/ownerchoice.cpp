#include "fleet/ownerchoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace figrack::fleet {
namespace {

/// Hash key that gives the same order of the gateways at all controls.
constexpr auto ownersKey = std::uint64_t { 0x6f726967696e7331 };

/// Keeps the gateways with the highest rendezvous weights.
auto keepHighest(std::vector<proto::OriginOwner> &gateways) -> void
{
    auto weighted = std::vector<std::pair<std::uint64_t, proto::OriginOwner>> {};
    weighted.reserve(gateways.size());
    for (auto &gateway : gateways) {
        const auto weight = rendezvousWeight(ownersKey, gateway.node.value());
        weighted.emplace_back(weight, std::move(gateway));
    }
    const auto end = weighted.begin() + maxOriginOwners;
    std::nth_element(weighted.begin(), end, weighted.end(), [](const auto &one, const auto &other) {
        return std::tie(one.first, one.second.node) > std::tie(other.first, other.second.node);
    });
    gateways.clear();
    for (auto item = weighted.begin(); item != end; ++item)
        gateways.push_back(std::move(item->second));
}

} // namespace

auto chooseOriginOwners(std::vector<proto::OriginOwner> gateways) -> std::vector<proto::OriginOwner>
{
    if (gateways.size() > maxOriginOwners)
        keepHighest(gateways);
    std::sort(gateways.begin(), gateways.end(),
              [](const auto &one, const auto &other) { return one.node < other.node; });
    return gateways;
}

} // namespace figrack::fleet
