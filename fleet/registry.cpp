#include "fleet/registry.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/hash.h"
#include "core/log.h"

namespace figrack::fleet {

using catalogue::EndpointRow;
using catalogue::EndpointState;

namespace {

/// Announcements are delayed by different times, so the ends that they state differ slightly.
constexpr auto coldTolerance = std::chrono::milliseconds { 500 };

} // namespace

Registry::Registry(RegistryOptions options, const Clock &clock)
    : options_(std::move(options))
    , clock_(clock)
    , startedAt_(clock.now())
{ }

auto Registry::onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe)
        -> void
{
    auto &subscriber = subscribers_[peer.get()];
    const auto isNew = subscriber.peer == nullptr;
    subscriber.peer = peer;
    subscriber.subscribe = subscribe;
    LogEvent(LogLevel::Info, "subscriber")
            .with("peer", peer->peer())
            .with("gateway", subscribe.kind == proto::SubscriberKind::Gateway)
            .with("ready", subscribe.ready)
            .with("new", isNew);
    if (!isNew)
        return;
    auto update = baseUpdate();
    update.controls = group_.controls;
    update.evacuations = group_.evacuations;
    // If two endpoints were known at one address, the receiver keeps the later one in the update,
    // so the one heard last must come last.
    auto sorted = std::vector<const Known *> {};
    for (const auto &[id, known] : known_)
        sorted.push_back(&known);
    std::sort(sorted.begin(), sorted.end(),
              [](const Known *one, const Known *other) { return one->heardAt < other->heardAt; });
    for (const auto *known : sorted)
        update.endpoints.push_back(rowToSend(*known));
    update.wantsAck = true;
    update.number = ++lastNumber_;
    subscriber.asked = update.number;
    send(subscriber, proto::SharedPush { std::move(update) });
}

auto Registry::onAck(const proto::PeerPointer &peer, const proto::ServingAck &ack) -> void
{
    const auto found = subscribers_.find(peer.get());
    if (found == subscribers_.end())
        return;
    found->second.acked = std::max(found->second.acked, ack.number);
    for (auto &leaving : leaving_) {
        const auto waits = leaving.unconfirmed.find(peer.get());
        if (waits != leaving.unconfirmed.end() && waits->second <= ack.number)
            leaving.unconfirmed.erase(waits);
    }
    completeLeaving();
}

auto Registry::onClose(const proto::PeerPointer &peer) -> std::optional<proto::SubscriberKind>
{
    const auto found = subscribers_.find(peer.get());
    if (found == subscribers_.end())
        return std::nullopt;
    const auto kind = found->second.subscribe.kind;
    LogEvent(LogLevel::Warning, "subscriber_lost").with("peer", peer->peer());
    subscribers_.erase(found);
    // The gateway gets the whole list before it may send again, but this control cannot tell when.
    for (auto &leaving : leaving_) {
        if (leaving.unconfirmed.contains(peer.get()))
            leaving.deadline = clock_.now();
    }
    return kind;
}

auto Registry::onUpdate(const proto::ServingUpdate &update) -> void
{
    // Rows of ended incarnations come first, because another one may have replaced them.
    for (const auto isGone : { true, false }) {
        for (const auto &row : update.endpoints) {
            if ((row.state == EndpointState::Gone) == isGone && merge(row)
                && shouldRelay(std::hash<EndpointId> {}(row.id)))
                unrelayed_.insert(row.id);
        }
    }
    const auto now = clock_.now();
    for (const auto &beat : update.beats) {
        const auto found = known_.find(beat.id);
        if (found != known_.end() && beat.sequence >= found->second.row.sequence)
            found->second.heardAt = now;
    }
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
    // Set the time so that the endpoint is considered lost after recallFor.
    const auto heardAt = clock_.now() - options_.forgetSilentAfter + options_.recallFor;
    for (auto &row : endpoints) {
        if (row.state == EndpointState::Gone)
            continue;
        auto &known = known_[row.id];
        known.row = std::move(row);
        known.heardAt = heardAt;
        noteCold(known);
    }
}

