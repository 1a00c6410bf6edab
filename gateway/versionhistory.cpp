#include "gateway/versionhistory.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::gateway {
namespace {

constexpr auto expireEvery = std::chrono::seconds { 1 };

} // namespace

VersionHistory::VersionHistory(VersionHistoryOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
    , told_(policy::SoftwareVersionsOptions { .window = options.window })
    , touchEndedAt_(clock.now())
{ }

auto VersionHistory::onUpdate(const Address &control, const proto::ServingUpdate &update) -> void
{
    auto &state = controls_[control];
    state.isCurrent = update.isCurrent;
    noteTouch();
    if (update.softwareVersions)
        applyNews(state, *update.softwareVersions);
    onRows(update.endpoints);
    if (update.originOwners)
        applyOwners(state, *update.originOwners);
    const auto now = clock_.now();
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + expireEvery;
    told_.expire(versionTime());
    static_cast<void>(told_.takeChanged());
    refreshOwners();
}

auto VersionHistory::onRows(const std::vector<catalogue::EndpointRow> &rows) -> void
{
    auto served = std::set<std::pair<ServiceId, std::string>> {};
    for (const auto &row : rows) {
        // The writer of a row that says that an endpoint is gone need not know its version.
        const auto isKnown
                = row.state != catalogue::EndpointState::Gone || !row.softwareVersion.empty();
        if (isKnown && !row.service.empty())
            served.emplace(row.service, row.softwareVersion);
    }
    for (const auto &item : served) {
        change(item.first, [&] { told_.onTold(item.first, item.second, versionTime()); });
    }
}

auto VersionHistory::onControlClosed(const Address &control) -> void
{
    const auto found = controls_.find(control);
    if (found == controls_.end())
        return;
    for (const auto &[service, versions] : found->second.versions) {
        for (const auto &version : versions)
            told_.onTold(service, version, versionTime());
    }
    controls_.erase(found);
    noteTouch();
    refreshOwners();
}

auto VersionHistory::versionsOf(const ServiceId &service) const -> std::set<std::string>
{
    auto result = told_.versionsOf(service, versionTime());
    for (const auto &[address, control] : controls_) {
        const auto found = control.versions.find(service);
        if (found != control.versions.end())
            result.insert(found->second.begin(), found->second.end());
    }
    return result;
}

auto VersionHistory::isComplete() const -> bool
{
    const auto now = clock_.now();
    if (!inTouchSince_ || told_.isTruncated(now))
        return false;
    return now - *inTouchSince_ >= options_.window
            || std::any_of(controls_.begin(), controls_.end(), [](const auto &item) {
                   return item.second.isCurrent && item.second.isComplete;
               });
}

auto VersionHistory::setOnSecondVersion(std::function<void(const ServiceId &)> listener) -> void
{
    onSecondVersion_ = std::move(listener);
}

auto VersionHistory::applyNews(Control &control, const proto::VersionNews &news) -> void
{
    control.isComplete = news.isComplete;
    for (const auto &row : news.services) {
        change(row.service, [&] {
            auto before = std::exchange(control.versions[row.service], row.versions);
            if (row.versions.empty())
                control.versions.erase(row.service);
            // A control that is cut off forgets endpoints that go on serving.
            if (control.isCurrent)
                return;
            for (const auto &version : before)
                told_.onTold(row.service, version, versionTime());
        });
    }
}

auto VersionHistory::noteTouch() -> void
{
    const auto isInTouch = std::any_of(controls_.begin(), controls_.end(),
                                       [](const auto &item) { return item.second.isCurrent; });
    if (isInTouch == inTouchSince_.has_value())
        return;
    const auto now = clock_.now();
    if (isInTouch) {
        told_.renew(touchEndedAt_, now);
        inTouchSince_ = now;
    } else {
        touchEndedAt_ = now;
        inTouchSince_.reset();
    }
}

auto VersionHistory::change(const ServiceId &service, const std::function<void()> &make) -> void
{
    const auto before = versionsOf(service).size();
    make();
    const auto after = versionsOf(service).size();
    if (before > 1 || after <= 1)
        return;
    LogEvent(LogLevel::Info, "second_software_version").with("service", service);
    if (onSecondVersion_)
        onSecondVersion_(service);
}

auto VersionHistory::applyOwners(Control &control, std::vector<proto::OriginOwner> owners) -> void
{
    for (const auto &owner : owners) {
        const auto isKept
                = knownOwners_.size() < options_.maxOwners || knownOwners_.contains(owner.node);
        if (isKept)
            knownOwners_[owner.node].owner = owner;
    }
    control.owners = std::move(owners);
    refreshOwners();
}

auto VersionHistory::refreshOwners() -> void
{
    auto listed = std::set<NodeId> {};
    for (const auto &[address, control] : controls_) {
        for (const auto &owner : control.owners)
            listed.insert(owner.node);
    }
    const auto now = clock_.now();
    for (auto &[node, known] : knownOwners_) {
        // If no list is left, the gateways go on without controls.
        if (listed.empty() || listed.contains(node))
            known.endsAt.reset();
        else if (!known.endsAt)
            known.endsAt = now + options_.keepOwnersFor;
    }
    std::erase_if(knownOwners_, [now](const auto &item) {
        return item.second.endsAt && now >= *item.second.endsAt;
    });
    owners_.clear();
    for (const auto &[node, known] : knownOwners_)
        owners_.push_back(known.owner);
}

auto VersionHistory::versionTime() const -> Instant
{
    return inTouchSince_ ? clock_.now() : touchEndedAt_;
}

} // namespace figrack::gateway
