// The parse path without sockets: grammar, bounds, any split into pieces, and a
// seeded fuzz of 100,000 mutated requests (more by FIGRACK_FUZZ_INPUTS).

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "core/error.h"
#include "core/random.h"
#include "http/requestparser.h"

using namespace figrack;
using namespace figrack::http;

namespace {

struct Parsed
{
    ParseState state = ParseState::NeedsMore;
    absl::Status error;
    Request request;
    std::size_t mostKept = 0;
};

/// Feeds text in pieces as a connection does. @param pieces sizes are drawn up to this
auto parseInPieces(const std::string &text, std::size_t pieces, Random &random,
                   ParseLimits limits = {}) -> Parsed
{
    auto parser = RequestParser { limits };
    auto result = Parsed {};
    auto kept = std::string {};
    for (auto at = std::size_t { 0 };
         at < text.size() && parser.state() == ParseState::NeedsMore;) {
        const auto count = std::min(text.size() - at, std::size_t { 1 } + random.below(pieces));
        kept.append(text, at, count);
        at += count;
        kept.erase(0, parser.put(kept));
        result.mostKept = std::max(result.mostKept, kept.size());
    }
    result.state = parser.state();
    result.error = parser.error();
    if (result.state == ParseState::Done)
        result.request = parser.take();
    return result;
}

auto parseWhole(const std::string &text, ParseLimits limits = {}) -> Parsed
{
    auto random = Random { 1 };
    return parseInPieces(text, 1U << 20, random, limits);
}

auto fuzzInputs() -> int
{
    const auto *text = std::getenv("FIGRACK_FUZZ_INPUTS");
    return text == nullptr ? 100000 : std::atoi(text);
}

auto randomSeedText(Random &random) -> std::string
{
    static const auto seeds = std::vector<std::string> {
        "GET /v1/addresses?x=1 HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n{\"model\":1}",
        "POST /a%20b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    };
    return seeds[random.below(seeds.size())];
}

auto mutate(std::string text, Random &random) -> std::string
{
    static const auto hostile = std::vector<std::string> {
        "\r\n",
        "\n",
        ":",
        "%",
        "%zz",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked\r\n",
        "ffffffffffffffff\r\n",
        std::string(1, '\0'),
        " ",
        "HTTP/9.9",
        std::string(300, 'a'),
    };
    for (auto changes = 1 + random.below(6); changes > 0; --changes) {
        const auto at = random.below(text.size() + 1);
        switch (random.below(4)) {
        case 0:
            text.insert(at, hostile[random.below(hostile.size())]);
            break;
        case 1:
            text.erase(at, random.below(20));
            break;
        case 2:
            if (at < text.size())
                text[at] = static_cast<char>(random.below(256));
            break;
        default:
            text += text.substr(at, random.below(60));
        }
    }
    return text;
}

} // namespace

TEST_CASE("a request comes out the same however it is cut")
{
    const auto text
            = std::string { "POST /a%20b/c?d=%20 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n"
                            "0\r\n\r\n" };
    auto random = Random { 7 };
    for (auto round = 0; round < 200; ++round) {
        const auto parsed = parseInPieces(text, 1 + random.below(12), random);
        REQUIRE(parsed.state == ParseState::Done);
        CHECK(parsed.request.method == "POST");
        CHECK(parsed.request.path == "/a b/c");
        CHECK(parsed.request.query == "d=%20");
        CHECK(parsed.request.header("x-request-id") == "r1");
        CHECK(parsed.request.body == "abcde");
    }
}

TEST_CASE("what breaks the grammar or a bound fails with its kind")
{
    const auto limits = ParseLimits { 1024, 2048 };
    const auto kindOf = [&](const std::string &text) {
        const auto parsed = parseWhole(text, limits);
        CHECK(parsed.state == ParseState::Failed);
        return errorKind(parsed.error);
    };
    CHECK(kindOf("garbage\r\n\r\n") == ErrorKind::BadRequest);
    CHECK(kindOf(std::string("\0\1\2\3\r\n\r\n", 8)) == ErrorKind::BadRequest);
    CHECK(kindOf("GET nopath HTTP/1.1\r\n\r\n") == ErrorKind::BadRequest);
    CHECK(kindOf("GET /%4 HTTP/1.1\r\n\r\n") == ErrorKind::BadRequest);
    CHECK(kindOf("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx")
          == ErrorKind::BadRequest);
    CHECK(kindOf("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n") == ErrorKind::TooLarge);
    CHECK(kindOf("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n")
          == ErrorKind::TooLarge);
    CHECK(kindOf("GET /" + std::string(5000, 'a')) == ErrorKind::TooLarge);
    CHECK(kindOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(5000, 'e'))
          == ErrorKind::TooLarge);
    CHECK(kindOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n"
                 + std::string(4000, 'x'))
          == ErrorKind::TooLarge);
}

TEST_CASE("a truncated request stays unfinished")
{
    const auto text = std::string { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd" };
    for (auto length = std::size_t { 0 }; length < text.size(); ++length)
        CHECK(parseWhole(text.substr(0, length)).state == ParseState::NeedsMore);
}

TEST_CASE("fuzz: no input crashes it, hangs it or makes it keep more than its bounds")
{
    const auto limits = ParseLimits { 1024, 4096 };
    auto random = Random { 20261202 };
    auto done = 0;
    auto failed = 0;
    const auto inputs = fuzzInputs();
    for (auto i = 0; i < inputs; ++i) {
        const auto text = mutate(randomSeedText(random), random);
        const auto parsed = parseInPieces(text, 1 + random.below(200), random, limits);
        if (parsed.mostKept > limits.maxHeaderBytes + 200 || parsed.request.body.size() > 4096)
            FAIL("kept too much of input " << i);
        done += parsed.state == ParseState::Done ? 1 : 0;
        failed += parsed.state == ParseState::Failed ? 1 : 0;
    }
    MESSAGE("inputs=" << inputs << " done=" << done << " failed=" << failed);
    CHECK(done > inputs / 50);
    CHECK(failed > inputs / 50);
}
