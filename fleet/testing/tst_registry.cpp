// Tests which subscribers are told about endpoints, and when an endpoint's leaving is confirmed; in
// virtual time.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <cmath>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "core/error.h"
#include "core/random.h"
#include "fleet/demandtable.h"
#include "fleet/proposals.h"
#include "fleet/registry.h"
#include "fleet/testing/fakepeer.h"

using namespace figrack;
using namespace figrack::fleet;
using figrack::fleet::testing::FakePeer;
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
    return row;
}

struct RegistryRig
{
    ManualClock clock;
    Registry registry { {}, clock };
    std::shared_ptr<FakePeer> gateway = std::make_shared<FakePeer>("g1");
    std::shared_ptr<FakePeer> other = std::make_shared<FakePeer>("g2");
    std::vector<absl::Status> ends;

    auto subscribe(const std::shared_ptr<FakePeer> &peer) -> void
    {
        auto subscribe = proto::Subscribe {};
        subscribe.ready = true;
        registry.onSubscribe(peer, subscribe);
        ack(peer);
    }
    auto ack(const std::shared_ptr<FakePeer> &peer) -> void
    {
        registry.onAck(peer, { peer->updates.back().number });
    }
    auto leave(const catalogue::EndpointRow &row) -> void
    {
        registry.onLeaving(row, [this](const absl::Status &status) { ends.push_back(status); });
    }
};

} // namespace

TEST_CASE("A control's messages per second grow more slowly than the number of gateways, and "
          "leaving is not delayed")
{
    for (const auto gateways : { 7, 68, 291, 1700 }) {
        auto rig = RegistryRig {};
        auto peers = std::vector<std::shared_ptr<FakePeer>> {};
        for (auto i = 0; i < gateways; ++i) {
            peers.push_back(std::make_shared<FakePeer>("g" + std::to_string(i)));
            rig.subscribe(peers.back());
            peers.back()->updates.clear();
        }
        // For two seconds an endpoint changes with each tick, and another control reports another.
        auto worst = Duration {};
        for (auto i = 1; i <= 100; ++i) {
            rig.registry.onAnnouncement(makeRow("e1", i, EndpointState::Ready));
            rig.registry.amend(EndpointId { "e1" }, [i](auto &row) {
                row.models = { { ModelId { "m" + std::to_string(i) }, {} } };
            });
            auto update = proto::ServingUpdate {};
            update.endpoints = { makeRow("e2", i, EndpointState::Ready) };
            update.endpoints[0].models = { { ModelId { "m" + std::to_string(i) }, {} } };
            rig.registry.onUpdate(nullptr, update);
            const auto before = peers[0]->updates.size();
            rig.registry.tick();
            worst = peers[0]->updates.size() > before ? Duration {} : worst + 20ms;
            CHECK(worst <= std::max<Duration>(20ms, gateways * 220us));
            rig.clock.advance(20ms);
        }
        const auto perSecond = peers[0]->updates.size() * gateways / 2;
        CHECK(perSecond <= 8000);
        if (gateways <= 68)
            CHECK(peers[0]->updates.size() >= 100); // Each change with its tick.
        rig.leave(makeRow("e1", 1000, EndpointState::Draining));
        CHECK(peers[0]->updates.back().wantsAck);
    }
}

TEST_CASE("Updates from other controls are relayed by three controls, whichever are known")
{
    for (const auto controls : { 1, 3, 5, 9 }) {
        auto relays = std::map<std::string, int> {};
        for (auto self = 0; self < controls; ++self) {
            auto clock = ManualClock {};
            auto registry = Registry { { .self = NodeId { "n" + std::to_string(self) } }, clock };
            auto gateway = std::make_shared<FakePeer>("g");
            registry.onSubscribe(gateway, {});
            auto group = GroupView {};
            for (auto i = 0; i < controls; ++i)
                group.controls.push_back({ .node = NodeId { "n" + std::to_string(i) } });
            registry.setGroup(group);
            gateway->updates.clear();
            auto update = proto::ServingUpdate {};
            for (auto i = 0; i < 50; ++i)
                update.endpoints.push_back(
                        makeRow("e" + std::to_string(i), 1, EndpointState::Ready));
            registry.onUpdate(nullptr, update);
            registry.tick();
            for (const auto &told : gateway->updates) {
                for (const auto &row : told.endpoints)
                    ++relays[row.id.value()];
            }
            // It always sends what it has heard itself.
            registry.onAnnouncement(makeRow("e1", 2, EndpointState::Ready));
            registry.amend(EndpointId { "e1" }, [](auto &row) { row.models = { {} }; });
            clock.advance(1s);
            registry.tick();
            const auto &last = gateway->updates.at(gateway->updates.size() - 2);
            REQUIRE(last.endpoints.size() == 1);
            CHECK(last.endpoints[0].id == EndpointId { "e1" });
        }
        CHECK(relays.size() == 50);
        for (const auto &[id, count] : relays)
            CHECK(count == std::min(controls, 3));
    }
}

