#include "fleet/registry.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/hash.h"
#include "core/log.h"
#include "fleet/ownerchoice.h"

namespace figrack::fleet {

using catalogue::EndpointRow;
using catalogue::EndpointState;

namespace {

/// Adds news to what is still to be sent to a gateway.
auto mergeNews(WatchTable::News &into, const WatchTable::News &from) -> void
{
    for (const auto &id : from.rows) {
        into.rows.insert(id);
        into.withdrawn.erase(id);
    }
    into.withdrawn.insert(from.withdrawn.begin(), from.withdrawn.end());
}

} // namespace

Registry::Registry(RegistryOptions options, const Clock &clock)
    : options_(std::move(options))
    , clock_(clock)
    , startedAt_(clock.now())
    , table_(options_.table, clock)
    , watches_(options_.watch, table_, index_)
{
    table_.setOnChanged([this](const EndpointRow &row, EndpointTable::Change change) {
        onTableChanged(row, change);
    });
    table_.setOnForgotten([this](const EndpointId &id) {
        index_.remove(id);
        for (const auto &[subscriber, news] : watches_.onChanged(id, EndpointTable::Change::Row))
            mergeNews(watchNews_[subscriber], news);
        if (onForgotten_)
            onForgotten_(id);
    });
}

auto Registry::onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe)
        -> void
{
    auto &subscriber = subscribers_[peer.get()];
    const auto isNew = subscriber.peer == nullptr;
    const auto wasWhole = !isNew && subscriber.isWhole;
    subscriber.peer = peer;
    subscriber.subscribe = subscribe;
    subscriber.isWhole = table_.size() <= subscribe.wholeUpTo;
    ownersChanged_ = ownersChanged_ || subscriber.isGateway();
    LogEvent(LogLevel::Info, "subscriber")
            .with("peer", peer->peer())
            .with("gateway", subscriber.isGateway())
            .with("ready", subscribe.ready)
            .with("unreached_groups", static_cast<std::uint64_t>(subscribe.unreached.size()))
            .with("reaches_none", subscribe.reachesNone)
            .with("whole", subscriber.isWhole)
            .with("new", isNew);
    if (isNew)
        subscriber.firstUpdate = lastNumber_ + 1;
    if (isNew || (subscriber.isWhole && !wasWhole))
        sendSnapshot(subscriber);
    publishOwners();
}

auto Registry::sendSnapshot(Subscriber &subscriber) -> void
{
    auto update = baseUpdate();
    update.controls = group_.controls;
    update.evacuations = group_.evacuations;
    if (subscriber.isWhole)
        update.endpoints = table_.allToSend();
    update.softwareVersions = allVersions();
    if (subscriber.isGateway())
        update.originOwners = owners_;
    update.wantsAck = true;
    update.number = ++lastNumber_;
    subscriber.asked = update.number;
    send(subscriber, proto::SharedPush { std::move(update) });
}

auto Registry::onWatch(const proto::PeerPointer &peer, const proto::WatchRequest &request)
        -> proto::WatchReply
{
    auto reply = proto::WatchReply { group_.isCurrent, {} };
    const auto found = subscribers_.find(peer.get());
    if (found == subscribers_.end()) {
        LogEvent(LogLevel::Warning, "watch_without_subscription").with("peer", peer->peer());
        return {};
    }
    if (request.isReset) {
        watches_.drop(peer.get());
        watchNews_.erase(peer.get());
    }
    auto &news = watchNews_[peer.get()];
    const auto withdrawn = watches_.remove(peer.get(), request.removed);
    mergeNews(news, { {}, withdrawn });
    const auto told = watches_.add(peer.get(), found->second.subscribe.domain, request.added);
    for (const auto &id : told)
        news.withdrawn.erase(id);
    if (news.rows.empty() && news.withdrawn.empty())
        watchNews_.erase(peer.get());
    reply.endpoints = rowsOf(told);
    return reply;
}

auto Registry::onAck(const proto::PeerPointer &peer, const proto::ServingAck &ack) -> void
{
    const auto found = subscribers_.find(peer.get());
    if (found == subscribers_.end())
        return;
    found->second.acked = std::max(found->second.acked, ack.number);
    onConfirmed(peer.get(), ack.number);
}

