#include "proto/seal.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/crypto.h"

namespace figrack::proto {
namespace {

auto sealOf(std::string_view bytes, std::string_view context, const std::string &key) -> std::string
{
    auto text = std::string { context };
    text += bytes;
    auto hex = std::string {};
    for (const auto byte : hmacSha256(key, text))
        hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return hex;
}

} // namespace

auto sealBytes(std::string bytes, std::string_view context, const PeerKeys &keys) -> Sealed
{
    auto sealed = Sealed { std::move(bytes), {} };
    if (const auto current = keys.current(); !current.empty())
        sealed.seal = sealOf(sealed.bytes, context, current.front());
    return sealed;
}

auto isSealGenuine(std::string_view bytes, std::string_view seal, std::string_view context,
                   const PeerKeys &keys) -> bool
{
    const auto current = keys.current();
    return std::any_of(current.begin(), current.end(), [&](const auto &key) {
        return sameSecret(sealOf(bytes, context, key), seal);
    });
}

} // namespace figrack::proto
