#include "gateway/demand.h"

#include <algorithm>
#include <utility>

#include "core/duration.h"

namespace figrack::gateway {

Demand::Demand(const Clock &clock)
    : clock_(clock)
    , takenAt_(clock.now())
{ }

auto Demand::setOnUrgent(std::function<void()> onUrgent) -> void
{
    onUrgent_ = std::move(onUrgent);
}

auto Demand::onArrival(const DemandTarget &target, const ReadWork &work) -> void
{
    auto &counts = counts_[target];
    ++counts.arrived;
    if (work.tokens == 0)
        return;
    counts.startTarget = counts.readTokens == 0 ? work.startTarget
                                                : std::min(counts.startTarget, work.startTarget);
    counts.readTokens += work.tokens;
}

auto Demand::onStart(const DemandTarget &target) -> void
{
    ++counts_[target].running;
}

auto Demand::onEnd(const DemandTarget &target) -> void
{
    --counts_[target].running;
}

auto Demand::onWaitBegin(const DemandTarget &target, std::optional<Instant> latestStart) -> void
{
    auto &counts = counts_[target];
    if (counts.waiting++ == 0)
        counts.waitingSince = clock_.now();
    if (latestStart)
        counts.latestStarts.insert(*latestStart);
    if (onUrgent_)
        onUrgent_();
}

auto Demand::onWaitEnd(const DemandTarget &target, std::optional<Instant> latestStart) -> void
{
    auto &counts = counts_[target];
    --counts.waiting;
    if (!latestStart)
        return;
    if (const auto found = counts.latestStarts.find(*latestStart);
        found != counts.latestStarts.end())
        counts.latestStarts.erase(found);
}

auto Demand::startWithinMs(const Counts &counts, Instant now) -> std::optional<std::uint64_t>
{
    if (counts.latestStarts.empty())
        return std::nullopt;
    const auto first = counts.latestStarts.upper_bound(now);
    const auto left = first == counts.latestStarts.end() ? Duration {} : *first - now;
    return static_cast<std::uint64_t>(wholeMillis(left));
}

auto Demand::onLate(const DemandTarget &target) -> void
{
    ++counts_[target].late;
}

auto Demand::onRefused(const DemandTarget &target) -> void
{
    ++counts_[target].refused;
    if (onUrgent_)
        onUrgent_();
}

auto Demand::waitingSince(const DemandTarget &target) const -> Instant
{
    const auto found = counts_.find(target);
    const auto waits = found != counts_.end() && found->second.waiting > 0;
    return waits ? found->second.waitingSince : clock_.now();
}

auto Demand::take() -> proto::ModelWanted
{
    auto report = proto::ModelWanted {};
    const auto now = clock_.now();
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(now - takenAt_);
    report.spanMs = static_cast<std::uint64_t>(span.count());
    takenAt_ = now;
    for (auto item = counts_.begin(); item != counts_.end();) {
        auto &[target, counts] = *item;
        auto row
                = proto::WantedRow { target.service, target.model,   target.adapter, counts.arrived,
                                     counts.waiting, counts.running, counts.refused, counts.late };
        row.readTokens = std::exchange(counts.readTokens, 0);
        row.startTargetMs = static_cast<std::uint64_t>(wholeMillis(counts.startTarget));
        row.startWithinMs = startWithinMs(counts, now);
        report.rows.push_back(std::move(row));
        counts.arrived = counts.refused = counts.late = 0;
        const auto idle = counts.waiting == 0 && counts.running == 0;
        item = idle ? counts_.erase(item) : std::next(item);
    }
    return report;
}

} // namespace figrack::gateway
