// The endpoints that have announced themselves, and who is told of them.
//
//   registry.onSubscribe(peer, subscribe);           // gateways and other controls
//   registry.hear(row);                              // an announcement
//   registry.onLeaving(id, done);                  // done(OK): no gateway sends there any more
//   registry.tick();
//
// News of an endpoint that leaves goes to every subscriber at once, other news
// with the next tick, or some ticks later where there are many subscribers. What other controls
// told goes on, from some of them, every relayEvery only, in
// one message: gateways hear of it from those controls too, and only one that is
// cut off from them needs it from here. All that was heard is told every beatEvery. An endpoint's
// leaving is acknowledged only after each subscribed gateway has said that it acts on it: a gateway
// that is not subscribed learns of it before it sends anything, by the whole list that it gets when
// it subscribes.
//
// An endpoint may start again under its name; each incarnation has an id of its own. The newest
// that was heard of is in use and ends the others; what an older one said and arrives later changes
// nothing, whether it says ready, draining or gone.
//
// Soft state: a control that restarts learns all endpoints anew from their
// announcements and from the other controls. Not thread-safe.

#ifndef FIGRACK_FLEET_REGISTRY_H
#define FIGRACK_FLEET_REGISTRY_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "proto/channel.h"
#include "proto/servingmessages.h"
#include "proto/sharedpush.h"

namespace figrack::fleet {

struct RegistryOptions
{
    NodeId self; ///< This control's name in the group.
    /// So many controls pass on what others told of an endpoint: one more than may be lost at once,
    /// so that a gateway that is cut off from the one that heard it still hears. With all nine,
    /// eight of nine copies of each row that a gateway got were such relays.
    std::size_t relays = 3;
    /// How often the age of announcements is told; somewhat finer than endpoints announce.
    Duration beatEvery = std::chrono::milliseconds { 1000 };
    /// Relays are told in batches: one message a row and subscriber takes most of a control's time.
    Duration relayEvery = std::chrono::milliseconds { 250 };
    /// At least so long for each subscriber between two relays, and between two batches of news: a
    /// control sends some thousand messages a second at most, however many gateways there are. It
    /// takes effect from some 70 subscribers on for relays, from 100 on for news.
    Duration relayShare = std::chrono::microseconds { 3500 };
    Duration newsShare = std::chrono::microseconds { 200 };
    /// Gateways must confirm an endpoint's leaving within it; below the second after which the
    /// endpoint asks another control.
    Duration confirmWithin = std::chrono::milliseconds { 700 };
    /// A control that has just started does not yet know all gateways.
    Duration settleAfterStart = std::chrono::milliseconds { 1500 };
    Duration forgetGoneAfter = std::chrono::seconds { 60 };
    /// An endpoint of which nobody heard for so long is taken for lost.
    Duration forgetSilentAfter = std::chrono::seconds { 30 };
    /// One that was known before a restart and has not announced itself since: three intervals at
    /// which endpoints announce themselves.
    Duration recallFor = std::chrono::seconds { 4 };
    /// An incarnation that calls itself older than one that is known is taken for one whose VM's
    /// clock was set back, which must not be shut out, when it goes on announcing itself for so
    /// long while the other is silent. What a cut has held back arrives at once, so that a dead one
    /// does not pass for it; an endpoint that was set back is away for three announcements.
    Duration incarnationProof = std::chrono::seconds { 4 };
};

/// A gateway to which callers may be sent.
struct GatewayInfo
{
    Address callers;
    DomainId domain;
};

/// What the registry tells beside the endpoints.
struct GroupView
{
    Revision document;
    NodeId leader;
    Term term;
    std::vector<coord::Member> controls;
};

class Registry
{
public:
    using Done = std::function<void(absl::Status)>;
    Registry(RegistryOptions options, const Clock &clock);

    auto onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe) -> void;
    auto onAck(const proto::PeerPointer &peer, const proto::ServingAck &ack) -> void;
    /// @return what the connection's peer had subscribed as; nullopt: it had not
    auto onClose(const proto::PeerPointer &peer) -> std::optional<proto::SubscriberKind>;
    /// What another control tells; passed on to this control's subscribers that lack it.
    auto onUpdate(const proto::ServingUpdate &update) -> void;

