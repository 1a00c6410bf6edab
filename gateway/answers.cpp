#include "gateway/answers.h"

#include <algorithm>
#include <array>

#include "gateway/handoffs.h"

namespace figrack::gateway {

auto isEventStream(const http::Headers &headers) -> bool
{
    return http::findHeader(headers, "Content-Type").substr(0, 17) == "text/event-stream";
}

auto isSuccess(std::uint32_t status) -> bool
{
    return status >= 200 && status < 300;
}

auto endToEnd(const http::Headers &headers) -> http::Headers
{
    constexpr auto dropped = std::array<std::string_view, 8> {
        "Connection", "Keep-Alive", "Content-Length",     "Transfer-Encoding",
        "Trailer",    "Upgrade",    handoffOutcomeHeader, handoffVersionHeader
    };
    auto result = http::Headers {};
    for (const auto &header : headers) {
        const auto isDropped = std::any_of(dropped.begin(), dropped.end(), [&](auto name) {
            return http::isSameName(header.name, name);
        });
        if (!isDropped)
            result.push_back(header);
    }
    return result;
}

auto eventId(std::string_view raw) -> std::string
{
    constexpr auto field = std::string_view { "id:" };
    while (!raw.empty()) {
        const auto end = raw.find_first_of("\r\n");
        auto line = raw.substr(0, end);
        if (line.substr(0, field.size()) == field) {
            line.remove_prefix(field.size());
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            return std::string { line };
        }
        if (end == std::string_view::npos)
            break;
        raw.remove_prefix(end + 1);
    }
    return {};
}

} // namespace figrack::gateway
