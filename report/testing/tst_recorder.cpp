// Tests of histograms, the pyramid, the recorder and the encoding of counts.

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "core/clock.h"
#include "core/random.h"
#include "report/histogram.h"
#include "report/pyramid.h"
#include "report/recorder.h"
#include "report/wire.h"

namespace figrack::report {
namespace {

/// A minimal slot type that holds one sum.
struct Sum
{
    std::uint64_t value = 0;
    auto merge(const Sum &other) -> void { value += other.value; }
};

auto sumOver(const Pyramid<Sum> &pyramid, Millis window) -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    pyramid.forEach(window, [&](SlotTime, const Sum &slot, SlotId) { sum += slot.value; });
    return sum;
}

} // namespace

TEST_CASE("bins cover all durations without gaps and are at most an eighth of their value wide")
{
    for (auto bin = std::uint16_t { 0 }; bin < histogramBins; ++bin) {
        const auto lower = Histogram::lowerEdge(bin);
        CHECK(Histogram::binOf(lower) == bin);
        if (bin > 0)
            CHECK(Histogram::binOf(lower - 1) == bin - 1);
        const auto next = Histogram::lowerEdge(static_cast<std::uint16_t>(bin + 1));
        CHECK((next - lower) * 8 <= std::max<std::int64_t>(lower, 8));
    }
    CHECK(Histogram::binOf(-5) == 0);
    CHECK(Histogram::binOf(INT64_MAX) == histogramBins - 1);
}

TEST_CASE("merged histograms equal one with all values, and quantiles are close to the exact ones")
{
    auto random = Random { 7 };
    auto whole = Histogram {};
    auto parts = std::vector<Histogram>(5);
    auto values = std::vector<std::int64_t> {};
    for (auto i = 0; i < 20000; ++i) {
        const auto value = static_cast<std::int64_t>(random.below(1ULL << random.below(22)));
        values.push_back(value);
        whole.add(value);
        parts[random.below(parts.size())].add(value);
    }
    auto merged = Histogram {};
    for (const auto &part : parts)
        merged.merge(part);
    CHECK(merged.count() == whole.count());
    std::ranges::sort(values);
    for (const auto share : { 0.0, 0.01, 0.5, 0.95, 0.99, 0.999, 1.0 }) {
        CHECK(merged.quantile(share) == whole.quantile(share));
        const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        const auto exact = static_cast<double>(values[place]);
        CHECK(std::abs(whole.quantile(share) - exact) <= exact / 8 + 1);
    }
    CHECK(Histogram {}.quantile(0.99) == 0);
}

TEST_CASE("windows in virtual time contain each count inside them exactly once")
{
    auto random = Random { 11 };
    auto pyramid = Pyramid<Sum> {};
    auto times = std::vector<Millis> {};
    auto now = Millis { 0 };
    for (auto step = 0; step < 20000; ++step) {
        now += static_cast<Millis>(random.below(1ULL << random.below(18)));
        pyramid.advance(now);
        pyramid.at(now)->value += 1;
        times.push_back(now);
        if (step % 97 != 0)
            continue;
        for (const auto &level : pyramidLevels) {
            const auto since = [&](Millis age) {
                const auto first = std::ranges::upper_bound(times, now - age);
                return static_cast<std::uint64_t>(times.end() - first);
            };
            // The old edge of a window has the resolution of one slot of its level.
            CHECK(sumOver(pyramid, level.window) >= since(level.window));
            CHECK(sumOver(pyramid, level.window) <= since(level.window + level.slot));
        }
    }
    CHECK(pyramid.size() < 90);
}

TEST_CASE("the contents of a pyramid do not depend on how often it was advanced")
{
    auto random = Random { 13 };
    auto often = Pyramid<Sum> {};
    auto seldom = Pyramid<Sum> {};
    auto now = Millis { 0 };
    for (auto step = 0; step < 3000; ++step) {
        now += static_cast<Millis>(random.below(400000));
        for (auto part = 0; part < 3; ++part)
            often.advance(now - 3 + part);
        often.advance(now);
        often.at(now)->value += 1;
        seldom.advance(now);
        seldom.at(now)->value += 1;
    }
    for (const auto &level : pyramidLevels)
        CHECK(sumOver(often, level.window) == sumOver(seldom, level.window));
    CHECK(often.size() == seldom.size());
}

