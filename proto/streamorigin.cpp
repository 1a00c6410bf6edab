#include "proto/streamorigin.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/serial.h"

namespace figrack::proto {
namespace {

/// Separate these seals from those of other messages under the same keys.
constexpr auto messageContext = std::string_view { "figrack stream origin 1\n" };
constexpr auto replyContext = std::string_view { "figrack stream origin reply 1\n" };

auto isShort(const std::string &text) -> bool
{
    return text.size() <= maxOriginTextBytes;
}

auto isWithinBounds(const StreamOrigin &origin) -> bool
{
    return isShort(origin.softwareVersion) && isShort(origin.account.value());
}

struct BoundsCheck
{
    auto operator()(const BegunStreams &begun) const -> bool
    {
        return begun.streams.size() <= maxBegunStreams
                && std::all_of(begun.streams.begin(), begun.streams.end(),
                               [](const auto &stream) { return proto::isWithinBounds(stream); });
    }
    auto operator()(const StreamOriginQuery &query) const -> bool
    {
        return proto::isWithinBounds(query.key);
    }
};

auto isWithinBounds(const StreamOriginReply &reply) -> bool
{
    return reply.versions.size() <= maxOriginVersions
            && std::all_of(reply.versions.begin(), reply.versions.end(), isShort)
            && (!reply.origin || isWithinBounds(*reply.origin));
}

auto replyContextOf(std::string_view messageSeal) -> std::string
{
    auto context = std::string { replyContext };
    context += messageSeal;
    context += '\n';
    return context;
}

} // namespace

auto isWithinBounds(const StreamKey &key) -> bool
{
    return isShort(key.service.value()) && isShort(key.attempt);
}

auto isWithinBounds(const BegunStream &stream) -> bool
{
    return isWithinBounds(stream.key) && isWithinBounds(stream.origin);
}

auto sealStreamOrigin(const StreamOriginMessage &message, const PeerKeys &keys) -> Sealed
{
    return sealBytes(serialize(message), messageContext, keys);
}

auto openStreamOrigin(std::string_view bytes, std::string_view seal, const PeerKeys &keys)
        -> absl::StatusOr<StreamOriginMessage>
{
    if (!isSealGenuine(bytes, seal, messageContext, keys))
        return makeError(ErrorKind::AuthFailed, "stream_origin");
    auto message = StreamOriginMessage {};
    if (auto status = deserialize(bytes, message); !status.ok())
        return status;
    if (!std::visit(BoundsCheck {}, message))
        return makeError(ErrorKind::TooLarge, "stream_origin");
    return message;
}

auto sealStreamOriginReply(const StreamOriginReply &reply, std::string_view messageSeal,
                           const PeerKeys &keys) -> Sealed
{
    return sealBytes(serialize(reply), replyContextOf(messageSeal), keys);
}

auto openStreamOriginReply(std::string_view bytes, std::string_view seal,
                           std::string_view messageSeal, const PeerKeys &keys)
        -> absl::StatusOr<StreamOriginReply>
{
    if (!isSealGenuine(bytes, seal, replyContextOf(messageSeal), keys))
        return makeError(ErrorKind::AuthFailed, "stream_origin_reply");
    auto reply = StreamOriginReply {};
    if (auto status = deserialize(bytes, reply); !status.ok())
        return status;
    if (!isWithinBounds(reply))
        return makeError(ErrorKind::TooLarge, "stream_origin_reply");
    return reply;
}

} // namespace figrack::proto
