#include <deque>
#include <map>

#include <doctest/doctest.h>

#include "coord/replica.h"

using namespace figrack;
using namespace figrack::coord;

namespace {

struct MemoryStore final : LogStore
{
    Recovered content;
    auto recover() -> absl::StatusOr<Recovered> override { return content; }
    auto saveIdentity(const Identity &identity) -> absl::Status override
    {
        content.identity = identity;
        return absl::OkStatus();
    }
    auto saveVote(const Vote &vote) -> absl::Status override
    {
        content.vote = vote;
        return absl::OkStatus();
    }
    auto append(const std::vector<Entry> &entries) -> absl::Status override
    {
        content.entries.insert(content.entries.end(), entries.begin(), entries.end());
        return absl::OkStatus();
    }
    auto truncate(LogIndex from) -> absl::Status override
    {
        std::erase_if(content.entries, [&](const Entry &entry) { return entry.index >= from; });
        return absl::OkStatus();
    }
    auto saveSnapshot(const Snapshot &snapshot) -> absl::Status override
    {
        content.snapshot = snapshot;
        std::erase_if(content.entries,
                      [&](const Entry &entry) { return entry.index <= snapshot.lastIndex; });
        return absl::OkStatus();
    }
    auto readSnapshot() -> absl::StatusOr<Snapshot> override { return *content.snapshot; }
};

struct TextState final : StateMachine
{
    std::string text;
    auto apply(const Entry &entry) -> void override { text += entry.data; }
    auto snapshot() const -> std::string override { return text; }
    auto restore(std::string_view state, LogIndex) -> absl::Status override
    {
        text = state;
        return absl::OkStatus();
    }
};

struct Group : Transport
{
    ManualClock clock;
    Random random { 1 };
    std::deque<std::pair<NodeId, Message>> queue;
    std::map<NodeId, MemoryStore> stores;
    std::map<NodeId, TextState> states;
    std::map<NodeId, std::unique_ptr<Replica>> replicas;

    auto send(const NodeId &to, Message message) -> void override
    {
        queue.emplace_back(to, std::move(message));
    }
    auto start(const std::string &name, std::vector<Member> founders) -> void
    {
        auto options = ReplicaOptions {};
        options.self.node = NodeId { name };
        options.founders = std::move(founders);
        options.snapshotEvery = 20;
        options.keepEntries = 5;
        auto node = options.self.node;
        states[node].text.clear();
        replicas[node] = std::make_unique<Replica>(options, clock, *this, stores[node],
                                                   states[node], random);
        REQUIRE(replicas[node]->start().ok());
    }
    auto run(Duration time) -> void
    {
        for (auto end = clock.now() + time; clock.now() < end;
             clock.advance(std::chrono::milliseconds { 10 })) {
            for (auto &[node, replica] : replicas)
                replica->tick();
            deliverAll();
        }
    }
    auto deliverAll() -> void
    {
        while (!queue.empty()) {
            auto [to, message] = std::move(queue.front());
            queue.pop_front();
            if (replicas.contains(to))
                replicas[to]->receive(message);
        }
    }
    auto leader() -> Replica *
    {
        for (auto &[node, replica] : replicas)
            if (replica->holdsLease())
                return replica.get();
        return nullptr;
    }
};

auto founders() -> std::vector<Member>
{
    auto result = std::vector<Member> {};
    for (const auto *name : { "a", "b", "c" }) {
        auto member = Member {};
        member.node = NodeId { name };
        result.push_back(member);
    }
    return result;
}

} // namespace

TEST_CASE("followers apply what is committed without waiting for a heartbeat")
{
    auto group = Group {};
    for (const auto *name : { "a", "b", "c" })
        group.start(name, founders());
    group.run(std::chrono::seconds { 3 });
    auto *leader = group.leader();
    REQUIRE(leader != nullptr);
    REQUIRE(leader->propose("x").ok());
    leader->flush();
    group.deliverAll();
    for (const auto &[node, state] : group.states)
        CHECK(state.text == "x");
}

TEST_CASE("three founders elect a leader, replicate, and take in a fourth")
{
    auto group = Group {};
    for (const auto *name : { "a", "b", "c" })
        group.start(name, founders());
    group.run(std::chrono::seconds { 3 });
    auto *leader = group.leader();
    REQUIRE(leader != nullptr);
    for (auto i = 0; i < 100; ++i) {
        REQUIRE(leader->propose("x").ok());
        leader->flush();
        group.run(std::chrono::milliseconds { 10 });
    }
    group.run(std::chrono::seconds { 1 });
    for (auto &[node, state] : group.states)
        CHECK(state.text == std::string(100, 'x'));

    group.start("d", {});
    auto learner = Member {};
    learner.node = NodeId { "d" };
    learner.incarnation = group.replicas[learner.node]->status().incarnation;
    REQUIRE(leader->addLearner(learner).ok());
    CHECK_FALSE(leader->promote(learner.node).ok());
    group.run(std::chrono::seconds { 1 });
    CHECK(group.states[learner.node].text == std::string(100, 'x'));
    REQUIRE(leader->promote(learner.node).ok());
    group.run(std::chrono::seconds { 1 });
    CHECK(leader->repairComplete());
    CHECK(leader->status().membership.voterCount() == 4);

    auto before = leader->status().leader;
    REQUIRE(leader->remove(before).ok());
    group.run(std::chrono::seconds { 2 });
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->status().leader != before);
    CHECK(group.replicas[before]->status().role == Role::Learner);
}

TEST_CASE("replicas restarted all at once keep what was committed")
{
    auto group = Group {};
    for (const auto *name : { "a", "b", "c" })
        group.start(name, founders());
    group.run(std::chrono::seconds { 3 });
    REQUIRE(group.leader() != nullptr);
    for (auto i = 0; i < 50; ++i)
        REQUIRE(group.leader()->propose("y").ok());
    group.run(std::chrono::seconds { 1 });
    group.queue.clear();
    for (const auto *name : { "a", "b", "c" })
        group.start(name, founders());
    group.run(std::chrono::seconds { 3 });
    REQUIRE(group.leader() != nullptr);
    for (auto &[node, state] : group.states)
        CHECK(state.text == std::string(50, 'y'));
}
