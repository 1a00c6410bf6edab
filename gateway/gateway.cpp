#include "gateway/gateway.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/boottimer.h"
#include "core/duration.h"
#include "core/log.h"
#include "gateway/controlfeed.h"
#include "gateway/controlorigins.h"
#include "gateway/handoffs.h"
#include "gateway/handoffserver.h"
#include "gateway/originexchange.h"
#include "gateway/streamorigins.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Interval at which a planned stop checks its progress.
constexpr auto stopCheckInterval = std::chrono::milliseconds { 50 };
/// Time of the leader per report. Each gateway reports at most once per this time multiplied by the
/// number of gateways; with 291 gateways, a report is at most 1.5 s old.
constexpr auto leaderTimePerReport = std::chrono::milliseconds { 5 };
/// Delay of an urgent report of a missing model, so that several are sent together.
constexpr auto urgentReportDelay = std::chrono::milliseconds { 5 };

} // namespace

class Gateway::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, GatewayOptions options, const Clock &clock,
         const Dialect &dialect, std::uint64_t seed, std::function<void()> onStopped,
         const std::shared_ptr<PeerBudget> &budget)
        : context_(context)
        , options_(std::move(options))
        , clock_(clock)
        , dialect_(dialect)
        , onStopped_(std::move(onStopped))
        , random_(seed)
        , view_(options_.view, clock)
        , paths_(clock, options_.paths)
        , versions_(options_.versions, clock)
        , demand_(clock)
        , loadWatch_({}, clock)
        , waiters_(context)
        , client_(context, options_.client, clock)
        , prober_(options_.prober, { context, clock, view_, client_, paths_ })
        , feed_(context, feedOptions(), clock, feedHooks())
        , handoffs_(handoffsOptions(),
                    { context, clock, random_, waiters_,
                      [this](HandoffsParts::Done done) { askHandoffTargets(std::move(done)); } })
        , originExchange_({ options_.keys }, context, clock)
        , controlOrigins_({}, controlOriginsParts())
        , origins_(originsOptions(), originsParts())
        , retries_(options_.retries, clock, metrics_,
                   [this](const auto &request, Duration timeout, auto done) {
                       return feed_.askRetry(request, timeout, std::move(done));
                   })
        , picker_(options_.picker, feed_.balancerLink(), metrics_, random_, clock)
        , crashDetector_({}, { context, clock, view_, quarantine_, metrics_, paths_ },
                         [this] {
                             feed_.sendSuspects(
                                     quarantine_.takeLocalChanges(policy::millisOf(clock_.now())));
                         })
        , forwarder_(forwarderOptions(), { context,
                                           clock,
                                           dialect,
                                           view_,
                                           retries_,
                                           demand_,
                                           waiters_,
                                           metrics_,
                                           client_,
                                           picker_,
                                           random_,
                                           quarantine_,
                                           crashDetector_,
                                           paths_,
                                           feed_.keyLease(),
                                           [this](const proto::WatchKey &key) { return feed_.wantEndpoints(key); },
                                           &loadWatch_,
                                           &handoffs_,
                                           &origins_,
                                           budget })
        , server_(
                  context, options_.server,
                  [this](const http::Request &request, http::Responder &responder) {
                      return forwarder_.handle(request, responder);
                  },
                  budget)
        , handoffServer_(
                  context, { options_.server, options_.keys },
                  [this](const http::Request &request, const proto::HandoffTerms &terms,
                         http::Responder &responder) {
                      metrics_.onTakenOver();
                      return forwarder_.handleHandedOver(request, terms, responder);
                  },
                  [this](const proto::StreamOriginMessage &message) {
                      return origins_.onMessage(message);
                  },
                  budget)
        , demandTimer_(context)
        , urgentTimer_(context)
        , stopTimer_(context)
        , reachedTimer_(context)
    { }

    auto start() -> absl::Status
    {
        demand_.setOnUrgent([this] { reportSoon(); });
        versions_.setOnSecondVersion(
                [this](const ServiceId &service) { origins_.onSecondVersion(service); });
        view_.setOnSuperseded([this](const EndpointId &id, catalogue::EndpointState before) {
            crashDetector_.onSuperseded(id, before);
            forwarder_.endDispatches(id);
        });
        paths_.setOnChanged([this](const EndpointGroup &group, PathState before, PathState now) {
            onPathChanged(group, before, now);
        });
        prober_.start();
        if (auto status = server_.start(options_.callers); !status.ok())
            return status;
        if (auto status = handoffServer_.start({ options_.callers.ip, options_.handoffPort });
            !status.ok())
            return status;
        feed_.setHandoffs({ options_.callers.ip, handoffServer_.port() });
        feed_.start();
        scheduleDemand();
        LogEvent(LogLevel::Info, "gateway_started").with("callers", options_.callers.text());
        return absl::OkStatus();
    }

    auto requestStop() -> void
    {
        stopping_ = true;
        stopAskedAt_ = clock_.now();
        feed_.setReady(false);
        origins_.onLeaving();
        forwarder_.setStopTime(stopAskedAt_ + options_.stopBy);
        LogEvent(LogLevel::Info, "gateway_leaving")
                .with("in_progress", static_cast<std::uint64_t>(inProgress()));
        checkStop();
    }

    auto reload(const std::vector<Address> &seeds) -> void
    {
        LogEvent(LogLevel::Info, "gateway_reloaded")
                .with("seeds", static_cast<std::uint64_t>(seeds.size()));
        feed_.addSeeds(seeds);
    }

    auto ready() const -> bool { return !stopping_ && forwarder_.catalogue() != nullptr; }

    auto metricsPage() -> std::string
    {
        auto gauges = GatewayGauges {};
        gauges.version = forwarder_.version().value();
        gauges.endpoints = view_.size();
        gauges.waiting = waiters_.size();
        gauges.queued = picker_.waits().queued();
        gauges.inProgress = inProgress();
        gauges.unreachedGroups = paths_.unreached().size();
        gauges.handedOver = handoffs_.targets().inProgress();
        gauges.suspects = quarantine_.size();
        gauges.quarantined = quarantine_.quarantined(policy::millisOf(clock_.now()));
        gauges.rateLimited = view_.rateLimited();
        gauges.backedOff = view_.backedOff();
        gauges.heldBytes = forwarder_.heldBytes().sum();
        gauges.callersBufferedFor = forwarder_.heldBytes().callersBufferedFor();
        gauges.endpointsSilent = paths_.allSilentFor();
        gauges.ready = ready();
        return metrics_.text(gauges);
    }

    auto stop() -> void
    {
        server_.stop();
        handoffServer_.stop();
        originExchange_.stop();
        controlOrigins_.stop();
        prober_.stop();
        feed_.stop();
        reachedTimer_.cancel();
        demandTimer_.cancel();
        urgentTimer_.cancel();
        stopTimer_.cancel();
    }

