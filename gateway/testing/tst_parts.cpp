// The gateway's decision components, in virtual time.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/chooser.h"
#include "gateway/demand.h"
#include "gateway/retrywindow.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;
using catalogue::EndpointState;

namespace {

auto makeRow(const std::string &id, std::uint64_t sequence, EndpointState state)
        -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { id };
    row.service = ServiceId { "s" };
    row.sequence = sequence;
    row.state = state;
    row.models = { { ModelId { "m" }, { "a1" } } };
    row.address = { "127.0.0.1", 1 };
    return row;
}

auto updateOf(std::vector<catalogue::EndpointRow> rows) -> proto::ServingUpdate
{
    auto update = proto::ServingUpdate {};
    update.endpoints = std::move(rows);
    return update;
}

auto always(const EndpointEntry & /*entry*/) -> bool
{
    return true;
}

auto chosen(FleetView &view, const Criteria &criteria, Random &random) -> EndpointEntry *
{
    const auto able = ableEndpoints(view.of(ServiceId { "s" }), criteria, always);
    return able.entries.empty() ? nullptr : chooseAmong(able.entries, criteria, random);
}

} // namespace

TEST_CASE("An update of an endpoint is applied only if it is newer, and a gone endpoint stays gone")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    CHECK(view.apply(updateOf({ makeRow("i-1", 5, EndpointState::Ready) })));
    CHECK_FALSE(view.apply(updateOf({ makeRow("i-1", 4, EndpointState::Draining) })));
    CHECK(view.of(ServiceId { "s" }).size() == 1);
    auto ordered = makeRow("i-1", 5, EndpointState::Ready);
    ordered.orderVersion = 1;
    ordered.models.clear();
    CHECK(view.apply(updateOf({ ordered })));
    CHECK(view.apply(updateOf({ makeRow("i-1", 1, EndpointState::Gone) })));
    CHECK_FALSE(view.apply(updateOf({ makeRow("i-1", 9, EndpointState::Ready) })));
    CHECK(view.of(ServiceId { "s" }).empty());
}

TEST_CASE("An endpoint that fails or stops announcing itself is chosen last")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ makeRow("i-1", 1, EndpointState::Ready) }));
    const auto &entry = *view.find(EndpointId { "i-1" });
    CHECK(view.isHealthy(entry));
    view.onFailure(EndpointId { "i-1" }, true);
    CHECK_FALSE(view.isHealthy(entry));
    clock.advance(400ms);
    CHECK(view.isHealthy(entry));
    view.onFailure(EndpointId { "i-1" }, true);
    clock.advance(400ms);
    CHECK_FALSE(view.isHealthy(entry));
    view.onSuccess(EndpointId { "i-1" });
    CHECK(view.isHealthy(entry));
    clock.advance(5s);
    CHECK_FALSE(view.isHealthy(entry));
    auto beat = proto::ServingUpdate {};
    beat.beats = { { EndpointId { "i-1" }, 2 } };
    view.apply(beat);
    CHECK(view.isHealthy(entry));
}

TEST_CASE("Requests that share a prompt go to the same endpoint unless it is overloaded")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    for (const auto *id : { "i-1", "i-2", "i-3" }) {
        auto row = makeRow(id, 1, EndpointState::Ready);
        row.address.ip = id;
        view.apply(updateOf({ row }));
    }
    auto random = Random { 1 };
    auto criteria = Criteria { ModelId { "m" }, {}, 77, {}, clock.now() };
    auto *first = chosen(view, criteria, random);
    REQUIRE(first != nullptr);
    for (auto i = 0; i < 20; ++i)
        CHECK(chosen(view, criteria, random) == first);
    first->running = 50;
    CHECK(chosen(view, criteria, random) != first);
}

