// Tests which gateways callers are told, and how their connections spread over gateways of
// different capacities.

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "core/random.h"
#include "fleet/entry.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

const auto regions = catalogue::RegionMap {
    { DomainId { "a" }, RegionId { "east" } },
    { DomainId { "b" }, RegionId { "east" } },
    { DomainId { "c" }, RegionId { "west" } },
};
const auto inA = CallerPlace { DomainId { "a" }, RegionId { "east" } };

/// Appends gateways of a failure domain, all of one capacity.
auto add(std::vector<GatewayInfo> &gateways, std::size_t count, const std::string &domain,
         std::uint32_t capacity) -> void
{
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto port = static_cast<std::uint16_t>(gateways.size() + 1);
        gateways.push_back({ { "10.0.0.1", port }, DomainId { domain }, capacity });
    }
}

auto chosen(const std::vector<GatewayInfo> &gateways, const CallerPlace &caller = inA)
        -> std::vector<Address>
{
    return chooseEntries(gateways, caller, regions).addresses();
}

/// @return the gateways' own addresses from one index on
auto addressesOf(const std::vector<GatewayInfo> &gateways, std::size_t from, std::size_t count)
        -> std::vector<Address>
{
    auto result = std::vector<Address> {};
    for (auto i = from; i < from + count; ++i)
        result.push_back(gateways.at(i).callers);
    return result;
}

auto countsOf(const std::vector<Address> &addresses) -> std::map<Address, std::size_t>
{
    auto counts = std::map<Address, std::size_t> {};
    for (const auto &address : addresses)
        ++counts[address];
    return counts;
}

} // namespace

// Guards against a changed answer where capacities are equal: each area and its order as before.
TEST_CASE("With equal or unknown capacities each gateway of the caller's area is listed once")
{
    for (const auto capacity : { 0U, 120U }) {
        auto gateways = std::vector<GatewayInfo> {};
        CHECK(chosen(gateways).empty());
        add(gateways, 1, "a", capacity);
        add(gateways, 3, "b", capacity);
        add(gateways, 5, "c", capacity);
        // One gateway in the failure domain is too few, so that the region's are told.
        CHECK(chosen(gateways) == addressesOf(gateways, 0, 4));
        CHECK(chosen(gateways, { DomainId { "b" }, RegionId { "east" } })
              == addressesOf(gateways, 1, 3));
        CHECK(chosen(gateways, { DomainId { "x" }, RegionId { "west" } })
              == addressesOf(gateways, 4, 5));
        CHECK(chosen(gateways, {}) == addressesOf(gateways, 0, 9));
        add(gateways, 60, "c", capacity);
        CHECK(chosen(gateways, {}) == addressesOf(gateways, 0, 64));
    }
}

TEST_CASE("Entries are in proportion to capacity: the smallest once, at most eight times")
{
    const auto repeatsOf = [](const std::vector<std::uint32_t> &capacities) {
        auto gateways = std::vector<GatewayInfo> {};
        for (const auto capacity : capacities)
            add(gateways, 1, "a", capacity);
        auto result = std::vector<std::uint32_t> {};
        for (const auto &entry : chooseEntries(gateways, inA, regions).entries)
            result.push_back(entry.repeats);
        return result;
    };
    using Repeats = std::vector<std::uint32_t>;
    CHECK(repeatsOf({ 100, 149, 120 }) == Repeats { 1, 1, 1 });
    CHECK(repeatsOf({ 100, 150, 120 }) == Repeats { 1, 2, 1 });
    CHECK(repeatsOf({ 300, 90, 90 }) == Repeats { 3, 1, 1 });
    CHECK(repeatsOf({ 1, 300, 300 }) == Repeats { 1, 8, 8 });
    // The unknown one counts as 200, the mean of the others.
    CHECK(repeatsOf({ 100, 300, 0 }) == Repeats { 1, 3, 2 });
    CHECK(repeatsOf({ 0, 0, 100 }) == Repeats { 1, 1, 1 });
}

