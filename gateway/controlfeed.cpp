// The balancer and the source of proofs are chosen by rendezvous hashing among the connected
// controls: the balancer with the same key at all gateways, the source of proofs with a key of the
// gateway's own, so that the proofs are spread over the controls. A control that does not answer
// is skipped for balancerPause.

#include "gateway/controlfeed.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "core/boottimer.h"
#include "core/hash.h"
#include "core/log.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Hash key that gives the same order of the controls at all gateways.
constexpr auto balancerKey = std::uint64_t { 0x62616c616e636572 };
/// Interval between requests for a proof while there is no valid one, which is the case after a
/// start and after a network partition.
constexpr auto proofRetryInterval = std::chrono::milliseconds { 100 };
/// Minimum delay of the fetch timer, so that a timer that fires slightly early is not restarted in
/// a busy loop.
constexpr auto minCheckDelay = std::chrono::milliseconds { 1 };

/// @return the reply if it is of the type T; otherwise nullptr
template<typename T>
auto replyAs(const absl::StatusOr<proto::Payload> &reply) -> const T *
{
    return reply.ok() ? std::get_if<T>(&*reply) : nullptr;
}

} // namespace

class ControlFeed::Impl : public std::enable_shared_from_this<Impl>
{
public:
    using TargetsDone = std::function<void(std::vector<proto::HandoffTarget>)>;
    Impl(asio::io_context &context, ControlFeedOptions options, const Clock &clock,
         ControlFeedHooks hooks)
        : context_(context)
        , options_(std::move(options))
        , clock_(clock)
        , hooks_(std::move(hooks))
        , fetch_(options_.documents, std::hash<std::string> {}(options_.callers.text()), clock)
        , fetchTimer_(context)
        , watch_(options_.endpoints, std::hash<std::string> {}(options_.callers.text()),
                 options_.domain, clock)
        , watchTimer_(context)
        , lease_(options_.keyLease, clock)
        , proveTimer_(context)
        , balancerTimer_(context)
    { }

    auto dial(const Address &address) -> void
    {
        if (stopped_ || controls_.contains(address))
            return;
        auto &control = controls_[address];
        fetch_.onKnown(address);
        auto handler = proto::PeerHandler {};
        handler.onOpen = [weak = weak_from_this(), address](const proto::PeerPointer &peer) {
            if (const auto self = weak.lock())
                self->onOpen(address, peer);
        };
        handler.onMessage = [weak = weak_from_this(), address](const proto::PeerPointer &peer,
                                                               const proto::Envelope &envelope) {
            if (const auto self = weak.lock())
                self->onMessage(address, peer, envelope);
        };
        handler.onClose = [weak = weak_from_this(), address](const proto::PeerPointer &,
                                                             const absl::Status &status) {
            if (const auto self = weak.lock())
                self->onClose(address, status);
        };
        control.client = std::make_unique<proto::PeerClient>(context_, options_.channel, address,
                                                             std::move(handler));
        control.client->start();
    }

    auto onOpen(const Address &address, const proto::PeerPointer &peer) -> void
    {
        auto &control = controls_[address];
        control.node = peer->peer();
        control.open = true;
        LogEvent(LogLevel::Info, "control_regained").with("control", control.node);
        peer->send({ 0, subscription() });
        noteBalancer();
        watch_.onOpen(address, control.node);
        watchEndpoints();
        if (auto rows = hooks_.suspects(); !rows.empty())
            peer->send({ 0, proto::SuspectNews { std::move(rows) } });
        if (!lease_.isCurrent())
            requestProof();
    }

    auto onClose(const Address &address, const absl::Status &status) -> void
    {
        auto &control = controls_[address];
        control.open = false;
        fetch_.onLost(address);
        watch_.onClosed(address);
        watchEndpoints();
        LogEvent(LogLevel::Warning, "control_lost").with("control", control.node).with(status);
        if (!stopped_ && hooks_.onControlClosed)
            hooks_.onControlClosed(address);
        noteBalancer();
        fetchDocument();
    }

