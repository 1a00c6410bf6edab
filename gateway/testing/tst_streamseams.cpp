// How the forwarder puts a stream together from the runs of several endpoints.

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway::testing;

namespace {

constexpr auto byteOrderMark = "\xEF\xBB\xBF";

enum class LineEnds : std::uint8_t { All, CrlfAndLf };

struct ParsedEvent
{
    std::string id;
    std::string data;
    auto operator==(const ParsedEvent &) const -> bool = default;
};

/// @return the lines of a text, the last one only if it has an end
auto linesOf(const std::string &text, LineEnds lineEnds) -> std::vector<std::string>
{
    auto lines = std::vector<std::string> { "" };
    for (auto at = std::size_t { 0 }; at < text.size(); ++at) {
        const auto isCrlf = text.compare(at, 2, "\r\n") == 0;
        const auto isReturn = lineEnds == LineEnds::All && text[at] == '\r';
        if (isCrlf)
            ++at;
        if (isCrlf || isReturn || text[at] == '\n')
            lines.emplace_back();
        else
            lines.back() += text[at];
    }
    lines.pop_back();
    return lines;
}

auto parse(std::string text, LineEnds lineEnds) -> std::vector<ParsedEvent>
{
    if (text.starts_with(byteOrderMark))
        text.erase(0, 3);
    auto found = std::vector<ParsedEvent> {};
    auto event = ParsedEvent {};
    for (const auto &line : linesOf(text, lineEnds)) {
        if (line.starts_with("id: "))
            event.id = line.substr(4);
        else if (line.starts_with("data: "))
            event.data += line.substr(6);
        else if (line.empty() && !event.data.empty())
            found.push_back(std::exchange(event, {}));
    }
    return found;
}

/// Parses like a caller that splits its stream where the same line end comes twice.
auto parseBlocks(std::string text) -> std::vector<ParsedEvent>
{
    auto found = std::vector<ParsedEvent> {};
    while (true) {
        auto end = std::string::npos;
        auto size = std::size_t { 0 };
        for (const auto *separator : { "\r\n\r\n", "\n\n", "\r\r" }) {
            const auto at = text.find(separator);
            if (at < end) {
                end = at;
                size = std::string_view { separator }.size();
            }
        }
        if (end == std::string::npos)
            return found;
        const auto events = parse(text.substr(0, end) + "\n\n", LineEnds::All);
        found.insert(found.end(), events.begin(), events.end());
        text.erase(0, end + size);
    }
}

auto streamOf(int first, int last, const std::string &lineEnd) -> std::string
{
    auto text = std::string {};
    for (auto number = first; number <= last; ++number) {
        const auto digits = std::to_string(number);
        for (const auto &part : { std::string { "id: " }, digits, lineEnd,
                                  std::string { "data: e" }, digits, lineEnd, lineEnd })
            text += part;
    }
    return text;
}

auto eventsOf(int first, int last) -> std::vector<ParsedEvent>
{
    return parse(streamOf(first, last, "\n"), LineEnds::All);
}

/// What one dispatch of a scripted endpoint sends, piece by piece.
struct Script
{
    std::vector<std::string> pieces;
    bool isWhole = true; ///< Else the connection is closed without the end of the answer.
};

/// Serves each dispatch by the next script, at whichever endpoint it arrives.
class ScriptedRig
{
public:
    explicit ScriptedRig(std::vector<Script> scripts)
        : scripts_(std::move(scripts))
    {
        for (const auto *id : { "i-1", "i-2" }) {
            rig.addEndpoint(id).handler
                    = [this](const http::Request &request, http::Responder &responder) {
                          return serve(request, responder);
                      };
        }
    }
    auto call(const std::string &path, const std::string &after = {}) -> Got
    {
        auto request = Rig::request(path, "r" + std::to_string(++requests_));
        if (!after.empty())
            request.headers.push_back({ "X-After", after });
        return rig.call(std::move(request));
    }

    Rig rig;
    std::vector<std::string> resumedAfter; ///< Of each dispatch.

private:
    auto serve(const http::Request &request, http::Responder &responder)
            -> boost::asio::awaitable<void>
    {
        const auto script = scripts_.at(std::min(resumedAfter.size(), scripts_.size() - 1));
        resumedAfter.emplace_back(request.header("X-After"));
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        for (auto bytes : script.pieces) {
            static_cast<void>(co_await responder.write(std::move(bytes)));
        }
        if (script.isWhole)
            static_cast<void>(co_await responder.finish());
    }

    std::vector<Script> scripts_;
    int requests_ = 0;
};

} // namespace

TEST_CASE("A stream with CRLF line ends takes one dispatch, and arrives unchanged in any pieces")
{
    const auto text = streamOf(1, 3, "\r\n");
    for (auto cut = std::size_t { 1 }; cut < text.size(); ++cut) {
        auto scripted = ScriptedRig { { { { text.substr(0, cut), text.substr(cut) } } } };
        const auto got = scripted.call("/resume/x");
        CHECK(got.whole);
        CHECK(got.body == text);
        CHECK(scripted.resumedAfter.size() == 1);
    }
}

