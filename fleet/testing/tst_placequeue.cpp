// Tests the queue of requests that wait for a slot, with hand-made requests and slots, in virtual
// time.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/random.h"
#include "fleet/placequeue.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

/// What a test varies of a request.
struct Terms
{
    std::uint32_t rank = 1;
    Duration startWithin = 1000ms;
    std::uint64_t work = 0;
    std::vector<std::string> candidates = { "a", "b" };
    std::uint64_t model = 1;
    bool isOverShare = false;
    bool isReturned = false;
    Duration limit = 6000ms;
};

/// A queue with slots that a test frees one by one.
struct Bench
{
    explicit Bench(const PlaceQueueOptions &options = {})
        : queue(withoutArrivals(options))
    { }

    /// Where a test does not set the window, no further arrivals are expected.
    static auto withoutArrivals(PlaceQueueOptions options) -> PlaceQueueOptions
    {
        if (options.arrivalWindow == PlaceQueueOptions {}.arrivalWindow)
            options.arrivalWindow = 10'000h;
        options.retrySpacing = 1;
        return options;
    }

    auto make(const Terms &terms) -> WaitingPick
    {
        auto pick = WaitingPick {};
        pick.gateway = gateway;
        auto &request = pick.request;
        request.ticket = ++ticket;
        for (const auto &name : terms.candidates)
            request.candidates.emplace_back(name);
        request.model = terms.model;
        request.rank = terms.rank;
        request.works.ofCaller.low = terms.work;
        request.limitMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(terms.limit).count();
        pick.arrivedAt = clock.now();
        pick.latestStart = clock.now() + terms.startWithin;
        pick.isOverShare = terms.isOverShare;
        pick.isReturned = terms.isReturned;
        return pick;
    }

    /// @return the request's ticket
    auto admit(const Terms &terms = {}) -> std::uint64_t
    {
        reply = queue.admit(make(terms), supply, clock.now());
        return ticket;
    }

    /// Grants slots. @param names the endpoints with one free slot each
    /// @return the tickets that were granted one, in order
    auto free(std::vector<std::string> names, const EndpointId *only = nullptr)
            -> std::vector<std::uint64_t>
    {
        queue.grant(clock.now(), only, [&](const WaitingPick &pick) {
            ++tries;
            auto result = std::optional<proto::PickReply> {};
            for (auto name = names.begin(); !result && name != names.end(); ++name) {
                const auto &among = pick.request.candidates;
                if (std::find(among.begin(), among.end(), EndpointId { *name }) == among.end())
                    continue;
                result.emplace().endpoint = EndpointId { *name };
                names.erase(name);
                break;
            }
            return result;
        });
        auto granted = std::vector<std::uint64_t> {};
        for (const auto &grant : queue.takeGrants()) {
            if (grant.reply.endpoint.empty())
                refused[grant.request.ticket] = grant.reply;
            else
                granted.push_back(grant.request.ticket);
        }
        return granted;
    }

    auto recheck() -> void
    {
        queue.recheck(clock.now(), [this](const auto &) { return supply; });
        for (const auto &grant : queue.takeGrants())
            refused[grant.request.ticket] = grant.reply;
    }

    auto countOf(PlaceEvent event) -> std::size_t
    {
        for (const auto &notice : queue.takeNotices())
            ++events[notice.event];
        return events[event];
    }

    ManualClock clock;
    PlaceQueue queue;
    PlaceSupply supply { 0.01, {} }; ///< A slot every 100 ms.
    NodeId gateway { "g-1" };
    std::uint64_t ticket = 0;
    int tries = 0;
    proto::PickReply reply; ///< The latest reply.
    std::map<std::uint64_t, proto::PickReply> refused;
    std::map<PlaceEvent, std::size_t> events;
};

using Tickets = std::vector<std::uint64_t>;

} // namespace

// Guards against slots that go to whichever request happens to ask first.
TEST_CASE("Slots go to the request with the earliest latest start, whatever its rank and gateway")
{
    auto bench = Bench {};
    const auto last = bench.admit({ .rank = 0, .startWithin = 3000ms });
    CHECK(bench.reply.isQueued);
    CHECK(bench.reply.startMs == 100);
    bench.gateway = NodeId { "g-2" };
    const auto first = bench.admit({ .rank = 2, .startWithin = 700ms });
    const auto second = bench.admit({ .rank = 1, .startWithin = 900ms });
    CHECK(bench.reply.startMs == 200); // Only the first one is ahead of it.
    CHECK(bench.free({ "a" }) == Tickets { first });
    CHECK(bench.free({ "a", "b" }) == Tickets { second, last });
    CHECK(bench.queue.waiting() == 0);
}

