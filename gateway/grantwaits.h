// The requests of this gateway that wait in a balancer's queue for a place (fleet/placequeue.h).
//
//   auto wait = waits.begin(ticket);          // before the balancer is asked
//   wait.setBalancer(address);                // once it has been asked
//   wait.queue(predicted);                    // its reply was isQueued
//   while (!wait.check(limit)) ...            // sleep until woken, or until the limit
//
//   waits.onGrant(balancer, grant);           // from the connections to the controls
//   waits.onClosed(balancer);
//   waits.onBalancer(balancer);
//
// A wait is registered before the balancer is asked, because the grant may be handled before the
// coroutine that asked has seen the reply.
//
// Guarantees:
// - Each ticket that was queued or granted is ended by a PickEnd: of its wait, or of the booking
// that
//   takes the ticket over. This also gives back the charge of its account. A second PickEnd has no
//   effect at a balancer.
// - A grant that no wait expects is answered with PickEnd, whatever balancer sent it.
// - A wait ends when its balancer cannot be relied on any more, and at its limit.
//
// Has no timer and no connection of its own. Not thread-safe.

#ifndef FIGRACK_GATEWAY_GRANTWAITS_H
#define FIGRACK_GATEWAY_GRANTWAITS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/settings.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

/// How a wait for a place has ended.
enum class WaitEnd : std::uint8_t {
    Granted,  ///< The request is booked at an endpoint.
    Refused,  ///< The balancer refused it, for example in favour of a more urgent request.
    Closed,   ///< The connection to the balancer closed.
    Moved,    ///< Another control balances now, because the former one did not answer, or because
              ///< one that takes precedence has connected.
    Outdated, ///< The endpoints that can take the request are not those that were asked for.
    Expired,  ///< No grant came in time.
    Left,     ///< The caller disconnected.
};

/// @return "granted", "refused", "closed", "moved", "outdated", "expired" or "left"
auto waitEndName(WaitEnd end) -> std::string_view;

/// One request's wait. Ends its ticket at the balancer when it is destroyed, unless the ticket was
/// taken over or never queued.
class GrantWait
{
public:
    ~GrantWait();
    GrantWait(GrantWait &&other) noexcept = default;
    auto operator=(GrantWait &&other) noexcept -> GrantWait &;
    GrantWait(const GrantWait &) = delete;
    auto operator=(const GrantWait &) -> GrantWait & = delete;

    /// Names the balancer that was asked. Without it, a grant of any balancer is accepted.
    auto setBalancer(const Address &balancer) -> void;
    /// Notes that the balancer has queued the request. @param predicted time until the grant
    auto queue(Duration predicted) -> void;
    /// Sets the function that is called when the wait ends. It must not destroy any wait.
    auto setOnEnd(std::function<void()> onEnd) -> void;
    /// @param limit the wait expires then
    /// @return how the wait has ended; nullopt while it has not
    auto check(Instant limit) -> std::optional<WaitEnd>;
    /// Ends the wait for a reason of the request's own; without effect if it has ended.
    /// @return how the wait has ended
    auto finish(WaitEnd end) -> WaitEnd;
    /// Passes the ticket on to a booking, which must end it from now on.
    auto takeOver() -> void { isTakenOver_ = true; }
    /// @return the balancer's answer once the wait was granted or refused
    auto reply() const -> const proto::PickReply &;
    auto ticket() const -> std::uint64_t;
    auto balancer() const -> const std::optional<Address> &;
    /// @return time since the request was queued, or until its wait ended; zero if it was not
    /// queued
    auto waited() const -> Duration;
    auto predicted() const -> Duration;

private:
    friend class GrantWaits;
    struct Entry;
    struct Table;
    GrantWait(std::shared_ptr<Table> table, std::shared_ptr<Entry> entry);
    auto leave() -> void;

    /// Shared, because requests may outlive the table's owner.
    std::shared_ptr<Table> table_;
    std::shared_ptr<Entry> entry_; ///< Null after this object was moved from.
    bool isTakenOver_ = false;
};

class GrantWaits
{
public:
    using SendEnd = std::function<void(const Address &balancer, const proto::PickEnd &)>;
    /// @param sendEnd sends a PickEnd to a balancer, if that is connected; may be empty
    GrantWaits(SendEnd sendEnd, const Clock &clock);
    /// @param ticket of the request that is about to be sent to a balancer
    auto begin(std::uint64_t ticket) -> GrantWait;
    auto onGrant(const Address &from, const proto::PickGrant &grant) -> void;
    /// Called when the connection to a control has closed.
    auto onClosed(const Address &control) -> void;
    /// Called when the balancer has changed. @param balancer nullopt if there is none
    auto onBalancer(const std::optional<Address> &balancer) -> void;
    /// @return number of requests that are queued
    auto queued() const -> std::size_t;

private:
    std::shared_ptr<GrantWait::Table> table_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_GRANTWAITS_H
