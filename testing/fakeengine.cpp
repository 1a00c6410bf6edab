// Loads advance in small steps, so that a store that slows down also slows the
// loads under way. Memory is taken when a load begins and given back when an
// unload ends, as on a real accelerator; an order that does not fit is refused,
// and recorded as an overcommit, since figrack must never have sent it.

#include "testing/fakeengine.h"

#include <csignal>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figrack::testing {

namespace asio = boost::asio;

namespace {

constexpr auto loadStep = std::chrono::milliseconds { 10 };
constexpr auto drainStep = std::chrono::milliseconds { 5 };
constexpr auto maxBlocks = std::size_t { 4096 };
constexpr auto maxEvents = std::size_t { 8192 };

auto pause(asio::io_context &context, std::chrono::milliseconds time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer { context, time };
    auto code = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

auto tierName(state::CacheTier tier) -> std::string
{
    constexpr const char *names[] = { "remote", "disk", "memory" };
    return names[static_cast<std::size_t>(tier)];
}

} // namespace

FakeEngine::FakeEngine(asio::io_context &context, const FakeOptions &options, FakeRecord &record)
    : context_(context)
    , options_(options)
    , record_(record)
    , random_(options.seed)
    , storeFactor_(options.storeFactor)
{
    for (const auto &cached : options.cached)
        tiers_[{ cached.model.value(), cached.version }] = cached.tier;
}

auto FakeEngine::order(const FakeOrder &order) -> FakeOrderAnswer
{
    if (!fenceAllows(order))
        return { 409, "stale_fence" };
    return order.load ? startLoad(order) : startUnload(order);
}

auto FakeEngine::fenceAllows(const FakeOrder &order) -> bool
{
    if (order.fence >= highestFence_) {
        highestFence_ = order.fence;
        return true;
    }
    record_.write(options_.checksFence ? "stale_refused" : "stale_taken",
                  { { "order", std::to_string(order.order) },
                    { "fence", std::to_string(order.fence) },
                    { "highest", std::to_string(highestFence_) } });
    return !options_.checksFence;
}

auto FakeEngine::startLoad(const FakeOrder &order) -> FakeOrderAnswer
{
    if (const auto found = replicas_.find(order.model); found != replicas_.end()) {
        if (found->second->state == proto::ObservedState::Unloading)
            return { 409, "unloading" };
        return { found->second->state == proto::ObservedState::Ready ? 200U : 202U, {} };
    }
    const auto baseIsThere = order.base.empty() || isReady(order.base);
    if (!baseIsThere)
        return { 422, "base_not_loaded" };
    if (usedMb_ + order.memoryMb > options_.memoryMb) {
        record_.write("overcommit",
                      { { "order", std::to_string(order.order) },
                        { "model", order.model },
                        { "wanted", std::to_string(order.memoryMb) },
                        { "used", std::to_string(usedMb_) } });
        return { 422, "out_of_memory" };
    }
    auto replica = std::make_shared<Replica>();
    replica->model = order.model;
    replica->version = order.version;
    replica->memoryMb = order.memoryMb;
    replica->order = order.order;
    replica->from = tierOf(order.model, order.version);
    usedMb_ += order.memoryMb;
    maxUsedMb_ = std::max(maxUsedMb_, usedMb_);
    replicas_.emplace(order.model, replica);
    record_.write("load",
                  { { "order", std::to_string(order.order) },
                    { "fence", std::to_string(order.fence) },
                    { "model", order.model },
                    { "from", tierName(replica->from) },
                    { "used", std::to_string(usedMb_) } });
    asio::co_spawn(context_, runLoad(replica), asio::detached);
    return {};
}

auto FakeEngine::startUnload(const FakeOrder &order) -> FakeOrderAnswer
{
    const auto found = replicas_.find(order.model);
    if (found == replicas_.end())
        return { 200, {} };
    const auto replica = found->second;
    if (replica->state == proto::ObservedState::Unloading)
        return {};
    replica->state = proto::ObservedState::Unloading;
    record_.write("unload",
                  { { "order", std::to_string(order.order) },
                    { "model", order.model },
                    { "running", std::to_string(replica->running) } });
    wakeWaiters();
    asio::co_spawn(context_, runUnload(replica), asio::detached);
    return {};
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
auto FakeEngine::runLoad(ReplicaPointer replica) -> asio::awaitable<void>
{
    auto left = static_cast<double>(loadTime(replica->from));
    while (left > 0 && replica->state == proto::ObservedState::Loading) {
        co_await pause(context_, loadStep);
        const auto slow = replica->from == state::CacheTier::Remote ? storeFactor_ : 1.0;
        left -= static_cast<double>(loadStep.count()) / slow;
        if (left < static_cast<double>(loadTime(replica->from)) / 2)
            reach(DieAt::Load);
    }
    if (replica->state != proto::ObservedState::Loading)
        co_return;
    replica->state = proto::ObservedState::Ready;
    setTier(*replica, state::CacheTier::Disk);
    record_.write("ready",
                  { { "order", std::to_string(replica->order) }, { "model", replica->model } });
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
auto FakeEngine::runUnload(ReplicaPointer replica) -> asio::awaitable<void>
{
    while (replica->running > 0)
        co_await pause(context_, drainStep);
    co_await pause(context_, std::chrono::milliseconds { options_.unloadMs });
    usedMb_ -= replica->memoryMb;
    replicas_.erase(replica->model);
    setTier(*replica, state::CacheTier::Memory);
    record_.write("gone",
                  { { "order", std::to_string(replica->order) },
                    { "model", replica->model },
                    { "used", std::to_string(usedMb_) } });
}

auto FakeEngine::loadTime(state::CacheTier tier) const -> Millis
{
    switch (tier) {
    case state::CacheTier::Memory:
        return options_.loadMemoryMs;
    case state::CacheTier::Disk:
        return options_.loadDiskMs;
    default:
        return options_.loadRemoteMs;
    }
}

auto FakeEngine::tierOf(const std::string &model, const std::string &version) const
        -> state::CacheTier
{
    const auto found = tiers_.find({ model, version });
    return found == tiers_.end() ? state::CacheTier::Remote : found->second;
}

auto FakeEngine::setTier(const Replica &replica, state::CacheTier tier) -> void
{
    auto &current = tiers_[{ replica.model, replica.version }];
    current = std::max(current, tier);
}

auto FakeEngine::isReady(const std::string &model) const -> bool
{
    const auto found = replicas_.find(model);
    return found != replicas_.end() && found->second->state == proto::ObservedState::Ready;
}

auto FakeEngine::takeSlot(std::string model, std::uint64_t priority,
                          std::shared_ptr<bool> cancelled) -> asio::awaitable<bool>
{
    if (!isReady(model))
        co_return false;
    const auto replica = replicas_.at(model);
    if (replica->running < options_.slots) {
        ++replica->running;
        co_return true;
    }
    const auto key = WaiterKey { priority, ++lastArrival_ };
    const auto waiter = std::make_shared<Waiter>(context_);
    replica->waiting.emplace(key, waiter);
    while (!waiter->granted && !*cancelled && replica->state == proto::ObservedState::Ready) {
        auto code = boost::system::error_code {};
        waiter->timer.expires_at(asio::steady_timer::time_point::max());
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
    replica->waiting.erase(key);
    co_return waiter->granted;
}

auto FakeEngine::releaseSlot(const std::string &model) -> void
{
    const auto found = replicas_.find(model);
    if (found == replicas_.end())
        return;
    auto &replica = *found->second;
    if (replica.waiting.empty() || replica.state != proto::ObservedState::Ready) {
        --replica.running;
        return;
    }
    // The slot passes on without becoming free in between.
    const auto next = replica.waiting.begin()->second;
    replica.waiting.erase(replica.waiting.begin());
    next->granted = true;
    next->timer.cancel();
}

auto FakeEngine::wakeWaiters() -> void
{
    for (const auto &[model, replica] : replicas_) {
        for (const auto &[key, waiter] : replica->waiting)
            waiter->timer.cancel();
    }
}

auto FakeEngine::touchPrefix(const std::vector<std::uint64_t> &blocks) -> double
{
    auto hits = std::size_t { 0 };
    while (hits < blocks.size() && blockIndex_.count(blocks[hits]) != 0)
        ++hits;
    for (const auto block : blocks) {
        if (const auto found = blockIndex_.find(block); found != blockIndex_.end()) {
            blocks_.splice(blocks_.begin(), blocks_, found->second);
            continue;
        }
        blocks_.push_front(block);
        blockIndex_[block] = blocks_.begin();
        addCacheEvent(true, block);
    }
    while (blocks_.size() > maxBlocks) {
        addCacheEvent(false, blocks_.back());
        blockIndex_.erase(blocks_.back());
        blocks_.pop_back();
    }
    return blocks.empty() ? 0 : static_cast<double>(hits) / static_cast<double>(blocks.size());
}

auto FakeEngine::addCacheEvent(bool added, std::uint64_t block) -> void
{
    const auto sequence = nextEvent_++;
    constexpr auto percent = 100;
    if (random_.below(percent) < options_.cacheGapPercent)
        return; // Lost: the reader sees a hole in the sequence.
    const auto due
            = std::chrono::steady_clock::now() + std::chrono::milliseconds { options_.cacheLagMs };
    events_.push_back({ sequence, due, added, block });
    if (events_.size() > maxEvents)
        events_.pop_front();
}

auto FakeEngine::cacheEvents(std::uint64_t from) -> FakeCacheEvents
{
    auto answer = FakeCacheEvents {};
    answer.first = from;
    if (from == 0) {
        answer.snapshot = true;
        answer.first = nextEvent_;
        answer.added.assign(blocks_.rbegin(), blocks_.rend());
        return answer;
    }
    const auto now = std::chrono::steady_clock::now();
    auto expected = std::uint64_t { 0 };
    for (const auto &event : events_) {
        if (event.sequence < from || event.publishedAt > now)
            continue;
        if (expected == 0)
            answer.first = event.sequence;
        else if (event.sequence != expected)
            break; // The next batch begins behind the hole.
        expected = event.sequence + 1;
        (event.added ? answer.added : answer.removed).push_back(event.block);
    }
    return answer;
}

auto FakeEngine::replicas() const -> std::vector<proto::ObservedReplica>
{
    auto observed = std::vector<proto::ObservedReplica> {};
    for (const auto &[model, replica] : replicas_) {
        observed.push_back({ ModelId { model }, replica->version, replica->state, replica->running,
                             static_cast<std::uint32_t>(replica->waiting.size()) });
    }
    return observed;
}

auto FakeEngine::cached() const -> std::vector<state::CachedModel>
{
    auto list = std::vector<state::CachedModel> {};
    for (const auto &[key, tier] : tiers_)
        list.push_back({ ModelId { key.first }, key.second, tier });
    return list;
}

auto FakeEngine::running() const -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto &[model, replica] : replicas_)
        sum += replica->running;
    return sum;
}

auto FakeEngine::setDieAt(DieAt when) -> void
{
    dieAt_ = when;
    reach(DieAt::Now);
}

auto FakeEngine::reach(DieAt place) -> void
{
    if (dieAt_ != place)
        return;
    record_.write("die", {});
    ::kill(::getpid(), SIGKILL);
}

} // namespace figrack::testing
