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

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "proto/channel.h"
#include "proto/seal.h"

namespace figrack::proto {

/// Bounds of what a message holds. One that exceeds them is refused as a whole.
constexpr auto maxBegunStreams = std::size_t { 512 };
constexpr auto maxOriginVersions = std::size_t { 64 };
constexpr auto maxOriginTextBytes = std::size_t { 512 }; ///< Of each ID, version or account.

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
    std::uint64_t nonce = 0; ///< Differs between queries, so that their seals do.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key, nonce);
    }
};

using StreamOriginMessage = std::variant<BegunStreams, StreamOriginQuery>;

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

/// @return true if the stream's texts are within maxOriginTextBytes, so that it can be sent
auto isWithinBounds(const BegunStream &stream) -> bool;
auto isWithinBounds(const StreamKey &key) -> bool;

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
