#include "gateway/endpointpaths.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/duration.h"
#include "core/log.h"

namespace figrack::gateway {
namespace {

constexpr auto stateNames
        = std::array<std::string_view, 4> { "open", "suspected", "kept_only", "lost" };
/// So many endpoints that cannot be connected to are a sign, although others are heard.
constexpr auto manyFailed = std::size_t { 2 };

} // namespace

auto pathStateName(PathState state) -> std::string_view
{
    return stateNames[static_cast<std::size_t>(state) % stateNames.size()];
}

EndpointPaths::EndpointPaths(const Clock &clock, EndpointPathsOptions options)
    : clock_(clock)
    , options_(options)
{ }

auto EndpointPaths::isReached(PathState state) -> bool
{
    return state == PathState::Open || state == PathState::Suspected;
}

auto EndpointPaths::onSent(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    ++path.inProgress;
    if (path.silentSince)
        return;
    path.silentSince = clock_.now();
    wantProbe();
}

auto EndpointPaths::onHeard(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    path.heardAt = clock_.now();
    path.failedAt.reset();
    if (path.inProgress > 0)
        path.silentSince = path.heardAt;
    if (path.state == PathState::Suspected)
        change(group, path, PathState::Open);
    else if (path.state == PathState::Lost)
        change(group, path, PathState::KeptOnly);
}

auto EndpointPaths::onEnded(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    if (path.inProgress > 0)
        --path.inProgress;
    if (path.inProgress == 0)
        path.silentSince.reset();
}

auto EndpointPaths::onConnected(const EndpointGroup &group, const EndpointId &endpoint, Instant at)
        -> void
{
    auto &path = paths_[group];
    path.failed.erase(endpoint);
    // One that was begun before a failure does not refute it.
    if (!path.failedAt || at >= *path.failedAt)
        noteConnected(group, path, at);
}

auto EndpointPaths::onConnectFailed(const EndpointGroup &group, const EndpointId &endpoint,
                                    DialOutcome outcome) -> void
{
    auto &path = paths_[group];
    path.failed[endpoint] = outcome;
    path.recheckAt = clock_.now() + options_.pauseWhenOpen;
    onBroken(group);
    if (path.failed.size() >= manyFailed && path.probeFrom <= clock_.now())
        askForProbe(group, path);
}

auto EndpointPaths::onBroken(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    if (!path.failedAt)
        path.failedAt = clock_.now();
    wantProbe();
}

auto EndpointPaths::suspect(const EndpointGroup &group, const EndpointId &endpoint) -> void
{
    auto &path = paths_[group];
    path.failed[endpoint] = DialOutcome::Refused;
    path.recheckAt = clock_.now() + options_.pauseWhenOpen;
    askForProbe(group, path);
}

auto EndpointPaths::askForProbe(const EndpointGroup &group, Path &path) -> void
{
    path.isAsked = true;
    path.probeFrom = std::min(path.probeFrom, clock_.now());
    if (path.state == PathState::Open)
        change(group, path, PathState::Suspected);
    wantProbe();
}

auto EndpointPaths::suspectIfUnheard(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    const auto lastAt = std::max(path.heardAt, path.connectedAt);
    if (isReached(path.state) && clock_.now() - lastAt >= options_.silenceLimit)
        askForProbe(group, path);
}

auto EndpointPaths::onResumed() -> void
{
    for (auto &[group, path] : paths_) {
        path.failedAt.reset();
        if (path.silentSince)
            path.silentSince = clock_.now();
    }
}

auto EndpointPaths::wantProbe() -> void
{
    if (onDueSooner_)
        onDueSooner_();
}

auto EndpointPaths::dueAt(const Path &path) const -> std::optional<Instant>
{
    if (path.isProbing)
        return std::nullopt;
    auto earliest = std::optional<Instant> {};
    const auto consider = [&](Instant at) { earliest = std::min(earliest.value_or(at), at); };
    if (path.state != PathState::Open || path.isAsked)
        consider(path.probeFrom);
    if (!path.failed.empty())
        consider(path.recheckAt);
    if (path.silentSince)
        consider(*path.silentSince + options_.silenceLimit);
    if (path.failedAt)
        consider(*path.failedAt + options_.settleTime);
    if (!earliest)
        return std::nullopt;
    return std::max(*earliest, path.probeFrom);
}

auto EndpointPaths::nextDueAt() const -> std::optional<Instant>
{
    auto next = std::optional<Instant> {};
    for (const auto &[group, path] : paths_) {
        if (const auto at = dueAt(path))
            next = std::min(next.value_or(*at), *at);
    }
    return next;
}

auto EndpointPaths::takeDue() -> std::vector<EndpointGroup>
{
    const auto now = clock_.now();
    auto result = std::vector<EndpointGroup> {};
    for (auto &[group, path] : paths_) {
        const auto at = dueAt(path);
        if (!at || *at > now)
            continue;
        path.isProbing = true;
        path.isAsked = false;
        result.push_back(group);
    }
    // The listeners may ask for the state of other groups.
    for (const auto &group : result) {
        auto &path = paths_[group];
        if (path.state == PathState::Open)
            change(group, path, PathState::Suspected);
    }
    return result;
}

auto EndpointPaths::onProbed(const EndpointGroup &group, Instant begun,
                             const std::vector<DialResult> &results) -> void
{
    auto &path = paths_[group];
    path.isProbing = false;
    path.recheckAt = clock_.now() + options_.pauseWhenOpen;
    if (results.empty()) {
        change(group, path, PathState::Open);
        return;
    }
    auto isConnected = false;
    auto hasTimedOut = false;
    for (const auto &[endpoint, outcome] : results) {
        isConnected = isConnected || outcome == DialOutcome::Connected;
        hasTimedOut = hasTimedOut || outcome == DialOutcome::TimedOut;
        if (outcome == DialOutcome::Connected)
            path.failed.erase(endpoint);
        else
            path.failed[endpoint] = outcome;
    }
    if (!isConnected) {
        noteUnconnected(group, path, path.heardAt > begun, hasTimedOut);
        return;
    }
    noteConnected(group, path, begun);
    if (isReached(path.state))
        path.probeFrom = clock_.now() + options_.pauseWhenOpen;
}

auto EndpointPaths::onProbeVoid(const EndpointGroup &group) -> void
{
    auto &path = paths_[group];
    path.isProbing = false;
    path.isAsked = true;
    path.probeFrom = clock_.now();
    wantProbe();
}

auto EndpointPaths::noteConnected(const EndpointGroup &group, Path &path, Instant at) -> void
{
    const auto now = clock_.now();
    path.connectedAt = std::max(path.connectedAt, at);
    path.failedAt.reset();
    if (path.silentSince)
        path.silentSince = now;
    if (isReached(path.state)) {
        change(group, path, PathState::Open);
        return;
    }
    path.probeFrom = now + options_.reopenInterval;
    if (++path.successes < options_.probesToReopen)
        return;
    path.successes = 0;
    path.failed.clear(); // The path was the cause.
    change(group, path, PathState::Open);
}

auto EndpointPaths::noteUnconnected(const EndpointGroup &group, Path &path, bool isHeard,
                                    bool hasTimedOut) -> void
{
    path.successes = 0;
    path.probeFrom = clock_.now() + options_.probeInterval;
    const auto isSilent = silentFor(path) >= options_.silenceLimit;
    const auto mayUseKept = isHeard || (!hasTimedOut && !isSilent && path.state != PathState::Lost);
    change(group, path, mayUseKept ? PathState::KeptOnly : PathState::Lost);
}

auto EndpointPaths::change(const EndpointGroup &group, Path &path, PathState state) -> void
{
    if (path.state == state)
        return;
    const auto now = clock_.now();
    const auto before = std::exchange(path.state, state);
    const auto since = std::exchange(path.since, now);
    // A suspicion that is refuted is ordinary where a single endpoint is slow.
    const auto isNews = !isReached(state) || !isReached(before);
    LogEvent(isNews ? LogLevel::Warning : LogLevel::Debug, "endpoint_path")
            .with("service", group.service)
            .with("domain", group.domain)
            .with("state", pathStateName(state))
            .with("before", pathStateName(before))
            .with("for_ms", since == Instant {} ? std::int64_t { 0 } : wholeMillis(now - since))
            .with("silent_ms", wholeMillis(silentFor(path)))
            .with("all_silent_ms", wholeMillis(allSilentFor()))
            .with("in_progress", std::int64_t { path.inProgress })
            .with("failed", static_cast<std::uint64_t>(path.failed.size()));
    if (onChanged_)
        onChanged_(group, before, state);
}

auto EndpointPaths::retainFailures(const EndpointGroup &group, const std::set<EndpointId> &known)
        -> void
{
    std::erase_if(paths_[group].failed,
                  [&](const auto &item) { return !known.contains(item.first); });
}

auto EndpointPaths::failureOf(const EndpointGroup &group, const EndpointId &endpoint) const
        -> std::optional<DialOutcome>
{
    const auto path = paths_.find(group);
    if (path == paths_.end())
        return std::nullopt;
    const auto found = path->second.failed.find(endpoint);
    return found == path->second.failed.end() ? std::nullopt : std::optional { found->second };
}

auto EndpointPaths::state(const EndpointGroup &group) const -> PathState
{
    const auto found = paths_.find(group);
    return found == paths_.end() ? PathState::Open : found->second.state;
}

auto EndpointPaths::unreached() const -> std::vector<EndpointGroup>
{
    auto result = std::vector<EndpointGroup> {};
    for (const auto &[group, path] : paths_) {
        if (!isReached(path.state))
            result.push_back(group);
    }
    return result;
}

auto EndpointPaths::hasConnectedSince(const EndpointGroup &group, Instant since) const -> bool
{
    const auto found = paths_.find(group);
    return found != paths_.end() && found->second.connectedAt >= since;
}

auto EndpointPaths::silentFor(const EndpointGroup &group) const -> Duration
{
    const auto found = paths_.find(group);
    return found == paths_.end() ? Duration::zero() : silentFor(found->second);
}

auto EndpointPaths::silentFor(const Path &path) const -> Duration
{
    return path.silentSince ? clock_.now() - *path.silentSince : Duration::zero();
}

auto EndpointPaths::allSilentFor() const -> Duration
{
    auto shortest = std::optional<Duration> {};
    for (const auto &[group, path] : paths_) {
        if (path.inProgress > 0)
            shortest = std::min(shortest.value_or(Duration::max()), silentFor(path));
    }
    return shortest.value_or(Duration::zero());
}

} // namespace figrack::gateway