auto Registry::onAnnouncement(const EndpointRow &row) -> void
{
    if (isIgnored(row)) {
        LogEvent(LogLevel::Info, "old_incarnation_ignored")
                .with("endpoint", row.id)
                .with("state", catalogue::endpointStateName(row.state))
                .with("sequence", row.sequence);
        return;
    }
    const auto changed = merge(row);
    auto &known = known_[row.id];
    known.heardAt = clock_.now();
    known.beaten = true;
    if (changed)
        unpublished_.insert(row.id);
}

auto Registry::onLeaving(const EndpointRow &row, Done done) -> void
{
    onAnnouncement(row);
    if (!known_.contains(row.id) || isSuperseded(row.id)) {
        done(absl::OkStatus()); // No gateway sends work there: another incarnation is in use.
        return;
    }
    unrelayed_.erase(row.id);
    unpublished_.insert(row.id);
    publish(unpublished_, true);
    auto leaving = Leaving { row.id, {}, clock_.now() + options_.confirmTimeout, std::move(done) };
    for (const auto &[key, subscriber] : subscribers_) {
        const auto isGateway = subscriber.subscribe.kind == proto::SubscriberKind::Gateway;
        if (isGateway && subscriber.acked < subscriber.asked)
            leaving.unconfirmed.emplace(key, subscriber.asked);
    }
    const auto settled = clock_.now() >= startedAt_ + options_.settleAfterStart;
    if (gatewayCount() == 0 || !settled)
        leaving.deadline = Instant {}; // No gateway can confirm it, so it fails at once.
    leaving_.push_back(std::move(leaving));
    completeLeaving();
}

auto Registry::amend(const EndpointId &id, const std::function<void(EndpointRow &)> &change) -> void
{
    const auto found = known_.find(id);
    if (found == known_.end())
        return;
    auto row = rowToSend(found->second);
    change(row);
    ++row.orderVersion;
    if (merge(row))
        unpublished_.insert(id);
}

auto Registry::setGroup(const GroupView &group) -> void
{
    const auto controlsChanged = group.controls != group_.controls;
    const auto evacuationsChanged = group.evacuations != group_.evacuations;
    const auto changed = controlsChanged || evacuationsChanged || group.document != group_.document
            || group.leader != group_.leader || group.term != group_.term;
    if (!changed)
        return;
    group_ = group;
    auto update = baseUpdate();
    if (controlsChanged)
        update.controls = group_.controls;
    if (evacuationsChanged)
        update.evacuations = group_.evacuations;
    sendToAll(std::move(update));
}

auto Registry::publishLoads(const std::vector<proto::EndpointLoad> &loads) -> void
{
    if (loads.empty())
        return;
    auto update = baseUpdate();
    update.loads = loads;
    update.number = ++lastNumber_;
    push(proto::SubscriberKind::Gateway, std::move(update));
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
        nextUpdate_ = now + subscribers_.size() * options_.updateSpacing;
        publish(unpublished_, false);
    }
    if (now >= nextRelay_) {
        const auto share = subscribers_.size() * options_.relaySpacing;
        nextRelay_ = now + std::max<Duration>(options_.relayEvery, share);
        publish(unrelayed_, false);
    }
    completeLeaving();
    if (now < nextBeat_)
        return;
    nextBeat_ = now + options_.beatEvery;
    sendBeats();
    forgetOld();
}

auto Registry::find(const EndpointId &id) const -> const EndpointRow *
{
    const auto found = known_.find(id);
    return found == known_.end() ? nullptr : &found->second.row;
}

auto Registry::inUse(const EndpointId &id) const -> const EndpointRow *
{
    const EndpointRow *newest = nullptr;
    catalogue::forEachIncarnation(known_, id, [&](const auto &item) {
        const auto &row = item.second.row;
        const auto isNewest = newest == nullptr || row.id.incarnation() > newest->id.incarnation();
        if (row.state != EndpointState::Gone && isNewest)
            newest = &row;
    });
    return newest;
}