// Guards against encoding an update once per gateway. With 291 gateways a control with 0.15 of a
// core used 0.06 of it on average, and the busiest 0.09, so its answers and the requests that
// waited for them were late. Each change was encoded once for each gateway, and the gateways were
// counted again for each.
TEST_CASE("An update is encoded once, however many gateways there are")
{
    for (const auto gateways : { 30, 300, 1700 }) {
        auto rig = RegistryRig {};
        auto peers = std::vector<std::shared_ptr<FakePeer>> {};
        for (auto i = 0; i < gateways; ++i) {
            peers.push_back(std::make_shared<FakePeer>("g" + std::to_string(i)));
            rig.subscribe(peers.back());
            peers.back()->bodies.clear();
        }
        rig.clock.advance(2s);
        rig.registry.onAnnouncement(makeRow("e1", 1, EndpointState::Ready));
        rig.registry.tick(); // Sends the row, and that it was heard.
        rig.registry.publishLoads({ { EndpointId { "e1" }, 3 } });
        rig.leave(makeRow("e1", 2, EndpointState::Draining));
        auto encodings = std::set<std::shared_ptr<const std::string>> {};
        for (const auto &peer : peers) {
            encodings.insert(peer->bodies.begin(), peer->bodies.end());
            REQUIRE(peer->updates.size() == 5); // Including the initial list.
            for (auto i = std::size_t { 1 }; i < peer->updates.size(); ++i)
                CHECK(peer->updates[i].number > peer->updates[i - 1].number);
            CHECK(peer->updates.back().gateways == static_cast<std::uint32_t>(gateways));
            CHECK(rig.ends.empty());
            rig.ack(peer);
        }
        CHECK(encodings.size() == 4);
        REQUIRE(rig.ends.size() == 1);
        CHECK(rig.ends[0].ok());
    }
}

TEST_CASE("A subscriber gets all that is known, then the changes")
{
    auto rig = RegistryRig {};
    rig.registry.onAnnouncement(makeRow("i-1", 1, EndpointState::Ready));
    rig.subscribe(rig.gateway);
    REQUIRE(rig.gateway->updates.size() == 1);
    CHECK(rig.gateway->updates[0].endpoints.size() == 1);
    rig.registry.onAnnouncement(makeRow("i-1", 2, EndpointState::Ready));
    CHECK(rig.gateway->updates.size() == 1);
    rig.registry.tick();
    CHECK(rig.gateway->updates.back().beats.size() == 1);
    CHECK(rig.registry.gateways().size() == 1);
}

// Guards against a capacity that outlives its gateway: one that restarts with another share, or
// without one, would be listed by the old one.
TEST_CASE("A gateway's capacity is that of its latest subscription, and ends with its connection")
{
    auto rig = RegistryRig {};
    auto subscribe = proto::Subscribe {};
    subscribe.ready = true;
    for (const auto capacity : { 90U, 300U, 0U }) {
        subscribe.capacity = capacity;
        rig.registry.onSubscribe(rig.gateway, subscribe);
        REQUIRE(rig.registry.gateways().size() == 1);
        CHECK(rig.registry.gateways()[0].capacity == capacity);
    }
    rig.registry.onClose(rig.gateway);
    CHECK(rig.registry.gateways().empty());
}

TEST_CASE("Updates from another control are relayed later, in one message")
{
    auto rig = RegistryRig {};
    rig.subscribe(rig.gateway);
    rig.registry.tick();
    auto update = proto::ServingUpdate {};
    update.endpoints = { makeRow("i-1", 1, EndpointState::Ready) };
    rig.registry.onUpdate(nullptr, update);
    update.endpoints = { makeRow("i-2", 1, EndpointState::Ready) };
    rig.registry.onUpdate(nullptr, update);
    rig.registry.tick();
    CHECK(rig.gateway->updates.size() == 1);
    rig.clock.advance(300ms);
    rig.registry.tick();
    REQUIRE(rig.gateway->updates.size() == 2);
    CHECK(rig.gateway->updates[1].endpoints.size() == 2);
    CHECK_FALSE(rig.gateway->updates[1].wantsAck);
}

