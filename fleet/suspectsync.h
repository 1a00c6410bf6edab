// Makes the suspected work that one gateway saw known to all controls and gateways.
//
//   sync.onNews(news);                 // of a gateway or of another control
//   sync.onSubscribed(peer, kind);     // it gets all that is known
//   sync.tellOwn();                    // this control itself saw an end
//   sync.tick();                       // what changed goes on
//
// Every gateway tells every control of the ends that it saw, so each control sums
// them by itself and neither a leader nor a quorum is needed. What is new to a
// control it passes on with its next tick, where it is one of those that the work
// picks (as endpoints' news). Gateways are told of work from two ends on: nearly
// all suspects of a wave of ends never get so far, and a gateway needs none of
// them, as the balancer that it asks is a control.
//
// What counts against work is kept on the disk beside the log. Not thread-safe.

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
    std::uint32_t gatewaysFromEnds = 2;
    /// Between two writes to the disk; a loss of all processes in between costs one more end.
    Duration saveEvery = std::chrono::milliseconds { 500 };
};

class SuspectSync
{
public:
    /// All but the options outlive this object.
    SuspectSync(SuspectSyncOptions options, policy::Quarantine &quarantine, Registry &registry,
                LastKnownStore &store, const Clock &clock);
    /// Takes over what was known before a restart. Call before anything else.
    auto recall() -> void;
    auto onNews(const proto::SuspectNews &news) -> void;
    auto onSubscribed(const proto::PeerPointer &peer, proto::SubscriberKind kind) -> void;
    /// Tells the other controls what changed in this control's own table.
    auto tellOwn() -> void;
    auto tick() -> void;

private:
    auto passOn() -> void;
    auto save() -> void;

    SuspectSyncOptions options_;
    policy::Quarantine &quarantine_;
    Registry &registry_;
    LastKnownStore &store_;
    const Clock &clock_;
    std::set<catalogue::WorkId> changed_; ///< Since the last tick.
    bool unsaved_ = false;
    Instant nextSave_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_SUSPECTSYNC_H
