// Serves the committed commands to routers; every control does.
//
//   auto feed = Feed { node, options };
//   feed.onRequest(peer, correlation, request);     // first answer, then pushes
//   feed.pump();                                    // after entries were applied
//   feed.onClose(peer);
//
// A subscriber is a connection and the next index it needs, nothing else: a
// batch is made from the replica's log when there is room on the connection, so
// a slow router costs no memory and a router far behind gets a snapshot.
//
// Guarantees: batches to one router are contiguous and in order; entries that
// routers need not see are left out and upTo passes over them; every batch
// names the leader as this control knows it.

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
    std::size_t maxEntriesBehind = 2000; ///< Past it a snapshot is sent in their place.
    std::size_t maxSubscribers = 4096;
};

class Feed
{
public:
    Feed(FeedOptions options, const Node &node);

    /// Answers a subscription and serves the connection from then on.
    auto onRequest(const proto::PeerPointer &peer, std::uint64_t correlation,
                   const proto::FeedRequest &request) -> void;
    auto onClose(const proto::PeerPointer &peer) -> void;
    /// Sends what is new to all who can take it.
    auto pump() -> void;
    /// @return routers that read from this control
    auto subscribers() const -> std::size_t { return subscribers_.size(); }

private:
    struct Subscriber
    {
        proto::PeerPointer peer;
        LogIndex next;
        NodeId leader; ///< As it was told last.
    };
    /// Batches made in one pump, by the index they start at.
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
