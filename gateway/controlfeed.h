// A gateway's connections to all controls: receives updates, and sends demand reports.
//
//   auto feed = ControlFeed { context, options, clock, hooks };
//   feed.start();
//   feed.setReady(true);                 // callers may be sent here
//   feed.sendWanted(demand.take());      // to the leader, if it is known and connected
//
// The first control addresses come from the settings, later ones from the updates of the controls.
// Both lists may be out of date, so an address that has answered once is kept until the controls
// list others. The gateway listens to every control, so news of an endpoint arrives through
// whichever control learns of it first, and the loss of any one control has no effect.
//
// Where there are many endpoints, the rows come from one control only, and only those that are
// watched there (gateway/endpointwatch.h). Everything else still comes from every control.
//
// DocumentFetch decides which control is asked for a document, and when another one is asked. If
// revoked keys must also stop working at gateways that are cut off, one control at a time is asked
// for proof that the document is current (gateway/keylease.h). Not thread-safe.

#ifndef FIGRACK_GATEWAY_CONTROLFEED_H
#define FIGRACK_GATEWAY_CONTROLFEED_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/settings.h"
#include "gateway/documentfetch.h"
#include "gateway/endpointwatch.h"
#include "gateway/keylease.h"
#include "gateway/picker.h"
#include "proto/channel.h"

namespace figrack::gateway {

struct ControlFeedOptions
{
    proto::ChannelOptions channel;
    Address callers; ///< Address at which callers connect to this gateway.
    DomainId domain;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not known.
    std::vector<Address> seeds; ///< Peer addresses of controls.
    DocumentFetchOptions documents;
    EndpointWatchOptions endpoints;
    /// A request for a document fails after this time, and its control may be asked again. This
    /// equals the time for which a silent connection is kept. Other controls are asked long before.
    Duration documentTimeout = std::chrono::seconds { 3 };
    /// A request to watch endpoints fails after this time. Another control is asked long before.
    Duration watchTimeout = std::chrono::seconds { 1 };
    /// A control that did not answer a pick or a proof request in time is not asked again for this
    /// time, since a control that hangs or is cut off is detected only by the channel's idle
    /// timeout.
    Duration balancerPause = std::chrono::seconds { 1 };
    /// The same for a control that cannot count for accounts, since it is cut off from its group.
    /// Such cuts last for several seconds; asked again each second, isolated controls took both
    /// tries of a request, and callers of accounts with limits were refused meanwhile.
    Duration isolatedPause = std::chrono::seconds { 3 };
    /// A control that does not name other gateways within this time is not waited for.
    Duration handoffTimeout = std::chrono::milliseconds { 150 };
    KeyLeaseOptions keyLease;
};

struct ControlFeedHooks
{
    /// Called for each update. @param control the address that it came from
    std::function<void(const Address &control, const proto::ServingUpdate &)> onUpdate;
    /// Called when a document has been fetched. @return true if it is in force from now on
    std::function<bool(const FetchedDocument &)> onDocument;
    std::function<void(const proto::SuspectNews &)> onSuspects;
    /// @return the suspected work known to this gateway. It is sent to each control that connects,
    /// since a control that has just started may not know it
    std::function<std::vector<catalogue::SuspectRow>()> suspects;
    std::function<void()> onKeysProved; ///< Called when keys become current; may be empty.
    /// Called when the controls know so many endpoints that they do not send every row any more.
    std::function<void()> onWholeListGivenUp;
    /// Called with the rows of watched endpoints. @param isReset they replace all others
    std::function<void(const std::vector<catalogue::EndpointRow> &rows, bool isReset)> onWatched;
    std::function<void()> onSourceHeard; ///< The control of the watched endpoints sent something.
    /// Called when a balancer ends the wait of a queued request; may be empty, as the next two.
    std::function<void(const Address &control, const proto::PickGrant &)> onGrant;
    /// Called when the connection to a control has closed.
    std::function<void(const Address &control)> onControlClosed;
    /// Called when another control is asked for picks. @param balancer nullopt if there is none
    std::function<void(const std::optional<Address> &balancer)> onBalancer;
    /// Called for each load schedule of a leader; may be empty.
    std::function<void(const proto::LoadSchedule &)> onLoadSchedule = {};
};

class ControlFeed
{
public:
    ControlFeed(boost::asio::io_context &context, ControlFeedOptions options, const Clock &clock,
                ControlFeedHooks hooks);
    ~ControlFeed();
    auto start() -> void;
    auto stop() -> void;
    /// Tells all controls whether callers may be sent to this gateway.
    auto setReady(bool ready) -> void;
    /// Sets where this gateway takes requests of others; before start().
    auto setHandoffs(const Address &handoffs) -> void;
    /// Tells all controls which groups of endpoints this gateway cannot make connections to.
    /// @param reachesNone these are all that it knows
    auto setUnreached(std::vector<catalogue::EndpointGroup> unreached, bool reachesNone) -> void;
    /// Asks controls for other gateways, one after another until one answers.
    /// @param preferred failure domains whose gateways are preferred
    /// @param done called if one answers
    auto askHandoffTargets(std::vector<DomainId> preferred,
                           std::function<void(std::vector<proto::HandoffTarget>)> done) -> void;
    /// Connects to more controls. @param seeds their peer addresses
    auto addSeeds(const std::vector<Address> &seeds) -> void;
    /// Asks for the endpoints of a key. @return true when they are known; otherwise onWatched is
    /// called when they are
    auto wantEndpoints(const proto::WatchKey &key) -> bool;
    /// @return true while every control sends the rows of all endpoints
    auto isWhole() const -> bool;
    /// Sends a demand report to the leader, or to the control at which endpoints are watched, which
    /// sums them up for the leader. @return false if none is known or connected
    auto sendWanted(proto::ModelWanted wanted) -> bool;
    /// Asks the leader for a retry. @return false if none is connected; then done is not called
    /// @param done called once, with nullopt if no answer came in time
    auto askRetry(const proto::RetryGrantRequest &request, Duration timeout,
                  std::function<void(std::optional<proto::RetryGrantReply>)> done) -> bool;
    /// @return the names of the controls that have been connected and may be again
    auto controls() const -> std::vector<NodeId>;
    /// @return true if every control that is known is connected
    auto areAllConnected() const -> bool;
    /// @return the largest number of gateways that a control has said to serve lately
    auto gateways() const -> std::size_t;
    /// Sends a message to one control. @return false if it is not connected or its queue is full
    auto pushTo(const NodeId &control, proto::Payload message) -> bool;
    /// Asks one control. @return false if it is not connected; then onReply is not called
    /// @param onReply called once, with an error if no answer came in time
    auto callAt(const NodeId &control, proto::Payload message, Duration timeout,
                std::function<void(const absl::StatusOr<proto::Payload> &)> onReply) -> bool;
    /// Sends suspected work to all controls, since each may be the only one that another gateway is
    /// connected to.
    auto sendSuspects(const std::vector<catalogue::SuspectRow> &rows) -> void;
    /// @return a link for Picker to the control that balances for all gateways. Gateways that are
    /// connected to the same controls choose the same one without communicating.
    auto balancerLink() -> BalancerLink;
    /// @return the lease that tells whether the keys of the document in force may be used; valid as
    /// long as the feed
    auto keyLease() const -> const KeyLease &;
    /// @return number of controls that are connected
    auto connected() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CONTROLFEED_H
