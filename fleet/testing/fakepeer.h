// Connections of a control to its subscribers, without a network.

#ifndef FIGRACK_FLEET_TESTING_FAKEPEER_H
#define FIGRACK_FLEET_TESTING_FAKEPEER_H

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "proto/channel.h"
#include "proto/sharedpush.h"

namespace figrack::fleet::testing {

/// A subscriber's connection that records the sent messages.
class FakePeer final : public proto::PeerConnection
{
public:
    explicit FakePeer(std::string name)
        : name_(std::move(name))
    { }
    auto peer() const -> const NodeId & override { return name_; }
    auto send(proto::Envelope envelope) -> bool override
    {
        if (auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload))
            updates.push_back(std::move(*update));
        else if (auto *grant = std::get_if<proto::PickGrant>(&envelope.payload); grant && accepts)
            grants.push_back(std::move(*grant));
        return accepts;
    }
    auto sendShared(const proto::SharedPush &push) -> bool override
    {
        bodies.insert(push.body());
        return send(push.envelope());
    }
    auto close() -> void override { }
    auto isOpen() const -> bool override { return true; }

    std::vector<proto::ServingUpdate> updates;
    std::vector<proto::PickGrant> grants;
    bool accepts = true; ///< Otherwise its send queue is full.
    std::set<std::shared_ptr<const std::string>>
            bodies; ///< Kept so that no encoding's address is reused.

private:
    NodeId name_;
};

/// A connection whose messages a test delivers.
class LinkedPeer final : public proto::PeerConnection
{
public:
    using Deliver = std::function<void(const proto::Envelope &)>;
    LinkedPeer(std::string name, Deliver deliver)
        : name_(std::move(name))
        , deliver_(std::move(deliver))
    { }
    auto peer() const -> const NodeId & override { return name_; }
    auto send(proto::Envelope envelope) -> bool override
    {
        deliver_(envelope);
        return true;
    }
    auto close() -> void override { }
    auto isOpen() const -> bool override { return true; }

private:
    NodeId name_;
    Deliver deliver_;
};

} // namespace figrack::fleet::testing

#endif // FIGRACK_FLEET_TESTING_FAKEPEER_H
