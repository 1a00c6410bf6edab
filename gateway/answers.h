// Inspection of an endpoint's answer before it is relayed to the caller.

#ifndef FIGRACK_GATEWAY_ANSWERS_H
#define FIGRACK_GATEWAY_ANSWERS_H

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace figrack::gateway {

/// @return true if the body is a stream of server-sent events
auto isEventStream(const http::Headers &headers) -> bool;

/// @return true for 200 to 299
auto isSuccess(std::uint32_t status) -> bool;

/// @return the answer's headers without those that apply to a single connection, to the framing of
/// the body or between gateways
auto endToEnd(const http::Headers &headers) -> http::Headers;

/// @param raw one complete event
/// @return the value of the event's "id:" line; empty if it has none
auto eventId(std::string_view raw) -> std::string;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ANSWERS_H
