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

auto EndpointPaths::onSent(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    ++path.inProgress;
    if (path.silentSince)
        return;
    path.silentSince = clock_.now();
    wantProbe();
}

auto EndpointPaths::onHeard(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    path.heardAt = clock_.now();
    path.failedAt.reset();
    if (path.inProgress > 0)
        path.silentSince = path.heardAt;
    if (path.state == PathState::Suspected)
        change(domain, path, PathState::Open);
    else if (path.state == PathState::Lost)
        change(domain, path, PathState::KeptOnly);
}

auto EndpointPaths::onEnded(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    if (path.inProgress > 0)
        --path.inProgress;
    if (path.inProgress == 0)
        path.silentSince.reset();
}

auto EndpointPaths::onConnected(const DomainId &domain, Instant at) -> void
{
    auto &path = paths_[domain];
    // One that was begun before a failure does not refute it.
    if (!path.failedAt || at >= *path.failedAt)
        noteConnected(domain, path, at);
}

auto EndpointPaths::onConnectFailed(const DomainId &domain, const EndpointId &endpoint) -> void
{
    auto &path = paths_[domain];
    path.failed.insert(endpoint);
    onBroken(domain);
    if (path.failed.size() >= manyFailed && path.probeFrom <= clock_.now())
        askForProbe(domain, path);
}

auto EndpointPaths::onBroken(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    if (!path.failedAt)
        path.failedAt = clock_.now();
    wantProbe();
}

auto EndpointPaths::suspect(const DomainId &domain, const EndpointId &endpoint) -> void
{
    auto &path = paths_[domain];
    path.failed.insert(endpoint);
    askForProbe(domain, path);
}

auto EndpointPaths::askForProbe(const DomainId &domain, Path &path) -> void
{
    path.isAsked = true;
    path.probeFrom = std::min(path.probeFrom, clock_.now());
    if (path.state == PathState::Open)
        change(domain, path, PathState::Suspected);
    wantProbe();
}

auto EndpointPaths::suspectIfUnheard(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    const auto lastAt = std::max(path.heardAt, path.connectedAt);
    if (isReached(path.state) && clock_.now() - lastAt >= options_.silenceLimit)
        askForProbe(domain, path);
}