TEST_CASE("Evacuations are sent with the first update, and to all when they change")
{
    auto rig = RegistryRig {};
    auto group = GroupView {};
    group.evacuations = { Revision { 1 }, { DomainId { "a" } } };
    rig.registry.setGroup(group);
    rig.subscribe(rig.gateway);
    CHECK(rig.gateway->updates.at(0).evacuations == group.evacuations);
    group.term = Term { 3 };
    rig.registry.setGroup(group);
    CHECK_FALSE(rig.gateway->updates.at(1).evacuations);
    group.evacuations = { Revision { 2 }, {} };
    rig.registry.setGroup(group);
    CHECK(rig.gateway->updates.at(2).evacuations == group.evacuations);
}

TEST_CASE("A failure domain is known by an endpoint, a gateway or a control in it")
{
    auto rig = RegistryRig {};
    CHECK_FALSE(rig.registry.knowsDomain(DomainId { "a" }));
    auto row = makeRow("i-1", 1, EndpointState::Ready);
    row.domain = DomainId { "a" };
    rig.registry.onAnnouncement(row);
    CHECK(rig.registry.knowsDomain(DomainId { "a" }));
    auto subscribe = proto::Subscribe {};
    subscribe.domain = DomainId { "b" };
    rig.registry.onSubscribe(rig.gateway, subscribe);
    CHECK(rig.registry.knowsDomain(DomainId { "b" }));
    auto group = GroupView {};
    group.controls.emplace_back().domain = DomainId { "c" };
    rig.registry.setGroup(group);
    CHECK(rig.registry.knowsDomain(DomainId { "c" }));
    CHECK_FALSE(rig.registry.knowsDomain(DomainId { "d" }));
}

// Guards against a control forgetting what it knows of an endpoint by a departure at another one.
TEST_CASE("An endpoint that is gone by a row without service, address and domain keeps them")
{
    auto rig = RegistryRig {};
    auto row = makeRow("i-1", 1, EndpointState::Ready);
    row.address = { "10.0.0.1", 8080 };
    row.domain = DomainId { "d9" };
    rig.registry.onAnnouncement(row);
    auto update = proto::ServingUpdate {};
    update.endpoints.push_back({});
    update.endpoints.back().id = row.id;
    update.endpoints.back().state = EndpointState::Gone;
    rig.registry.onUpdate(nullptr, update);
    const auto *known = rig.registry.find(row.id);
    REQUIRE(known != nullptr);
    CHECK(known->state == EndpointState::Gone);
    CHECK(known->service == row.service);
    CHECK(known->address == row.address);
    CHECK(known->domain == row.domain);
}

TEST_CASE("The index of endpoints agrees with their rows, whatever rows arrive")
{
    auto random = Random { 20261204 };
    auto rig = RegistryRig {};
    const auto randomRow = [&](std::uint64_t sequence) {
        auto row = catalogue::EndpointRow {};
        row.id = EndpointId { "i-" + std::to_string(random.below(6)),
                              Incarnation { random.below(3) } };
        const auto isBare = random.below(8) == 0;
        row.state = isBare ? EndpointState::Gone
                           : static_cast<EndpointState>(random.below(5) == 0 ? random.below(3) : 0);
        if (isBare)
            return row;
        row.service = ServiceId { "s" + std::to_string(random.below(3)) };
        row.domain = DomainId { "d" + std::to_string(random.below(2)) };
        row.models = { { ModelId { "m" + std::to_string(random.below(3)) }, {} } };
        row.sequence = random.below(4) == 0 ? random.below(sequence) : sequence;
        return row;
    };
    for (std::uint64_t step = 1; step <= 20'000; ++step) {
        CAPTURE(step);
        auto update = proto::ServingUpdate {};
        update.endpoints.push_back(randomRow(step));
        if (random.below(2) == 0)
            rig.registry.onAnnouncement(update.endpoints.front());
        else
            rig.registry.onUpdate(nullptr, update);
        rig.clock.advance(std::chrono::milliseconds { random.below(3000) });
        rig.registry.tick();
        for (auto number = 0; number < 3; ++number) {
            const auto service = ServiceId { "s" + std::to_string(number) };
            const auto model = ModelId { "m" + std::to_string(number) };
            auto ofService = EndpointIndex::Ids {};
            auto holders = EndpointIndex::Ids {};
            for (const auto *row : rig.registry.rows()) {
                if (row->service != service || row->state != EndpointState::Ready)
                    continue;
                ofService.insert(row->id);
                if (row->find(model) != nullptr)
                    holders.insert(row->id);
            }
            REQUIRE(rig.registry.index().ofService(service) == ofService);
            REQUIRE(rig.registry.index().holders(service, model) == holders);
        }
    }
}

