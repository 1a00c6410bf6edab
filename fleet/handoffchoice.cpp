#include "fleet/handoffchoice.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "core/hash.h"

namespace figrack::fleet {

auto chooseHandoffTargets(std::vector<proto::HandoffTarget> gateways, const NodeId &asker,
                          const std::vector<DomainId> &preferred)
        -> std::vector<proto::HandoffTarget>
{
    std::erase_if(gateways, [&](const auto &gateway) { return gateway.node == asker; });
    const auto key = std::hash<std::string> {}(asker.value());
    const auto isPreferred = [&](const proto::HandoffTarget &gateway) {
        return std::find(preferred.begin(), preferred.end(), gateway.domain) != preferred.end();
    };
    const auto orderOf = [&](const proto::HandoffTarget &gateway) {
        return std::pair { isPreferred(gateway), rendezvousWeight(key, gateway.node.value()) };
    };
    std::sort(gateways.begin(), gateways.end(),
              [&](const auto &one, const auto &other) { return orderOf(one) > orderOf(other); });
    gateways.resize(std::min(gateways.size(), maxHandoffTargets));
    return gateways;
}

} // namespace figrack::fleet
