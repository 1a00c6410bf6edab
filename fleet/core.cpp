#include "fleet/core.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "control/peertransport.h"
#include "coord/disk.h"
#include "coord/filelogstore.h"
#include "core/boottimer.h"
#include "core/error.h"
#include "core/log.h"
#include "fleet/announcements.h"
#include "fleet/decisions.h"
#include "fleet/demandrelay.h"
#include "fleet/documentvoter.h"
#include "fleet/handoffchoice.h"
#include "fleet/lastknown.h"
#include "fleet/loadguard.h"
#include "fleet/metrics.h"
#include "fleet/originstore.h"
#include "fleet/placegrants.h"
#include "fleet/planning.h"
#include "fleet/recentdocuments.h"
#include "fleet/suspectsync.h"
#include "fleet/trials.h"

namespace figrack::fleet {

namespace asio = boost::asio;

namespace {

constexpr auto groupCheckInterval = std::chrono::milliseconds { 200 };
/// Time per gateway between two reports of the loads: with 291 gateways one every 1.5 s.
constexpr auto loadReportSpacing = std::chrono::milliseconds { 5 };
/// Minimum time between two saves of the endpoints, for each endpoint: all of them are written each
/// time, so that writing takes a bounded share of the time.
constexpr auto saveTimePerRow = std::chrono::microseconds { 500 };
/// Minimum time between two planning passes. A pass for a few dozen endpoints takes about this
/// long on a control with a sixth of a core, and its triggers come in bursts.
constexpr auto planPause = std::chrono::milliseconds { 10 };
/// Minimum time without planning after a pass, as a multiple of the pass's duration.
constexpr auto idlePerPlan = 3;
constexpr auto joinEvery = std::chrono::milliseconds { 500 };
constexpr auto stopCheckInterval = std::chrono::milliseconds { 50 };
/// Interval at which slots are looked for while requests wait. Requests that end free most slots at
/// once; this finds those that prompts free as they are read.
constexpr auto recheckInterval = std::chrono::milliseconds { 20 };
/// Time for leadership to be transferred before the process ends.
constexpr auto handoverTimeout = std::chrono::seconds { 2 };
/// Time for gateways and endpoints to finish their exchanges with this control.
constexpr auto lingerAfterHandover = std::chrono::milliseconds { 300 };

} // namespace

class Core::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, CoreOptions options, const Clock &clock, const OrderPort &port,
         ReadDocument readDocument, std::uint64_t seed, std::shared_ptr<PeerBudget> budget)
        : context_(context)
        , budget_(std::move(budget))
        , options_(withRegistryName(std::move(options)))
        , clock_(clock)
        , readDocument_(std::move(readDocument))
        , random_(seed)
        , lastKnown_(options_.dataFolder, disk_)
        , decisions_(options_.decisions, clock, lastKnown_, metrics_)
        , registry_(options_.registry, clock)
        , versions_(options_.versions, lastKnown_, clock)
        , origins_(options_.origins, clock, metrics_)
        , groupManager_(options_.group, clock)
        , contact_({ .self = options_.name, .currentWithin = options_.currentWithin }, clock)
        , announcements_(registry_, KnownServices { readDocument_ }, contact_, clock, metrics_)
        , suspects_({}, quarantine_, registry_, lastKnown_, clock)
        , trials_({}, quarantine_, clock)
        , loadGuard_({}, quarantine_, clock, [this] { suspects_.publishOwn(); })
        , demand_(options_.demand, clock)
        , balancer_(options_.balancer, clock, random_)
        , ledger_(options_.ledger, registry_, clock, Incarnation { random_.bits() })
        , retryLedger_(options_.retries, retryLedgerParts())
        , grants_(balancer_, trials_, ledger_, metrics_)
        , proof_(options_.proof, clock)
        , orders_(context, options_.orders, clock, registry_, port, authority())
        , planning_(options_.planning,
                    { clock, registry_, decisions_, demand_, loadGuard_, orders_, metrics_ },
                    readDocument_)
        , loadScheduler_(options_.loadSchedule)
        , tickTimer_(context)
        , stopTimer_(context)
        , planTimer_(context)
        , recheckTimer_(context)
    { }

    auto start() -> absl::Status
    {
        const auto channel = proto::fleetChannel(options_.name, options_.keys);
        transport_ = std::make_unique<control::PeerTransport>(context_, channel, linkHandler());
        server_ = std::make_unique<proto::PeerServer>(context_, channel, serverHandler(), budget_);
        if (auto status = server_->start(options_.peers); !status.ok())
            return status;
        decisions_.setOnApplied(
                [this](LogIndex index, Revision document) { voter_->onApplied(index, document); });
        decisions_.setOnReserved(
                [this](const RetryReservation &reservation, Term term) {
                    retryLedger_.onReserved(reservation, leads_ && term == leadTerm_);
                },
                [this] { retryLedger_.onRestored(); });
        registry_.setOnChanged([this](const catalogue::EndpointRow &row) {
            orders_.onRowChanged(row.id);
            versions_.onRow(row);
            endpointsChanged_ = true;
            planSoon();
        });
        registry_.setOnForgotten([this](const EndpointId &id) { versions_.onForgotten(id); });
        recall();
        reload(options_.seeds);
        startReplica();
        versions_.recall(isFirstStart());
        schedule();
        LogEvent(LogLevel::Info, "core_started")
                .with("peers", options_.peers.text())
                .with("bootstrap", options_.bootstrap);
        return absl::OkStatus();
    }

    auto requestStop(std::function<void()> onStopped) -> void
    {
        stopping_ = true;
        stopRequestedAt_ = clock_.now();
        onStopped_ = std::move(onStopped);
        if (replica_)
            static_cast<void>(replica_->transferLeadership());
        settle();
        checkStop();
    }

    auto reload(const std::vector<Address> &seeds) -> void
    {
        auto members = std::vector<coord::Member> {};
        for (const auto &seed : seeds)
            members.push_back(memberAt(seed));
        transport_->setPeers(members);
    }

    auto propose(const Document &document, Done done) -> void
    {
        if (!replica_ || read().document == nullptr) {
            done(makeError(ErrorKind::NotLeader, "control"));
            return;
        }
        decisions_.propose(document, std::move(done));
        settle();
    }

    auto changeEvacuation(const catalogue::EvacuationChange &change, Done done) -> void
    {
        if (!replica_ || read().document == nullptr) {
            done(makeError(ErrorKind::NotLeader, "control"));
            return;
        }
        if (!registry_.knowsDomain(change.domain)
            && !decisions_.newestEvacuations().contains(change.domain)) {
            // A new leader may not have received the announcements from the domain yet.
            const auto isSettled = clock_.now() - leadingSince_ >= options_.domainsKnownAfter;
            done(makeError(isSettled ? ErrorKind::UnknownDomain : ErrorKind::NotLeader,
                           "domain=" + change.domain.value()));
            return;
        }
        decisions_.changeEvacuation(change, std::move(done));
        settle();
    }

    auto read() const -> ReadResult
    {
        if (!replica_ || stopping_)
            return {};
        if (replica_->holdsLease())
            return { &decisions_.log().document(), std::nullopt };
        const auto status = replica_->status();
        const auto *leader = status.membership.find(status.leader);
        if (leader == nullptr || status.leader == options_.name)
            return {};
        const auto address = parseAddress(leader->address);
        return { nullptr, address.ok() ? std::optional { *address } : std::nullopt };
    }

    auto status() const -> coord::ReplicaStatus
    {
        return replica_ ? replica_->status() : coord::ReplicaStatus {};
    }

    auto mayOrder() const -> bool
    {
        return replica_ && !stopping_ && leads_ && replica_->holdsLease()
                && clock_.now() - leadingSince_ >= options_.orderQuarantine;
    }

    auto close() -> void
    {
        tickTimer_.cancel();
        stopTimer_.cancel();
        planTimer_.cancel();
        recheckTimer_.cancel();
        if (server_)
            server_->stop();
        if (transport_)
            transport_->stop();
    }

    auto registry() -> Registry & { return registry_; }

    auto onAnnouncement(const catalogue::EndpointRow &row, Done done) -> void
    {
        announcements_.onAnnouncement(row, decisions_.newestDocument(), std::move(done));
    }

    auto announcements() -> Announcements & { return announcements_; }

    auto metricsPage() -> std::string
    {
        metrics_.setGroup({ .isInTouch = contact_.isInTouch(),
                            .isVoter = contact_.isVoter(),
                            .voters = status().membership.voterCount() });
        metrics_.setPicks(balancer_.status());
        return metrics_.text();
    }