    auto onMessage(const Address &address, const proto::PeerPointer &peer,
                   const proto::Envelope &envelope) -> void
    {
        const auto *news = std::get_if<proto::SuspectNews>(&envelope.payload);
        if (news != nullptr && !stopped_)
            hooks_.onSuspects(*news);
        const auto *grant = std::get_if<proto::PickGrant>(&envelope.payload);
        if (grant != nullptr && !stopped_ && hooks_.onGrant)
            hooks_.onGrant(address, *grant);
        const auto *schedule = std::get_if<proto::LoadSchedule>(&envelope.payload);
        if (schedule != nullptr && !stopped_ && hooks_.onLoadSchedule)
            hooks_.onLoadSchedule(*schedule);
        const auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload);
        if (update == nullptr || stopped_)
            return;
        if (!update->leader.empty() && update->term >= leaderTerm_) {
            leaderTerm_ = update->term;
            if (std::exchange(leader_, update->leader) != update->leader)
                static_cast<void>(pushToLeader(inForce_));
            noteBalancer();
        }
        for (const auto &member : update->controls) {
            if (const auto other = parseAddress(member.address); other.ok())
                dial(*other);
        }
        if (!update->controls.empty())
            dropUnlisted(update->controls);
        controls_[address].gateways = update->gateways;
        fetch_.onAnnounced(address, update->document);
        applyUpdate(address, *update);
        if (update->evacuations)
            reportEvacuations(update->evacuations->revision);
        if (update->wantsAck)
            peer->send({ 0, proto::ServingAck { update->number } });
        fetchDocument();
    }

    /// Passes on what concerns this gateway: of endpoints only what comes from the control at which
    /// they are watched. That one leaves is true whoever says so.
    auto applyUpdate(const Address &address, const proto::ServingUpdate &update) -> void
    {
        watch_.onControls(update.controls);
        if (watch_.onUpdate(address, update)) {
            hooks_.onWholeListGivenUp();
            subscribeAgain();
        }
        if (watch_.isWhole() || watch_.source() == address) {
            hooks_.onUpdate(address, update);
        } else {
            auto rest = update;
            std::erase_if(rest.endpoints, [](const auto &row) {
                return row.state == catalogue::EndpointState::Ready;
            });
            rest.beats.clear();
            rest.withdrawn.clear();
            hooks_.onUpdate(address, rest);
        }
        if (!watch_.isWhole() && watch_.source() == address)
            hooks_.onSourceHeard();
        watchEndpoints();
    }

    auto subscribeAgain() -> void
    {
        for (auto &[address, control] : controls_) {
            if (control.open)
                static_cast<void>(control.client->push(subscription()));
        }
    }

    auto wantEndpoints(const proto::WatchKey &key) -> bool
    {
        const auto isKnown = watch_.want(key);
        if (!isKnown)
            watchEndpoints();
        return isKnown;
    }

    auto isWhole() const -> bool { return watch_.isWhole(); }

    auto watchEndpoints() -> void
    {
        if (stopped_)
            return;
        auto asks = watch_.next();
        // The controls must know it before the gateway learns of any endpoint from there.
        if (watch_.watchesAt() != std::exchange(watchesAt_, watch_.watchesAt()))
            subscribeAgain();
        for (auto &ask : asks)
            sendWatch(ask.control, std::move(ask.request));
        const auto nextCheck = watch_.nextCheckAt();
        if (!nextCheck)
            return;
        watchTimer_.expires_after(std::max<Duration>(*nextCheck - clock_.now(), minCheckDelay));
        watchTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->watchEndpoints();
        });
    }

    auto sendWatch(const Address &address, proto::WatchRequest request) -> void
    {
        const auto found = controls_.find(address);
        if (found == controls_.end())
            return;
        auto done = [weak = weak_from_this(), address](const auto &reply) {
            if (const auto self = weak.lock())
                self->onWatchReply(address, reply);
        };
        found->second.client->call(std::move(request), options_.watchTimeout, std::move(done));
    }

    auto onWatchReply(const Address &address, const absl::StatusOr<proto::Payload> &reply) -> void
    {
        if (stopped_)
            return;
        const auto *watched = replyAs<proto::WatchReply>(reply);
        if (watched == nullptr) {
            LogEvent(LogLevel::Warning, "endpoints_not_had")
                    .with("control", address.text())
                    .with(reply.status());
            watch_.onFailed(address);
        } else {
            const auto isReset = watch_.onReply(address, *watched);
            if (watch_.source() == address)
                hooks_.onWatched(watched->endpoints, isReset);
        }
        watchEndpoints();
    }

    /// Drops controls that are no longer listed and no longer connected.
    auto dropUnlisted(const std::vector<coord::Member> &members) -> void
    {
        const auto isListed = [&](const Address &address) {
            return std::any_of(members.begin(), members.end(), [&](const coord::Member &member) {
                return member.address == address.text();
            });
        };
        for (auto item = controls_.begin(); item != controls_.end();) {
            const auto drop = !item->second.open && !isListed(item->first)
                    && item->second.node != NodeId {};
            if (drop) {
                fetch_.onForgotten(item->first);
                item->second.client->stop();
            }
            item = drop ? controls_.erase(item) : std::next(item);
        }
    }

    auto fetchDocument() -> void
    {
        if (stopped_)
            return;
        while (const auto document = fetch_.take()) {
            if (hooks_.onDocument(*document))
                reportInForce(document->version);
        }
        for (const auto &ask : fetch_.next())
            std::visit([this](const auto &question) { send(question); }, ask);
        scheduleNextCheck();
    }

    auto reportInForce(Revision version) -> void
    {
        inForce_.document = version;
        lease_.onInForce(version);
        static_cast<void>(pushToLeader(inForce_));
    }

    auto reportEvacuations(Revision revision) -> void
    {
        if (revision <= inForce_.evacuations)
            return;
        inForce_.evacuations = revision;
        static_cast<void>(pushToLeader(inForce_));
    }

    auto send(const ManifestAsk &ask) -> void
    {
        call(ask.control, proto::ManifestRequest { ask.atLeast });
    }

    auto send(const BlocksAsk &ask) -> void
    {
        call(ask.control, proto::BlocksRequest { ask.blocks });
    }

    auto call(const Address &address, proto::Payload question) -> void
    {
        auto done = [weak = weak_from_this(), address](const auto &reply) {
            if (const auto self = weak.lock())
                self->onDocumentReply(address, reply);
        };
        const auto found = controls_.find(address);
        if (found == controls_.end())
            fetch_.onForgotten(address);
        else
            found->second.client->call(std::move(question), options_.documentTimeout,
                                       std::move(done));
    }

    auto onDocumentReply(const Address &address, const absl::StatusOr<proto::Payload> &reply)
            -> void
    {
        if (const auto *manifest = replyAs<proto::ManifestReply>(reply)) {
            fetch_.onManifest(address, *manifest);
        } else if (const auto *blocks = replyAs<proto::BlocksReply>(reply)) {
            fetch_.onBlocks(address, *blocks);
        } else {
            fetch_.onFailed(address);
            LogEvent(LogLevel::Warning, "document_not_had")
                    .with("control", address.text())
                    .with(reply.status());
        }
        fetchDocument();
    }

    /// Schedules the next check, for example when a request becomes overdue, so that another
    /// control is asked.
    auto scheduleNextCheck() -> void
    {
        const auto nextCheck = fetch_.nextCheckAt();
        if (!nextCheck)
            return;
        fetchTimer_.expires_after(std::max<Duration>(*nextCheck - clock_.now(), minCheckDelay));
        fetchTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->fetchDocument();
        });
    }

    auto subscription() const -> proto::Subscribe
    {
        auto subscribe = proto::Subscribe {};
        subscribe.callers = options_.callers;
        subscribe.domain = options_.domain;
        subscribe.ready = ready_;
        subscribe.inForce = inForce_;
        subscribe.wholeUpTo = watch_.wholeUpTo();
        subscribe.capacity = options_.capacity;
        subscribe.handoffs = handoffs_;
        subscribe.unreached = unreached_;
        subscribe.reachesNone = reachesNone_;
        subscribe.watchesAt = watchesAt_;
        return subscribe;
    }

    auto setReady(bool ready) -> void
    {
        if (std::exchange(ready_, ready) != ready)
            subscribeAgain();
    }

    auto setHandoffs(const Address &handoffs) -> void { handoffs_ = handoffs; }

    auto setUnreached(std::vector<catalogue::EndpointGroup> unreached, bool reachesNone) -> void
    {
        if (unreached == unreached_ && reachesNone == reachesNone_)
            return;
        unreached_ = std::move(unreached);
        reachesNone_ = reachesNone;
        subscribeAgain();
    }

    /// @param asked controls that did not answer
    auto askHandoffTargets(std::vector<DomainId> preferred, TargetsDone done,
                           std::vector<Address> asked) -> void
    {
        const auto next = ownChoice([&](const Address &address, const Control &) {
            return std::find(asked.begin(), asked.end(), address) == asked.end();
        });
        if (!next || stopped_)
            return;
        asked.push_back(*next);
        auto request = proto::HandoffTargetsRequest { preferred };
        auto onReply = [weak = weak_from_this(), preferred = std::move(preferred),
                        done = std::move(done), asked = std::move(asked)](const auto &reply) {
            const auto self = weak.lock();
            if (const auto *targets = replyAs<proto::HandoffTargetsReply>(reply))
                done(targets->targets);
            else if (self)
                self->askHandoffTargets(preferred, done, asked);
        };
        controls_.at(*next).client->call(std::move(request), options_.handoffTimeout,
                                         std::move(onReply));
    }

    auto controls() const -> std::vector<NodeId>
    {
        auto result = std::vector<NodeId> {};
        for (const auto &[address, control] : controls_) {
            if (!control.node.empty())
                result.push_back(control.node);
        }
        return result;
    }

    auto areAllConnected() const -> bool { return connected() == controls_.size(); }

    auto gateways() const -> std::size_t
    {
        auto most = std::size_t { 0 };
        for (const auto &[address, control] : controls_)
            most = std::max<std::size_t>(most, control.gateways);
        return most;
    }

    auto pushTo(const NodeId &control, proto::Payload message) -> bool
    {
        auto *client = clientOf(control);
        return client != nullptr && client->push(std::move(message));
    }

    auto callAt(const NodeId &control, proto::Payload message, Duration timeout,
                std::function<void(const absl::StatusOr<proto::Payload> &)> onReply) -> bool
    {
        auto *client = clientOf(control);
        if (client != nullptr)
            client->call(std::move(message), timeout, std::move(onReply));
        return client != nullptr;
    }

    auto sendSuspects(const std::vector<catalogue::SuspectRow> &rows) -> void
    {
        for (auto &[address, control] : controls_) {
            if (control.open)
                static_cast<void>(control.client->push(proto::SuspectNews { rows }));
        }
    }

    auto sendWanted(proto::ModelWanted wanted) -> bool
    {
        const auto &source = watch_.chosen();
        if (watch_.isWhole() || !source)
            return pushToLeader(std::move(wanted));
        return controls_.at(*source).client->push(std::move(wanted));
    }

    auto askRetry(const proto::RetryGrantRequest &request, Duration timeout,
                  std::function<void(std::optional<proto::RetryGrantReply>)> done) -> bool
    {
        auto *leader = leaderClient();
        if (leader == nullptr)
            return false;
        leader->call(request, timeout, [done = std::move(done)](const auto &reply) {
            const auto *grant = replyAs<proto::RetryGrantReply>(reply);
            done(grant == nullptr ? std::nullopt : std::optional { *grant });
        });
        return true;
    }

    /// @return false if no leader is known or connected
    auto pushToLeader(proto::Payload payload) -> bool
    {
        auto *leader = leaderClient();
        return leader != nullptr && leader->push(std::move(payload));
    }

    /// @return nullptr if no leader is known or connected
    auto leaderClient() -> proto::PeerClient * { return clientOf(leader_); }

    /// @return nullptr if the control is not connected
    auto clientOf(const NodeId &node) -> proto::PeerClient *
    {
        for (auto &[address, control] : controls_) {
            if (control.open && control.node == node)
                return control.client.get();
        }
        return nullptr;
    }

    /// Reports the balancer if it is another one than before.
    auto noteBalancer() -> void
    {
        const auto now = balancer();
        if (stopped_ || now == knownBalancer_)
            return;
        knownBalancer_ = now;
        if (hooks_.onBalancer)
            hooks_.onBalancer(now);
    }

    auto askBalancer(proto::PickRequest request, Duration timeout, BalancerLink::Done done)
            -> std::optional<Address>
    {
        noteBalancer();
        auto address = balancer();
        if (!address)
            return std::nullopt;
        const auto ticket = request.ticket;
        auto onReply = [weak = weak_from_this(), address = *address, ticket,
                        done = std::move(done)](const auto &reply) {
            const auto *pick = replyAs<proto::PickReply>(reply);
            const auto isIsolated
                    = pick != nullptr && pick->refusal == proto::PickRefusal::CannotCount;
            if (isIsolated)
                pick = nullptr;
            if (const auto self = weak.lock(); self && pick == nullptr) {
                const auto &options = self->options_;
                self->onBalancerFailed(address, ticket, reply.status(),
                                       isIsolated ? options.isolatedPause : options.balancerPause);
            }
            done(pick == nullptr ? std::nullopt : std::optional { *pick });
        };
        controls_.at(*address).client->call(std::move(request), timeout, std::move(onReply));
        return address;
    }

    auto tellBalancer(proto::PickRequest request) -> std::optional<Address>
    {
        auto address = balancer();
        if (address)
            controls_.at(*address).client->push(std::move(request));
        return address;
    }

    auto endPick(const Address &address, const proto::PickEnd &end) -> void
    {
        const auto found = controls_.find(address);
        // A control that has gone has lost its record of bookings, and the next balancer starts
        // without one.
        if (found != controls_.end() && found->second.open)
            static_cast<void>(found->second.client->push(end));
    }

    auto connected() const -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(controls_.begin(), controls_.end(),
                              [](const auto &item) { return item.second.open; }));
    }

    auto stop() -> void
    {
        stopped_ = true;
        fetchTimer_.cancel();
        watchTimer_.cancel();
        proveTimer_.cancel();
        balancerTimer_.cancel();
        for (auto &[address, control] : controls_)
            control.client->stop();
    }

    auto seeds() const -> const std::vector<Address> & { return options_.seeds; }
    auto keyLease() const -> const KeyLease & { return lease_; }

    /// Asks a control for proof that the document in force is current, and schedules the next
    /// request so that the proof is renewed before it expires.
    auto requestProof() -> void
    {
        if (stopped_ || !lease_.isStrict())
            return;
        proveTimer_.expires_after(lease_.isCurrent() ? lease_.renewEvery()
                                                     : Duration { proofRetryInterval });
        proveTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->requestProof();
        });
        const auto address = proofSource();
        if (!address)
            return;
        auto done = [weak = weak_from_this(), address = *address,
                     question = lease_.ask()](const auto &reply) {
            if (const auto self = weak.lock())
                self->onProof(address, question, reply);
        };
        controls_.at(*address).client->call(proto::DocumentProofRequest {}, lease_.answerWithin(),
                                            std::move(done));
    }

