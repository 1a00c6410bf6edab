// A push that goes to many connections.
//
//   const auto push = SharedPush { std::move(update) };
//   for (const auto &peer : peers)
//       peer->sendShared(push);
//
// It is encoded once, at the first connection that needs its bytes; each
// connection seals them for itself. A control tells hundreds of gateways of each
// change; an encoding for each of them would cost it more than all else about it.
//
// Not thread-safe before body() was called once; the bytes may be read by any.

#ifndef FIGRACK_PROTO_SHAREDPUSH_H
#define FIGRACK_PROTO_SHAREDPUSH_H

#include <memory>
#include <string>

#include "proto/messages.h"

namespace figrack::proto {

class SharedPush
{
public:
    explicit SharedPush(Payload payload);
    auto envelope() const -> const Envelope & { return envelope_; }
    /// @return the encoded envelope
    auto body() const -> const std::shared_ptr<const std::string> &;

private:
    Envelope envelope_;
    mutable std::shared_ptr<const std::string> body_; ///< Null until it is asked for.
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_SHAREDPUSH_H
