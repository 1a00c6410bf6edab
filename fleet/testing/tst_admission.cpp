// Tests the limit of an endpoint's requests, alone and under a simulated load in virtual time.

#include <array>
#include <deque>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "fleet/admission.h"
#include "fleet/balancer.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto places = 48U;

/// Ends this many requests at once, one adjustment interval later. @return the limit after that
auto endMany(ConcurrencyLimit &limit, std::uint32_t late, std::uint32_t onTime,
             std::uint32_t running, ManualClock &clock) -> double
{
    clock.advance(600ms);
    for (auto i = 0U; i < late + onTime; ++i)
        limit.onEnd(i < late, running, clock.now());
    return limit.limit();
}

/// An engine that reads one prompt after another and generates one token per running stream and
/// step. A step that reads a prompt takes longer for all streams, as in a batch.
class PlayedEngine
{
public:
    struct Stream
    {
        std::uint64_t ticket = 0;
        Instant sentAt {};
        std::uint32_t tokensLeft = 0;
        double readLeftMs = 0;
        Instant lastEventAt {};
        bool begun = false;
        bool late = false;
        std::uint32_t untilEvent = eventTokens;
    };

    static constexpr auto eventTokens = 6U;
    static constexpr auto startTarget = Duration { 300ms };
    static constexpr auto gapTarget = Duration { 150ms };

    auto send(Stream stream) -> void { waiting_.push_back(stream); }

    /// Simulates one step. @return the streams that have ended, and how long the step took
    auto step(Instant now) -> std::pair<std::vector<Stream>, Duration>
    {
        while (running_.size() < places && !waiting_.empty()) {
            running_.push_back(waiting_.front());
            waiting_.pop_front();
        }
        auto milliseconds = 5.0 + 0.0164 * static_cast<double>(running_.size());
        for (auto &stream : running_) {
            const auto read = std::min(stream.readLeftMs, 50.0 - std::min(50.0, milliseconds - 5));
            stream.readLeftMs -= read;
            milliseconds += read;
        }
        const auto took = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli> { milliseconds });
        auto ended = std::vector<Stream> {};
        std::erase_if(running_, [&](Stream &stream) {
            if (stream.readLeftMs > 0)
                return false;
            generate(stream, now + took);
            if (stream.tokensLeft == 0)
                ended.push_back(stream);
            return stream.tokensLeft == 0;
        });
        return { ended, took };
    }

private:
    static auto generate(Stream &stream, Instant now) -> void
    {
        --stream.tokensLeft;
        if (stream.begun && --stream.untilEvent > 0 && stream.tokensLeft > 0)
            return;
        const auto since = stream.begun ? now - stream.lastEventAt : now - stream.sentAt;
        const auto target = stream.begun ? gapTarget : startTarget;
        stream.late = stream.late || since > target;
        stream.begun = true;
        stream.untilEvent = eventTokens;
        stream.lastEventAt = now;
    }

    std::deque<Stream> waiting_;
    std::vector<Stream> running_;
};

/// A simulated engine whose streams have their own targets, and whose prompts take long to read.
/// Events and steps are those of engines with 64 places: nine tokens per event and at most 107 ms
/// of reading per step.
class MixedEngine
{
public:
    struct Request
    {
        std::uint64_t ticket = 0;
        bool isCheck = false;
        Instant sentAt {};
        double readLeftMs = 0;
        std::uint32_t tokensLeft = 0;
        Instant begunAt {}; ///< Time of its first event; not before sentAt.
        Instant lastEventAt {};
        Duration longestGap {};
        std::uint32_t untilEvent = 1;
    };
    static constexpr auto places = 64U;

    auto send(const Request &request) -> void { waiting_.push_back(request); }
    auto step(Instant now) -> std::pair<std::vector<Request>, Duration>
    {
        while (running_.size() < places && !waiting_.empty()) {
            running_.push_back(waiting_.front());
            waiting_.pop_front();
        }
        auto budget = 107.0;
        auto milliseconds = 4.73 + 0.0138 * static_cast<double>(running_.size());
        for (auto &request : running_) {
            const auto read = std::min(request.readLeftMs, budget);
            budget -= read;
            request.readLeftMs -= read;
            milliseconds += read;
        }
        const auto took = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli> { milliseconds });
        auto ended = std::vector<Request> {};
        std::erase_if(running_, [&](Request &request) {
            if (request.readLeftMs > 0)
                return false;
            generate(request, now + took);
            if (request.tokensLeft == 0)
                ended.push_back(request);
            return request.tokensLeft == 0;
        });
        return { ended, took };
    }

