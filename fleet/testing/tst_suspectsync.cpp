// Tests how observed ends become known to all gateways, without a network: with real gateway and
// control components, delayed messages, and controls that hang or restart; in virtual time.

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coord/testing/fakedisk.h"
#include "core/random.h"
#include "core/serial.h"
#include "fleet/suspectsync.h"
#include "fleet/testing/fakepeer.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using fleet::testing::LinkedPeer;

namespace {

/// Time in which all gateways must refuse the work after its third end: the shortest time after
/// which our users' platform considers a process as reached.
constexpr auto contactTime = Duration { 3s };
constexpr auto tickEvery = Duration { 15ms };

class Fleet
{
public:
    Fleet(std::size_t gateways, std::size_t controls, std::uint64_t seed)
        : random_(seed)
        , gateways_(gateways)
        , controls_(controls)
    {
        for (std::size_t i = 0; i < controls; ++i)
            startControl(i);
        for (std::size_t i = 0; i < gateways; ++i)
            gateways_[i] = std::make_unique<policy::Quarantine>(policy::QuarantineOptions {});
        for (std::size_t i = 0; i < controls; ++i)
            connect(i);
        run(200ms);
    }

    /// An endpoint ends because of the work; the gateway observes it.
    auto end(std::size_t gateway, const catalogue::WorkIds &work) -> void
    {
        auto &table = *gateways_[gateway];
        table.onEnd(work, 1, EndpointId { "i-" + std::to_string(++ended_) }, now());
        tellControls(gateway, table.takeLocalChanges(now()));
    }

    auto standStill(std::size_t control, bool still) -> void { controls_[control].still = still; }

    /// Restarts the process of a control; it keeps its disk.
    auto restartControl(std::size_t control) -> void
    {
        startControl(control);
        connect(control);
    }

    /// Restarts the process of a gateway, without any state.
    auto restartGateway(std::size_t gateway) -> void
    {
        gateways_[gateway] = std::make_unique<policy::Quarantine>(policy::QuarantineOptions {});
        for (std::size_t i = 0; i < controls_.size(); ++i)
            connectGateway(i, gateway);
    }

    auto run(Duration duration) -> void
    {
        const auto until = clock_.now() + duration;
        while (clock_.now() < until) {
            clock_.advance(tickEvery);
            deliver();
            for (auto &control : controls_) {
                if (!control.still)
                    control.sync->tick();
            }
        }
    }

    /// @return the number of gateways that refuse the work
    auto refusing(const catalogue::WorkIds &work) const -> std::size_t
    {
        auto result = std::size_t { 0 };
        for (const auto &gateway : gateways_) {
            const auto standing = gateway->verdict(work, policy::millisOf(clock_.now())).standing;
            result += standing == policy::Standing::Quarantined ? 1 : 0;
        }
        return result;
    }

    /// @return time until all gateways refuse the work; nullopt: longer than the contact time
    auto untilAllRefuse(const catalogue::WorkIds &work) -> std::optional<Duration>
    {
        const auto begun = clock_.now();
        while (clock_.now() - begun <= contactTime) {
            if (refusing(work) == gateways_.size())
                return clock_.now() - begun;
            run(tickEvery);
        }
        return std::nullopt;
    }

    auto bytesToGateways() const -> std::size_t { return bytesToGateways_; }
    auto gatewayCount() const -> std::size_t { return gateways_.size(); }

private:
    struct Control
    {
        coord::testing::FakeDisk disk;
        std::unique_ptr<LastKnownStore> store;
        std::unique_ptr<policy::Quarantine> quarantine;
        std::unique_ptr<Registry> registry;
        std::unique_ptr<SuspectSync> sync;
        std::vector<proto::Envelope> held; ///< Messages that arrived while it hung.
        bool still = false;
    };
    struct Message
    {
        bool toControl = false;
        std::size_t target = 0;
        proto::Envelope envelope;
    };

    auto now() const -> policy::Millis { return policy::millisOf(clock_.now()); }

    static auto nameOf(std::size_t control) -> std::string { return "c" + std::to_string(control); }

