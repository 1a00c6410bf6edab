// Which events may follow in a stream that is put together from several runs.

#include <doctest/doctest.h>

#include "core/random.h"
#include "gateway/streamposition.h"

using namespace figrack;
using namespace figrack::gateway;

namespace {

/// @return whether the event is dropped as the first one after another ID
auto isOld(const std::string &id, const std::string &given) -> bool
{
    return StreamPosition { given }.onEvent(id, true) == EventVerdict::Drop;
}

} // namespace

TEST_CASE("An event is old if its number is not higher than that of the last event sent")
{
    CHECK(isOld("9", "10"));
    CHECK(isOld("10", "10"));
    CHECK_FALSE(isOld("11", "10"));
    CHECK_FALSE(isOld("100", "99"));
    CHECK_FALSE(isOld("1", ""));
    CHECK_FALSE(isOld("", "5"));
    CHECK(isOld("b", "b"));
    CHECK_FALSE(isOld("a", "b"));
    CHECK_FALSE(isOld("-1", "5"));
    CHECK(isOld("007", "9"));
}

TEST_CASE("No random runs make a stream with an event twice, going back, or with a gap")
{
    auto random = Random { 67 };
    auto joined = 0;
    for (auto round = 0; round < 20000; ++round) {
        auto position = StreamPosition {};
        auto sent = std::vector<std::uint64_t> {};
        for (auto run = 0; run < 3 && position.isResumable(); ++run) {
            position.beginRun();
            auto next = sent.empty() ? 1 : 1 + random.below(sent.back() + 3);
            for (auto left = random.below(8); left > 0; --left, ++next) {
                const auto verdict = position.onEvent(std::to_string(next), true);
                if (verdict == EventVerdict::Break)
                    break;
                if (verdict == EventVerdict::Send)
                    sent.push_back(next);
            }
            joined += run > 0 && !sent.empty() ? 1 : 0;
        }
        for (std::size_t i = 1; i < sent.size(); ++i) {
            if (sent[i] != sent[i - 1] + 1)
                FAIL("round " << round << " event " << sent[i] << " after " << sent[i - 1]);
        }
    }
    CHECK(joined > 1000);
}

TEST_CASE("A stream can be resumed exactly after its last number, not after data that follows it")
{
    auto position = StreamPosition { "4" };
    CHECK(position.isResumable());
    CHECK(position.onEvent("", false) == EventVerdict::Send);
    CHECK(position.onEvent("5", true) == EventVerdict::Send);
    CHECK(position.isResumable());
    CHECK(position.onEvent("", true) == EventVerdict::Send);
    CHECK_FALSE(position.isResumable());
    CHECK(position.onEvent("6", true) == EventVerdict::Send);
    CHECK(position.isResumable());
    CHECK(position.lastId() == "6");
    CHECK(position.onEvent("x", true) == EventVerdict::Send);
    CHECK_FALSE(position.isResumable());
}

TEST_CASE("A gap in a stream that was handed over is found if its numbers were consecutive before")
{
    for (const auto isConsecutive : { true, false }) {
        auto position = StreamPosition::handedOver("3");
        if (isConsecutive)
            position.assumeConsecutive();
        position.beginRun();
        CHECK(position.onEvent("4", true) == EventVerdict::Send);
        position.beginRun();
        CHECK((position.onEvent("6", true) == EventVerdict::Break) == isConsecutive);
    }
}
