// FleetView against a plain model under random updates, and the rows that may change where an
// endpoint is listed.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "core/log.h"
#include "core/random.h"
#include "gateway/testing/viewmodel.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
using catalogue::EndpointRow;
using catalogue::EndpointState;

namespace {

constexpr auto services = std::size_t { 3 };

auto serviceNamed(std::size_t number) -> ServiceId
{
    return ServiceId { "s" + std::to_string(number) };
}

auto readyRow(const std::string &id, const ServiceId &service, std::uint64_t sequence)
        -> EndpointRow
{
    auto row = EndpointRow {};
    row.id = EndpointId { id };
    row.service = service;
    row.address = { "10.0.0.1", 8080 };
    row.sequence = sequence;
    return row;
}

/// @return the row of a control at which an endpoint deregistered that it did not know
auto bareGoneRow(const EndpointId &id) -> EndpointRow
{
    auto row = EndpointRow {};
    row.id = id;
    row.state = EndpointState::Gone;
    return row;
}

auto updateOf(std::vector<EndpointRow> rows) -> proto::ServingUpdate
{
    auto update = proto::ServingUpdate {};
    update.endpoints = std::move(rows);
    return update;
}

auto idsOf(FleetView &view, const ServiceId &service) -> std::set<EndpointId>
{
    auto result = std::set<EndpointId> {};
    for (const auto *entry : view.of(service))
        result.insert(entry->row.id);
    return result;
}

/// Applies random updates to a view and to its model.
class RandomUpdates
{
public:
    explicit RandomUpdates(std::uint64_t seed)
        : random_(seed)
    { }

    auto step() -> void
    {
        switch (random_.below(10)) {
        case 0:
            clock_.advance(std::chrono::seconds { random_.below(40) });
            applyRows(0);
            break;
        case 1:
            applyBeat();
            break;
        case 2:
            applyWithdrawal();
            break;
        case 3:
            if (random_.below(20) == 0)
                reset();
            break;
        default:
            clock_.advance(std::chrono::milliseconds { random_.below(2000) });
            applyRows(1 + random_.below(3));
        }
    }

    auto check() -> void
    {
        for (std::size_t i = 0; i < services; ++i) {
            CAPTURE(i);
            CHECK(idsOf(view_, serviceNamed(i)) == model_.of(serviceNamed(i)));
        }
        CHECK(view_.size() == model_.size());
    }

private:
    auto randomId() -> EndpointId
    {
        const auto name = "i-" + std::to_string(random_.below(8));
        return EndpointId { name, Incarnation { random_.below(3) } };
    }

    auto randomRow() -> EndpointRow
    {
        auto row = EndpointRow {};
        row.id = randomId();
        row.service = serviceNamed(random_.below(services));
        row.address = { "10.0.0.1", static_cast<std::uint16_t>(1 + random_.below(12)) };
        row.sequence = random_.below(6) == 0 ? random_.below(20) : ++sequence_;
        const auto draw = random_.below(10);
        if (draw == 0)
            return bareGoneRow(row.id);
        if (draw == 1)
            row.state = EndpointState::Gone;
        else if (draw == 2)
            row.state = EndpointState::Draining;
        return row;
    }

    auto applyRows(std::size_t count) -> void
    {
        auto rows = std::vector<EndpointRow> {};
        for (std::size_t i = 0; i < count; ++i)
            rows.push_back(randomRow());
        if (random_.below(4) == 0)
            view_.applyWatched(rows, false);
        else
            view_.apply(updateOf(rows));
        // An update's rows of endpoints that are gone are applied first.
        std::stable_partition(rows.begin(), rows.end(),
                              [](const auto &row) { return row.state == EndpointState::Gone; });
        for (const auto &row : rows)
            model_.apply(row);
        model_.forgetOld();
    }

    auto applyBeat() -> void
    {
        const auto beat = catalogue::EndpointBeat { randomId(), random_.below(sequence_ + 1) };
        auto update = proto::ServingUpdate {};
        update.beats.push_back(beat);
        view_.apply(update);
        model_.applyBeat(beat.id, beat.sequence);
        model_.forgetOld();
    }

    auto applyWithdrawal() -> void
    {
        auto update = proto::ServingUpdate {};
        update.withdrawn.push_back(randomId());
        view_.apply(update);
        model_.withdraw(update.withdrawn.front());
        model_.forgetOld();
    }

    auto reset() -> void
    {
        view_.withdrawAll();
        model_.withdrawAll();
    }

    ManualClock clock_;
    Random random_;
    FleetView view_ { {}, clock_ };
    ViewModel model_ { clock_ };
    std::uint64_t sequence_ = 0;
};

} // namespace

// Guards against one endpoint's departure making all requests of its service fail.
TEST_CASE("The other endpoints of a service are found after one is gone by a row that lacks its "
          "service, and is forgotten")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto service = serviceNamed(0);
    view.apply(updateOf({ readyRow("i-1", service, 1) }));
    auto other = readyRow("i-2", service, 1);
    other.address.port = 8081;
    view.apply(updateOf({ other }));
    view.apply(updateOf({ bareGoneRow(EndpointId { "i-1" }) }));
    CHECK(view.find(EndpointId { "i-1" })->row.service == service);
    for (auto second = 0; second < 90; ++second) {
        clock.advance(1s);
        auto update = proto::ServingUpdate {};
        update.beats.push_back({ other.id, 1 });
        view.apply(update);
        CHECK(idsOf(view, service) == std::set { other.id });
    }
    CHECK(view.find(EndpointId { "i-1" }) == nullptr);
}

// Guards against requests reaching an endpoint of another service.
TEST_CASE("An endpoint that announces another service is found under that one alone")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    view.apply(updateOf({ readyRow("i-1", serviceNamed(0), 1) }));
    view.apply(updateOf({ readyRow("i-1", serviceNamed(1), 2) }));
    CHECK(idsOf(view, serviceNamed(0)).empty());
    CHECK(idsOf(view, serviceNamed(1)) == std::set { EndpointId { "i-1" } });
    view.withdrawAll();
    clock.advance(20s);
    view.apply({});
    CHECK(view.size() == 0);
    CHECK(idsOf(view, serviceNamed(0)).empty());
    CHECK(idsOf(view, serviceNamed(1)).empty());
}

TEST_CASE("The endpoints of each service are those of a plain model, whatever rows arrive")
{
    static const auto logging = startLogging({ LogLevel::Error, {}, 0, {} });
    static_cast<void>(logging);
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        auto updates = RandomUpdates { seed };
        for (auto i = 0; i < 300; ++i) {
            CAPTURE(i);
            updates.step();
            updates.check();
        }
    }
}