TEST_CASE("An answer has at most 64 entries, and names every gateway if there are no more")
{
    auto random = Random { 5 };
    for (auto round = 0; round < 500; ++round) {
        auto gateways = std::vector<GatewayInfo> {};
        const auto count = 2 + random.below(90);
        for (auto i = std::uint64_t { 0 }; i < count; ++i)
            add(gateways, 1, "a", static_cast<std::uint32_t>(random.below(1000)));
        const auto addresses = chosen(gateways);
        const auto listed = countsOf(addresses);
        CHECK(addresses.size() <= 64);
        CHECK(listed.size() == std::min<std::size_t>(count, 64));
        if (count >= 64)
            CHECK(addresses == addressesOf(gateways, 0, 64));
    }
    // Where 64 entries are too few for all repeats, those of equal capacity get about as many.
    auto gateways = std::vector<GatewayInfo> {};
    add(gateways, 30, "a", 90);
    add(gateways, 15, "a", 300);
    const auto listed = countsOf(chosen(gateways));
    for (const auto &gateway : gateways) {
        const auto count = listed.at(gateway.callers);
        CHECK((gateway.capacity == 90 ? count == 1 : count == 2 || count == 3));
    }
}

// Guards against callers that are spread without regard to size: each gateway of 0.09 core would
// get as many connections as one of 0.3, 3.3 times as many for its capacity.
TEST_CASE("Under load, connections for each unit of capacity differ by less than a third")
{
    auto gateways = std::vector<GatewayInfo> {};
    add(gateways, 17, "a", 90);
    add(gateways, 5, "a", 300);
    auto random = Random { 11 };
    auto connections = std::map<Address, double> {};
    for (auto caller = 0; caller < 20'000; ++caller) {
        const auto addresses = chosen(gateways);
        connections[addresses[random.below(addresses.size())]] += 1;
    }
    auto least = 1e9;
    auto most = 0.0;
    for (const auto &gateway : gateways) {
        const auto perCapacity = connections[gateway.callers] / gateway.capacity;
        least = std::min(least, perCapacity);
        most = std::max(most, perCapacity);
    }
    CHECK(most < least * 4 / 3);
}

// Guards against answers that leave out gateways which are still there: callers would drop their
// connections to these.
TEST_CASE("When a gateway fails, or returns without its capacity, all others stay listed")
{
    auto gateways = std::vector<GatewayInfo> {};
    add(gateways, 12, "a", 90);
    add(gateways, 4, "a", 300);
    for (auto lost = std::size_t { 0 }; lost < gateways.size(); ++lost) {
        auto others = gateways;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(lost));
        CHECK(countsOf(chosen(others)).size() == gateways.size() - 1);
        auto restarted = gateways;
        restarted[lost].capacity = 0;
        CHECK(countsOf(chosen(restarted)).size() == gateways.size());
    }
}

TEST_CASE("The weights in the log are those of each kind of gateway, and none where all are equal")
{
    auto gateways = std::vector<GatewayInfo> {};
    add(gateways, 3, "a", 90);
    CHECK(chooseEntries(gateways, inA, regions).weightsText().empty());
    add(gateways, 2, "a", 300);
    const auto choice = chooseEntries(gateways, inA, regions);
    CHECK(choice.weightsText() == "90:1,300:3");
    CHECK(entryScopeName(choice.scope) == "domain");
    CHECK(choice.area == "a");
}

TEST_CASE("Gateways that reach no endpoint are left out, unless none does")
{
    auto gateways = std::vector<GatewayInfo> {};
    add(gateways, 3, "a", 100);
    add(gateways, 3, "b", 100);
    gateways[0].reachesNone = true;
    CHECK(chosen(gateways) == addressesOf(gateways, 1, 2));
    gateways[1].reachesNone = true;
    // One gateway in the failure domain is too few, so that the region's are told.
    CHECK(chosen(gateways) == addressesOf(gateways, 2, 4));
    gateways[2].reachesNone = true;
    CHECK(chosen(gateways) == addressesOf(gateways, 3, 3));
    for (auto &gateway : gateways)
        gateway.reachesNone = true;
    CHECK(chosen(gateways) == addressesOf(gateways, 0, 3));
}
