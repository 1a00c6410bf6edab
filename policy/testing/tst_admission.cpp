// Tests admission and queueing against a simple reference: order, bounds, retry times, shedding.

#include "policy/admission.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "core/check.h"
#include "core/random.h"
#include "policy/testing/overload.h"
#include "policy/waiting.h"

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

/// The reference: one list that every operation walks.
class PlainQueue
{
public:
    auto add(const QueuedRequest &request) -> void { requests_.push_back(request); }

    auto remove(std::uint64_t ticket) -> bool
    {
        const auto same = [&](const QueuedRequest &request) { return request.ticket == ticket; };
        return std::erase_if(requests_, same) > 0;
    }

    auto pop(const ModelId &model, Millis now, std::uint32_t share) -> std::optional<QueuedRequest>
    {
        const QueuedRequest *best = nullptr;
        auto bestStarves = false;
        for (const auto &request : requests_) {
            if (request.model != model || request.startBy < now)
                continue;
            const auto starves = passedOver_[{ model, request.classId }] >= share;
            const auto earlier = best == nullptr
                    || std::pair { request.startBy, request.ticket }
                            < std::pair { best->startBy, best->ticket };
            if (best == nullptr || (starves && !bestStarves)
                || (starves == bestStarves && earlier)) {
                best = &request;
                bestStarves = starves;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        for (auto &[key, passed] : passedOver_) {
            if (key.first == model)
                passed = count(model, key.second) == 0 ? 0 : passed + 1;
        }
        auto request = *best;
        poppedFrom_ = passedOver_[{ model, request.classId }] - 1;
        passedOver_[{ model, request.classId }] = 0;
        remove(request.ticket);
        return request;
    }

    /// Undoes the last pop().
    auto putBack(const QueuedRequest &request) -> void
    {
        add(request);
        for (auto &[key, passed] : passedOver_) {
            if (key.first == request.model && passed > 0)
                --passed;
        }
        passedOver_[{ request.model, request.classId }] = poppedFrom_;
    }

    auto expired(Millis now) const -> std::set<std::uint64_t>
    {
        auto tickets = std::set<std::uint64_t> {};
        for (const auto &request : requests_) {
            if (request.startBy < now)
                tickets.insert(request.ticket);
        }
        return tickets;
    }

    auto count(const ModelId &model, const ClassId &classId) const -> std::size_t
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(requests_, [&](const QueuedRequest &request) {
                    return request.model == model && request.classId == classId;
                }));
    }

    auto requests() const -> const std::vector<QueuedRequest> & { return requests_; }
    auto find(std::uint64_t ticket) const -> const QueuedRequest *
    {
        const auto found = std::ranges::find(requests_, ticket, &QueuedRequest::ticket);
        return found == requests_.end() ? nullptr : &*found;
    }

private:
    std::vector<QueuedRequest> requests_;
    std::map<std::pair<ModelId, ClassId>, std::uint32_t> passedOver_;
    std::uint32_t poppedFrom_ = 0; ///< passedOver of the last popped lane, before.
};

auto tickets(const std::vector<QueuedRequest> &requests) -> std::set<std::uint64_t>
{
    auto all = std::set<std::uint64_t> {};
    for (const auto &request : requests)
        all.insert(request.ticket);
    return all;
}

/// Returns the least number of requests to remove so that all others are in time, by the
/// Moore-Hodgson rule for equal service times.
auto leastDropped(std::vector<QueuedRequest> requests, const ModelView &view, Millis now,
                  double share) -> std::size_t
{
    std::ranges::sort(requests, {}, [](const QueuedRequest &request) {
        return std::pair { request.startBy, request.ticket };
    });
    auto kept = std::size_t { 0 };
    for (const auto &request : requests) {
        const auto start = predictStart(view, kept, 1000, now, share);
        kept += start <= request.startBy && start + view.serviceTime <= request.finishBy ? 1 : 0;
    }
    return requests.size() - kept;
}

