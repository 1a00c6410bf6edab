// Feed sends the committed commands to routers. Every control runs one.
//
//   auto feed = Feed { options, node };
//   feed.onRequest(peer, correlation, request);     // Sends the first answer, then pushes.
//   feed.pump();                                    // Call it after entries were applied.
//   feed.onClose(peer);
//
// The state of a subscriber is its connection, the next index that it needs and the last leader
// it was told. A batch is read from the replica's log when the connection has room, so a slow
// router uses no memory here, and a router that is far behind gets a snapshot.
//
// Guarantees: batches to one router are contiguous and in order. Entries that routers do not
// need are left out, and upTo covers them. Every batch names the leader that this control
// knows.

#ifndef FIGRACK_CONTROL_FEED_H
#define FIGRACK_CONTROL_FEED_H

#include <cstdint>
#include <map>
#include <string>

#include "control/node.h"
#include "proto/channel.h"
#include "proto/messages.h"

namespace figrack::control {

struct FeedOptions
{
    std::size_t maxBatchEntries = 512;
    std::size_t maxEntriesBehind = 2000; ///< Beyond this a snapshot is sent instead.
    std::size_t maxSubscribers = 4096;
};

class Feed
{
public:
    Feed(FeedOptions options, const Node &node);

    /// Answers a subscription request and adds the connection to the subscribers.
    auto onRequest(const proto::PeerPointer &peer, std::uint64_t correlation,
                   const proto::FeedRequest &request) -> void;
    auto onClose(const proto::PeerPointer &peer) -> void;
    /// Sends new entries to all subscribers whose connections have room.
    auto pump() -> void;
    /// @return number of routers that subscribe to this control
    auto subscribers() const -> std::size_t { return subscribers_.size(); }

private:
    struct Subscriber
    {
        proto::PeerPointer peer;
        LogIndex next;
        NodeId leader; ///< The leader named in the last batch sent.
    };
    /// Batches built during one pump(), by their first index.
    using BatchCache = std::map<LogIndex, proto::FeedBatch>;

    auto pumpOne(Subscriber &subscriber, const coord::ReplicaStatus &status, BatchCache &cache)
            -> void;
    auto makeBatch(LogIndex from, const coord::ReplicaStatus &status) const -> proto::FeedBatch;
    auto addEntries(LogIndex from, LogIndex to, proto::FeedBatch &batch) const -> bool;

    FeedOptions options_;
    const Node &node_;
    std::map<const proto::PeerConnection *, Subscriber> subscribers_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_FEED_H
