// All state except the lease holder is accessed only on one strand. A tick every
// 20 ms performs the actions that are due: subscribe, join, renew, report. Each
// subscription has an epoch that identifies the source of a batch, so that late
// batches from an abandoned source are dropped.

#include "router/controllink.h"

#include <atomic>
#include <mutex>
#include <optional>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "core/boottimer.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;

constexpr auto tickEvery = std::chrono::milliseconds { 20 };
constexpr auto leaderRetry = std::chrono::milliseconds { 50 };
constexpr auto joinTimeout = std::chrono::seconds { 3 };
constexpr auto noPeer = SIZE_MAX;

/// @param status a NotLeader error; the channel appends the leader's name to the argument
/// @return the leader, or an empty name if none is given
auto leaderNamedBy(const absl::Status &status) -> NodeId
{
    constexpr auto key = std::string_view { "leader=" };
    const auto argument = errorArgument(status);
    const auto at = argument.rfind(key);
    return at == std::string_view::npos
            ? NodeId {}
            : NodeId { std::string { argument.substr(at + key.size()) } };
}

} // namespace

class ControlLink::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, ControlLinkOptions options, const Clock &clock, View &view,
         ControlLinkHooks hooks)
        : options_(std::move(options))
        , clock_(clock)
        , view_(view)
        , hooks_(std::move(hooks))
        , context_(context)
        , strand_(asio::make_strand(context))
        , timer_(strand_)
        , holder_(options_.viewLease, clock, options_.registration.node,
                  options_.registration.incarnation)
    { }

    auto start() -> void;
    auto stop() -> void;
    auto isCurrent() const -> bool;
    auto callLeader(proto::Payload payload, Duration timeout, ReplyHandler done) -> void;
    auto pushAll(const proto::Payload &payload) -> void;
    auto requestDemandReport() -> void;
    auto setLeaving() -> void { leaving_ = true; }

private:
    struct Peer
    {
        NodeId name;
        std::unique_ptr<proto::PeerClient> client;
    };
    struct LeaderCall
    {
        proto::Payload payload;
        Instant deadline;
        ReplyHandler done;
    };
    using LeaderCallPointer = std::shared_ptr<LeaderCall>;

    auto handlerFor(std::size_t index) -> proto::PeerHandler;
    auto onMessage(std::size_t index, const proto::PeerPointer &peer, proto::Envelope envelope)
            -> void;
    auto tick() -> void;
    auto scheduleTick() -> void;
    auto maintainFeed() -> void;
    auto subscribe(std::size_t index) -> void;
    auto firstConnected(std::size_t except) const -> std::size_t;
    auto onBatch(std::uint64_t epoch, const proto::FeedBatch &batch) -> void;
    auto maintainMembership() -> void;
    auto maintainLease() -> void;
    auto renew() -> void;
    auto onRenewed(const coord::RenewReply &reply) -> void;
    auto maintainDemandReports() -> void;
    auto reportDemand() -> void;
    auto tryLeader(const LeaderCallPointer &call) -> void;
    auto leaderIndex() const -> std::size_t;
    auto onLeaderReply(std::size_t index, const LeaderCallPointer &call,
                       absl::StatusOr<proto::Payload> reply) -> void;
    auto setLeader(const NodeId &leader) -> void;
    auto caughtUp() const -> bool { return joined_ && view_.appliedIndex() >= joinIndex_; }

    ControlLinkOptions options_;
    const Clock &clock_;
    View &view_;
    ControlLinkHooks hooks_;
    asio::io_context &context_;
    asio::strand<asio::io_context::executor_type> strand_;
    BootTimer timer_;
    std::vector<Peer> peers_; ///< Does not change after start(); the clients are thread-safe.

    mutable std::mutex holderMutex_; ///< Lock order: a leaf; no other lock is taken under it.
    coord::ViewHolder holder_;

    // Accessed only on the strand.
    std::size_t source_ = noPeer;
    std::uint64_t epoch_ = 0;
    Instant feedProgress_ {};
    bool behind_ = false;
    bool subscribed_ = false; ///< The current subscription has been answered.
    Instant preferNearestAt_ {};
    NodeId leader_;
    std::size_t nextGuess_ = 0;
    bool joining_ = false;
    bool joined_ = false;
    LogIndex joinIndex_;
    Instant renewAt_ {};
    Instant demandAt_ {};
    bool demandWasEmpty_ = true;
    std::uint64_t demandSequence_ = 0;

    std::atomic<bool> demandRequested_ = false;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> leaving_ = false;
};