auto randomView(Random &random, Millis now) -> ModelView
{
    auto view = ModelView {};
    view.ready = static_cast<std::uint32_t>(random.below(4));
    view.totalSlots = view.ready * 8;
    view.freeSlots = static_cast<std::uint32_t>(random.below(view.totalSlots / 4 + 1));
    view.loading = static_cast<std::uint32_t>(random.below(3));
    view.nextReady = view.loading > 0 ? now + static_cast<Millis>(random.below(5000)) : 0;
    view.predictedLoad = static_cast<Millis>(random.below(8000));
    view.serviceTime = static_cast<Millis>(100 + random.below(2000));
    view.mayAdd = static_cast<std::uint32_t>(random.below(2));
    return view;
}

/// One replica with eight busy slots, of which one becomes free every 125 ms.
auto busyView() -> ModelView
{
    auto view = ModelView {};
    view.ready = 1;
    view.totalSlots = 8;
    view.serviceTime = 1000;
    return view;
}

} // namespace

TEST_CASE("the earliest start deadline is dispatched first, across classes")
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

TEST_CASE("a request that cannot start in time is refused at once, with the time when it could")
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

TEST_CASE("a model that no endpoint can hold is refused with NoCapacity")
{
    auto queue = RequestQueue { {} };
    auto view = ModelView {};
    view.canEverLoad = false;
    const auto verdict = queue.admit(makeRequest(1, urgent, 0), view, 0);
    REQUIRE(verdict.refusal);
    CHECK(verdict.refusal->kind == ErrorKind::NoCapacity);
}

TEST_CASE("no request waits past its deadline")
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

TEST_CASE("random use matches the reference, and each request leaves exactly once")
{
    constexpr auto targets = std::array { urgent, routine, patient };
    const auto models = std::array { ModelId { "a" }, ModelId { "b" }, ModelId { "c" } };
    auto options = QueueOptions {};
    options.maxPerCaller = 20;
    options.maxPerClass = 60;
    options.maxTotal = 100;
    auto sheds = 0;
    auto refusals = 0;
    for (auto seed = std::uint64_t { 1 }; seed <= 30; ++seed) {
        auto random = Random { seed };
        auto queue = RequestQueue { options };
        auto plain = PlainQueue {};
        auto taken = std::optional<QueuedRequest> {};
        auto takenCounted = false;
        auto drains = std::map<ModelId, DrainShare> {}; // Receives the same events as the queue.
        const auto waits = [&](const ModelId &of) {
            const auto isOf = [&](const QueuedRequest &request) { return request.model == of; };
            return std::ranges::any_of(plain.requests(), isOf);
        };
        const auto observe = [&](const ModelId &of, const ModelView &view, Millis at) {
            if (view.ready == 0)
                drains[of].discard(at);
            drains[of].advance(waits(of), at);
        };
        auto now = Millis { 0 };
        auto ticket = std::uint64_t { 0 };
        for (auto step = 0; step < 3000; ++step) {
            now += static_cast<Millis>(random.below(60));
            const auto &model = models[random.below(models.size())];
            const auto action = random.below(100);
            if (action < 55) {
                const auto &target = targets[random.below(targets.size())];
                auto request
                        = makeRequest(++ticket, target, now, "c" + std::to_string(random.below(8)));
                request.model = model;
                const auto view = randomView(random, now);
                observe(model, view, now);
                const auto verdict = queue.admit(request, view, now);
                for (const auto shed : verdict.shed) {
                    const auto *victim = plain.find(shed);
                    REQUIRE(victim != nullptr);
                    CHECK(victim->startBy - victim->arrived > target.start);
                    CHECK(plain.remove(shed));
                    ++sheds;
                }
                if (!verdict.refusal) {
                    plain.add(request);
                } else {
                    ++refusals;
                    CHECK(verdict.shed.empty());
                    CHECK(verdict.refusal->retryAfter >= options.minRetry);
                    CHECK(verdict.refusal->retryAfter <= options.maxRetry * 11 / 10);
                }
            } else if (action < 85) {
                const auto popped = queue.pop(model, now);
                const auto expected = plain.pop(model, now, options.minShareDivisor);
                REQUIRE(popped.has_value() == expected.has_value());
                if (popped) {
                    drains[model].advance(true, now);
                    drains[model].advance(waits(model), now);
                    takenCounted = popped->arrived < now;
                    if (takenCounted)
                        drains[model].onPop();
                    CHECK(popped->ticket == expected->ticket);
                    CHECK(popped->startBy >= now);
                    taken = popped;
                }
            } else if (action < 88 && taken) {
                queue.putBack(*taken);
                plain.putBack(*taken);
                if (takenCounted)
                    drains[taken->model].onRequeue();
                taken.reset();
            } else if (action < 91) {
                const auto which = random.below(ticket + 1);
                CHECK(queue.cancel(which) == plain.remove(which));
            } else if (action < 95) {
                const auto expected = plain.expired(now);
                CHECK(tickets(queue.expire(now)) == expected);
                for (const auto one : expected)
                    plain.remove(one);
            } else {
                const auto view = randomView(random, now);
                auto ofModel = plain.requests();
                std::erase_if(ofModel,
                              [&](const QueuedRequest &request) { return request.model != model; });
                if (!ofModel.empty())
                    observe(model, view, now);
                const auto service = static_cast<double>(view.serviceTime);
                const auto share = drains[model].value(service / std::max(view.totalSlots, 1U));
                const auto dropped = queue.recheck(model, view, now);
                CHECK(dropped.size() == leastDropped(ofModel, view, now, share));
                for (const auto &request : dropped)
                    CHECK(plain.remove(request.ticket));
                CHECK(queue.recheck(model, view, now).empty());
            }
            REQUIRE(queue.size() == plain.requests().size());
            CHECK(queue.size() <= options.maxTotal + 1);
            auto inRows = std::size_t { 0 };
            for (const auto &row : queue.demand()) {
                CHECK(row.queued == plain.count(row.model, row.classId));
                inRows += row.queued;
            }
            CHECK(inRows == queue.size());
        }
    }
    CHECK(sheds > 100);
    CHECK(refusals > 1000);
}

