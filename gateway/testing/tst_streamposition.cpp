// Which events may follow in a stream that is put together from several runs.

#include <doctest/doctest.h>

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
