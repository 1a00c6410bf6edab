// PeerTransport connects the replica to the other controls, with one outgoing connection to each.
//
//   auto transport = PeerTransport { context, channelOptions };
//   transport.setPeers(members);       // From the settings, later from the membership.
//   transport.send(to, message);
//
// Guarantees: a message to a control that is not connected, or whose queue is full, is dropped.
// Addresses follow the membership without a restart.

#ifndef FIGRACK_CONTROL_PEERTRANSPORT_H
#define FIGRACK_CONTROL_PEERTRANSPORT_H

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "coord/transport.h"
#include "proto/channel.h"

namespace figrack::control {

class PeerTransport final : public coord::Transport
{
public:
    /// @param handler receives what the other controls push on these connections; may be empty
    PeerTransport(boost::asio::io_context &context, proto::ChannelOptions options,
                  proto::PeerHandler handler = {});

    /// Connects to peers that are new or whose address changed. Peers not listed are kept,
    /// since a removed control may still have to learn of its removal.
    auto setPeers(const std::vector<coord::Member> &members) -> void;
    auto send(const NodeId &to, coord::Message message) -> void override;
    /// @return false when the control is not connected or its queue is full
    auto push(const NodeId &to, proto::Payload payload) -> bool;
    /// Pushes a copy to every control that is connected.
    auto pushToAll(const proto::Payload &payload) -> void;
    auto stop() -> void;

private:
    struct Peer
    {
        Address address;
        std::unique_ptr<proto::PeerClient> client;
    };

    boost::asio::io_context &context_;
    proto::ChannelOptions options_;
    proto::PeerHandler handler_;
    std::map<NodeId, Peer> peers_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_PEERTRANSPORT_H
