// Endpoints tracks the reports of all endpoints: registration, liveness and load.
//
// Routers forward announcements to every control, so that a new leader knows the endpoints at
// once. The leader proposes commands for the state that must be agreed upon: registrations of
// new incarnations, suspicion, draining and removal. All other state is kept in memory only:
// the last report of each endpoint, from which the leader builds the load digest that it sends
// to all routers.
//
// When a whole failure domain falls silent (coord/failuredetector.h), its endpoints are
// suspected in one batch, and none of them is removed while the domain is lost. Their replicas
// are neither moved nor replaced because of the loss; new loads are decided only by demand.
//
// Guarantees: one report per endpoint is kept. A report of an earlier incarnation or with an
// older sequence number is ignored. A rejected announcement costs one log entry and is not
// proposed again before retryAfter.

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
    /// An endpoint that is silent for this long is removed with its replicas.
    Duration forgetAfter = std::chrono::minutes { 15 };
    Duration retryAfter = std::chrono::seconds { 2 }; ///< Pause between its proposals.
    std::size_t maxEndpoints = 20000;
};

class Endpoints
{
public:
    /// @param clock,node must outlive this object
    Endpoints(EndpointsOptions options, const Clock &clock, Node &node);

    auto onReport(const proto::EndpointReport &report) -> void;
    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto onApplied(const AppliedCommand &applied) -> void;
    auto onRestored() -> void;
    /// Proposes suspicions, recoveries and removals while leading.
    auto tick() -> void;

    /// @return the last report of the endpoint's registered incarnation, or nullptr
    auto report(const EndpointId &endpoint) const -> const proto::EndpointReport *;
    /// @return the rows that changed since the last call
    auto takeDigest() -> proto::LoadDigest;
    /// @return all rows, for a router that has just connected
    auto fullDigest() const -> proto::LoadDigest;
    /// Sets the listener that is called with each accepted report.
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
    /// Never empty; recreated when leading begins.
    std::optional<coord::FailureDetector> detector_;
    std::map<EndpointId, Row> rows_;
    std::map<EndpointId, Instant> silentSince_; ///< Suspected endpoints, while leading.
    std::set<EndpointId> changed_;              ///< Rows for the next digest.
    std::function<void(const proto::EndpointReport &)> onReport_;
    bool leads_ = false;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ENDPOINTS_H
