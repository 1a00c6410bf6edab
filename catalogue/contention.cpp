#include "catalogue/contention.h"

#include <algorithm>
#include <map>
#include <set>

namespace figrack::catalogue {
namespace {

/// What the routes of one engine service ask for.
struct Classes
{
    std::set<std::uint32_t> ranks;
    Duration longestStartTarget {};
};

auto hasEngine(const Catalogue &catalogue, const ServiceId &id) -> bool
{
    const auto *service = catalogue.find(id);
    return service != nullptr && service->engine;
}

} // namespace

auto asksForOrderedAdmission(const Catalogue &catalogue) -> bool
{
    auto classes = std::map<ServiceId, Classes> {};
    for (const auto &route : catalogue.routes) {
        for (const auto &part : route.split) {
            if (part.weight == 0 || !hasEngine(catalogue, part.service))
                continue;
            auto &service = classes[part.service];
            service.ranks.insert(route.rank);
            service.longestStartTarget = std::max(service.longestStartTarget, route.startTarget);
        }
    }
    return std::any_of(classes.begin(), classes.end(), [](const auto &item) {
        return item.second.ranks.size() >= ranksThatCompete
                && item.second.longestStartTarget >= usefulWait + startReserve;
    });
}

auto isDeferrable(const Route &route, const EngineSpec &engine) -> bool
{
    if (engine.models.empty())
        return false;
    auto longest = Duration {};
    for (const auto &model : engine.models)
        longest = std::max({ longest, model.loadFromDisk, model.loadFromMemory });
    return longest > Duration::zero() && route.startTarget >= 2 * (longest + loadOverhead);
}

auto hasDeferrableRoute(const Catalogue &catalogue, const Service &service) -> bool
{
    const auto leadsHere = [&](const WeightedService &part) {
        return part.weight > 0 && part.service == service.id;
    };
    return service.engine
            && std::any_of(catalogue.routes.begin(), catalogue.routes.end(),
                           [&](const Route &route) {
                               return std::any_of(route.split.begin(), route.split.end(), leadsHere)
                                       && isDeferrable(route, *service.engine);
                           });
}

} // namespace figrack::catalogue
