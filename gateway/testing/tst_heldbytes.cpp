// Tests the bounds on the bytes that a gateway holds, in virtual time.

#include <map>

#include <doctest/doctest.h>

#include "core/random.h"
#include "gateway/heldbytes.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

using Kind = HeldBytes::Kind;

auto limitedTo(std::uint64_t memoryLimit) -> HeldBytesOptions
{
    auto options = HeldBytesOptions {};
    options.memoryLimit = memoryLimit;
    return options;
}

} // namespace

// Guards against a gateway that takes every body while endpoints are slow, and exceeds its memory.
TEST_CASE("Under load from slow endpoints, bodies fill no more than half of the memory")
{
    constexpr auto limit = std::uint64_t { 160'000'000 };
    auto clock = ManualClock {};
    auto held = HeldBytes { limitedTo(limit), clock };
    auto random = Random { 7 };
    auto ends = std::multimap<Instant, HeldBytes::Share> {};
    const auto begun = clock.now();
    auto refused = 0;
    for (auto i = 0; i < 60'000; ++i) {
        clock.advance(1ms);
        ends.erase(ends.begin(), ends.upper_bound(clock.now()));
        // For ten of the sixty seconds, endpoints take ten times as long.
        const auto since = clock.now() - begun;
        const auto isSlow = since > 20s && since <= 30s;
        const auto time = std::chrono::milliseconds { 100 + random.below(200) } * (isSlow ? 10 : 1);
        if (auto share = held.admit(20'000 + random.below(180'000))) {
            ends.emplace(clock.now() + time, std::move(*share));
            continue;
        }
        ++refused;
        CHECK(since > 20s);
        CHECK(since <= 33s);
        // Callers are told a time within which bodies were released.
        REQUIRE(held.releaseTime());
        CHECK(*held.releaseTime() >= 100ms);
        CHECK(*held.releaseTime() <= 3s);
        REQUIRE(held.sum() <= limit / 2);
        REQUIRE(held.sum() > limit / 2 - 200'000);
    }
    CHECK(refused > 1000);
    ends.clear();
    CHECK(held.sum() == 0);
}

TEST_CASE("Held bytes are counted by kind, until they are released by whatever ends the request")
{
    auto clock = ManualClock {};
    auto held = HeldBytes { limitedTo(1000), clock };
    CHECK_FALSE(held.releaseTime());
    auto body = held.admit(400);
    REQUIRE(body);
    auto answer = held.hold(Kind::Answer);
    answer.add(90);
    {
        auto buffered = held.hold(Kind::Buffered);
        buffered.add(10);
        CHECK(held.sum() == 500);
        CHECK(held.callersBufferedFor() == 1);
        // Full: no further body, but a request without one.
        CHECK_FALSE(held.admit(1));
        CHECK(held.admit(0));
        const auto moved = std::move(buffered);
        CHECK(held.callersBufferedFor() == 1);
    }
    CHECK(held.callersBufferedFor() == 0);
    CHECK(held.sum() == 490);
    CHECK(held.admit(10));
    clock.advance(2s);
    body.reset();
    answer.remove(1000);
    CHECK(held.sum() == 0);
    // 10 bytes were held for no time, 400 for two seconds.
    CHECK(*held.releaseTime() > 1900ms);
    CHECK(*held.releaseTime() <= 2s);
}

TEST_CASE("Without a memory limit nothing is refused or buffered")
{
    auto clock = ManualClock {};
    auto held = HeldBytes { {}, clock };
    const auto body = held.admit(1U << 30);
    CHECK(body);
    CHECK_FALSE(held.mayBuffer(0, 1));
    const auto sent = held.sendTo(EndpointId { "i-1" }, 1U << 30);
    CHECK(held.hasRoomAt(EndpointId { "i-1" }));
}

TEST_CASE("The bytes at an endpoint are bounded by 4 MB, or by 16 times the largest body")
{
    constexpr auto megabyte = std::uint64_t { 1 } << 20;
    const auto id = EndpointId { "i-1" };
    auto clock = ManualClock {};
    for (const auto bodyBytes : { megabyte / 8, megabyte }) {
        auto held = HeldBytes { limitedTo(100 * megabyte), clock };
        const auto body = held.admit(bodyBytes);
        auto sent = std::vector<HeldBytes::Share> {};
        while (held.hasRoomAt(id))
            sent.push_back(held.sendTo(id, bodyBytes));
        CHECK(held.at(id) == std::max(4 * megabyte, 16 * bodyBytes) + bodyBytes);
        CHECK(held.hasRoomAt(EndpointId { "i-2" }));
        CHECK(held.sum() == bodyBytes); // The bodies are counted once.
        sent.pop_back();
        CHECK(held.hasRoomAt(id));
        sent.clear();
        CHECK(held.at(id) == 0);
    }
}

TEST_CASE("Streams are buffered up to 64 KB for a caller, and a quarter of the memory for all")
{
    auto clock = ManualClock {};
    auto held = HeldBytes { limitedTo(1'000'000), clock };
    CHECK(held.mayBuffer(0, 65'536));
    CHECK_FALSE(held.mayBuffer(0, 65'537));
    CHECK_FALSE(held.mayBuffer(60'000, 6'000));
    auto others = held.hold(Kind::Buffered);
    others.add(240'000);
    CHECK(held.mayBuffer(0, 10'000));
    CHECK_FALSE(held.mayBuffer(0, 10'001));
}

// Guards against a share that refers to a gateway's parts after these have ended, as at the end of
// the process.
TEST_CASE("Bytes may be released after the counters have ended")
{
    auto share = std::optional<HeldBytes::Share> {};
    {
        auto clock = ManualClock {};
        auto held = HeldBytes { limitedTo(1000), clock };
        share = held.admit(100);
    }
    REQUIRE(share);
    share.reset();
}
