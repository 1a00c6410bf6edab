// Snapshots: taking one of the own state, sending it in parts, installing one.
//
// A leader sends one part at a time to a peer and the next when the peer names
// the offset it wants. When a heartbeat is due and a part is on its way, an
// empty part goes out instead of a second copy; its answer tells how far the
// peer is. The last answer goes out once the snapshot is durable.

#include <algorithm>
#include <utility>

#include "coord/membership.h"
#include "coord/replicaimpl.h"
#include "coord/sabotage.h"
#include "core/check.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::coord {

auto Replica::Impl::snapshotIfDue() -> void
{
    const auto since = applied_.value() - snapshotIndex_.value();
    const auto tooLarge = log_.bytes() > options_.maxLogBytes && since > 0;
    if (since < options_.snapshotEvery && !tooLarge)
        return;
    auto snapshot = Snapshot {};
    snapshot.lastIndex = applied_;
    snapshot.lastTerm = log_.termAt(applied_).value_or(Term {});
    snapshot.membership = log_.membershipAt(applied_);
    snapshot.state = machine_.snapshot();
    const auto keepBytes = options_.maxLogBytes / 4;
    if (auto status = log_.compact(snapshot, options_.keepEntries, keepBytes); !status.ok()) {
        fail(status);
        return;
    }
    snapshotIndex_ = applied_;
    image_.reset();
}

auto Replica::Impl::currentImage() -> std::shared_ptr<const SnapshotImage>
{
    if (image_)
        return image_;
    auto snapshot = store_.readSnapshot();
    if (!snapshot.ok()) {
        failure_ = snapshot.status();
        return nullptr;
    }
    image_ = packSnapshot(*snapshot);
    return image_;
}

/// Starts or goes on with a snapshot, or asks how far the peer is when a part is on its way.
auto Replica::Impl::sendSnapshot(const NodeId &node, PeerProgress &peer) -> void
{
    if (peer.snapshot) {
        sendPart(node, *peer.snapshot, false);
        return;
    }
    auto image = currentImage();
    if (!image)
        return;
    auto sending = SnapshotSend {};
    sending.disk = peer.incarnation;
    sending.image = std::move(image);
    peer.snapshot = std::move(sending);
    sendPart(node, *peer.snapshot, true);
}

auto Replica::Impl::sendPart(const NodeId &node, SnapshotSend &sending, bool withData) -> void
{
    const auto bytes = withData ? options_.snapshotPartBytes : 0;
    auto part = snapshotPart(*sending.image, sending.offset, bytes);
    part.round = leading_->lease.round();
    if (withData)
        sending.sentAt = clock_.now();
    send(node, sending.disk, std::move(part));
}

auto Replica::Impl::on(const Message &message, const SnapshotReply &reply) -> void
{
    auto *peer = heard(message, reply.round);
    if (peer == nullptr || !peer->snapshot || peer->snapshot->image->lastIndex != reply.lastIndex)
        return;
    auto &sending = *peer->snapshot;
    if (reply.nextOffset >= sending.image->bytes.size()) {
        peer->match = std::max(peer->match, reply.lastIndex);
        peer->next = peer->match.next();
        peer->snapshot.reset();
        advanceCommit();
        if (is(Role::Leader))
            sendEntries(message.from, *peer);
        return;
    }
    const auto moved = reply.nextOffset != sending.offset;
    const auto lost = clock_.now() >= sending.sentAt + options_.heartbeat;
    if (!moved && !lost)
        return;
    sending.offset = reply.nextOffset;
    sendPart(message.from, sending, true);
}

auto Replica::Impl::on(const Message &message, const SnapshotPart &part) -> void
{
    auto answer = SnapshotReply {};
    answer.lastIndex = part.lastIndex;
    answer.round = part.round;
    if (message.term < term_) {
        reply(message, answer);
        return;
    }
    if (!followLeader(message))
        return;
    if (part.lastIndex <= commit_) {
        assembly_.clear();
        answer.nextOffset = part.totalBytes;
        reply(message, answer);
        return;
    }
    answer.nextOffset = assembly_.take(part, message.term);
    if (assembly_.complete()) {
        if (!installAssembled()) {
            if (isStopped())
                return;
            answer.nextOffset = 0;
        }
        assembly_.clear();
    }
    reply(message, answer);
}

/// @return false when the snapshot cannot be read, or when the store failed
auto Replica::Impl::installAssembled() -> bool
{
    auto snapshot = assembly_.unpack();
    if (!snapshot.ok()) {
        LogEvent(LogLevel::Error, "snapshot_refused").with(snapshot.status());
        return false;
    }
    if (!sabotage::installBeforeSync)
        if (auto status = log_.install(*snapshot); !status.ok())
            return fail(status);
    if (auto status = machine_.restore(snapshot->state, snapshot->lastIndex); !status.ok())
        return fail(status);
    commit_ = applied_ = snapshotIndex_ = snapshot->lastIndex;
    image_.reset();
    followMembership();
    return true;
}

} // namespace figrack::coord
