// Distributes the suspected work that one gateway observed to all controls and gateways.
//
//   sync.onNews(news);                 // from a gateway or another control
//   sync.onSubscribed(peer, kind);     // sends it all that is known
//   sync.publishOwn();                 // this control itself observed an end
//   sync.tick();                       // relays the changes
//
// Every gateway reports the ends that it observed to every control, so each
// control adds them up by itself; neither a leader nor a quorum is needed. A
// control relays changes with its next tick if it is one of those that
// Registry::shouldRelay() selects for the work. Gateways are told about work only
// from two ends on: when many endpoints end at once, nearly all suspects stay
// below that, and a gateway does not need them because it asks a balancer, which
// is part of a control.
//
// The counts are saved on the disk next to the replicated log. Not thread-safe.

#ifndef FIGRACK_FLEET_SUSPECTSYNC_H
#define FIGRACK_FLEET_SUSPECTSYNC_H

#include <cstdint>
#include <set>

#include "core/clock.h"
#include "fleet/lastknown.h"
#include "fleet/registry.h"
#include "policy/quarantine.h"
#include "proto/channel.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct SuspectSyncOptions
{
    std::uint32_t minEndsForGateways = 2;
    /// Interval between two writes to the disk. If all processes are lost in between, the work can
    /// end one more endpoint.
    Duration saveEvery = std::chrono::milliseconds { 500 };
};

class SuspectSync
{
public:
    /// All references must outlive this object.
    SuspectSync(SuspectSyncOptions options, policy::Quarantine &quarantine, Registry &registry,
                LastKnownStore &store, const Clock &clock);
    /// Restores what was known before a restart. Call it before any other function.
    auto recall() -> void;
    auto onNews(const proto::SuspectNews &news) -> void;
    auto onSubscribed(const proto::PeerPointer &peer, proto::SubscriberKind kind) -> void;
    /// Sends the other controls the changes in this control's own table.
    auto publishOwn() -> void;
    auto tick() -> void;

private:
    auto relayChanged() -> void;
    auto save() -> void;

    SuspectSyncOptions options_;
    policy::Quarantine &quarantine_;
    Registry &registry_;
    LastKnownStore &store_;
    const Clock &clock_;
    std::set<catalogue::WorkId> changed_; ///< Work whose counts changed since the last tick.
    bool unsaved_ = false;
    Instant nextSave_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_SUSPECTSYNC_H