TEST_CASE("A cold time is sent when it begins or ends early, not with each announcement")
{
    auto rig = RegistryRig {};
    rig.subscribe(rig.gateway);
    const auto announce = [&](std::uint64_t sequence, std::uint32_t coldMs) {
        auto row = makeRow("i-1", sequence, EndpointState::Ready);
        row.coldMs = coldMs;
        rig.registry.onAnnouncement(row);
        rig.gateway->updates.clear();
        rig.clock.advance(20ms);
        rig.registry.tick();
        return std::any_of(rig.gateway->updates.begin(), rig.gateway->updates.end(),
                           [](const auto &update) { return !update.endpoints.empty(); });
    };
    CHECK(announce(1, 0));
    CHECK(announce(2, 3000));
    CHECK(rig.gateway->updates.back().endpoints.at(0).coldMs == 2980);
    rig.clock.advance(1s);
    CHECK_FALSE(announce(3, 1900));
    CHECK(announce(4, 0));
    CHECK_FALSE(announce(5, 0));
    CHECK(announce(6, 2000));
    rig.clock.advance(3s);
    CHECK_FALSE(announce(7, 0));
}

TEST_CASE("A leaving endpoint is confirmed when every gateway acts on it, and not before")
{
    auto rig = RegistryRig {};
    rig.subscribe(rig.gateway);
    rig.subscribe(rig.other);
    rig.clock.advance(2s);
    rig.leave(makeRow("i-1", 3, EndpointState::Draining));
    CHECK(rig.ends.empty());
    rig.ack(rig.gateway);
    CHECK(rig.ends.empty());
    rig.ack(rig.other);
    REQUIRE(rig.ends.size() == 1);
    CHECK(rig.ends[0].ok());
}

TEST_CASE("It is not confirmed when a gateway does not confirm in time, or is lost meanwhile")
{
    auto rig = RegistryRig {};
    rig.subscribe(rig.gateway);
    rig.subscribe(rig.other);
    rig.clock.advance(2s);
    rig.leave(makeRow("i-1", 3, EndpointState::Draining));
    rig.ack(rig.gateway);
    SUBCASE("late")
    {
        rig.clock.advance(1s);
        rig.registry.tick();
    }
    SUBCASE("lost")
    {
        rig.registry.onClose(rig.other);
        rig.registry.tick();
    }
    REQUIRE(rig.ends.size() == 1);
    CHECK_FALSE(rig.ends[0].ok());
}

TEST_CASE("A control that has just started, or knows no gateway, confirms nothing")
{
    auto rig = RegistryRig {};
    rig.leave(makeRow("i-1", 3, EndpointState::Draining));
    CHECK_FALSE(rig.ends.at(0).ok());
    rig.subscribe(rig.gateway);
    rig.leave(makeRow("i-2", 3, EndpointState::Draining));
    CHECK_FALSE(rig.ends.at(1).ok());
}

TEST_CASE("A proposal succeeds only when its own entry was applied")
{
    auto proposals = Proposals {};
    auto clock = ManualClock {};
    auto ends = std::vector<absl::Status> {};
    const auto add = [&](std::uint64_t index) {
        proposals.add(LogIndex { index }, Term { 2 }, clock.now() + 1s,
                      [&ends](const absl::Status &status) { ends.push_back(status); });
    };
    auto status = coord::ReplicaStatus {};
    status.role = coord::Role::Leader;
    status.term = Term { 2 };
    add(5);
    proposals.onApplied(LogIndex { 5 }, Term { 2 });
    CHECK(ends.empty());
    proposals.settle(status, clock.now());
    CHECK(ends.at(0).ok());
    add(6);
    proposals.onApplied(LogIndex { 6 }, Term { 3 });
    proposals.settle(status, clock.now());
    CHECK_FALSE(ends.at(1).ok());
    add(7);
    clock.advance(2s);
    proposals.settle(status, clock.now());
    CHECK(errorKind(ends.at(2)) == ErrorKind::OutcomeUnknown);
    add(8);
    status.role = coord::Role::Follower;
    proposals.settle(status, clock.now());
    CHECK(errorKind(ends.at(3)) == ErrorKind::OutcomeUnknown);
}