auto ControlLink::Impl::start() -> void
{
    for (auto i = std::size_t { 0 }; i < options_.controls.size(); ++i) {
        const auto &control = options_.controls[i];
        peers_.push_back({ NodeId { control.name },
                           std::make_unique<proto::PeerClient>(context_, options_.channel,
                                                               control.address, handlerFor(i)) });
    }
    for (auto &peer : peers_)
        peer.client->start();
    asio::post(strand_, [self = shared_from_this()] { self->tick(); });
}

auto ControlLink::Impl::stop() -> void
{
    stopped_ = true;
    for (auto &peer : peers_)
        peer.client->stop();
    asio::post(strand_, [self = shared_from_this()] { self->timer_.cancel(); });
}

auto ControlLink::Impl::handlerFor(std::size_t index) -> proto::PeerHandler
{
    auto handler = proto::PeerHandler {};
    handler.onMessage = [weak = weak_from_this(), index](const proto::PeerPointer &peer,
                                                         proto::Envelope envelope) {
        if (auto self = weak.lock()) {
            asio::post(self->strand_,
                       [self, index, peer, envelope = std::move(envelope)]() mutable {
                           self->onMessage(index, peer, std::move(envelope));
                       });
        }
    };
    return handler;
}

auto ControlLink::Impl::onMessage(std::size_t index, const proto::PeerPointer &peer,
                                  proto::Envelope envelope) -> void
{
    if (const auto *batch = std::get_if<proto::FeedBatch>(&envelope.payload)) {
        // A batch pushed before the reply to the subscription belongs to an older subscription;
        // applying it would leave a gap.
        if (index == source_ && subscribed_)
            onBatch(epoch_, *batch);
    } else if (const auto *digest = std::get_if<proto::LoadDigest>(&envelope.payload)) {
        hooks_.onLoad(*digest);
    } else if (const auto *ask = std::get_if<proto::ReportRequest>(&envelope.payload)) {
        auto reply = proto::ReportReply {};
        reply.node = options_.registration.node;
        reply.report = hooks_.encodeReport(std::chrono::milliseconds { ask->windowMs });
        (void)peer->send({ envelope.correlation, std::move(reply) });
    }
}

auto ControlLink::Impl::scheduleTick() -> void
{
    timer_.expires_after(tickEvery);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->stopped_)
            self->tick();
    });
}

auto ControlLink::Impl::tick() -> void
{
    maintainFeed();
    maintainMembership();
    maintainLease();
    maintainDemandReports();
    scheduleTick();
}

// --- the feed ---

auto ControlLink::Impl::firstConnected(std::size_t except) const -> std::size_t
{
    for (auto i = std::size_t { 0 }; i < peers_.size(); ++i) {
        if (i != except && peers_[i].client->isOpen())
            return i;
    }
    return noPeer;
}

auto ControlLink::Impl::maintainFeed() -> void
{
    const auto now = clock_.now();
    const auto lost = source_ == noPeer || !peers_[source_].client->isOpen();
    const auto stuck = behind_ && now - feedProgress_ > options_.feedTimeout;
    if (lost || stuck) {
        const auto next = firstConnected(source_);
        // A source without progress is kept if no other is connected.
        if (next != noPeer)
            subscribe(next);
        else if (lost)
            source_ = noPeer;
        return;
    }
    if (source_ != 0 && now >= preferNearestAt_ && peers_[0].client->isOpen())
        subscribe(0);
}

auto ControlLink::Impl::subscribe(std::size_t index) -> void
{
    source_ = index;
    const auto epoch = ++epoch_;
    const auto now = clock_.now();
    feedProgress_ = now;
    behind_ = true;
    subscribed_ = false;
    preferNearestAt_ = now + options_.preferNearestEvery;
    LogEvent(LogLevel::Info, "feed_source")
            .with("control", peers_[index].name)
            .with("from", view_.appliedIndex().next());
    auto request = proto::FeedRequest {};
    request.node = options_.registration.node;
    request.from = view_.appliedIndex().next();
    peers_[index].client->call(
            std::move(request), options_.feedTimeout,
            [weak = weak_from_this(), epoch](absl::StatusOr<proto::Payload> reply) {
                auto self = weak.lock();
                if (!self)
                    return;
                asio::post(self->strand_, [self, epoch, reply = std::move(reply)] {
                    const auto *batch
                            = reply.ok() ? std::get_if<proto::FeedBatch>(&*reply) : nullptr;
                    if (epoch != self->epoch_)
                        return;
                    self->subscribed_ = batch != nullptr;
                    if (self->subscribed_)
                        self->onBatch(epoch, *batch);
                    else
                        self->source_ = noPeer;
                });
            });
}

