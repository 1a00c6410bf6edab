#include "policy/softwareversions.h"

#include <algorithm>

namespace figrack::policy {

SoftwareVersions::SoftwareVersions(SoftwareVersionsOptions options)
    : options_(options)
{ }

auto SoftwareVersions::onRow(const catalogue::EndpointRow &row, Instant now) -> void
{
    const auto found = endpoints_.find(row.id);
    if (row.state == catalogue::EndpointState::Gone) {
        // The writer of such a row need not know more than the endpoint's name.
        if (found != endpoints_.end())
            onForgotten(row.id, now);
        else if (!row.service.empty() && !row.softwareVersion.empty())
            onTold(row.service, row.softwareVersion, now);
        return;
    }
    auto key = Key { row.service, row.softwareVersion };
    if (found != endpoints_.end()) {
        if (found->second == key)
            return;
        onForgotten(row.id, now);
    }
    auto &served = add(key, now);
    if (served.endpoints++ == 0)
        --past_;
    endpoints_.emplace(row.id, std::move(key));
}

auto SoftwareVersions::onForgotten(const EndpointId &id, Instant now) -> void
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    auto &served = *find(found->second);
    endpoints_.erase(found);
    if (--served.endpoints > 0)
        return;
    served.until = now + options_.window;
    ++past_;
    boundPast();
}

auto SoftwareVersions::onTold(const ServiceId &service, const std::string &version, Instant now)
        -> bool
{
    auto &served = add({ service, version }, now);
    const auto isNew = !served.counts(now);
    served.until = std::max(served.until, now + options_.window);
    boundPast();
    return isNew;
}

auto SoftwareVersions::renew(Instant since, Instant now) -> void
{
    for (auto &[service, versions] : served_) {
        for (auto &[version, served] : versions) {
            if (served.counts(since))
                served.until = std::max(served.until, now + options_.window);
        }
    }
}

auto SoftwareVersions::expire(Instant now) -> void
{
    for (auto service = served_.begin(); service != served_.end();) {
        const auto dropped = std::erase_if(
                service->second, [now](const auto &item) { return !item.second.counts(now); });
        if (dropped > 0)
            changed_.insert(service->first);
        past_ -= dropped;
        service = service->second.empty() ? served_.erase(service) : std::next(service);
    }
}

auto SoftwareVersions::versionsOf(const ServiceId &service, Instant now) const
        -> std::set<std::string>
{
    auto result = std::set<std::string> {};
    const auto found = served_.find(service);
    if (found == served_.end())
        return result;
    for (const auto &[version, served] : found->second) {
        if (served.counts(now))
            result.insert(version);
    }
    return result;
}

auto SoftwareVersions::services() const -> std::vector<ServiceId>
{
    auto result = std::vector<ServiceId> {};
    for (const auto &[service, versions] : served_)
        result.push_back(service);
    return result;
}

auto SoftwareVersions::takeChanged() -> std::set<ServiceId>
{
    return std::exchange(changed_, {});
}

auto SoftwareVersions::find(const Key &key) -> Served *
{
    const auto service = served_.find(key.first);
    if (service == served_.end())
        return nullptr;
    const auto version = service->second.find(key.second);
    return version == service->second.end() ? nullptr : &version->second;
}

/// @return the version's entry, which is without endpoints if it is new
auto SoftwareVersions::add(const Key &key, Instant now) -> Served &
{
    const auto [item, isNew] = served_[key.first].try_emplace(key.second);
    if (isNew)
        ++past_;
    if (!item->second.counts(now))
        changed_.insert(key.first);
    return item->second;
}

auto SoftwareVersions::boundPast() -> void
{
    while (past_ > options_.maxPast) {
        auto first = std::pair { served_.end(), std::map<std::string, Served>::iterator {} };
        for (auto service = served_.begin(); service != served_.end(); ++service) {
            auto &versions = service->second;
            for (auto version = versions.begin(); version != versions.end(); ++version) {
                const auto &served = version->second;
                const auto isFirst
                        = first.first == served_.end() || served.until < first.second->second.until;
                if (served.endpoints == 0 && isFirst)
                    first = { service, version };
            }
        }
        truncatedUntil_ = std::max(truncatedUntil_, first.second->second.until);
        changed_.insert(first.first->first);
        first.first->second.erase(first.second);
        if (first.first->second.empty())
            served_.erase(first.first);
        --past_;
    }
}

} // namespace figrack::policy