TEST_CASE("Demand is summed over all gateways, and a lost gateway's requests no longer count")
{
    auto clock = ManualClock {};
    auto table = DemandTable { {}, clock };
    auto report = proto::ModelWanted {};
    report.rows = { { ServiceId { "s" }, ModelId { "m" }, "a1", 3, 2, 3, 0, 0 } };
    CHECK(table.onReport(NodeId { "g1" }, report));
    CHECK(table.onReport(NodeId { "g2" }, report));
    auto demand = table.of(ServiceId { "s" });
    CHECK(demand.models.at(ModelId { "m" }).waiting == 4);
    CHECK(demand.models.at(ModelId { "m" }).perSecond == doctest::Approx(0.75));
    CHECK(demand.adapters.at({ ModelId { "m" }, "a1" }).running == 6);
    table.onGatewayLost(NodeId { "g1" });
    CHECK(table.of(ServiceId { "s" }).models.at(ModelId { "m" }).waiting == 2);
    clock.advance(8s);
    CHECK(table.of(ServiceId { "s" }).models.at(ModelId { "m" }).perSecond
          == doctest::Approx(0.75 / 2.718).epsilon(0.01));
}

TEST_CASE("Refused and late requests count as demand for the fast window, whichever gateway")
{
    const auto windows = DemandWindows {};
    auto clock = ManualClock {};
    auto table = DemandTable { windows, clock };
    auto report = proto::ModelWanted {};
    report.rows = { { ServiceId { "s" }, ModelId { "m" }, "", 1, 0, 0, 1, 1 } };
    CHECK(table.onReport(NodeId { "g1" }, report));
    report.rows[0].refused = 0;
    CHECK_FALSE(table.onReport(NodeId { "g1" }, report));
    table.onGatewayLost(NodeId { "g1" });
    const auto asked = [&] { return table.of(ServiceId { "s" }).models.at(ModelId { "m" }); };
    CHECK(asked().late == 2);
    clock.advance(windows.fast - 100ms);
    CHECK(asked().refused == 1);
    clock.advance(200ms);
    CHECK(asked().refused == 0);
}

TEST_CASE("When a connection closes, it is known whether a gateway or another control was lost")
{
    auto clock = ManualClock {};
    auto registry = Registry { {}, clock };
    const auto subscribeAs = [&](proto::SubscriberKind kind) {
        auto peer = std::make_shared<FakePeer>("p");
        auto subscribe = proto::Subscribe {};
        subscribe.kind = kind;
        registry.onSubscribe(peer, subscribe);
        return peer;
    };
    const auto gateway = subscribeAs(proto::SubscriberKind::Gateway);
    const auto control = subscribeAs(proto::SubscriberKind::Control);
    CHECK(registry.onClose(gateway) == proto::SubscriberKind::Gateway);
    CHECK(registry.onClose(control) == proto::SubscriberKind::Control);
    CHECK_FALSE(registry.onClose(control).has_value());
}

TEST_CASE("A busy model's rate follows within seconds, a rare one's lasts for the slow window")
{
    const auto windows = DemandWindows {};
    auto clock = ManualClock {};
    auto table = DemandTable { windows, clock };
    const auto tell = [&](const char *model, std::uint32_t arrived) {
        auto report = proto::ModelWanted {};
        report.rows = { { ServiceId { "s" }, ModelId { model }, "", arrived, 0, 0, 0, 0 } };
        table.onReport(NodeId { "g1" }, report);
    };
    const auto rate = [&](const char *model) {
        return table.of(ServiceId { "s" }).models.at(ModelId { model }).perSecond;
    };
    for (auto second = 0; second < 20; ++second) {
        tell("busy", 30);
        clock.advance(1s);
    }
    tell("rare", 1);
    CHECK(rate("busy") == doctest::Approx(30).epsilon(0.2));
    clock.advance(6s); // Its demand has ended.
    CHECK(rate("busy") < 5);
    CHECK(rate("rare") == doctest::Approx(0.125 * std::exp(-0.75)).epsilon(0.01));
}

