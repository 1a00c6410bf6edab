// Routes are few (thousands at most), so each host keeps its prefixes in a list
// sorted by length: the first that fits is the longest.

#include "catalogue/catalogue.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <unordered_set>
#include <utility>

#include "core/error.h"

namespace figrack::catalogue {
namespace {

auto hostKey(std::string_view host) -> std::string
{
    auto key = std::string { host.substr(0, host.find(':')) };
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

auto badRoute(const Route &route, std::string_view reason) -> absl::Status
{
    return makeError(ErrorKind::BadRequest,
                     "route=" + route.name + " reason=" + std::string { reason });
}

using ServiceIds = std::unordered_set<ServiceId>;

auto checkRoute(const ServiceIds &services, const Route &route) -> absl::Status
{
    if (route.host.empty())
        return badRoute(route, "no host");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        return badRoute(route, "the prefix must begin and end with a slash");
    if (route.finishLimit <= Duration::zero())
        return badRoute(route, "the finish limit must be positive");
    auto sum = std::uint64_t { 0 };
    for (const auto &part : route.split) {
        if (!services.contains(part.service))
            return badRoute(route, "unknown service " + part.service.value());
        sum += part.weight;
    }
    if (sum == 0)
        return badRoute(route, "the weights add up to 0");
    return absl::OkStatus();
}

auto badAccount(const Account &account, std::size_t position, const std::string &reason)
        -> absl::Status
{
    return makeError(ErrorKind::BadRequest,
                     "account=" + account.id.value() + " position=" + std::to_string(position)
                             + " reason=" + reason);
}

/// Names travel in headers.
auto isNameOfAccount(std::string_view name) -> bool
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char letter) {
        return std::isprint(letter) != 0;
    });
}

auto checkAccounts(const std::vector<Account> &accounts) -> absl::Status
{
    auto names = std::set<AccountId> {};
    auto holders = std::unordered_map<KeyDigest, std::size_t> {};
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto &account = accounts[i];
        if (!isNameOfAccount(account.id.value()) || !names.insert(account.id).second)
            return badAccount(account, i, "a name is missing, not printable or given twice");
        for (std::size_t k = 0; k < account.keys.size(); ++k) {
            const auto holder = holders.try_emplace(account.keys[k], i).first->second;
            if (holder != i) {
                return badAccount(account, i,
                                  "key " + std::to_string(k) + " is held by account "
                                          + accounts[holder].id.value() + " at position "
                                          + std::to_string(holder) + " too");
            }
        }
    }
    return absl::OkStatus();
}

} // namespace

auto EngineSpec::find(const ModelId &id) const -> const ModelSpec *
{
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const ModelSpec &model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

auto Catalogue::find(const ServiceId &id) const -> const Service *
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const Service &service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

auto check(const Catalogue &catalogue) -> absl::Status
{
    auto services = ServiceIds {};
    for (const auto &service : catalogue.services)
        services.insert(service.id);
    auto places = std::set<std::pair<std::string, std::string>> {};
    for (const auto &route : catalogue.routes) {
        if (auto status = checkRoute(services, route); !status.ok())
            return status;
        if (!places.emplace(hostKey(route.host), route.pathPrefix).second)
            return badRoute(route, "another route has the same host and prefix");
    }
    auto names = std::set<ServiceId> {};
    for (const auto &service : catalogue.services) {
        if (service.id.empty() || !names.insert(service.id).second)
            return makeError(ErrorKind::BadRequest,
                             "service=" + service.id.value()
                                     + " reason=a name is missing or given twice");
    }
    return catalogue.accounts ? checkAccounts(*catalogue.accounts) : absl::OkStatus();
}

RouteTable::RouteTable(std::shared_ptr<const Catalogue> catalogue)
    : catalogue_(std::move(catalogue))
{
    for (const auto &route : catalogue_->routes)
        byHost_[hostKey(route.host)].push_back(&route);
    for (auto &[host, routes] : byHost_) {
        std::sort(routes.begin(), routes.end(), [](const Route *one, const Route *other) {
            return one->pathPrefix.size() > other->pathPrefix.size();
        });
    }
}

auto RouteTable::find(std::string_view host, std::string_view path) const -> const Route *
{
    const auto found = byHost_.find(hostKey(host));
    if (found == byHost_.end())
        return nullptr;
    for (const auto *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
    }
    return nullptr;
}

auto pickService(const Route &route, double draw) -> ServiceId
{
    auto sum = std::uint64_t { 0 };
    for (const auto &part : route.split)
        sum += part.weight;
    auto left = draw * static_cast<double>(sum);
    auto last = ServiceId {};
    for (const auto &part : route.split) {
        if (part.weight == 0)
            continue;
        last = part.service;
        left -= part.weight;
        if (left < 0)
            break;
    }
    return last;
}

} // namespace figrack::catalogue
