// The sum over all connections, and which of them is ended for another.

#include <doctest/doctest.h>

#include <vector>

#include "core/peerbudget.h"
#include "core/random.h"

using namespace figrack;

namespace {

constexpr auto kilobyte = std::uint64_t { 1024 };
constexpr auto fixedBytes = PeerBudget::connectionBytes;

/// A budget in virtual time, and connections that end as soon as they are asked to.
struct World
{
    struct Peer
    {
        std::unique_ptr<PeerBudget::Account> account;
        int asked = 0; ///< How often it was asked to end.
        EndReason reason {};
    };

    explicit World(std::uint64_t maxBytes, std::size_t maxConnections = 1000)
        : budget(std::make_shared<PeerBudget>(optionsOf(maxBytes, maxConnections), clock))
    { }

    static auto optionsOf(std::uint64_t maxBytes, std::size_t maxConnections) -> PeerBudgetOptions
    {
        auto options = PeerBudgetOptions {};
        options.maxBytes = maxBytes;
        options.maxConnections = maxConnections;
        return options;
    }

    /// @return the connection's number; its account is empty if it was refused
    auto connect() -> std::size_t
    {
        peers.push_back(std::make_unique<Peer>());
        auto *peer = peers.back().get();
        peer->account = budget->open([peer](EndReason reason) {
            ++peer->asked;
            peer->reason = reason;
        });
        return peers.size() - 1;
    }

    auto receive(std::uint64_t bytes) -> std::size_t
    {
        const auto number = connect();
        at(number).enter(PeerStage::Receiving);
        REQUIRE(at(number).resize(bytes));
        return number;
    }

    auto at(std::size_t number) -> PeerBudget::Account & { return *peers[number]->account; }
    auto asked(std::size_t number) const -> int { return peers[number]->asked; }
    auto stall() -> void { clock.advance(PeerBudgetOptions {}.stallTime); }

    ManualClock clock;
    std::shared_ptr<PeerBudget> budget;
    std::vector<std::unique_ptr<Peer>> peers;
};

} // namespace

TEST_CASE("Nothing is ended or refused before there is no room")
{
    auto world = World { 4096 * kilobyte };
    const auto first = world.receive(1000 * kilobyte);
    world.stall();
    const auto second = world.receive(2000 * kilobyte);
    CHECK(world.asked(first) == 0);
    CHECK(world.asked(second) == 0);
    CHECK(world.budget->gauges().bytes == 3000 * kilobyte + 2 * fixedBytes);
    world.peers.clear();
    CHECK(world.budget->gauges().bytes == 0);
    CHECK(world.budget->gauges().connections == 0);
}

TEST_CASE(
        "Of those that have stalled the one with most bytes is ended, and its room counts at once")
{
    auto world = World { 4096 * kilobyte };
    const auto small = world.receive(100 * kilobyte);
    const auto large = world.receive(2000 * kilobyte);
    world.stall();
    const auto asking = world.connect();
    world.at(asking).enter(PeerStage::Receiving);
    CHECK(world.at(asking).resize(3000 * kilobyte));
    CHECK(world.asked(large) == 1);
    CHECK(world.peers[large]->reason == EndReason::Memory);
    CHECK(world.asked(small) == 0);
    CHECK_FALSE(world.at(large).resize(2001 * kilobyte));
    // Once it has released its body it is a connection like any other.
    CHECK(world.at(large).resize(0));
    world.at(large).enter(PeerStage::Closing);
    CHECK_FALSE(world.at(large).isEnded());
}

TEST_CASE("A connection that moves its bytes is not ended; the newcomer is refused")
{
    auto world = World { 4096 * kilobyte };
    const auto moving = world.receive(3000 * kilobyte);
    world.stall();
    world.at(moving).moved(PeerBudgetOptions {}.progressBytes);
    const auto asking = world.connect();
    world.at(asking).enter(PeerStage::Receiving);
    CHECK_FALSE(world.at(asking).resize(2000 * kilobyte));
    CHECK(world.asked(moving) == 0);
    CHECK(world.budget->gauges().refused[0] == 1);
    world.stall();
    world.at(moving).moved(1); // Bytes one by one are no progress.
    CHECK(world.at(asking).resize(2000 * kilobyte));
    CHECK(world.asked(moving) == 1);
}

