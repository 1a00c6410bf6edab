// Gateways find out which software version began a stream.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include <boost/asio/post.hpp>

#include "core/boottimer.h"
#include "gateway/testing/originworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const auto several = std::set<std::string> { "v1", "v2" };
const auto firstGateway = NodeId { "g0" };

auto worldOf(int gateways, const std::set<std::string> &versions) -> std::unique_ptr<OriginWorld>
{
    auto world = std::make_unique<OriginWorld>();
    world->addGateways(gateways, versions);
    return world;
}

auto contains(const std::vector<NodeId> &nodes, const NodeId &node) -> bool
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

/// @return an attempt that the first gateway does not own
auto attemptOwnedElsewhere(const OriginWorld &world) -> std::string
{
    auto i = 0;
    while (contains(world.ownersOf("id-" + std::to_string(i)), firstGateway))
        ++i;
    return "id-" + std::to_string(i);
}

auto checkFound(const FoundOrigin &found, OriginSource source, const std::string &version) -> void
{
    CHECK(originSourceName(found.source) == originSourceName(source));
    CHECK(found.softwareVersion == version);
}

auto checkUnknown(const FoundOrigin &found, Duration retryAfter) -> void
{
    CHECK(originSourceName(found.source) == originSourceName(OriginSource::Unknown));
    CHECK(!found.softwareVersion);
    CHECK(found.retryAfter == retryAfter);
}

} // namespace

TEST_CASE("A stream's version is known at each other gateway after the first one has ended")
{
    const auto world = worldOf(9, several);
    for (auto i = 0; i < 20; ++i)
        world->begin(firstGateway, "id-" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    world->end(firstGateway);
    for (auto i = 0; i < 20; ++i) {
        for (const auto &node : world->nodes()) {
            const auto found = world->find(node, "id-" + std::to_string(i));
            CHECK(found.softwareVersion == (i % 2 == 0 ? "v1" : "v2"));
        }
    }
}

TEST_CASE("A stream's version is known after the first gateway and one owner have ended")
{
    for (const auto lost : { std::size_t { 0 }, std::size_t { 1 } }) {
        const auto world = worldOf(9, several);
        const auto attempt = attemptOwnedElsewhere(*world);
        world->begin(firstGateway, attempt, "v2");
        const auto owners = world->ownersOf(attempt);
        const auto stranger = world->strangerTo(attempt, firstGateway);
        REQUIRE(owners.size() == 2);
        CHECK(world->gateway(owners[0]).row.domain != world->gateway(owners[1]).row.domain);
        world->end(firstGateway);
        world->end(owners[lost]);
        checkFound(world->find(stranger, attempt), OriginSource::Owner, "v2");
    }
}

TEST_CASE("A stream's version is known after one gateway has joined and one owner has ended")
{
    auto known = 0;
    constexpr auto streams = 50;
    const auto world = worldOf(9, several);
    for (auto i = 0; i < streams; ++i)
        world->begin(firstGateway, "id-" + std::to_string(i), "v2");
    world->end(firstGateway);
    world->addGateways(1, several);
    world->end(world->ownersOf("id-0").front());
    for (auto i = 0; i < streams; ++i)
        known += world->find(world->nodes().back(), "id-" + std::to_string(i)).softwareVersion
                        == "v2"
                ? 1
                : 0;
    CHECK(known == streams);
}

TEST_CASE("A stream whose owners have both ended is not resumed at a version that is guessed")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    world->begin(firstGateway, attempt, "v2");
    const auto owners = world->ownersOf(attempt);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->end(firstGateway);
    for (const auto &owner : owners)
        world->end(owner);
    checkUnknown(world->find(stranger, attempt), 60s);
}

// Callers whose streams broke off were refused for a minute at gateways that knew nothing.
TEST_CASE("A stream's version is known at controls after all gateways have ended at once")
{
    const auto world = worldOf(3, several);
    world->hasControls = true;
    world->begin(firstGateway, "id-1", "v2");
    for (const auto &node : world->nodes())
        world->end(node);
    world->addGateways(3, several);
    const auto node = world->nodes().front();
    checkFound(world->find(node, "id-1"), OriginSource::Control, "v2");
    const auto foreign = world->find(node, "id-1", "a2");
    CHECK(originSourceName(foreign.source) == originSourceName(OriginSource::Foreign));
    checkUnknown(world->find(node, "id-2"), 60s);
    world->hasControls = false; // They cannot be reached, or have started anew.
    checkUnknown(world->find(node, "id-1"), 60s);
}

