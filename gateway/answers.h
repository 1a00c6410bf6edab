// What the gateway looks at in an endpoint's answer before it goes on to the caller.

#ifndef FIGRACK_GATEWAY_ANSWERS_H
#define FIGRACK_GATEWAY_ANSWERS_H

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace figrack::gateway {

/// @return true when the body is a stream of server-sent events
auto isEventStream(const http::Headers &headers) -> bool;

/// @return true for 200 to 299
auto isSuccess(std::uint32_t status) -> bool;

/// @return the endpoint's headers less those that concern one connection or the body's framing
auto endToEnd(const http::Headers &headers) -> http::Headers;

/// @param raw one whole event
/// @return the value of the event's "id:" line; empty when it has none
auto eventId(std::string_view raw) -> std::string;

/// @param id of an event; a number in decimal digits, rising in a stream
/// @param given the id of the event that was given to the caller last; empty: none
/// @return true when the id is not after the one that was given last
auto isOldEvent(const std::string &id, const std::string &given) -> bool;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ANSWERS_H
