// Waits for places at balancers, in virtual time and without a network.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "gateway/grantwaits.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

const auto first = Address { "127.0.0.1", 1 };
const auto second = Address { "127.0.0.1", 2 };

auto grantOf(std::uint64_t ticket, const std::string &endpoint) -> proto::PickGrant
{
    auto grant = proto::PickGrant {};
    grant.ticket = ticket;
    grant.reply.endpoint = EndpointId { endpoint };
    return grant;
}

/// A table whose messages to balancers are recorded, with one wait that is queued at the first.
struct Waiting
{
    Waiting()
    {
        wait.setBalancer(first);
        wait.queue(200ms);
        wait.setOnEnd([this] { ++wakes; });
    }
    ManualClock clock;
    std::vector<std::pair<Address, std::uint64_t>> ended;
    GrantWaits waits { [this](const Address &balancer, const proto::PickEnd &end) {
                          CHECK_FALSE(end.mayHaveRun);
                          ended.emplace_back(balancer, end.ticket);
                      },
                       clock };
    GrantWait wait { waits.begin(7) };
    Instant limit { clock.now() + 600ms };
    int wakes = 0;
};

/// A balancer that grants one place at a time, in the order of arrival. Messages take no time, but
/// a frozen balancer handles them only when it resumes.
struct FakeBalancer
{
    explicit FakeBalancer(Address itsAddress)
        : address(std::move(itsAddress))
    { }
    auto resume(GrantWaits &waits) -> void
    {
        isFrozen = false;
        // It granted the places before it was frozen; the messages leave only now.
        for (const auto ticket : std::exchange(queue, {}))
            grant(waits, ticket);
        for (const auto ticket : std::exchange(inbox, {}))
            onEnd(ticket);
    }
    auto grant(GrantWaits &waits, std::uint64_t ticket) -> void
    {
        booked.push_back(ticket);
        waits.onGrant(address, grantOf(ticket, "i-1"));
    }
    auto grantNext(GrantWaits &waits) -> void
    {
        if (isFrozen || queue.empty())
            return;
        const auto ticket = queue.front();
        queue.pop_front();
        grant(waits, ticket);
    }
    auto onEnd(std::uint64_t ticket) -> void
    {
        if (isFrozen) {
            inbox.push_back(ticket);
            return;
        }
        std::erase(queue, ticket);
        std::erase(booked, ticket);
    }

    Address address;
    bool isFrozen = false;
    std::deque<std::uint64_t> queue;
    std::vector<std::uint64_t> booked;
    std::vector<std::uint64_t> inbox; ///< Ends that arrived while it was frozen.
};

constexpr auto step = Duration { 5ms };
constexpr auto startTarget = Duration { 800ms };
constexpr auto runTime = Duration { 40ms };

/// Requests of one gateway that wait at either of two balancers, one of which is asked at a time.
class Play
{
public:
    explicit Play(std::uint64_t seed)
        : random_(seed)
    { }
    /// Runs for a time in which requests arrive and the balancer grants a place every 10 ms.
    /// @param arrivals probability of a new request in each step
    auto run(Duration time, double arrivals) -> void
    {
        for (const auto end = clock_.now() + time; clock_.now() < end; clock_.advance(step)) {
            if (random_.chance(arrivals))
                requests_.emplace_back().arrived = clock_.now();
            if (++steps_ % 2 == 0 && current_)
                at(*current_).grantNext(waits);
            for (auto &request : requests_)
                look(request);
        }
    }
    auto use(const std::optional<Address> &balancer) -> void
    {
        current_ = balancer;
        waits.onBalancer(balancer);
    }
    auto at(const Address &address) -> FakeBalancer &
    {
        return address == first ? balancers_[0] : balancers_[1];
    }
    /// Closes the connection to a balancer, which forgets everything.
    auto close(const Address &address) -> void
    {
        at(address) = FakeBalancer { address };
        waits.onClosed(address);
    }
    auto served() const -> std::size_t { return count(WaitEnd::Granted); }
    auto count(WaitEnd end) const -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(requests_.begin(), requests_.end(), [&](const auto &request) {
                    return request.isDone && request.end == end;
                }));
    }
    /// Checks what holds once all requests have ended.
    auto checkEnded() const -> void
    {
        CHECK(waits.queued() == 0);
        for (const auto &balancer : balancers_) {
            CHECK(balancer.queue.empty());
            CHECK(balancer.booked.empty());
        }
        for (const auto &request : requests_) {
            CHECK(request.isDone);
            CHECK(request.runs <= 1);
            CHECK(request.decided - request.arrived <= startTarget + step);
        }
    }

