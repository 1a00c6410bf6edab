// Accepts or refuses the messages that endpoints send about themselves.
//
//   announcements.onAnnouncement(row, newestDocument, done);
//   announcements.onDeregistration(id, done);
//   announcements.refuse(status);               // a message that could not be decoded
//
// Anybody can write to a control. A row for a service that no configuration names
// does not come from an endpoint and is refused.
//
// What an endpoint says is applied and passed on in any case, but acknowledged only
// while this control is in touch with its group: otherwise the gateways may never
// learn of it, and the endpoint should tell another control. Not thread-safe.

#ifndef FIGRACK_FLEET_ANNOUNCEMENTS_H
#define FIGRACK_FLEET_ANNOUNCEMENTS_H

#include <cstdint>
#include <functional>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "fleet/groupcontact.h"
#include "fleet/knownservices.h"
#include "fleet/metrics.h"
#include "fleet/registry.h"

namespace figrack::fleet {

class Announcements
{
public:
    using Done = std::function<void(absl::Status)>;
    /// @param registry, contact, clock and metrics must outlive this object
    Announcements(Registry &registry, KnownServices services, const GroupContact &contact,
                  const Clock &clock, Metrics &metrics);

    /// @param newest the newest known document
    /// @param done called once: OK when the row was accepted, the group learns of it and, if the
    /// endpoint is leaving, no gateway sends it new work; BadRequest when no configuration names
    /// its service; otherwise NoQuorum
    auto onAnnouncement(const catalogue::EndpointRow &row, const Document &newest, Done done)
            -> void;
    /// Handles an endpoint's deregistration. @param id without an incarnation: the one in use
    /// @param done likewise, without BadRequest
    auto onDeregistration(const EndpointId &id, Done done) -> void;
    /// Counts a message that cannot be used, and logs at most one line a second.
    auto refuse(const absl::Status &reason) -> void;

private:
    /// @return a callback that completes a message with OK only while in touch with the group
    auto acknowledgeInTouch(Done done) -> Done;

    Registry &registry_;
    KnownServices services_;
    const GroupContact &contact_;
    const Clock &clock_;
    Metrics &metrics_;
    Instant nextNote_ {};
    std::uint64_t refused_ = 0; ///< Refused messages since the last log line about them.
    Instant nextTouchNote_ {};
    std::uint64_t notAcknowledged_ = 0; ///< Likewise, for want of contact with the group.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ANNOUNCEMENTS_H
