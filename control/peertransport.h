// The replica's transport: one dialled connection to each other control.
//
//   auto transport = PeerTransport { context, channelOptions };
//   transport.setPeers(members);       // from the settings, then from the membership
//   transport.send(to, message);
//
// Guarantees: a message to a control that is not connected, or whose queue is
// full, is dropped; addresses follow the membership without a restart.

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
    /// @param handler of what the others push on these connections; may be empty
    PeerTransport(boost::asio::io_context &context, proto::ChannelOptions options,
                  proto::PeerHandler handler = {});

    /// Dials those that are new or have moved. Peers not listed are kept: a removed control
    /// may still have to hear of it.
    auto setPeers(const std::vector<coord::Member> &members) -> void;
    auto send(const NodeId &to, coord::Message message) -> void override;
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
