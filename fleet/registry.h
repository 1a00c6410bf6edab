// The endpoints that have announced themselves, and the peers that are told about them.
//
//   registry.onSubscribe(peer, subscribe);           // gateways and other controls
//   const auto reply = registry.onWatch(peer, request);
//   registry.onAnnouncement(row);
//   registry.onLeaving(row, done);                   // OK: no gateway sends work there any more
//   registry.tick();
//
// Other controls, and gateways as long as there are few endpoints, are subscribers to
// the whole list: they get all rows, then the changes, and every beatEvery the
// endpoints that announced themselves here. Where there are more endpoints, a gateway
// watches keys at one control (fleet/watchtable.h): it gets the rows of a few
// endpoints for each key and their changes, and is told which are withdrawn, because
// they have fallen silent for instance. So what a gateway is sent depends on what its
// callers ask for, and not on the number of endpoints.
//
// The news that an endpoint is leaving is sent at once. Other updates go out with the
// next tick, or a few ticks later when there are many subscribers. Updates from other
// controls are relayed to the whole list's subscribers only by some of the controls,
// in one message every relayEvery: gateways also get them from the control that heard
// them, and only a gateway that is cut off from that control needs the relay. Those
// that watch are sent them by the control at which they watch.
//
// The leaving of an endpoint is acknowledged only when each gateway that is told of
// the endpoint has confirmed that it acts on it: those subscribed here themselves, and
// those that watch at another control through that control, which confirms once they
// have. If this control is cut off from that one, the leaving is not acknowledged. A
// gateway that is connected nowhere learns of it before it sends any request,
// because it gets all rows anew when it subscribes or watches.
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
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "fleet/endpointindex.h"
#include "fleet/endpointtable.h"
#include "fleet/watchtable.h"
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
    /// Minimum time between two lists of the gateways that may own origins of streams; longer from
    /// about 290 subscribers on, by relaySpacing.
    Duration ownersEvery = std::chrono::seconds { 1 };
    Duration updateSpacing = std::chrono::microseconds { 200 };
    /// Time in which gateways must confirm that an endpoint leaves; shorter than the second after
    /// which the endpoint asks another control.
    Duration confirmTimeout = std::chrono::milliseconds { 700 };
    /// After a start, time until the control is assumed to know all gateways.
    Duration settleAfterStart = std::chrono::milliseconds { 1500 };
    EndpointTableOptions table;
    WatchOptions watch;
};

/// A gateway that callers may be directed to.
struct GatewayInfo
{
    Address callers;
    DomainId domain;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not known.
    bool reachesNone = false;   ///< It reported that it cannot reach any endpoint.
};

/// What the registry sends to subscribers in addition to the endpoints.
struct GroupView
{
    Revision document;
    NodeId leader;
    Term term;
    std::vector<coord::Member> controls;
    catalogue::Evacuations evacuations;
    bool isCurrent = true; ///< This control receives the decisions and news of its group.
};

class Registry
{
public:
    using Done = std::function<void(absl::Status)>;
    Registry(RegistryOptions options, const Clock &clock);

    auto onSubscribe(const proto::PeerPointer &peer, const proto::Subscribe &subscribe) -> void;
    /// Changes what a gateway watches here. @return the rows that it has not been sent yet
    auto onWatch(const proto::PeerPointer &peer, const proto::WatchRequest &request)
            -> proto::WatchReply;
    auto onAck(const proto::PeerPointer &peer, const proto::ServingAck &ack) -> void;
    /// @return the kind of subscriber that the connection's peer was; nullopt: not subscribed
    auto onClose(const proto::PeerPointer &peer) -> std::optional<proto::SubscriberKind>;
    /// Handles an update of another control, and passes it on to this control's subscribers. If the
    /// update asks for it, it is acknowledged when all gateways that watch here act on it.
    auto onUpdate(const proto::PeerPointer &peer, const proto::ServingUpdate &update) -> void;

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
    /// On the leader: tells the gateways with the whole list the number of requests in progress at
    /// each endpoint.
    auto publishLoads(const std::vector<proto::EndpointLoad> &loads) -> void;
    /// Tells gateways and controls which software versions have served within the window.
    /// @param changes the services whose versions have changed; those without versions have none
    auto applySoftwareVersions(const proto::VersionNews &changes) -> void;
    /// Sends a message to every subscriber of a kind.
    auto push(proto::SubscriberKind kind, proto::Payload payload) -> void;
    /// @return true when this control relays what others reported about the entity with this key
    auto shouldRelay(std::uint64_t key) const -> bool;
    auto tick() -> void;