private:
    // ---- wiring

    static auto withRegistryName(CoreOptions options) -> CoreOptions
    {
        options.registry.self = options.name;
        return options;
    }

    auto authority() -> Authority
    {
        auto authority = Authority {};
        authority.mayOrder = [this] { return mayOrder(); };
        authority.fence = [this] { return Fence { status().term.value() }; };
        authority.isEvacuated = [this](const DomainId &domain) {
            return decisions_.newestEvacuations().contains(domain);
        };
        authority.onPlanEnded = [this] {
            loadScheduler_.onLoadChanged();
            planSoon();
        };
        authority.onLoadAccepted = [this] { loadScheduler_.onLoadChanged(); };
        authority.onEndedDuringLoad = [this](const ModelId &model, const EndpointId &endpoint) {
            loadGuard_.onEnded(model, endpoint);
        };
        authority.onLoaded = [this](const ModelId &model) {
            loadGuard_.onLoaded(model);
            if (const auto error = loadScheduler_.onHeld(model, clock_.now()))
                metrics_.onLoadHeld(*error);
        };
        return authority;
    }

    auto retryLedgerParts() -> RetryLedgerParts
    {
        auto mayGrant
                = [this] { return replica_ && !stopping_ && leads_ && replica_->holdsLease(); };
        auto propose = [this](const RetryReservation &reservation) {
            decisions_.reserveRetries(
                    reservation, [this, service = reservation.service](const absl::Status &status) {
                        if (!status.ok())
                            retryLedger_.onNotReserved(service);
                    });
        };
        return { clock_, std::move(mayGrant), std::move(propose) };
    }

    auto memberAt(const Address &address) const -> coord::Member
    {
        auto member = coord::Member {};
        member.node = nodeAt(address);
        member.address = address.text();
        member.kind = coord::MemberKind::Voter;
        return member;
    }

    /// A control's node name is its address, so that seeds have a name before they are reached.
    static auto nodeAt(const Address &address) -> NodeId { return NodeId { "n" + address.text() }; }

    /// Handles connections that this control opens; the other controls send their updates on them.
    auto linkHandler() -> proto::PeerHandler
    {
        auto handler = proto::PeerHandler {};
        handler.onOpen = [weak = weak_from_this()](const proto::PeerPointer &peer) {
            const auto self = weak.lock();
            if (!self)
                return;
            peer->send({ 0, self->subscription() });
            LogEvent(LogLevel::Info, "control_regained").with("control", peer->peer());
        };
        handler.onMessage = [weak = weak_from_this()](const proto::PeerPointer &peer,
                                                      const proto::Envelope &envelope) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (const auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload))
                self->onUpdate(peer, *update);
            else if (const auto *news = std::get_if<proto::SuspectNews>(&envelope.payload))
                self->suspects_.onNews(*news);
            else if (const auto *use = std::get_if<proto::AccountNews>(&envelope.payload))
                self->ledger_.onNews(peer->peer(), *use);
            else if (const auto *reply = std::get_if<coord::RevisionReply>(&envelope.payload))
                self->proof_.onReply(*reply, self->decisions_.newestDocument().version);
        };
        handler.onClose = [weak = weak_from_this()](const proto::PeerPointer &peer,
                                                    const absl::Status &status) {
            LogEvent(LogLevel::Warning, "control_lost").with("control", peer->peer()).with(status);
            if (const auto self = weak.lock())
                self->versions_.onHistoryLost(peer->peer());
        };
        return handler;
    }

    auto serverHandler() -> proto::PeerHandler
    {
        auto handler = proto::PeerHandler {};
        handler.onMessage = [weak = weak_from_this()](const proto::PeerPointer &peer,
                                                      proto::Envelope envelope) {
            if (const auto self = weak.lock())
                self->onMessage(peer, std::move(envelope));
        };
        handler.onClose
                = [weak = weak_from_this()](const proto::PeerPointer &peer, const absl::Status &) {
                      const auto self = weak.lock();
                      if (!self)
                          return;
                      const auto kind = self->registry_.onClose(peer);
                      self->decisions_.rollout().onLost(peer);
                      self->demand_.onGatewayLost(peer->peer());
                      self->demandRelay_.onGatewayLost(peer->peer());
                      self->balancer_.onGatewayLost(peer->peer());
                      self->trials_.onGatewayLost(peer->peer());
                      // Connections of other controls have no requests in the ledger.
                      if (kind == proto::SubscriberKind::Gateway)
                          self->ledger_.onGatewayLost(peer->peer());
                      self->grants_.onClose(peer);
                      self->grants_.flush();
                  };
        return handler;
    }

    auto onMessage(const proto::PeerPointer &peer, proto::Envelope envelope) -> void
    {
        if (auto *message = std::get_if<coord::Message>(&envelope.payload)) {
            if (replica_)
                replica_->receive(*message);
            settle();
        } else if (const auto *subscribe = std::get_if<proto::Subscribe>(&envelope.payload)) {
            onSubscribe(peer, *subscribe);
        } else if (const auto *ack = std::get_if<proto::ServingAck>(&envelope.payload)) {
            registry_.onAck(peer, *ack);
        } else if (const auto *inForce = std::get_if<proto::InForce>(&envelope.payload)) {
            decisions_.rollout().onInForce(peer, *inForce);
        } else if (const auto *watch = std::get_if<proto::WatchRequest>(&envelope.payload)) {
            peer->send({ envelope.correlation, registry_.onWatch(peer, *watch) });
        } else if (const auto *asks
                   = std::get_if<proto::HandoffTargetsRequest>(&envelope.payload)) {
            peer->send({ envelope.correlation,
                         proto::HandoffTargetsReply { chooseHandoffTargets(
                                 registry_.handoffTargets(), peer->peer(), asks->preferred) } });
        } else if (const auto *wanted = std::get_if<proto::ModelWanted>(&envelope.payload)) {
            onWanted(peer->peer(), *wanted);
        } else if (const auto *retry = std::get_if<proto::RetryGrantRequest>(&envelope.payload)) {
            retryLedger_.ask(retry->service,
                             [peer, correlation = envelope.correlation](const auto &reply) {
                                 peer->send({ correlation, reply });
                             });
            settle();
        } else if (auto *pick = std::get_if<proto::PickRequest>(&envelope.payload)) {
            // A gateway that asks for no reply sends the request at once, whatever is decided here.
            pick->isOrdered = pick->isOrdered && envelope.correlation != 0;
            auto reply = onPick(peer->peer(), *pick);
            if (reply.isQueued)
                grants_.onQueued(peer);
            if (envelope.correlation != 0)
                peer->send({ envelope.correlation, std::move(reply) });
            grants_.flush();
            recheckWhileWaiting();
        } else if (const auto *end = std::get_if<proto::PickEnd>(&envelope.payload)) {
            balancer_.onEnd(peer->peer(), *end);
            trials_.onEnd(peer->peer(), end->ticket);
            ledger_.onEnd(peer->peer(), *end);
            grants_.flush();
        } else if (const auto *news = std::get_if<proto::SuspectNews>(&envelope.payload)) {
            suspects_.onNews(*news);
        } else if (std::holds_alternative<proto::DocumentProofRequest>(envelope.payload)) {
            proof_.ask(peer, envelope.correlation);
            proveDocument();
        } else if (const auto *query = std::get_if<coord::RevisionQuery>(&envelope.payload)) {
            peer->send({ 0, answerAsVoter(*query) });
        } else if (const auto *join = std::get_if<proto::JoinGroup>(&envelope.payload)) {
            onJoin(join->member);
        } else if (const auto *begun = std::get_if<proto::BegunStreams>(&envelope.payload)) {
            origins_.keep(*begun);
        } else if (const auto *asked = std::get_if<proto::StreamOriginQuery>(&envelope.payload)) {
            auto reply = origins_.answer(*asked);
            versions_.addTo(reply, asked->key.service, contact_.isInTouch());
            peer->send({ envelope.correlation, std::move(reply) });
        } else if (std::holds_alternative<proto::ManifestRequest>(envelope.payload)) {
            peer->send({ envelope.correlation, recentDocuments_.manifest() });
        } else if (const auto *blocks = std::get_if<proto::BlocksRequest>(&envelope.payload)) {
            peer->send({ envelope.correlation, recentDocuments_.blocks(*blocks) });
        } else {
            LogEvent(LogLevel::Warning, "message_not_expected").with("peer", peer->peer());
        }
    }

    /// Gateways with the whole list report to the leader; the others to any control.
    auto onWanted(const NodeId &sender, const proto::ModelWanted &wanted) -> void
    {
        if (leads_) {
            for (const auto &requests : wanted.requests)
                retryLedger_.onRequests(requests.service, requests.count);
            demandRelay_.onGatewayLost(sender); // What it reported before is out of date.
            if (demand_.onReport(sender, wanted))
                planSoon();
        } else if (demandRelay_.onReport(sender, wanted, clock_.now())) {
            nextRelayedDemand_ = {};
        }
    }

    auto relayDemand() -> void
    {
        const auto now = clock_.now();
        const auto leader = status().leader;
        if (now < nextRelayedDemand_ || leads_ || leader.empty())
            return;
        nextRelayedDemand_ = now + options_.relayDemandEvery;
        if (auto sum = demandRelay_.take(now))
            static_cast<void>(transport_->push(leader, *std::move(sum)));
    }

    auto subscription() const -> proto::Subscribe
    {
        auto subscribe = proto::Subscribe {};
        subscribe.kind = proto::SubscriberKind::Control;
        subscribe.hasWatchers = hasWatchers_;
        return subscribe;
    }

    /// The other controls must know whether the leaving of an endpoint concerns gateways here.
    auto noteWatchers() -> void
    {
        if (registry_.hasWatchers() == hasWatchers_)
            return;
        hasWatchers_ = !hasWatchers_;
        transport_->pushToAll(subscription());
    }

    auto onPick(const NodeId &gateway, proto::PickRequest &request) -> proto::PickReply
    {
        if (auto refusal = trials_.refuse(gateway, request))
            return *std::move(refusal);
        if (auto refusal = ledger_.refuse(gateway, request))
            return *std::move(refusal);
        trials_.narrow(request, [this](const EndpointId &id) { return balancer_.runningAt(id); });
        auto reply = balancer_.pick(gateway, request);
        reply.isNearLimit = ledger_.isNearLimit(request);
        // A queued request is an attempt of its work already: nobody else may start one meanwhile.
        if (!reply.endpoint.empty() || reply.isQueued)
            trials_.begin(gateway, request);
        ledger_.onReply(gateway, request.ticket, reply);
        return reply;
    }

    auto recheckWhileWaiting() -> void
    {
        if (balancer_.queue().waiting() == 0 || std::exchange(recheckPending_, true))
            return;
        recheckTimer_.expires_after(recheckInterval);
        recheckTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->recheckPending_ = false;
            self->balancer_.recheckWaiting();
            self->grants_.flush();
            self->recheckWhileWaiting();
        });
    }

    // ---- proof for gateways that their document is current

    auto answerAsVoter(const coord::RevisionQuery &query) const -> coord::RevisionReply
    {
        return voter_ && replica_ ? voter_->answer(query, replica_->status().membership)
                                  : coord::RevisionReply {};
    }

    auto proveDocument() -> void
    {
        if (const auto query = proof_.nextQuery()) {
            transport_->pushToAll(*query);
            proof_.onReply(answerAsVoter(*query), decisions_.newestDocument().version);
        }
        proof_.settle(decisions_.newestDocument().version);
    }

    auto onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe) -> void
    {
        registry_.onSubscribe(peer, subscribe);
        suspects_.onSubscribed(peer, subscribe.kind);
        if (subscribe.kind == proto::SubscriberKind::Gateway)
            decisions_.rollout().onSubscribed(peer, subscribe.ready, subscribe.inForce);
    }

    auto onUpdate(const proto::PeerPointer &peer, const proto::ServingUpdate &update) -> void
    {
        registry_.onUpdate(peer, update);
        if (update.softwareVersions)
            versions_.onHistory(peer->peer(), *update.softwareVersions);
        // A member gets the addresses of the others with the membership.
        if (!update.controls.empty() && contact_.shouldJoin())
            transport_->setPeers(update.controls);
    }

    auto onJoin(const coord::Member &member) -> void
    {
        // The transport needs the address before the control is a member, to send it a reply.
        transport_->setPeers({ member });
        if (replica_)
            groupManager_.onJoin(*replica_, member);
        settle();
    }

    // ---- the replica

    auto startReplica() -> void
    {
        auto options = options_.replica;
        options.self = memberAt(options_.peers);
        options.self.node = options_.name;
        options.self.domain = options_.domain;
        const auto isSeed = std::find(options_.seeds.begin(), options_.seeds.end(), options_.peers)
                != options_.seeds.end();
        if (options_.bootstrap && isSeed) {
            for (const auto &seed : options_.seeds)
                options.founders.push_back(memberAt(seed));
        }
        store_ = std::make_unique<coord::FileLogStore>(
                coord::FileLogStoreOptions { .folder = options_.dataFolder }, disk_);
        replica_ = std::make_unique<coord::Replica>(options, clock_, *transport_, *store_,
                                                    decisions_.log(), random_);
        decisions_.setReplica(replica_.get());
        // Each start of the replica gets a new voter, which requires what the disk holds.
        voter_.emplace(options_.name);
        replica_->setStoredHook([this](const coord::Entry &entry, bool stored) {
            voter_->onStored(entry, stored);
        });
        const auto status = replica_->start();
        if (status.ok())
            voter_->onRecovered();
        LogEvent(status.ok() ? LogLevel::Info : LogLevel::Error, "replica_started")
                .with("incarnation", replica_->status().incarnation)
                .with("document", decisions_.log().document().version)
                .with(status);
        settle();
    }

    /// Recreates from its disk a replica that has stopped because of a disk fault.
    auto restartIfStopped() -> void
    {
        const auto now = clock_.now();
        if (!replica_ || replica_->status().role != coord::Role::Stopped || stopping_)
            return;
        if (!stoppedAt_) {
            stoppedAt_ = now;
            LogEvent(LogLevel::Error, "replica_lost").with(replica_->status().failure);
        }
        if (now - *stoppedAt_ < options_.restartEvery)
            return;
        stoppedAt_.reset();
        decisions_.setReplica(nullptr);
        replica_.reset();
        store_.reset();
        startReplica();
    }

    auto schedule() -> void
    {
        tickTimer_.expires_after(options_.replica.tick);
        tickTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->tick();
            self->schedule();
        });
    }

    auto tick() -> void
    {
        if (replica_)
            replica_->tick();
        settle();
        restartIfStopped();
        registry_.tick();
        noteWatchers();
        relayDemand();
        decisions_.rollout().settle();
        suspects_.tick();
        ledger_.tick(contact_.hasLeader());
        retryLedger_.tick();
        proveDocument();
        rememberEndpoints();
        tellVersions();
        const auto now = clock_.now();
        if (now >= nextEndpointSave_ && replica_) {
            nextEndpointSave_ = now + groupCheckInterval;
            groupManager_.tick(*replica_);
            settle();
        }
        if (now >= nextJoin_) {
            nextJoin_ = now + joinEvery;
            askToJoin();
        }
        if (now >= nextLoads_ && leads_) {
            const auto share = registry_.gatewayCount() * loadReportSpacing;
            nextLoads_ = now + std::max<Duration>(options_.loadsEvery, share);
            registry_.publishLoads(demand_.loads());
        }
        if (now >= nextPlan_)
            planNow();
        sendLoadSchedule();
    }

    auto tellVersions() -> void
    {
        if (const auto changes = versions_.tick(contact_.isInTouch()))
            registry_.applySoftwareVersions(*changes);
    }

    /// Call after each call into the replica: completes proposals and publishes changes.
    auto settle() -> void
    {
        if (!replica_ || std::exchange(settling_, true))
            return;
        const auto now = replica_->status();
        contact_.observe(now);
        decisions_.settle(now);
        noteLeading(now);
        if (now.membership.members != members_) {
            members_ = now.membership.members;
            transport_->setPeers(members_);
        }
        auto group = GroupView {};
        recentDocuments_.addDocument(decisions_.newestDocument());
        group.document = decisions_.newestDocument().version;
        group.leader = now.leader;
        group.term = now.term;
        group.controls = members_;
        group.evacuations = decisions_.newestEvacuations();
        group.isCurrent = contact_.isInTouch();
        registry_.setGroup(group);
        settling_ = false;
    }

    // ---- state that survives a loss of all processes

    auto recall() -> void
    {
        decisions_.recall();
        auto endpoints = lastKnown_.loadEndpoints();
        LogEvent(LogLevel::Info, "endpoints_recalled")
                .with("endpoints", static_cast<std::uint64_t>(endpoints.size()));
        registry_.recall(std::move(endpoints));
        suspects_.recall();
    }

    /// @return true if the fleet starts for the first time, with an empty disk
    auto isFirstStart() const -> bool
    {
        const auto now = status();
        return mayFound(now) && now.role != coord::Role::Stopped && now.term == Term {};
    }

    auto rememberEndpoints() -> void
    {
        const auto now = clock_.now();
        if (!endpointsChanged_ || now < nextSave_)
            return;
        endpointsChanged_ = false;
        const auto size = static_cast<std::int64_t>(registry_.size());
        nextSave_ = now + std::max<Duration>(options_.saveEndpointsEvery, size * saveTimePerRow);
        auto rows = std::vector<catalogue::EndpointRow> {};
        for (const auto *row : registry_.rows())
            rows.push_back(*row);
        lastKnown_.save(rows);
    }

    auto noteLeading(const coord::ReplicaStatus &now) -> void
    {
        const auto leads = now.role == coord::Role::Leader;
        if (leads == leads_ && (!leads || now.term == leadTerm_))
            return;
        leads_ = leads;
        leadTerm_ = now.term;
        leadingSince_ = clock_.now();
        LogEvent(LogLevel::Info, leads ? "leading" : "not_leading").with("term", now.term);
        loadScheduler_.reset();
        if (!leads)
            return;
        orders_.onLeading();
        demand_.clear();
    }

    auto mayFound(const coord::ReplicaStatus &now) const -> bool
    {
        return options_.bootstrap && now.lastIndex == LogIndex {}
        && std::find(options_.seeds.begin(), options_.seeds.end(), options_.peers)
                != options_.seeds.end();
    }

    auto askToJoin() -> void
    {
        if (!replica_ || stopping_ || !contact_.shouldJoin())
            return;
        const auto now = replica_->status();
        // A founder does not ask to join: it becomes a member when the group is founded.
        if (mayFound(now))
            return;
        auto member = memberAt(options_.peers);
        member.node = options_.name;
        member.domain = options_.domain;
        member.incarnation = now.incarnation;
        member.kind = coord::MemberKind::Learner;
        transport_->pushToAll(proto::JoinGroup { std::move(member) });
    }

    // ---- placement

    auto planSoon() -> void
    {
        if (!leads_ || std::exchange(planPending_, true))
            return;
        planTimer_.expires_at(std::max(BootClock::now(), planAgainAt_));
        planTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->planPending_ = false;
            self->planNow();
        });
    }

    auto planNow() -> void
    {
        nextPlan_ = clock_.now() + options_.planEvery;
        if (!mayOrder())
            return;
        const auto begun = BootClock::now();
        planning_.run(leadTerm_);
        loadScheduler_.onPass(planning_.lacked());
        // A control with a small share of a core and many endpoints must leave time for other work:
        // a plan of 6 ms takes 40 ms on a sixth of a core, and without a pause one plan would
        // directly follow the other.
        const auto ended = BootClock::now();
        planAgainAt_ = ended + std::max<Duration>(planPause, (ended - begun) * idlePerPlan);
    }

    /// Tells the gateways that are subscribed here when the models that they lack are expected.
    auto sendLoadSchedule() -> void
    {
        const auto now = clock_.now();
        if (!loadScheduler_.isDue(now) || !mayOrder())
            return;
        auto schedule = loadScheduler_.next(leadTerm_, orders_.loads(), now);
        if (!schedule)
            return;
        metrics_.onLoadSchedule(*schedule);
        registry_.push(proto::SubscriberKind::Gateway, *std::move(schedule));
    }

    // ---- stopping

    auto checkStop() -> void
    {
        const auto passed = clock_.now() - stopRequestedAt_;
        const auto leads = replica_ && replica_->status().role == coord::Role::Leader;
        if ((!leads && passed >= lingerAfterHandover) || passed >= handoverTimeout) {
            LogEvent(LogLevel::Info, "core_stopped").with("leads", leads);
            close();
            onStopped_();
            return;
        }
        stopTimer_.expires_after(stopCheckInterval);
        stopTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->checkStop();
        });
    }

    asio::io_context &context_;
    std::shared_ptr<PeerBudget> budget_; ///< May be empty.
    CoreOptions options_;
    const Clock &clock_;
    ReadDocument readDocument_;
    Random random_;
    coord::PosixDisk disk_;
    LastKnownStore lastKnown_;
    RecentDocuments recentDocuments_;
    Metrics metrics_;
    Decisions decisions_;
    Registry registry_;
    ServedVersions versions_;
    OriginStore origins_;
    GroupManager groupManager_;
    GroupContact contact_;
    Announcements announcements_;
    policy::Quarantine quarantine_ { {} };
    SuspectSync suspects_;
    Trials trials_;
    LoadGuard loadGuard_;
    DemandTable demand_;
    DemandRelay demandRelay_;
    Balancer balancer_;
    AccountLedger ledger_;
    RetryLedger retryLedger_;
    PlaceGrants grants_;
    DocumentProof proof_;
    std::optional<DocumentVoter> voter_; ///< Created for each start of the replica.
    std::unique_ptr<control::PeerTransport> transport_;
    std::unique_ptr<proto::PeerServer> server_;
    std::unique_ptr<coord::FileLogStore> store_;
    std::unique_ptr<coord::Replica> replica_;
    std::vector<coord::Member> members_;
    OrderRunner orders_;
    Planning planning_;
    LoadScheduler loadScheduler_;
    BootTimer tickTimer_;
    BootTimer stopTimer_;
    BootTimer planTimer_;
    BootTimer recheckTimer_;
    Instant planAgainAt_ {}; ///< Earliest time of the next planning pass.
    std::function<void()> onStopped_;
    std::optional<Instant> stoppedAt_; ///< When the replica stopped.
    Instant stopRequestedAt_ {};
    Instant leadingSince_ {};
    Instant nextEndpointSave_ {};
    Instant nextJoin_ {};
    Instant nextPlan_ {};
    Instant nextLoads_ {};
    Instant nextSave_ {};
    Instant nextRelayedDemand_ {};
    bool hasWatchers_ = false; ///< As announced to the other controls.
    Term leadTerm_;
    bool leads_ = false;
    bool settling_ = false;
    bool planPending_ = false;
    bool recheckPending_ = false; ///< Whether recheckTimer_ runs.
    bool endpointsChanged_ = false;
    bool stopping_ = false;
};

