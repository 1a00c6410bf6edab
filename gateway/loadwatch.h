// Tells when a missing model is expected to be held, by the leader's load schedule.
//
//   watch.onSchedule(schedule);
//   if (const auto load = watch.find(target)) ...    // load->readyAt, load->state
//
// The newest schedule counts, by its term and number. It expires when none follows, as after the
// loss of the leader or of the connection to it; the gateway then estimates loads by itself.
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_LOADWATCH_H
#define FIGRACK_GATEWAY_LOADWATCH_H

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "gateway/demand.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct LoadWatchOptions
{
    /// The leader sends a schedule each 500 ms while it has rows, so three are lost by then.
    Duration keepFor = std::chrono::milliseconds { 1500 };
    /// Time after which a schedule would name a model whose demand was reported: the report, the
    /// planning pass, and the pause of 100 ms between two schedules.
    Duration namedWithin = std::chrono::milliseconds { 300 };
};

/// A load that the leader's schedule names.
struct ScheduledReady
{
    proto::ScheduledLoadState state = proto::ScheduledLoadState::Planned;
    Instant readyAt {};
};

class LoadWatch
{
public:
    LoadWatch(LoadWatchOptions options, const Clock &clock);
    /// @return true if the schedule is newer than the known one, or that one has expired
    auto onSchedule(const proto::LoadSchedule &schedule) -> bool;
    /// @return true while a schedule is known that has not expired
    auto isCurrent() const -> bool;
    /// @return what the schedule says of the model or adapter; nullopt if it does not name it, or
    /// has expired
    auto find(const DemandTarget &target) const -> std::optional<ScheduledReady>;
    /// @param since time since which requests wait for the target
    /// @return true if the schedule would name the target by now, but does not: the leader has no
    /// load of it in progress
    auto isUnscheduled(const DemandTarget &target, Instant since) const -> bool;

private:
    LoadWatchOptions options_;
    const Clock &clock_;
    Term term_;
    std::uint64_t number_ = 0;
    std::optional<Instant> receivedAt_;
    std::map<DemandTarget, ScheduledReady> loads_; ///< Of the newest schedule.
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_LOADWATCH_H
