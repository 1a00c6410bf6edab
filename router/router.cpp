// The objects are constructed in dependency order: view, link, scheduler,
// dispatcher, claims, callers, server. One timer drives everything that is not
// triggered by an event: queue deadlines, idempotency keys, cache polls and the
// drain.

#include "router/router.h"

#include <atomic>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "core/boottimer.h"
#include "core/log.h"
#include "http/client.h"
#include "http/server.h"
#include "report/recorder.h"
#include "router/cachepoll.h"
#include "router/callers.h"
#include "router/claims.h"
#include "router/controllink.h"
#include "router/dispatch.h"
#include "router/metrics.h"
#include "router/scheduler.h"
#include "router/view.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;

constexpr auto tickEvery = std::chrono::milliseconds { 20 };
constexpr auto noticeTimeout = std::chrono::seconds { 2 };

auto millisOf(Duration duration) -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns an incarnation that is higher than those of earlier processes as long as the wall clock
/// has advanced. The random low bits make it differ even if the clock has not.
auto newIncarnation(const Clock &clock, std::uint64_t seed) -> Incarnation
{
    constexpr auto randomBits = 20U;
    const auto wall = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    return Incarnation { (wall << randomBits) | (seed & ((1U << randomBits) - 1)) };
}

auto schedulerOptions(const RouterOptions &options, std::uint64_t seed) -> SchedulerOptions
{
    auto out = SchedulerOptions {};
    out.queue.maxPerClass = options.maxQueuedPerClass;
    out.queue.maxPerCaller = options.maxQueuedPerCaller;
    out.queue.maxTotal = options.maxQueued;
    out.expectedLoad = millisOf(options.expectedLoad);
    out.seed = seed;
    return out;
}

auto clientOptions(const RouterOptions &options) -> http::ClientOptions
{
    auto out = http::ClientOptions {};
    out.maxBodyBytes = options.maxAnswerBytes;
    return out;
}

auto serverOptions(const RouterOptions &options) -> http::ServerOptions
{
    auto out = http::ServerOptions {};
    out.maxBodyBytes = options.maxBodyBytes;
    out.certificateFile = options.certificateFile;
    out.keyFile = options.keyPemFile;
    return out;
}

auto budgetOptions(const RouterOptions &options) -> PeerBudgetOptions
{
    auto out = PeerBudgetOptions {};
    out.maxBytes = options.maxHeldBytes;
    out.maxConnections = options.maxConnections;
    return out;
}

auto dispatchOptions(const RouterOptions &options) -> DispatchOptions
{
    return { options.streamIdle, options.maxAnswerBytes };
}

auto claimOptions(const RouterOptions &options, Incarnation incarnation) -> ClaimOptions
{
    auto out = ClaimOptions {};
    out.self = options.self;
    out.incarnation = incarnation;
    out.timeout = options.claimTimeout;
    out.window = options.claimWindow;
    return out;
}

auto drainOptions(const RouterOptions &options) -> DrainOptions
{
    auto out = DrainOptions {};
    out.addressLifetime = options.addressLifetime;
    out.propagationTime = options.drainPropagationTime;
    return out;
}

} // namespace

class Router::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, const RouterOptions &options, const Clock &clock,
         std::shared_ptr<proto::PeerKeys> keys, std::uint64_t seed,
         std::function<void()> onStopped);

    auto start() -> absl::Status;
    auto stop() -> void;
    auto requestStop() -> void;

    RouterOptions options;
    const Clock &clock;
    Incarnation incarnation;
    std::function<void()> onStopped;
    asio::strand<asio::io_context::executor_type> strand;
    BootTimer timer;

    View view;
    report::Recorder recorder;
    Metrics metrics;
    http::Client client;
    RetryBudget budget;
    Drain drain;
    ControlLink link;
    Scheduler scheduler;
    Dispatcher dispatcher;
    std::shared_ptr<Claims> claims;
    CachePoller cachePoller;
    Callers callers;
    http::Server server;

private:
    auto linkOptions(std::shared_ptr<proto::PeerKeys> keys) const -> ControlLinkOptions;
    auto linkHooks() -> ControlLinkHooks;
    auto schedulerHooks() -> SchedulerHooks;
    auto callerParts() -> CallerParts;
    auto scheduleTick() -> void;
    auto tick() -> void;
    auto pollCaches() -> void;
    auto sendDrainNotice() -> void;
    auto finishStop() -> void;

    Instant cachePollAt_ {};
    bool polling_ = false;
    bool finished_ = false;
    std::atomic<bool> stopped_ = false;
};

Router::Impl::Impl(asio::io_context &context, const RouterOptions &given, const Clock &ticking,
                   std::shared_ptr<proto::PeerKeys> keys, std::uint64_t seed,
                   std::function<void()> whenStopped)
    : options(given)
    , clock(ticking)
    , incarnation(newIncarnation(ticking, seed))
    , onStopped(std::move(whenStopped))
    , strand(asio::make_strand(context))
    , timer(strand)
    , view(options.self, options.serviceSlots)
    , recorder(clock)
    , client(context, clientOptions(options), ticking)
    , budget(options.retry, seed)
    , drain(drainOptions(options), clock)
    , link(context, linkOptions(std::move(keys)), clock, view, linkHooks())
    , scheduler(schedulerOptions(options, seed), clock, view, schedulerHooks())
    , dispatcher(dispatchOptions(options), clock, scheduler, budget, view,
                 [this](http::ClientRequest request, Duration timeout) {
                     return client.open(std::move(request), timeout);
                 })
    , claims(std::make_shared<Claims>(
              claimOptions(options, incarnation), clock,
              [this](proto::Payload payload, Duration timeout, ControlLink::ReplyHandler done) {
                  link.callLeader(std::move(payload), timeout, std::move(done));
              }))
    , cachePoller(clock, scheduler, client)
    , callers(callerParts())
    , server(context, serverOptions(options), callers.handler(),
             std::make_shared<PeerBudget>(budgetOptions(options), ticking))
{ }