TEST_CASE("a predicted start matches slots that become free one by one")
{
    auto random = Random { 5 };
    for (auto round = 0; round < 3000; ++round) {
        auto view = ModelView {};
        view.ready = 1 + static_cast<std::uint32_t>(random.below(4));
        view.totalSlots = view.ready * 8;
        view.freeSlots = static_cast<std::uint32_t>(random.below(view.totalSlots));
        view.loading = static_cast<std::uint32_t>(random.below(3));
        view.nextReady = 1000 + static_cast<Millis>(random.below(5000));
        view.serviceTime = static_cast<Millis>(view.totalSlots * (1 + random.below(50)));
        const auto ahead = random.below(200);
        // The reference serves them one by one.
        auto left = static_cast<double>(ahead + 1) - view.freeSlots;
        auto time = Millis { 1000 };
        auto slots = static_cast<double>(view.totalSlots);
        auto loading = view.loading > 0;
        while (left > 1e-9) {
            if (loading && time >= view.nextReady) {
                left -= view.loading * 8.0;
                slots += view.loading * 8.0;
                loading = false;
                continue;
            }
            left -= slots / static_cast<double>(view.serviceTime);
            ++time;
        }
        const auto predicted = predictStart(view, ahead, 1000, 1000, 1.0);
        CHECK(std::abs(predicted - time) <= 1);
    }
}

TEST_CASE("a less urgent class keeps its share of dispatches under constant urgent load")
{
    auto queue = RequestQueue { {} };
    auto view = busyView();
    view.totalSlots = 800; // So that all are predicted to start in time.
    for (auto i = std::uint64_t { 0 }; i < 40; ++i)
        queue.admit(makeRequest(1000 + i, patient, 0), view, 0);
    auto patientServed = 0;
    for (auto i = std::uint64_t { 0 }; i < 200; ++i) {
        queue.admit(makeRequest(i, urgent, 1, std::to_string(i)), view, 1);
        queue.admit(makeRequest(500 + i, urgent, 1, std::to_string(i)), view, 1);
        patientServed += queue.pop(ModelId { "m" }, 1)->ticket >= 1000 ? 1 : 0;
    }
    CHECK(patientServed >= 200 / 9 - 1);
    CHECK(patientServed <= 200 / 9 + 1);
}