TEST_CASE("A stream's version is known after both owners have left one after the other")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    world->begin(firstGateway, attempt, "v2");
    const auto owners = world->ownersOf(attempt);
    world->end(firstGateway);
    for (const auto &owner : owners) {
        world->gateway(owner).origins->onLeaving();
        world->run();
        world->end(owner);
    }
    for (const auto &node : world->nodes())
        CHECK(world->find(node, attempt).softwareVersion == "v2");
}

TEST_CASE("A gateway that leaves sends nothing while one version serves")
{
    const auto world = worldOf(9, { "v1" });
    world->begin(firstGateway, "id-1");
    world->gateway(firstGateway).origins->onLeaving();
    world->run();
    CHECK(world->tells == 0);
}

TEST_CASE("Nothing is sent when streams begin while one version serves, and they are resumed")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    world->begin(firstGateway, attempt);
    CHECK(world->tells == 0);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    checkFound(world->find(firstGateway, attempt), OriginSource::Here, "v1");
    checkFound(world->find(stranger, attempt), OriginSource::OnlyVersion, "v1");
    CHECK(world->tells == 0);
}

TEST_CASE("Streams that began before a second version appeared are known after their gateway's end")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    world->begin(firstGateway, attempt);
    world->setVersions(several);
    CHECK(world->tells == 2);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->end(firstGateway);
    checkFound(world->find(stranger, attempt), OriginSource::Owner, "v1");
}

TEST_CASE("All streams are told when a second version appears, without holding up other work")
{
    const auto world = worldOf(2, { "v1" });
    for (auto i = 0; i < 1000; ++i)
        world->begin(firstGateway, "id-" + std::to_string(i));
    auto &other = *world->gateway(NodeId { "g1" }).origins;
    auto toldBeforeOtherWork = std::size_t { 0 };
    world->gateway(firstGateway).origins->onSecondVersion(ServiceId { "s" });
    world->context.restart();
    world->context.poll_one(); // The first part.
    asio::post(world->context, [&] { toldBeforeOtherWork = other.size(); });
    world->run();
    CHECK(toldBeforeOtherWork < 1000);
    CHECK(other.size() == 1000);
}

TEST_CASE("Streams that end before a second version appears are not told")
{
    const auto world = worldOf(9, { "v1" });
    world->begin(firstGateway, "id-1");
    world->clock.advance(61s);
    world->setVersions(several);
    CHECK(world->tells == 0);
}

TEST_CASE("A stream of another account is not told from an unknown one")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    world->begin(firstGateway, attempt, "v2", "a1");
    for (const auto &node : { firstGateway, world->strangerTo(attempt, firstGateway) }) {
        const auto found = world->find(node, attempt, "a2");
        CHECK(originSourceName(found.source) == "foreign");
        CHECK(!found.softwareVersion);
        CHECK(found.retryAfter == world->find(node, "never-begun", "a2").retryAfter);
        CHECK(world->find(node, attempt, "a1").softwareVersion == "v2");
    }
}

TEST_CASE("An origin is known for the window after it was last told, and no longer")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->begin(firstGateway, attempt);
    world->clock.advance(45s);
    world->begin(firstGateway, attempt);
    world->clock.advance(59s);
    checkFound(world->find(stranger, attempt), OriginSource::Owner, "v1");
    world->clock.advance(2s);
    checkUnknown(world->find(stranger, attempt), 60s);
}

TEST_CASE("A gateway that is cut off from all others does not guess, with several versions")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->begin(firstGateway, attempt);
    world->cut(stranger);
    checkUnknown(world->find(stranger, attempt), 1s);
    checkFound(world->find(firstGateway, attempt), OriginSource::Here, "v1");
}

TEST_CASE("A gateway that is cut off from all others does not trust that one version has served")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->begin(firstGateway, attempt);
    world->cut(stranger);
    checkUnknown(world->find(stranger, attempt), 1s);
}

