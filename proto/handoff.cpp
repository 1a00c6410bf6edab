#include "proto/handoff.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"
#include "core/serial.h"

namespace figrack::proto {
namespace {

/// Separates these seals from those of other messages under the same keys.
constexpr auto sealContext = std::string_view { "figrack handoff 1\n" };

auto sealOf(std::string_view bytes, const std::string &key) -> std::string
{
    auto text = std::string { sealContext };
    text += bytes;
    auto hex = std::string {};
    for (const auto byte : hmacSha256(key, text))
        hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return hex;
}

} // namespace

auto sealHandoff(const HandedRequest &request, const PeerKeys &keys) -> SealedHandoff
{
    auto sealed = SealedHandoff { serialize(request), {} };
    if (const auto current = keys.current(); !current.empty())
        sealed.seal = sealOf(sealed.bytes, current.front());
    return sealed;
}

auto openHandoff(std::string_view bytes, std::string_view seal, const PeerKeys &keys)
        -> absl::StatusOr<HandedRequest>
{
    const auto current = keys.current();
    const auto isGenuine = std::any_of(current.begin(), current.end(), [&](const auto &key) {
        return sameSecret(sealOf(bytes, key), seal);
    });
    if (!isGenuine)
        return makeError(ErrorKind::AuthFailed, "handoff");
    auto request = HandedRequest {};
    if (auto status = deserialize(bytes, request); !status.ok())
        return status;
    return request;
}

} // namespace figrack::proto
