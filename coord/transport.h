// The ways in which coord/ touches the world: a transport and a log store.
//
// An embedder gives the replica one of each. Both are small on purpose, so
// that tests run whole groups of replicas in virtual time over in-memory fakes.

#ifndef FIGRACK_COORD_TRANSPORT_H
#define FIGRACK_COORD_TRANSPORT_H

#include "coord/messages.h"
#include "core/ids.h"

namespace figrack::coord {

/// Sends messages between replicas. Loss, delay, duplication and reordering are allowed.
class Transport
{
public:
    virtual ~Transport() = default;
    /// Sends without blocking; a message that cannot be sent is dropped.
    /// @param to the replica's name
    /// @param message any replica message
    virtual auto send(const NodeId &to, Message message) -> void = 0;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_TRANSPORT_H
