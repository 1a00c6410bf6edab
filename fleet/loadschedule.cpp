#include "fleet/loadschedule.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/duration.h"
#include "core/log.h"

namespace figrack::fleet {

using proto::ScheduledLoadState;

namespace {

/// Usual time from the end of a load to its announcement at the leader.
constexpr auto announceTime = std::chrono::milliseconds { 100 };
/// A load that has exceeded its expected time may end at any moment.
constexpr auto minRest = std::chrono::milliseconds { 200 };
/// Time to load an adapter: the order, a few milliseconds, and the announcement.
constexpr auto adapterTime = std::chrono::milliseconds { 150 };

/// @return the time left until an expected instant; once it has passed, as long as it is overdue
auto restUntil(Instant expected, Instant now) -> Duration
{
    return expected > now ? expected - now : std::max<Duration>(now - expected, minRest);
}

/// @return seconds until an endpoint that holds the model can take the order for an adapter. One
/// that could take it now had no place for the adapter, and is considered again in the next pass.
auto secondsToAdapterOrder(const PlacementInput &input, const ModelId &model) -> double
{
    auto result = std::optional<double> {};
    for (const auto &host : input.hosts) {
        const auto holds = std::any_of(host.models.begin(), host.models.end(),
                                       [&](const auto &held) { return held.model == model; });
        const auto wait = host.takesOrders() ? input.passSeconds : host.busySeconds;
        if (holds && (!result || wait < *result))
            result = wait;
    }
    return result.value_or(input.passSeconds);
}

} // namespace

auto forecast(const LoadProgress &load, Instant now) -> LoadForecast
{
    if (load.acceptedAt) {
        const auto end = *load.acceptedAt + load.loadTime + announceTime;
        return { end > now ? ScheduledLoadState::Ordered : ScheduledLoadState::Planned,
                 restUntil(end, now) };
    }
    const auto rest = load.retryAt ? std::max(*load.retryAt - now, Duration::zero())
                                   : restUntil(load.loadDueAt, now);
    return { ScheduledLoadState::Planned, rest + load.loadTime + announceTime };
}

auto lackedLoads(const ServiceId &service, const PlacementInput &input, const Placement &placement,
                 const HeldTargets &held, Instant now) -> std::vector<LackedLoad>
{
    auto deferred = std::map<ModelId, Instant> {};
    for (const auto &deferral : placement.deferred) {
        const auto wait = deferral.endpoint.empty() ? input.passSeconds : deferral.seconds;
        deferred[deferral.model]
                = now + fromSeconds(wait + deferral.loadSeconds) + swapTime + announceTime;
    }
    auto result = std::vector<LackedLoad> {};
    for (const auto &[model, want] : input.models) {
        if (want.unserved() == 0 || held.models.contains(model))
            continue;
        const auto found = deferred.find(model);
        result.push_back(
                { service,
                  model,
                  {},
                  found == deferred.end() ? std::nullopt : std::optional { found->second } });
    }
    auto planned = std::set<AdapterKey> {};
    for (const auto &plan : placement.plans)
        planned.emplace(plan.steps.back().model, plan.steps.back().adapter);
    for (const auto &[key, want] : input.adapters) {
        if (want.unserved() == 0 || held.adapters.contains(key))
            continue;
        auto lacked = LackedLoad { service, key.first, key.second, std::nullopt };
        const auto isInProgress = input.loadingAdapters.contains(key) || planned.contains(key);
        if (held.models.contains(key.first) && !isInProgress) {
            lacked.deferredReadyAt
                    = now + fromSeconds(secondsToAdapterOrder(input, key.first)) + adapterTime;
        }
        result.push_back(std::move(lacked));
    }
    return result;
}

LoadScheduler::LoadScheduler(LoadScheduleOptions options)
    : options_(options)
{ }

auto LoadScheduler::reset() -> void
{
    lacked_.clear();
    promised_.clear();
    isChanged_ = false;
    hasSentRows_ = false;
}

auto LoadScheduler::onPass(std::vector<LackedLoad> lacked) -> void
{
    const auto isSame = std::equal(lacked.begin(), lacked.end(), lacked_.begin(), lacked_.end(),
                                   [](const LackedLoad &one, const LackedLoad &other) {
                                       return one.service == other.service
                                               && one.model == other.model
                                               && one.adapter == other.adapter
                                               && one.deferredReadyAt.has_value()
                                               == other.deferredReadyAt.has_value();
                                   });
    isChanged_ = isChanged_ || !isSame;
    lacked_ = std::move(lacked);
}

auto LoadScheduler::onHeld(const ModelId &model, Instant now) -> std::optional<Duration>
{
    const auto found = promised_.find(model);
    if (found == promised_.end())
        return std::nullopt;
    const auto error = now - found->second;
    promised_.erase(found);
    return error;
}

auto LoadScheduler::isDue(Instant now) const -> bool
{
    if (lacked_.empty() && !hasSentRows_)
        return false;
    const auto passed = sentAt_ ? now - *sentAt_ : Duration::max();
    return passed >= options_.sendEvery || (isChanged_ && passed >= options_.sendPause);
}

auto LoadScheduler::next(Term term, const std::vector<LoadProgress> &loads, Instant now)
        -> std::optional<proto::LoadSchedule>
{
    isChanged_ = false;
    sentAt_ = now;
    const auto forecasts = earliest(loads, now);
    auto rows = std::vector<proto::ScheduledLoad> {};
    for (const auto &lacked : lacked_) {
        const auto row = rowOf(lacked, forecasts, now);
        if (!row)
            continue;
        const auto readyInMs = static_cast<std::uint64_t>(wholeMillis(row->readyIn));
        rows.push_back({ lacked.service, lacked.model, lacked.adapter, row->state, readyInMs });
    }
    if (rows.size() > options_.maxRows) {
        std::stable_sort(rows.begin(), rows.end(), [](const auto &one, const auto &other) {
            return one.readyInMs < other.readyInMs;
        });
        rows.resize(options_.maxRows);
    }
    notePromises(rows, now);
    // The schedule without rows that ends a series is sent once.
    if (!std::exchange(hasSentRows_, !rows.empty()) && rows.empty())
        return std::nullopt;
    auto schedule = proto::LoadSchedule { term, ++number_, std::move(rows) };
    log(schedule, now);
    return schedule;
}

/// @return the forecast of each load in progress; of several loads of a model the earliest
auto LoadScheduler::earliest(const std::vector<LoadProgress> &loads, Instant now) -> Forecasts
{
    auto result = Forecasts {};
    for (const auto &load : loads) {
        const auto known = forecast(load, now);
        auto &best = result.try_emplace({ load.model, load.adapter }, known).first->second;
        if (known.readyIn < best.readyIn)
            best = known;
    }
    return result;
}

/// @return nullopt when the load is neither in progress nor deferred: it has just ended, or its
/// model must not be loaded
auto LoadScheduler::rowOf(const LackedLoad &lacked, const Forecasts &loads, Instant now)
        -> std::optional<LoadForecast>
{
    if (const auto own = loads.find({ lacked.model, lacked.adapter }); own != loads.end())
        return own->second;
    if (lacked.deferredReadyAt) {
        return LoadForecast { ScheduledLoadState::Deferred,
                              std::max(*lacked.deferredReadyAt - now, Duration::zero()) };
    }
    // An adapter is ordered once its model is held.
    const auto model = loads.find({ lacked.model, {} });
    if (lacked.adapter.empty() || model == loads.end())
        return std::nullopt;
    return LoadForecast { ScheduledLoadState::Planned, model->second.readyIn + adapterTime };
}

auto LoadScheduler::notePromises(const std::vector<proto::ScheduledLoad> &rows, Instant now) -> void
{
    auto ordered = std::map<ModelId, Instant> {};
    for (const auto &row : rows) {
        if (row.state == ScheduledLoadState::Ordered && row.adapter.empty())
            ordered.emplace(row.model, now + std::chrono::milliseconds { row.readyInMs });
    }
    // A promise is kept until the model is held or nobody lacks it any more.
    std::erase_if(promised_, [&](const auto &item) {
        return std::none_of(lacked_.begin(), lacked_.end(),
                            [&](const auto &lacked) { return lacked.model == item.first; });
    });
    promised_.merge(ordered);
}

auto LoadScheduler::log(const proto::LoadSchedule &schedule, Instant now) -> void
{
    if (loggedAt_ && now - *loggedAt_ < options_.logEvery)
        return;
    loggedAt_ = now;
    LogEvent(LogLevel::Info, "load_schedule")
            .with("rows", static_cast<std::uint64_t>(schedule.rows.size()))
            .with("number", schedule.number)
            .with("term", schedule.term);
}

} // namespace figrack::fleet