TEST_CASE("Returned requests go first, by rank, and those of accounts beyond their share last")
{
    auto bench = Bench {};
    const auto over = bench.admit({ .startWithin = 600ms, .isOverShare = true });
    const auto within = bench.admit({ .startWithin = 900ms });
    const auto returnedLater = bench.admit({ .rank = 2, .startWithin = 800ms, .isReturned = true });
    const auto returned = bench.admit({ .rank = 1, .startWithin = 2000ms, .isReturned = true });
    CHECK(bench.free({ "a", "a", "a", "a" }) == Tickets { returned, returnedLater, within, over });
    CHECK(bench.countOf(PlaceEvent::PromiseKept) == 2);
}

// Guards against a request that is held for its whole time and then refused.
TEST_CASE("A request that is predicted to be late is refused at once, with a retry time")
{
    auto bench = Bench {};
    for (auto i = 0; i < 5; ++i)
        bench.admit({ .startWithin = 550ms });
    CHECK(bench.reply.isQueued);
    bench.admit({ .startWithin = 560ms });
    CHECK_FALSE(bench.reply.isQueued);
    CHECK(bench.reply.refusal == proto::PickRefusal::NoRoom);
    CHECK(bench.reply.comeBackMs == 600); // The sixth slot from now.
    CHECK(bench.queue.waiting() == 5);
    // One that has passed its latest start, or for which no slot is expected, is refused as well.
    bench.admit({ .startWithin = 0ms });
    CHECK_FALSE(bench.reply.isQueued);
    bench.supply = {};
    bench.admit({ .startWithin = 3000ms, .model = 2 });
    CHECK_FALSE(bench.reply.isQueued);
}

TEST_CASE("An urgent request displaces the least urgent rank, and in it the newest request")
{
    auto bench = Bench {};
    const auto older = bench.admit({ .rank = 2, .startWithin = 250ms });
    bench.clock.advance(1ms);
    const auto newer = bench.admit({ .rank = 2, .startWithin = 240ms });
    bench.clock.advance(1ms);
    const auto other = bench.admit({ .rank = 1, .startWithin = 330ms });
    CHECK(bench.reply.isQueued);
    const auto urgent = bench.admit({ .rank = 0, .startWithin = 330ms });
    CHECK(bench.reply.isQueued);
    CHECK(bench.free({}).empty());
    CHECK(bench.refused.size() == 1);
    CHECK(bench.refused.contains(newer));
    CHECK(bench.refused[newer].comeBackMs > 0);
    // A less urgent one displaces no other.
    bench.admit({ .rank = 2, .startWithin = 200ms });
    CHECK_FALSE(bench.reply.isQueued);
    CHECK(bench.free({ "a", "a", "a" }) == Tickets { older, other, urgent });
}

TEST_CASE("A queued request is refused as soon as it is predicted to be late, and the first one "
          "only at its latest start")
{
    auto bench = Bench {};
    const auto first = bench.admit({ .startWithin = 300ms });
    const auto second = bench.admit({ .startWithin = 500ms });
    bench.clock.advance(100ms);
    bench.recheck();
    CHECK(bench.refused.empty());
    bench.supply.perMs = 0.002; // Slots become free five times more slowly.
    bench.recheck();
    CHECK(bench.refused.size() == 1);
    CHECK(bench.refused.contains(second));
    bench.clock.advance(199ms);
    bench.recheck();
    CHECK(bench.queue.waiting() == 1);
    bench.clock.advance(1ms);
    bench.recheck();
    CHECK(bench.refused.contains(first));
    CHECK(bench.queue.waiting() == 0);
}

TEST_CASE("No slot is granted to a request past its latest start")
{
    auto bench = Bench {};
    const auto late = bench.admit({ .startWithin = 300ms });
    const auto other = bench.admit({ .startWithin = 600ms });
    bench.clock.advance(400ms);
    CHECK(bench.free({ "a" }) == Tickets { other });
    CHECK(bench.refused.contains(late));
}

