// What is said of streams that have begun, so that a caller that takes one up again at any gateway
// is served by the software version that began it. Plain values.
//
//   gateway -> gateway, control   BegunStreams, StreamOriginQuery
//   gateway, control -> gateway   StreamOriginReply
//
// Between gateways they are sealed bodies of HTTP messages (proto/streamorigin.h).

#ifndef FIGRACK_PROTO_STREAMORIGINMESSAGES_H
#define FIGRACK_PROTO_STREAMORIGINMESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

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

/// Streams that have begun at the sender; to the gateways and controls that keep their origins.
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

struct StreamOriginReply
{
    std::optional<StreamOrigin> origin; ///< Absent if the receiver does not know the stream.
    /// Software versions of the service that have served within the resumption window, as far as
    /// the receiver knows; none from a control.
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

} // namespace figrack::proto

#endif // FIGRACK_PROTO_STREAMORIGINMESSAGES_H