private:
    struct Request
    {
        Instant arrived;
        Instant decided; ///< Granted, or given up.
        std::optional<GrantWait> wait;
        std::optional<Instant> runsUntil;
        std::optional<WaitEnd> end;
        int runs = 0;
        bool isDone = false;
    };
    auto look(Request &request) -> void
    {
        if (request.runsUntil && clock_.now() >= *request.runsUntil) {
            request.isDone = true;
            onEnd(*request.wait->balancer(), { request.wait->ticket() });
            request.runsUntil.reset();
        }
        if (request.isDone || request.runsUntil)
            return;
        if (!request.wait && current_)
            ask(request);
        if (!request.wait)
            return finish(request, WaitEnd::Refused);
        const auto end = request.wait->check(request.arrived + startTarget);
        if (!end) {
            CHECK(*request.wait->balancer() == *current_);
        } else if (*end == WaitEnd::Granted) {
            request.wait->takeOver();
            ++request.runs;
            request.end = end;
            request.decided = clock_.now();
            request.runsUntil = clock_.now() + runTime;
        } else if (*end == WaitEnd::Expired) {
            finish(request, *end);
        } else {
            request.wait.reset(); // Asks again in the next step.
        }
    }
    auto finish(Request &request, WaitEnd end) -> void
    {
        request.wait.reset();
        request.end = end;
        request.decided = clock_.now();
        request.isDone = true;
    }
    auto ask(Request &request) -> void
    {
        request.wait = waits.begin(++lastTicket_);
        request.wait->setBalancer(*current_);
        request.wait->queue(100ms);
        at(*current_).queue.push_back(lastTicket_);
    }
    auto onEnd(const Address &balancer, const proto::PickEnd &end) -> void
    {
        at(balancer).onEnd(end.ticket);
    }

    ManualClock clock_;
    Random random_;
    std::array<FakeBalancer, 2> balancers_ { FakeBalancer { first }, FakeBalancer { second } };
    std::optional<Address> current_ = first;
    std::uint64_t lastTicket_ = 0;
    std::uint64_t steps_ = 0;

public:
    GrantWaits waits {
        [this](const Address &balancer, const proto::PickEnd &end) { onEnd(balancer, end); }, clock_
    };

private:
    std::deque<Request> requests_;
};

} // namespace

TEST_CASE("A grant ends its wait, and the ticket passes to the booking")
{
    auto world = Waiting {};
    CHECK(world.waits.queued() == 1);
    CHECK_FALSE(world.wait.check(world.limit));
    world.clock.advance(250ms);
    world.waits.onGrant(first, grantOf(7, "i-1"));
    CHECK(world.wakes == 1);
    CHECK(world.wait.check(world.limit) == WaitEnd::Granted);
    CHECK(world.wait.reply().endpoint == EndpointId { "i-1" });
    world.clock.advance(1s);
    CHECK(world.wait.waited() == 250ms);
    CHECK(world.wait.check(world.limit) == WaitEnd::Granted); // It came before the limit.
    world.wait.takeOver();
    auto wait = std::optional { std::move(world.wait) };
    wait.reset();
    CHECK(world.ended.empty());
    CHECK(world.waits.queued() == 0);
}

TEST_CASE("A grant that arrives before the reply that queued the request is not lost")
{
    auto world = Waiting {};
    auto early = world.waits.begin(8);
    world.waits.onGrant(first, grantOf(8, "i-1"));
    early.setBalancer(first);
    early.queue(100ms);
    CHECK(early.check(world.limit) == WaitEnd::Granted);
    CHECK(world.ended.empty());
}

