// Seals of messages between processes of a fleet, under the fleet's keys.
//
//   auto sealed = sealBytes(serialize(message), "figrack handoff 1\n", keys);
//   if (!isSealGenuine(sealed.bytes, sealed.seal, "figrack handoff 1\n", keys)) ...

#ifndef FIGRACK_PROTO_SEAL_H
#define FIGRACK_PROTO_SEAL_H

#include <string>
#include <string_view>

#include "proto/channel.h"

namespace figrack::proto {

struct Sealed
{
    std::string bytes;
    std::string seal; ///< Hexadecimal.
};

/// @param context separates these seals from those of other messages under the same keys
/// @return the bytes, sealed with the first of the keys
auto sealBytes(std::string bytes, std::string_view context, const PeerKeys &keys) -> Sealed;
/// @return true if one of the keys made the seal, for the same context
auto isSealGenuine(std::string_view bytes, std::string_view seal, std::string_view context,
                   const PeerKeys &keys) -> bool;

} // namespace figrack::proto

#endif // FIGRACK_PROTO_SEAL_H
