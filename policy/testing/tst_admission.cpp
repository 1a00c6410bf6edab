// Admission and queueing: order, bounds, honest refusal, shedding; against a plain reference.

#include "policy/admission.h"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "core/check.h"
#include "core/random.h"

namespace figrack::policy {
namespace {

struct Target
{
    const char *name;
    Millis start;
    Millis finish;
};

constexpr auto urgent = Target { "urgent", 2000, 20000 };
constexpr auto routine = Target { "routine", 10000, 60000 };
constexpr auto patient = Target { "patient", 60000, 600000 };

auto makeRequest(std::uint64_t ticket, const Target &target, Millis now,
                 const std::string &caller = "caller") -> QueuedRequest
{
    return { ticket, ModelId { "m" },    ClassId { target.name }, caller,
             now,    now + target.start, now + target.finish };
}

/// One replica of eight slots, all busy, a slot coming free every 125 ms.
auto busyView() -> ModelView
{
    auto view = ModelView {};
    view.ready = 1;
    view.totalSlots = 8;
    view.serviceTime = 1000;
    return view;
}

} // namespace

TEST_CASE("the earliest start deadline goes first, across classes")
{
    auto queue = RequestQueue { {} };
    CHECK_FALSE(queue.admit(makeRequest(1, patient, 0), busyView(), 0).refusal);
    CHECK_FALSE(queue.admit(makeRequest(2, routine, 0), busyView(), 0).refusal);
    CHECK_FALSE(queue.admit(makeRequest(3, urgent, 0), busyView(), 0).refusal);
    CHECK(queue.pop(ModelId { "m" }, 10)->ticket == 3);
    CHECK(queue.pop(ModelId { "m" }, 10)->ticket == 2);
    CHECK(queue.pop(ModelId { "m" }, 10)->ticket == 1);
    CHECK_FALSE(queue.pop(ModelId { "m" }, 10));
}

TEST_CASE("what cannot start in time is refused at once, with the time when it could")
{
    auto queue = RequestQueue { {} };
    auto view = ModelView {};
    view.loading = 1;
    view.nextReady = 30000;
    const auto verdict = queue.admit(makeRequest(1, urgent, 0), view, 0);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == ErrorKind::TargetUnreachable);
    CHECK(verdict.refusal->retryAfter >= 28000);
    CHECK(verdict.refusal->retryAfter < 29000);
    const auto back = verdict.refusal->retryAfter;
    CHECK_FALSE(queue.admit(makeRequest(2, urgent, back), view, back).refusal);
}

TEST_CASE("a model that no endpoint can hold is refused as such")
{
    auto queue = RequestQueue { {} };
    auto view = ModelView {};
    view.canEverLoad = false;
    const auto verdict = queue.admit(makeRequest(1, urgent, 0), view, 0);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == ErrorKind::NoCapacity);
}

TEST_CASE("nothing waits past its time")
{
    auto queue = RequestQueue { {} };
    queue.admit(makeRequest(1, urgent, 0), busyView(), 0);
    queue.admit(makeRequest(2, patient, 0), busyView(), 0);
    CHECK(queue.nextExpiry() == 2001);
    CHECK(queue.expire(2000).empty());
    CHECK(queue.pop(ModelId { "m" }, 2001)->ticket == 2);
    const auto expired = queue.expire(2001);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().ticket == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("a request put back keeps its deadline and may be cancelled")
{
    auto queue = RequestQueue { {} };
    queue.admit(makeRequest(1, urgent, 0), busyView(), 0);
    const auto request = queue.pop(ModelId { "m" }, 5);
    REQUIRE(request);
    queue.putBack(*request);
    CHECK(queue.queuedFor(ModelId { "m" }) == 1);
    CHECK(queue.cancel(1));
    CHECK_FALSE(queue.cancel(1));
    CHECK(queue.size() == 0);
}

TEST_CASE("queues are bounded per caller and per class")
{
    auto options = QueueOptions {};
    options.maxPerCaller = 2;
    options.maxPerClass = 3;
    auto queue = RequestQueue { options };
    CHECK_FALSE(queue.admit(makeRequest(1, patient, 0, "a"), busyView(), 0).refusal);
    CHECK_FALSE(queue.admit(makeRequest(2, patient, 0, "a"), busyView(), 0).refusal);
    const auto third = queue.admit(makeRequest(3, patient, 0, "a"), busyView(), 0);
    REQUIRE(third.refusal);
    CHECK(third.refusal->kind == ErrorKind::QueueFull);
    CHECK(third.refusal->retryAfter > 0);
    CHECK_FALSE(queue.admit(makeRequest(4, patient, 0, "b"), busyView(), 0).refusal);
    CHECK(queue.admit(makeRequest(5, patient, 0, "c"), busyView(), 0).refusal);
}

} // namespace figrack::policy
