// Most routers need the same next index, so one pump() builds each batch once and copies it.

#include "control/feed.h"

#include <algorithm>

#include "core/error.h"

namespace figrack::control {

Feed::Feed(FeedOptions options, const Node &node)
    : options_(options)
    , node_(node)
{ }

auto Feed::onRequest(const proto::PeerPointer &peer, std::uint64_t correlation,
                     const proto::FeedRequest &request) -> void
{
    if (subscribers_.size() >= options_.maxSubscribers && !subscribers_.contains(peer.get())) {
        auto failure = proto::Failure { ErrorKind::Overloaded, "feed subscribers", {} };
        (void)peer->send({ correlation, std::move(failure) });
        return;
    }
    const auto status = node_.status();
    const auto from = std::max(request.from, LogIndex { 1 });
    auto batch = makeBatch(from, status);
    const auto next = std::max(from, batch.upTo.next());
    if (!peer->send({ correlation, std::move(batch) }))
        return;
    subscribers_[peer.get()] = Subscriber { peer, next, status.leader };
    pump();
}

auto Feed::onClose(const proto::PeerPointer &peer) -> void
{
    subscribers_.erase(peer.get());
}

auto Feed::pump() -> void
{
    const auto status = node_.status();
    auto cache = BatchCache {};
    for (auto item = subscribers_.begin(); item != subscribers_.end();) {
        if (!item->second.peer->isOpen()) {
            item = subscribers_.erase(item);
            continue;
        }
        pumpOne(item->second, status, cache);
        ++item;
    }
}

// If a connection has no room, the subscriber keeps its next index and the next pump retries.
auto Feed::pumpOne(Subscriber &subscriber, const coord::ReplicaStatus &status, BatchCache &cache)
        -> void
{
    auto leaderChanged = subscriber.leader != status.leader;
    while (leaderChanged || subscriber.next <= status.appliedIndex) {
        const auto from = subscriber.next;
        auto found = cache.find(from);
        if (found == cache.end())
            found = cache.emplace(from, makeBatch(from, status)).first;
        if (!subscriber.peer->send({ 0, found->second }))
            return;
        subscriber.next = std::max(subscriber.next, found->second.upTo.next());
        subscriber.leader = status.leader;
        leaderChanged = false;
    }
}

auto Feed::makeBatch(LogIndex from, const coord::ReplicaStatus &status) const -> proto::FeedBatch
{
    auto batch = proto::FeedBatch {};
    batch.leader = status.leader;
    batch.term = status.term;
    batch.upTo = status.appliedIndex;
    if (from > status.appliedIndex)
        return batch;
    const auto behind = status.appliedIndex.value() - from.value() + 1;
    const auto last = from.value() - 1 + std::min<std::uint64_t>(behind, options_.maxBatchEntries);
    const auto fits = behind <= options_.maxEntriesBehind;
    if (fits && addEntries(from, LogIndex { last }, batch))
        return batch;
    batch.entries.clear();
    batch.snapshot = node_.tables().snapshot(false);
    batch.upTo = status.appliedIndex;
    return batch;
}

// Returns false if the log no longer contains the entry at `from`.
auto Feed::addEntries(LogIndex from, LogIndex to, proto::FeedBatch &batch) const -> bool
{
    const auto count = to.value() - from.value() + 1;
    const auto entries = node_.replica().committedFrom(from, count);
    if (!entries || entries->empty())
        return false;
    batch.upTo = LogIndex { from.value() - 1 };
    for (const auto &entry : *entries) {
        if (entry.index > to)
            break;
        batch.upTo = entry.index;
        if (entry.kind != coord::EntryKind::Command)
            continue;
        const auto command = state::decodeCommand(entry.data);
        if (command.ok() && !state::isControlOnly(*command))
            batch.entries.push_back({ entry.index, entry.data });
    }
    return true;
}

} // namespace figrack::control
