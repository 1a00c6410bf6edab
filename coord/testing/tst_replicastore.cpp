// Replicas over the store that ships, on disks that lose power at any call.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

#include <doctest/doctest.h>

#include "coord/filelogstore.h"
#include "coord/replica.h"
#include "coord/testing/fakedisk.h"

using namespace figrack;
using namespace figrack::coord;
using namespace figrack::coord::testing;
using namespace std::chrono_literals;

namespace {

struct Commands final : StateMachine
{
    std::vector<std::string> applied;
    auto apply(const Entry &entry) -> void override { applied.push_back(entry.data); }
    auto snapshot() const -> std::string override
    {
        auto text = std::string {};
        for (const auto &command : applied)
            text += command + "\n";
        return text;
    }
    auto restore(std::string_view state, LogIndex /*lastIndex*/) -> absl::Status override
    {
        applied.clear();
        while (!state.empty()) {
            const auto end = state.find('\n');
            applied.emplace_back(state.substr(0, end));
            state.remove_prefix(end + 1);
        }
        return absl::OkStatus();
    }
};

struct Node
{
    FakeDisk disk;
    std::unique_ptr<FileLogStore> store;
    std::unique_ptr<Commands> state;
    std::unique_ptr<Replica> replica;
};

class Group : public Transport
{
public:
    explicit Group(std::uint64_t seed)
        : random_(seed)
    {
        for (const auto *name : { "a", "b", "c" })
            start(NodeId { name });
    }

    auto send(const NodeId &to, Message message) -> void override
    {
        queue_.emplace_back(to, std::move(message));
    }

    auto run(int ticks) -> void
    {
        for (auto i = 0; i < ticks; ++i) {
            clock_.advance(10ms);
            for (auto &[name, node] : nodes_)
                node.replica->tick();
            for (auto sent = queue_.size(); sent > 0; --sent) {
                auto [to, message] = std::move(queue_.front());
                queue_.pop_front();
                nodes_[to].replica->receive(message);
            }
            checkStates();
        }
    }

    auto propose(const std::string &command) -> void
    {
        for (auto &[name, node] : nodes_)
            if (node.replica->holdsLease() && node.replica->propose(command).ok())
                node.replica->flush();
    }

    /// One of the next calls to a disk fails as the power goes, and the VM starts again.
    auto losePower() -> void
    {
        auto node = nodes_.begin();
        std::advance(node, static_cast<std::ptrdiff_t>(random_.below(nodes_.size())));
        auto &disk = node->second.disk;
        disk.crashAt(disk.calls() + 1 + random_.below(12));
        run(static_cast<int>(1 + random_.below(30)));
        node->second.replica.reset();
        node->second.store.reset();
        disk = disk.afterPowerLoss(FakeDisk::Survival::Random, random_);
        start(node->first);
    }

    auto applied() const -> const std::vector<std::string> & { return longest_; }
    auto random() -> Random & { return random_; }
    auto converged() const -> bool
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto &item) {
            return item.second.state->applied == longest_;
        });
    }

private:
    auto start(const NodeId &name) -> void
    {
        auto &node = nodes_[name];
        auto options = ReplicaOptions {};
        options.self.node = name;
        options.snapshotEvery = 15;
        options.keepEntries = 4;
        for (const auto *founder : { "a", "b", "c" })
            options.founders.emplace_back().node = NodeId { founder };
        node.store = std::make_unique<FileLogStore>(
                FileLogStoreOptions { .folder = "d", .segmentBytes = 600 }, node.disk);
        node.state = std::make_unique<Commands>();
        node.replica = std::make_unique<Replica>(options, clock_, *this, *node.store, *node.state,
                                                 random_);
        REQUIRE(node.replica->start().ok());
    }

    /// What one replica has applied, all others apply in the same places.
    auto checkStates() -> void
    {
        for (const auto &[name, node] : nodes_) {
            const auto &own = node.state->applied;
            const auto common = std::min(own.size(), longest_.size());
            REQUIRE(std::equal(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(common),
                               longest_.begin()));
            if (own.size() > longest_.size())
                longest_ = own;
        }
    }

    Random random_;
    ManualClock clock_;
    std::deque<std::pair<NodeId, Message>> queue_;
    std::map<NodeId, Node> nodes_;
    std::vector<std::string> longest_;
};

} // namespace

TEST_CASE("replicas over files lose nothing applied when power goes at any call")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 20; ++seed) {
        INFO("seed=", seed);
        auto group = Group { seed };
        group.run(200);
        for (auto round = 0; round < 40; ++round) {
            for (auto i = 0; i < 5; ++i) {
                group.propose(std::to_string(round) + "." + std::to_string(i));
                group.run(2);
            }
            if (group.random().chance(0.5))
                group.losePower();
            group.run(static_cast<int>(group.random().below(200)));
        }
        group.run(500);
        group.propose("last");
        group.run(50);
        REQUIRE_FALSE(group.applied().empty());
        CHECK(group.applied().back() == "last");
        CHECK(group.converged());
    }
}