TEST_CASE("The reasons for having no endpoint are distinguished")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto reason = [&](const Criteria &criteria) {
        return ableEndpoints(view.of(ServiceId { "s" }), criteria, always).blockedBy;
    };
    CHECK(reason({ ModelId { "m" }, {}, 0, {}, clock.now() }) == BlockedBy::Endpoint);
    view.apply(updateOf({ makeRow("i-1", 1, EndpointState::Ready) }));
    CHECK(reason({ ModelId { "m" }, {}, 0, {}, clock.now() }) == BlockedBy::Nothing);
    CHECK(reason({ ModelId { "m" }, "a1", 0, {}, clock.now() }) == BlockedBy::Nothing);
    CHECK(reason({ ModelId { "m" }, "a2", 0, {}, clock.now() }) == BlockedBy::Adapter);
    CHECK(reason({ ModelId { "n" }, {}, 0, {}, clock.now() }) == BlockedBy::Model);
    CHECK(reason({ {}, {}, 0, { EndpointId { "i-1" } }, clock.now() }) == BlockedBy::Endpoint);
    // The only endpoint with the model failed this request: loading the model elsewhere helps,
    // loading the adapter does not.
    CHECK(reason({ ModelId { "m" }, {}, 0, { EndpointId { "i-1" } }, clock.now() })
          == BlockedBy::Model);
    CHECK(reason({ ModelId { "m" }, "a2", 0, { EndpointId { "i-1" } }, clock.now() })
          == BlockedBy::Model);
}

TEST_CASE("An endpoint whose address another one uses is not used until it announces itself again")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ makeRow("i-1", 5, EndpointState::Ready) }));
    CHECK(view.apply(updateOf({ makeRow("i-2", 1, EndpointState::Ready) })));
    REQUIRE(view.of(ServiceId { "s" }).size() == 1);
    CHECK(view.of(ServiceId { "s" })[0]->row.id == EndpointId { "i-2" });
    CHECK(view.unreachable() == std::vector { EndpointId { "i-1" } });
    CHECK(view.apply(updateOf({ makeRow("i-1", 6, EndpointState::Ready) })));
    REQUIRE(view.of(ServiceId { "s" }).size() == 1);
    CHECK(view.of(ServiceId { "s" })[0]->row.id == EndpointId { "i-1" });
}

TEST_CASE("A leaving endpoint is reported to the leader, which may not have received its "
          "announcement")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ makeRow("i-1", 5, EndpointState::Ready) }));
    CHECK(view.unreachable().empty());
    view.apply(updateOf({ makeRow("i-1", 6, EndpointState::Draining) }));
    CHECK(view.unreachable() == std::vector { EndpointId { "i-1" } });
}

TEST_CASE("An endpoint that says it lacks a model is believed over its row for a while")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ makeRow("i-1", 1, EndpointState::Ready) }));
    view.onMissing(EndpointId { "i-1" }, ModelId { "m" }, "a1");
    const auto reason = [&](const std::string &adapter) {
        const auto criteria = Criteria { ModelId { "m" }, adapter, 0, {}, clock.now() };
        return ableEndpoints(view.of(ServiceId { "s" }), criteria, always).blockedBy;
    };
    CHECK(reason("a1") == BlockedBy::Adapter);
    CHECK(reason("") == BlockedBy::Nothing);
    clock.advance(2s);
    CHECK(reason("a1") == BlockedBy::Nothing);
}

TEST_CASE("Retries of own requests stay within their fraction")
{
    auto clock = ManualClock {};
    auto window = RetryWindow { {}, clock };
    const auto service = ServiceId { "s" };
    const auto requestsFor = [&](Duration duration) {
        for (auto passed = Duration {}; passed < duration; passed += 100ms) {
            clock.advance(100ms);
            window.onRequest(service);
        }
    };
    const auto takeAll = [&] {
        auto count = 0;
        while (window.take(service))
            ++count;
        return count;
    };
    // The requests of a new process pay for retries half a window later.
    requestsFor(4s);
    CHECK(takeAll() == 0);
    requestsFor(20s);
    const auto taken = takeAll();
    CHECK(taken >= 9); // A fifth of the requests of half a window, less the tolerance.
    CHECK(taken <= 10);
    // What was taken counts until a window after it was sent, however late that is.
    requestsFor(12s);
    CHECK(takeAll() == 0);
    for (auto i = 0; i < taken; ++i)
        window.send(service, clock.now());
    requestsFor(12s);
    CHECK(takeAll() == taken);
}