private:
    struct Control
    {
        std::unique_ptr<proto::PeerClient> client;
        NodeId node; ///< Empty until the control has connected once.
        bool open = false;
        std::uint32_t gateways = 0; ///< That it serves, as it said last.
        Instant balancesFrom {};    ///< Not asked for picks before this time.
        Instant provesFrom {};      ///< Not asked for proofs before this time.
    };

    /// @return the control that is asked for picks: the connected one with the highest hash. The
    /// leader is used only if there is no other, since it also does the planning
    auto balancer() const -> std::optional<Address>
    {
        const auto now = clock_.now();
        auto best = std::optional<Address> {};
        auto bestWeight = std::uint64_t { 0 };
        auto leader = std::optional<Address> {};
        for (const auto &[address, control] : controls_) {
            if (!control.open || now < control.balancesFrom)
                continue;
            if (control.node == leader_) {
                leader = address;
                continue;
            }
            const auto weight = rendezvousWeight(balancerKey, control.node.value());
            if (!best || weight > bestWeight) {
                best = address;
                bestWeight = weight;
            }
        }
        return best ? best : leader;
    }

    /// @return the control that is asked for proofs
    auto proofSource() const -> std::optional<Address>
    {
        return ownChoice([now = clock_.now()](const Address &, const Control &control) {
            return now >= control.provesFrom;
        });
    }

    /// @return the first of the connected controls that may be asked; each gateway has its own
    /// order of controls
    template<typename MayAsk>
    auto ownChoice(const MayAsk &mayAsk) const -> std::optional<Address>
    {
        const auto key = std::hash<std::string> {}(options_.callers.text());
        auto best = std::optional<Address> {};
        auto bestWeight = std::uint64_t { 0 };
        for (const auto &[address, control] : controls_) {
            if (!control.open || !mayAsk(address, control))
                continue;
            const auto weight = rendezvousWeight(key, control.node.value());
            if (!best || weight > bestWeight) {
                best = address;
                bestWeight = weight;
            }
        }
        return best;
    }

    auto onProof(const Address &address, std::uint64_t question,
                 const absl::StatusOr<proto::Payload> &reply) -> void
    {
        const auto *proof = replyAs<proto::DocumentProofReply>(reply);
        const auto demanded = proof == nullptr ? Revision {} : proof->demanded;
        const auto was = lease_.isCurrent();
        lease_.onProof(question, demanded);
        if (!was && lease_.isCurrent()) {
            LogEvent(LogLevel::Info, "keys_proved").with("document", demanded);
            if (hooks_.onKeysProved)
                hooks_.onKeysProved();
        }
        const auto found = controls_.find(address);
        if (demanded != Revision {} || found == controls_.end() || stopped_)
            return;
        // The control is down or cut off from the others, so ask another one immediately.
        found->second.provesFrom = clock_.now() + options_.balancerPause;
        LogEvent(LogLevel::Warning, "keys_not_proved")
                .with("control", found->second.node)
                .with("age_ms",
                      std::chrono::duration_cast<std::chrono::milliseconds>(lease_.age()).count())
                .with("current", was)
                .with(reply.status());
        requestProof();
    }

    auto onBalancerFailed(const Address &address, std::uint64_t ticket, const absl::Status &status,
                          Duration pause) -> void
    {
        endPick(address, { ticket, 0 });
        const auto found = controls_.find(address);
        if (found == controls_.end())
            return;
        found->second.balancesFrom = clock_.now() + pause;
        LogEvent(LogLevel::Warning, "balancer_lost")
                .with("control", found->second.node)
                .with("ticket", ticket)
                .with(status);
        noteBalancer();
        awaitEndOfPauses();
    }

    /// Requests that wait at another control return to a control when its pause ends, even if this
    /// gateway asks for no pick then. Checks again at the end of the next pause, since several
    /// controls may be in one, and the timer may fire before the clock has reached the end.
    auto awaitEndOfPauses() -> void
    {
        const auto now = clock_.now();
        auto next = std::optional<Instant> {};
        for (const auto &[address, control] : controls_) {
            if (control.balancesFrom > now && (!next || control.balancesFrom < *next))
                next = control.balancesFrom;
        }
        if (!next || stopped_)
            return;
        balancerTimer_.expires_after(*next - now + minCheckDelay);
        balancerTimer_.async_wait(
                [weak = weak_from_this()](const boost::system::error_code &error) {
                    const auto self = weak.lock();
                    if (!self || error)
                        return;
                    self->noteBalancer();
                    self->awaitEndOfPauses();
                });
    }

    asio::io_context &context_;
    ControlFeedOptions options_;
    const Clock &clock_;
    ControlFeedHooks hooks_;
    std::map<Address, Control> controls_;
    NodeId leader_;
    Term leaderTerm_;
    proto::InForce inForce_;
    DocumentFetch fetch_;
    BootTimer fetchTimer_;
    EndpointWatch watch_;
    BootTimer watchTimer_;
    KeyLease lease_;
    BootTimer proveTimer_;
    std::optional<Address> knownBalancer_; ///< Last value that was reported.
    BootTimer balancerTimer_;
    Address handoffs_;
    std::vector<catalogue::EndpointGroup> unreached_;
    bool reachesNone_ = false;
    NodeId watchesAt_; ///< As announced to the controls.
    bool ready_ = false;
    bool stopped_ = false;
};

