// What gateways tell one another of streams that have begun, so that a caller that takes one up
// again at any gateway is served by the software version that began it.
//
//   auto sealed = sealStreamOrigin(StreamOriginQuery { key, nonce }, keys);       // one gateway
//   auto message = openStreamOrigin(bytes, seal, keys);                           // the other one
//   auto sealedReply = sealStreamOriginReply(reply, seal, keys);                  // the other one
//   auto reply = openStreamOriginReply(replyBytes, replySeal, sealed.seal, keys); // the first one
//
// Messages are bodies of HTTP requests and answers between gateways, sealed like requests that are
// handed over (proto/handoff.h). A reply's seal covers that of its message, so that no other
// process at an address can answer, also not by an earlier reply.

#ifndef FIGRACK_PROTO_STREAMORIGIN_H
#define FIGRACK_PROTO_STREAMORIGIN_H

#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

#include "proto/channel.h"
#include "proto/seal.h"
#include "proto/streamoriginmessages.h"

namespace figrack::proto {

using StreamOriginMessage = std::variant<BegunStreams, StreamOriginQuery>;

/// @return the message's encoding, sealed with the first of the keys
auto sealStreamOrigin(const StreamOriginMessage &message, const PeerKeys &keys) -> Sealed;
/// @return the message; AuthFailed if none of the keys made the seal; Malformed; TooLarge if it
/// exceeds a bound
auto openStreamOrigin(std::string_view bytes, std::string_view seal, const PeerKeys &keys)
        -> absl::StatusOr<StreamOriginMessage>;
/// @param messageSeal of the message that is answered
auto sealStreamOriginReply(const StreamOriginReply &reply, std::string_view messageSeal,
                           const PeerKeys &keys) -> Sealed;
/// @return the reply; AuthFailed if none of the keys made the seal, or it is of another message's
/// reply; Malformed; TooLarge if it exceeds a bound
auto openStreamOriginReply(std::string_view bytes, std::string_view seal,
                           std::string_view messageSeal, const PeerKeys &keys)
        -> absl::StatusOr<StreamOriginReply>;

} // namespace figrack::proto

#endif // FIGRACK_PROTO_STREAMORIGIN_H