TEST_CASE("A request that a handler has is not ended, and one that got there meanwhile goes on")
{
    auto world = World { 4096 * kilobyte };
    const auto handled = world.receive(1800 * kilobyte);
    const auto raced = world.receive(1700 * kilobyte);
    world.at(handled).enter(PeerStage::Handling);
    world.stall();
    const auto asking = world.receive(1000 * kilobyte);
    CHECK(world.asked(handled) == 0);
    CHECK(world.asked(raced) == 1);
    world.at(raced).enter(PeerStage::Handling);
    CHECK_FALSE(world.at(raced).isEnded());
    CHECK_FALSE(world.at(asking).resize(1001 * kilobyte));
}

TEST_CASE("Ordinary requests have room beside large bodies")
{
    auto world = World { 4096 * kilobyte };
    const auto large = world.receive(3500 * kilobyte);
    const auto second = world.connect();
    world.at(second).enter(PeerStage::Receiving);
    CHECK_FALSE(world.at(second).resize(300 * kilobyte));
    for (auto i = 0; i < 4; ++i)
        world.receive(64 * kilobyte);
    CHECK(world.asked(large) == 0);
}

TEST_CASE("An answer that is not taken is ended for others")
{
    auto world = World { 4096 * kilobyte };
    const auto unread = world.receive(3000 * kilobyte);
    world.at(unread).enter(PeerStage::Handling);
    world.at(unread).enter(PeerStage::Sending);
    world.stall();
    world.receive(2000 * kilobyte);
    CHECK(world.asked(unread) == 1);
}

TEST_CASE("For a descriptor, one that never sent a whole request goes first, the oldest of them")
{
    auto world = World { 1U << 30, 4 };
    const auto kept = world.connect();
    world.at(kept).enter(PeerStage::Handling);
    world.at(kept).enter(PeerStage::Idle);
    const auto busy = world.connect();
    world.at(busy).enter(PeerStage::Handling);
    const auto oldest = world.connect();
    world.clock.advance(std::chrono::milliseconds { 1 });
    const auto younger = world.connect();
    CHECK(world.peers[world.connect()]->account != nullptr);
    CHECK(world.asked(oldest) == 1);
    CHECK(world.peers[oldest]->reason == EndReason::Connections);
    CHECK(world.asked(younger) + world.asked(kept) + world.asked(busy) == 0);
}

TEST_CASE("Where all connections are at work the newcomer is refused")
{
    auto world = World { 1U << 30, 2 };
    for (auto i = 0; i < 2; ++i)
        world.at(world.connect()).enter(PeerStage::Handling);
    world.stall();
    CHECK(world.peers[world.connect()]->account == nullptr);
    CHECK(world.budget->gauges().refused[1] == 1);
}

TEST_CASE("Bytes outside the accounts end others and are never refused")
{
    auto world = World { 4096 * kilobyte };
    const auto stalled = world.receive(3000 * kilobyte);
    world.stall();
    {
        const auto answer = PeerBudget::Holding { world.budget, 5000 * kilobyte };
        CHECK(world.asked(stalled) == 1);
        CHECK(world.budget->gauges().bytes == 8000 * kilobyte + fixedBytes);
    }
    CHECK(world.budget->gauges().bytes == 3000 * kilobyte + fixedBytes);
}

TEST_CASE("The sum is that of the accounts, and never above the limit by what they ask for")
{
    constexpr auto limit = 20'000 * kilobyte;
    auto world = World { limit, 40 };
    auto random = Random { 7 };
    auto held = std::vector<std::uint64_t> {};
    for (auto step = 0; step < 20'000; ++step) {
        world.clock.advance(std::chrono::milliseconds { random.below(100) });
        if (random.below(10) == 0 || world.peers.empty()) {
            world.connect();
            held.push_back(0);
        }
        const auto number = random.below(world.peers.size());
        auto &account = world.peers[number]->account;
        if (account && (account->isEnded() || random.below(20) == 0))
            account.reset();
        if (!account)
            continue;
        account->enter(static_cast<PeerStage>(random.below(peerStageNames.size())));
        account->moved(random.below(100 * kilobyte));
        const auto wanted = random.below(5000) * kilobyte;
        if (account->resize(wanted))
            held[number] = wanted;
        auto sum = std::uint64_t { 0 };
        auto ending = std::uint64_t { 0 };
        for (auto i = std::size_t { 0 }; i < world.peers.size(); ++i) {
            const auto &other = world.peers[i]->account;
            sum += other ? held[i] + fixedBytes : 0;
            ending += other && other->isEnded() ? held[i] + fixedBytes : 0;
        }
        REQUIRE(world.budget->gauges().bytes == sum);
        REQUIRE(sum - ending <= limit);
    }
    world.peers.clear();
    CHECK(world.budget->gauges().bytes == 0);
}
