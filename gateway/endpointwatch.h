// Decides at which control a gateway watches endpoints, and for which keys.
//
//   watch.onOpen(control, node);   watch.onControls(members);   watch.onUpdate(control, update);
//   if (!watch.want(key)) waitForNews();                 // asks for the endpoints of the key
//   for (const auto &ask : watch.next()) send(ask);      // now, and again at nextCheckAt()
//   if (watch.onReply(control, reply)) view.replace(reply.endpoints);
//
// As long as the controls know few endpoints, they send every row to every gateway, and nothing
// needs to be watched. When one of them knows more than wholeUpTo, the gateway gives up the whole
// list and watches the keys that its callers ask for, at one control. It does not return to the
// whole list.
//
// The control is chosen by rendezvous hashing among those that are connected, one of the gateway's
// own failure domain first. If it does not answer in time, is lost, or says that it is out of
// touch with its group, another one is asked for all keys. Until that one has answered, the gateway
// uses the rows that it has; afterwards only those that the answer contains. The former control is
// then told that nothing is watched there any more.
//
// A key that no request has used for keepKeys is given up. Makes decisions only: it does no I/O and
// sets no timers. Not thread-safe.

#ifndef FIGRACK_GATEWAY_ENDPOINTWATCH_H
#define FIGRACK_GATEWAY_ENDPOINTWATCH_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coord/messages.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct EndpointWatchOptions
{
    /// Rows of this many endpoints are some 100 KB from each control, which a link of 10 Mbit/s
    /// carries in a tenth of a second.
    std::uint32_t wholeUpTo = 400;
    /// An answer takes a few milliseconds.
    Duration answerTimeout = std::chrono::milliseconds { 150 };
    /// A control that did not answer is not asked again for this time unless there is no other.
    Duration failedPause = std::chrono::seconds { 1 };
    /// After a control that lags behind its group has been chosen because no other was left,
    /// another one is tried in this interval.
    Duration retryCurrentEvery = std::chrono::seconds { 1 };
    Duration keepKeys = std::chrono::seconds { 15 };
    /// Further keys displace the one that was used least recently.
    std::size_t maxKeys = 256;
};

/// A request to change what is watched at a control.
struct WatchAsk
{
    Address control;
    proto::WatchRequest request;
};

class EndpointWatch
{
public:
    /// @param key determines the order of the controls; should differ between gateways
    /// @param clock must outlive this object
    EndpointWatch(EndpointWatchOptions options, std::uint64_t key, DomainId domain,
                  const Clock &clock);

    auto onOpen(const Address &control, const NodeId &node) -> void;
    auto onClosed(const Address &control) -> void;
    /// Notes the failure domains of the controls.
    auto onControls(const std::vector<coord::Member> &controls) -> void;
    /// @return true when the gateway gives up the whole list with this update: the rows that it has
    /// are not kept up to date any more, and it must subscribe again
    auto onUpdate(const Address &control, const proto::ServingUpdate &update) -> bool;
    /// Asks for the endpoints of a key, and keeps it watched.
    /// @return true when they are known
    auto want(const proto::WatchKey &key) -> bool;
    /// @return true when the reply replaces all rows that the gateway has; otherwise it adds to
    /// them
    auto onReply(const Address &control, const proto::WatchReply &reply) -> bool;
    auto onFailed(const Address &control) -> void;

    /// @return the requests to send now
    auto next() -> std::vector<WatchAsk>;
    /// @return when to call next() again if no event arrives before; nullopt if that is not needed
    auto nextCheckAt() const -> std::optional<Instant>;

    /// @return true while every control sends every row
    auto isWhole() const -> bool { return isWhole_; }
    /// @return the value for Subscribe::wholeUpTo
    auto wholeUpTo() const -> std::uint32_t { return isWhole_ ? options_.wholeUpTo : 0; }
    /// @return the control whose rows are used; nullopt: none has answered yet
    auto source() const -> const std::optional<Address> & { return source_; }
    /// @return the control at which the gateway watches or is about to
    auto chosen() const -> const std::optional<Address> & { return chosen_; }
    /// @return the value for Subscribe::watchesAt
    auto watchesAt() const -> NodeId;

private:
    struct Control
    {
        NodeId node;
        bool isCurrent = true;
        Instant notBefore {}; ///< Not chosen before this time unless there is no other.
    };
    struct Key
    {
        bool isAsked = false; ///< It is part of a request that was sent to the chosen control.
        bool isKnown = false; ///< A control has answered it; stays true while another one is asked.
        Instant usedAt {};
    };

    auto choose() const -> std::optional<Address>;
    auto giveUp(const Address &control) -> void;
    auto forgetOldKeys() -> void;

    EndpointWatchOptions options_;
    std::uint64_t key_;
    DomainId domain_;
    const Clock &clock_;
    std::map<Address, Control> controls_;     ///< Those that are connected.
    std::map<std::string, DomainId> domains_; ///< Of the controls, by address.
    std::map<proto::WatchKey, Key> keys_;
    std::optional<Address> chosen_;
    std::optional<Address> source_;
    /// Controls that may still send rows, until a new source has answered.
    std::set<Address> abandoned_;
    std::set<Address> former_; ///< Controls that are to be told that nothing is watched any more.
    std::vector<proto::WatchKey> removed_; ///< Keys to give up with the next request.
    std::optional<Instant> askedAt_;       ///< When the request that is pending was sent.
    Instant chosenAt_ {};
    Instant nextForget_ {};
    bool isWhole_ = true;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ENDPOINTWATCH_H
