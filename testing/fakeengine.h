// The inside of a fake engine: replicas, loads that take long, memory, slots,
// a prefix cache with late and gappy events, and fencing numbers.
//
// All calls come from the one thread of the fake's context.

#ifndef FIGRACK_TESTING_FAKEENGINE_H
#define FIGRACK_TESTING_FAKEENGINE_H

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random.h"
#include "proto/messages.h"
#include "testing/fakeoptions.h"
#include "testing/fakerecord.h"

namespace figrack::testing {

/// An order as it came in.
struct FakeOrder
{
    std::uint64_t order = 0;
    std::uint64_t fence = 0;
    bool load = true;
    std::string model;
    std::string version;
    std::string base;
    std::uint64_t memoryMb = 0;
};

/// HTTP status and the word for an error body; empty when taken.
struct FakeOrderAnswer
{
    std::uint32_t status = 202;
    std::string error;
};

struct FakeCacheEvents
{
    std::uint64_t first = 0;
    bool snapshot = false;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/// Where a fake kills itself.
enum class DieAt : std::uint8_t { Never, Now, Load, Stream, Service };

class FakeEngine
{
public:
    FakeEngine(boost::asio::io_context &context, const FakeOptions &options, FakeRecord &record);

    auto order(const FakeOrder &order) -> FakeOrderAnswer;
    auto isReady(const std::string &model) const -> bool;
    /// Waits for a slot of a ready replica. @param priority lower goes first
    /// @param cancelled looked at when woken by wakeWaiters()
    /// @return false when cancelled or the replica is gone
    auto takeSlot(std::string model, std::uint64_t priority, std::shared_ptr<bool> cancelled)
            -> boost::asio::awaitable<bool>;
    auto releaseSlot(const std::string &model) -> void;
    /// Lets waiters see that they were cancelled.
    auto wakeWaiters() -> void;

    /// Looks a prompt up in the prefix cache, then adds it.
    /// @return the share of its blocks that were cached, 0 to 1
    auto touchPrefix(const std::vector<std::uint64_t> &blocks) -> double;
    auto cacheEvents(std::uint64_t from) -> FakeCacheEvents;

    auto replicas() const -> std::vector<proto::ObservedReplica>;
    auto cached() const -> std::vector<state::CachedModel>;
    auto usedMb() const -> std::uint64_t { return usedMb_; }
    auto maxUsedMb() const -> std::uint64_t { return maxUsedMb_; }
    auto running() const -> std::uint64_t;

    auto setStoreFactor(double factor) -> void { storeFactor_ = factor; }
    auto setDieAt(DieAt when) -> void;
    /// Kills the process if it was told to die here.
    auto reach(DieAt place) -> void;

private:
    struct Waiter
    {
        explicit Waiter(boost::asio::io_context &context)
            : timer(context)
        { }
        boost::asio::steady_timer timer;
        bool granted = false;
    };
    using WaiterKey = std::pair<std::uint64_t, std::uint64_t>; ///< Priority, then arrival.
    struct Replica
    {
        std::string model;
        std::string version;
        proto::ObservedState state = proto::ObservedState::Loading;
        state::CacheTier from = state::CacheTier::Remote;
        std::uint64_t memoryMb = 0;
        std::uint64_t order = 0;
        std::uint32_t running = 0;
        std::map<WaiterKey, std::shared_ptr<Waiter>> waiting;
    };
    using ReplicaPointer = std::shared_ptr<Replica>;
    struct CacheEvent
    {
        std::uint64_t sequence;
        std::chrono::steady_clock::time_point publishedAt;
        bool added;
        std::uint64_t block;
    };

    auto fenceAllows(const FakeOrder &order) -> bool;
    auto startLoad(const FakeOrder &order) -> FakeOrderAnswer;
    auto startUnload(const FakeOrder &order) -> FakeOrderAnswer;
    auto runLoad(ReplicaPointer replica) -> boost::asio::awaitable<void>;
    auto runUnload(ReplicaPointer replica) -> boost::asio::awaitable<void>;
    auto loadTime(state::CacheTier tier) const -> Millis;
    auto tierOf(const std::string &model, const std::string &version) const -> state::CacheTier;
    auto setTier(const Replica &replica, state::CacheTier tier) -> void;
    auto addCacheEvent(bool added, std::uint64_t block) -> void;

    boost::asio::io_context &context_;
    const FakeOptions &options_;
    FakeRecord &record_;
    Random random_;
    std::map<std::string, ReplicaPointer> replicas_; ///< By model.
    std::map<std::pair<std::string, std::string>, state::CacheTier> tiers_;
    std::uint64_t usedMb_ = 0;
    std::uint64_t maxUsedMb_ = 0;
    std::uint64_t highestFence_ = 0;
    std::uint64_t lastArrival_ = 0;
    double storeFactor_;
    DieAt dieAt_ = DieAt::Never;
    std::list<std::uint64_t> blocks_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blockIndex_;
    std::deque<CacheEvent> events_;
    std::uint64_t nextEvent_ = 1;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_FAKEENGINE_H
