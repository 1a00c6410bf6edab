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

namespace {

/// The bytes of each event of a whole stream, by the plain reference.
auto eventsByReference(const std::string &text) -> std::vector<std::string>
{
    auto found = std::vector<std::string> {};
    auto begin = std::size_t { 0 };
    auto lineBegin = std::size_t { 0 };
    for (auto at = std::size_t { 0 }; at < text.size(); ++at) {
        if (text[at] != '\r' && text[at] != '\n')
            continue;
        const auto isEmpty = at == lineBegin;
        if (text[at] == '\r' && text.substr(at + 1, 1) == "\n")
            ++at;
        lineBegin = at + 1;
        if (!isEmpty)
            continue;
        found.push_back(text.substr(begin, lineBegin - begin));
        begin = lineBegin;
    }
    return found;
}

auto randomStream(Random &random, const std::vector<std::string> &lineEnds) -> std::string
{
    static const auto lines = std::vector<std::string> { "data: x", "data:",    "id: 12",
                                                         ": note",  "event: e", "data" };
    auto text = std::string {};
    for (auto events = random.below(6); events > 0; --events) {
        for (auto count = random.below(4); count > 0; --count)
            text += lines[random.below(lines.size())] + lineEnds[random.below(lineEnds.size())];
        text += lineEnds[random.below(lineEnds.size())];
    }
    return text;
}

/// Splits a text that arrives in pieces of at most the given size.
struct SplitInPieces
{
    SplitInPieces(const std::string &text, std::size_t pieceSize, Random &random)
    {
        for (auto at = std::size_t { 0 }; at < text.size();) {
            const auto count = 1 + random.below(pieceSize);
            const auto found = splitter.feed(std::string_view { text }.substr(at, count));
            isOk = isOk && found.ok();
            at += count;
            for (const auto &event : *found) {
                if (event.isLineFeed && !events.empty())
                    events.back() += event.raw;
                else
                    events.push_back(event.raw);
            }
        }
    }
    SseSplitter splitter;
    std::vector<std::string> events;
    bool isOk = true;
};

} // namespace

TEST_CASE("No stream that ends with an event counts as ended within one, whatever its line ends")
{
    auto random = Random { 67 };
    const auto kinds = std::vector<std::vector<std::string>> {
        { "\n" }, { "\r\n" }, { "\r" }, { "\n", "\r\n", "\r" }
    };
    for (const auto &lineEnds : kinds) {
        for (auto round = 0; round < 20000; ++round) {
            const auto text = randomStream(random, lineEnds);
            const auto expected = eventsByReference(text);
            const auto split = SplitInPieces { text, 1 + random.below(9), random };
            auto length = std::size_t { 0 };
            for (const auto &event : expected)
                length += event.size();
            const auto isRight = split.isOk && split.events == expected
                    && split.splitter.pending() == text.size() - length;
            if (!isRight)
                FAIL("round " << round << " text " << text);
        }
    }
}

TEST_CASE("An event whose lines end in CR is not held back until an LF follows")
{
    auto splitter = SseSplitter {};
    CHECK(splitter.feed("data: a\r\r")->size() == 1);
    CHECK(splitter.feed("data: b\r\n\r")->size() == 1);
    const auto rest = splitter.feed("\n");
    REQUIRE(rest->size() == 1);
    CHECK(rest->front().isLineFeed);
    CHECK(rest->front().raw == "\n");
    CHECK(splitter.pending() == 0);
    CHECK(splitter.feed("\n")->front().raw == "\n"); // A blank line.
}

TEST_CASE("A byte order mark hides no field, and is one only at the beginning")
{
    auto splitter = SseSplitter {};
    const auto first = splitter.feed("\xEF\xBB\xBF"
                                     "data: a\n\n");
    REQUIRE(first->size() == 1);
    CHECK(first->front().hasMark);
    CHECK(first->front().data == "a");
    const auto second = splitter.feed("\xEF\xBB\xBF"
                                      "data: b\n\n");
    REQUIRE(second->size() == 1);
    CHECK_FALSE(second->front().hasMark);
    CHECK_FALSE(second->front().hasData);
}

TEST_CASE("A stream that ends within a CRLF is told from one whose lines end in CR")
{
    CHECK(endsWithinLineEnd("data: a\r\n\r"));
    CHECK(endsWithinLineEnd("\r"));
    CHECK_FALSE(endsWithinLineEnd("data: a\r\r"));
    CHECK_FALSE(endsWithinLineEnd("data: a\r\n\r\n"));
    CHECK_FALSE(endsWithinLineEnd(""));
}
