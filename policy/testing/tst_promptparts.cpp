// Tests which parts of prompts are refused after endpoints ended under requests that hold them, in
// virtual time.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/random.h"
#include "policy/quarantine.h"

using namespace figrack;
using namespace figrack::policy;
using catalogue::WorkId;

namespace {

constexpr auto start = Millis { 1'000'000 };
constexpr auto apart = Millis { 1000 };
const auto service = ServiceId { "s" };

auto partOf(std::uint64_t id) -> WorkId
{
    return catalogue::workIdOfPart(service, id);
}

auto endpointOf(std::uint64_t number) -> EndpointId
{
    return EndpointId { "i-" + std::to_string(number) };
}

auto settled(Millis at) -> Millis
{
    return at + QuarantineOptions {}.partEndDelay;
}

/// Sends the changes of one table to another one.
auto exchange(Quarantine &from, Quarantine &to, Millis now) -> void
{
    for (const auto &row : from.takeLocalChanges(now))
        to.merge(row, now);
}

/// A request in progress in a WaveWorld.
struct Running
{
    std::vector<WorkId> parts;
    std::size_t endpoint = 0;
    Millis begunAt = 0;
};

/// Sound requests at many endpoints, of which a quarter ends at once, three times.
class WaveWorld
{
public:
    static constexpr auto endpoints = std::size_t { 240 };
    static constexpr auto perEndpoint = std::size_t { 20 };
    static constexpr auto unbegun = std::size_t { 4 }; ///< Of these.
    static constexpr auto beginsAfter = Millis { 300 };
    static constexpr auto goesOnAfter = Millis { 500 };
    static constexpr auto endingShare = 0.25;
    static constexpr auto betweenWaves = Millis { 400 };

    explicit WaveWorld(std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t i = 0; i < endpoints * perEndpoint; ++i) {
            auto running = Running {};
            // One part of a route, one of a group of callers, one of two requests.
            running.parts
                    = { partOf(i % 4), partOf(100 + random_.below(300)), partOf(10'000 + i / 2) };
            running.endpoint = i / perEndpoint;
            running.begunAt = i % perEndpoint < unbegun ? start + beginsAfter : start - goesOnAfter;
            running_.push_back(running);
        }
    }
    /// @return the most parts that are in quarantine at any time
    auto play() -> std::size_t
    {
        auto most = std::size_t { 0 };
        constexpr auto step = Millis { 50 };
        constexpr auto waves = 3;
        for (auto now = start; now < start + 5000; now += step) {
            const auto passed = now - start;
            if (passed % betweenWaves == 0 && passed / betweenWaves < waves)
                endSome(now);
            goOn(now);
            most = std::max(most, table_.quarantined(now));
        }
        return most;
    }

private:
    auto endSome(Millis now) -> void
    {
        auto ends = std::vector<bool>(endpoints, false);
        for (std::size_t i = 0; i < endpoints; ++i)
            ends[i] = random_.chance(endingShare);
        ++wave_;
        for (auto &running : running_) {
            if (!ends[running.endpoint])
                continue;
            if (now - running.begunAt < goesOnAfter) {
                const auto endpoint = endpointOf(running.endpoint + wave_ * endpoints);
                for (const auto &part : running.parts)
                    table_.onPartEnd(part, service, endpoint, now);
            }
            running.endpoint = random_.below(endpoints);
            running.begunAt = now + beginsAfter;
        }
    }
    auto goOn(Millis now) -> void
    {
        for (const auto &running : running_) {
            if (now - running.begunAt >= goesOnAfter)
                table_.onPartsGoOn(running.parts, now);
        }
    }

    Random random_;
    Quarantine table_ { {} };
    std::vector<Running> running_;
    std::size_t wave_ = 0;
};

} // namespace

TEST_CASE("A part is known by service and number, whatever else its requests hold")
{
    CHECK(partOf(7) == partOf(7));
    CHECK(partOf(7) != partOf(8));
    CHECK(partOf(7) != catalogue::workIdOfPart(ServiceId { "t" }, 7));
    CHECK_FALSE(partOf(0).isNone());
}

TEST_CASE("A part runs one at a time from its second end on, and not at all from its third")
{
    auto table = Quarantine { {} };
    const auto part = partOf(7);
    table.onPartEnd(part, service, endpointOf(1), start);
    CHECK(table.verdict(part, settled(start)).standing == Standing::Clear);
    CHECK(table.isSuspected(part));
    table.onPartEnd(part, service, endpointOf(2), start + apart);
    CHECK(table.verdict(part, settled(start + apart)).standing == Standing::Suspect);
    table.onPartEnd(part, service, endpointOf(3), start + 2 * apart);
    // Others may still say that an answer to it goes on.
    CHECK(table.verdict(part, start + 2 * apart).standing == Standing::Suspect);
    const auto verdict = table.verdict(part, settled(start + 2 * apart));
    CHECK(verdict.standing == Standing::Quarantined);
    CHECK(verdict.releaseIn > 0);
    CHECK(table.verdict({}, { partOf(8), part }, settled(start + 2 * apart)).standing
          == Standing::Quarantined);
    const auto released = start + 2 * apart + QuarantineOptions {}.firstPeriod;
    CHECK(table.verdict(part, released).standing == Standing::Suspect);
    table.onPartEnd(part, service, endpointOf(4), released);
    CHECK(table.verdict(part, settled(released)).standing == Standing::Quarantined);
}

TEST_CASE("Ends of a part that are close together count as one")
{
    auto table = Quarantine { {} };
    for (std::uint64_t i = 0; i < 10; ++i)
        table.onPartEnd(partOf(7), service, endpointOf(i), start + static_cast<Millis>(i * 10));
    CHECK(table.verdict(partOf(7), start + 1000).standing == Standing::Clear);
}

TEST_CASE("Five ends of a part are enough, also in quick succession")
{
    auto table = Quarantine { {} };
    constexpr auto quick = Millis { 200 };
    for (auto i = Millis { 0 }; i < 5; ++i) {
        const auto now = start + i * quick;
        CHECK(table.verdict(partOf(7), settled(now)).standing != Standing::Quarantined);
        table.onPartEnd(partOf(7), service, endpointOf(static_cast<std::uint64_t>(i)), now);
    }
    CHECK(table.verdict(partOf(7), settled(start + 4 * quick)).standing == Standing::Quarantined);
}

TEST_CASE("Ends of a part that follow each other without a pause count apart")
{
    auto table = Quarantine { {} };
    for (std::uint64_t i = 0; i < 10; ++i)
        table.onPartEnd(partOf(7), service, endpointOf(i), start + static_cast<Millis>(i * 100));
    CHECK(table.verdict(partOf(7), start + 1500).standing == Standing::Quarantined);
}

TEST_CASE("An answer that goes on clears all parts of its request, at every gateway")
{
    auto gateway = Quarantine { {} };
    auto other = Quarantine { {} };
    auto control = Quarantine { {} };
    const auto parts = std::vector { partOf(1), partOf(2) };
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto now = start + static_cast<Millis>(i) * apart;
        for (const auto &part : parts)
            gateway.onPartEnd(part, service, endpointOf(i), now);
        exchange(gateway, control, now);
    }
    const auto now = settled(start + 2 * apart);
    CHECK(control.verdict(parts[0], now).standing == Standing::Quarantined);
    for (const auto &row : control.rows(2, now))
        other.merge(row, now);
    CHECK(other.onPartsGoOn(parts, now));
    exchange(other, control, now);
    for (const auto &part : parts)
        CHECK(control.verdict(part, now).standing == Standing::Clear);
}

