#include "fleet/servedversions.h"

#include <algorithm>
#include <utility>

#include "core/duration.h"
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
    for (const auto &row : saved.news.services) {
        for (const auto &version : row.versions)
            versions_.onTold(row.service, version, now);
    }
    const auto age = ageOf(saved);
    isFirstStart_ = isFirstStart;
    isKnownFromStart_ = isFirstStart || (saved.news.isComplete && age.has_value());
    savedHistory_ = saved.news.isComplete;
    // The time without the group began with the life before.
    brokenSince_ = now - age.value_or(Duration {});
    LogEvent(LogLevel::Info, "software_versions_recalled")
            .with("services", static_cast<std::uint64_t>(saved.news.services.size()))
            .with("complete", saved.news.isComplete)
            .with("age_ms", inMillis(age.value_or(Duration {})))
            .with("first_start", isFirstStart);
}

// The monotonic clock begins anew with the machine, and the calendar may be set: the longer of the
// two times counts, and neither clock may have gone back.
auto ServedVersions::ageOf(const SavedVersions &saved) const -> std::optional<Duration>
{
    const auto byBoot = clock_.now().time_since_epoch() - Duration { saved.bootNanos };
    const auto byWall
            = clock_.wallNow().time_since_epoch() - std::chrono::milliseconds { saved.wallMillis };
    if (byBoot < Duration::zero() || byWall < Duration::zero())
        return std::nullopt;
    return std::max<Duration>(byBoot, byWall);
}

auto ServedVersions::onHistory(const NodeId &control, const proto::VersionNews &news) -> void
{
    auto &history = histories_[control];
    history.isComplete = news.isComplete;
    for (const auto &row : news.services) {
        if (row.versions.empty())
            history.versions.erase(row.service);
        else
            history.versions[row.service] = row.versions;
    }
}

auto ServedVersions::onHistoryLost(const NodeId &control) -> void
{
    histories_.erase(control);
}

auto ServedVersions::adoptHistory(Instant now) -> void
{
    const auto complete = std::find_if(histories_.begin(), histories_.end(),
                                       [](const auto &item) { return item.second.isComplete; });
    if (brokenSince_ || hasHistory(now) || complete == histories_.end())
        return;
    for (const auto &[service, versions] : complete->second.versions) {
        for (const auto &version : versions)
            versions_.onTold(service, version, now);
    }
    isKnownFromStart_ = true;
    LogEvent(LogLevel::Info, "software_versions_adopted").with("control", complete->first);
}

auto ServedVersions::onRow(const catalogue::EndpointRow &row) -> void
{
    versions_.onRow(row, clock_.now());
}

auto ServedVersions::onForgotten(const EndpointId &id) -> void
{
    versions_.onForgotten(id, clock_.now());
}

auto ServedVersions::tick(bool isInTouch) -> std::optional<proto::VersionNews>
{
    const auto now = clock_.now();
    noteTouch(isInTouch, now);
    adoptHistory(now);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + options_.expireEvery;
        versions_.expire(now);
    }
    const auto changed = versions_.takeChanged();
    if (!changed.empty() || savedHistory_ != hasHistory(now) || now >= nextSave_)
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

auto ServedVersions::addTo(proto::StreamOriginReply &reply, const ServiceId &service,
                           bool isInTouch) const -> void
{
    const auto now = clock_.now();
    reply.isComplete = isInTouch && isComplete(now);
    for (const auto &version : versions_.versionsOf(service, now)) {
        const auto fits = version.size() <= proto::maxOriginTextBytes
                && reply.versions.size() < proto::maxOriginVersions;
        if (fits)
            reply.versions.push_back(version);
        reply.isComplete = reply.isComplete && fits;
    }
}

auto ServedVersions::noteTouch(bool isInTouch, Instant now) -> void
{
    // A process that stands still hears nothing from its last tick on.
    const auto lastTickAt = std::exchange(lastTickAt_, now).value_or(now);
    const auto stoodStill = now - lastTickAt >= options_.settleAfterBreak;
    if (!brokenSince_ && (!isInTouch || stoodStill))
        brokenSince_ = lastTickAt;
    if (!isInTouch || !brokenSince_)
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
    const auto standsStill = !lastTickAt_ || now - *lastTickAt_ >= options_.settleAfterBreak;
    return !brokenSince_ && !standsStill && now - *currentSince_ >= options_.settleAfterBreak
            && hasHistory(now);
}

auto ServedVersions::save(Instant now) -> void
{
    nextSave_ = now + options_.saveEvery;
    auto saved = SavedVersions {};
    saved.news.isComplete = hasHistory(now);
    for (const auto &service : versions_.services())
        saved.news.services.push_back(rowOf(service, now));
    // What is learned out of touch does not make a break shorter.
    const auto knownAt = brokenSince_.value_or(now);
    saved.bootNanos = Duration { knownAt.time_since_epoch() }.count();
    saved.wallMillis = std::chrono::floor<std::chrono::milliseconds>(
                               clock_.wallNow().time_since_epoch() - (now - knownAt))
                               .count();
    savedHistory_ = saved.news.isComplete;
    store_.save(saved);
}

auto ServedVersions::rowOf(const ServiceId &service, Instant now) const -> proto::ServiceVersions
{
    const auto versions = versions_.versionsOf(service, now);
    return { service, { versions.begin(), versions.end() } };
}

} // namespace figrack::fleet