TEST_CASE("A less urgent request without room does not block a more urgent one behind it, but a "
          "newcomer does not overtake its own rank")
{
    auto bench = Bench {};
    bench.admit({ .rank = 2, .startWithin = 500ms });
    const auto urgent = bench.admit({ .rank = 0, .startWithin = 900ms });
    // As where the learned limit admits rank 0 only.
    bench.queue.grant(bench.clock.now(), nullptr, [](const WaitingPick &pick) {
        auto result = std::optional<proto::PickReply> {};
        if (pick.request.rank == 0)
            result.emplace().endpoint = EndpointId { "a" };
        return result;
    });
    const auto grants = bench.queue.takeGrants();
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().request.ticket == urgent);
    CHECK(bench.queue.mustWait(bench.make({ .rank = 2, .startWithin = 900ms })));
    CHECK_FALSE(bench.queue.mustWait(bench.make({ .rank = 2, .startWithin = 400ms })));
    CHECK_FALSE(bench.queue.mustWait(bench.make({ .rank = 0, .startWithin = 900ms })));
    CHECK_FALSE(bench.queue.mustWait(bench.make({ .rank = 2, .isReturned = true })));
    CHECK_FALSE(bench.queue.mustWait(bench.make({ .rank = 2, .model = 2 })));
}

// Guards against an adapter on one busy endpoint that stops all requests of its model.
TEST_CASE("A request whose only candidate is busy does not block requests with other candidates")
{
    auto bench = Bench {};
    const auto adapter = bench.admit({ .startWithin = 500ms, .candidates = { "c" } });
    const auto base = bench.admit({ .startWithin = 900ms });
    CHECK(bench.reply.startMs == 100); // It does not wait for the other one.
    const auto any = bench.admit({ .startWithin = 950ms, .candidates = { "c", "b" } });
    CHECK(bench.reply.startMs == 250); // It competes for "c", and half of the time for "b".
    CHECK(bench.free({ "a" }) == Tickets { base });
    CHECK(bench.free({ "c", "b" }) == Tickets { adapter, any });
}

TEST_CASE("The number of candidate sets is bounded, and the requests of all are granted")
{
    auto bench = Bench { { .maxPools = 2 } };
    auto all = Tickets {};
    for (const auto *name : { "a", "b", "c", "d" })
        all.push_back(bench.admit({ .startWithin = 2000ms, .candidates = { name } }));
    CHECK(bench.free({ "d", "c", "b", "a" }) == all);
}

TEST_CASE("Requests of a plain service wait by their set of candidates")
{
    auto bench = Bench {};
    const auto first = bench.admit({ .candidates = { "p", "q" }, .model = 0 });
    const auto second = bench.admit({ .candidates = { "q", "p" }, .model = 0 });
    CHECK(bench.reply.startMs == 200);
    const auto other = bench.admit({ .candidates = { "r" }, .model = 0 });
    CHECK(bench.reply.startMs == 100);
    CHECK(bench.free({ "r", "p", "q" }) == Tickets { first, second, other });
}