    auto startControl(std::size_t index) -> void
    {
        auto &control = controls_[index];
        control.sync.reset();
        control.store.reset(); // Waits for pending writes.
        static_cast<void>(control.disk.makeFolder("data"));
        control.store = std::make_unique<LastKnownStore>("data", control.disk);
        control.quarantine = std::make_unique<policy::Quarantine>(policy::QuarantineOptions {});
        auto options = RegistryOptions {};
        options.self = NodeId { nameOf(index) };
        control.registry = std::make_unique<Registry>(options, clock_);
        auto group = GroupView {};
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            auto member = coord::Member {};
            member.node = NodeId { nameOf(i) };
            group.controls.push_back(member);
        }
        control.registry->setGroup(group);
        control.sync = std::make_unique<SuspectSync>(SuspectSyncOptions {}, *control.quarantine,
                                                     *control.registry, *control.store, clock_);
        control.sync->recall();
        control.held.clear();
    }

    /// Connects a control that has just started with all others, in both directions.
    auto connect(std::size_t control) -> void
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i)
            connectGateway(control, i);
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            if (i == control)
                continue;
            subscribe(control, true, i, "from-" + nameOf(i));
            subscribe(i, true, control, "from-" + nameOf(control));
        }
    }

    auto connectGateway(std::size_t control, std::size_t gateway) -> void
    {
        subscribe(control, false, gateway, "g" + std::to_string(gateway));
        send(true, control, { 0, proto::SuspectNews { gateways_[gateway]->rows(1, now()) } });
    }

    auto subscribe(std::size_t control, bool isControl, std::size_t subscriber,
                   const std::string &name) -> void
    {
        auto peer = std::make_shared<LinkedPeer>(
                name, [this, isControl, subscriber](const proto::Envelope &envelope) {
                    send(isControl, subscriber, envelope);
                });
        auto message = proto::Subscribe {};
        message.kind = isControl ? proto::SubscriberKind::Control : proto::SubscriberKind::Gateway;
        controls_[control].registry->onSubscribe(peer, message);
        controls_[control].sync->onSubscribed(peer, message.kind);
    }

    auto tellControls(std::size_t /*gateway*/, const std::vector<catalogue::SuspectRow> &rows)
            -> void
    {
        if (rows.empty())
            return;
        for (std::size_t i = 0; i < controls_.size(); ++i)
            send(true, i, { 0, proto::SuspectNews { rows } });
    }

    auto send(bool toControl, std::size_t target, const proto::Envelope &envelope) -> void
    {
        if (!std::holds_alternative<proto::SuspectNews>(envelope.payload))
            return;
        const auto delay = std::chrono::milliseconds { 1 + random_.below(40) };
        onTheWay_.emplace(clock_.now() + delay, Message { toControl, target, envelope });
        if (!toControl)
            bytesToGateways_ += serialize(std::get<proto::SuspectNews>(envelope.payload)).size();
    }

    auto deliver() -> void
    {
        while (!onTheWay_.empty() && onTheWay_.begin()->first <= clock_.now()) {
            const auto message = onTheWay_.extract(onTheWay_.begin()).mapped();
            if (message.toControl)
                deliverToControl(message);
            else
                deliverToGateway(message);
        }
        for (auto &control : controls_) {
            if (control.still)
                continue;
            for (const auto &envelope : std::exchange(control.held, {}))
                control.sync->onNews(std::get<proto::SuspectNews>(envelope.payload));
        }
    }

    auto deliverToControl(const Message &message) -> void
    {
        auto &control = controls_[message.target];
        if (control.still)
            control.held.push_back(message.envelope);
        else
            control.sync->onNews(std::get<proto::SuspectNews>(message.envelope.payload));
    }

    auto deliverToGateway(const Message &message) -> void
    {
        auto &table = *gateways_[message.target];
        for (const auto &row : std::get<proto::SuspectNews>(message.envelope.payload).rows)
            table.merge(row, now());
        tellControls(message.target, table.takeLocalChanges(now()));
    }

    ManualClock clock_;
    Random random_;
    std::vector<std::unique_ptr<policy::Quarantine>> gateways_;
    std::vector<Control> controls_;
    std::multimap<Instant, Message> onTheWay_;
    std::size_t bytesToGateways_ = 0;
    std::uint64_t ended_ = 0;
};

