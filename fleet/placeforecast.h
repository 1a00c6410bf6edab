// The predictions of PlaceQueue, and the choice of the requests to refuse. Internal to
// placequeue.cpp.

#ifndef FIGRACK_FLEET_PLACEFORECAST_H
#define FIGRACK_FLEET_PLACEFORECAST_H

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "core/duration.h"
#include "fleet/placequeue.h"

namespace figrack::fleet {

/// Predicts waits, given the requests that go first. A request ahead with other candidates counts
/// by the part of them that it shares with the one whose wait is predicted.
class PlaceQueue::Forecast
{
public:
    Forecast(const Model &model, const PlacePromises::ByTime &promises, Instant now)
        : model_(model)
        , promises_(promises)
        , now_(now)
        , ahead_(model.pools.size())
    {
        for (const auto &in : model.pools) {
            for (const auto &of : model.pools)
                parts_.push_back(sharedPart(of.candidates, in.candidates));
        }
    }
    auto add(std::size_t pool) -> void { ++ahead_[pool]; }
    auto remove(std::size_t pool) -> void { --ahead_[pool]; }
    /// @return how much a request of one pool delays those of another one
    auto partOf(std::size_t pool, std::size_t in) const -> double
    {
        return parts_[in * ahead_.size() + pool];
    }
    /// @return the time between two slots that requests of the pick's lane get
    auto intervalOf(const WaitingPick &pick, std::size_t pool) const -> Duration
    {
        const auto perMs = model_.pools[pool].supplies[laneOf(pick)].perMs;
        if (perMs <= 0)
            return farAhead;
        return std::min<Duration>(fromMillis(1 / (perMs * model_.drain.value(1 / perMs))),
                                  farAhead);
    }
    /// @return the predicted wait of a request that comes after those that were added
    auto waitOf(const WaitingPick &pick, std::size_t pool) const -> Duration
    {
        const auto interval = intervalOf(pick, pool);
        if (interval == farAhead)
            return farAhead;
        const auto known = model_.pools[pool].supplies[laneOf(pick)].firstIn;
        auto ahead = 0.0;
        for (auto other = std::size_t { 0 }; other < ahead_.size(); ++other)
            ahead += static_cast<double>(ahead_[other]) * partOf(other, pool);
        const auto base = (known > Duration::zero() ? std::min(known, interval) : interval)
                + fromMillis(ahead * inMillis(interval));
        auto wait = withPromises(base, interval);
        // Nobody goes before those that have returned but others of them.
        for (auto i = 0; !pick.isReturned && i < waitIterations; ++i) {
            const auto overtaking = expectedBefore(pick, wait);
            if (overtaking <= 0)
                break;
            wait = withPromises(base + fromMillis(overtaking * inMillis(interval)), interval);
        }
        return std::min(wait, farAhead);
    }

private:
    /// Predicted wait where no slot is expected to become free.
    static constexpr auto farAhead = Duration { std::chrono::hours { 24 } };
    /// Iterations in which the wait and the number of requests that arrive within it are made to
    /// agree.
    static constexpr auto waitIterations = 4;

    /// @return the part of one set of candidates that is in another one
    static auto sharedPart(const std::vector<EndpointId> &of, const std::vector<EndpointId> &in)
            -> double
    {
        if (of.empty())
            return 0;
        const auto count = std::count_if(of.begin(), of.end(), [&](const auto &id) {
            return std::binary_search(in.begin(), in.end(), id);
        });
        return static_cast<double>(count) / static_cast<double>(of.size());
    }
    /// Less urgent requests that arrive with an earlier latest start do not count: they are refused
    /// first if not all can be in time.
    auto expectedBefore(const WaitingPick &pick, Duration wait) const -> double
    {
        auto count = 0.0;
        for (auto lane = std::size_t { 0 }; lane <= laneOf(pick); ++lane)
            count += model_.arrivals[lane].expected(wait, pick.latestStart - now_, now_);
        return count;
    }
    auto withPromises(Duration wait, Duration interval) const -> Duration
    {
        for (const auto &[retryAt, work] : promises_) {
            if (retryAt > now_ + wait)
                break;
            wait += interval;
        }
        return wait;
    }

