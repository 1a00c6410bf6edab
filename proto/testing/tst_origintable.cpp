// The table of the origins of streams.

#include <doctest/doctest.h>

#include "proto/origintable.h"

using namespace figrack;
using namespace figrack::proto;
using namespace std::chrono_literals;

namespace {

auto streamOf(const std::string &attempt, const std::string &version = "v1",
              const std::string &account = "a1") -> proto::BegunStream
{
    return { { ServiceId { "s" }, attempt }, { version, AccountId { account } } };
}

struct TableRig
{
    ManualClock clock;
    OriginTable table { { 3, 60s }, clock };
    auto keep(const proto::BegunStream &stream, OriginKeeper keeper = OriginKeeper::Own)
            -> std::size_t
    {
        return table.keep(stream, keeper);
    }
    auto has(const std::string &attempt) const -> bool
    {
        return table.find(streamOf(attempt).key).has_value();
    }
};

} // namespace

TEST_CASE("A full table of origins drops the one that was kept longest ago")
{
    auto rig = TableRig {};
    for (const auto *attempt : { "1", "2", "3", "1" })
        CHECK(rig.keep(streamOf(attempt)) == 0);
    CHECK(rig.keep(streamOf("4")) == 1);
    CHECK(rig.has("1"));
    CHECK(!rig.has("2"));
    CHECK(rig.table.size() == 3);
}

TEST_CASE("An origin ends after the window, and its place is free without a drop")
{
    auto rig = TableRig {};
    for (const auto *attempt : { "1", "2", "3" })
        rig.keep(streamOf(attempt));
    rig.clock.advance(61s);
    CHECK(!rig.has("1"));
    CHECK(rig.keep(streamOf("4")) == 0);
    CHECK(rig.table.size() == 1);
}

TEST_CASE("Another account that uses the ID of a stream does not take its origin away")
{
    auto rig = TableRig {};
    rig.keep(streamOf("1", "v1", "a1"));
    rig.clock.advance(40s);
    rig.keep(streamOf("1", "v2", "a2"));
    const auto origin = rig.table.find(streamOf("1").key);
    REQUIRE(origin);
    CHECK(origin->account.value() == "a1");
    CHECK(origin->softwareVersion == "v1");
    rig.clock.advance(30s); // Nor does it keep the entry for another window.
    CHECK(!rig.has("1"));
}

TEST_CASE("A stream that one account has begun at two versions has no known origin")
{
    auto rig = TableRig {};
    rig.keep(streamOf("1", "v1"));
    rig.keep(streamOf("1", "v2"));
    CHECK(!rig.has("1"));
    CHECK(rig.table.ownOf(ServiceId { "s" }).empty());
}

TEST_CASE("Only the streams of a service that have begun here are told on")
{
    auto rig = TableRig {};
    rig.keep(streamOf("1"));
    rig.keep(streamOf("2"), OriginKeeper::Others);
    auto other = streamOf("3");
    other.key.service = ServiceId { "t" };
    rig.keep(other);
    const auto own = rig.table.ownOf(ServiceId { "s" });
    REQUIRE(own.size() == 1);
    CHECK(own.front().key.attempt == "1");
}