TEST_CASE("A grant that no wait expects is returned, so that its place does not stay booked")
{
    auto world = Waiting {};
    auto expected = std::vector<std::pair<Address, std::uint64_t>> {};
    SUBCASE("of an unknown ticket")
    {
        world.waits.onGrant(first, grantOf(99, "i-1"));
        expected = { { first, 99 } };
    }
    SUBCASE("of another balancer")
    {
        world.waits.onGrant(second, grantOf(7, "i-1"));
        expected = { { second, 7 } };
    }
    SUBCASE("of a wait that has moved to another balancer")
    {
        world.waits.onBalancer(second);
        world.waits.onGrant(first, grantOf(7, "i-1"));
        expected = { { first, 7 } };
    }
    CHECK(world.ended == expected);
    CHECK(world.wait.check(world.limit) != WaitEnd::Granted);
}

TEST_CASE("A wait that is given up ends its ticket, so that its account gets the charge back")
{
    auto world = Waiting {};
    auto expected = WaitEnd::Expired;
    SUBCASE("at its limit")
    {
        world.clock.advance(600ms);
    }
    SUBCASE("because the connection closed")
    {
        world.waits.onClosed(second);
        CHECK_FALSE(world.wait.check(world.limit));
        world.waits.onClosed(first);
        expected = WaitEnd::Closed;
    }
    SUBCASE("because another control balances")
    {
        world.waits.onBalancer(first);
        CHECK_FALSE(world.wait.check(world.limit));
        world.waits.onBalancer(second);
        expected = WaitEnd::Moved;
    }
    SUBCASE("because no control balances")
    {
        world.waits.onBalancer(std::nullopt);
        expected = WaitEnd::Moved;
    }
    SUBCASE("because the caller left")
    {
        CHECK(world.wait.finish(WaitEnd::Left) == WaitEnd::Left);
        expected = WaitEnd::Left;
    }
    SUBCASE("because the balancer refused it")
    {
        world.waits.onGrant(first, grantOf(7, ""));
        expected = WaitEnd::Refused;
    }
    CHECK(world.wait.check(world.limit) == expected);
    CHECK(world.wakes == 1);
    auto wait = std::optional { std::move(world.wait) };
    wait.reset();
    CHECK(world.ended == std::vector<std::pair<Address, std::uint64_t>> { { first, 7 } });
}

TEST_CASE("A request that was not queued leaves no message behind")
{
    auto world = Waiting {};
    {
        auto wait = world.waits.begin(9);
        wait.setBalancer(first);
    }
    CHECK(world.ended.empty());
}

TEST_CASE("Under load, each request is served once or given up by its latest start")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto play = Play { seed };
        play.run(5s, 0.7); // Arrivals are 1.4 times the places that become free.
        play.run(2s, 0);
        play.checkEnded();
        CHECK(play.served() > 450);
        CHECK(play.count(WaitEnd::Expired) > 0);
    }
}

TEST_CASE("The failure of a balancer costs no request its wait, and leaves no place booked")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        auto play = Play { seed };
        play.run(1s, 0.45);
        SUBCASE("its connection closes, and another one balances")
        {
            play.close(first);
            play.use(second);
        }
        SUBCASE("it freezes, and sends its grants when it resumes")
        {
            play.at(first).isFrozen = true;
            play.run(100ms, 0.45);
            play.use(second);
            play.run(300ms, 0.45);
            play.at(first).resume(play.waits);
            play.run(300ms, 0.45);
            play.use(first);
        }
        SUBCASE("a control that takes precedence connects")
        {
            play.use(second);
            play.run(200ms, 0.45);
            play.use(first);
        }
        play.run(2s, 0.45);
        play.run(2s, 0);
        play.checkEnded();
        // Places suffice for all requests, also for those that asked twice.
        CHECK(play.count(WaitEnd::Expired) == 0);
        CHECK(play.count(WaitEnd::Refused) == 0);
    }
}
