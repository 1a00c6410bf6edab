// Tests that the collector counts each request of several routers once, even if responses are
// delayed, duplicated or lost; and tests of the reports and the idle meter.

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "core/clock.h"
#include "core/random.h"
#include "report/burn.h"
#include "report/collector.h"
#include "report/idle.h"
#include "report/recorder.h"

namespace figrack::report {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

auto randomRecord(Random &random) -> RequestRecord
{
    constexpr auto classes = std::array { "urgent", "routine", "patient" };
    auto record = RequestRecord {};
    record.classId = ClassId { classes[random.below(classes.size())] };
    record.target = "model-" + std::to_string(random.below(5));
    record.end = static_cast<RequestEnd>(random.below(4));
    if (record.end == RequestEnd::Refused || record.end == RequestEnd::Failed)
        record.refusal = static_cast<ErrorKind>(random.below(errorKindCount));
    record.startMs = static_cast<std::int64_t>(random.below(1ULL << random.below(18)));
    record.finishMs = record.startMs + static_cast<std::int64_t>(random.below(20000));
    record.metStart = record.end == RequestEnd::Answered && random.chance(0.9);
    record.metFinish = record.metStart && random.chance(0.9);
    record.cold = random.chance(0.1);
    record.parts.load = static_cast<std::int64_t>(random.below(9000));
    return record;
}

auto requireSameRow(const Row &left, const Row &right) -> void
{
    CHECK(left.counters == right.counters);
    CHECK(left.reasons == right.reasons);
    CHECK(left.coldMs == right.coldMs);
    for (const auto share : { 0.1, 0.5, 0.95, 0.99, 0.999 }) {
        CHECK(left.start.quantile(share) == right.start.quantile(share));
        CHECK(left.finish.quantile(share) == right.finish.quantile(share));
        CHECK(left.coldStart.quantile(share) == right.coldStart.quantile(share));
    }
}

auto requireSame(const MergedCounts &left, const MergedCounts &right) -> void
{
    REQUIRE(left.rows.size() == right.rows.size());
    for (const auto &[key, row] : left.rows) {
        REQUIRE(right.rows.contains(key));
        requireSameRow(row, right.rows.at(key));
    }
}

auto eligible(const MergedCounts &counts) -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto &[key, row] : counts.rows)
        sum += row[Counter::Eligible];
    return sum;
}

auto answered(std::int64_t startMs = 500) -> RequestRecord
{
    auto record = RequestRecord {};
    record.classId = ClassId { "urgent" };
    record.target = "plaques";
    record.startMs = startMs;
    record.finishMs = 2 * startMs;
    record.metStart = true;
    record.metFinish = true;
    return record;
}

constexpr auto threeDays = hours { 72 };

} // namespace

TEST_CASE("counts split over routers equal one recorder, with lost, duplicated and reordered "
          "responses")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 12; ++seed) {
        auto random = Random { seed };
        auto clock = ManualClock {};
        auto whole = Recorder { clock };
        const auto routers = 1 + random.below(6);
        auto parts = std::vector<std::unique_ptr<Recorder>> {};
        for (auto i = std::size_t { 0 }; i < routers; ++i)
            parts.push_back(std::make_unique<Recorder>(clock));
        auto collector = Collector { clock, {} };
        const auto nodeOf = [](std::size_t i) { return NodeId { "r" + std::to_string(i) }; };
        auto delayed = std::vector<std::pair<std::size_t, std::string>> {};
        for (auto step = 0; step < 1500; ++step) {
            const auto record = randomRecord(random);
            whole.record(record);
            parts[random.below(routers)]->record(record);
            clock.advance(milliseconds { random.below(1ULL << random.below(20)) });
            if (!random.chance(0.1))
                continue;
            const auto i = random.below(routers);
            const auto bytes
                    = parts[i]->encode(collector.wantedWindow(nodeOf(i), Incarnation { 1 }));
            if (random.chance(0.3))
                delayed.emplace_back(i, bytes); // Delivered later or never.
            else
                CHECK(collector.absorb(nodeOf(i), Incarnation { 1 }, bytes).ok());
            if (!delayed.empty() && random.chance(0.3)) {
                const auto which = random.below(delayed.size());
                const auto &[from, old] = delayed[which];
                CHECK(collector.absorb(nodeOf(from), Incarnation { 1 }, old).ok());
            }
        }
        auto single = Collector { clock, {} };
        CHECK(single.absorb(NodeId { "w" }, Incarnation { 1 }, whole.encode(threeDays)).ok());
        for (auto i = std::size_t { 0 }; i < routers; ++i) {
            const auto bytes
                    = parts[i]->encode(collector.wantedWindow(nodeOf(i), Incarnation { 1 }));
            CHECK(collector.absorb(nodeOf(i), Incarnation { 1 }, bytes).ok());
        }
        for (const auto window : { Duration { minutes { 5 } }, Duration { hours { 1 } },
                                   Duration { hours { 6 } }, Duration { threeDays } })
            requireSame(collector.merged(window), single.merged(window));
    }
}