TEST_CASE("An incomplete history does not show that one version has served")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->begin(firstGateway, attempt);
    world->areControlsComplete = false;
    checkUnknown(world->find(stranger, attempt), 1s);
    world->areControlsComplete = true;
    checkFound(world->find(stranger, attempt), OriginSource::OnlyVersion, "v1");
}

// Guards against a stream that goes on at another version at a gateway which stood still, or which
// others refuse, while endpoints of a second version joined.
TEST_CASE("A gateway whose knowledge of versions is outdated does not trust it")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->controlVersions = several;
    SUBCASE("other gateways are as outdated")
    {
        checkUnknown(world->find(stranger, attempt), 60s);
    }
    SUBCASE("the other gateways have ended")
    {
        for (const auto &node : world->nodes()) {
            if (node != stranger)
                world->end(node);
        }
        checkUnknown(world->find(stranger, attempt), 60s);
    }
    SUBCASE("no control confirms it")
    {
        world->controlVersions.clear();
        world->areControlsComplete = false;
        checkUnknown(world->find(stranger, attempt), 1s);
    }
}

TEST_CASE("A version that only another gateway knows keeps the stream from being guessed")
{
    const auto world = worldOf(9, { "v1" });
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->gateway(world->ownersOf(attempt).back()).versions = several;
    checkUnknown(world->find(stranger, attempt), 60s);
}

TEST_CASE("A stream is found whose owners are told only after they were first asked")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    world->tellDelay = 10ms;
    world->begin(firstGateway, attempt);
    checkFound(world->find(stranger, attempt), OriginSource::Owner, "v1");
}

TEST_CASE("Streams that begin while a message is on its way go together with the next one")
{
    const auto world = worldOf(2, several);
    world->tellDelay = 10ms;
    world->begin(firstGateway, "id-0");
    world->context.restart();
    world->context.poll();
    REQUIRE(world->tells == 1);
    for (auto i = 1; i < 100; ++i)
        world->begin(firstGateway, "id-" + std::to_string(i));
    world->run();
    CHECK(world->tells == 2);
    CHECK(world->gateway(NodeId { "g1" }).origins->size() == 100);
}

TEST_CASE("What an owner was not told is tried once more, counted and given up")
{
    const auto world = worldOf(2, several);
    world->cut(NodeId { "g1" });
    world->begin(firstGateway, "id-1");
    CHECK(world->tells == 2);
    const auto page = world->gateway(firstGateway).metrics.text({});
    CHECK(page.find("figrack_gateway_origin_tells_total{end=\"failed\"} 1") != std::string::npos);
}

TEST_CASE("Origins are dropped from the oldest on when the table is full, and counted")
{
    auto world = OriginWorld { 10 };
    world.addGateways(1, several);
    for (auto i = 0; i < 25; ++i)
        world.begin(firstGateway, "id-" + std::to_string(i));
    CHECK(world.gateway(firstGateway).origins->size() == 10);
    checkUnknown(world.find(firstGateway, "id-14"), 60s);
    checkFound(world.find(firstGateway, "id-15"), OriginSource::Here, "v1");
    const auto page = world.gateway(firstGateway).metrics.text({});
    CHECK(page.find("figrack_gateway_origins_dropped_total 15") != std::string::npos);
}

TEST_CASE("A stream whose texts are too long is neither kept nor sent, and counted")
{
    const auto world = worldOf(9, several);
    world->begin(firstGateway, std::string(proto::maxOriginTextBytes + 1, 'x'));
    CHECK(world->tells == 0);
    CHECK(world->gateway(firstGateway).origins->size() == 0);
    const auto page = world->gateway(firstGateway).metrics.text({});
    CHECK(page.find("figrack_gateway_origins_dropped_total 1") != std::string::npos);
}

TEST_CASE("A gateway that ends while a resumption waits for answers leaves nothing behind")
{
    const auto world = worldOf(9, several);
    const auto attempt = attemptOwnedElsewhere(*world);
    const auto stranger = world->strangerTo(attempt, firstGateway);
    for (const auto &owner : world->ownersOf(attempt))
        world->cut(owner);
    world->tellDelay = 10ms;
    world->begin(stranger, "id-other");
    auto timer = BootTimer { world->context, 5ms };
    timer.async_wait([&](const boost::system::error_code &) { world->end(stranger); });
    checkUnknown(world->find(stranger, attempt), 1s);
}
