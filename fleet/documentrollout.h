// Which gateways obey which document, and who waits for a document to be in force.
//
//   spread.onSubscribed(peer, ready, version);   spread.onInForce(peer, version);
//   spread.await(version, deadline, done);       // after the commit
//   spread.settle();                             // with each tick
//
// An operator is told that a change is accepted once each gateway that callers may
// be sent to obeys it, or at the deadline: a gateway that stands still must not
// keep operators from changing anything, and may be behind anyway. So what follows
// an acknowledgement finds the change in force at all gateways that answer.
//
// Soft state of the leader: after a change of leader it is complete once the
// gateways have told the new one. Not thread-safe; done is called from settle(),
// onInForce() and onLost().

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

class DocumentSpread
{
public:
    using Done = std::function<void()>;
    /// @param metrics outlives this
    DocumentSpread(const Clock &clock, Metrics &metrics);

    /// A gateway subscribes, or says anew whether callers may be sent to it.
    /// @param version that it obeys; 0: none
    auto onSubscribed(const proto::PeerPointer &peer, bool ready, Revision version) -> void;
    auto onInForce(const proto::PeerPointer &peer, Revision version) -> void;
    auto onLost(const proto::PeerPointer &peer) -> void;
    /// @param done called once: when all ready gateways obey the version or a newer one, or at the
    /// deadline; perhaps at once
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

    auto isLacked(Revision version) const -> bool;
    auto lacking(Revision version) const -> std::vector<NodeId>;
    auto end(const Waiting &waiting, const std::vector<NodeId> &lacking) const -> void;

    const Clock &clock_;
    Metrics &metrics_;
    std::map<const proto::PeerConnection *, Gateway> gateways_;
    std::vector<Waiting> waiting_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DOCUMENTROLLOUT_H
