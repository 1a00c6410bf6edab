// Tells gateways when the models and adapters that requests lack are expected to be held.
//
//   scheduler.onPass(lackedLoads(service, input, placement, now));  // after each planning pass
//   scheduler.onLoadChanged();                       // accepted, finished or given up
//   if (scheduler.isDue(now))
//       if (auto schedule = scheduler.next(term, orders.loads(), now)) push(*schedule);
//
// The leader knows its orders, while a gateway alone can only guess when a load ends. A request
// that waits for a load that comes too late is held and then refused, which is worse for its
// caller than to be refused at once.
//
// Pure: the time is a parameter. Soft state of one leader. Not thread-safe.

#ifndef FIGRACK_FLEET_LOADSCHEDULE_H
#define FIGRACK_FLEET_LOADSCHEDULE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/placement.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

/// A load that an OrderRunner carries out.
struct LoadProgress
{
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    Duration loadTime {};
    Instant loadDueAt {}; ///< When the order of the load is expected to be sent, after the unloads.
    std::optional<Instant> acceptedAt; ///< When the endpoint accepted the order of the load.
    std::optional<Instant> retryAt;    ///< When an order without an answer is sent again.
};

/// What is known of the end of a load.
struct LoadForecast
{
    proto::ScheduledLoadState state = proto::ScheduledLoadState::Planned;
    Duration readyIn {};
};

/// A load is Ordered only within its expected time. One that has exceeded it is no promise, and is
/// expected to take as long again as it is late.
auto forecast(const LoadProgress &load, Instant now) -> LoadForecast;

/// A model or an adapter that has waiting or refused requests and that no endpoint holds.
struct LackedLoad
{
    ServiceId service;
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    /// Expected end of the load if it is ordered when it is next considered; absent: it is not
    /// deferred.
    std::optional<Instant> deferredReadyAt;
    auto operator==(const LackedLoad &) const -> bool = default;
};

/// What requests ask for and an endpoint holds. The hosts of a PlacementInput do not tell this: a
/// load uses its memory from the acceptance of its order on, and counts as held there.
struct HeldTargets
{
    std::set<ModelId> models;
    std::set<AdapterKey> adapters;
};

/// @return what is lacked after a planning pass. @param input of the pass @param placement its
/// result
auto lackedLoads(const ServiceId &service, const PlacementInput &input, const Placement &placement,
                 const HeldTargets &held, Instant now) -> std::vector<LackedLoad>;

struct LoadScheduleOptions
{
    /// Interval of schedules while there are rows; a third of the time for which gateways keep one,
    /// so that the loss of one has no effect.
    Duration sendEvery = std::chrono::milliseconds { 500 };
    /// Minimum time between two schedules. Plans come in bursts, and each schedule is sent to all
    /// gateways.
    Duration sendPause = std::chrono::milliseconds { 100 };
    /// Rows of a schedule; those that are ready first are kept. It bounds a schedule to about 16
    /// KB.
    std::size_t maxRows = 256;
    Duration logEvery = std::chrono::seconds { 1 };
};

class LoadScheduler
{
public:
    explicit LoadScheduler(LoadScheduleOptions options);
    /// Call when this process begins or ceases to lead. Forgets what it knows.
    auto reset() -> void;
    /// Call after each planning pass. @param lacked over all services
    auto onPass(std::vector<LackedLoad> lacked) -> void;
    /// Call when a load was planned, accepted, finished or given up.
    auto onLoadChanged() -> void { isChanged_ = true; }
    /// Call when an endpoint holds a model after an order. @return how much later than promised to
    /// gateways; negative: earlier; nullopt: nothing was promised
    auto onHeld(const ModelId &model, Instant now) -> std::optional<Duration>;
    auto isDue(Instant now) const -> bool;
    /// @return the schedule to send now; nullopt if there is nothing to tell. Call when isDue()
    auto next(Term term, const std::vector<LoadProgress> &loads, Instant now)
            -> std::optional<proto::LoadSchedule>;

private:
    using Forecasts = std::map<AdapterKey, LoadForecast>;
    static auto earliest(const std::vector<LoadProgress> &loads, Instant now) -> Forecasts;
    static auto rowOf(const LackedLoad &lacked, const Forecasts &loads, Instant now)
            -> std::optional<LoadForecast>;
    auto notePromises(const std::vector<proto::ScheduledLoad> &rows, Instant now) -> void;
    auto log(const proto::LoadSchedule &schedule, Instant now) -> void;

    LoadScheduleOptions options_;
    std::vector<LackedLoad> lacked_;
    std::map<ModelId, Instant> promised_; ///< First promise of each ordered load of a model.
    std::optional<Instant> sentAt_;
    std::optional<Instant> loggedAt_;
    std::uint64_t number_ = 0;
    bool isChanged_ = false;
    bool hasSentRows_ = false; ///< In the latest schedule.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LOADSCHEDULE_H