ControlFeed::ControlFeed(asio::io_context &context, ControlFeedOptions options, const Clock &clock,
                         ControlFeedHooks hooks)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, std::move(hooks)))
{ }

ControlFeed::~ControlFeed()
{
    impl_->stop();
}

auto ControlFeed::start() -> void
{
    addSeeds(impl_->seeds());
}

auto ControlFeed::stop() -> void
{
    impl_->stop();
}

auto ControlFeed::setReady(bool ready) -> void
{
    impl_->setReady(ready);
}

auto ControlFeed::setHandoffs(const Address &handoffs) -> void
{
    impl_->setHandoffs(handoffs);
}

auto ControlFeed::setUnreached(std::vector<catalogue::EndpointGroup> unreached, bool reachesNone)
        -> void
{
    impl_->setUnreached(std::move(unreached), reachesNone);
}

auto ControlFeed::askHandoffTargets(std::vector<DomainId> preferred,
                                    std::function<void(std::vector<proto::HandoffTarget>)> done)
        -> void
{
    impl_->askHandoffTargets(std::move(preferred), std::move(done), {});
}

auto ControlFeed::addSeeds(const std::vector<Address> &seeds) -> void
{
    for (const auto &seed : seeds)
        impl_->dial(seed);
}

auto ControlFeed::wantEndpoints(const proto::WatchKey &key) -> bool
{
    return impl_->wantEndpoints(key);
}

