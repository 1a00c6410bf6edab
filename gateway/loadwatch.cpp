#include "gateway/loadwatch.h"

#include <tuple>

namespace figrack::gateway {

LoadWatch::LoadWatch(LoadWatchOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto LoadWatch::onSchedule(const proto::LoadSchedule &schedule) -> bool
{
    // After the loss of all controls and their disks, terms begin anew.
    if (isCurrent() && std::tie(schedule.term, schedule.number) <= std::tie(term_, number_))
        return false;
    const auto now = clock_.now();
    term_ = schedule.term;
    number_ = schedule.number;
    receivedAt_ = now;
    loads_.clear();
    for (const auto &row : schedule.rows) {
        loads_.insert_or_assign(
                DemandTarget { row.service, row.model, row.adapter },
                ScheduledReady { row.state, now + std::chrono::milliseconds { row.readyInMs } });
    }
    return true;
}

auto LoadWatch::isCurrent() const -> bool
{
    return receivedAt_ && clock_.now() - *receivedAt_ < options_.keepFor;
}

auto LoadWatch::find(const DemandTarget &target) const -> std::optional<ScheduledReady>
{
    const auto found = loads_.find(target);
    return found == loads_.end() || !isCurrent() ? std::nullopt : std::optional { found->second };
}

auto LoadWatch::isUnscheduled(const DemandTarget &target, Instant since) const -> bool
{
    return isCurrent() && !loads_.contains(target) && clock_.now() - since >= options_.namedWithin;
}

} // namespace figrack::gateway
