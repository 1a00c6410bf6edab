// What gateways tell one another of streams that have begun, so that a caller that takes one up
// again at any gateway is served by the software version that began it.
//
//   auto sealed = sealStreamOrigin(StreamOriginMessage { ... }, keys);       // at one gateway
//   auto message = openStreamOrigin(bytes, sealed.seal, keys);               // at the other one
//
// Messages are bodies of HTTP requests and answers between gateways, sealed like requests that are
// handed over (proto/handoff.h).

#ifndef FIGRACK_PROTO_STREAMORIGIN_H
#define FIGRACK_PROTO_STREAMORIGIN_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "proto/channel.h"
#include "proto/handoff.h"

namespace figrack::proto {

/// Identifies a stream over all attempts of its caller.
struct StreamKey
{
    ServiceId service;
    /// ID of the caller's attempt that brought the first event.
    std::string attempt;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const StreamKey &) const = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, attempt);
    }
};

/// Who began a stream.
struct StreamOrigin
{
    std::string softwareVersion; ///< Of the endpoint; empty if it names none.
    AccountId account;           ///< Of the caller; empty if there is none.
    auto operator==(const StreamOrigin &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(softwareVersion, account);
    }
};

struct BegunStream
{
    StreamKey key;
    StreamOrigin origin;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key, origin);
    }
};

/// Streams that have begun at the sender; to the gateways that keep their origins.
struct BegunStreams
{
    std::vector<BegunStream> streams;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(streams);
    }
};

struct StreamOriginQuery
{
    StreamKey key;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key);
    }
};

struct StreamOriginReply
{
    std::optional<StreamOrigin> origin; ///< Absent if the gateway does not know the stream.
    /// Software versions of the service that have served within the resumption window, as far as
    /// the gateway knows.
    std::vector<std::string> versions;
    bool isComplete = false; ///< No version that has served within the window is missing.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(origin, versions, isComplete);
    }
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_STREAMORIGIN_H
