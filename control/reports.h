// Reports builds the burn report: the leader collects the routers' counts and renders them for
// operators.
//
//   if (reports.isPullDue()) reports.pull(peers);
//   reports.tick();                               // Measures idle time.
//   reports.onReply(router, reply);
//   reports.refresh(peers, [&] { ... reports.render(window, format) ... });
//
// The state is kept in memory on the leader only. A new leader requests all counts that the
// routers have (report/collector.h). Idle accelerator time is computed from the tables and the
// endpoints' load reports: a Ready replica without requests occupies the accelerators of its
// endpoint in proportion to its memory.

#ifndef FIGRACK_CONTROL_REPORTS_H
#define FIGRACK_CONTROL_REPORTS_H

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/node.h"
#include "control/scheduler.h"
#include "proto/channel.h"
#include "report/collector.h"
#include "report/idle.h"

namespace figrack::control {

struct ReportsOptions
{
    report::CollectorOptions collector;
    Duration meterEvery = std::chrono::seconds { 1 };
    Duration replyTimeout = std::chrono::milliseconds { 500 }; ///< For the routers' replies.
};

class Reports
{
public:
    /// @param clock,node,scheduler must outlive this object
    Reports(ReportsOptions options, const Clock &clock, const Node &node,
            const Scheduler &scheduler);

    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto isPullDue() const -> bool;
    /// Requests the routers' counts.
    /// @param routers the connections to send the requests on
    auto pull(const std::vector<proto::PeerPointer> &routers) -> void;
    auto tick() -> void;
    auto onReply(const NodeId &router, const proto::ReportReply &reply) -> void;

    /// Requests counts from all routers and calls back once all have replied, or after
    /// replyTimeout.
    auto refresh(const std::vector<proto::PeerPointer> &routers, std::function<void()> done)
            -> void;
    /// @return the report over a window
    auto render(Duration window, report::ReportFormat format) -> std::string;

private:
    struct Waiter
    {
        Instant deadline;
        std::function<void()> done;
    };
    auto meterIdle() -> void;
    auto notifyWaiters() -> void;

    ReportsOptions options_;
    const Clock &clock_;
    const Node &node_;
    const Scheduler &scheduler_;
    std::optional<report::Collector> collector_; ///< While leading.
    std::optional<report::IdleMeter> idle_;      ///< While leading.
    std::set<NodeId> awaited_;                   ///< Routers that have not answered the last pull.
    std::vector<Waiter> waiters_;
    Instant nextPullAt_;
    Instant meteredAt_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_REPORTS_H