auto ControlFeed::isWhole() const -> bool
{
    return impl_->isWhole();
}

auto ControlFeed::sendWanted(proto::ModelWanted wanted) -> bool
{
    return impl_->sendWanted(std::move(wanted));
}

auto ControlFeed::askRetry(const proto::RetryGrantRequest &request, Duration timeout,
                           std::function<void(std::optional<proto::RetryGrantReply>)> done) -> bool
{
    return impl_->askRetry(request, timeout, std::move(done));
}

auto ControlFeed::controls() const -> std::vector<NodeId>
{
    return impl_->controls();
}

auto ControlFeed::areAllConnected() const -> bool
{
    return impl_->areAllConnected();
}

auto ControlFeed::gateways() const -> std::size_t
{
    return impl_->gateways();
}

auto ControlFeed::pushTo(const NodeId &control, proto::Payload message) -> bool
{
    return impl_->pushTo(control, std::move(message));
}

auto ControlFeed::callAt(const NodeId &control, proto::Payload message, Duration timeout,
                         std::function<void(const absl::StatusOr<proto::Payload> &)> onReply)
        -> bool
{
    return impl_->callAt(control, std::move(message), timeout, std::move(onReply));
}

auto ControlFeed::sendSuspects(const std::vector<catalogue::SuspectRow> &rows) -> void
{
    impl_->sendSuspects(rows);
}

auto ControlFeed::balancerLink() -> BalancerLink
{
    auto link = BalancerLink {};
    link.ask = [weak = std::weak_ptr { impl_ }](proto::PickRequest request, Duration timeout,
                                                BalancerLink::Done done) {
        const auto impl = weak.lock();
        return impl ? impl->askBalancer(std::move(request), timeout, std::move(done))
                    : std::nullopt;
    };
    link.tell = [weak = std::weak_ptr { impl_ }](proto::PickRequest request) {
        const auto impl = weak.lock();
        return impl ? impl->tellBalancer(std::move(request)) : std::nullopt;
    };
    link.end = [weak = std::weak_ptr { impl_ }](const Address &address, proto::PickEnd end) {
        if (const auto impl = weak.lock())
            impl->endPick(address, end);
    };
    return link;
}

auto ControlFeed::keyLease() const -> const KeyLease &
{
    return impl_->keyLease();
}

auto ControlFeed::connected() const -> std::size_t
{
    return impl_->connected();
}

} // namespace figrack::gateway
