#include "testing/tokens.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figrack::testing {

auto tokenText(std::string_view model, std::string_view prompt, std::uint64_t index) -> std::string
{
    const auto seed = XXH64(model.data(), model.size(), index);
    const auto hash = XXH64(prompt.data(), prompt.size(), seed);
    return fmt::format("{:08x} ", static_cast<std::uint32_t>(hash));
}

auto answerText(std::string_view model, std::string_view prompt, std::uint64_t count) -> std::string
{
    auto text = std::string {};
    text.reserve(count * tokenBytes);
    for (auto i = std::uint64_t { 0 }; i < count; ++i)
        text += tokenText(model, prompt, i);
    return text;
}

auto promptBlocks(std::string_view model, std::string_view prompt) -> std::vector<std::uint64_t>
{
    constexpr auto blockBytes = std::size_t { 64 };
    auto blocks = std::vector<std::uint64_t> {};
    auto chain = XXH64(model.data(), model.size(), 0);
    for (; prompt.size() >= blockBytes; prompt.remove_prefix(blockBytes)) {
        chain = XXH64(prompt.data(), blockBytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

auto serviceAnswer(std::string_view service, std::string_view body) -> std::string
{
    return fmt::format(R"({{"service":"{}","answer":"{}"}})", service,
                       answerText(service, body, 1));
}

} // namespace figrack::testing