TEST_CASE("a new urgent request displaces at most two less urgent requests ahead of it")
{
    auto queue = RequestQueue { {} };
    const auto view = busyView(); // 8 a second: 16 starts fit in two seconds.
    auto ticket = std::uint64_t { 0 };
    for (; ticket < 75; ++ticket)
        CHECK_FALSE(queue.admit(makeRequest(ticket, routine, 0, std::to_string(ticket)), view, 0)
                            .refusal);
    auto now = Millis { 0 };
    for (; now < 8500; now += 125) { // One pop and one arrival for each slot that becomes free.
        REQUIRE(queue.pop(ModelId { "m" }, now));
        ++ticket;
        const auto request = makeRequest(ticket, routine, now, std::to_string(ticket));
        REQUIRE_FALSE(queue.admit(request, view, now).refusal);
    }
    // A dozen of the routine requests are due before a new urgent request.
    auto admitted = std::size_t { 0 };
    auto shed = std::size_t { 0 };
    for (auto i = 0; i < 14; ++i) {
        const auto verdict = queue.admit(makeRequest(++ticket, urgent, now), view, now);
        CHECK_FALSE(verdict.refusal);
        CHECK(verdict.shed.size() <= 2);
        CHECK((verdict.shedRetryAfter > 0) == !verdict.shed.empty());
        shed += verdict.shed.size();
        ++admitted;
    }
    CHECK(shed > 0);
    CHECK(queue.queuedFor(ModelId { "m" }) == 75 + admitted - shed);
}

TEST_CASE("callers refused together get increasing retry times")
{
    auto queue = RequestQueue { {} };
    auto view = busyView();
    auto last = Millis { 0 };
    auto retryTimes = std::set<Millis> {};
    for (auto i = std::uint64_t { 0 }; i < 200; ++i) {
        const auto verdict = queue.admit(makeRequest(i, urgent, 0, std::to_string(i)), view, 0);
        if (!verdict.refusal)
            continue;
        CHECK(verdict.refusal->retryAfter > last);
        last = verdict.refusal->retryAfter;
        retryTimes.insert(last);
    }
    CHECK(retryTimes.size() > 150);
}

TEST_CASE("a full queue admits an urgent request in place of the least urgent one")
{
    auto options = QueueOptions {};
    options.maxTotal = 20;
    auto queue = RequestQueue { options };
    auto view = busyView();
    view.totalSlots = 800;
    for (auto i = std::uint64_t { 0 }; i < 10; ++i) {
        queue.admit(makeRequest(i, patient, 0), view, 0);
        queue.admit(makeRequest(100 + i, routine, 0), view, 0);
    }
    const auto verdict = queue.admit(makeRequest(200, urgent, 0), view, 0);
    CHECK_FALSE(verdict.refusal);
    // The newest of the less urgent requests.
    CHECK(verdict.shed == std::vector<std::uint64_t> { 9 });
    CHECK(queue.admit(makeRequest(201, patient, 0), view, 0).refusal);
    CHECK(queue.size() == 20);
}

TEST_CASE("goodput stays flat beyond saturation, and refusals are fast")
{
    auto options = testing::OverloadOptions {};
    options.duration = 120000;
    for (const auto load : { 0.5, 1.0, 2.0, 4.0 }) {
        options.load = load;
        const auto result = testing::runOverload(options, 3);
        CHECK(result.goodput() > 0.95 * std::min(load, 1.0));
        const auto &[mostUrgent, middle, leastUrgent] = result.classes;
        CHECK(mostUrgent.late + middle.late + leastUrgent.late == 0);
        if (load <= 2.0)
            CHECK(mostUrgent.served * 100 > mostUrgent.offered * 98);
        CHECK(leastUrgent.served > 0);
        // Holding requests until their deadline would give a minute.
        if (leastUrgent.refusals > 0)
            CHECK(leastUrgent.heldMs / leastUrgent.refusals < 3000);
    }
    options.load = 4.0;
    options.kind = testing::QueueKind::Deadline;
    CHECK(testing::runOverload(options, 3).goodput() < 0.5); // The baseline for comparison.
}