auto Registry::onConfirmed(const proto::PeerConnection *peer, std::uint64_t number) -> void
{
    const auto confirm = [&](Unconfirmed &unconfirmed) {
        const auto waits = unconfirmed.find(peer);
        if (waits != unconfirmed.end() && waits->second <= number)
            unconfirmed.erase(waits);
    };
    for (auto &leaving : leaving_)
        confirm(leaving.unconfirmed);
    for (auto &relayed : relayed_)
        confirm(relayed.unconfirmed);
    completeLeaving();
    completeRelayed();
}

auto Registry::onClose(const proto::PeerPointer &peer) -> std::optional<proto::SubscriberKind>
{
    const auto found = subscribers_.find(peer.get());
    if (found == subscribers_.end())
        return std::nullopt;
    const auto kind = found->second.subscribe.kind;
    LogEvent(LogLevel::Warning, "subscriber_lost").with("peer", peer->peer());
    ownersChanged_ = ownersChanged_ || found->second.isGateway();
    subscribers_.erase(found);
    watches_.drop(peer.get());
    watchNews_.erase(peer.get());
    // The gateway gets all rows anew before it may send again, but this control cannot tell when.
    for (auto &leaving : leaving_) {
        if (leaving.unconfirmed.contains(peer.get()))
            leaving.deadline = clock_.now();
    }
    std::erase_if(relayed_, [&](const auto &relayed) {
        return relayed.control == peer || relayed.unconfirmed.contains(peer.get());
    });
    return kind;
}

auto Registry::onUpdate(const proto::PeerPointer &peer, const proto::ServingUpdate &update) -> void
{
    // Rows of ended incarnations come first, because another one may have replaced them.
    for (const auto isGone : { true, false }) {
        for (const auto &row : update.endpoints) {
            if ((row.state == EndpointState::Gone) == isGone && table_.merge(row)
                && shouldRelay(std::hash<EndpointId> {}(row.id)))
                unrelayed_.insert(row.id);
        }
    }
    for (const auto &beat : update.beats)
        table_.hear(beat);
    if (!update.wantsAck || peer == nullptr)
        return;
    publishToWatchers(true);
    relayed_.push_back(
            { peer, update.number, unconfirmed(false), clock_.now() + options_.confirmTimeout });
    completeRelayed();
}

/// Selects the controls with the highest rendezvous weights for the key, so no negotiation is
/// needed.
auto Registry::shouldRelay(std::uint64_t key) const -> bool
{
    const auto own = rendezvousWeight(key, options_.self.value());
    const auto higher = std::count_if(
            group_.controls.begin(), group_.controls.end(), [&](const coord::Member &member) {
                return member.node != options_.self
                        && rendezvousWeight(key, member.node.value()) > own;
            });
    return static_cast<std::size_t>(higher) < options_.relays;
}

auto Registry::recall(std::vector<EndpointRow> endpoints) -> void
{
    table_.recall(std::move(endpoints));
}

auto Registry::onAnnouncement(const EndpointRow &row) -> void
{
    if (table_.isIgnored(row)) {
        LogEvent(LogLevel::Info, "old_incarnation_ignored")
                .with("endpoint", row.id)
                .with("state", catalogue::endpointStateName(row.state))
                .with("sequence", row.sequence);
        return;
    }
    if (table_.announce(row))
        unpublished_.insert(row.id);
}

auto Registry::onLeaving(const EndpointRow &row, Done done) -> void
{
    onAnnouncement(row);
    if (table_.find(row.id) == nullptr || table_.isSuperseded(row.id)) {
        done(absl::OkStatus()); // No gateway sends work there: another incarnation is in use.
        return;
    }
    unrelayed_.erase(row.id);
    unpublished_.insert(row.id);
    publish(unpublished_, true);
    publishToWatchers(true);
    auto leaving = Leaving { row.id, unconfirmed(true), clock_.now() + options_.confirmTimeout,
                             std::move(done) };
    const auto settled = clock_.now() >= startedAt_ + options_.settleAfterStart;
    if (gatewayCount() == 0 || !settled || hasUnreachedWatchers())
        leaving.deadline = Instant {}; // Not every gateway can confirm it, so it fails at once.
    leaving_.push_back(std::move(leaving));
    completeLeaving();
}

auto Registry::hasUnreachedWatchers() const -> bool
{
    auto controls = std::set<NodeId> { options_.self };
    for (const auto &[key, subscriber] : subscribers_) {
        if (!subscriber.isGateway())
            controls.insert(subscriber.peer->peer());
    }
    return std::any_of(subscribers_.begin(), subscribers_.end(), [&](const auto &item) {
        const auto &subscriber = item.second;
        const auto &watchesAt = subscriber.subscribe.watchesAt;
        return subscriber.isGateway() && !subscriber.isWhole && !watchesAt.empty()
                && !controls.contains(watchesAt);
    });
}

