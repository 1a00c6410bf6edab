// The settings of every control contain the same list of controls, so that the founders agree on
// the first membership. The list is used for founding only if control.found is true: a control
// whose disk was wiped has forgotten its votes, so it must not vote and joins as a learner
// instead.

#include "control/settings.h"

#include <utility>

#include <fmt/format.h>

#include "core/error.h"

namespace figrack::control {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

auto badKey(std::string_view key, std::string_view why) -> absl::Status
{
    return makeError(ErrorKind::BadSettings, fmt::format("key={} {}", key, why));
}

/// @param entry "name/domain@ip:port"
auto memberOf(const NamedAddress &entry) -> absl::StatusOr<coord::Member>
{
    const auto slash = entry.name.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == entry.name.size())
        return badKey("control.members", "wants name/domain@ip:port, not " + entry.name);
    auto member = coord::Member {};
    member.node = NodeId { entry.name.substr(0, slash) };
    member.domain = DomainId { entry.name.substr(slash + 1) };
    member.address = entry.address.text();
    member.kind = coord::MemberKind::Voter;
    return member;
}

auto readMembers(const Settings &settings, ProcessOptions &options) -> absl::Status
{
    auto &replica = options.control.node.replica;
    replica.self.node = NodeId { settings.text("control.name") };
    replica.self.domain = DomainId { settings.text("control.domain") };
    replica.self.address = options.listen.text();
    replica.self.kind = coord::MemberKind::Voter;
    auto listed = false;
    for (const auto &entry : settings.addresses("control.members")) {
        auto member = memberOf(entry);
        if (!member.ok())
            return member.status();
        if (member->node == replica.self.node) {
            listed = true;
            replica.self.address = member->address;
        } else {
            options.peers.push_back(*member);
        }
        if (settings.flag("control.found"))
            replica.founders.push_back(*member);
    }
    if (settings.flag("control.found") && !listed)
        return badKey("control.members", "must list this control, since control.found is true");
    return absl::OkStatus();
}

auto readTimes(const Settings &settings, ProcessOptions &options) -> void
{
    auto &control = options.control;
    auto &replica = control.node.replica;
    replica.group = settings.text("control.group");
    replica.heartbeat = settings.duration("replication.heartbeat");
    replica.electionTimeout = settings.duration("replication.election_timeout");
    replica.maxClockDrift
            = static_cast<double>(settings.number("replication.clock_drift_permille")) / 1000.0;
    replica.snapshotEvery = static_cast<std::size_t>(settings.number("replication.snapshot_every"));
    control.routers.viewLease.length = settings.duration("lease.length");
    control.routers.viewLease.renewEvery = settings.duration("lease.renew_every");
    control.routers.viewLease.maxClockDrift = replica.maxClockDrift;
    control.routers.removeAfter = settings.duration("routers.remove_after");
    control.endpoints.detector.expectedGap = settings.duration("endpoints.announce_every");
    control.endpoints.detector.minTimeout = settings.duration("endpoints.suspect_after");
    control.endpoints.detector.maxTimeout = settings.duration("endpoints.suspect_latest");
    control.endpoints.forgetAfter = settings.duration("endpoints.forget_after");
    control.claims.keepFor = settings.duration("claims.keep");
}

auto readOrders(const Settings &settings, ProcessOptions &options) -> void
{
    auto &control = options.control;
    options.orders.orderTimeout = settings.duration("orders.timeout");
    options.orders.userTimeout = settings.duration("orders.user_timeout");
    control.orders.machine.maxOrderDelay = settings.duration("orders.doubt");
    control.orders.pollEvery = settings.duration("orders.poll_every");
    const auto &replica = control.node.replica;
    control.orders.holdOff = 2 * replica.electionTimeout + options.orders.userTimeout;
    auto &planner = control.scheduler.planner;
    planner.storeConcurrency = static_cast<std::uint32_t>(settings.number("store.concurrency"));
    planner.storeLoadsPerSecond
            = static_cast<double>(settings.number("store.loads_per_minute")) / 60.0;
}

auto checkTogether(const ProcessOptions &options) -> absl::Status
{
    const auto &control = options.control;
    if (auto status = control.node.replica.check(); !status.ok())
        return status;
    if (auto status = control.routers.viewLease.check(); !status.ok())
        return status;
    if (auto status = control.endpoints.detector.check(); !status.ok())
        return status;
    if (control.orders.machine.maxOrderDelay < options.orders.userTimeout)
        return badKey("orders.doubt", "must not be below orders.user_timeout");
    if (options.certificateFile.empty() != options.keyPemFile.empty())
        return badKey("tls.certificate", "and tls.key go together");
    return absl::OkStatus();
}

} // namespace