TEST_CASE("Endpoints known before a restart are sent at once, and dropped unless they announce")
{
    auto rig = RegistryRig {};
    rig.registry.recall({ makeRow("i-1", 7, EndpointState::Ready),
                          makeRow("i-2", 7, EndpointState::Ready),
                          makeRow("i-3", 7, EndpointState::Gone) });
    rig.subscribe(rig.gateway);
    REQUIRE(rig.gateway->updates.back().endpoints.size() == 2);
    rig.registry.onAnnouncement(makeRow("i-1", 8, EndpointState::Ready));
    rig.clock.advance(RegistryOptions {}.table.recallFor);
    rig.registry.tick();
    CHECK(rig.registry.find(EndpointId { "i-1" }) != nullptr);
    CHECK(rig.registry.find(EndpointId { "i-2" }) == nullptr);
}

namespace {

auto isReady(const Registry &registry, const char *id) -> bool
{
    const auto *row = registry.find(EndpointId { id });
    return row != nullptr && row->state == EndpointState::Ready;
}

} // namespace

TEST_CASE("A newer incarnation supersedes the others, and their later messages change nothing")
{
    auto rig = RegistryRig {};
    rig.subscribe(rig.gateway);
    rig.clock.advance(2s);
    rig.registry.onAnnouncement(makeRow("i-1#100", 7, EndpointState::Ready));
    rig.registry.onAnnouncement(makeRow("i-1#200", 1, EndpointState::Ready));
    CHECK_FALSE(isReady(rig.registry, "i-1#100"));
    CHECK(isReady(rig.registry, "i-1#200"));
    rig.registry.tick();
    auto told = std::map<EndpointId, EndpointState> {};
    for (const auto &update : rig.gateway->updates) {
        for (const auto &row : update.endpoints)
            told[row.id] = row.state;
    }
    CHECK(told[EndpointId { "i-1#100" }] == EndpointState::Gone);
    CHECK(told[EndpointId { "i-1#200" }] == EndpointState::Ready);

    SUBCASE("ready")
    {
        rig.registry.onAnnouncement(makeRow("i-1#100", 8, EndpointState::Ready));
        rig.registry.onAnnouncement(makeRow("i-1#50", 8, EndpointState::Ready));
    }
    SUBCASE("draining and gone, acknowledged at once")
    {
        rig.leave(makeRow("i-1#100", 8, EndpointState::Draining));
        rig.leave(makeRow("i-1#50", 8, EndpointState::Gone));
        REQUIRE(rig.ends.size() == 2);
        CHECK(rig.ends[0].ok());
        CHECK(rig.ends[1].ok());
    }
    SUBCASE("reported by another control")
    {
        auto update = proto::ServingUpdate {};
        update.endpoints = { makeRow("i-1#100", 9, EndpointState::Ready),
                             makeRow("i-1#50", 9, EndpointState::Draining) };
        rig.registry.onUpdate(nullptr, update);
    }
    CHECK_FALSE(isReady(rig.registry, "i-1#100"));
    CHECK(isReady(rig.registry, "i-1#200"));
    CHECK(rig.registry.inUse(EndpointId { "i-1" })->id == EndpointId { "i-1#200" });
}

TEST_CASE("An endpoint known from before a restart is superseded by an announced incarnation")
{
    auto rig = RegistryRig {};
    rig.registry.recall({ makeRow("i-1#100", 7, EndpointState::Ready) });
    CHECK(isReady(rig.registry, "i-1#100"));
    rig.registry.onAnnouncement(makeRow("i-1#200", 1, EndpointState::Ready));
    CHECK_FALSE(isReady(rig.registry, "i-1#100"));
}

// The VM's clock was set back; the endpoint must not be ignored forever.
TEST_CASE("An endpoint with an older incarnation is accepted when it persists and the newer one is "
          "silent")
{
    auto rig = RegistryRig {};
    rig.registry.onAnnouncement(makeRow("i-1#200", 7, EndpointState::Ready));
    rig.clock.advance(20s);
    for (auto sequence = 1U; sequence <= 4; ++sequence) {
        rig.registry.onAnnouncement(makeRow("i-1#150", sequence, EndpointState::Ready));
        CHECK(isReady(rig.registry, "i-1#200"));
        rig.clock.advance(1200ms);
    }
    rig.registry.onAnnouncement(makeRow("i-1#150", 5, EndpointState::Ready));
    CHECK_FALSE(isReady(rig.registry, "i-1#200"));
    CHECK(isReady(rig.registry, "i-1#150"));
}

