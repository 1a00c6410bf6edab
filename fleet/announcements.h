// Accepts or refuses the messages that endpoints send about themselves.
//
//   announcements.onAnnouncement(row, newestDocument, done);
//   announcements.onDeregistration(id, done);
//   announcements.refuse(status);               // a message that could not be decoded
//
// Anybody can write to a control. A row for a service that no configuration names
// does not come from an endpoint and is refused. Not thread-safe.

#ifndef FIGRACK_FLEET_ANNOUNCEMENTS_H
#define FIGRACK_FLEET_ANNOUNCEMENTS_H

#include <cstdint>
#include <functional>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "fleet/knownservices.h"
#include "fleet/metrics.h"
#include "fleet/registry.h"

namespace figrack::fleet {

class Announcements
{
public:
    using Done = std::function<void(absl::Status)>;
    /// @param registry, clock and metrics must outlive this object
    Announcements(Registry &registry, KnownServices services, const Clock &clock, Metrics &metrics);

    /// @param newest the newest known document
    /// @param done called once: OK when the row was accepted and, if the endpoint is leaving, no
    /// gateway sends it new work; BadRequest when no configuration names its service; otherwise
    /// NoQuorum
    auto onAnnouncement(const catalogue::EndpointRow &row, const Document &newest, Done done)
            -> void;
    /// Handles an endpoint's deregistration. @param id without an incarnation: the one in use
    auto onDeregistration(const EndpointId &id, Done done) -> void;
    /// Counts a message that cannot be used, and logs at most one line a second.
    auto refuse(const absl::Status &reason) -> void;

private:
    Registry &registry_;
    KnownServices services_;
    const Clock &clock_;
    Metrics &metrics_;
    Instant nextNote_ {};
    std::uint64_t refused_ = 0; ///< Refused messages since the last log line about them.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ANNOUNCEMENTS_H