TEST_CASE("routers that share a model's slots learn their share of them")
{
    auto options = testing::OverloadOptions {};
    options.duration = 120000;
    for (const auto routers : { std::size_t { 4 }, std::size_t { 16 } }) {
        options.routers = routers;
        for (const auto load : { 1.5, 2.0, 4.0 }) {
            options.load = load;
            const auto result = testing::runOverload(options, 3);
            CHECK(result.goodput() > 0.95);
            const auto &[mostUrgent, middle, leastUrgent] = result.classes;
            if (load <= 2.0)
                CHECK(mostUrgent.served * 100 > mostUrgent.offered * 93);
            CHECK(mostUrgent.served * middle.offered > middle.served * mostUrgent.offered);
            CHECK(leastUrgent.served > 0);
            CHECK(leastUrgent.heldMs / leastUrgent.refusals < 6000); // The deadline is a minute.
        }
    }
}

TEST_CASE("a request that is popped and put back does not change the measured share")
{
    auto queue = RequestQueue { {} };
    const auto view = busyView();
    for (auto i = std::uint64_t { 0 }; i < 40; ++i) {
        queue.admit(makeRequest(i, routine, 0, std::to_string(i)), view, 0);
        queue.admit(makeRequest(100 + i, patient, 0, std::to_string(i)), view, 0);
    }
    const auto first = queue.pop(ModelId { "m" }, 1);
    queue.putBack(*first);
    for (auto now = Millis { 1 }; now < 5000; now += 10) {
        const auto tried = queue.pop(ModelId { "m" }, now); // All replicas are full.
        REQUIRE(tried);
        // A dispatch that is put back does not count as passed over.
        CHECK(tried->ticket == first->ticket);
        queue.putBack(*tried);
    }
    // Nothing was dispatched for five seconds: ten more cannot be served within ten seconds.
    const auto verdict = queue.admit(makeRequest(999, routine, 5000), view, 5000);
    CHECK(verdict.refusal);
}

TEST_CASE("while a model loads, callers are told to retry when it is ready")
{
    auto queue = RequestQueue { {} };
    auto view = ModelView {};
    view.loading = 1;
    view.nextReady = 30000;
    const auto first = queue.retryAfter(ModelId { "m" }, view, 0);
    CHECK(first >= 30000);
    CHECK(first < 31000);
    CHECK(queue.retryAfter(ModelId { "m" }, view, 0) > first);
}

TEST_CASE("the measured share follows how fast the queue drains")
{
    auto drain = DrainShare {};
    CHECK(drain.value(100) == 1);
    for (auto now = Millis { 0 }; now < 40000; now += 400) {
        drain.advance(true, now);
        drain.onPop();
    }
    CHECK(drain.value(100) == doctest::Approx(0.25).epsilon(0.2));
    for (auto now = Millis { 40000 }; now < 50000; now += 100) {
        drain.advance(true, now);
        drain.onPop();
    }
    CHECK(drain.value(100) > 0.9);
    drain.advance(true, 50000);
    drain.discard(60000); // A load was in progress: nothing could be dispatched.
    CHECK(drain.value(100) > 0.9);
}

TEST_CASE("queueing a request twice is detected")
{
    struct CheckBit
    { };
    const auto before = setCheckHandler([](const char *, const char *) { throw CheckBit {}; });
    auto queue = RequestQueue { {} };
    queue.admit(makeRequest(1, urgent, 0), busyView(), 0);
    CHECK_THROWS_AS(queue.putBack(makeRequest(1, urgent, 0)), CheckBit);
    setCheckHandler(before);
}

} // namespace figrack::policy