Core::Core(asio::io_context &context, CoreOptions options, const Clock &clock,
           const OrderPort &port, ReadDocument readDocument, std::uint64_t seed,
           std::shared_ptr<PeerBudget> budget)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, port,
                                   std::move(readDocument), seed, std::move(budget)))
{ }

Core::~Core()
{
    impl_->close();
}

auto Core::start() -> absl::Status
{
    return impl_->start();
}

auto Core::requestStop(std::function<void()> onStopped) -> void
{
    impl_->requestStop(std::move(onStopped));
}

auto Core::reload(const std::vector<Address> &seeds) -> void
{
    impl_->reload(seeds);
}

auto Core::propose(const Document &document, Done done) -> void
{
    impl_->propose(document, std::move(done));
}

auto Core::changeEvacuation(const catalogue::EvacuationChange &change, Done done) -> void
{
    impl_->changeEvacuation(change, std::move(done));
}

auto Core::read() const -> ReadResult
{
    return impl_->read();
}

auto Core::registry() -> Registry &
{
    return impl_->registry();
}

auto Core::onAnnouncement(const catalogue::EndpointRow &row, Done done) -> void
{
    impl_->onAnnouncement(row, std::move(done));
}

auto Core::onDeregistration(const EndpointId &id, Done done) -> void
{
    impl_->announcements().onDeregistration(id, std::move(done));
}

auto Core::onBadAnnouncement(const absl::Status &reason) -> void
{
    impl_->announcements().refuse(reason);
}

auto Core::metricsPage() -> std::string
{
    return impl_->metricsPage();
}

auto Core::mayOrder() const -> bool
{
    return impl_->mayOrder();
}

} // namespace figrack::fleet