private:
    static auto generate(Request &request, Instant now) -> void
    {
        --request.tokensLeft;
        if (--request.untilEvent > 0 && request.tokensLeft > 0)
            return;
        request.untilEvent = 9;
        if (request.begunAt == Instant {})
            request.begunAt = now;
        else
            request.longestGap = std::max<Duration>(request.longestGap, now - request.lastEventAt);
        request.lastEventAt = now;
    }

    std::deque<Request> waiting_;
    std::vector<Request> running_;
};

struct MixedOutcome
{
    int draftsOnTime = 0;
    int checksOnTime = 0;
    int drafts = 0;
    int checks = 0;
};

/// Simulates 40 s of drafts (a prompt of 200 ms, 60 tokens) and checks (22 ms, 290 tokens) at one
/// endpoint. A caller that finds no room retries every 50 ms for half of its start target.
auto playMixed(double draftsPerSecond, double checksPerSecond) -> MixedOutcome
{
    struct Asking
    {
        proto::PickRequest request;
        Instant arrivedAt {};
        Instant askAt {};
        bool isCheck = false;
        bool isHeld = false; ///< Booked, to be sent at askAt.
    };
    auto clock = ManualClock {};
    auto random = Random { 11 };
    auto balancer = Balancer { {}, clock, random };
    auto engine = MixedEngine {};
    const auto gateway = NodeId { "g-1" };
    auto outcome = MixedOutcome {};
    auto asking = std::vector<Asking> {};
    auto arrivals = std::map<std::uint64_t, Instant> {};
    auto ticket = std::uint64_t { 0 };
    auto next = std::array<Instant, 2> { clock.now(), clock.now() };
    const auto begin = clock.now();
    while (clock.now() - begin < 40s) {
        for (const auto isCheck : { false, true }) {
            auto &at = next[isCheck ? 1 : 0];
            while (at <= clock.now()) {
                auto request = proto::PickRequest {};
                request.ticket = ++ticket;
                request.candidates.emplace_back("a");
                request.model = 1;
                request.ownTokens = isCheck ? 616 : 5600;
                request.outputTokens = isCheck ? 290 : 60;
                request.limitMs = isCheck ? 15'000 : 5'000;
                request.places = MixedEngine::places;
                request.rank = isCheck ? 0 : 1;
                request.startTargetMs = isCheck ? 800 : 1000;
                request.gapTargetMs = 600;
                ++(isCheck ? outcome.checks : outcome.drafts);
                asking.push_back({ request, at, at, isCheck, false });
                const auto rate = isCheck ? checksPerSecond : draftsPerSecond;
                at += std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double> { (0.5 + random.unit()) / rate });
            }
        }
        std::erase_if(asking, [&](Asking &one) {
            if (one.askAt > clock.now())
                return false;
            if (!one.isHeld) {
                const auto reply = balancer.pick(gateway, one.request);
                const auto timeout = std::chrono::milliseconds { one.request.startTargetMs / 2 };
                one.isHeld = !reply.endpoint.empty();
                if (!one.isHeld && clock.now() - one.arrivedAt > timeout)
                    return true;
                one.askAt = clock.now()
                        + (one.isHeld ? Duration { std::chrono::milliseconds { reply.holdMs } }
                                      : Duration { 50ms });
                if (one.askAt > clock.now())
                    return false;
            }
            arrivals[one.request.ticket] = one.arrivedAt;
            engine.send({ one.request.ticket, one.isCheck, clock.now(), one.isCheck ? 22.0 : 200.0,
                          one.isCheck ? 290U : 60U });
            return true;
        });
        const auto [ended, took] = engine.step(clock.now());
        clock.advance(took);
        for (const auto &one : ended) {
            const auto startTarget = one.isCheck ? 800ms : 1000ms;
            const auto isLate = one.begunAt - one.sentAt > startTarget || one.longestGap > 600ms;
            const auto first = one.begunAt - arrivals.at(one.ticket);
            if (first <= startTarget && one.longestGap <= 600ms)
                ++(one.isCheck ? outcome.checksOnTime : outcome.draftsOnTime);
            const auto how = isLate ? proto::PickOutcome::Late : proto::PickOutcome::OnTime;
            const auto start = std::chrono::duration_cast<std::chrono::milliseconds>(one.begunAt
                                                                                     - one.sentAt);
            balancer.onEnd(gateway, { one.ticket, start.count(), how });
        }
    }
    return outcome;
}

