// What endpoints say of themselves, taken in or refused.
//
//   announcements.hear(row, newestDocument, done);
//   announcements.onDeregistration(id, done);
//   announcements.refuse(status);               // what could not be read at all
//
// Anybody may write to a control: a row for a service that no configuration names
// is no endpoint's. Not thread-safe.

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
    /// @param registry, clock and metrics outlive this
    Announcements(Registry &registry, KnownServices services, const Clock &clock, Metrics &metrics);

    /// @param newest the newest document that is known
    /// @param done called once: OK when the row was taken in and, of one that leaves, no gateway
    /// sends new work there; BadRequest when its service is in no configuration; else NoQuorum
    auto onAnnouncement(const catalogue::EndpointRow &row, const Document &newest, Done done)
            -> void;
    /// An endpoint says that it is gone. @param id without an incarnation: the one in use
    auto onDeregistration(const EndpointId &id, Done done) -> void;
    /// Counts what cannot be used, and logs one line a second at most.
    auto refuse(const absl::Status &reason) -> void;

private:
    Registry &registry_;
    KnownServices services_;
    const Clock &clock_;
    Metrics &metrics_;
    Instant nextNote_ {};
    std::uint64_t refused_ = 0; ///< Since the last line of the log on them.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ANNOUNCEMENTS_H
