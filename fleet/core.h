// The control process of a fleet whose controls form their own replicated group.
//
//   auto core = Core { context, options, clock, port, readDocument };
//   if (auto status = core.start(); !status.ok()) ...
//   core.propose(document, done);      core.read();      core.registry().onAnnouncement(row);
//   core.changeEvacuation(change, done);
//   core.requestStop(onStopped);
//
// The replicated log holds the configuration document and the evacuated failure
// domains. Endpoints, gateways and demand are soft state, kept in memory. Only the leader orders
// loads. A replica whose disk fails is stopped and restarted from the disk every restartEvery; in
// the meantime endpoints and gateways are served from memory.
//
// Everything runs on the context's single thread.

#ifndef FIGRACK_FLEET_CORE_H
#define FIGRACK_FLEET_CORE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "catalogue/catalogue.h"
#include "coord/replica.h"
#include "core/clock.h"
#include "core/peerbudget.h"
#include "core/settings.h"
#include "fleet/accountledger.h"
#include "fleet/balancer.h"
#include "fleet/configlog.h"
#include "fleet/decisions.h"
#include "fleet/demandtable.h"
#include "fleet/documentproof.h"
#include "fleet/group.h"
#include "fleet/groupcontact.h"
#include "fleet/loadschedule.h"
#include "fleet/orders.h"
#include "fleet/planning.h"
#include "fleet/registry.h"
#include "fleet/retryledger.h"
#include "fleet/servedversions.h"
#include "proto/channel.h"
#include "proto/origintable.h"

namespace figrack::fleet {

struct CoreOptions
{
    NodeId name;
    DomainId domain;
    Address peers; ///< Address on which this control accepts other controls and gateways.
    std::string dataFolder;
    std::vector<Address> seeds; ///< Peer addresses of the controls.
    bool bootstrap = false;     ///< The fleet starts for the first time, with empty disks.
    std::shared_ptr<proto::PeerKeys> keys;
    coord::ReplicaOptions replica; ///< The core fills in self and founders.
    GroupOptions group;
    RegistryOptions registry;
    OrderOptions orders;
    BalancerOptions balancer;
    AccountLedgerOptions ledger;
    RetryLedgerOptions retries;
    ServedVersionsOptions versions = { .versions = { .window = policy::softwareVersionMemory } };
    DocumentProofOptions proof;
    proto::OriginTableOptions origins;
    /// A new leader sends its first order only when every order of its predecessor is so old that
    /// orders of the two cannot count as alternating.
    Duration orderQuarantine = std::chrono::milliseconds { 3300 };
    DecisionOptions decisions;
    /// Time in which a new leader has received announcements from all failure domains: a few
    /// announcement intervals. Until then it does not call a domain unknown.
    Duration domainsKnownAfter = std::chrono::seconds { 6 };
    /// Interval at which the endpoints are saved for a restart, if they have changed.
    Duration saveEndpointsEvery = std::chrono::seconds { 1 };
    Duration restartEvery = std::chrono::seconds { 1 };
    DemandWindows demand;
    PlanningOptions planning;
    LoadScheduleOptions loadSchedule;
    /// Interval at which a control that does not lead sums up the demand reports that it gets. A
    /// report of requests that wait for a model is passed on with the next tick.
    Duration relayDemandEvery = std::chrono::milliseconds { 250 };
    /// A control that has not received decisions of its group for this time says so to gateways,
    /// which then watch endpoints at another one.
    Duration currentWithin = std::chrono::milliseconds { 2500 };
    /// Interval at which gateways report their requests in progress.
    Duration loadsEvery = std::chrono::milliseconds { 500 };
    /// Interval of planning passes that no report has triggered. They find overloaded replicas.
    Duration planEvery = std::chrono::milliseconds { 500 };
};

/// Where the newest document can be read.
struct ReadResult
{
    const Document *document = nullptr; ///< Proven to be the newest; nullptr: not available here.
    std::optional<Address> leader; ///< Without a document: the leader's peer address, if known.
};

class Core
{
public:
    using ReadDocument = std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)>;
    using Done = std::function<void(absl::Status)>;

    /// @param port must outlive the core
    /// @param budget for connections of peers that have not proved a key; see proto::PeerServer
    Core(boost::asio::io_context &context, CoreOptions options, const Clock &clock,
         const OrderPort &port, ReadDocument readDocument, std::uint64_t seed,
         std::shared_ptr<PeerBudget> budget = nullptr);
    ~Core();
    /// @return BadSettings; a failing disk is not an error here but is retried
    auto start() -> absl::Status;
    auto requestStop(std::function<void()> onStopped) -> void;
    auto reload(const std::vector<Address> &seeds) -> void;

    /// Proposes a document. Call it only where read() returns a document. @param document already
    /// checked by the caller
    /// @param done OK when the document is committed or superseded by a newer one, and the gateways
    /// have applied it or DecisionOptions::rolloutTimeout has passed; otherwise the outcome is
    /// unknown
    auto propose(const Document &document, Done done) -> void;
    /// Evacuates a failure domain, or withdraws its evacuation. Call it only where read() returns
    /// a document. Calling it again with the same change is harmless.
    /// @param done likewise; UnknownDomain when nothing is known to be in the domain; otherwise
    /// the outcome is unknown
    auto changeEvacuation(const catalogue::EvacuationChange &change, Done done) -> void;
    auto read() const -> ReadResult;
    auto registry() -> Registry &;
    /// Handles an endpoint's announcement. @param row the decoded announcement
    /// @param done called once: OK when the announcement was accepted and, if the endpoint is
    /// leaving, no gateway sends it new work; BadRequest when no configuration names its service;
    /// otherwise NoQuorum
    auto onAnnouncement(const catalogue::EndpointRow &row, Done done) -> void;
    /// Handles an endpoint's deregistration. @param id without an incarnation: the one in use
    auto onDeregistration(const EndpointId &id, Done done) -> void;
    /// Reports a message about an endpoint that could not be decoded.
    auto onBadAnnouncement(const absl::Status &reason) -> void;
    auto metricsPage() -> std::string;
    /// @return true while orders may be sent: this control leads and holds a valid lease
    auto mayOrder() const -> bool;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_CORE_H
