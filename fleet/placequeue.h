// Orders the requests of all gateways that wait for a slot of an endpoint, predicts when each gets
// one, and refuses those that would get it too late.
//
//   if (!queue.mustWait(pick) && (endpoint = findRoom(pick))) ...    // served at once
//   auto reply = queue.admit(std::move(pick), supply, now);          // queued, or refused at once
//   queue.grant(now, nullptr, tryPlace);                             // when a slot may be free
//   queue.recheck(now, supplyFor);                                   // at intervals
//   for (auto &grant : queue.takeGrants()) send(grant);              // ends the wait of a request
//
// Expected load: bursts of requests that may wait for seconds, beside urgent ones that may wait
// for less than one. Asking again every 50 ms gave a slot to whichever request happened to ask
// first, and requests that could have waited longer gave up.
//
// Requests wait by model. Within a model, those that return at the time they were told go first,
// by rank; then requests of accounts within their share; then the others; each by latest start.
// A model's candidates differ between requests for it and for its adapters. So a model has a pool
// for each set of candidates, and a pool has a lane for each rank: endpoints admit urgent ranks
// above their learned limit (fleet/admission.h), so a request of a less urgent rank that finds no
// room must not block a more urgent one behind it.
//
// A request is queued only if it is predicted to be granted a slot before its latest start. The
// prediction counts the requests ahead, the rate at which the candidates' slots become free, the
// part of that rate that this queue gets (policy::DrainShare; other models use the same endpoints),
// the promised returns that are due by then, and the requests with an earlier latest start that are
// expected to arrive before. When not all can be in time, the least urgent rank
// is refused first, and in it the newest request.
//
// Pure: no clock, no I/O. Bounded by the options. Each request that was queued leaves through
// exactly one of a grant (takeGrants(), with an endpoint or a refusal), cancel() and
// onGatewayLost(). grant() tries one request of each lane, and goes on only in those where it
// succeeds. Not thread-safe.

#ifndef FIGRACK_FLEET_PLACEQUEUE_H
#define FIGRACK_FLEET_PLACEQUEUE_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/placepromises.h"
#include "policy/drainshare.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct PlaceQueueOptions
{
    std::size_t maxWaiting = 2048;
    std::size_t maxPerGateway = 512;
    /// Sets of candidates that are told apart for a model. Further sets share the last pool, in
    /// which a request may have to wait for one with other candidates.
    std::size_t maxPools = 16;
    /// Shortest retry time, unless a third of the caller's time is less.
    Duration minRetryAfter = std::chrono::milliseconds { 500 };
    /// Slots that become free between two promised returns. With 1, returns take all slots of an
    /// overloaded model, and 28 in 100 of them find none after all; with 4 all of them find one,
    /// and a third more requests are on time at their first attempt.
    int retrySpacing = 4;
    /// A queued request is refused when its predicted wait exceeds the time it has left by this
    /// factor. Without a margin, one that was just admitted would be refused because of the noise
    /// of the learned rates.
    double recheckFactor = 1.25;
    /// Averaging window of the arrivals in a lane: a third of a burst, and several of the waits of
    /// requests that must start within some hundred ms.
    Duration arrivalWindow = std::chrono::milliseconds { 2000 };
    PlacePromiseOptions promises {};
};

/// How fast slots become free at the candidates of a request.
struct PlaceSupply
{
    double perMs = 0;    ///< Slots per millisecond, over all candidates; 0: not known.
    Duration firstIn {}; ///< Until the first one becomes free.
};

/// A request that needs a slot.
struct WaitingPick
{
    NodeId gateway;
    proto::PickRequest request;
    Instant arrivedAt {};   ///< At its gateway.
    Instant latestStart {}; ///< Latest grant with which it can start in time.
    Instant queuedAt {};
    Duration predicted {};    ///< Wait from queuedAt on, predicted when it was queued.
    bool isReturned = false;  ///< Returned at the time it was told.
    bool isOverShare = false; ///< Its account uses more than its share.
};

/// Ends the wait of a queued request.
struct PlaceGrant
{
    NodeId gateway;
    proto::PickRequest request;
    proto::PickReply reply; ///< With the endpoint where it is booked, or with a refusal.
};

enum class PlaceEvent : std::uint8_t {
    Queued,
    Granted,
    Refused, ///< On arrival.
    Shed,    ///< After it was queued.
    PromiseKept,
    PromiseMissed,  ///< It returned in its time and was refused.
    PromiseExpired, ///< It did not return in its time.
};
/// @return the name of the event's log line
auto placeEventName(PlaceEvent event) -> std::string_view;

enum class PlaceCause : std::uint8_t {
    None,
    PredictedLate, ///< It would be granted a slot after its latest start.
    Displaced,     ///< By a request that is more urgent or arrived before it.
    PastStart,     ///< Its latest start has passed.
    QueueFull,
    RateUsed, ///< All candidates have been sent the requests that their rate allows.
};
auto placeCauseName(PlaceCause cause) -> std::string_view;

/// A decision of the queue, for logs and metrics.
struct PlaceNotice
{
    PlaceEvent event = PlaceEvent::Queued;
    PlaceCause cause = PlaceCause::None;
    NodeId gateway;
    std::uint64_t ticket = 0;
    std::uint64_t model = 0;
    std::uint64_t work = 0; ///< Of promises.
    std::uint32_t rank = 0;
    Duration waited {};
    Duration predicted {};        ///< Of the wait, when it was queued.
    std::uint32_t comeBackMs = 0; ///< With a refusal: the time that was told.
};

class PlaceQueue
{
public:
    using TryPlace = std::function<std::optional<proto::PickReply>(const WaitingPick &)>;
    using SupplyFor = std::function<PlaceSupply(const proto::PickRequest &)>;