auto ControlLink::Impl::onBatch(std::uint64_t epoch, const proto::FeedBatch &batch) -> void
{
    if (epoch != epoch_)
        return;
    setLeader(batch.leader);
    const auto before = view_.revision();
    const auto indexBefore = view_.appliedIndex();
    const auto status = view_.apply(batch);
    if (!status.ok()) {
        LogEvent(LogLevel::Error, "feed_broken").with("from", indexBefore).with(status);
        source_ = noPeer;
        return;
    }
    behind_ = false;
    feedProgress_ = clock_.now();
    // Renews at once, because the leader accepts a change as soon as every router has reported
    // that the change is in force there.
    if (view_.revision() != before && caughtUp())
        renew();
    if (view_.appliedIndex() != indexBefore)
        hooks_.onViewChanged();
}

// --- membership and the lease ---

auto ControlLink::Impl::maintainMembership() -> void
{
    const auto &self = options_.registration;
    // The controls remove a router that was silent for a long time. It joins again with the same
    // incarnation.
    if (joined_ && caughtUp() && !view_.isRegistered(self.incarnation)) {
        LogEvent(LogLevel::Warning, "router_was_removed").with("router", self.node);
        joined_ = false;
    }
    if (joined_ || joining_ || leaving_)
        return;
    joining_ = true;
    callLeader(proto::JoinRequest { self }, joinTimeout,
               [weak = weak_from_this()](absl::StatusOr<proto::Payload> reply) {
                   auto impl = weak.lock();
                   if (!impl)
                       return;
                   asio::post(impl->strand_, [impl, reply = std::move(reply)] {
                       impl->joining_ = false;
                       const auto *done
                               = reply.ok() ? std::get_if<proto::JoinReply>(&*reply) : nullptr;
                       if (done == nullptr)
                           return;
                       impl->joined_ = true;
                       impl->joinIndex_ = done->index;
                       impl->renewAt_ = {};
                       LogEvent(LogLevel::Info, "router_joined").with("index", done->index);
                   });
               });
}

auto ControlLink::Impl::maintainLease() -> void
{
    if (caughtUp() && clock_.now() >= renewAt_)
        renew();
}

auto ControlLink::Impl::renew() -> void
{
    renewAt_ = clock_.now() + options_.viewLease.renewEvery;
    auto request = coord::RenewRequest {};
    {
        const auto lock = std::scoped_lock { holderMutex_ };
        request = holder_.request(view_.revision());
    }
    for (auto &peer : peers_) {
        if (!peer.client->isOpen())
            continue;
        peer.client->call(request, options_.viewLease.length,
                          [weak = weak_from_this()](absl::StatusOr<proto::Payload> reply) {
                              auto self = weak.lock();
                              const auto *renewed = reply.ok()
                                      ? std::get_if<coord::RenewReply>(&*reply)
                                      : nullptr;
                              if (self && renewed != nullptr)
                                  self->onRenewed(*renewed);
                          });
    }
}

auto ControlLink::Impl::onRenewed(const coord::RenewReply &reply) -> void
{
    {
        const auto lock = std::scoped_lock { holderMutex_ };
        holder_.onReply(reply);
    }
    if (reply.granted || reply.required <= view_.revision())
        return;
    asio::post(strand_, [self = shared_from_this()] {
        if (!self->behind_)
            self->feedProgress_ = self->clock_.now();
        self->behind_ = true;
    });
}

auto ControlLink::Impl::isCurrent() const -> bool
{
    const auto lock = std::scoped_lock { holderMutex_ };
    return holder_.isCurrent();
}

// --- demand ---

auto ControlLink::Impl::requestDemandReport() -> void
{
    if (demandRequested_.exchange(true))
        return;
    asio::post(strand_, [self = shared_from_this()] { self->maintainDemandReports(); });
}

auto ControlLink::Impl::maintainDemandReports() -> void
{
    const auto now = clock_.now();
    const auto every = demandWasEmpty_ ? options_.demandIdleEvery : options_.demandEvery;
    if (!demandRequested_ && now < demandAt_ + every)
        return;
    reportDemand();
}