TEST_CASE("Delayed messages of a dead incarnation after a partition are not taken for a clock that "
          "was set back")
{
    auto rig = RegistryRig {};
    rig.registry.recall({ makeRow("i-1#200", 7, EndpointState::Ready) });
    rig.clock.advance(2s);
    for (auto sequence = 1U; sequence <= 9; ++sequence) {
        rig.registry.onAnnouncement(makeRow("i-1#150", sequence, EndpointState::Ready));
        rig.clock.advance(100ms);
    }
    CHECK(isReady(rig.registry, "i-1#200"));
    // The live one is heard now and then, so the other is never accepted.
    for (auto sequence = 8U; sequence <= 30; ++sequence) {
        if (sequence % 2 == 0)
            rig.registry.onAnnouncement(makeRow("i-1#200", sequence, EndpointState::Ready));
        rig.registry.onAnnouncement(makeRow("i-1#150", 10 + sequence, EndpointState::Ready));
        rig.clock.advance(1200ms);
        CHECK(isReady(rig.registry, "i-1#200"));
    }
}

// Three controls hear of incarnations late, in any order, some not at all, and update one another.
TEST_CASE("Whatever is lost or late, no control returns to a superseded incarnation")
{
    constexpr auto controls = std::size_t { 3 };
    for (auto seed = 1U; seed <= 300; ++seed) {
        CAPTURE(seed);
        auto random = Random { seed };
        auto clock = ManualClock {};
        auto registries = std::vector<std::unique_ptr<Registry>> {};
        auto peers = std::vector<std::shared_ptr<FakePeer>> {};
        auto newest = std::vector<Incarnation>(controls);
        for (auto i = std::size_t { 0 }; i < controls; ++i) {
            registries.push_back(std::make_unique<Registry>(RegistryOptions {}, clock));
            peers.push_back(std::make_shared<FakePeer>("p" + std::to_string(i)));
            registries[i]->onSubscribe(peers[i], {});
        }
        const auto noteNewest = [&](std::size_t control) {
            const auto *row = registries[control]->inUse(EndpointId { "i-1" });
            const auto now = row == nullptr ? newest[control] : row->id.incarnation();
            REQUIRE(now >= newest[control]);
            newest[control] = now;
            auto live = 0;
            for (const auto *known : registries[control]->rows())
                live += known->state == EndpointState::Gone ? 0 : 1;
            REQUIRE(live <= 1);
        };
        struct Late
        {
            Instant at;
            std::size_t control;
            catalogue::EndpointRow row;
        };
        auto late = std::vector<Late> {};
        auto incarnation = std::uint64_t { 100 };
        auto sequence = std::uint64_t { 1 };
        for (auto step = 0; step < 120; ++step) {
            if (random.chance(0.1)) {
                ++incarnation;
                sequence = 1;
            }
            const auto drains = random.chance(0.1);
            auto row = makeRow("i-1#" + std::to_string(incarnation), sequence++,
                               drains ? EndpointState::Draining : EndpointState::Ready);
            // At most 3 s late: a silent incarnation is superseded only after that.
            if (!random.chance(0.2))
                late.push_back({ clock.now() + random.below(3000) * 1ms, random.below(controls),
                                 std::move(row) });
            clock.advance(random.below(400) * 1ms);
            for (const auto &item : late) {
                if (item.at <= clock.now()) {
                    registries[item.control]->onAnnouncement(item.row);
                    noteNewest(item.control);
                }
            }
            std::erase_if(late, [&](const auto &item) { return item.at <= clock.now(); });
            for (auto from = std::size_t { 0 }; from < controls; ++from) {
                registries[from]->tick();
                for (const auto &update : std::exchange(peers[from]->updates, {})) {
                    const auto to = random.below(controls);
                    if (to == from || random.chance(0.3))
                        continue;
                    registries[to]->onUpdate(nullptr, update);
                    noteNewest(to);
                }
            }
        }
    }
}

namespace {

auto makeGateway(std::uint16_t port) -> proto::Subscribe
{
    auto subscribe = proto::Subscribe {};
    subscribe.ready = true;
    subscribe.domain = DomainId { "d" };
    subscribe.handoffs = { "10.0.0.1", port };
    return subscribe;
}

/// @return the names in the newest list of owners that the peer was sent
auto newestOwners(const FakePeer &peer) -> std::vector<std::string>
{
    auto result = std::vector<std::string> {};
    for (const auto &update : peer.updates) {
        if (!update.originOwners)
            continue;
        result.clear();
        for (const auto &owner : *update.originOwners)
            result.push_back(owner.node.value());
    }
    return result;
}

} // namespace

