// The endpoints that have announced themselves, and the peers that are told about them.
//
//   registry.onSubscribe(peer, subscribe);           // gateways and other controls
//   registry.onAnnouncement(row);
//   registry.onLeaving(row, done);                   // OK: no gateway sends work there any more
//   registry.tick();
//
// The news that an endpoint is leaving goes to every subscriber at once. Other
// updates go out with the next tick, or a few ticks later when there are many
// subscribers. Updates from other controls are relayed only by some of the
// controls, in one message every relayEvery: gateways also get them from the
// control that heard them, and only a gateway that is cut off from that control
// needs the relay. Every beatEvery, the registry tells all subscribers which
// endpoints it has heard from.
//
// The leaving of an endpoint is acknowledged only when each subscribed gateway
// has confirmed that it acts on it. A gateway that is not subscribed learns of it
// before it sends any request, because it gets the whole list when it subscribes.
//
// An endpoint may restart under the same name; each incarnation has its own ID.
// The newest known incarnation is in use and supersedes the others. Messages of a
// superseded incarnation that arrive later change nothing, whatever state they
// report.
//
// Soft state: a control that restarts learns all endpoints again from their
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
    /// Number of controls that relay what others reported about an endpoint: one more than may be
    /// lost at once, so that a gateway that is cut off from the control that heard it still gets
    /// the update. When all nine relayed, eight of nine copies of each row that a gateway got were
    /// relays.
    std::size_t relays = 3;
    /// Interval at which the age of announcements is sent; slightly shorter than the interval at
    /// which endpoints announce themselves.
    Duration beatEvery = std::chrono::milliseconds { 1000 };
    /// Relays are batched, since one message per row and subscriber takes most of a control's time.
    Duration relayEvery = std::chrono::milliseconds { 250 };
    /// Minimum time per subscriber between two relays, and between two batches of updates. It
    /// limits a control to a few thousand messages a second, however many gateways there are. It
    /// takes effect from about 70 subscribers on for relays, and from about 100 on for updates.
    Duration relaySpacing = std::chrono::microseconds { 3500 };
    Duration updateSpacing = std::chrono::microseconds { 200 };
    /// Time in which gateways must confirm that an endpoint leaves; shorter than the second after
    /// which the endpoint asks another control.
    Duration confirmTimeout = std::chrono::milliseconds { 700 };
    /// After a start, time until the control is assumed to know all gateways.
    Duration settleAfterStart = std::chrono::milliseconds { 1500 };
    Duration forgetGoneAfter = std::chrono::seconds { 60 };
    /// An endpoint that nobody has heard from for this time is considered lost.
    Duration forgetSilentAfter = std::chrono::seconds { 30 };
    /// The same, for an endpoint that was known before a restart and has not announced itself
    /// since: three announcement intervals.
    Duration recallFor = std::chrono::seconds { 4 };
    /// An incarnation that is older than a known one is normally ignored. It is accepted when it
    /// keeps announcing itself for this time while the newer one is silent: then the clock of its
    /// VM was probably set back. After a network partition, delayed announcements arrive all at
    /// once, so a dead incarnation is not accepted by mistake. An endpoint whose clock was set
    /// back is missing for three announcements.
    Duration olderIncarnationAfter = std::chrono::seconds { 4 };
};

/// A gateway that callers may be directed to.
struct GatewayInfo
{
    Address callers;
    DomainId domain;
};

/// What the registry sends to subscribers in addition to the endpoints.
struct GroupView
{
    Revision document;
    NodeId leader;
    Term term;
    std::vector<coord::Member> controls;
    catalogue::Evacuations evacuations;
};

class Registry
{
public:
    using Done = std::function<void(absl::Status)>;
    Registry(RegistryOptions options, const Clock &clock);

