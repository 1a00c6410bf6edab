#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <optional>

#include "core/random.h"
#include "fleet.h"
#include "router/scheduler.h"

namespace figrack::router {
namespace {

using policy::DispatchResult;
using std::chrono::milliseconds;

struct SchedulerFixture
{
    SchedulerFixture()
    {
        fleet.addClass("urgent", 1000, 5000);
        fleet.addClass("draft", 10000, 60000);
        fleet.addModel("plaques", 2);
        fleet.addEngine("e1", 9001);
    }

    struct Answer
    {
        std::optional<Placement> placement;
        int count = 0;
        auto granted() const -> bool
        {
            return placement && std::holds_alternative<Granted>(*placement);
        }
        auto refusal() const -> ErrorKind
        {
            REQUIRE(placement);
            REQUIRE(std::holds_alternative<Refused>(*placement));
            return std::get<Refused>(*placement).kind;
        }
        auto retryAfter() const -> Millis { return std::get<Refused>(*placement).retryAfter; }
    };

    auto submit(Answer &answer, const std::string &classId = "draft",
                const std::string &model = "plaques") -> Ticket
    {
        auto waiting = SchedulingRequest {};
        waiting.target.model = ModelId { model };
        waiting.classId = ClassId { classId };
        waiting.caller = "caller";
        const auto spec = fleet.view.classSpec(waiting.classId);
        waiting.startTarget = spec->startTarget;
        waiting.finishTarget = spec->finishTarget;
        return scheduler.submit(waiting, answerTo(answer));
    }
    static auto answerTo(Answer &answer) -> Scheduler::Done
    {
        return [&answer](Placement placement) {
            answer.placement = std::move(placement);
            ++answer.count;
        };
    }

    ManualClock clock;
    Fleet fleet { clock };
    bool current = true;
    int coldDemand = 0;
    Scheduler scheduler { SchedulerOptions { {}, {}, 500, 7 }, clock, fleet.view,
                          SchedulerHooks { [this] { return current; }, [this] { ++coldDemand; } } };
};

TEST_CASE_FIXTURE(SchedulerFixture, "a warm request is granted immediately")
{
    fleet.load("plaques", "e1");
    auto answer = Answer {};
    submit(answer);
    REQUIRE(answer.granted());
    CHECK(std::get<Granted>(*answer.placement).replica.address.port == 9001);
    CHECK(coldDemand == 0);
    CHECK(scheduler.running() == 1);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "a cold request counts as demand and is granted when the load ends")
{
    auto answer = Answer {};
    submit(answer);
    CHECK(coldDemand == 1);
    const auto rows = scheduler.takeDemand();
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].queued == 1);
    CHECK(rows[0].arrived == 1);
    CHECK(scheduler.takeDemand()[0].arrived == 0);
    const auto order = fleet.startLoad("plaques", "e1", 300);
    scheduler.onViewChanged();
    CHECK(answer.count == 0);
    clock.advance(milliseconds { 300 });
    fleet.endLoad(order);
    scheduler.onViewChanged();
    REQUIRE(answer.granted());
    CHECK(std::get<Granted>(*answer.placement).cold);
    CHECK(std::get<Granted>(*answer.placement).waited == 300);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "a request whose time runs out while it waits is refused immediately")
{
    auto answer = Answer {};
    submit(answer, "urgent");
    (void)fleet.startLoad("plaques", "e1", 900);
    scheduler.onViewChanged();
    clock.advance(milliseconds { 1000 });
    scheduler.tick();
    CHECK(answer.count == 0);
    clock.advance(milliseconds { 1 });
    scheduler.tick();
    CHECK(answer.count == 1);
    CHECK(answer.refusal() == ErrorKind::DeadlineExceeded);
    CHECK(answer.retryAfter() > 0);
    CHECK(scheduler.waiting() == 0);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "the earliest deadline is served first, regardless of arrival order")
{
    fleet.load("plaques", "e1");
    auto running = std::array<Answer, 2> {};
    const auto first = submit(running[0]);
    submit(running[1]);
    auto patient = Answer {};
    submit(patient, "draft");
    auto urgent = Answer {};
    submit(urgent, "urgent");
    CHECK(patient.count == 0);
    CHECK(urgent.count == 0);
    scheduler.end(first, DispatchResult::Finished);
    CHECK(urgent.granted());
    CHECK(patient.count == 0);
}

TEST_CASE_FIXTURE(SchedulerFixture, "a model that no endpoint can hold is refused with no_capacity")
{
    auto spec = state::ModelSpec {};
    spec.id = ModelId { "huge" };
    spec.weightMb = 5000;
    fleet.change(state::PutModel { spec });
    auto answer = Answer {};
    submit(answer, "draft", "huge");
    CHECK(answer.refusal() == ErrorKind::NoCapacity);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "a request refused while cold counts as demand until it returns")
{
    (void)fleet.startLoad("plaques", "e1", 5000);
    auto answer = Answer {};
    submit(answer, "urgent");
    CHECK(answer.refusal() == ErrorKind::TargetUnreachable);
    const auto willRetry = answer.retryAfter();
    CHECK(willRetry >= 4000);
    CHECK(scheduler.takeDemand().at(0).queued == 1);
    clock.advance(milliseconds { willRetry });
    CHECK(scheduler.takeDemand().at(0).queued == 1);
    clock.advance(milliseconds { 501 });
    CHECK(scheduler.takeDemand().empty());
}

