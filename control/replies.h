// Caller is how the parts of the control answer requests of the internal protocol.

#ifndef FIGRACK_CONTROL_REPLIES_H
#define FIGRACK_CONTROL_REPLIES_H

#include <cstdint>
#include <string>
#include <utility>

#include "control/node.h"
#include "core/error.h"
#include "proto/channel.h"
#include "proto/messages.h"

namespace figrack::control {

/// A request of the internal protocol that has not been answered yet.
struct Caller
{
    proto::PeerPointer peer;
    std::uint64_t correlation = 0; ///< 0 for a push, which is not answered.

    auto reply(proto::Payload payload) const -> void
    {
        if (correlation != 0)
            (void)peer->send({ correlation, std::move(payload) });
    }

    /// Answers with an error.
    /// @param leader the leader, so that the peer can send its request there; may be empty
    auto fail(const absl::Status &status, const NodeId &leader = {}) const -> void
    {
        reply(proto::Failure { errorKind(status), std::string { errorArgument(status) }, leader });
    }

    /// Answers NotLeader and names the leader that this control knows.
    auto failNotLeader(const Node &node) const -> void
    {
        fail(makeError(ErrorKind::NotLeader, "control=" + node.self().value()),
             node.status().leader);
    }
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_REPLIES_H
