// If a report differs from the registration, the leader proposes the difference: a whole
// registration, or only the draining flag. The failure detector decides which endpoints are
// alive. Its suspicions and recoveries become commands, so that all routers use the same set of
// endpoints.

#include "control/endpoints.h"

#include <utility>

#include "core/log.h"

namespace figrack::control {
namespace {

auto peerOf(const EndpointId &endpoint) -> coord::PeerId
{
    return coord::PeerId { endpoint.value() };
}

auto wallMillis(const Clock &clock) -> state::Millis
{
    return clock.wallNow().time_since_epoch().count();
}

} // namespace

Endpoints::Endpoints(EndpointsOptions options, const Clock &clock, Node &node)
    : options_(options)
    , clock_(clock)
    , node_(node)
    , detector_(std::in_place, options_.detector, clock)
{ }

auto Endpoints::onReport(const proto::EndpointReport &report) -> void
{
    if (!isNewer(report))
        return;
    const auto &id = report.spec.id;
    auto &row = rows_[id];
    row.report = report;
    row.receivedAt = clock_.now();
    changed_.insert(id);
    (void)detector_->heartbeat(peerOf(id), report.spec.incarnation, report.spec.domain);
    if (leads_)
        proposeUpdate(row);
    if (onReport_)
        onReport_(report);
}

auto Endpoints::isNewer(const proto::EndpointReport &report) const -> bool
{
    const auto found = rows_.find(report.spec.id);
    if (found == rows_.end())
        return rows_.size() < options_.maxEndpoints;
    const auto &last = found->second.report;
    if (report.spec.incarnation != last.spec.incarnation)
        return report.spec.incarnation > last.spec.incarnation;
    return report.sequence > last.sequence;
}

auto Endpoints::proposeUpdate(Row &row) -> void
{
    const auto now = clock_.now();
    if (now < row.proposeAfter)
        return;
    auto command = neededCommand(row.report);
    if (!command)
        return;
    row.proposeAfter = now + options_.retryAfter;
    const auto id = row.report.spec.id;
    node_.propose(*command, [this, id](const absl::StatusOr<AppliedCommand> &result) {
        const auto found = rows_.find(id);
        if (result.ok() && result->applied.status.ok() && found != rows_.end())
            found->second.proposeAfter = {};
        if (result.ok() && !result->applied.status.ok())
            LogEvent(LogLevel::Warning, "endpoint_refused")
                    .with("endpoint", id)
                    .with(result->applied.status);
    });
}

auto Endpoints::neededCommand(const proto::EndpointReport &report) const
        -> std::optional<state::Command>
{
    const auto &rows = node_.tables().endpoints();
    const auto found = rows.find(report.spec.id);
    if (found == rows.end() || found->second.spec != report.spec)
        return state::RegisterEndpoint { report.spec, wallMillis(clock_) };
    if (found->second.draining != report.draining && report.draining)
        return state::DrainEndpoint { report.spec.id, true, wallMillis(clock_) };
    const auto alive = detector_->state(peerOf(report.spec.id)) == coord::PeerState::Alive;
    if (found->second.suspected && alive) {
        return state::SuspectEndpoint { report.spec.id, report.spec.incarnation, false,
                                        wallMillis(clock_) };
    }
    return std::nullopt;
}

auto Endpoints::onLeading() -> void
{
    leads_ = true;
    expectAll();
    for (auto &[id, row] : rows_) {
        row.proposeAfter = {};
        if (clock_.now() - row.receivedAt < options_.detector.minTimeout)
            proposeUpdate(row);
    }
}

auto Endpoints::onNotLeading() -> void
{
    leads_ = false;
    silentSince_.clear();
}

// Restarts the detector, so that time in which this control was not listening does not count
// as silence of an endpoint.
auto Endpoints::expectAll() -> void
{
    detector_.emplace(options_.detector, clock_);
    silentSince_.clear();
    for (const auto &[id, row] : node_.tables().endpoints()) {
        detector_->expect(peerOf(id), row.spec.incarnation, row.spec.domain);
        if (row.suspected)
            silentSince_[id] = clock_.now();
    }
}

auto Endpoints::onApplied(const AppliedCommand &applied) -> void
{
    if (!applied.applied.status.ok())
        return;
    if (const auto *registered = std::get_if<state::RegisterEndpoint>(&applied.command)) {
        const auto &spec = registered->spec;
        detector_->expect(peerOf(spec.id), spec.incarnation, spec.domain);
        silentSince_.erase(spec.id);
    } else if (const auto *suspect = std::get_if<state::SuspectEndpoint>(&applied.command)) {
        if (suspect->suspected)
            silentSince_.emplace(suspect->endpoint, clock_.now());
        else
            silentSince_.erase(suspect->endpoint);
    } else if (const auto *forgotten = std::get_if<state::ForgetEndpoint>(&applied.command)) {
        detector_->remove(peerOf(forgotten->endpoint));
        silentSince_.erase(forgotten->endpoint);
        rows_.erase(forgotten->endpoint);
    }
}

auto Endpoints::onRestored() -> void
{
    expectAll();
}

auto Endpoints::tick() -> void
{
    const auto events = detector_->poll();
    if (!leads_)
        return;
    for (const auto &event : events)
        onEvent(event);
    forgetSilent();
}

auto Endpoints::onEvent(const coord::DetectorEvent &event) -> void
{
    if (const auto *suspected = std::get_if<coord::PeerSuspected>(&event))
        setSuspected(EndpointId { suspected->peer.value() }, suspected->incarnation, true);
    else if (const auto *recovered = std::get_if<coord::PeerRecovered>(&event))
        setSuspected(EndpointId { recovered->peer.value() }, recovered->incarnation, false);
    else if (const auto *lost = std::get_if<coord::DomainSuspected>(&event))
        LogEvent(LogLevel::Error, "domain_lost")
                .with("domain", lost->domain)
                .with("silent", std::uint64_t { lost->silent })
                .with("endpoints", std::uint64_t { lost->peers });
    else if (const auto *back = std::get_if<coord::DomainRecovered>(&event))
        LogEvent(LogLevel::Info, "domain_recovered").with("domain", back->domain);
}

auto Endpoints::setSuspected(const EndpointId &endpoint, Incarnation incarnation, bool suspected)
        -> void
{
    const auto &rows = node_.tables().endpoints();
    const auto found = rows.find(endpoint);
    if (found == rows.end() || found->second.spec.incarnation != incarnation
        || found->second.suspected == suspected)
        return;
    LogEvent(LogLevel::Warning, suspected ? "endpoint_suspected" : "endpoint_recovered")
            .with("endpoint", endpoint);
    node_.propose(state::SuspectEndpoint { endpoint, incarnation, suspected, wallMillis(clock_) },
                  [](const absl::StatusOr<AppliedCommand> &) {});
}

auto Endpoints::forgetSilent() -> void
{
    const auto now = clock_.now();
    const auto &rows = node_.tables().endpoints();
    for (auto &[id, since] : silentSince_) {
        const auto found = rows.find(id);
        if (found == rows.end() || now - since < options_.forgetAfter
            || detector_->isDomainSuspected(found->second.spec.domain))
            continue;
        since = now; // If this proposal is lost, it is repeated after forgetAfter.
        LogEvent(LogLevel::Warning, "endpoint_forgotten").with("endpoint", id);
        node_.propose(state::ForgetEndpoint { id, found->second.spec.incarnation },
                      [](const absl::StatusOr<AppliedCommand> &) {});
    }
}

auto Endpoints::report(const EndpointId &endpoint) const -> const proto::EndpointReport *
{
    const auto found = rows_.find(endpoint);
    const auto registered = node_.tables().endpoints().find(endpoint);
    if (found == rows_.end() || registered == node_.tables().endpoints().end()
        || registered->second.spec.incarnation != found->second.report.spec.incarnation)
        return nullptr;
    return &found->second.report;
}

auto Endpoints::loadRow(const Row &row) const -> proto::LoadRow
{
    auto result = proto::LoadRow {};
    result.endpoint = row.report.spec.id;
    result.sequence = row.report.sequence;
    const auto age = clock_.now() - row.receivedAt;
    result.ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    result.replicas = row.report.replicas;
    return result;
}

auto Endpoints::takeDigest() -> proto::LoadDigest
{
    auto digest = proto::LoadDigest {};
    for (const auto &id : std::exchange(changed_, {})) {
        const auto found = rows_.find(id);
        if (found != rows_.end())
            digest.rows.push_back(loadRow(found->second));
    }
    return digest;
}

auto Endpoints::fullDigest() const -> proto::LoadDigest
{
    auto digest = proto::LoadDigest {};
    for (const auto &[id, row] : rows_)
        digest.rows.push_back(loadRow(row));
    return digest;
}

auto Endpoints::setOnReport(std::function<void(const proto::EndpointReport &)> listener) -> void
{
    onReport_ = std::move(listener);
}

} // namespace figrack::control