    auto find(const EndpointId &id) const -> const catalogue::EndpointRow *;
    /// @return the newest incarnation of the endpoint that is in use, or nullptr
    auto inUse(const EndpointId &id) const -> const catalogue::EndpointRow *;
    auto rows() const -> std::vector<const catalogue::EndpointRow *>;
    auto size() const -> std::size_t { return table_.size(); }
    auto index() const -> const EndpointIndex & { return index_; }
    /// @return true while gateways are subscribed that watch keys instead of the whole list
    auto hasWatchers() const -> bool;
    /// @return true when a known endpoint, gateway or control is in the failure domain
    auto knowsDomain(const DomainId &domain) const -> bool;
    /// @return the number of subscribed gateways, ready or not
    auto gatewayCount() const -> std::uint32_t;
    /// @return the gateways that are ready
    auto gateways() const -> std::vector<GatewayInfo>;
    /// @return the gateways that can take requests of others
    auto handoffTargets() const -> std::vector<proto::HandoffTarget>;
    /// Sets the function that is called when a row has changed.
    auto setOnChanged(std::function<void(const catalogue::EndpointRow &)> listener) -> void;
    /// Sets the function that is called when a row has been dropped.
    auto setOnForgotten(std::function<void(const EndpointId &)> listener) -> void;

private:
    struct Subscriber
    {
        proto::PeerPointer peer;
        proto::Subscribe subscribe;
        std::uint64_t firstUpdate = 0; ///< Number of the first update that it got.
        std::uint64_t asked = 0; ///< Number of the latest update that requires an acknowledgement.
        std::uint64_t acked = 0;
        bool isWhole = true; ///< It gets every row.
        auto isGateway() const -> bool { return subscribe.kind == proto::SubscriberKind::Gateway; }
        auto isBehind() const -> bool { return acked < asked; }
    };
    using Unconfirmed = std::map<const proto::PeerConnection *, std::uint64_t>;
    struct Leaving
    {
        EndpointId id;
        Unconfirmed unconfirmed;
        Instant deadline {};
        Done done;
    };
    /// An update of another control that gateways which watch here must confirm.
    struct Relayed
    {
        proto::PeerPointer control;
        std::uint64_t number = 0;
        Unconfirmed unconfirmed;
        Instant deadline {};
    };

    auto onTableChanged(const catalogue::EndpointRow &row, EndpointTable::Change change) -> void;
    /// Sends all that a new subscriber has to know; the rows only to one of the whole list.
    auto sendSnapshot(Subscriber &subscriber) -> void;
    auto publish(std::set<EndpointId> &ids, bool wantsAck) -> void;
    /// Sends the changes of watched endpoints to the gateways that watch them.
    auto publishToWatchers(bool wantsAck) -> void;
    auto rowsOf(const std::set<EndpointId> &ids) const -> std::vector<catalogue::EndpointRow>;
    /// Numbers the update, encodes it once and sends it to the subscribers.
    /// @param isForWhole only to those of the whole list
    auto sendToAll(proto::ServingUpdate update, bool isForWhole) -> void;
    auto sendToGateways(proto::ServingUpdate update) -> void;
    static auto send(const Subscriber &subscriber, const proto::SharedPush &push) -> void;
    auto baseUpdate() const -> proto::ServingUpdate;
    auto sendBeats() -> void;
    /// Sends the list of gateways that may own origins if it is due and has changed.
    auto publishOwners() -> void;
    auto originOwners() const -> std::vector<proto::OriginOwner>;
    auto allVersions() const -> proto::VersionNews;
    auto wholeCount() const -> std::size_t;
    auto unconfirmed(bool isForWhole) const -> Unconfirmed;
    /// @return true if a gateway watches at a control to which this one has no connection, so that
    /// it cannot be told that an endpoint leaves
    auto hasUnreachedWatchers() const -> bool;
    auto onConfirmed(const proto::PeerConnection *peer, std::uint64_t number) -> void;
    auto completeLeaving() -> void;
    auto completeRelayed() -> void;

    RegistryOptions options_;
    const Clock &clock_;
    Instant startedAt_;
    Instant nextBeat_ {};
    std::uint64_t lastNumber_ = 0; ///< Number of the latest update, over all subscribers.
    GroupView group_;
    EndpointTable table_;
    EndpointIndex index_;
    WatchTable watches_;
    std::map<const proto::PeerConnection *, Subscriber> subscribers_;
    std::set<EndpointId> unpublished_; ///< Rows to send with the next tick.
    std::set<EndpointId> unrelayed_;   ///< Rows to send with the next relay.
    WatchTable::NewsOf watchNews_;     ///< For those that watch, to send with the next tick.
    Instant nextUpdate_ {};
    Instant nextRelay_ {};
    std::vector<Leaving> leaving_;
    std::vector<Relayed> relayed_;
    std::vector<proto::OriginOwner> owners_; ///< As sent.
    bool ownersChanged_ = false;             ///< The list may differ from the one sent.
    Instant nextOwners_ {};
    std::map<ServiceId, std::vector<std::string>> versions_;
    bool isVersionsComplete_ = false;
    std::function<void(const catalogue::EndpointRow &)> onChanged_;
    std::function<void(const EndpointId &)> onForgotten_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_REGISTRY_H
