// Both the requests to routers and their replies are sent as pushes, because a channel assigns
// correlation numbers only to calls of the side that opened the connection.

#include "control/reports.h"

#include <utility>

#include "core/log.h"

namespace figrack::control {

Reports::Reports(ReportsOptions options, const Clock &clock, const Node &node,
                 const Scheduler &scheduler)
    : options_(options)
    , clock_(clock)
    , node_(node)
    , scheduler_(scheduler)
{ }

auto Reports::onLeading() -> void
{
    collector_.emplace(clock_, options_.collector);
    idle_.emplace(clock_);
    nextPullAt_ = clock_.now();
    meteredAt_ = clock_.now();
}

auto Reports::onNotLeading() -> void
{
    collector_.reset();
    idle_.reset();
    awaited_.clear();
    for (auto &waiter : std::exchange(waiters_, {}))
        waiter.done();
}

auto Reports::isPullDue() const -> bool
{
    return collector_ && clock_.now() >= nextPullAt_;
}

auto Reports::tick() -> void
{
    if (!collector_)
        return;
    if (clock_.now() - meteredAt_ >= options_.meterEvery)
        meterIdle();
    notifyWaiters();
}

auto Reports::pull(const std::vector<proto::PeerPointer> &routers) -> void
{
    nextPullAt_ = clock_.now() + options_.collector.pullInterval;
    awaited_.clear();
    const auto &rows = node_.tables().routers();
    for (const auto &peer : routers) {
        const auto row = rows.find(peer->peer());
        if (row == rows.end())
            continue;
        const auto window
                = collector_->wantedWindow(peer->peer(), row->second.registered.incarnation);
        auto request = proto::ReportRequest {};
        request.windowMs = std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
        if (peer->send({ 0, request }))
            awaited_.insert(peer->peer());
    }
}

auto Reports::onReply(const NodeId &router, const proto::ReportReply &reply) -> void
{
    const auto &rows = node_.tables().routers();
    const auto row = rows.find(router);
    if (!collector_ || row == rows.end() || reply.node != router)
        return;
    awaited_.erase(router);
    const auto status
            = collector_->absorb(router, row->second.registered.incarnation, reply.report);
    if (!status.ok())
        LogEvent(LogLevel::Warning, "report_refused").with("router", router).with(status);
    notifyWaiters();
}

auto Reports::meterIdle() -> void
{
    const auto lasted = clock_.now() - std::exchange(meteredAt_, clock_.now());
    const auto &tables = node_.tables();
    for (const auto &[key, row] : tables.replicas()) {
        if (row.state != state::ReplicaState::Ready || !scheduler_.isIdle(key))
            continue;
        const auto &spec = tables.endpoints().at(row.endpoint).spec;
        const auto share = spec.memoryMb == 0
                ? 0.0
                : static_cast<double>(row.memoryMb) / static_cast<double>(spec.memoryMb);
        const auto held = static_cast<std::int64_t>(static_cast<double>(lasted.count()) * share);
        idle_->add(row.model, row.reason, spec.accelerators, Duration { held });
    }
}

auto Reports::refresh(const std::vector<proto::PeerPointer> &routers, std::function<void()> done)
        -> void
{
    if (!collector_) {
        done();
        return;
    }
    pull(routers);
    waiters_.push_back({ clock_.now() + options_.replyTimeout, std::move(done) });
    notifyWaiters();
}

auto Reports::notifyWaiters() -> void
{
    auto waiting = std::vector<Waiter> {};
    for (auto &waiter : std::exchange(waiters_, {})) {
        if (awaited_.empty() || clock_.now() >= waiter.deadline)
            waiter.done();
        else
            waiting.push_back(std::move(waiter));
    }
    waiters_.insert(waiters_.end(), std::make_move_iterator(waiting.begin()),
                    std::make_move_iterator(waiting.end()));
}

auto Reports::render(Duration window, report::ReportFormat format) -> std::string
{
    if (!collector_)
        return {};
    auto input = report::BurnInput {};
    for (const auto &[id, spec] : node_.tables().configuration().classes) {
        input.classes.push_back({ id, spec.startTarget, spec.finishTarget,
                                  static_cast<double>(spec.sharePercent) / 100.0 });
    }
    input.idle = idle_->rows(window);
    return collector_->render(window, format, input);
}

} // namespace figrack::control