    explicit PlaceQueue(PlaceQueueOptions options);
    /// @return true when the request has returned at the time it was told; its promise is removed
    auto takePromise(const proto::PickRequest &request, Instant now) -> bool;
    /// @return true when a waiting request goes before this one, so that it may not take a slot
    auto mustWait(const WaitingPick &pick) const -> bool;
    /// Queues a request that found no slot, or refuses it at once. Other requests may be refused
    /// for it; see takeGrants().
    auto admit(WaitingPick pick, const PlaceSupply &supply, Instant now) -> proto::PickReply;
    /// Call when a request was served without waiting.
    auto onServedAtOnce(const WaitingPick &pick) -> void;
    /// Call when a request was refused because of its candidates' rates.
    auto onRateUsed(const WaitingPick &pick, std::uint32_t comeBackMs) -> void;
    /// Offers slots to the waiting requests, in order.
    /// @param freed only those with this candidate; nullptr: all
    /// @param tryPlace books a slot for a request; nullopt: it finds none
    auto grant(Instant now, const EndpointId *freed, const TryPlace &tryPlace) -> void;
    /// Refuses the waiting requests that cannot be served in time any more.
    auto recheck(Instant now, const SupplyFor &supplyFor) -> void;
    /// Forgets promises that were not used, and models without waiting requests.
    auto expire(Instant now) -> void;
    /// Removes a request whose gateway does not wait for it any more.
    /// @return false when it was not queued
    auto cancel(const NodeId &gateway, std::uint64_t ticket, Instant now) -> bool;
    auto onGatewayLost(const NodeId &gateway, Instant now) -> void;
    auto waiting() const -> std::size_t { return tickets_.size(); }
    auto promised() const -> std::size_t { return promises_.size(); }
    /// @return the ends of waits since the last call
    auto takeGrants() -> std::vector<PlaceGrant> { return std::exchange(grants_, {}); }
    /// @return the decisions since the last call; at most maxNotices, further ones are dropped
    auto takeNotices() -> std::vector<PlaceNotice> { return std::exchange(notices_, {}); }

private:
    static constexpr auto maxNotices = std::size_t { 1024 };
    /// One for requests that have returned, and one for each rank with a factor of its own.
    static constexpr auto laneCount = std::size_t { 4 };

    /// Position in a model's queue.
    struct Order
    {
        std::uint32_t group = 0; ///< 0: returned; 1: within its share; 2: beyond it.
        std::uint32_t rank = 0;  ///< Only among those that have returned.
        Instant latestStart {};
        std::uint64_t sequence = 0; ///< Of arrival here.
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
        auto operator<=>(const Order &) const = default;
    };
    struct Entry
    {
        WaitingPick pick;
        std::size_t pool = 0;
    };
    /// The waiting requests of a model with the same candidates.
    struct Pool
    {
        std::vector<EndpointId> candidates; ///< Sorted.
        std::array<std::set<Order>, laneCount> lanes;
        /// By lane: how many slots there are depends on the rank.
        std::array<PlaceSupply, laneCount> supplies;
        auto empty() const -> bool;
    };
    /// The requests of one lane that were queued recently.
    class Arrivals
    {
    public:
        explicit Arrivals(Duration window)
            : window_(window)
        { }
        auto add(Duration slack, Instant now) -> void;
        /// @return the number expected to be queued within `wait` with an earlier latest start than
        /// a request that has `left` until its own
        auto expected(Duration wait, Duration left, Instant now) const -> double;

    private:
        Duration window_;
        double sum_ = 0;     ///< Decayed to at_.
        double slackMs_ = 0; ///< Average time until the latest start.
        Instant at_ {};
    };
    struct Model
    {
        explicit Model(Duration arrivalWindow)
            : arrivals(laneCount, Arrivals { arrivalWindow })
        { }
        std::map<Order, Entry> entries;
        std::vector<Arrivals> arrivals; ///< By lane.
        std::vector<Pool> pools;
        policy::DrainShare drain;
        Instant lastWaitAt {};  ///< Since when no request waits, if none does.
        Instant lastRetryAt {}; ///< Latest retry time that a slot was reserved for.
        Instant usedAt {};
    };
    struct Place
    {
        std::uint64_t key = 0;
        Order order;
    };
    class Forecast;
    class Shedding;

    static auto keyOf(const proto::PickRequest &request) -> std::uint64_t;
    static auto laneOf(const WaitingPick &pick) -> std::size_t;
    static auto orderOf(const WaitingPick &pick, std::uint64_t sequence) -> Order;
    auto modelOf(std::uint64_t key) -> Model &;
    auto poolFor(Model &model, const proto::PickRequest &request) const -> std::size_t;
    auto insert(std::uint64_t key, WaitingPick pick, std::size_t pool, Instant now) -> Order;
    auto remove(std::uint64_t key, const Order &order, Instant now) -> WaitingPick;
    auto refuse(const WaitingPick &pick, PlaceCause cause, const PlaceSupply &supply, Instant now)
            -> proto::PickReply;
    /// Ends the wait of a queued request with a refusal.
    auto shed(std::uint64_t key, const Order &order, PlaceCause cause, Instant now) -> void;
    auto note(PlaceEvent event, const WaitingPick &pick) -> PlaceNotice &;

    PlaceQueueOptions options_;
    std::map<std::uint64_t, Model> models_;
    std::map<std::pair<NodeId, std::uint64_t>, Place> tickets_; ///< By gateway and ticket.
    std::map<NodeId, std::size_t> perGateway_;
    PlacePromises promises_;
    std::vector<PlaceGrant> grants_;
    std::vector<PlaceNotice> notices_;
    PlaceNotice dropped_; ///< Takes the values of a notice beyond the bound.
    std::uint64_t lastSequence_ = 0;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEQUEUE_H
