// The control process of a fleet that forms its own group, put together.
//
//   auto core = Core { context, options, clock, port, readDocument };
//   if (auto status = core.start(); !status.ok()) ...
//   core.propose(document, done);      core.read();      core.registry().hear(row);
//   core.requestStop(onStopped);
//
// The replicated log holds the configuration document; endpoints, gateways and
// demand are soft. The leader alone orders loads. A replica whose disk fails is
// stopped and started again from the disk every restartEvery: endpoints and
// gateways are served meanwhile by what is in memory.
//
// Everything runs on the context's one thread.

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
#include "core/settings.h"
#include "fleet/accountledger.h"
#include "fleet/balancer.h"
#include "fleet/configlog.h"
#include "fleet/demandtable.h"
#include "fleet/documentproof.h"
#include "fleet/group.h"
#include "fleet/orders.h"
#include "fleet/registry.h"
#include "proto/channel.h"

namespace figrack::fleet {

struct CoreOptions
{
    NodeId name;
    DomainId domain;
    Address peers; ///< Where controls and gateways connect.
    std::string dataFolder;
    std::vector<Address> seeds; ///< Controls' addresses for peers.
    bool bootstrap = false;     ///< The fleet starts for the first time, with empty disks.
    std::shared_ptr<proto::PeerKeys> keys;
    coord::ReplicaOptions replica; ///< self and founders are filled in by the core.
    GroupOptions group;
    RegistryOptions registry;
    OrderOptions orders;
    BalancerOptions balancer;
    AccountLedgerOptions ledger;
    DocumentProofOptions proof;
    /// A new leader gives its first order only after any order of the one before is too old to
    /// count as a turn of two holders.
    Duration orderQuarantine = std::chrono::milliseconds { 3300 };
    /// A change that is not committed within it is answered as unclear; endpoints and operators
    /// wait for a second.
    Duration proposalTimeout = std::chrono::milliseconds { 900 };
    /// For gateways to obey a change that is committed, before it is acknowledged. Some hundred
    /// milliseconds at size; one that stands still delays each change by it.
    Duration spreadPatience = std::chrono::milliseconds { 400 };
    /// Endpoints are kept for a restart as often, when they have changed.
    Duration saveEndpointsEvery = std::chrono::seconds { 1 };
    Duration restartEvery = std::chrono::seconds { 1 };
    DemandWindows demand;
    /// Gateways report what they have in progress as often.
    Duration loadsEvery = std::chrono::milliseconds { 500 };
    /// Looks at placement that no report has set off; crowded replicas are found by it.
    Duration planEvery = std::chrono::milliseconds { 500 };
};

/// Where the newest document can be had.
struct ReadResult
{
    const Document *document = nullptr; ///< Proven to be the newest.
    std::optional<Address> leader;      ///< Otherwise: the leader's address for peers, if known.
};

class Core
{
public:
    using ReadDocument = std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)>;
    using Done = std::function<void(absl::Status)>;

    /// @param port outlives the core
    Core(boost::asio::io_context &context, CoreOptions options, const Clock &clock,
         const OrderPort &port, ReadDocument readDocument, std::uint64_t seed);
    ~Core();
    /// @return BadSettings; a disk that fails is tried again instead
    auto start() -> absl::Status;
    auto requestStop(std::function<void()> onStopped) -> void;
    auto reload(const std::vector<Address> &seeds) -> void;

    /// Only where read() gives the document. @param document checked by the caller
    /// @param done OK once it is committed or was overtaken, and the gateways obey it or have had
    /// spreadPatience for it; else the outcome is unknown
    auto propose(const Document &document, Done done) -> void;
    auto read() const -> ReadResult;
    auto registry() -> Registry &;
    /// An endpoint's announcement. @param row as decoded
    /// @param done called once: OK when it was taken in and, of one that leaves, no gateway sends
    /// new work there; BadRequest when its service is in no configuration; else NoQuorum
    auto onAnnouncement(const catalogue::EndpointRow &row, Done done) -> void;
    /// An endpoint says that it is gone. @param id without an incarnation: the one in use
    auto onDeregistration(const EndpointId &id, Done done) -> void;
    /// What somebody said of an endpoint could not be read.
    auto onBadAnnouncement(const absl::Status &reason) -> void;
    auto metricsPage() -> std::string;
    /// @return true while an order may leave: this control leads and its lease holds
    auto mayOrder() const -> bool;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_CORE_H