auto Router::Impl::linkOptions(std::shared_ptr<proto::PeerKeys> keys) const -> ControlLinkOptions
{
    auto out = ControlLinkOptions {};
    out.registration.node = options.self;
    out.registration.incarnation = incarnation;
    out.registration.domain = options.domain;
    out.registration.callerAddress = options.callerAddress.text();
    out.controls = options.controls;
    out.channel.self = options.self;
    out.channel.keys = std::move(keys);
    out.viewLease = options.viewLease;
    out.demandEvery = options.demandEvery;
    out.demandIdleEvery = options.demandIdleEvery;
    return out;
}

auto Router::Impl::linkHooks() -> ControlLinkHooks
{
    auto hooks = ControlLinkHooks {};
    hooks.onViewChanged = [this] { scheduler.onViewChanged(); };
    hooks.onLoad = [this](const proto::LoadDigest &digest) { scheduler.onLoad(digest); };
    hooks.takeDemand = [this] { return scheduler.takeDemand(); };
    hooks.encodeReport = [this](Duration window) { return recorder.encode(window); };
    return hooks;
}

auto Router::Impl::schedulerHooks() -> SchedulerHooks
{
    auto hooks = SchedulerHooks {};
    hooks.isCurrent = [this] { return link.isCurrent(); };
    hooks.onColdDemand = [this] { link.requestDemandReport(); };
    return hooks;
}

auto Router::Impl::callerParts() -> CallerParts
{
    return { options,
             clock,
             view,
             scheduler,
             dispatcher,
             *claims,
             drain,
             metrics,
             recorder,
             [this] { return link.isCurrent(); },
             [this](const proto::EndpointReport &report) { link.pushAll(report); },
             incarnation };
}

auto Router::Impl::start() -> absl::Status
{
    if (auto status = server.start(options.callerListen); !status.ok())
        return status;
    LogEvent(LogLevel::Info, "router_started")
            .with("incarnation", incarnation)
            .with("address", options.callerAddress.text())
            .with("domain", options.domain);
    link.start();
    asio::post(strand, [self = shared_from_this()] { self->scheduleTick(); });
    return absl::OkStatus();
}

auto Router::Impl::scheduleTick() -> void
{
    if (stopped_)
        return;
    timer.expires_after(tickEvery);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (auto self = weak.lock(); self && !error)
            self->tick();
    });
}

auto Router::Impl::tick() -> void
{
    scheduler.tick();
    claims->tick();
    pollCaches();
    const auto busy = callers.inProgress() + claims->pendingEnds();
    if (drain.tick(busy) == DrainPhase::Stopped && !finished_) {
        finished_ = true;
        finishStop();
    }
    scheduleTick();
}

auto Router::Impl::pollCaches() -> void
{
    const auto now = clock.now();
    if (polling_ || now < cachePollAt_)
        return;
    cachePollAt_ = now + options.cachePoll;
    polling_ = true;
    asio::co_spawn(
            strand,
            [self = shared_from_this()]() -> asio::awaitable<void> {
                co_await self->cachePoller.round();
                self->polling_ = false;
            },
            asio::detached);
}

auto Router::Impl::requestStop() -> void
{
    if (!drain.onStop())
        return;
    view.setSelfLeaving();
    link.setLeaving();
    sendDrainNotice();
}

auto Router::Impl::sendDrainNotice() -> void
{
    auto notice = proto::DrainNotice { options.self, incarnation, false };
    link.callLeader(std::move(notice), noticeTimeout,
                    [weak = weak_from_this()](const absl::StatusOr<proto::Payload> &reply) {
                        auto self = weak.lock();
                        if (!self)
                            return;
                        if (reply.ok())
                            self->drain.onNoticeConfirmed();
                        else if (self->drain.phase() == DrainPhase::Leaving)
                            self->sendDrainNotice();
                    });
}

auto Router::Impl::finishStop() -> void
{
    server.stopAccepting();
    auto notice = proto::DrainNotice { options.self, incarnation, true };
    link.callLeader(
            std::move(notice), noticeTimeout,
            [weak = weak_from_this()](const absl::StatusOr<proto::Payload> &) {
                auto self = weak.lock();
                if (!self)
                    return;
                LogEvent(LogLevel::Info, "router_stopped").with("router", self->options.self);
                self->stop();
                self->onStopped();
            });
}

auto Router::Impl::stop() -> void
{
    if (stopped_.exchange(true))
        return;
    server.stop();
    link.stop();
    client.abortAll();
    asio::post(strand, [self = shared_from_this()] { self->timer.cancel(); });
}

Router::Router(asio::io_context &context, const RouterOptions &options, const Clock &clock,
               std::shared_ptr<proto::PeerKeys> keys, std::uint64_t seed,
               std::function<void()> onStopped)
    : impl_(std::make_shared<Impl>(context, options, clock, std::move(keys), seed,
                                   std::move(onStopped)))
{ }

Router::~Router()
{
    impl_->stop();
}

auto Router::start() -> absl::Status
{
    return impl_->start();
}

auto Router::port() const -> std::uint16_t
{
    return impl_->server.port();
}

auto Router::requestStop() -> void
{
    impl_->requestStop();
}

auto Router::isCurrent() const -> bool
{
    return impl_->link.isCurrent();
}

auto Router::phase() const -> DrainPhase
{
    return impl_->drain.phase();
}

} // namespace figrack::router
