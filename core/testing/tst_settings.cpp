// Good settings, and every way to be refused with file, line, key and remedy.

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <string>

#include "core/check.h"
#include "core/error.h"
#include "core/random.h"
#include "core/settings.h"

using namespace figrack;
using namespace std::chrono_literals;

namespace {

auto schema() -> std::vector<SettingRule>
{
    return {
        textRule("node.id", "this process's name"),
        textRule("node.file", "an optional file", ""),
        numberRule("node.queue", "requests that may wait", 1, 100, 20),
        durationRule("node.lease", "how long", 100ms, 10s, 1500ms),
        addressRule("net.listen", "where callers connect"),
        addressRule("net.metrics", "where metrics are", ""),
        addressListRule("net.peers", "the others", ""),
        flagRule("net.fast", "whether it is", true),
    };
}

const auto required = std::string { "[node]\nid = a\n[net]\nlisten = 10.0.0.1:80\n" };

auto complaint(std::string_view text) -> std::string
{
    const auto settings = Settings::parse(text, "x.ini", schema());
    if (settings.ok())
        return "accepted";
    CHECK(errorKind(settings.status()) == ErrorKind::BadSettings);
    return std::string { errorArgument(settings.status()) };
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("defaults fill what is left out")
{
    const auto settings = Settings::parse(required, "x.ini", schema());
    REQUIRE(settings.ok());
    CHECK(settings->text("node.id") == "a");
    CHECK(settings->text("node.file").empty());
    CHECK(settings->number("node.queue") == 20);
    CHECK(settings->duration("node.lease") == 1500ms);
    CHECK(settings->address("net.listen") == Address { "10.0.0.1", 80 });
    CHECK(settings->address("net.metrics") == Address {});
    CHECK(settings->addresses("net.peers").empty());
    CHECK(settings->flag("net.fast"));
}

TEST_CASE("every type is read")
{
    const auto settings = Settings::parse("; comment\n# comment\n[node]\r\nid=b\r\nqueue = 100\n"
                                          "lease = 2s\nfile = a = b ; c\n[net]\n"
                                          "listen = [::1]:0\nmetrics=127.0.0.1:65535\n"
                                          "peers = p@10.0.0.2:1, q @ [fe80::2]:2,\nfast = false",
                                          "x.ini", schema());
    REQUIRE(settings.ok());
    CHECK(settings->text("node.id") == "b");
    CHECK(settings->text("node.file") == "a = b ; c");
    CHECK(settings->number("node.queue") == 100);
    CHECK(settings->duration("node.lease") == 2s);
    CHECK(settings->address("net.listen").text() == "[::1]:0");
    CHECK(settings->address("net.metrics").text() == "127.0.0.1:65535");
    const auto &peers = settings->addresses("net.peers");
    REQUIRE(peers.size() == 2);
    CHECK(peers[0] == NamedAddress { "p", { "10.0.0.2", 1 } });
    CHECK(peers[1] == NamedAddress { "q", { "fe80::2", 2 } });
    CHECK_FALSE(settings->flag("net.fast"));
}

TEST_CASE("a refusal names file, line, key and what is wanted")
{
    CHECK(complaint("[node]\nid = a\n\nqueue = 101\n[net]\nlisten = 1.2.3.4:5")
          == "file=x.ini line=4 key=node.queue value=\"101\" wanted=\"a whole number from 1 to "
             "100\"");
    CHECK(contains(complaint(required + "queue = 3"), "line=5 key=net.queue is unknown: remove"));
    CHECK(contains(complaint("queue = 3\n" + required), "line=1 key=.queue is unknown"));
    CHECK(contains(complaint("[a.b]\nc = 3\n" + required), "line=2 key=a.b.c is unknown"));
    CHECK(contains(complaint("[node]\nid = a"), "file=x.ini key=net.listen is required: add it"));
    CHECK(contains(complaint(required + "listen = 1.2.3.4:5"), "line=5 duplicate key name"));
    CHECK(contains(complaint("[node"), "file=x.ini line=1 unmatched '['"));
    CHECK(contains(complaint("hello"), "line=1 '=' character not found"));
    CHECK(contains(complaint("[node]\nid =\n[net]\nlisten = 1.2.3.4:5"),
                   "line=2 key=node.id value=\"\" wanted=\"a value\""));
}

TEST_CASE("values that nearly fit are refused")
{
    const auto inNode = [](const std::string &line) {
        return complaint("[node]\nid = a\n" + line + "\n[net]\nlisten = 1.2.3.4:5");
    };
    for (const auto *queue :
         { "0", "-1", "1.5", "0x10", "1e1", "ten", "99999999999999999999", "5 ; five", "+5" })
        CHECK(contains(inNode(std::string { "queue = " } + queue), "line=3 key=node.queue"));
    for (const auto *lease : { "5", "99ms", "11s", "1.5s", "-1s", "1 s", "1S", "99999999999999999d",
                               "9223372036854775807h" })
        CHECK(contains(inNode(std::string { "lease = " } + lease), "line=3 key=node.lease"));
    for (const auto *flag : { "yes", "1", "True", "" })
        CHECK(contains(complaint(required + "fast = " + flag), "line=5 key=net.fast"));
    for (const auto *peers : { "10.0.0.1:1", "@10.0.0.1:1", "a@localhost:1",
                               "a@1.2.3.4:1,a@1.2.3.4:2", "a@1.2.3.4:1,,b@1.2.3.4:2" })
        CHECK(contains(complaint(required + "peers = " + peers), "line=5 key=net.peers"));
}

TEST_CASE("addresses are numbers, never names")
{
    for (const auto *text :
         { "", "localhost:80", "example.org:80", "1.2.3.4", "1.2.3.4:", "1.2.3:80", "1.2.3.4:65536",
           "1.2.3.4:-1", "256.1.1.1:1", "::1:80", "[::1]", "[1.2.3.4]:80", "[::1:80", " 1.2.3.4:80",
           "1.2.3.4:80 ", "[]:80" }) {
        CAPTURE(text);
        CHECK(errorKind(parseAddress(text).status()) == ErrorKind::BadSettings);
    }
    CHECK(parseAddress("[2001:DB8:0::1]:443")->text() == "[2001:db8::1]:443");
}

TEST_CASE("durations print as they are read")
{
    for (const Duration duration : std::initializer_list<Duration> {
                 0ns, 1us, 250ms, 1500ms, 2s, 90s, 3600s, 86400s, 172800s }) {
        const auto text = durationText(duration);
        CAPTURE(text);
        CHECK(*parseDuration(text) == duration);
    }
    CHECK(durationText(1500ms) == "1500ms");
    CHECK(durationText(2h) == "2h");
    CHECK(durationText(90s) == "90s");
}

TEST_CASE("the description is a sample that parses")
{
    auto rules = schema();
    const auto text = describeSettings(rules);
    CHECK(contains(text, "[node]\n; this process's name (text; required)\nid = \n"));
    CHECK(contains(text, "(duration from 100ms to 10s; default below)\nlease = 1500ms\n"));
    auto filled = text;
    filled.replace(filled.find("id = "), 5, "id = a");
    filled.replace(filled.find("listen = "), 9, "listen = 1.2.3.4:5");
    CHECK(complaint(filled) == "accepted");
}

TEST_CASE("a file that cannot be read is refused with its name")
{
    for (const auto *path : { "/nonexistent/x.ini", "/" }) {
        const auto settings = Settings::read(path, schema());
        REQUIRE_FALSE(settings.ok());
        CHECK(contains(std::string { errorArgument(settings.status()) }, path));
    }
}

TEST_CASE("asking outside the schema is a failed check")
{
    const auto before = setCheckHandler(
            [](const char *, const char *promise) { throw std::logic_error(promise); });
    const auto settings = Settings::parse(required, "x.ini", schema());
    CHECK_THROWS_AS((void)settings->text("node.other"), std::logic_error);
    CHECK_THROWS_AS((void)settings->number("node.id"), std::logic_error);
    setCheckHandler(before);
}

TEST_CASE("random text is refused or read, never more")
{
    auto random = Random { 7 };
    constexpr auto pieces
            = std::array<std::string_view, 14> { "[node]",      "[net]", "id", "queue", "=",
                                                 "\n",          "7",     "[",  "]",     ";",
                                                 "a@1.2.3.4:5", "peers", " ",  "." };
    for (auto i = 0; i < 100'000; ++i) {
        auto text = std::string {};
        for (auto n = random.below(30); n > 0; --n) {
            if (random.chance(0.1))
                text += static_cast<char>(random.below(256));
            else
                text += pieces[random.below(pieces.size())];
        }
        const auto settings = Settings::parse(text, "x.ini", schema());
        REQUIRE((settings.ok() || errorKind(settings.status()) == ErrorKind::BadSettings));
    }
}
