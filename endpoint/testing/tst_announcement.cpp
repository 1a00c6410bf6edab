#include <doctest/doctest.h>

#include <cstdlib>

#include "core/error.h"
#include "core/random.h"
#include "endpoint/announcement.h"

using namespace figrack;
using namespace figrack::endpoint;

namespace {

const auto sample = std::string { R"({"id":"redaction-01","incarnation":17,"sequence":5,
 "kind":"engine","address":"127.0.0.1:9001","domain":"morlaix","service":"redaction",
 "accelerators":8,"memory_mb":80000,"used_mb":100,"checks_fence":true,"draining":false,
 "cached":[{"model":"m","version":"1","tier":"disk"}],
 "replicas":[{"model":"m","version":"1","state":"ready","running":1,"waiting":2}]})" };

auto replaced(const std::string &from, const std::string &to) -> std::string
{
    auto text = sample;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

auto faultOf(const std::string &json) -> std::string
{
    const auto report = parseAnnouncement(json);
    REQUIRE_FALSE(report.ok());
    CHECK(errorKind(report.status()) == ErrorKind::Malformed);
    return std::string { errorArgument(report.status()) };
}

auto has(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("an announcement is read whole and written back the same")
{
    const auto report = parseAnnouncement(sample);
    REQUIRE(report.ok());
    CHECK(report->spec.id == EndpointId { "redaction-01" });
    CHECK(report->spec.incarnation == Incarnation { 17 });
    CHECK(report->spec.memoryMb == 80000);
    CHECK(report->spec.checksFence);
    CHECK(report->spec.cached.at(0).tier == state::CacheTier::Disk);
    CHECK(report->replicas.at(0).state == proto::ObservedState::Ready);
    CHECK(report->replicas.at(0).waiting == 2);
    const auto again = parseAnnouncement(announcementJson(*report));
    REQUIRE(again.ok());
    CHECK(again->spec == report->spec);
    CHECK(announcementJson(*again) == announcementJson(*report));
}

TEST_CASE("a fault names its field")
{
    CHECK(has(faultOf("[]"), "not an object"));
    CHECK(has(faultOf("{"), "json"));
    CHECK(has(faultOf(replaced("\"id\":\"redaction-01\",", "")), "field=id reason=missing"));
    CHECK(has(faultOf(replaced("redaction-01", "")), "field=id reason=empty"));
    CHECK(has(faultOf(replaced("\"redaction-01\"", "7")), "field=id reason=not a string"));
    CHECK(has(faultOf(replaced("redaction-01", std::string(200, 'a'))), "too long"));
    CHECK(has(faultOf(replaced("redaction-01", "a\\nb")), "control character"));
    CHECK(has(faultOf(replaced("17", "-1")), "field=incarnation"));
    CHECK(has(faultOf(replaced("17", "1.5")), "field=incarnation"));
    CHECK(has(faultOf(replaced("80000", "99999999999999")), "field=memory_mb"));
    CHECK(has(faultOf(replaced("\"engine\"", "\"motor\"")), "field=kind"));
    CHECK(has(faultOf(replaced("127.0.0.1:9001", "example.org:80")), "field=address"));
    CHECK(has(faultOf(replaced("true", "\"yes\"")), "field=checks_fence"));
    CHECK(has(faultOf(replaced("\"ready\"", "\"cold\"")), "field=replicas[0].state"));
    CHECK(has(faultOf(replaced("\"disk\"", "1")), "field=cached[0].tier"));
    CHECK(has(faultOf(replaced("\"cached\":[",
                               "\"cached\":[{\"model\":\"m\",\"version\":\"1\","
                               "\"tier\":\"disk\"},")),
              "field=cached[1] reason=duplicate"));
    CHECK(has(faultOf(replaced("\"replicas\":[",
                               "\"replicas\":[{\"model\":\"m\",\"version\":\"2\""
                               ",\"state\":\"ready\"},")),
              "field=replicas[1] reason=duplicate"));
    CHECK(has(faultOf(replaced("\"draining\":false", "\"draining\":" + std::string(50, '['))),
              "json"));
}

TEST_CASE("bounds on bytes and counts")
{
    CHECK(errorKind(parseAnnouncement(std::string(maxAnnouncementBytes + 1, ' ')).status())
          == ErrorKind::TooLarge);
    auto many = std::string { "\"cached\":[" };
    for (auto i = std::size_t { 0 }; i < maxCached; ++i)
        many += R"({"model":")" + std::to_string(i) + R"(","version":"1","tier":"disk"},)";
    CHECK(has(faultOf(replaced("\"cached\":[", many)), "field=cached reason=too many"));
}

TEST_CASE("fuzz: mutated announcements never crash the reader, and what it takes it writes back")
{
    auto random = Random { 99 };
    const auto *wanted = std::getenv("FIGRACK_FUZZ_INPUTS");
    const auto inputs = wanted == nullptr ? 100000 : std::atoi(wanted);
    auto taken = 0;
    for (auto i = 0; i < inputs; ++i) {
        auto text = sample;
        for (auto changes = 1 + random.below(3); changes > 0; --changes) {
            const auto at = random.below(text.size());
            if (random.chance(0.5))
                text[at] = static_cast<char>(random.below(256));
            else if (random.chance(0.5))
                text.erase(at, random.below(8));
            else
                text.insert(at, text.substr(random.below(text.size()), random.below(16)));
        }
        const auto report = parseAnnouncement(text);
        if (!report.ok())
            continue;
        ++taken;
        const auto again = parseAnnouncement(announcementJson(*report));
        if (!again.ok() || again->spec != report->spec)
            FAIL("input " << i << ": " << text);
    }
    MESSAGE("inputs=" << inputs << " taken=" << taken);
    CHECK(taken > 0);
    CHECK(taken < inputs);
}