    const Model &model_;
    const PlacePromises::ByTime &promises_;
    Instant now_;
    std::vector<std::size_t> ahead_; ///< By pool.
    std::vector<double> parts_;      ///< See partOf().
};

/// Finds the requests of a model to refuse, by the Moore-Hodgson rule for equal service times: in
/// the order of the queue, whenever a request would be late, the least urgent one of those kept so
/// far is refused. Where that does not make it early enough, it is refused itself.
class PlaceQueue::Shedding
{
public:
    struct Victim
    {
        Order order;
        PlaceCause cause = PlaceCause::None;
    };
    /// @param newcomer just inserted; nullptr: none. It is held to the prediction without a margin
    Shedding(const Model &model, Forecast forecast, double recheckFactor, Instant now,
             const Order *newcomer)
        : model_(model)
        , forecast_(std::move(forecast))
        , recheckFactor_(recheckFactor)
        , now_(now)
        , newcomer_(newcomer)
    { }

    auto run() -> std::vector<Victim>
    {
        for (const auto &item : model_.entries) {
            if (item.second.pick.latestStart <= now_)
                victims_.push_back({ item.first, PlaceCause::PastStart });
            else
                keepOrRefuse(item);
        }
        return std::move(victims_);
    }

private:
    using Item = std::map<Order, Entry>::value_type;

    /// @return true when the one is refused before the other
    static auto isLessUrgent(const Item &one, const Item &other) -> bool
    {
        const auto key = [](const Item &item) {
            const auto &pick = item.second.pick;
            return std::tuple { !pick.isReturned, pick.request.rank, pick.arrivedAt,
                                item.first.sequence };
        };
        return key(one) > key(other);
    }

    auto isLate(const Item &item) const -> bool
    {
        const auto isNew = newcomer_ != nullptr && item.first == *newcomer_;
        // The first of those that wait gets the next slot, and nothing can be done for it: it stays
        // until its latest start.
        if (!isNew && kept_.empty())
            return false;
        const auto left = item.second.pick.latestStart - now_;
        const auto wait = forecast_.waitOf(item.second.pick, item.second.pool);
        if (inMillis(wait) > inMillis(left) * (isNew ? 1 : recheckFactor_))
            return true;
        // The margin is for the noise of the prediction, and not for a less urgent newcomer to use
        // up. More urgent ones are expected by the prediction, as far as they can be.
        return delaying_ != nullptr && isLessUrgent(*delaying_, item) && wait > left
                && wait - forecast_.intervalOf(item.second.pick, item.second.pool) <= left;
    }

    /// @return the least urgent of the kept requests that delay the item, if it is less urgent
    auto displacedBy(const Item &item) -> std::vector<const Item *>::iterator
    {
        auto least = kept_.end();
        for (auto kept = kept_.begin(); kept != kept_.end(); ++kept) {
            const auto delays = forecast_.partOf((*kept)->second.pool, item.second.pool) > 0;
            if (delays && isLessUrgent(**kept, item)
                && (least == kept_.end() || isLessUrgent(**kept, **least)))
                least = kept;
        }
        return least;
    }

    auto keepOrRefuse(const Item &item) -> void
    {
        auto displaced = std::vector<const Item *> {};
        while (isLate(item)) {
            const auto least = displacedBy(item);
            if (least == kept_.end()) {
                for (const auto *other : displaced)
                    keep(*other);
                victims_.push_back({ item.first, PlaceCause::PredictedLate });
                return;
            }
            forecast_.remove((*least)->second.pool);
            displaced.push_back(*least);
            kept_.erase(least);
        }
        for (const auto *other : displaced)
            victims_.push_back({ other->first, PlaceCause::Displaced });
        if (!displaced.empty())
            delaying_ = nullptr;
        else if (newcomer_ != nullptr && item.first == *newcomer_)
            delaying_ = &item;
        keep(item);
    }

    auto keep(const Item &item) -> void
    {
        kept_.push_back(&item);
        forecast_.add(item.second.pool);
    }

    const Model &model_;
    Forecast forecast_;
    double recheckFactor_;
    Instant now_;
    const Order *newcomer_;
    const Item *delaying_ = nullptr; ///< The newcomer, if it was kept and no other one refused.
    std::vector<const Item *> kept_;
    std::vector<Victim> victims_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PLACEFORECAST_H