auto Registry::rows() const -> std::vector<const EndpointRow *>
{
    auto result = std::vector<const EndpointRow *> {};
    for (const auto &[id, known] : known_)
        result.push_back(&known.row);
    return result;
}

auto Registry::knowsDomain(const DomainId &domain) const -> bool
{
    const auto isInDomain = [&](const auto &item) { return item.domain == domain; };
    return std::any_of(group_.controls.begin(), group_.controls.end(), isInDomain)
            || std::any_of(subscribers_.begin(), subscribers_.end(),
                           [&](const auto &item) { return isInDomain(item.second.subscribe); })
            || std::any_of(known_.begin(), known_.end(),
                           [&](const auto &item) { return isInDomain(item.second.row); });
}

auto Registry::gateways() const -> std::vector<GatewayInfo>
{
    auto result = std::vector<GatewayInfo> {};
    for (const auto &[key, subscriber] : subscribers_) {
        const auto &subscribe = subscriber.subscribe;
        if (subscribe.kind == proto::SubscriberKind::Gateway && subscribe.ready)
            result.push_back({ subscribe.callers, subscribe.domain });
    }
    return result;
}

auto Registry::setOnChanged(std::function<void(const EndpointRow &)> listener) -> void
{
    onChanged_ = std::move(listener);
}

/// @return when a newer incarnation of the endpoint was last heard from; nullopt: none is known
auto Registry::newerHeardAt(const EndpointId &id) const -> std::optional<Instant>
{
    auto result = std::optional<Instant> {};
    catalogue::forEachIncarnation(known_, id, [&](const auto &item) {
        if (item.first.incarnation() > id.incarnation())
            result = std::max(result.value_or(Instant::min()), item.second.heardAt);
    });
    return result;
}

/// @return true when the row comes from a superseded incarnation
auto Registry::isIgnored(const EndpointRow &row) -> bool
{
    if (known_.contains(row.id))
        return false;
    return row.state == EndpointState::Ready ? !acceptsIncarnation(row.id)
                                             : newerHeardAt(row.id).has_value();
}

/// @return true when this yet unknown incarnation is not superseded by a known one
auto Registry::acceptsIncarnation(const EndpointId &id) -> bool
{
    const auto newer = newerHeardAt(id);
    if (!newer)
        return true;
    const auto now = clock_.now();
    auto &since = olderIncarnations_.try_emplace(id, now).first->second;
    if (*newer >= since)
        since = now;
    if (now - since < options_.olderIncarnationAfter)
        return false;
    LogEvent(LogLevel::Warning, "incarnation_falls").with("endpoint", id);
    olderIncarnations_.erase(id);
    supersedeOthers(id);
    return true;
}

/// @return true when a newer incarnation of the endpoint is in use
auto Registry::isSuperseded(const EndpointId &id) const -> bool
{
    const auto rowOf = [](const Known &known) -> const EndpointRow & { return known.row; };
    return catalogue::newerIncarnation(known_, id, rowOf) != nullptr;
}

/// Marks all other incarnations of the endpoint as gone, since this one is in use.
auto Registry::supersedeOthers(const EndpointId &id) -> void
{
    catalogue::forEachIncarnation(known_, id, [&](auto &item) {
        auto &row = item.second.row;
        if (item.first == id || row.state == EndpointState::Gone)
            return;
        row.state = EndpointState::Gone;
        unpublished_.insert(item.first);
        LogEvent(LogLevel::Info, "incarnation_over").with("endpoint", item.first).with("by", id);
        if (onChanged_)
            onChanged_(row);
    });
}

