// Tracks which document each gateway has in force, and waits until all of them have a given one.
//
//   rollout.onSubscribed(peer, ready, version);   rollout.onInForce(peer, version);
//   rollout.await(version, deadline, done);       // after the commit
//   rollout.settle();                             // with each tick
//
// A change is acknowledged to the operator when each gateway that callers may be
// directed to has it in force, or at the deadline: a gateway that hangs must not
// block all changes, and may be behind anyway. So after an acknowledgement, the
// change is in force at all gateways that respond.
//
// Soft state of the leader. After a change of leader it is complete when the
// gateways have reported to the new one. Not thread-safe; done is called from
// await(), settle(), onInForce() and onLost().

#ifndef FIGRACK_FLEET_DOCUMENTROLLOUT_H
#define FIGRACK_FLEET_DOCUMENTROLLOUT_H

#include <functional>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/metrics.h"
#include "proto/channel.h"

namespace figrack::fleet {

class DocumentRollout
{
public:
    using Done = std::function<void()>;
    /// @param metrics must outlive this object
    DocumentRollout(const Clock &clock, Metrics &metrics);

    /// Call when a gateway subscribes, or changes whether callers may be directed to it.
    /// @param version the version that it has in force; 0: none
    auto onSubscribed(const proto::PeerPointer &peer, bool ready, Revision version) -> void;
    auto onInForce(const proto::PeerPointer &peer, Revision version) -> void;
    auto onLost(const proto::PeerPointer &peer) -> void;
    /// @param done called once: when all ready gateways have the version or a newer one in force,
    /// or at the deadline; possibly before await() returns
    auto await(Revision version, Instant deadline, Done done) -> void;
    auto settle() -> void;

private:
    struct Gateway
    {
        NodeId name;
        bool ready = false;
        Revision version;
    };
    struct Waiting
    {
        Revision version;
        Instant since;
        Instant deadline;
        Done done;
    };

    auto hasGatewayBehind(Revision version) const -> bool;
    auto gatewaysBehind(Revision version) const -> std::vector<NodeId>;
    auto end(const Waiting &waiting, const std::vector<NodeId> &gatewaysBehind) const -> void;

    const Clock &clock_;
    Metrics &metrics_;
    std::map<const proto::PeerConnection *, Gateway> gateways_;
    std::vector<Waiting> waiting_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DOCUMENTROLLOUT_H