    auto onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe) -> void;
    auto onAck(const proto::PeerPointer &peer, const proto::ServingAck &ack) -> void;
    /// @return the kind of subscriber that the connection's peer was; nullopt: not subscribed
    auto onClose(const proto::PeerPointer &peer) -> std::optional<proto::SubscriberKind>;
    /// Handles an update of another control, and relays it to this control's subscribers.
    auto onUpdate(const proto::ServingUpdate &update) -> void;

    /// Restores the endpoints that were known before a restart. They are kept until they announce
    /// themselves or recallFor has passed. Call it before any other function.
    auto recall(std::vector<catalogue::EndpointRow> endpoints) -> void;
    /// Handles an announcement. For one that reports draining, also call onLeaving().
    auto onAnnouncement(const catalogue::EndpointRow &row) -> void;
    /// @param row the announcement that reports the leaving, or the known row with the state
    /// changed
    /// @param done called once: OK when no gateway sends new work there any more, else NoQuorum
    auto onLeaving(const catalogue::EndpointRow &row, Done done) -> void;
    /// Changes the known row of an endpoint after an order, until its next announcement.
    auto amend(const EndpointId &id, const std::function<void(catalogue::EndpointRow &)> &change)
            -> void;
    /// Notifies all subscribers when the document, the leader, the controls or the evacuations have
    /// changed.
    auto setGroup(const GroupView &group) -> void;
    /// On the leader: tells all gateways the number of requests in progress at each endpoint.
    auto publishLoads(const std::vector<proto::EndpointLoad> &loads) -> void;
    /// Sends a message to every subscriber of a kind.
    auto push(proto::SubscriberKind kind, proto::Payload payload) -> void;
    /// @return true when this control relays what others reported about the entity with this key
    auto shouldRelay(std::uint64_t key) const -> bool;
    auto tick() -> void;

    auto find(const EndpointId &id) const -> const catalogue::EndpointRow *;
    /// @return the newest incarnation of the endpoint that is in use, or nullptr
    auto inUse(const EndpointId &id) const -> const catalogue::EndpointRow *;
    auto rows() const -> std::vector<const catalogue::EndpointRow *>;
    /// @return true when a known endpoint, gateway or control is in the failure domain
    auto knowsDomain(const DomainId &domain) const -> bool;
    /// @return the number of subscribed gateways, ready or not
    auto gatewayCount() const -> std::uint32_t;
    /// @return the gateways that are ready
    auto gateways() const -> std::vector<GatewayInfo>;
    /// Sets the function that is called when a row has changed.
    auto setOnChanged(std::function<void(const catalogue::EndpointRow &)> listener) -> void;

private:
    struct Known
    {
        catalogue::EndpointRow row;
        Instant heardAt {};
        Instant coldUntil {}; ///< The endpoint takes a limited rate of requests until then.
        bool beaten = false;  ///< An announcement arrived here since the last sendBeats().
    };
    struct Subscriber
    {
        proto::PeerPointer peer;
        proto::Subscribe subscribe;
        std::uint64_t asked = 0; ///< Number of the latest update that requires an acknowledgement.
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
    auto acceptsIncarnation(const EndpointId &id) -> bool;
    auto isSuperseded(const EndpointId &id) const -> bool;
    auto merge(const catalogue::EndpointRow &row) -> bool;
    auto noteCold(Known &known) const -> bool;
    /// @return the row as it is sent: with the time that is left until the endpoint is warm
    auto rowToSend(const Known &known) const -> catalogue::EndpointRow;
    auto supersedeOthers(const EndpointId &id) -> void;
    auto publish(std::set<EndpointId> &ids, bool wantsAck) -> void;
    /// Numbers the update, encodes it once and sends it to every subscriber.
    auto sendToAll(proto::ServingUpdate update) -> void;
    static auto send(const Subscriber &subscriber, const proto::SharedPush &push) -> void;
    auto baseUpdate() const -> proto::ServingUpdate;
    auto sendBeats() -> void;
    auto forgetOld() -> void;
    auto completeLeaving() -> void;

    RegistryOptions options_;
    const Clock &clock_;
    Instant startedAt_;
    Instant nextBeat_ {};
    std::uint64_t lastNumber_ = 0; ///< Number of the latest update, over all subscribers.
    GroupView group_;
    std::map<EndpointId, Known> known_;
    std::map<const proto::PeerConnection *, Subscriber> subscribers_;
    /// Incarnations older than a known one, with the time since when they have been announcing
    /// themselves while the newer one is silent.
    std::map<EndpointId, Instant> olderIncarnations_;
    std::set<EndpointId> unpublished_; ///< Rows to send with the next tick.
    std::set<EndpointId> unrelayed_;   ///< Rows to send with the next relay.
    Instant nextUpdate_ {};
    Instant nextRelay_ {};
    std::vector<Leaving> leaving_;
    std::function<void(const catalogue::EndpointRow &)> onChanged_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_REGISTRY_H
