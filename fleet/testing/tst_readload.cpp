#include <doctest/doctest.h>

#include "fleet/readload.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const auto service = ServiceId { "engine" };
const auto model = ModelId { "m" };

auto rowOf(std::uint32_t arrived, std::uint64_t tokens, std::uint64_t startTargetMs)
        -> proto::WantedRow
{
    auto row = proto::WantedRow { service, model, {}, arrived, 0, 0, 0, 0 };
    row.readTokens = tokens;
    row.startTargetMs = startTargetMs;
    return row;
}

} // namespace

TEST_CASE("A model that has just become busy is seen at its rate within a second")
{
    auto loads = ReadLoads { seconds { 3 } };
    auto now = Instant {} + seconds { 100 };
    for (auto i = 0; i < 3; ++i, now += milliseconds { 500 })
        loads.add({ service, model }, rowOf(5, 25'000, 600), now);
    const auto load = loads.of(service, now - milliseconds { 500 }).at(model);
    CHECK(load.requestsPerSecond > 8);
    CHECK(load.requestsPerSecond < 12);
    CHECK(load.tokensPerSecond == doctest::Approx(load.requestsPerSecond * 5000));
}

TEST_CASE("A single request does not look like a high rate")
{
    auto loads = ReadLoads { seconds { 3 } };
    const auto now = Instant {} + seconds { 100 };
    loads.add({ service, model }, rowOf(1, 5000, 600), now);
    CHECK(loads.of(service, now).at(model).requestsPerSecond < 2);
}

TEST_CASE("The rate of a model that is not asked for any more falls, and the model is forgotten")
{
    auto loads = ReadLoads { seconds { 3 } };
    const auto now = Instant {} + seconds { 100 };
    loads.add({ service, model }, rowOf(30, 150'000, 600), now);
    CHECK(loads.of(service, now + seconds { 9 }).at(model).requestsPerSecond < 1);
    loads.forgetOld(now + seconds { 16 });
    CHECK(loads.of(service, now + seconds { 16 }).empty());
}

TEST_CASE("The shortest start target counts, until its requests stop")
{
    auto loads = ReadLoads { seconds { 3 } };
    const auto now = Instant {} + seconds { 100 };
    loads.add({ service, model }, rowOf(1, 5000, 400), now);
    loads.add({ service, model }, rowOf(1, 5000, 600), now + seconds { 1 });
    CHECK(loads.of(service, now + seconds { 1 }).at(model).startTarget == milliseconds { 400 });
    loads.add({ service, model }, rowOf(1, 5000, 600), now + seconds { 4 });
    CHECK(loads.of(service, now + seconds { 4 }).at(model).startTarget == milliseconds { 600 });
}

TEST_CASE("Models of other services are not told")
{
    auto loads = ReadLoads { seconds { 3 } };
    const auto now = Instant {} + seconds { 100 };
    loads.add({ ServiceId { "other" }, model }, rowOf(1, 5000, 400), now);
    CHECK(loads.of(service, now).empty());
}