auto controlSchema() -> std::vector<SettingRule>
{
    constexpr auto defaultHeldBytes = std::int64_t { 1 } << 30;
    constexpr auto maxHeldBytes = std::int64_t { 1 } << 40;
    return {
        textRule("control.name", "this control's name, unique in the system"),
        textRule("control.domain", "the failure domain this VM is in"),
        textRule("control.group", "name of the replica group, the same on all its controls",
                 "figrack"),
        textRule("control.data", "the data folder; its parent must exist"),
        addressRule("control.listen", "ip:port where controls and routers connect"),
        addressListRule("control.members",
                        "name/domain@ip:port of every control, the same list on all of them"),
        flagRule("control.found",
                 "true on the first start only: the listed members found the group; set it to "
                 "false afterwards",
                 false),
        textRule("control.key_file", "file with the keys shared by figrack's processes"),
        numberRule("control.threads", "worker threads", 1, 256, 4),
        numberRule("limits.held_bytes", "bytes that all peers may make the process hold", 1 << 20,
                   maxHeldBytes, defaultHeldBytes),
        numberRule("limits.connections",
                   "open connections of operators and of peers that have not proved a key", 16,
                   1'000'000, 4096),
        addressRule("operator.listen", "ip:port where operators connect"),
        addressListRule("operator.addresses",
                        "name@ip:port where operators reach each control, for redirection", ""),
        textRule("operator.token_file", "file with the operators' tokens, one a line"),
        textRule("tls.certificate", "PEM certificate chain for operators; empty: plain HTTP", ""),
        textRule("tls.key", "PEM private key", ""),
        durationRule("replication.heartbeat", "time between the leader's heartbeats",
                     milliseconds { 10 }, seconds { 5 }, milliseconds { 50 }),
        durationRule("replication.election_timeout",
                     "silence of the leader before an election; randomised up to twice the value",
                     milliseconds { 100 }, seconds { 60 }, milliseconds { 500 }),
        numberRule("replication.clock_drift_permille",
                   "bound on how far the rates of two VMs' clocks differ", 1, 100, 10),
        numberRule("replication.snapshot_every", "entries between snapshots", 100, 10'000'000,
                   10'000),
        durationRule("lease.length", "how long a router's configuration is known to be current",
                     milliseconds { 200 }, seconds { 60 }, milliseconds { 1500 }),
        durationRule("lease.renew_every", "time between a router's lease renewals",
                     milliseconds { 20 }, seconds { 20 }, milliseconds { 300 }),
        durationRule("routers.remove_after", "silence after which a router is removed",
                     seconds { 2 }, hours { 24 }, seconds { 60 }),
        durationRule("endpoints.announce_every", "how often endpoints announce themselves",
                     milliseconds { 20 }, seconds { 60 }, seconds { 1 }),
        durationRule("endpoints.suspect_after",
                     "shortest silence after which an endpoint is suspected", milliseconds { 100 },
                     minutes { 10 }, seconds { 3 }),
        durationRule("endpoints.suspect_latest", "silence after which every endpoint is suspected",
                     milliseconds { 200 }, minutes { 30 }, seconds { 10 }),
        durationRule("endpoints.forget_after",
                     "silence after which an endpoint and its replicas are removed", seconds { 5 },
                     hours { 240 }, minutes { 15 }),
        durationRule("claims.keep", "how long a claim's outcome is kept", seconds { 10 },
                     hours { 240 }, hours { 24 }),
        durationRule("orders.timeout", "time limit for an endpoint's answer to an order",
                     milliseconds { 100 }, minutes { 5 }, seconds { 2 }),
        durationRule("orders.user_timeout", "TCP_USER_TIMEOUT of an order's connection",
                     milliseconds { 100 }, minutes { 5 }, seconds { 2 }),
        durationRule("orders.doubt",
                     "how long an order may still arrive after its connection was aborted",
                     milliseconds { 100 }, hours { 1 }, seconds { 10 }),
        durationRule("orders.poll_every",
                     "time between status requests to an endpoint that carries out an order",
                     milliseconds { 10 }, seconds { 10 }, milliseconds { 100 }),
        numberRule("store.concurrency", "loads at once at the weight store's full speed", 1, 10'000,
                   4),
        numberRule("store.loads_per_minute", "loads that the weight store allows", 1, 1'000'000,
                   180),
    };
}

auto processOptions(const Settings &settings) -> absl::StatusOr<ProcessOptions>
{
    auto options = ProcessOptions {};
    options.listen = settings.address("control.listen");
    options.operatorListen = settings.address("operator.listen");
    options.dataFolder = settings.text("control.data");
    options.keyFile = settings.text("control.key_file");
    options.tokenFile = settings.text("operator.token_file");
    options.certificateFile = settings.text("tls.certificate");
    options.keyPemFile = settings.text("tls.key");
    options.threads = static_cast<std::uint32_t>(settings.number("control.threads"));
    options.budget.maxBytes = static_cast<std::uint64_t>(settings.number("limits.held_bytes"));
    options.budget.maxConnections = static_cast<std::size_t>(settings.number("limits.connections"));
    for (const auto &entry : settings.addresses("operator.addresses"))
        options.operatorAddresses.emplace(NodeId { entry.name }, entry.address);
    if (auto status = readMembers(settings, options); !status.ok())
        return status;
    readTimes(settings, options);
    readOrders(settings, options);
    if (auto status = checkTogether(options); !status.ok())
        return status;
    return options;
}

} // namespace figrack::control
