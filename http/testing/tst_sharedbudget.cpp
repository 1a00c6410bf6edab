// Servers that share a PeerBudget, with peers that hold much and move little.

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <utility>

#include "http/server.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace asio = boost::asio;

namespace {

constexpr auto megabyte = std::size_t { 1 } << 20;

/// Whatever is not at work counts as stalled.
auto budgetOf(std::uint64_t maxBytes, std::size_t maxConnections) -> std::shared_ptr<PeerBudget>
{
    auto options = PeerBudgetOptions {};
    options.maxBytes = maxBytes;
    options.maxConnections = maxConnections;
    options.stallTime = Duration::zero();
    return std::make_shared<PeerBudget>(options, systemClock());
}

auto handle(const Request &request, Responder &responder) -> asio::awaitable<void>
{
    auto response = Response {};
    response.body = request.path == "/large" ? std::string(2 * megabyte, 'x')
                                             : "got " + std::to_string(request.body.size());
    co_await responder.send(std::move(response));
}

/// Two servers as one process has them.
struct World
{
    explicit World(std::shared_ptr<PeerBudget> shared)
        : budget(std::move(shared))
        , first(threads.context(), options(), handle, budget)
        , second(threads.context(), options(), handle, budget)
    {
        REQUIRE(first.start({ "127.0.0.1", 0 }).ok());
        REQUIRE(second.start({ "127.0.0.1", 0 }).ok());
    }

    static auto options() -> ServerOptions
    {
        auto result = ServerOptions {};
        result.mayWithholdAnswers = true;
        return result;
    }

    template<typename Condition>
    auto await(const Condition &condition) const -> void
    {
        const auto limit = BootClock::now() + testLimit;
        while (!condition(budget->gauges()) && BootClock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
        REQUIRE(condition(budget->gauges()));
    }

    auto awaitConnections(std::uint64_t count) const -> void
    {
        await([count](const auto &gauges) { return gauges.connections == count; });
    }

    std::shared_ptr<PeerBudget> budget;
    ContextThreads threads;
    Server first;
    Server second;
};

auto post(std::size_t length, std::size_t sent) -> std::string
{
    return "POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n" + std::string(sent, 'x');
}

auto has(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A body that has stalled at one server is refused for a body at another")
{
    auto world = World { budgetOf(4 * megabyte, 100) };
    auto stalled = RawSocket { world.first.port() };
    stalled.say(post(2 * megabyte, 2 * megabyte - 1));
    world.await([](const auto &gauges) { return gauges.bytes > 2 * megabyte; });
    auto whole = RawSocket { world.second.port() };
    whole.say(post(2 * megabyte, 2 * megabyte));
    CHECK(has(whole.hearAll(), "got 2097152"));
    const auto heard = stalled.hearAll();
    CHECK(has(heard, "HTTP/1.1 503"));
    CHECK(has(heard, "Retry-After"));
    CHECK(has(heard, "X-Figrack-Ran: not_run"));
    world.awaitConnections(0);
    CHECK(world.budget->gauges().bytes == 0);
    CHECK(world.budget->gauges().ended[0] == 1);
}

TEST_CASE("A body that is larger than all room is refused, and small requests are answered")
{
    auto world = World { budgetOf(2 * megabyte, 100) };
    auto large = RawSocket { world.first.port() };
    large.say(post(2 * megabyte, 2 * megabyte));
    CHECK(has(large.hearAll(), "HTTP/1.1 503"));
    auto small = RawSocket { world.first.port() };
    small.say(post(3, 3));
    CHECK(has(small.hearAll(), "got 3"));
}

TEST_CASE("An announced length costs nothing")
{
    auto world = World { budgetOf(2 * megabyte, 100) };
    auto announcing = RawSocket { world.first.port() };
    announcing.say(post(2 * megabyte, 0));
    world.awaitConnections(1);
    auto other = RawSocket { world.second.port() };
    other.say(post(megabyte / 2, megabyte / 2));
    CHECK(has(other.hearAll(), "got 524288"));
    CHECK(world.budget->gauges().ended[0] == 0);
}

TEST_CASE("For a new connection the oldest one without a request is ended, at whichever server")
{
    auto world = World { budgetOf(64 * megabyte, 2) };
    auto oldest = RawSocket { world.first.port() };
    world.awaitConnections(1);
    auto younger = RawSocket { world.second.port() };
    world.awaitConnections(2);
    auto served = RawSocket { world.second.port() };
    served.say(post(3, 3));
    CHECK(has(served.hearAll(), "got 3"));
    CHECK(oldest.hearAll().empty());
    younger.say(post(4, 4));
    CHECK(has(younger.hearAll(), "got 4"));
    CHECK(world.budget->gauges().ended[1] == 1);
}

TEST_CASE("A large answer that has no room is withheld, and served when there is")
{
    auto world = World { budgetOf(megabyte, 100) };
    auto asking = RawSocket { world.first.port() };
    asking.say("GET /large HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(has(asking.hearAll(), "HTTP/1.1 503"));
    auto roomy = World { budgetOf(8 * megabyte, 100) };
    auto again = RawSocket { roomy.first.port() };
    again.say("GET /large HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(again.hearAll().size() > 2 * megabyte);
    roomy.awaitConnections(0);
    CHECK(roomy.budget->gauges().bytes == 0);
}