TEST_CASE("A retry that was not sent is available again")
{
    auto clock = ManualClock {};
    auto window = RetryWindow { {}, clock };
    const auto service = ServiceId { "s" };
    for (auto i = 0; i < 160; ++i) {
        clock.advance(100ms);
        if (i % 7 == 0)
            window.onRequest(service);
    }
    CHECK(window.take(service));
    CHECK_FALSE(window.take(service));
    window.send(service, clock.now());
    window.revoke(service, clock.now());
    window.giveBack(service);
    CHECK(window.take(service));
}

TEST_CASE("A demand report counts arrivals once and waiting requests each time")
{
    auto clock = ManualClock {};
    auto demand = Demand { clock };
    auto urgent = 0;
    demand.setOnUrgent([&urgent] { ++urgent; });
    const auto target = DemandTarget { ServiceId { "s" }, ModelId { "m" }, "a1" };
    demand.onArrival(target);
    demand.onWaitBegin(target);
    CHECK(urgent == 1);
    const auto first = demand.take();
    REQUIRE(first.rows.size() == 1);
    CHECK(first.rows[0].arrived == 1);
    CHECK(first.rows[0].waiting == 1);
    const auto second = demand.take();
    REQUIRE(second.rows.size() == 1);
    CHECK(second.rows[0].arrived == 0);
    demand.onWaitEnd(target);
    CHECK(demand.take().rows[0].waiting == 0);
    CHECK(demand.take().rows.empty());
}

TEST_CASE("If an endpoint restarts under its name, the newest incarnation is used")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    auto over = std::vector<EndpointId> {};
    view.setOnSuperseded(
            [&](const EndpointId &id, catalogue::EndpointState) { over.push_back(id); });
    const auto service = ServiceId { "s" };
    view.apply(updateOf({ makeRow("i-1#100", 9, EndpointState::Ready) }));
    view.onFailure(EndpointId { "i-1#100" }, true);
    CHECK(view.apply(updateOf({ makeRow("i-1#200", 1, EndpointState::Ready) })));
    REQUIRE(view.of(service).size() == 1);
    CHECK(view.of(service)[0]->row.id == EndpointId { "i-1#200" });
    CHECK(view.isHealthy(
            *view.of(service)[0])); // Failures of the previous incarnation do not count.
    CHECK(over == std::vector { EndpointId { "i-1#100" } });

    // A delayed announcement of the previous incarnation.
    for (const auto state : { EndpointState::Ready, EndpointState::Draining, EndpointState::Gone })
        view.apply(updateOf({ makeRow("i-1#100", 10, state), makeRow("i-1#50", 3, state) }));
    REQUIRE(view.of(service).size() == 1);
    CHECK(view.of(service)[0]->row.id == EndpointId { "i-1#200" });

    // The controls found that it is silent, and that an incarnation with an earlier clock has
    // replaced it.
    view.apply(updateOf({ makeRow("i-1#150", 1, EndpointState::Ready),
                          makeRow("i-1#200", 1, EndpointState::Gone) }));
    REQUIRE(view.of(service).size() == 1);
    CHECK(view.of(service)[0]->row.id == EndpointId { "i-1#150" });
}

// A network partition delays an announcement. Meanwhile its sender crashes, and another endpoint
// starts to use its address.
TEST_CASE(
        "A delayed announcement of an endpoint does not displace the one that uses its address now")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ makeRow("i-1#100", 1, EndpointState::Ready) }));
    view.apply(updateOf({ makeRow("i-2#200", 1, EndpointState::Ready) }));
    CHECK(view.takesWork(EndpointId { "i-2#200" }));
    view.apply(updateOf({ makeRow("i-1#100", 2, EndpointState::Ready) }));
    CHECK(view.takesWork(EndpointId { "i-2#200" }));
    CHECK_FALSE(view.takesWork(EndpointId { "i-1#100" }));

    // Without incarnations, the endpoint announced last is used, until the other one announces
    // itself.
    view.apply(updateOf({ makeRow("i-3", 1, EndpointState::Ready) }));
    view.apply(updateOf({ makeRow("i-4", 1, EndpointState::Ready) }));
    view.apply(updateOf({ makeRow("i-3", 2, EndpointState::Ready) }));
    auto beat = proto::ServingUpdate {};
    beat.beats = { { EndpointId { "i-4" }, 1 } };
    view.apply(beat);
    CHECK(view.takesWork(EndpointId { "i-4" }));
    CHECK_FALSE(view.takesWork(EndpointId { "i-3" }));
}
