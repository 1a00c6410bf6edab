// Few headers a message: a walk over the list beats a map.

#include "http/message.h"

#include <algorithm>

namespace figrack::http {
namespace {

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

auto isSameName(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

auto findHeader(const Headers &headers, std::string_view name) -> std::string_view
{
    for (const auto &header : headers) {
        if (isSameName(header.name, name))
            return header.value;
    }
    return {};
}

} // namespace figrack::http