/// @param isForWhole also of subscribers to the whole list, and of controls where gateways watch
auto Registry::unconfirmed(bool isForWhole) const -> Unconfirmed
{
    auto result = Unconfirmed {};
    for (const auto &[key, subscriber] : subscribers_) {
        const auto isWatching = subscriber.isGateway() && !subscriber.isWhole;
        const auto counts = subscriber.isGateway() || subscriber.subscribe.hasWatchers;
        if (subscriber.isBehind() && (isForWhole ? counts : isWatching))
            result.emplace(key, subscriber.asked);
    }
    return result;
}

auto Registry::amend(const EndpointId &id, const std::function<void(EndpointRow &)> &change) -> void
{
    if (table_.amend(id, change))
        unpublished_.insert(id);
}

auto Registry::onTableChanged(const EndpointRow &row, EndpointTable::Change change) -> void
{
    index_.update(row);
    for (const auto &[subscriber, news] : watches_.onChanged(row.id, change))
        mergeNews(watchNews_[subscriber], news);
    if (change == EndpointTable::Change::Superseded)
        unpublished_.insert(row.id);
    if (onChanged_ && change != EndpointTable::Change::Silence)
        onChanged_(row);
}

auto Registry::setGroup(const GroupView &group) -> void
{
    const auto controlsChanged = group.controls != group_.controls;
    const auto evacuationsChanged = group.evacuations != group_.evacuations;
    const auto changed = controlsChanged || evacuationsChanged
            || group.isCurrent != group_.isCurrent || group.document != group_.document
            || group.leader != group_.leader || group.term != group_.term;
    if (!changed)
        return;
    group_ = group;
    auto update = baseUpdate();
    if (controlsChanged)
        update.controls = group_.controls;
    if (evacuationsChanged)
        update.evacuations = group_.evacuations;
    sendToAll(std::move(update), false);
    if (!evacuationsChanged)
        return;
    for (const auto &[subscriber, news] : watches_.setEvacuations(group_.evacuations))
        mergeNews(watchNews_[subscriber], news);
}

auto Registry::publishLoads(const std::vector<proto::EndpointLoad> &loads) -> void
{
    if (loads.empty())
        return;
    auto update = baseUpdate();
    update.loads = loads;
    update.number = ++lastNumber_;
    const auto shared = proto::SharedPush { std::move(update) };
    for (const auto &[key, subscriber] : subscribers_) {
        if (subscriber.isGateway() && subscriber.isWhole)
            send(subscriber, shared);
    }
}

auto Registry::applySoftwareVersions(const proto::VersionNews &changes) -> void
{
    for (const auto &row : changes.services) {
        if (row.versions.empty())
            versions_.erase(row.service);
        else
            versions_[row.service] = row.versions;
    }
    isVersionsComplete_ = changes.isComplete;
    auto update = baseUpdate();
    update.softwareVersions = changes;
    sendToAll(std::move(update), false);
}

auto Registry::allVersions() const -> proto::VersionNews
{
    auto news = proto::VersionNews {};
    news.isComplete = isVersionsComplete_;
    for (const auto &[service, versions] : versions_)
        news.services.push_back({ service, versions });
    return news;
}

auto Registry::publishOwners() -> void
{
    const auto now = clock_.now();
    if (!ownersChanged_ || now < nextOwners_)
        return;
    ownersChanged_ = false;
    nextOwners_ = now
            + std::max<Duration>(options_.ownersEvery, gatewayCount() * options_.relaySpacing);
    auto owners = originOwners();
    if (owners == owners_)
        return;
    owners_ = std::move(owners);
    auto update = baseUpdate();
    update.originOwners = owners_;
    sendToGateways(std::move(update));
}

auto Registry::originOwners() const -> std::vector<proto::OriginOwner>
{
    // A gateway that has connected again may still have its old connection here.
    auto newest = std::map<NodeId, const Subscriber *> {};
    for (const auto &[key, subscriber] : subscribers_) {
        if (!subscriber.isGateway())
            continue;
        auto &known = newest[subscriber.peer->peer()];
        if (known == nullptr || known->firstUpdate < subscriber.firstUpdate)
            known = &subscriber;
    }
    auto gateways = std::vector<proto::OriginOwner> {};
    for (const auto &[node, subscriber] : newest) {
        const auto &subscribe = subscriber->subscribe;
        if (subscribe.ready && subscribe.handoffs.port != 0)
            gateways.push_back({ node, subscribe.handoffs, subscribe.domain });
    }
    return chooseOriginOwners(std::move(gateways));
}