/// @return true when the row changed the known state
auto Registry::merge(const EndpointRow &row) -> bool
{
    if (!known_.contains(row.id) && isSuperseded(row.id))
        return false;
    auto [item, isNew] = known_.try_emplace(row.id);
    auto &known = item->second;
    if (isNew) {
        known.heardAt = clock_.now();
    } else {
        if (!catalogue::isNewer(row, known.row))
            return false;
    }
    auto changed = isNew || !row.sameAs(known.row);
    known.row = row;
    changed = noteCold(known) || changed;
    if (!changed)
        return false;
    LogEvent(LogLevel::Info, "endpoint_changed")
            .with("endpoint", row.id)
            .with("service", row.service)
            .with("address", row.address.text())
            .with("state", catalogue::endpointStateName(row.state))
            .with("sequence", row.sequence)
            .with("models", static_cast<std::uint64_t>(row.models.size()));
    if (isNew && row.state != EndpointState::Gone)
        supersedeOthers(row.id);
    if (onChanged_)
        onChanged_(known.row);
    return true;
}

/// Call when the row has been set. @return true when subscribers must be told: each announcement of
/// a cold endpoint states less time, but nearly the same end
auto Registry::noteCold(Known &known) const -> bool
{
    const auto now = clock_.now();
    const auto before = std::max(known.coldUntil, now);
    known.coldUntil = now + std::chrono::milliseconds { known.row.coldMs };
    return std::chrono::abs(known.coldUntil - before) > coldTolerance;
}

auto Registry::rowToSend(const Known &known) const -> EndpointRow
{
    using std::chrono::milliseconds;
    auto row = known.row;
    const auto left = std::chrono::ceil<milliseconds>(known.coldUntil - clock_.now());
    row.coldMs = static_cast<std::uint32_t>(std::max<milliseconds::rep>(left.count(), 0));
    return row;
}

/// Sends the rows to all subscribers and clears the set.
auto Registry::publish(std::set<EndpointId> &ids, bool wantsAck) -> void
{
    auto rows = std::vector<EndpointRow> {};
    for (const auto &id : std::exchange(ids, {})) {
        if (const auto found = known_.find(id); found != known_.end())
            rows.push_back(rowToSend(found->second));
    }
    if (rows.empty())
        return;
    auto update = baseUpdate();
    update.endpoints = std::move(rows);
    update.wantsAck = wantsAck;
    sendToAll(std::move(update));
}

auto Registry::sendToAll(proto::ServingUpdate update) -> void
{
    update.number = ++lastNumber_;
    const auto wantsAck = update.wantsAck;
    const auto push = proto::SharedPush { std::move(update) };
    for (auto &[key, subscriber] : subscribers_) {
        if (wantsAck)
            subscriber.asked = lastNumber_;
        send(subscriber, push);
    }
}

auto Registry::send(const Subscriber &subscriber, const proto::SharedPush &push) -> void
{
    if (!subscriber.peer->sendShared(push))
        LogEvent(LogLevel::Warning, "update_not_sent").with("peer", subscriber.peer->peer());
}

auto Registry::baseUpdate() const -> proto::ServingUpdate
{
    auto update = proto::ServingUpdate {};
    update.document = group_.document;
    update.leader = group_.leader;
    update.term = group_.term;
    update.gateways = gatewayCount();
    return update;
}

auto Registry::sendBeats() -> void
{
    auto beats = std::vector<catalogue::EndpointBeat> {};
    for (auto &[id, known] : known_) {
        if (std::exchange(known.beaten, false))
            beats.push_back({ id, known.row.sequence });
    }
    if (beats.empty())
        return;
    auto update = baseUpdate();
    update.beats = std::move(beats);
    sendToAll(std::move(update));
}

auto Registry::forgetOld() -> void
{
    const auto now = clock_.now();
    std::erase_if(olderIncarnations_, [&](const auto &item) {
        return now - item.second >= options_.forgetSilentAfter;
    });
    std::erase_if(known_, [&](const auto &item) {
        const auto isGone = item.second.row.state == EndpointState::Gone;
        const auto limit = isGone ? options_.forgetGoneAfter : options_.forgetSilentAfter;
        return now - item.second.heardAt >= limit;
    });
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

auto Registry::gatewayCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(
            std::count_if(subscribers_.begin(), subscribers_.end(), [](const auto &item) {
                return item.second.subscribe.kind == proto::SubscriberKind::Gateway;
            }));
}

} // namespace figrack::fleet