TEST_CASE_FIXTURE(SchedulerFixture, "nothing is granted and nothing waits while not current")
{
    auto answer = Answer {};
    submit(answer);
    current = false;
    fleet.load("plaques", "e1");
    scheduler.onViewChanged();
    CHECK(answer.count == 0);
    scheduler.tick();
    CHECK(answer.refusal() == ErrorKind::NotCurrent);
    auto second = Answer {};
    submit(second);
    CHECK(second.refusal() == ErrorKind::NotCurrent);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "a draining endpoint gets no new work once it has announced it here")
{
    fleet.load("plaques", "e1");
    fleet.view.setAnnouncedDraining(EndpointId { "e1" }, Incarnation { 1 }, true);
    auto answer = Answer {};
    submit(answer);
    CHECK(answer.count == 0);
    fleet.view.setAnnouncedDraining(EndpointId { "e1" }, Incarnation { 1 }, false);
    scheduler.tick();
    REQUIRE(answer.granted());
    fleet.drainEndpoint("e1");
    auto second = Answer {};
    submit(second);
    CHECK(second.refusal() == ErrorKind::NoCapacity);
}

TEST_CASE_FIXTURE(SchedulerFixture, "a request that failed on a replica is sent to another one")
{
    fleet.addEngine("e2", 9002);
    fleet.load("plaques", "e1");
    fleet.load("plaques", "e2");
    for (auto i = 0; i < 20; ++i) {
        auto answer = Answer {};
        const auto ticket = submit(answer);
        REQUIRE(answer.granted());
        const auto first = std::get<Granted>(*answer.placement).replica.id;
        auto again = Answer {};
        scheduler.requeue(ticket, DispatchResult::Refused, 1000, answerTo(again));
        REQUIRE(again.granted());
        CHECK(std::get<Granted>(*again.placement).replica.id != first);
        scheduler.end(ticket, DispatchResult::Finished);
        clock.advance(std::chrono::seconds { 70 });
    }
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "a request waits to retry its only replica without blocking others")
{
    fleet.load("plaques", "e1");
    auto answer = Answer {};
    const auto ticket = submit(answer);
    REQUIRE(answer.granted());
    auto again = Answer {};
    scheduler.requeue(ticket, DispatchResult::Failed, 5000, answerTo(again));
    CHECK(again.count == 0);
    auto other = Answer {};
    submit(other);
    CHECK(other.granted());
    clock.advance(milliseconds { 999 });
    scheduler.tick();
    CHECK(again.count == 0);
    clock.advance(milliseconds { 1 });
    scheduler.tick();
    CHECK(again.granted());
}

TEST_CASE_FIXTURE(SchedulerFixture, "a cancelled request leaves the queue and is answered once")
{
    auto answer = Answer {};
    const auto ticket = submit(answer);
    scheduler.cancel(ticket);
    scheduler.cancel(ticket);
    CHECK(answer.count == 1);
    CHECK(answer.refusal() == ErrorKind::Cancelled);
    fleet.load("plaques", "e1");
    scheduler.onViewChanged();
    CHECK(answer.count == 1);
    CHECK(scheduler.running() == 0);
}

TEST_CASE_FIXTURE(SchedulerFixture,
                  "random use: each request is answered once, slots are never exceeded")
{
    fleet.addModel("letters", 2);
    fleet.addEngine("e2", 9002);
    fleet.load("plaques", "e1");
    fleet.load("letters", "e2");
    auto random = Random { 42 };
    auto answers = std::deque<Answer> {};
    auto tickets = std::vector<Ticket> {};
    auto submitted = std::vector<std::pair<Ticket, std::size_t>> {};
    for (auto step = 0; step < 20000; ++step) {
        const auto what = random.below(10);
        if (what < 4) {
            answers.emplace_back();
            const auto ticket = submit(answers.back(), random.chance(0.5) ? "urgent" : "draft",
                                       random.chance(0.5) ? "plaques" : "letters");
            submitted.emplace_back(ticket, answers.size() - 1);
        } else if (what < 8 && !submitted.empty()) {
            const auto pick = random.below(submitted.size());
            const auto [ticket, index] = submitted[pick];
            if (answers[index].granted()) {
                scheduler.end(ticket,
                              random.chance(0.9) ? DispatchResult::Finished
                                                 : DispatchResult::Cancelled);
                submitted.erase(submitted.begin() + static_cast<std::ptrdiff_t>(pick));
            } else if (answers[index].count == 0 && random.chance(0.2)) {
                scheduler.cancel(ticket);
            } else if (answers[index].count > 0) {
                submitted.erase(submitted.begin() + static_cast<std::ptrdiff_t>(pick));
            }
        } else {
            clock.advance(milliseconds { static_cast<std::int64_t>(random.below(200)) });
            scheduler.tick();
        }
        CHECK_MESSAGE(scheduler.running() <= 4, "seed 42 step " << step);
    }
    clock.advance(std::chrono::minutes { 5 });
    scheduler.tick();
    for (const auto &[ticket, index] : submitted) {
        if (answers[index].granted())
            scheduler.end(ticket, DispatchResult::Finished);
    }
    scheduler.tick();
    for (const auto &answer : answers)
        REQUIRE(answer.count == 1);
    CHECK(scheduler.running() == 0);
    CHECK(scheduler.waiting() == 0);
}

} // namespace
} // namespace figrack::router
