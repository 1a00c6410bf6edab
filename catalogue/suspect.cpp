// Each part is led by its length, so that no two lists of parts give the same bytes.

#include "catalogue/suspect.h"

#include <algorithm>
#include <cstring>
#include <initializer_list>

#include <fmt/format.h>

#include "core/crypto.h"
#include "core/hash.h"

namespace figrack::catalogue {
namespace {

auto digestOf(std::initializer_list<std::string_view> parts) -> WorkId
{
    auto bytes = std::string {};
    for (const auto part : parts) {
        bytes += std::to_string(part.size());
        bytes += ':';
        bytes += part;
    }
    const auto digest = sha256(bytes);
    auto work = WorkId {};
    std::memcpy(&work.high, digest.data(), sizeof(work.high));
    std::memcpy(&work.low, digest.data() + sizeof(work.high), sizeof(work.low));
    if (work.isNone())
        work.low = 1;
    return work;
}

} // namespace

auto WorkId::text() const -> std::string
{
    return fmt::format("{:016x}{:016x}", high, low);
}

auto workIdsOf(const WorkParts &parts) -> WorkIds
{
    const auto query = parts.body.empty() ? parts.query : std::string_view {};
    // Prompts are long: the body is read once for both.
    const auto body = parts.body.empty() ? std::string {} : sha256(parts.body);
    return { digestOf({ "caller", parts.caller, parts.method, parts.host, parts.path, parts.query,
                        body }),
             digestOf({ "anyone", parts.method, parts.host, parts.path, query, body }) };
}

auto workIdOfPart(const ServiceId &service, std::uint64_t part) -> WorkId
{
    const auto hash = std::hash<std::string> {};
    return { mixHash(hash("prompt part"), hash(service.value())), part };
}

auto SuspectRow::ends() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(ended.size() - std::min(ended.size(), acquitted.size()));
}

} // namespace figrack::catalogue