struct Outcome
{
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
};

/// Simulates 30 s of streams of 280 tokens after prompts of 17 ms at one endpoint.
/// @param perSecond arrivals @param limited whether the balancer is given the engine's places
auto play(double perSecond, bool limited) -> Outcome
{
    auto clock = ManualClock {};
    auto random = Random { 5 };
    auto balancer = Balancer { {}, clock, random };
    auto engine = PlayedEngine {};
    const auto gateway = NodeId { "g-1" };
    auto outcome = Outcome {};
    auto nextArrival = clock.now();
    const auto begin = clock.now();
    while (clock.now() - begin < 30s) {
        while (nextArrival <= clock.now()) {
            auto request = proto::PickRequest {};
            request.ticket = static_cast<std::uint64_t>(++outcome.asked);
            request.candidates.emplace_back("a");
            request.model = 1;
            request.ownTokens = 700;
            request.outputTokens = 280;
            request.limitMs = 12'000;
            request.places = limited ? places : 0;
            request.rank = 2;
            const auto reply = balancer.pick(gateway, request);
            if (reply.endpoint.empty())
                ++outcome.refused;
            else
                engine.send({ request.ticket, clock.now(), 280, 17.0 });
            const auto gap = std::chrono::duration<double> { (0.5 + random.unit()) / perSecond };
            nextArrival += std::chrono::duration_cast<Duration>(gap);
        }
        const auto [ended, took] = engine.step(clock.now());
        clock.advance(took);
        for (const auto &stream : ended) {
            const auto how = stream.late ? proto::PickOutcome::Late : proto::PickOutcome::OnTime;
            (stream.late ? outcome.late : outcome.onTime) += 1;
            balancer.onEnd(gateway, { stream.ticket, 0, how });
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("The limit falls while many requests end late, but not below half of the places")
{
    auto clock = ManualClock {};
    auto limit = ConcurrencyLimit { {} };
    CHECK(limit.admits(47, places, 0));
    CHECK_FALSE(limit.admits(53, places, 0));
    CHECK(endMany(limit, 5, 5, 48, clock) < 48);
    CHECK(endMany(limit, 10, 0, 30, clock) < 30);
    for (auto i = 0; i < 20; ++i)
        endMany(limit, 10, 0, 10, clock);
    CHECK(limit.limit() == doctest::Approx(24));
    CHECK(limit.admits(20, places, 2));
}

TEST_CASE("The limit rises, up to all places, only when it caused a refusal")
{
    auto clock = ManualClock {};
    auto limit = ConcurrencyLimit { {} };
    CHECK(limit.admits(10, places, 0));
    for (auto i = 0; i < 20; ++i)
        endMany(limit, 10, 0, 48, clock);
    const auto low = limit.limit();
    CHECK(endMany(limit, 0, 10, 20, clock) == low);
    for (auto i = 0; i < 100; ++i) {
        CHECK_FALSE(limit.admits(60, places, 0));
        endMany(limit, 0, 10, 24, clock);
    }
    CHECK(limit.limit() == places);
}

TEST_CASE("Few ends, or ends within one adjustment interval, change nothing")
{
    auto clock = ManualClock {};
    auto limit = ConcurrencyLimit { {} };
    CHECK(limit.admits(10, places, 0));
    CHECK(endMany(limit, 3, 0, 48, clock) == places);
    CHECK(endMany(limit, 1, 0, 48, clock) < places);
}

TEST_CASE("More urgent requests are admitted where less urgent ones are not")
{
    auto limit = ConcurrencyLimit { {} };
    CHECK(limit.admits(45, places, 1));
    CHECK_FALSE(limit.admits(45, places, 2));
    CHECK(limit.admits(50, places, 0));
    CHECK_FALSE(limit.admits(50, places, 1));
    CHECK(limit.admits(1000, 0, 2)); // A plain service has no limit of places.
}

TEST_CASE("When more requests arrive than can be served, the admitted ones are on time")
{
    const auto without = play(32, false);
    const auto with = play(32, true);
    // Without the limit 48 of 956 requests were on time, with it 528 are.
    CHECK(with.onTime > 5 * without.onTime);
    CHECK(with.onTime > 450);
    CHECK(with.late < with.onTime);
    // When all requests can be served, none is refused.
    const auto calm = play(10, true);
    CHECK(calm.refused == 0);
    CHECK(calm.late * 20 < calm.onTime);
}

TEST_CASE("Callers that find no room are told to retry one after another")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    const auto options = BalancerOptions {};
    auto balancer = Balancer { options, clock, random };
    const auto ask = [&](std::uint64_t ticket, bool hasBegun) {
        auto request = proto::PickRequest {};
        request.ticket = ticket;
        request.candidates.emplace_back("a");
        request.model = 7;
        request.limitMs = 60'000;
        request.places = 4;
        request.hasBegun = hasBegun;
        return balancer.pick(NodeId { "g" }, request);
    };
    auto ticket = std::uint64_t { 0 };
    while (!ask(++ticket, false).endpoint.empty()) {
    }
    const auto taken = balancer.booked();
    auto last = std::uint32_t { 0 };
    for (auto i = 0; i < 5; ++i) {
        const auto reply = ask(++ticket, false);
        CHECK(reply.endpoint.empty());
        CHECK(reply.comeBackMs > last);
        CHECK(std::chrono::milliseconds { reply.comeBackMs } >= options.minRetryAfter);
        CHECK(std::chrono::milliseconds { reply.comeBackMs } <= options.maxRetryAfter);
        last = reply.comeBackMs;
    }
    CHECK(balancer.booked() == taken); // Refused requests are not booked.
    // A stream that has already started is not refused for want of a place.
    CHECK_FALSE(ask(++ticket, true).endpoint.empty());
}

// Guards against prompts that are sent without a decode interval. When demand moved to a model with
// three replicas, checks that started within 0.1 s paused for over a second at p90, half of the
// drafts were refused and the others were late. Prompts beyond those that could be held back were
// sent without any break, so that an engine with much to read generated one token per stream for
// each 107 ms of reading, and no stream was on time.
TEST_CASE("When more prompts arrive than an endpoint can read, those it accepts are on time, and "
          "so are the streams")
{
    // Percent on time, drafts and checks, when such prompts were accepted: 89 and 67, 46 and 15, 22
    // and 20, 14 and 38; when they are refused: 96 and 83, 77 and 76, 48 and 82, 31 and 84.
    struct Load
    {
        double drafts;
        double checks;
        int leastDrafts;
        int leastChecks;
    };
    for (const auto &load : { Load { 3, 6, 90, 78 }, Load { 4, 6, 70, 70 }, Load { 6, 8, 42, 75 },
                              Load { 8, 10, 26, 75 } }) {
        const auto outcome = playMixed(load.drafts, load.checks);
        CAPTURE(load.drafts);
        CHECK(outcome.draftsOnTime * 100 >= outcome.drafts * load.leastDrafts);
        CHECK(outcome.checksOnTime * 100 >= outcome.checks * load.leastChecks);
    }
}

TEST_CASE("When an endpoint can read all prompts, none is delayed")
{
    // 97 and 95 percent, 98 and 94; the same as when no prompt was refused for reading time.
    for (const auto &[drafts, checks] : { std::pair { 1.0, 3.0 }, std::pair { 2.0, 4.0 } }) {
        const auto outcome = playMixed(drafts, checks);
        CHECK(outcome.draftsOnTime * 100 >= outcome.drafts * 95);
        CHECK(outcome.checksOnTime * 100 >= outcome.checks * 92);
    }
}
