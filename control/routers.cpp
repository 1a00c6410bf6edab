// Both timeouts of the detector are set to removeAfter. Routers are not suspected earlier, since a
// router without a view lease accepts no work, and removal only cleans up the tables.

#include "control/routers.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/log.h"

namespace figrack::control {
namespace {

auto wallMillis(const Clock &clock) -> state::Millis
{
    return clock.wallNow().time_since_epoch().count();
}

auto detectorOptions(const RoutersOptions &options) -> coord::FailureDetectorOptions
{
    auto result = coord::FailureDetectorOptions {};
    result.minTimeout = options.removeAfter;
    result.maxTimeout = options.removeAfter;
    result.recoverBeats = 1;
    return result;
}

auto peerOf(const NodeId &router) -> coord::PeerId
{
    return coord::PeerId { router.value() };
}

/// Answers a command that has no result except that it was applied.
auto answerApplied(const Caller &caller, const Node &node,
                   const absl::StatusOr<AppliedCommand> &result, bool joined) -> void
{
    if (!result.ok())
        caller.fail(result.status(), node.status().leader);
    else if (!result->applied.status.ok())
        caller.fail(result->applied.status);
    else if (joined)
        caller.reply(proto::JoinReply { result->index });
    else
        caller.reply(proto::Done { result->index });
}

} // namespace

Routers::Routers(RoutersOptions options, const Clock &clock, Node &node)
    : options_(options)
    , clock_(clock)
    , node_(node)
    , gate_(options_.viewLease, clock)
    , detector_(std::in_place, detectorOptions(options_), clock)
{ }

auto Routers::onJoin(const Caller &caller, const proto::JoinRequest &request) -> void
{
    if (!node_.holdsLease()) {
        caller.failNotLeader(node_);
        return;
    }
    auto command = request.registration;
    const auto &rows = node_.tables().routers();
    const auto row = rows.find(command.node);
    if (row != rows.end() && row->second.registered.incarnation == command.incarnation
        && row->second.registered.callerAddress == command.callerAddress) {
        caller.reply(proto::JoinReply { node_.tables().appliedIndex() });
        return;
    }
    command.at = wallMillis(clock_);
    node_.propose(command, [this, caller](const absl::StatusOr<AppliedCommand> &result) {
        answerApplied(caller, node_, result, true);
    });
}

auto Routers::onDrain(const Caller &caller, const proto::DrainNotice &notice) -> void
{
    if (!node_.holdsLease()) {
        caller.failNotLeader(node_);
        return;
    }
    auto command = state::Command { state::DrainRouter { notice.node, notice.incarnation, true,
                                                         wallMillis(clock_) } };
    if (notice.gone)
        command = state::RemoveRouter { notice.node, notice.incarnation };
    node_.propose(command, [this, caller](const absl::StatusOr<AppliedCommand> &result) {
        answerApplied(caller, node_, result, false);
    });
}

auto Routers::onRenew(const Caller &caller, const coord::RenewRequest &request) -> void
{
    caller.reply(node_.grant(request));
    onActivity(request.observer, request.incarnation, request.applied);
}

auto Routers::onActivity(const NodeId &router, Incarnation incarnation, Revision applied) -> void
{
    const auto &rows = node_.tables().routers();
    const auto row = rows.find(router);
    if (row == rows.end() || row->second.registered.incarnation != incarnation)
        return;
    (void)detector_->heartbeat(peerOf(router), incarnation, row->second.registered.domain);
    gate_.onAck(router, incarnation, applied);
    if (!waiters_.empty())
        notifyWaiters();
}

auto Routers::onLeading() -> void
{
    leads_ = true;
    expectAll();
}

auto Routers::onNotLeading() -> void
{
    leads_ = false;
    for (auto &waiter : std::exchange(waiters_, {}))
        waiter.done(makeError(ErrorKind::OutcomeUnknown, "leadership was lost"));
}

// Restarts the detector: a new leader has received nothing yet and may have been paused, so the
// silence of every router is measured from now.
auto Routers::expectAll() -> void
{
    detector_.emplace(detectorOptions(options_), clock_);
    for (const auto &[node, row] : node_.tables().routers())
        detector_->expect(peerOf(node), row.registered.incarnation, row.registered.domain);
}

auto Routers::onApplied(const AppliedCommand &applied) -> void
{
    if (!applied.applied.status.ok())
        return;
    if (const auto *joined = std::get_if<state::RegisterRouter>(&applied.command)) {
        detector_->expect(peerOf(joined->node), joined->incarnation, joined->domain);
        gate_.onRegistered(joined->node, joined->incarnation);
    } else if (const auto *removed = std::get_if<state::RemoveRouter>(&applied.command)) {
        detector_->remove(peerOf(removed->node));
        gate_.onDeregistered(removed->node);
    } else if (applied.applied.change && applied.applied.change->won) {
        gate_.onCommitted(applied.applied.change->revision);
        notifyWaiters();
    }
}

auto Routers::onRestored() -> void
{
    expectAll();
    auto observers = std::map<NodeId, Incarnation> {};
    for (const auto &[node, row] : node_.tables().routers())
        observers.emplace(node, row.registered.incarnation);
    gate_.onRestored(observers, node_.tables().configuration().revision);
}

auto Routers::isAlive(const NodeId &router) const -> bool
{
    return detector_->state(peerOf(router)) == coord::PeerState::Alive;
}

auto Routers::tick() -> void
{
    for (const auto &event : detector_->poll()) {
        if (const auto *suspected = std::get_if<coord::PeerSuspected>(&event))
            removeSilent(*suspected);
    }
    if (!waiters_.empty())
        notifyWaiters();
}

auto Routers::removeSilent(const coord::PeerSuspected &event) -> void
{
    const auto router = NodeId { event.peer.value() };
    detector_->remove(event.peer);
    if (!leads_)
        return;
    LogEvent(LogLevel::Warning, "router_lapsed").with("router", router);
    node_.propose(state::RemoveRouter { router, event.incarnation },
                  [](const absl::StatusOr<AppliedCommand> &) {});
}

auto Routers::whenAccepted(Revision revision, std::function<void(const absl::Status &)> done)
        -> void
{
    if (!leads_) {
        done(makeError(ErrorKind::NotLeader, "control=" + node_.self().value()));
        return;
    }
    waiters_.push_back({ revision, std::move(done) });
    notifyWaiters();
}

auto Routers::notifyWaiters() -> void
{
    const auto ready
            = std::stable_partition(waiters_.begin(), waiters_.end(), [this](const Waiter &waiter) {
                  return !gate_.accepted(waiter.revision);
              });
    auto notified = std::vector<Waiter> { std::make_move_iterator(ready),
                                          std::make_move_iterator(waiters_.end()) };
    waiters_.erase(ready, waiters_.end());
    for (auto &waiter : notified)
        waiter.done(absl::OkStatus());
}

} // namespace figrack::control