TEST_CASE("No event is lost or joined to another where a cut stream is resumed")
{
    for (const auto *lineEnd : { "\n", "\r\n", "\r" }) {
        const auto text = streamOf(1, 3, lineEnd);
        for (auto cut = std::size_t { 1 }; cut < text.size(); ++cut) {
            const auto before = text.substr(0, cut);
            const auto sent = static_cast<int>(parse(before, LineEnds::All).size());
            auto scripted = ScriptedRig { { { { before }, false },
                                            { { streamOf(sent + 1, 5, lineEnd) } } } };
            const auto got = scripted.call("/resume/x");
            INFO("cut " << cut << " body " << got.body);
            CHECK(got.whole);
            REQUIRE(scripted.resumedAfter.size() == 2);
            CHECK(scripted.resumedAfter[1] == (sent > 0 ? std::to_string(sent) : ""));
            CHECK(parse(got.body, LineEnds::All) == eventsOf(1, 5));
            CHECK(parseBlocks(got.body) == eventsOf(1, 5));
            if (lineEnd != std::string { "\r" })
                CHECK(parse(got.body, LineEnds::CrlfAndLf) == eventsOf(1, 5));
        }
    }
}

TEST_CASE("A byte order mark stays at the beginning of a stream, and is not repeated when resumed")
{
    const auto mark = std::string { byteOrderMark };
    auto scripted = ScriptedRig { { { { mark + streamOf(1, 2, "\n") }, false },
                                    { { mark + streamOf(3, 4, "\n") } } } };
    const auto got = scripted.call("/resume/x");
    CHECK(got.whole);
    CHECK(got.body == mark + streamOf(1, 4, "\n"));
    CHECK(scripted.resumedAfter == std::vector<std::string> { "", "2" });
}

TEST_CASE("A resumed run that repeats an event does not add that event's line end")
{
    auto repeated = streamOf(2, 2, "\r\n");
    repeated.pop_back();
    auto scripted = ScriptedRig { { { { streamOf(1, 2, "\r\n") }, false },
                                    { { repeated, "\n", streamOf(3, 3, "\r\n") } } } };
    const auto got = scripted.call("/resume/x");
    CHECK(got.whole);
    CHECK(got.body == streamOf(1, 3, "\r\n"));
}

TEST_CASE("An empty stream, and one of comments alone, are whole")
{
    for (const auto *text : { "", ": one\n\n: two\r\n\r\n" }) {
        auto scripted = ScriptedRig { { { { std::string { text } } } } };
        const auto got = scripted.call("/resume/x");
        CHECK(got.whole);
        CHECK(got.body == text);
        CHECK(scripted.resumedAfter.size() == 1);
    }
}

namespace {

auto eventOf(const std::string &id, const std::string &data) -> std::string
{
    auto text = id.empty() ? std::string {} : "id: " + id + "\n";
    text += "data: " + data + "\n\n";
    return text;
}

} // namespace

TEST_CASE("No event of a stream is dropped because its ID is not a number")
{
    auto text = std::string {};
    for (const auto *id : { "b7", "a9", "9x", "c", "10-2", "10-1" })
        text += eventOf(id, id);
    auto scripted = ScriptedRig { { { { text } } } };
    const auto got = scripted.call("/resume/x");
    CHECK(got.whole);
    CHECK(got.body == text);
}

TEST_CASE("A stream is not resumed where its last event does not say after which number")
{
    for (const auto &sent : { eventOf("", "a"), eventOf("1", "a") + eventOf("", "b"),
                              eventOf("x1", "a"), eventOf("18446744073709551616", "a") }) {
        auto scripted = ScriptedRig { { { { sent }, false }, { { sent, eventOf("", "c") } } } };
        const auto got = scripted.call("/resume/x");
        CHECK_FALSE(got.whole);
        CHECK(got.body == sent);
        CHECK(scripted.resumedAfter.size() == 1);
    }
}

TEST_CASE("A stream of which the caller has only comments is dispatched again from its beginning")
{
    auto scripted = ScriptedRig { { { { ": wait\n\n" }, false }, { { streamOf(1, 2, "\n") } } } };
    const auto got = scripted.call("/resume/x");
    CHECK(got.whole);
    CHECK(got.body == ": wait\n\n" + streamOf(1, 2, "\n"));
}

TEST_CASE("A resumed run that leaves out an event is broken off before the caller sees the gap")
{
    auto scripted = ScriptedRig { { { { streamOf(1, 3, "\n") }, false },
                                    { { ": on\n\n" + streamOf(5, 6, "\n") } } } };
    const auto got = scripted.call("/resume/x");
    CHECK_FALSE(got.whole);
    CHECK(parse(got.body, LineEnds::All) == eventsOf(1, 3));
}