TEST_CASE("a router restart loses only unreported counts, and counts no request twice")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    const auto node = NodeId { "r" };
    auto before = std::string {};
    {
        auto recorder = Recorder { clock };
        for (auto i = 0; i < 100; ++i)
            recorder.record(answered());
        before = recorder.encode(threeDays);
        CHECK(collector.absorb(node, Incarnation { 1 }, before).ok());
        clock.advance(seconds { 5 });
        recorder.record(answered()); // Never reported: the documented loss.
    }
    clock.advance(seconds { 3 });
    auto recorder = Recorder { clock };
    recorder.record(answered());
    CHECK(collector.wantedWindow(node, Incarnation { 2 }) == threeDays);
    CHECK(collector.absorb(node, Incarnation { 2 }, recorder.encode(threeDays)).ok());
    CHECK(eligible(collector.merged(minutes { 5 })) == 101);
    // The last response of the old instance arrives a second time.
    CHECK(errorKind(collector.absorb(node, Incarnation { 1 }, before)) == ErrorKind::Conflict);
    CHECK(eligible(collector.merged(minutes { 5 })) == 101);
    clock.advance(hours { 80 });
    CHECK(eligible(collector.merged(threeDays)) == 0);
}

TEST_CASE("a collector requests all counts after a long gap, otherwise the last minute")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    const auto node = NodeId { "r" };
    auto recorder = Recorder { clock };
    CHECK(collector.wantedWindow(node, Incarnation { 1 }) == threeDays);
    CHECK(collector.absorb(node, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    clock.advance(seconds { 10 });
    CHECK(collector.wantedWindow(node, Incarnation { 1 }) == minutes { 1 });
    CHECK(collector.wantedWindow(node, Incarnation { 2 }) == threeDays);
    clock.advance(minutes { 5 });
    CHECK(collector.wantedWindow(node, Incarnation { 1 }) == threeDays);
}

TEST_CASE("a new leader gets all counts of running routers; saved state adds those of ended ones")
{
    auto clock = ManualClock {};
    auto first = Collector { clock, {} };
    {
        auto gone = Recorder { clock };
        for (auto i = 0; i < 30; ++i)
            gone.record(answered());
        CHECK(first.absorb(NodeId { "a" }, Incarnation { 1 }, gone.encode(threeDays)).ok());
    }
    clock.advance(minutes { 20 });
    auto reborn = Recorder { clock };
    auto living = Recorder { clock };
    for (auto i = 0; i < 50; ++i)
        living.record(answered());
    CHECK(first.absorb(NodeId { "a" }, Incarnation { 2 }, reborn.encode(threeDays)).ok());
    CHECK(first.absorb(NodeId { "b" }, Incarnation { 1 }, living.encode(threeDays)).ok());
    clock.advance(minutes { 2 });
    const auto saved = first.save();
    clock.advance(minutes { 1 });
    living.record(answered());

    auto empty = Collector { clock, {} };
    CHECK(empty.absorb(NodeId { "b" }, Incarnation { 1 }, living.encode(threeDays)).ok());
    CHECK(eligible(empty.merged(threeDays)) == 51); // The counts of the ended instance are lost.

    auto restored = Collector { clock, {} };
    CHECK(restored.restore(saved).ok());
    CHECK(eligible(restored.merged(threeDays)) == 80);
    CHECK(eligible(restored.merged(minutes { 5 })) == 50);
    CHECK(restored.absorb(NodeId { "b" }, Incarnation { 1 }, living.encode(threeDays)).ok());
    CHECK(eligible(restored.merged(threeDays)) == 81);
    CHECK(eligible(restored.merged(hours { 1 })) == 81);
    CHECK(errorKind(restored.restore("nonsense")) == ErrorKind::Malformed);
    CHECK(eligible(restored.merged(threeDays)) == 81);
}

TEST_CASE("damaged saved state is rejected and leaves the collector unchanged")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    auto recorder = Recorder { clock };
    for (auto i = 0; i < 20; ++i) {
        recorder.record(answered(i * 100));
        clock.advance(minutes { 9 });
    }
    CHECK(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    const auto good = collector.save();
    auto random = Random { 23 };
    auto victim = Collector { clock, {} };
    for (auto i = 0; i < 20000; ++i) {
        auto bytes = good;
        if (random.chance(0.2))
            bytes.resize(random.below(bytes.size()));
        for (auto flips = random.below(8) + 1; flips > 0 && !bytes.empty(); --flips)
            bytes[random.below(bytes.size())] = static_cast<char>(random.bits());
        const auto before = eligible(victim.merged(threeDays));
        if (!victim.restore(bytes).ok())
            REQUIRE(eligible(victim.merged(threeDays)) == before);
    }
    CHECK(victim.restore(good).ok());
    CHECK(eligible(victim.merged(threeDays)) == 20);
}

TEST_CASE("the counts of a router that stops responding remain in the report")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    auto recorder = Recorder { clock };
    recorder.record(answered());
    CHECK(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    clock.advance(hours { 2 });
    CHECK(collector.merged(threeDays).sources.size() == 1);
    CHECK(eligible(collector.merged(hours { 6 })) == 1);
    clock.advance(hours { 2 }); // Longer than forgetAfter.
    CHECK(collector.merged(threeDays).sources.empty());
    CHECK(eligible(collector.merged(threeDays)) == 1);
    CHECK(errorKind(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)))
          == ErrorKind::Conflict);
    CHECK(eligible(collector.merged(threeDays)) == 1);
}

