#include <doctest/doctest.h>

#include "core/error.h"
#include "fleet.h"
#include "router/announce.h"

namespace figrack::router {
namespace {

using std::chrono::milliseconds;

struct ViewFixture
{
    ViewFixture()
    {
        fleet.addClass("draft", 2000, 30000);
        fleet.addModel("plaques");
        fleet.addEngine("e1", 9001);
    }
    auto plaques() const -> TargetView { return fleet.view.target({ ModelId { "plaques" }, {} }); }

    ManualClock clock;
    Fleet fleet { clock };
};

TEST_CASE_FIXTURE(ViewFixture, "a repeated or late batch changes nothing")
{
    const auto index = fleet.view.appliedIndex();
    auto batch = proto::FeedBatch {};
    batch.entries.push_back({ LogIndex { 1 }, "not even a command" });
    batch.upTo = LogIndex { 1 };
    CHECK(fleet.view.apply(batch).ok());
    CHECK(fleet.view.appliedIndex() == index);
    batch.entries[0].index = index.next();
    CHECK(errorKind(fleet.view.apply(batch)) == ErrorKind::Malformed);
    CHECK(fleet.view.appliedIndex() == index);
}

TEST_CASE_FIXTURE(ViewFixture, "an old snapshot does not revert the configuration")
{
    auto tables = state::Tables {};
    auto batch = proto::FeedBatch {};
    batch.snapshot = tables.snapshot(false);
    const auto revision = fleet.view.revision();
    CHECK(fleet.view.apply(batch).ok());
    CHECK(fleet.view.revision() == revision);
    CHECK(fleet.view.model(ModelId { "plaques" }));
}

TEST_CASE_FIXTURE(ViewFixture, "a replica is a candidate from its load until its endpoint leaves")
{
    CHECK(plaques().replicas.empty());
    CHECK(plaques().canEverLoad);
    const auto order = fleet.startLoad("plaques", "e1", 800);
    CHECK(plaques().loading == 1);
    CHECK(plaques().nextReadyWall == clock.wallNow().time_since_epoch().count() + 800);
    clock.advance(milliseconds { 700 });
    fleet.endLoad(order);
    REQUIRE(plaques().replicas.size() == 1);
    CHECK(plaques().candidates[0].address.text() == "127.0.0.1:9001");
    CHECK(fleet.view.meanLoadMs() == 700);
    fleet.drainEndpoint("e1");
    CHECK(plaques().replicas.empty());
    CHECK_FALSE(plaques().canEverLoad);
}

TEST_CASE_FIXTURE(ViewFixture, "a replica of another version does not serve the model")
{
    fleet.load("plaques", "e1");
    auto spec = *fleet.view.model(ModelId { "plaques" });
    spec.version = "2";
    fleet.change(state::PutModel { spec });
    CHECK(plaques().replicas.empty());
}

TEST_CASE_FIXTURE(ViewFixture,
                  "routers are listed with the caller's domain first, draining ones never")
{
    fleet.addRouter("r1", "morlaix", "127.0.0.1:1");
    fleet.addRouter("r2", "brasparts", "127.0.0.1:2");
    fleet.addRouter("r3", "quimper", "127.0.0.1:3");
    auto list = fleet.view.routers(DomainId { "quimper" });
    REQUIRE(list.size() == 3);
    CHECK(list[0].address == "127.0.0.1:3");
    fleet.drainRouter("r3");
    list = fleet.view.routers(DomainId { "quimper" });
    CHECK(list.size() == 2);
    fleet.view.setSelfLeaving();
    list = fleet.view.routers({});
    REQUIRE(list.size() == 1);
    CHECK(list[0].id == NodeId { "r2" });
    CHECK(fleet.view.otherRouters() == std::vector<std::string> { "127.0.0.1:2" });
}

TEST_CASE_FIXTURE(ViewFixture, "a drain announced here ends with the endpoint's next incarnation")
{
    fleet.load("plaques", "e1");
    const auto e1 = EndpointId { "e1" };
    fleet.view.setAnnouncedDraining(e1, Incarnation { 1 }, true);
    CHECK_FALSE(fleet.view.isUsable(e1));
    // A late announcement of an earlier incarnation changes nothing.
    fleet.view.setAnnouncedDraining(e1, Incarnation { 0 }, false);
    CHECK_FALSE(fleet.view.isUsable(e1));
    auto spec = fleet.endpointSpec("e1", 9001);
    spec.incarnation = Incarnation { 2 };
    fleet.apply(state::RegisterEndpoint { spec, 0 });
    CHECK(fleet.view.isUsable(e1));
}

// --- announcements ---

auto announcement(const std::string &id, const std::string &address, int incarnation = 1)
        -> http::Request
{
    auto request = http::Request {};
    request.remoteIp = "127.0.0.1";
    request.body = R"({"id":")" + id + R"(","incarnation":)" + std::to_string(incarnation)
            + R"(,"sequence":5,"kind":"engine","address":")" + address
            + R"(","domain":"d1","service":"redaction","accelerators":8,"memory_mb":80000,)"
            + R"("used_mb":100,"checks_fence":true,"draining":false,"cached":[],"replicas":[]})";
    return request;
}

TEST_CASE_FIXTURE(ViewFixture,
                  "an announcement may name only its own host, a free name and address")
{
    const auto kind
            = [this](const http::Request &request, const std::vector<std::string> &proxies = {}) {
                  return errorKind(checkAnnouncement(request, fleet.view, proxies).status());
              };
    CHECK(kind(announcement("e9", "127.0.0.1:9009")) == ErrorKind::Ok);
    CHECK(kind(announcement("e1", "127.0.0.1:9001")) == ErrorKind::Ok);
    CHECK(kind(announcement("e9", "127.0.0.2:9009")) == ErrorKind::AuthFailed);
    CHECK(kind(announcement("e9", "127.0.0.2:9009"), { "127.0.0.1" }) == ErrorKind::Ok);
    CHECK(kind(announcement("e1", "127.0.0.1:9009")) == ErrorKind::Conflict);
    CHECK(kind(announcement("e9", "127.0.0.1:9001")) == ErrorKind::Conflict);
    CHECK(kind(announcement("e1", "127.0.0.1:9001", 0)) == ErrorKind::Conflict);
    fleet.apply(state::SuspectEndpoint { EndpointId { "e1" }, Incarnation { 1 }, true, 0 });
    CHECK(kind(announcement("e1", "127.0.0.1:9009", 2)) == ErrorKind::Ok);
    CHECK(kind(announcement("e9", "127.0.0.1:9001")) == ErrorKind::Ok);
}

TEST_CASE_FIXTURE(ViewFixture, "bad announcements are typed errors")
{
    auto request = announcement("e9", "nowhere");
    CHECK_FALSE(checkAnnouncement(request, fleet.view, {}).ok());
    request.body = "{";
    CHECK_FALSE(checkAnnouncement(request, fleet.view, {}).ok());
    CHECK(announcementAnswer(std::chrono::seconds { 3 }, { "127.0.0.1:1" })
          == R"({"lease_ms":3000,"routers":["127.0.0.1:1"]})");
}

} // namespace
} // namespace figrack::router