TEST_CASE("A resumed run whose first data has no ID, or one that is no number, is broken off")
{
    for (const auto *id : { "", "x4" }) {
        auto scripted = ScriptedRig { { { { streamOf(1, 3, "\n") }, false },
                                        { { eventOf(id, "e1") + streamOf(4, 4, "\n") } } } };
        const auto got = scripted.call("/resume/x");
        CHECK_FALSE(got.whole);
        CHECK(got.body == streamOf(1, 3, "\n"));
    }
}

TEST_CASE("A resumed run may repeat the event after which it resumes, but not start anew")
{
    for (const auto first : { 3, 2, 1 }) {
        auto scripted = ScriptedRig { { { { streamOf(1, 3, "\n") }, false },
                                        { { streamOf(first, 5, "\n") } } } };
        const auto got = scripted.call("/resume/x");
        CHECK(got.whole == (first == 3));
        CHECK(got.body == streamOf(1, first == 3 ? 5 : 3, "\n"));
    }
}

TEST_CASE("A stream whose IDs are not consecutive is resumed at a higher one")
{
    const auto first = eventOf("10", "a") + eventOf("20", "b");
    auto scripted = ScriptedRig { { { { first }, false }, { { eventOf("30", "c") } } } };
    const auto got = scripted.call("/resume/x");
    CHECK(got.whole);
    CHECK(got.body == first + eventOf("30", "c"));
}

TEST_CASE("A run whose IDs go back is broken off, not told as whole without its events")
{
    for (const auto *id : { "3", "1" }) {
        const auto text = streamOf(1, 3, "\n") + eventOf(id, "again") + streamOf(4, 5, "\n");
        auto scripted = ScriptedRig { { { { text } } } };
        const auto got = scripted.call("/stream/x");
        CHECK_FALSE(got.whole);
        CHECK(got.body == streamOf(1, 3, "\n"));
    }
}

TEST_CASE("What a caller that resumes by itself already has is not sent again")
{
    for (const auto first : { 1, 3, 4, 6 }) {
        auto scripted = ScriptedRig { { { { streamOf(first, 7, "\n") } } } };
        const auto got = scripted.call("/resume/x", "3");
        CHECK(got.whole);
        CHECK(got.body == streamOf(std::max(first, 4), 7, "\n"));
        CHECK(scripted.resumedAfter == std::vector<std::string> { "3" });
    }
}

TEST_CASE("A caller that resumes after an ID that is no number gets what the endpoint sends")
{
    const auto text = eventOf("a1", "x") + eventOf("a0", "y");
    auto scripted = ScriptedRig { { { { text } } } };
    const auto got = scripted.call("/resume/x", "b");
    CHECK(got.whole);
    CHECK(got.body == text);
}

namespace {

/// Serves a stream of which another gateway has sent events up to terms.resumeAfter.
auto takeOver(ScriptedRig &scripted, const proto::HandoffTerms &terms) -> Got
{
    auto gateway = http::Server { scripted.rig.context,
                                  {},
                                  [&](const http::Request &request, http::Responder &responder) {
                                      return scripted.rig.forwarder.handleHandedOver(request, terms,
                                                                                     responder);
                                  } };
    REQUIRE(gateway.start({ "127.0.0.1", 0 }).ok());
    const auto got = scripted.rig.beginAt(gateway.port(), Rig::request("/resume/x", "r1"));
    REQUIRE(scripted.rig.runUntil([&] { return got->has_value(); }));
    gateway.stop();
    return **got;
}

} // namespace

TEST_CASE("A handed-over stream that starts anew is broken off, not joined to what was sent before")
{
    for (const auto first : { 3, 1 }) {
        auto scripted = ScriptedRig { { { { streamOf(first, 5, "\n") } } } };
        auto terms = proto::HandoffTerms {};
        terms.resumeAfter = "3";
        const auto got = takeOver(scripted, terms);
        CHECK((got.status == 200) == (first == 3));
        CHECK(got.body == (first == 3 ? streamOf(4, 5, "\n") : ""));
    }
}

TEST_CASE("A handed-over stream is broken off at a gap only if its numbers were consecutive before")
{
    for (const auto isConsecutive : { true, false }) {
        auto scripted = ScriptedRig { { { { streamOf(4, 5, "\n") }, false },
                                        { { streamOf(7, 8, "\n") } } } };
        auto terms = proto::HandoffTerms {};
        terms.resumeAfter = "3";
        terms.areEventIdsConsecutive = isConsecutive;
        const auto got = takeOver(scripted, terms);
        const auto rest = isConsecutive ? "" : streamOf(7, 8, "\n");
        CHECK(got.whole == !isConsecutive);
        CHECK(got.body == streamOf(4, 5, "\n") + rest);
    }
}