auto Registry::push(proto::SubscriberKind kind, proto::Payload payload) -> void
{
    const auto shared = proto::SharedPush { std::move(payload) };
    for (const auto &[key, subscriber] : subscribers_) {
        if (subscriber.subscribe.kind == kind)
            send(subscriber, shared);
    }
}

auto Registry::tick() -> void
{
    const auto now = clock_.now();
    if (now >= nextUpdate_) {
        nextUpdate_ = now + wholeCount() * options_.updateSpacing;
        publish(unpublished_, false);
    }
    if (now >= nextRelay_) {
        const auto share = wholeCount() * options_.relaySpacing;
        nextRelay_ = now + std::max<Duration>(options_.relayEvery, share);
        publish(unrelayed_, false);
    }
    publishToWatchers(false);
    publishOwners();
    completeLeaving();
    completeRelayed();
    if (now < nextBeat_)
        return;
    nextBeat_ = now + options_.beatEvery;
    sendBeats();
    table_.tick();
}

auto Registry::find(const EndpointId &id) const -> const EndpointRow *
{
    return table_.find(id);
}

auto Registry::inUse(const EndpointId &id) const -> const EndpointRow *
{
    return table_.inUse(id);
}

auto Registry::rows() const -> std::vector<const EndpointRow *>
{
    return table_.rows();
}

auto Registry::hasWatchers() const -> bool
{
    return std::any_of(subscribers_.begin(), subscribers_.end(), [](const auto &item) {
        return item.second.isGateway() && !item.second.isWhole;
    });
}

auto Registry::knowsDomain(const DomainId &domain) const -> bool
{
    const auto isInDomain = [&](const auto &item) { return item.domain == domain; };
    return std::any_of(group_.controls.begin(), group_.controls.end(), isInDomain)
            || std::any_of(subscribers_.begin(), subscribers_.end(),
                           [&](const auto &item) { return isInDomain(item.second.subscribe); })
            || table_.knowsDomain(domain);
}

auto Registry::gateways() const -> std::vector<GatewayInfo>
{
    auto result = std::vector<GatewayInfo> {};
    for (const auto &[key, subscriber] : subscribers_) {
        const auto &subscribe = subscriber.subscribe;
        if (subscribe.kind == proto::SubscriberKind::Gateway && subscribe.ready)
            result.push_back({ subscribe.callers, subscribe.domain, subscribe.capacity,
                               subscribe.reachesNone });
    }
    return result;
}

auto Registry::handoffTargets() const -> std::vector<proto::HandoffTarget>
{
    auto result = std::vector<proto::HandoffTarget> {};
    for (const auto &[key, subscriber] : subscribers_) {
        const auto &subscribe = subscriber.subscribe;
        const auto canTake = subscriber.isGateway() && subscribe.ready && !subscribe.reachesNone
                && subscribe.handoffs.port != 0;
        if (canTake)
            result.push_back({ subscriber.peer->peer(), subscribe.handoffs, subscribe.domain,
                               subscribe.capacity, subscribe.unreached });
    }
    return result;
}

auto Registry::setOnChanged(std::function<void(const EndpointRow &)> listener) -> void
{
    onChanged_ = std::move(listener);
}

auto Registry::setOnForgotten(std::function<void(const EndpointId &)> listener) -> void
{
    onForgotten_ = std::move(listener);
}

/// Sends the rows to the subscribers of the whole list and clears the set.
auto Registry::publish(std::set<EndpointId> &ids, bool wantsAck) -> void
{
    auto rows = rowsOf(std::exchange(ids, {}));
    if (rows.empty())
        return;
    auto update = baseUpdate();
    update.endpoints = std::move(rows);
    update.wantsAck = wantsAck;
    sendToAll(std::move(update), true);
}

auto Registry::publishToWatchers(bool wantsAck) -> void
{
    for (const auto &[key, news] : std::exchange(watchNews_, {})) {
        const auto found = subscribers_.find(key);
        if (found == subscribers_.end())
            continue;
        auto update = baseUpdate();
        update.endpoints = rowsOf(news.rows);
        update.withdrawn = { news.withdrawn.begin(), news.withdrawn.end() };
        update.wantsAck = wantsAck;
        update.number = ++lastNumber_;
        if (wantsAck)
            found->second.asked = update.number;
        send(found->second, proto::SharedPush { std::move(update) });
    }
}

