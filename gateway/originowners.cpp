#include "gateway/originowners.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace figrack::gateway {
namespace {

constexpr auto maxAsked = std::size_t { 4 };

struct Ranked
{
    std::uint64_t weight = 0;
    const OriginOwner *gateway = nullptr;
    auto isBefore(const Ranked &other) const -> bool
    {
        return weight != other.weight ? weight > other.weight : gateway->node < other.gateway->node;
    }
};

auto hashOf(const proto::StreamKey &key) -> std::uint64_t
{
    return rendezvousWeight(rendezvousWeight(0, key.service.value()), key.attempt);
}

/// @return the first of the ranking, outside of a failure domain if one is named
auto firstOf(std::uint64_t hash, const std::vector<OriginOwner> &gateways,
             const DomainId *besides = nullptr) -> const OriginOwner *
{
    auto first = Ranked {};
    for (const auto &gateway : gateways) {
        if (besides != nullptr && gateway.domain == *besides)
            continue;
        const auto ranked = Ranked { rendezvousWeight(hash, gateway.node.value()), &gateway };
        if (first.gateway == nullptr || ranked.isBefore(first))
            first = ranked;
    }
    return first.gateway;
}

auto rankingOf(std::uint64_t hash, const std::vector<OriginOwner> &gateways) -> std::vector<Ranked>
{
    auto ranking = std::vector<Ranked> {};
    ranking.reserve(gateways.size());
    for (const auto &gateway : gateways)
        ranking.push_back({ rendezvousWeight(hash, gateway.node.value()), &gateway });
    const auto end
            = ranking.begin() + static_cast<std::ptrdiff_t>(std::min(ranking.size(), maxAsked));
    std::partial_sort(ranking.begin(), end, ranking.end(),
                      [](const auto &left, const auto &right) { return left.isBefore(right); });
    ranking.erase(end, ranking.end());
    return ranking;
}

} // namespace

auto ownersOf(const proto::StreamKey &key, const std::vector<OriginOwner> &gateways)
        -> std::vector<OriginOwner>
{
    auto result = std::vector<OriginOwner> {};
    const auto hash = hashOf(key);
    const auto *first = firstOf(hash, gateways);
    if (first == nullptr)
        return result;
    result.push_back(*first);
    if (const auto *second = firstOf(hash, gateways, &first->domain))
        result.push_back(*second);
    return result;
}

auto gatewaysToAsk(const proto::StreamKey &key, const std::vector<OriginOwner> &gateways)
        -> std::vector<OriginOwner>
{
    auto result = std::vector<OriginOwner> {};
    for (const auto &ranked : rankingOf(hashOf(key), gateways))
        result.push_back(*ranked.gateway);
    const auto owners = ownersOf(key, gateways);
    const auto isListed = owners.size() < 2
            || std::any_of(result.begin(), result.end(),
                           [&](const auto &gateway) { return gateway.node == owners.back().node; });
    if (!isListed)
        result.back() = owners.back();
    return result;
}

} // namespace figrack::gateway
