// Tracks which document and which evacuations each gateway has in force, and waits until all of
// them have given ones.
//
//   rollout.onSubscribed(peer, ready, inForce);   rollout.onInForce(peer, inForce);
//   rollout.await(target, deadline, done);        // after the commit
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
    auto onSubscribed(const proto::PeerPointer &peer, bool ready, const proto::InForce &inForce)
            -> void;
    auto onInForce(const proto::PeerPointer &peer, const proto::InForce &inForce) -> void;
    auto onLost(const proto::PeerPointer &peer) -> void;
    /// @param target what must be in force; a part that is 0 is not waited for
    /// @param done called once: when all ready gateways have the target or newer state in force,
    /// or at the deadline; possibly before await() returns
    auto await(const proto::InForce &target, Instant deadline, Done done) -> void;
    auto settle() -> void;

private:
    struct Gateway
    {
        NodeId name;
        bool ready = false;
        proto::InForce inForce;
        auto isBehind(const proto::InForce &target) const -> bool
        {
            return ready && !inForce.covers(target);
        }
    };
    struct Waiting
    {
        proto::InForce target;
        Instant since;
        Instant deadline;
        Done done;
    };

    auto hasGatewayBehind(const proto::InForce &target) const -> bool;
    auto gatewaysBehind(const proto::InForce &target) const -> std::vector<NodeId>;
    auto end(const Waiting &waiting, const std::vector<NodeId> &gatewaysBehind) const -> void;

    const Clock &clock_;
    Metrics &metrics_;
    std::map<const proto::PeerConnection *, Gateway> gateways_;
    std::vector<Waiting> waiting_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DOCUMENTROLLOUT_H
