#include "control/peertransport.h"

#include <utility>

namespace figrack::control {

PeerTransport::PeerTransport(boost::asio::io_context &context, proto::ChannelOptions options,
                             proto::PeerHandler handler)
    : context_(context)
    , options_(std::move(options))
    , handler_(std::move(handler))
{ }

auto PeerTransport::setPeers(const std::vector<coord::Member> &members) -> void
{
    for (const auto &member : members) {
        auto address = parseAddress(member.address);
        if (member.node == options_.self || !address.ok())
            continue;
        auto &peer = peers_[member.node];
        if (peer.client && peer.address == *address)
            continue;
        if (peer.client)
            peer.client->stop();
        peer.address = *address;
        peer.client = std::make_unique<proto::PeerClient>(context_, options_, *address, handler_);
        peer.client->start();
    }
}

auto PeerTransport::send(const NodeId &to, coord::Message message) -> void
{
    static_cast<void>(push(to, std::move(message)));
}

auto PeerTransport::push(const NodeId &to, proto::Payload payload) -> bool
{
    const auto found = peers_.find(to);
    return found != peers_.end() && found->second.client->push(std::move(payload));
}

auto PeerTransport::pushToAll(const proto::Payload &payload) -> void
{
    for (auto &[node, peer] : peers_) {
        if (peer.client->isOpen())
            static_cast<void>(peer.client->push(payload));
    }
}

auto PeerTransport::stop() -> void
{
    for (auto &[node, peer] : peers_)
        peer.client->stop();
}

} // namespace figrack::control