auto EndpointPaths::onResumed() -> void
{
    for (auto &[domain, path] : paths_) {
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
    if (path.state != PathState::Open || path.isAsked || path.failed.size() >= manyFailed)
        consider(path.probeFrom);
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
    for (const auto &[domain, path] : paths_) {
        if (const auto at = dueAt(path))
            next = std::min(next.value_or(*at), *at);
    }
    return next;
}

auto EndpointPaths::takeDue() -> std::vector<DomainId>
{
    const auto now = clock_.now();
    auto result = std::vector<DomainId> {};
    for (auto &[domain, path] : paths_) {
        const auto at = dueAt(path);
        if (!at || *at > now)
            continue;
        path.isProbing = true;
        path.isAsked = false;
        result.push_back(domain);
    }
    // The listeners may ask for the state of other domains.
    for (const auto &domain : result) {
        auto &path = paths_[domain];
        if (path.state == PathState::Open)
            change(domain, path, PathState::Suspected);
    }
    return result;
}

auto EndpointPaths::onProbed(const DomainId &domain, Instant begun,
                             const std::vector<DialResult> &results) -> void
{
    auto &path = paths_[domain];
    path.isProbing = false;
    const auto isConnected = std::any_of(results.begin(), results.end(), [](const auto &result) {
        return result.outcome == DialOutcome::Connected;
    });
    if (results.empty()) {
        change(domain, path, PathState::Open);
        return;
    }
    if (isConnected) {
        noteConnected(domain, path, begun);
        if (isReached(path.state))
            path.probeFrom = clock_.now() + options_.pauseWhenOpen;
        return;
    }
    for (const auto &result : results)
        path.failed.insert(result.endpoint);
    const auto hasTimedOut = std::any_of(results.begin(), results.end(), [](const auto &result) {
        return result.outcome == DialOutcome::TimedOut;
    });
    noteUnconnected(domain, path, path.heardAt > begun, hasTimedOut);
}

auto EndpointPaths::onProbeFailed(const DomainId &domain) -> void
{
    auto &path = paths_[domain];
    path.isProbing = false;
    path.isAsked = true;
    path.probeFrom = clock_.now();
    wantProbe();
}

auto EndpointPaths::noteConnected(const DomainId &domain, Path &path, Instant at) -> void
{
    const auto now = clock_.now();
    path.connectedAt = std::max(path.connectedAt, at);
    path.failed.clear();
    path.failedAt.reset();
    if (path.silentSince)
        path.silentSince = now;
    if (isReached(path.state)) {
        change(domain, path, PathState::Open);
        return;
    }
    path.probeFrom = now + options_.reopenInterval;
    if (++path.successes < options_.probesToReopen)
        return;
    path.successes = 0;
    change(domain, path, PathState::Open);
}

auto EndpointPaths::noteUnconnected(const DomainId &domain, Path &path, bool isHeard,
                                    bool hasTimedOut) -> void
{
    path.successes = 0;
    path.probeFrom = clock_.now() + options_.probeInterval;
    const auto isSilent = silentFor(path) >= options_.silenceLimit;
    const auto mayUseKept = isHeard || (!hasTimedOut && !isSilent && path.state != PathState::Lost);
    change(domain, path, mayUseKept ? PathState::KeptOnly : PathState::Lost);
}

auto EndpointPaths::change(const DomainId &domain, Path &path, PathState state) -> void
{
    if (path.state == state)
        return;
    const auto now = clock_.now();
    const auto before = std::exchange(path.state, state);
    const auto since = std::exchange(path.since, now);
    // A suspicion that is refuted is ordinary where a single endpoint is slow.
    const auto isNews = !isReached(state) || !isReached(before);
    LogEvent(isNews ? LogLevel::Warning : LogLevel::Debug, "endpoint_path")
            .with("domain", domain)
            .with("state", pathStateName(state))
            .with("before", pathStateName(before))
            .with("for_ms", since == Instant {} ? std::int64_t { 0 } : wholeMillis(now - since))
            .with("silent_ms", wholeMillis(silentFor(path)))
            .with("all_silent_ms", wholeMillis(allSilentFor()))
            .with("in_progress", std::int64_t { path.inProgress })
            .with("failed", static_cast<std::uint64_t>(path.failed.size()));
    if (onChanged_)
        onChanged_(domain, before, state);
}

auto EndpointPaths::hasFailed(const DomainId &domain, const EndpointId &endpoint) const -> bool
{
    const auto found = paths_.find(domain);
    return found != paths_.end() && found->second.failed.contains(endpoint);
}

auto EndpointPaths::state(const DomainId &domain) const -> PathState
{
    const auto found = paths_.find(domain);
    return found == paths_.end() ? PathState::Open : found->second.state;
}

auto EndpointPaths::unreached() const -> std::vector<DomainId>
{
    auto result = std::vector<DomainId> {};
    for (const auto &[domain, path] : paths_) {
        if (!isReached(path.state))
            result.push_back(domain);
    }
    return result;
}

auto EndpointPaths::hasConnectedSince(const DomainId &domain, Instant since) const -> bool
{
    const auto found = paths_.find(domain);
    return found != paths_.end() && found->second.connectedAt >= since;
}

auto EndpointPaths::silentFor(const DomainId &domain) const -> Duration
{
    const auto found = paths_.find(domain);
    return found == paths_.end() ? Duration::zero() : silentFor(found->second);
}

auto EndpointPaths::silentFor(const Path &path) const -> Duration
{
    return path.silentSince ? clock_.now() - *path.silentSince : Duration::zero();
}

auto EndpointPaths::allSilentFor() const -> Duration
{
    auto shortest = std::optional<Duration> {};
    for (const auto &[domain, path] : paths_) {
        if (path.inProgress > 0)
            shortest = std::min(shortest.value_or(Duration::max()), silentFor(path));
    }
    return shortest.value_or(Duration::zero());
}

} // namespace figrack::gateway
