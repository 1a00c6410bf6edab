// What endpoints say of themselves: registration, liveness, load.
//
// Routers pass announcements on to every control, so that a new leader knows
// the endpoints at once. The leader turns what must be agreed upon into
// commands: registration of a new life, suspicion, draining, being forgotten.
// The rest is soft: the last report of each endpoint, and from it the digest of
// loads that goes to all routers.
//
// When a failure domain falls silent as one (coord/failuredetector.h), its
// endpoints are suspected in one batch and none of them is forgotten while the
// domain is lost: what they held is neither moved nor decided anew for their
// sake, only for the demand there is.
//
// Guarantees: one report an endpoint is kept; a report of an earlier life or
// with an older sequence is ignored; an announcement that is refused costs one
// log entry and is not proposed again before retryAfter.

#ifndef FIGRACK_CONTROL_ENDPOINTS_H
#define FIGRACK_CONTROL_ENDPOINTS_H

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "control/node.h"
#include "coord/failuredetector.h"
#include "proto/messages.h"

namespace figrack::control {

struct EndpointsOptions
{
    coord::FailureDetectorOptions detector;
    Duration forgetAfter = std::chrono::minutes { 15 }; ///< Of silence, then its replicas go.
    Duration retryAfter = std::chrono::seconds { 2 };   ///< Between proposals for one endpoint.
    std::size_t maxEndpoints = 20000;
};

class Endpoints
{
public:
    /// @param clock,node outlive this
    Endpoints(EndpointsOptions options, const Clock &clock, Node &node);

    auto onReport(const proto::EndpointReport &report) -> void;
    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onRestored() -> void;
    /// Suspects, recovers and forgets, when leading.
    auto tick() -> void;

    /// @return the last report of the endpoint's registered life, or nullptr
    auto report(const EndpointId &endpoint) const -> const proto::EndpointReport *;
    /// @return the rows that changed since the last call
    auto takeDigest() -> proto::LoadDigest;
    /// @return every row, for a router that has just connected
    auto fullDigest() const -> proto::LoadDigest;
    /// Called with each report that was taken.
    auto setOnReport(std::function<void(const proto::EndpointReport &)> listener) -> void;

private:
    struct Row
    {
        proto::EndpointReport report;
        Instant receivedAt;
        Instant proposeAfter;
        std::optional<Instant> suspectedAt;
    };

    auto isNewer(const proto::EndpointReport &report) const -> bool;
    auto expectAll() -> void;
    auto proposeUpdate(Row &row) -> void;
    auto neededCommand(const proto::EndpointReport &report) const -> std::optional<state::Command>;
    auto onEvent(const coord::DetectorEvent &event) -> void;
    auto setSuspected(const EndpointId &endpoint, Incarnation incarnation, bool suspected) -> void;
    auto forgetSilent() -> void;
    auto loadRow(const Row &row) const -> proto::LoadRow;

    EndpointsOptions options_;
    const Clock &clock_;
    Node &node_;
    std::optional<coord::FailureDetector> detector_; ///< Never empty; made anew on leading.
    std::map<EndpointId, Row> rows_;
    std::map<EndpointId, Instant> silentSince_; ///< Suspected in the tables; while leading.
    std::set<EndpointId> changed_;              ///< For the next digest.
    std::function<void(const proto::EndpointReport &)> onReport_;
    bool leads_ = false;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ENDPOINTS_H