    /// Endpoints that were known before a restart, until they announce themselves or recallFor has
    /// passed. Call before anything else.
    auto recall(std::vector<catalogue::EndpointRow> endpoints) -> void;
    /// An announcement. A draining one is also told by onLeaving().
    auto onAnnouncement(const catalogue::EndpointRow &row) -> void;
    /// @param row the announcement that says so, or what is known with the state changed
    /// @param done called once: OK when no gateway sends new work there any more, else NoQuorum
    auto onLeaving(const catalogue::EndpointRow &row, Done done) -> void;
    /// Changes what is known of an endpoint after an order, until its next announcement.
    auto amend(const EndpointId &id, const std::function<void(catalogue::EndpointRow &)> &change)
            -> void;
    /// Tells all subscribers when document, leader or controls have changed.
    auto setGroup(const GroupView &group) -> void;
    /// On the leader: tells all gateways how much is in progress at each endpoint.
    auto tellLoads(const std::vector<proto::EndpointLoad> &loads) -> void;
    /// Sends a message to every subscriber of a kind.
    auto push(proto::SubscriberKind kind, proto::Payload payload) -> void;
    /// @return whether this control passes on what others told of what the key names
    auto passesOn(std::uint64_t key) const -> bool;
    auto tick() -> void;

    auto find(const EndpointId &id) const -> const catalogue::EndpointRow *;
    /// @return the newest incarnation of the endpoint that is in use, or nullptr
    auto inUse(const EndpointId &id) const -> const catalogue::EndpointRow *;
    auto rows() const -> std::vector<const catalogue::EndpointRow *>;
    /// @return gateways that are subscribed, ready or not
    auto gatewayCount() const -> std::uint32_t;
    /// @return gateways that are ready
    auto gateways() const -> std::vector<GatewayInfo>;
    /// Called when a row has changed.
    auto setOnChanged(std::function<void(const catalogue::EndpointRow &)> listener) -> void;

private:
    struct Known
    {
        catalogue::EndpointRow row;
        Instant heardAt {};
        bool beaten = false; ///< Heard here since the last beat.
    };
    struct Subscriber
    {
        proto::PeerPointer peer;
        proto::Subscribe subscribe;
        std::uint64_t asked = 0; ///< Number of the latest update that wants an acknowledgement.
        std::uint64_t acked = 0;
    };
    struct Leaving
    {
        EndpointId id;
        std::map<const proto::PeerConnection *, std::uint64_t> unconfirmed;
        Instant deadline {};
        Done done;
    };

    auto newerHeardAt(const EndpointId &id) const -> std::optional<Instant>;
    auto isIgnored(const catalogue::EndpointRow &row) -> bool;
    auto mayBegin(const EndpointId &id) -> bool;
    auto isOver(const EndpointId &id) const -> bool;
    auto take(const catalogue::EndpointRow &row) -> bool;
    auto endOthers(const EndpointId &id) -> void;
    auto tell(std::set<EndpointId> &ids, bool wantsAck) -> void;
    /// Numbers the update and sends it to every subscriber, encoded once.
    auto sendToAll(proto::ServingUpdate update) -> void;
    static auto send(const Subscriber &subscriber, const proto::SharedPush &push) -> void;
    auto baseUpdate() const -> proto::ServingUpdate;
    auto sendBeats() -> void;
    auto forgetOld() -> void;
    auto settleLeaving() -> void;

    RegistryOptions options_;
    const Clock &clock_;
    Instant startedAt_;
    Instant nextBeat_ {};
    std::uint64_t lastNumber_ = 0; ///< Of the latest update, over all subscribers.
    GroupView group_;
    std::map<EndpointId, Known> known_;
    std::map<const proto::PeerConnection *, Subscriber> subscribers_;
    /// Incarnations older than one that is known, and since when they announce themselves while
    /// that is silent.
    std::map<EndpointId, Instant> challengers_;
    std::set<EndpointId> fresh_;   ///< Rows to tell with the next tick.
    std::set<EndpointId> relayed_; ///< Rows to tell with the next relay.
    Instant nextNews_ {};
    Instant nextRelay_ {};
    std::vector<Leaving> leaving_;
    std::function<void(const catalogue::EndpointRow &)> onChanged_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_REGISTRY_H