auto Registry::rowsOf(const std::set<EndpointId> &ids) const -> std::vector<EndpointRow>
{
    auto rows = std::vector<EndpointRow> {};
    for (const auto &id : ids) {
        if (auto row = table_.toSend(id))
            rows.push_back(*std::move(row));
    }
    return rows;
}

auto Registry::sendToAll(proto::ServingUpdate update, bool isForWhole) -> void
{
    update.number = ++lastNumber_;
    const auto wantsAck = update.wantsAck;
    const auto push = proto::SharedPush { std::move(update) };
    for (auto &[key, subscriber] : subscribers_) {
        if (isForWhole && !subscriber.isWhole)
            continue;
        if (wantsAck)
            subscriber.asked = lastNumber_;
        send(subscriber, push);
    }
}

auto Registry::sendToGateways(proto::ServingUpdate update) -> void
{
    update.number = ++lastNumber_;
    const auto push = proto::SharedPush { std::move(update) };
    for (const auto &[key, subscriber] : subscribers_) {
        if (subscriber.isGateway())
            send(subscriber, push);
    }
}

/// A subscriber that has missed an update is wrong about an endpoint from then on, so it has to
/// subscribe again.
auto Registry::send(const Subscriber &subscriber, const proto::SharedPush &push) -> void
{
    if (subscriber.peer->sendShared(push))
        return;
    LogEvent(LogLevel::Warning, "update_not_sent").with("peer", subscriber.peer->peer());
    subscriber.peer->close();
}

auto Registry::baseUpdate() const -> proto::ServingUpdate
{
    auto update = proto::ServingUpdate {};
    update.document = group_.document;
    update.leader = group_.leader;
    update.term = group_.term;
    update.gateways = gatewayCount();
    update.endpointsKnown = static_cast<std::uint32_t>(table_.size());
    update.isCurrent = group_.isCurrent;
    return update;
}

/// Those that watch are told by one small message that this control still follows the endpoints; it
/// withdraws those that have fallen silent.
auto Registry::sendBeats() -> void
{
    auto update = baseUpdate();
    update.number = ++lastNumber_;
    const auto pulse = proto::SharedPush { update };
    for (const auto &[key, subscriber] : subscribers_) {
        if (subscriber.isGateway() && !subscriber.isWhole && watches_.isWatching(key))
            send(subscriber, pulse);
    }
    update.beats = table_.takeBeats();
    if (!update.beats.empty())
        sendToAll(std::move(update), true);
}

auto Registry::completeLeaving() -> void
{
    const auto now = clock_.now();
    auto ended = std::vector<std::pair<Leaving, absl::Status>> {};
    for (auto item = leaving_.begin(); item != leaving_.end();) {
        const auto isLate = now >= item->deadline;
        if (!isLate && !item->unconfirmed.empty()) {
            ++item;
            continue;
        }
        auto status = isLate ? makeError(ErrorKind::NoQuorum,
                                         "endpoint=" + item->id.value() + " gateways="
                                                 + std::to_string(item->unconfirmed.size()))
                             : absl::OkStatus();
        ended.emplace_back(std::move(*item), std::move(status));
        item = leaving_.erase(item);
    }
    for (auto &[leaving, status] : ended) {
        auto line = LogEvent { LogLevel::Info, "endpoint_leaving" };
        line.with("endpoint", leaving.id).with("confirmed", status.ok());
        if (!status.ok())
            line.with(status);
        leaving.done(status);
    }
}

auto Registry::completeRelayed() -> void
{
    const auto now = clock_.now();
    for (const auto &relayed : relayed_) {
        if (relayed.unconfirmed.empty())
            relayed.control->send({ 0, proto::ServingAck { relayed.number } });
    }
    std::erase_if(relayed_, [now](const auto &relayed) {
        return relayed.unconfirmed.empty() || now >= relayed.deadline;
    });
}

auto Registry::wholeCount() const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(subscribers_.begin(), subscribers_.end(),
                          [](const auto &item) { return item.second.isWhole; }));
}

auto Registry::gatewayCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(
            std::count_if(subscribers_.begin(), subscribers_.end(), [](const auto &item) {
                return item.second.subscribe.kind == proto::SubscriberKind::Gateway;
            }));
}

} // namespace figrack::fleet
