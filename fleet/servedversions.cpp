#include "fleet/servedversions.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {

ServedVersions::ServedVersions(ServedVersionsOptions options, LastKnownStore &store,
                               const Clock &clock)
    : options_(options)
    , store_(store)
    , clock_(clock)
    , versions_(options_.versions)
    , brokenSince_(clock.now())
    , listeningSince_(clock.now())
{ }

auto ServedVersions::recall(bool isFirstStart) -> void
{
    const auto now = clock_.now();
    const auto saved = store_.loadVersions();
    for (const auto &row : saved.services) {
        for (const auto &version : row.versions)
            versions_.onTold(row.service, version, now);
    }
    isFirstStart_ = isFirstStart;
    isKnownFromStart_ = isFirstStart || saved.isComplete;
    savedHistory_ = saved.isComplete;
    LogEvent(LogLevel::Info, "software_versions_recalled")
            .with("services", static_cast<std::uint64_t>(saved.services.size()))
            .with("complete", saved.isComplete)
            .with("first_start", isFirstStart);
}

auto ServedVersions::onRow(const catalogue::EndpointRow &row) -> void
{
    versions_.onRow(row, clock_.now());
}

auto ServedVersions::onForgotten(const EndpointId &id) -> void
{
    versions_.onForgotten(id, clock_.now());
}

auto ServedVersions::tick(bool isCurrent) -> std::optional<proto::VersionNews>
{
    const auto now = clock_.now();
    noteCurrent(isCurrent, now);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + options_.expireEvery;
        versions_.expire(now);
    }
    const auto changed = versions_.takeChanged();
    if (!changed.empty() || savedHistory_ != hasHistory(now))
        save(now);
    const auto complete = isComplete(now);
    if (changed.empty() && toldComplete_ == complete)
        return std::nullopt;
    if (toldComplete_ != complete)
        LogEvent(LogLevel::Info, "software_versions_complete").with("complete", complete);
    toldComplete_ = complete;
    auto news = proto::VersionNews {};
    news.isComplete = complete;
    for (const auto &service : changed)
        news.services.push_back(rowOf(service, now));
    return news;
}

auto ServedVersions::noteCurrent(bool isCurrent, Instant now) -> void
{
    if (!isCurrent) {
        if (!brokenSince_)
            brokenSince_ = now;
        return;
    }
    if (!brokenSince_)
        return;
    // A fleet that starts for the first time has no group to be cut off from until all its controls
    // are there.
    const auto isFounding = isFirstStart_ && !currentSince_;
    if (!isFounding && now - *brokenSince_ >= options_.harmlessBreak) {
        isKnownFromStart_ = false;
        listeningSince_ = now;
    }
    brokenSince_.reset();
    currentSince_ = now;
}

auto ServedVersions::hasHistory(Instant now) const -> bool
{
    // A control that has lost its disk may be started as one of a first start; it never gets into
    // touch with a group.
    if (isFirstStart_ && !currentSince_)
        return false;
    if (brokenSince_ && now - *brokenSince_ >= options_.harmlessBreak)
        return false;
    const auto isTrusted = isKnownFromStart_ || now - listeningSince_ >= options_.versions.window;
    return isTrusted && !versions_.isTruncated(now);
}

auto ServedVersions::isComplete(Instant now) const -> bool
{
    return !brokenSince_ && now - *currentSince_ >= options_.settleAfterBreak && hasHistory(now);
}

auto ServedVersions::save(Instant now) -> void
{
    auto news = proto::VersionNews {};
    news.isComplete = hasHistory(now);
    for (const auto &service : versions_.services())
        news.services.push_back(rowOf(service, now));
    savedHistory_ = news.isComplete;
    store_.save(news);
}

auto ServedVersions::rowOf(const ServiceId &service, Instant now) const -> proto::ServiceVersions
{
    const auto versions = versions_.versionsOf(service, now);
    return { service, { versions.begin(), versions.end() } };
}

} // namespace figrack::fleet
