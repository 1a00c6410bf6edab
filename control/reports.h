// The burn report: the leader gathers the routers' counts and renders them for operators.
//
//   if (reports.isPullDue()) reports.pull(peers);
//   reports.tick();                               // meters idle time
//   reports.onReply(peer, reply);
//   reports.refresh([&] { ... reports.render(window, format) ... });
//
// Soft state, on the leader only: a new leader asks the routers for all they have
// (report/collector.h). Idle accelerator time is metered from the tables and the
// endpoints' load reports: a Ready replica that runs nothing holds the accelerators of
// its endpoint in proportion to its memory.

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
    Duration replyTimeout = std::chrono::milliseconds { 500 }; ///< For the routers' answers.
};

class Reports
{
public:
    /// @param clock,node,scheduler outlive this
    Reports(ReportsOptions options, const Clock &clock, const Node &node,
            const Scheduler &scheduler);

    auto onLeading() -> void;
    auto onNotLeading() -> void;
    auto isPullDue() const -> bool;
    /// Asks the routers for their counts. @param routers the connections to ask
    auto pull(const std::vector<proto::PeerPointer> &routers) -> void;
    auto tick() -> void;
    auto onReply(const NodeId &router, const proto::ReportReply &reply) -> void;

    /// Asks all routers now and calls back once they have answered, or when patience ends.
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