TEST_CASE("decoding the bytes of a recorder returns its counts")
{
    auto clock = ManualClock {};
    auto recorder = Recorder { clock };
    auto record = RequestRecord { ClassId { "urgent" }, "plaques" };
    record.startMs = 900;
    record.finishMs = 4000;
    record.metStart = true;
    record.metFinish = true;
    recorder.record(record);
    record.cold = true;
    record.parts.load = 700;
    recorder.record(record);
    record.end = RequestEnd::Refused;
    record.refusal = ErrorKind::TargetUnreachable;
    recorder.record(record);
    const auto decoded = decodeCounts(recorder.encode(std::chrono::hours { 72 }), {});
    REQUIRE(decoded.ok());
    REQUIRE(decoded->slots.size() == 1);
    const auto &rows = decoded->slots.front().second.rows();
    REQUIRE(rows.size() == 1);
    const auto &row = rows.at(RowKey { "urgent", "plaques" });
    CHECK(row[Counter::Eligible] == 3);
    CHECK(row[Counter::Answered] == 2);
    CHECK(row[Counter::Cold] == 1);
    CHECK(row.coldMs[static_cast<std::size_t>(ColdPart::Load)] == 700);
    CHECK(row.reasons.at(ErrorKind::TargetUnreachable) == 1);
    CHECK(row.start.count() == 2);
    CHECK(row.finish.count() == 2);
}

TEST_CASE("cancelled requests and refusals that are the caller's fault miss no target")
{
    auto slot = CountSlot {};
    auto record = RequestRecord { ClassId { "urgent" }, "plaques" };
    record.end = RequestEnd::Refused;
    record.refusal = ErrorKind::BadRequest;
    slot.add(record);
    record.end = RequestEnd::Cancelled;
    slot.add(record);
    const auto &row = slot.rows().begin()->second;
    CHECK(row[Counter::Eligible] == 0);
    CHECK(row[Counter::CallerFault] == 1);
    CHECK(row[Counter::Cancelled] == 1);
}

TEST_CASE("arbitrary names do not make a slot grow without bound")
{
    auto slot = CountSlot {};
    for (auto i = 0; i < 20000; ++i) {
        auto name = std::to_string(i);
        slot.add({ ClassId { name }, name + std::string(500, 'x') });
    }
    const auto bounds = RowBounds {};
    CHECK(slot.rows().size() <= bounds.maxRows + bounds.maxOthers + 1);
    auto eligible = std::uint64_t { 0 };
    for (const auto &[key, row] : slot.rows())
        eligible += row[Counter::Eligible];
    CHECK(eligible == 20000);
}

TEST_CASE("the length of encoded counts is bounded, and the newest counts are kept")
{
    auto counts = Pyramid<CountSlot> {};
    auto random = Random { 19 };
    for (auto now = Millis { 0 }; now < longestWindow / 4; now += 60000) {
        counts.advance(now);
        for (auto i = 0; i < 20; ++i) {
            auto record = RequestRecord {};
            record.target = "model-" + std::to_string(random.below(100));
            record.startMs = static_cast<std::int64_t>(random.below(100000));
            counts.at(now)->add(record);
        }
    }
    const auto whole = encodeCounts(1, longestWindow, counts);
    constexpr auto bound = std::size_t { 100000 };
    REQUIRE(whole.size() > 2 * bound);
    const auto bounded = encodeCounts(1, longestWindow, counts, bound);
    CHECK(bounded.size() <= bound);
    const auto decoded = decodeCounts(bounded, {});
    REQUIRE(decoded.ok());
    REQUIRE_FALSE(decoded->slots.empty());
    CHECK(decoded->slots.front().first.level == 0);
    CHECK(std::ranges::none_of(decoded->slots,
                               [](const auto &slot) { return slot.first.level == 3; }));
}

TEST_CASE("malformed counts are rejected with an error")
{
    auto clock = ManualClock {};
    auto recorder = Recorder { clock };
    auto record = RequestRecord { ClassId { "urgent" }, "plaques" };
    for (auto i = 0; i < 50; ++i) {
        record.startMs = i * i;
        record.cold = i % 2 == 0;
        recorder.record(record);
        clock.advance(std::chrono::minutes { 7 });
    }
    const auto good = recorder.encode(std::chrono::hours { 72 });
    REQUIRE(decodeCounts(good, {}).ok());
    auto random = Random { 17 };
    auto refused = 0;
    constexpr auto inputs = 100000;
    for (auto i = 0; i < inputs; ++i) {
        auto bytes = good;
        if (random.chance(0.2))
            bytes.resize(random.below(bytes.size()));
        for (auto flips = random.below(8) + 1; flips > 0 && !bytes.empty(); --flips)
            bytes[random.below(bytes.size())] = static_cast<char>(random.bits());
        const auto decoded = decodeCounts(bytes, {});
        refused += decoded.ok() ? 0 : 1;
        if (!decoded.ok())
            REQUIRE(errorKind(decoded.status()) == ErrorKind::Malformed);
    }
    CHECK(refused > inputs / 5);
}

} // namespace figrack::report