// Guards against a cost of each pass that grows with the queue.
TEST_CASE("A pass tries one request of each model that finds no room")
{
    auto bench = Bench {};
    for (auto i = 0; i < 100; ++i) {
        bench.admit({ .startWithin = 60'000ms, .model = 1 });
        bench.admit({ .startWithin = 60'000ms, .candidates = { "b", "c" }, .model = 2 });
    }
    bench.free({});
    CHECK(bench.tries == 2);
    bench.tries = 0;
    const auto freed = EndpointId { "c" };
    CHECK(bench.free({ "c" }, &freed).size() == 1);
    CHECK(bench.tries == 2); // The one that got it, and the next one.
}

// Guards against callers that return as told and are refused again.
TEST_CASE("Retry times are apart by the time of a slot, and returning in time goes first")
{
    auto bench = Bench {};
    auto told = std::vector<std::uint32_t> {};
    for (auto work = std::uint64_t { 1 }; work <= 4; ++work) {
        bench.admit({ .startWithin = 0ms, .work = work });
        told.push_back(bench.reply.comeBackMs);
    }
    CHECK(told == std::vector<std::uint32_t> { 500, 600, 700, 800 });
    CHECK(bench.queue.promised() == 4);
    auto request = bench.make({ .work = 1 }).request;
    bench.clock.advance(199ms);
    CHECK_FALSE(bench.queue.takePromise(request, bench.clock.now())); // Too early.
    bench.clock.advance(1ms);
    CHECK(bench.queue.takePromise(request, bench.clock.now()));
    CHECK_FALSE(bench.queue.takePromise(request, bench.clock.now())); // Used.
    request.works.ofCaller.low = 2;
    request.model = 9;
    CHECK_FALSE(bench.queue.takePromise(request, bench.clock.now())); // Of another model.
    request.model = 1;
    bench.clock.advance(1400ms);
    CHECK(bench.queue.takePromise(request, bench.clock.now()));
    // Those that did not return are given up 1,000 ms after their time.
    bench.clock.advance(101ms);
    bench.queue.expire(bench.clock.now());
    CHECK(bench.queue.promised() == 1);
    CHECK(bench.countOf(PlaceEvent::PromiseExpired) == 1);
}

TEST_CASE("No retry time is reserved beyond a third of the caller's time")
{
    auto bench = Bench {};
    for (auto work = std::uint64_t { 1 }; work <= 30; ++work) {
        bench.admit({ .startWithin = 0ms, .work = work, .limit = 3000ms });
        CHECK(bench.reply.comeBackMs <= 1000);
        CHECK(bench.reply.comeBackMs > 0);
    }
    CHECK(bench.queue.promised() == 6); // From 500 to 1,000 ms, a slot every 100 ms.
    // Where a third of the time is less than the shortest retry time, it is told.
    bench.admit({ .startWithin = 0ms, .work = 31, .model = 2, .limit = 900ms });
    CHECK(bench.reply.comeBackMs == 300);
}

// Guards against returns that take all slots of a model that is asked for too much.
TEST_CASE("Three of four slots are left for requests that were not refused before")
{
    auto queue = PlaceQueue { {} };
    auto bench = Bench {};
    auto told = std::vector<std::uint32_t> {};
    for (auto work = std::uint64_t { 1 }; work <= 3; ++work) {
        const auto pick = bench.make({ .startWithin = 0ms, .work = work });
        told.push_back(queue.admit(pick, bench.supply, bench.clock.now()).comeBackMs);
    }
    CHECK(told == std::vector<std::uint32_t> { 500, 900, 1300 });
}

TEST_CASE("Promised returns that are due count in the prediction")
{
    auto bench = Bench {};
    for (auto work = std::uint64_t { 1 }; work <= 3; ++work)
        bench.admit({ .startWithin = 0ms, .work = work }); // Told 500, 600 and 700 ms.
    for (auto i = 0; i < 4; ++i)
        bench.admit({ .startWithin = 1000ms });
    CHECK(bench.reply.startMs == 400);
    bench.admit({ .startWithin = 1000ms });
    CHECK(bench.reply.startMs == 800);     // The fifth slot comes after the three returns.
    bench.admit({ .startWithin = 850ms }); // Goes first, and delays no other one too much.
    CHECK(bench.reply.startMs == 100);
    bench.admit({ .startWithin = 950ms });
    CHECK(bench.reply.startMs == 200);
    bench.admit({ .startWithin = 950ms }); // With a third one, the last of 1,000 ms would be late.
    CHECK_FALSE(bench.reply.isQueued);
}

TEST_CASE("The prediction follows the part of the slots that the queue gets")
{
    auto bench = Bench {};
    // Slots become free every 100 ms, but other models get three of four.
    for (auto i = 0; i < 60; ++i) {
        bench.admit({ .startWithin = 30'000ms });
        bench.clock.advance(400ms);
        bench.free({ "a" });
    }
    bench.admit({ .startWithin = 30'000ms });
    CHECK(bench.reply.startMs > 350);
    CHECK(bench.reply.startMs < 450);
}

// Guards against a queue that got no slots once and therefore refuses all requests from then on.
TEST_CASE("What the queue got of the slots is forgotten when no request has waited for a while")
{
    auto bench = Bench {};
    bench.admit({ .startWithin = 20'000ms });
    bench.clock.advance(20s);
    bench.recheck();
    CHECK(bench.queue.waiting() == 0);
    bench.admit({ .startWithin = 1000ms });
    CHECK_FALSE(bench.reply.isQueued);
    for (auto i = 0; i < 5; ++i) {
        bench.clock.advance(500ms);
        bench.admit({ .startWithin = 1000ms });
    }
    CHECK(bench.reply.isQueued);
    CHECK(bench.reply.startMs == 100);
}

// Guards against queueing requests with much time that urgent ones will keep from a slot.
TEST_CASE("The prediction counts urgent requests that are expected to arrive before")
{
    auto bench = Bench { { .arrivalWindow = 1999ms } };
    // Every 200 ms an urgent request takes one of two slots.
    for (auto i = 0; i < 50; ++i) {
        bench.admit({ .rank = 0, .startWithin = 400ms });
        bench.clock.advance(100ms);
        bench.free({ "a" });
        bench.clock.advance(100ms);
    }
    auto alone = Bench {};
    for (auto *each : { &bench, &alone }) {
        for (auto i = 0; i < 10; ++i)
            each->admit({ .rank = 2, .startWithin = 5000ms });
    }
    CHECK(alone.reply.startMs == 1000);
    CHECK(bench.reply.startMs > 1600);
    CHECK(bench.reply.startMs < 2400);
    // Those with as little time are not overtaken.
    bench.admit({ .rank = 0, .startWithin = 400ms });
    CHECK(bench.reply.startMs < 250);
}

TEST_CASE("The queue is bounded, in all and by gateway")
{
    auto bench = Bench { { .maxWaiting = 5, .maxPerGateway = 3 } };
    for (auto i = 0; i < 4; ++i)
        bench.admit({ .startWithin = 5000ms });
    CHECK(bench.reply.refusal == proto::PickRefusal::NoRoom);
    CHECK(bench.queue.waiting() == 3);
    bench.gateway = NodeId { "g-2" };
    for (auto i = 0; i < 3; ++i)
        bench.admit({ .startWithin = 5000ms });
    CHECK(bench.reply.refusal == proto::PickRefusal::NoRoom);
    CHECK(bench.queue.waiting() == 5);
}

// Guards against grants to requests that nobody waits for.
TEST_CASE("Cancelled requests and those of a lost gateway are granted nothing")
{
    auto bench = Bench {};
    const auto cancelled = bench.admit();
    const auto kept = bench.admit();
    bench.gateway = NodeId { "g-2" };
    bench.admit();
    bench.admit();
    CHECK(bench.queue.cancel(NodeId { "g-1" }, cancelled, bench.clock.now()));
    CHECK_FALSE(bench.queue.cancel(NodeId { "g-1" }, cancelled, bench.clock.now()));
    bench.queue.onGatewayLost(NodeId { "g-2" }, bench.clock.now());
    CHECK(bench.free({ "a", "a", "a", "a" }) == Tickets { kept });
    CHECK(bench.queue.waiting() == 0);
}

TEST_CASE("Random calls: every queued request ends exactly once, none is granted past its start")
{
    auto bench = Bench { { .maxWaiting = 40, .maxPerGateway = 30, .maxPools = 3 } };
    auto random = Random { 11 };
    auto open = std::map<std::uint64_t, Instant> {};
    const auto end = [&](std::uint64_t ticket) { CHECK(open.erase(ticket) == 1); };
    for (auto step = 0; step < 20'000; ++step) {
        bench.clock.advance(std::chrono::milliseconds { random.below(30) });
        const auto now = bench.clock.now();
        const auto action = random.below(10);
        if (action < 5) {
            auto terms = Terms {};
            terms.rank = static_cast<std::uint32_t>(random.below(4));
            terms.startWithin = std::chrono::milliseconds { random.below(3000) };
            terms.work = random.below(50);
            terms.model = random.below(3);
            terms.isReturned = random.chance(0.1);
            terms.isOverShare = random.chance(0.2);
            terms.candidates = { std::string(1, static_cast<char>('a' + random.below(5))), "f" };
            const auto ticket = bench.admit(terms);
            if (bench.reply.isQueued)
                open[ticket] = now + terms.startWithin;
        } else if (action < 8) {
            const auto name = std::string(1, static_cast<char>('a' + random.below(6)));
            for (const auto ticket : bench.free({ name })) {
                CHECK(open[ticket] > now);
                end(ticket);
            }
        } else if (action == 8) {
            bench.recheck();
            bench.queue.expire(now);
        } else if (!open.empty()) {
            const auto ticket = open.begin()->first;
            CHECK(bench.queue.cancel(bench.gateway, ticket, now));
            end(ticket);
        }
        for (const auto &grant : bench.queue.takeGrants())
            bench.refused[grant.request.ticket] = grant.reply;
        for (const auto &[ticket, reply] : bench.refused) {
            CHECK(reply.comeBackMs > 0);
            end(ticket);
        }
        bench.refused.clear();
        CHECK(bench.queue.waiting() == open.size());
        CHECK(bench.queue.takeNotices().size() < 100);
    }
}