auto poison() -> catalogue::WorkIds
{
    return catalogue::workIdsOf({ "POST", "h", "/p", "", "a", "poison" });
}

auto workNumber(std::uint64_t number) -> catalogue::WorkIds
{
    return catalogue::workIdsOf({ "POST", "h", "/p", "", "a", std::to_string(number) });
}

/// Each of three gateways observes one end.
auto endThree(Fleet &fleet, Duration between) -> void
{
    for (const std::size_t gateway : { 0, 1, 2 }) {
        fleet.end(gateway, poison());
        fleet.run(between);
    }
}

} // namespace

TEST_CASE("After the third end, observed by a third gateway, all gateways refuse within the "
          "contact time")
{
    for (const auto gateways : { std::size_t { 8 }, std::size_t { 68 }, std::size_t { 300 } }) {
        CAPTURE(gateways);
        auto fleet = Fleet { gateways, 9, gateways };
        SUBCASE("one after another")
        {
            endThree(fleet, 500ms);
        }
        SUBCASE("at the same time")
        {
            endThree(fleet, Duration::zero());
        }
        CHECK(fleet.untilAllRefuse(poison()).has_value());
    }
}

TEST_CASE("The same holds while controls hang, as many as may be lost, and one more")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        auto fleet = Fleet { 8, 5, seed };
        fleet.standStill(seed % 5, true);
        fleet.standStill((seed / 5) % 5, true);
        endThree(fleet, 300ms);
        CHECK(fleet.untilAllRefuse(poison()).has_value());
    }
}

TEST_CASE("A gateway that restarts knows the suspects before its first question is answered")
{
    auto fleet = Fleet { 8, 5, 1 };
    endThree(fleet, 300ms);
    REQUIRE(fleet.untilAllRefuse(poison()).has_value());
    fleet.restartGateway(5);
    fleet.run(100ms);
    CHECK(fleet.refusing(poison()) == fleet.gatewayCount());
}

TEST_CASE("Work in quarantine stays there when all controls restart")
{
    auto fleet = Fleet { 8, 5, 1 };
    endThree(fleet, 300ms);
    REQUIRE(fleet.untilAllRefuse(poison()).has_value());
    fleet.run(1s); // The table is written.
    SUBCASE("and gateways keep running")
    {
        for (std::size_t i = 0; i < 5; ++i)
            fleet.restartControl(i);
    }
    SUBCASE("and gateways restart, too")
    {
        for (std::size_t i = 0; i < 5; ++i)
            fleet.restartControl(i);
        for (std::size_t i = 0; i < fleet.gatewayCount(); ++i)
            fleet.restartGateway(i);
    }
    fleet.run(200ms);
    CHECK(fleet.refusing(poison()) == fleet.gatewayCount());
}

TEST_CASE("Ends that were observed before and after controls restarted are summed")
{
    auto fleet = Fleet { 8, 5, 1 };
    fleet.end(0, poison());
    fleet.run(300ms);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.restartControl(i);
    fleet.end(1, poison());
    fleet.end(2, poison());
    CHECK(fleet.untilAllRefuse(poison()).has_value());
}

TEST_CASE("When a fifth of 240 endpoints end at once gateways get no messages, harmful work costs "
          "few")
{
    auto fleet = Fleet { 68, 9, 1 };
    constexpr auto suspects = std::uint64_t { 960 }; // 48 endpoints with 20 requests each.
    for (std::uint64_t i = 0; i < suspects; ++i)
        fleet.end(i % fleet.gatewayCount(), workNumber(i));
    fleet.run(1s);
    CHECK(fleet.bytesToGateways() == 0);
    endThree(fleet, 300ms);
    REQUIRE(fleet.untilAllRefuse(poison()).has_value());
    // Four rows (two IDs of the work, at the second and the third end) from three controls each. A
    // node may use 25 KB a second for control; harmful work may take a twelfth of that for one
    // second.
    CHECK(fleet.bytesToGateways() / fleet.gatewayCount() < 2048);
}
