#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "core/error.h"
#include "core/random.h"
#include "endpoint/ssestream.h"

using namespace figrack;
using namespace figrack::endpoint;

namespace {

/// The plain reference: the whole text at once, its line ends made LF, split at blank lines.
auto dataByReference(const std::string &text) -> std::vector<std::string>
{
    auto plain = std::string {};
    for (auto i = std::size_t { 0 }; i < text.size(); ++i) {
        if (text[i] == '\n' && i > 0 && text[i - 1] == '\r')
            continue;
        plain += text[i] == '\r' ? '\n' : text[i];
    }
    auto found = std::vector<std::string> {};
    auto data = std::string {};
    auto hasData = false;
    for (auto at = std::size_t { 0 }; plain.find('\n', at) != std::string::npos;) {
        const auto end = plain.find('\n', at);
        const auto line = plain.substr(at, end - at);
        at = end + 1;
        if (line.empty() && hasData)
            found.push_back(data);
        if (line.empty()) {
            data.clear();
            hasData = false;
        }
        if (line != "data" && !line.starts_with("data:"))
            continue;
        const auto value = line.size() > 5 ? line.substr(line[5] == ' ' ? 6 : 5) : "";
        data += (hasData ? "\n" : "") + value;
        hasData = true;
    }
    return found;
}

auto randomText(Random &random) -> std::string
{
    static const auto parts = std::vector<std::string> {
        "data: x", "data:", "data", "data:  two", "event: error", ": note", "data: [DONE]", "\n",
        "\n",      "\r\n",  "\r\n", "\r",         "\n\n",         "id: 4",  "database: 1",
    };
    auto text = std::string {};
    for (auto count = random.below(40); count > 0; --count)
        text += parts[random.below(parts.size())];
    return text;
}

} // namespace

TEST_CASE("events come out whole, with name, data and count")
{
    auto splitter = SseSplitter {};
    auto events = splitter.feed("data: a\n\nevent: error\ndata: b\ndata: c\n\n: note\n\nda");
    REQUIRE(events.ok());
    REQUIRE(events->size() == 3);
    CHECK((*events)[0].raw == "data: a\n\n");
    CHECK((*events)[1].name == "error");
    CHECK((*events)[1].data == "b\nc");
    CHECK_FALSE((*events)[2].hasData);
    CHECK(splitter.dataEvents() == 2);
    CHECK(splitter.pending() == 2);
    CHECK_FALSE(splitter.done());
    CHECK(splitter.feed("ta: [DONE]\n\n")->at(0).isDone());
    CHECK(splitter.done());
    CHECK(splitter.dataEvents() == 2);
}

TEST_CASE("an event past the bound is refused")
{
    auto splitter = SseSplitter { 100 };
    CHECK(splitter.feed("data: " + std::string(80, 'x')).ok());
    CHECK(errorKind(splitter.feed(std::string(80, 'x')).status()) == ErrorKind::TooLarge);
}

TEST_CASE("random texts in random chunks agree with the plain reference, byte for byte")
{
    auto random = Random { 41 };
    auto compared = 0;
    for (auto round = 0; round < 100000; ++round) {
        const auto text = randomText(random);
        auto splitter = SseSplitter {};
        auto raw = std::string {};
        auto data = std::vector<std::string> {};
        for (auto at = std::size_t { 0 }; at < text.size();) {
            const auto count = 1 + random.below(12);
            const auto events = splitter.feed(std::string_view { text }.substr(at, count));
            REQUIRE(events.ok());
            at += count;
            for (const auto &event : *events) {
                raw += event.raw;
                if (event.hasData)
                    data.push_back(event.data);
            }
        }
        const auto expected = dataByReference(text);
        const auto same = data == expected && raw == text.substr(0, raw.size())
                && raw.size() + splitter.pending() == text.size();
        const auto dones = std::count(expected.begin(), expected.end(), "[DONE]");
        if (!same || splitter.dataEvents() + dones != expected.size())
            FAIL("round " << round << " text " << text);
        ++compared;
    }
    CHECK(compared == 100000);
}