private:
    auto feedOptions() const -> ControlFeedOptions
    {
        auto result = ControlFeedOptions {};
        result.channel = proto::fleetChannel(options_.name, options_.keys);
        result.callers = options_.callers;
        result.domain = options_.domain;
        result.capacity = options_.capacity;
        result.seeds = options_.seeds;
        result.keyLease = options_.keyLease;
        return result;
    }

    auto forwarderOptions() const -> ForwarderOptions
    {
        auto result = options_.forwarder;
        result.self = options_.name;
        return result;
    }

    auto handoffsOptions() const -> HandoffsOptions
    {
        auto result = HandoffsOptions {};
        result.targets.domain = options_.domain;
        result.keys = options_.keys;
        return result;
    }

    auto originsOptions() const -> StreamOriginsOptions
    {
        auto result = StreamOriginsOptions {};
        result.self = options_.name;
        result.waits.window = options_.versions.window;
        return result;
    }

    auto originsParts() -> StreamOriginsParts
    {
        return { context_,
                 clock_,
                 random_,
                 metrics_,
                 [this](const ServiceId &service) { return versions_.versionsOf(service); },
                 [this] { return versions_.isComplete(); },
                 [this] { return versions_.owners(); },
                 originExchange_.transport(),
                 { [this](const proto::BegunStream &stream) { controlOrigins_.tell(stream); },
                   [this](const proto::StreamKey &key, Duration timeout, auto done) {
                       controlOrigins_.ask(key, timeout, std::move(done));
                   } } };
    }

    auto controlOriginsParts() -> ControlOriginsParts
    {
        return { context_,
                 random_,
                 metrics_,
                 [this] { return feed_.controls(); },
                 [this] { return feed_.areAllConnected(); },
                 [this] { return feed_.gateways(); },
                 [this](const NodeId &control, proto::Payload message) {
                     return feed_.pushTo(control, std::move(message));
                 },
                 [this](const NodeId &control, proto::Payload message, Duration timeout,
                        ControlOriginsParts::OnReply onReply) {
                     return feed_.callAt(control, std::move(message), timeout, std::move(onReply));
                 } };
    }

    auto askHandoffTargets(HandoffsParts::Done done) -> void
    {
        // Gateways of the own region are nearer, and in the homes of the same routes.
        auto preferred = std::vector<DomainId> { options_.domain };
        const auto &regions = options_.forwarder.regions;
        const auto own = regions.find(options_.domain);
        for (const auto &[domain, region] : regions) {
            if (own != regions.end() && region == own->second && domain != options_.domain)
                preferred.push_back(domain);
        }
        feed_.askHandoffTargets(std::move(preferred), std::move(done));
    }

    auto feedHooks() -> ControlFeedHooks
    {
        auto hooks = ControlFeedHooks {};
        hooks.onUpdate = [this](const Address &control, const proto::ServingUpdate &update) {
            onUpdate(control, update);
        };
        hooks.onDocument = [this](const FetchedDocument &document) { return onDocument(document); };
        hooks.onSuspects = [this](const proto::SuspectNews &news) { onSuspects(news); };
        hooks.suspects = [this] { return quarantine_.rows(1, policy::millisOf(clock_.now())); };
        hooks.onKeysProved = [this] { waiters_.wakeAll(); };
        hooks.onWholeListGivenUp = [this] { view_.withdrawAll(); };
        hooks.onWatched = [this](const auto &rows, bool isReset) {
            view_.applyWatched(rows, isReset);
            versions_.onRows(rows);
            waiters_.wakeAll();
        };
        hooks.onSourceHeard = [this] { view_.onSourceHeard(); };
        hooks.onGrant = [this](const Address &control, const proto::PickGrant &grant) {
            picker_.waits().onGrant(control, grant);
        };
        hooks.onControlClosed = [this](const Address &control) {
            versions_.onControlClosed(control);
            picker_.waits().onClosed(control);
        };
        hooks.onBalancer = [this](const auto &balancer) { picker_.waits().onBalancer(balancer); };
        hooks.onLoadSchedule = [this](const proto::LoadSchedule &schedule) {
            if (loadWatch_.onSchedule(schedule))
                metrics_.onLoadSchedule();
        };
        return hooks;
    }

    auto onSuspects(const proto::SuspectNews &news) -> void
    {
        const auto now = policy::millisOf(clock_.now());
        for (const auto &row : news.rows) {
            if (!quarantine_.merge(row, now))
                continue;
            const auto verdict = quarantine_.verdict(row.work, now);
            LogEvent(LogLevel::Info, "suspect_told")
                    .with("work", row.work.text())
                    .with("ends", std::uint64_t { verdict.ends })
                    .with("standing", policy::standingName(verdict.standing))
                    .with("release_ms", verdict.releaseIn);
        }
        waiters_.wakeAll(); // Requests that wait may have been put in quarantine.
        // Report those of the rows that have recently completed here.
        if (const auto own = quarantine_.takeLocalChanges(now); !own.empty())
            feed_.sendSuspects(own);
    }

    auto onPathChanged(const EndpointGroup &group, PathState before, PathState now) -> void
    {
        metrics_.onPathChanged(pathStateName(now));
        const auto isLoss = now == PathState::Lost || now == PathState::KeptOnly;
        const auto wasLost = before == PathState::Lost || before == PathState::KeptOnly;
        if (now == PathState::Suspected || isLoss)
            handoffs_.prepare();
        if (isLoss) {
            // What cuts off one group often cuts off others.
            for (const auto &other : view_.groups()) {
                if (other != group)
                    paths_.suspectIfUnheard(other);
            }
        }
        // A lone endpoint may be silent for reasons of its own.
        if (now == PathState::Lost && view_.listening(group).size() > 1)
            forwarder_.onPathLost(group);
        if (now == PathState::Open && wasLost)
            view_.forgiveFailures(group);
        crashDetector_.onPathChanged();
        waiters_.wakeAll();
        if (isLoss)
            reportPaths();
        else if (wasLost)
            reportPathsLater();
    }

    auto reportPaths() -> void
    {
        auto unreached = paths_.unreached();
        auto known = view_.groups();
        for (const auto &group : unreached)
            known.erase(group);
        const auto reachesNone = known.empty() && !unreached.empty();
        if (std::exchange(reachesNone_, reachesNone) != reachesNone) {
            LogEvent(LogLevel::Warning, "endpoints_reached")
                    .with("none", reachesNone)
                    .with("unreached_groups", static_cast<std::uint64_t>(unreached.size()));
            for (const auto &group : unreached) {
                if (reachesNone && paths_.state(group) == PathState::Lost)
                    forwarder_.onPathLost(group);
            }
        }
        feed_.setUnreached(std::move(unreached), reachesNone);
    }

    auto reportPathsLater() -> void
    {
        reachedTimer_.expires_after(options_.reachedAgainAfter);
        reachedTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->reportPaths();
        });
    }

    auto onUpdate(const Address &control, const proto::ServingUpdate &update) -> void
    {
        versions_.onUpdate(control, update);
        if (update.gateways > 0) {
            gateways_ = update.gateways;
            picker_.setGateways(update.gateways);
        }
        if (view_.apply(update))
            waiters_.wakeAll();
    }

    auto onDocument(const FetchedDocument &document) -> bool
    {
        auto catalogue = dialect_.readDocument(document.text);
        if (!catalogue.ok()) {
            // The controls accepted the document, so a newer version of the program wrote it and
            // this one cannot read it.
            LogEvent(LogLevel::Error, "document_not_read")
                    .with("version", document.version)
                    .with(catalogue.status());
            return false;
        }
        LogEvent(LogLevel::Info, "config_in_force")
                .with("version", document.version)
                .with("before", forwarder_.version())
                .with("routes", static_cast<std::uint64_t>(catalogue->routes.size()))
                .with("accounts",
                      catalogue->accounts ? static_cast<std::int64_t>(catalogue->accounts->size())
                                          : -1)
                .with("bytes", static_cast<std::uint64_t>(document.text.size()))
                .with("fetched_bytes", document.fetchedBytes)
                .with("asked", std::uint64_t { document.asked })
                .with("overdue", std::uint64_t { document.overdue })
                .with("took_ms", wholeMillis(document.took));
        metrics_.onDocument(document.took, document.overdue, document.fetchedBytes);
        forwarder_.setCatalogue(
                std::make_shared<const catalogue::Catalogue>(*std::move(catalogue)));
        feed_.setReady(ready());
        return true;
    }

    auto scheduleDemand() -> void
    {
        // If the leader receives the reports of all gateways, the interval grows with their number.
        const auto share = feed_.isWhole() ? gateways_ * leaderTimePerReport : Duration {};
        demandTimer_.expires_after(std::max<Duration>(options_.demandEvery, share));
        demandTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->reportDemand();
            self->scheduleDemand();
        });
    }

    auto reportDemand() -> void
    {
        auto report = demand_.take();
        const auto unreached = view_.unreached();
        report.unreachable = view_.unreachable();
        std::erase_if(report.unreachable, [&](const EndpointId &id) {
            return std::find(unreached.begin(), unreached.end(), id) != unreached.end();
        });
        report.unreachedGroups = paths_.unreached();
        for (const auto &id : unreached) {
            const auto *entry = view_.find(id);
            if (entry != nullptr && paths_.isOpen(entry->row.group()))
                report.unreached.push_back({ id });
        }
        report.loads = view_.takeLoads();
        report.requests = retries_.takeRequests();
        auto told = std::tuple { report.unreachable, unreached, report.unreachedGroups };
        const auto isUnchanged
                = report.rows.empty() && report.requests.empty() && told == reportedUnreachable_;
        reportedUnreachable_ = std::move(told);
        if (!isUnchanged)
            static_cast<void>(feed_.sendWanted(std::move(report)));
    }

    auto reportSoon() -> void
    {
        if (std::exchange(urgentPending_, true))
            return;
        urgentTimer_.expires_after(urgentReportDelay);
        urgentTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->urgentPending_ = false;
            self->reportDemand();
        });
    }

    auto inProgress() const -> std::size_t
    {
        return server_.inProgress() + handoffServer_.inProgress();
    }

    auto checkStop() -> void
    {
        const auto passed = clock_.now() - stopAskedAt_;
        if (passed >= options_.stopServing && !refusing_) {
            refusing_ = true;
            forwarder_.refuseNew();
            // Other gateways ask for the origins of streams until the end.
            server_.stopAccepting();
        }
        const auto idle = refusing_ && inProgress() == 0
                && passed >= options_.stopServing + std::chrono::milliseconds { 500 };
        const auto isEnding = idle || passed >= options_.stopBy - stopCheckInterval;
        // Idle connections of other gateways end a moment before the process.
        if (isEnding && !std::exchange(handoffsClosed_, true)) {
            handoffServer_.stopAccepting();
        } else if (isEnding) {
            LogEvent(LogLevel::Info, "gateway_stopped")
                    .with("in_progress", static_cast<std::uint64_t>(inProgress()));
            stop();
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
    GatewayOptions options_;
    const Clock &clock_;
    const Dialect &dialect_;
    std::function<void()> onStopped_;
    Random random_;
    FleetView view_;
    EndpointPaths paths_;
    VersionHistory versions_;
    Demand demand_;
    LoadWatch loadWatch_;
    Waiters waiters_;
    Metrics metrics_;
    policy::Quarantine quarantine_ { {} };
    http::Client client_;
    PathProber prober_;
    ControlFeed feed_;
    Handoffs handoffs_;
    OriginExchange originExchange_;
    ControlOrigins controlOrigins_;
    StreamOrigins origins_;
    RetryBudget retries_;
    Picker picker_;
    CrashDetector crashDetector_;
    Forwarder forwarder_;
    http::Server server_;
    HandoffServer handoffServer_;
    BootTimer demandTimer_;
    BootTimer urgentTimer_;
    BootTimer stopTimer_;
    BootTimer reachedTimer_; ///< Until the controls are told that endpoints are reached again.
    bool reachesNone_ = false;
    std::uint32_t gateways_ = 1; ///< Last number of gateways that a control announced.
    Instant stopAskedAt_ {};
    /// Endpoints and groups that the last report was about.
    std::tuple<std::vector<EndpointId>, std::vector<EndpointId>, std::vector<EndpointGroup>>
            reportedUnreachable_;
    bool stopping_ = false;
    bool refusing_ = false;
    bool handoffsClosed_ = false; ///< Other gateways are not answered any more.
    bool urgentPending_ = false;
};

Gateway::Gateway(asio::io_context &context, GatewayOptions options, const Clock &clock,
                 const Dialect &dialect, std::uint64_t seed, std::function<void()> onStopped,
                 const std::shared_ptr<PeerBudget> &budget)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, dialect, seed,
                                   std::move(onStopped), budget))
{ }

Gateway::~Gateway()
{
    impl_->stop();
}

auto Gateway::start() -> absl::Status
{
    return impl_->start();
}

auto Gateway::requestStop() -> void
{
    impl_->requestStop();
}

auto Gateway::reload(const std::vector<Address> &seeds) -> void
{
    impl_->reload(seeds);
}

auto Gateway::ready() const -> bool
{
    return impl_->ready();
}

auto Gateway::metricsPage() -> std::string
{
    return impl_->metricsPage();
}

} // namespace figrack::gateway
