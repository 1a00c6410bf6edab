// The software version that began each stream which a caller may take up again.
//
//   origins.onBegun({ service, request }, { version, account });     // with the first event
//   const auto found = co_await origins.find({ service, resumed }, account);
//
// While a service has several software versions, the gateway at which a stream begins tells its
// origin to the owners of the stream: two gateways in different failure domains that every gateway
// finds by rendezvous hashing (gateway/originowners.h). A gateway that does not know a stream asks
// them. No control takes part, so that the origins are known while no control can be reached, and
// after the gateway that began the stream has ended. A version is never guessed: where several may
// have begun the stream and no one knows which, the answer is unknown.
//
// Origins are kept for the resumption window, in tables of bounded size. Not thread-safe.

#ifndef FIGRACK_GATEWAY_STREAMORIGINS_H
#define FIGRACK_GATEWAY_STREAMORIGINS_H

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

/// How the version that began a stream was found out.
enum class OriginSource : std::uint8_t {
    Unknown,     ///< Several versions may have begun it.
    Foreign,     ///< It was begun by another account.
    Here,        ///< This gateway has kept it.
    Owner,       ///< Another gateway has kept it.
    OnlyVersion, ///< The service has had no other version within the window.
};

/// @return "unknown", "foreign", "here", "owner" or "only_version"
auto originSourceName(OriginSource source) -> std::string_view;

struct FoundOrigin
{
    OriginSource source = OriginSource::Unknown;
    std::optional<std::string> softwareVersion; ///< Present unless Unknown or Foreign.
    Duration retryAfter {}; ///< If Unknown or Foreign, when another answer may be expected.
};

class StreamOrigins;

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_STREAMORIGINS_H