TEST_CASE("burn rate, error budget and alerts are computed from the counts")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    auto recorder = Recorder { clock };
    auto input = BurnInput { { { ClassId { "urgent" }, 2000, 30000, 0.95 },
                               { ClassId { "idle" }, 2000, 30000, 0.95 } },
                             {} };
    for (auto i = 0; i < 900; ++i)
        recorder.record(answered());
    auto missed = answered(9000);
    missed.metStart = false;
    for (auto i = 0; i < 100; ++i)
        recorder.record(missed);
    CHECK(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    auto report = makeBurnReport(collector.merged(hours { 1 }), input);
    REQUIRE(report.classes.size() == 2);
    CHECK(report.classes[0].classId == "idle");
    CHECK(report.classes[0].start.budgetLeft == 1);
    const auto &urgent = report.classes[1];
    CHECK(urgent.start.shareMet == doctest::Approx(0.9));
    CHECK(urgent.start.burnRate == doctest::Approx(2));
    CHECK(urgent.start.budgetLeft == doctest::Approx(-1));
    CHECK(urgent.finish.burnRate == doctest::Approx(0));
    REQUIRE(report.alerts.size() == 1);
    CHECK(report.alerts[0].level == AlertLevel::Ticket);
    CHECK_FALSE(report.alerts[0].finish);
    for (auto i = 0; i < 1000; ++i)
        recorder.record(missed);
    CHECK(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    report = makeBurnReport(collector.merged(hours { 1 }), input);
    REQUIRE(report.alerts.size() == 1);
    CHECK(report.alerts[0].level == AlertLevel::Page);
    CHECK(report.alerts[0].shortWindow == millisOf(minutes { 5 }));
}

TEST_CASE("idle hours are reported by model and reason, within the window")
{
    auto clock = ManualClock {};
    auto meter = IdleMeter { clock };
    meter.add(ModelId { "plaques" }, "predicted", 8, minutes { 30 });
    clock.advance(hours { 2 });
    meter.add(ModelId { "plaques" }, "demand", 4, minutes { 15 });
    const auto recent = meter.rows(hours { 1 });
    REQUIRE(recent.size() == 1);
    CHECK(recent[0].acceleratorHours == doctest::Approx(1));
    CHECK(recent[0].reason == "demand");
    CHECK(meter.rows(hours { 6 }).size() == 2);
    CHECK(meter.since() == hours { 2 });
}

TEST_CASE("each format names classes, reasons and models, and escapes untrusted names")
{
    auto clock = ManualClock {};
    auto collector = Collector { clock, {} };
    auto recorder = Recorder { clock };
    auto record = answered();
    record.end = RequestEnd::Refused;
    record.refusal = ErrorKind::TargetUnreachable;
    record.target = "<script>\n\"&\xff";
    recorder.record(record);
    CHECK(collector.absorb(NodeId { "r" }, Incarnation { 1 }, recorder.encode(threeDays)).ok());
    const auto input = BurnInput { { { ClassId { "urgent" }, 2000, 30000, 0.95 } },
                                   { { ModelId { "plaques" }, "predicted", 1.5 } } };
    for (const auto format : { ReportFormat::Text, ReportFormat::Json, ReportFormat::Html }) {
        const auto text = collector.render(hours { 1 }, format, input);
        for (const auto *part : { "urgent", "target_unreachable", "predicted" })
            CHECK(text.find(part) != std::string::npos);
        CHECK(text.find('\xff') == std::string::npos);
        if (format == ReportFormat::Html) {
            CHECK(text.find("<script>") == std::string::npos);
            CHECK(text.find("http") == std::string::npos); // No external resources.
        }
    }
    CHECK(parseWindow("3d") == longestWindow);
    CHECK(parseWindow("4d") == 0);
    CHECK(windowName(parseWindow("6h")) == "6h");
}

} // namespace figrack::report
