#include "proto/handoff.h"

#include "core/serial.h"

namespace figrack::proto {
namespace {

/// Separates these seals from those of other messages under the same keys.
constexpr auto sealContext = std::string_view { "figrack handoff 1\n" };

} // namespace

auto sealHandoff(const HandedRequest &request, const PeerKeys &keys) -> SealedHandoff
{
    return sealBytes(serialize(request), sealContext, keys);
}

auto openHandoff(std::string_view bytes, std::string_view seal, const PeerKeys &keys)
        -> absl::StatusOr<HandedRequest>
{
    if (!isSealGenuine(bytes, seal, sealContext, keys))
        return makeError(ErrorKind::AuthFailed, "handoff");
    auto request = HandedRequest {};
    if (auto status = deserialize(bytes, request); !status.ok())
        return status;
    return request;
}

} // namespace figrack::proto