auto ControlLink::Impl::reportDemand() -> void
{
    const auto leader = leaderIndex();
    if (leader == noPeer || !joined_)
        return;
    demandRequested_ = false;
    demandAt_ = clock_.now();
    auto report = proto::DemandReport {};
    report.router = options_.registration.node;
    report.incarnation = options_.registration.incarnation;
    report.sequence = ++demandSequence_;
    report.appliedIndex = view_.appliedIndex();
    report.appliedRevision = view_.revision();
    report.rows = hooks_.takeDemand();
    demandWasEmpty_ = report.rows.empty();
    (void)peers_[leader].client->push(std::move(report));
}

// --- the leader ---

auto ControlLink::Impl::setLeader(const NodeId &leader) -> void
{
    if (leader.empty() || leader == leader_)
        return;
    leader_ = leader;
    LogEvent(LogLevel::Info, "leader_known").with("leader", leader);
    // A new leader has no demand data yet.
    demandRequested_ = true;
}

auto ControlLink::Impl::leaderIndex() const -> std::size_t
{
    for (auto i = std::size_t { 0 }; i < peers_.size(); ++i) {
        if (peers_[i].name == leader_ && peers_[i].client->isOpen())
            return i;
    }
    return noPeer;
}

auto ControlLink::Impl::callLeader(proto::Payload payload, Duration timeout, ReplyHandler done)
        -> void
{
    auto call = std::make_shared<LeaderCall>();
    call->payload = std::move(payload);
    call->deadline = clock_.now() + timeout;
    call->done = std::move(done);
    asio::post(strand_, [self = shared_from_this(), call] { self->tryLeader(call); });
}

auto ControlLink::Impl::tryLeader(const LeaderCallPointer &call) -> void
{
    const auto left = call->deadline - clock_.now();
    if (left <= Duration::zero() || stopped_) {
        call->done(makeError(ErrorKind::NotLeader, "no control process is known to lead"));
        return;
    }
    auto index = leaderIndex();
    for (auto i = std::size_t { 0 }; index == noPeer && i < peers_.size(); ++i) {
        const auto guess = nextGuess_++ % peers_.size();
        if (peers_[guess].client->isOpen())
            index = guess;
    }
    if (index == noPeer) {
        auto timer = std::make_shared<BootTimer>(strand_, leaderRetry);
        timer->async_wait(
                [self = shared_from_this(), call, timer](const auto &) { self->tryLeader(call); });
        return;
    }
    peers_[index].client->call(
            call->payload, left,
            [self = shared_from_this(), index, call](absl::StatusOr<proto::Payload> reply) {
                asio::post(self->strand_, [self, index, call, reply = std::move(reply)]() mutable {
                    self->onLeaderReply(index, call, std::move(reply));
                });
            });
}

auto ControlLink::Impl::onLeaderReply(std::size_t index, const LeaderCallPointer &call,
                                      absl::StatusOr<proto::Payload> reply) -> void
{
    if (reply.ok() || errorKind(reply.status()) != ErrorKind::NotLeader) {
        if (reply.ok())
            setLeader(peers_[index].name);
        call->done(std::move(reply));
        return;
    }
    if (leader_ == peers_[index].name)
        leader_ = NodeId {};
    setLeader(leaderNamedBy(reply.status()));
    auto timer = std::make_shared<BootTimer>(strand_, leaderRetry);
    timer->async_wait(
            [self = shared_from_this(), call, timer](const auto &) { self->tryLeader(call); });
}

auto ControlLink::Impl::pushAll(const proto::Payload &payload) -> void
{
    for (auto &peer : peers_)
        (void)peer.client->push(payload);
}

ControlLink::ControlLink(asio::io_context &context, ControlLinkOptions options, const Clock &clock,
                         View &view, ControlLinkHooks hooks)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, view, std::move(hooks)))
{ }

ControlLink::~ControlLink()
{
    impl_->stop();
}

auto ControlLink::start() -> void
{
    impl_->start();
}

auto ControlLink::stop() -> void
{
    impl_->stop();
}

auto ControlLink::isCurrent() const -> bool
{
    return impl_->isCurrent();
}

auto ControlLink::callLeader(proto::Payload payload, Duration timeout, ReplyHandler done) -> void
{
    impl_->callLeader(std::move(payload), timeout, std::move(done));
}

auto ControlLink::pushAll(const proto::Payload &payload) -> void
{
    impl_->pushAll(payload);
}

auto ControlLink::requestDemandReport() -> void
{
    impl_->requestDemandReport();
}

auto ControlLink::setLeaving() -> void
{
    impl_->setLeaving();
}

} // namespace figrack::router