TEST_CASE("A part whose answers go on elsewhere is not refused before that is known")
{
    // The control learns of the ends at once, and of the answers after a round trip.
    constexpr auto roundTrip = Millis { 150 };
    auto control = Quarantine { {} };
    auto busy = Quarantine { {} };
    const auto part = partOf(7);
    auto number = std::uint64_t { 0 };
    for (auto now = start; now < start + 20 * apart; now += apart) {
        busy.onPartsGoOn({ part }, now);
        control.onPartEnd(part, service, endpointOf(++number), now);
        for (const auto &row : control.rows(1, now + roundTrip))
            busy.merge(row, now + roundTrip);
        CHECK(control.verdict(part, now + roundTrip).standing == Standing::Clear);
        exchange(busy, control, now + roundTrip);
        CHECK(control.verdict(part, now + apart - 1).standing == Standing::Clear);
    }
}

TEST_CASE("Tables agree on when each end of a part was, also a table that starts later")
{
    auto gateway = Quarantine { {} };
    auto control = Quarantine { {} };
    for (std::uint64_t i = 0; i < 3; ++i)
        gateway.onPartEnd(partOf(7), service, endpointOf(i),
                          start + static_cast<Millis>(i) * apart);
    const auto later = start + 60'000;
    for (const auto &row : gateway.rows(2, later))
        control.merge(row, later);
    CHECK(control.verdict(partOf(7), later).standing == Standing::Quarantined);
    CHECK(control.verdict(partOf(7), later).releaseIn
          == gateway.verdict(partOf(7), later).releaseIn);
}

TEST_CASE("Two harmful parts at once are both refused, and no part beside them")
{
    auto table = Quarantine { {} };
    auto number = std::uint64_t { 0 };
    for (auto i = Millis { 0 }; i < 3; ++i) {
        for (const auto harmful : { 7, 8 }) {
            const auto now = start + i * apart;
            table.onPartsGoOn({ partOf(1) }, now);
            const auto endpoint = endpointOf(++number);
            for (const auto part :
                 { partOf(1), partOf(static_cast<std::uint64_t>(harmful)), partOf(1000 + number) })
                table.onPartEnd(part, service, endpoint, now);
        }
    }
    const auto now = settled(start + 2 * apart);
    CHECK(table.quarantined(now) == 2);
    CHECK(table.verdict(partOf(7), now).standing == Standing::Quarantined);
    CHECK(table.verdict(partOf(8), now).standing == Standing::Quarantined);
}

TEST_CASE("Three waves of ends refuse no sound part")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto world = WaveWorld { seed };
        CHECK(world.play() == 0);
    }
}