TEST_CASE("Gateways get the list of owners when it has changed, at most once a second, and other "
          "controls never")
{
    using Names = std::vector<std::string>;
    auto rig = RegistryRig {};
    auto control = std::make_shared<FakePeer>("n2");
    rig.registry.onSubscribe(control, { .kind = proto::SubscriberKind::Control });
    rig.registry.onSubscribe(rig.gateway, makeGateway(1));
    CHECK(newestOwners(*rig.gateway) == Names { "g1" });
    rig.registry.onSubscribe(rig.other, makeGateway(2));
    // A new subscriber gets what there is at once.
    REQUIRE(rig.other->updates.size() == 1);
    CHECK(newestOwners(*rig.other) == Names { "g1" });
    rig.registry.tick();
    CHECK(newestOwners(*rig.gateway) == Names { "g1" });
    rig.clock.advance(1s);
    rig.registry.tick();
    CHECK(newestOwners(*rig.gateway) == Names { "g1", "g2" });
    CHECK(newestOwners(*rig.other) == Names { "g1", "g2" });
    const auto sent = rig.gateway->updates.size();
    for (auto i = 0; i < 100; ++i) { // It subscribes again, but the list stays the same.
        auto subscribe = makeGateway(1);
        subscribe.reachesNone = i % 2 == 0;
        rig.registry.onSubscribe(rig.gateway, subscribe);
        rig.clock.advance(1s);
        rig.registry.tick();
    }
    CHECK(rig.gateway->updates.size() == sent);
    auto leaving = makeGateway(1);
    leaving.ready = false;
    rig.registry.onSubscribe(rig.gateway, leaving);
    rig.clock.advance(1s);
    rig.registry.tick();
    CHECK(newestOwners(*rig.other) == Names { "g2" });
    rig.registry.onClose(rig.other);
    rig.clock.advance(1s);
    rig.registry.tick();
    CHECK(newestOwners(*rig.gateway).empty());
    for (const auto &update : control->updates)
        CHECK_FALSE(update.originOwners.has_value());
}

TEST_CASE("A gateway that has connected again is listed by its newest address")
{
    auto rig = RegistryRig {};
    auto again = std::make_shared<FakePeer>("g1");
    rig.registry.onSubscribe(rig.gateway, makeGateway(1));
    rig.registry.onSubscribe(again, makeGateway(2));
    rig.registry.onSubscribe(rig.gateway, makeGateway(1));
    rig.clock.advance(1s);
    rig.registry.tick();
    const auto &owners = *again->updates.back().originOwners;
    REQUIRE(owners.size() == 1);
    CHECK(owners[0].address == Address { "10.0.0.1", 2 });
    rig.registry.onClose(rig.gateway);
    rig.clock.advance(1s);
    const auto sent = again->updates.size();
    rig.registry.tick();
    CHECK(again->updates.size() == sent);
}

TEST_CASE("Gateways and controls get software versions when they subscribe, then the changes")
{
    auto rig = RegistryRig {};
    auto control = std::make_shared<FakePeer>("n2");
    rig.registry.onSubscribe(control, { .kind = proto::SubscriberKind::Control });
    rig.subscribe(rig.gateway);
    CHECK(rig.gateway->updates.back().softwareVersions == proto::VersionNews {});
    const auto a = proto::ServiceVersions { ServiceId { "a" }, { "v1" } };
    const auto b = proto::ServiceVersions { ServiceId { "b" }, { "v1", "v2" } };
    rig.registry.applySoftwareVersions({ { a, b }, true });
    CHECK(rig.gateway->updates.back().softwareVersions == proto::VersionNews { { a, b }, true });
    const auto change = proto::VersionNews { { { ServiceId { "b" }, {} } }, false };
    rig.registry.applySoftwareVersions(change);
    CHECK(rig.gateway->updates.back().softwareVersions == change);
    rig.subscribe(rig.other);
    CHECK(rig.other->updates.back().softwareVersions == proto::VersionNews { { a }, false });
    const auto sent = rig.gateway->updates.size();
    for (auto i = 0; i < 100; ++i) {
        rig.clock.advance(20ms);
        rig.registry.tick();
    }
    CHECK(rig.gateway->updates.size() == sent);
    REQUIRE(control->updates.size() == 3);
    CHECK(control->updates[0].softwareVersions == proto::VersionNews {});
    CHECK(control->updates[1].softwareVersions == proto::VersionNews { { a, b }, true });
    CHECK(control->updates[2].softwareVersions == change);
}
