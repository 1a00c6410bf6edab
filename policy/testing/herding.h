// Simulates many routers that share one stale view of the same replicas, in virtual time.
//
//   auto result = runHerding({ .routers = 50, .lag = 1000 }, ChoiceKind::Chooser, seed);
//
// Every replica reports its load at a fixed period, and each report reaches all routers after a
// lag. A request that finds all slots of its replica in use waits there. For tests and the
// benchmark.

#ifndef FIGRACK_POLICY_TESTING_HERDING_H
#define FIGRACK_POLICY_TESTING_HERDING_H

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/choice.h"

namespace figrack::policy::testing {

enum class ChoiceKind : std::uint8_t {
    Random,     ///< Baseline: any replica.
    LeastStale, ///< Baseline: the least loaded by the last report.
    TwoStale,   ///< Baseline: the less loaded of two by the last report.
    LeastOwn,   ///< Baseline: the least loaded by the report and own dispatches since.
    Chooser,    ///< ReplicaChooser.
};

struct HerdingOptions
{
    std::size_t routers = 50;
    std::size_t replicas = 100;
    std::uint32_t slots = 8;
    double load = 0.8; ///< Arrivals over capacity.
    Millis service = 1000;
    Millis period = 1000; ///< Time between two reports of a replica, ms.
    Millis lag = 1000;    ///< Time from taking a report to its arrival at routers, ms.
    Millis duration = 60000;
};

struct HerdingResult
{
    std::uint64_t served = 0;
    std::uint64_t waited = 0; ///< Requests sent to a replica without a free slot.
    std::uint64_t held = 0;   ///< Requests held at the router since all replicas looked full.
    Millis waitP99 = 0;       ///< Time held plus time waited, ms.
    Millis waitMax = 0;
    std::size_t longestQueue = 0; ///< Most requests waiting on one replica.
};

class HerdingRun
{
public:
    HerdingRun(HerdingOptions options, ChoiceKind kind, std::uint64_t seed)
        : options_(options)
        , kind_(kind)
        , random_(seed)
        , replicas_(options.replicas)
        , reported_(options.replicas)
        , held_(options.routers)
    {
        for (auto i = std::size_t { 0 }; i < options.replicas; ++i) {
            const auto digits = std::to_string(i);
            const auto id = EndpointId { "e" + std::string(5 - digits.size(), '0') + digits };
            candidates_.push_back({ model_, id, ReplicaPhase::Ready, 0, 0, 0, 0 });
            push(static_cast<Millis>(random_.below(static_cast<std::uint64_t>(options.period))),
                 Kind::Report, i, 0);
        }
        for (auto i = std::size_t { 0 }; i < options.routers; ++i) {
            choosers_.emplace_back(ChoiceOptions {}, seed * 1000 + i);
            own_.emplace_back(options.replicas);
        }
    }

    auto run() -> HerdingResult
    {
        scheduleArrival();
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at;
            handle(event);
        }
        std::ranges::sort(waits_);
        if (!waits_.empty()) {
            result_.waitP99 = waits_[waits_.size() * 99 / 100];
            result_.waitMax = waits_.back();
        }
        return result_;
    }

private:
    enum class Kind : std::uint8_t { Arrival, Report, ReportDelivered, End, Retry };
    struct Event
    {
        Millis at = 0;
        std::uint64_t sequence = 0;
        Kind kind = Kind::Arrival;
        std::size_t replica = 0;
        std::size_t router = 0; ///< For Heard: the load reported.
        Millis takenAt = 0;
        auto operator<(const Event &other) const -> bool
        {
            return std::pair { other.at, other.sequence } < std::pair { at, sequence };
        }
    };
    struct Waiting
    {
        std::size_t router = 0;
        Millis arrived = 0;
    };
    struct Replica
    {
        std::uint32_t running = 0;
        std::deque<Waiting> waiting;
    };
    /// Own dispatches since the last report, for LeastOwn.
    struct Own
    {
        std::int64_t since = 0;
    };

    auto push(Millis at, Kind kind, std::size_t replica, std::size_t router, Millis takenAt = 0)
            -> void
    {
        events_.push({ at, ++sequence_, kind, replica, router, takenAt });
    }

    auto scheduleArrival() -> void
    {
        const auto perMs = options_.load * static_cast<double>(options_.replicas) * options_.slots
                / static_cast<double>(options_.service);
        exact_ += -std::log(1.0 - random_.unit()) / perMs;
        if (exact_ < static_cast<double>(options_.duration))
            push(static_cast<Millis>(exact_), Kind::Arrival, 0, random_.below(options_.routers));
    }

    auto handle(const Event &event) -> void
    {
        switch (event.kind) {
        case Kind::Arrival:
            scheduleArrival();
            ++arrived_;
            return dispatch(event.router, now_);
        case Kind::Retry:
            return retry(event.router);
        case Kind::Report:
            return report(event.replica);
        case Kind::ReportDelivered:
            return deliverReport(event);
        case Kind::End:
            return end(event.replica, event.router);
        }
    }

    auto report(std::size_t replica) -> void
    {
        const auto &state = replicas_[replica];
        const auto load = state.running + state.waiting.size();
        push(now_ + options_.lag, Kind::ReportDelivered, replica, load, now_);
        if (now_ < options_.duration || result_.served < arrived_)
            push(now_ + options_.period, Kind::Report, replica, 0);
    }

    auto deliverReport(const Event &event) -> void
    {
        reported_[event.replica] = static_cast<std::uint32_t>(event.router);
        for (auto &own : own_)
            own[event.replica].since = 0;
        if (kind_ != ChoiceKind::Chooser)
            return;
        for (auto &chooser : choosers_)
            chooser.onReport(candidates_[event.replica].endpoint, model_,
                             static_cast<std::uint32_t>(event.router), 0, event.takenAt);
    }

    auto leastLoaded(std::size_t router, bool withOwn) -> std::size_t
    {
        const auto first = random_.below(options_.replicas);
        auto best = first;
        const auto loadOf = [&](std::size_t i) {
            return reported_[i] + (withOwn ? own_[router][i].since : 0);
        };
        for (auto i = std::size_t { 0 }; i < options_.replicas; ++i) {
            const auto candidate = (first + i) % options_.replicas;
            if (loadOf(candidate) < loadOf(best))
                best = candidate;
        }
        return best;
    }

    auto choose(std::size_t router) -> std::optional<std::size_t>
    {
        const auto one = random_.below(options_.replicas);
        const auto other = random_.below(options_.replicas);
        switch (kind_) {
        case ChoiceKind::Random:
            return one;
        case ChoiceKind::LeastStale:
            return leastLoaded(router, false);
        case ChoiceKind::TwoStale:
            return reported_[one] <= reported_[other] ? one : other;
        case ChoiceKind::LeastOwn:
            return leastLoaded(router, true);
        case ChoiceKind::Chooser:
            return choosers_[router].choose({ model_, {} }, candidates_, options_.slots, now_);
        }
        return std::nullopt;
    }

    auto dispatch(std::size_t router, Millis arrived) -> void
    {
        const auto chosen = choose(router);
        if (!chosen) {
            ++result_.held;
            held_[router].push_back(arrived);
            return push(now_ + 20, Kind::Retry, 0, router);
        }
        ++own_[router][*chosen].since;
        if (kind_ == ChoiceKind::Chooser)
            choosers_[router].onDispatch(candidates_[*chosen].endpoint, model_, now_);
        auto &replica = replicas_[*chosen];
        if (replica.running < options_.slots)
            return start(*chosen, { router, arrived });
        ++result_.waited;
        replica.waiting.push_back({ router, arrived });
        result_.longestQueue = std::max(result_.longestQueue, replica.waiting.size());
    }

    auto retry(std::size_t router) -> void
    {
        if (held_[router].empty())
            return;
        const auto arrived = held_[router].front();
        held_[router].pop_front();
        dispatch(router, arrived);
    }

    auto start(std::size_t replica, const Waiting &request) -> void
    {
        ++replicas_[replica].running;
        waits_.push_back(now_ - request.arrived);
        const auto half = static_cast<std::uint64_t>(options_.service / 2);
        const auto took = options_.service / 2 + static_cast<Millis>(random_.below(2 * half));
        push(now_ + took, Kind::End, replica, request.router);
    }

    auto end(std::size_t number, std::size_t router) -> void
    {
        ++result_.served;
        auto &replica = replicas_[number];
        --replica.running;
        --own_[router][number].since;
        if (kind_ == ChoiceKind::Chooser)
            choosers_[router].onEnd(candidates_[number].endpoint, model_, DispatchResult::Finished,
                                    now_);
        if (replica.waiting.empty())
            return;
        const auto next = replica.waiting.front();
        replica.waiting.pop_front();
        start(number, next);
    }

    HerdingOptions options_;
    ChoiceKind kind_;
    Random random_;
    ModelId model_ { "m" };
    std::vector<ReplicaInfo> candidates_;
    std::vector<ReplicaChooser> choosers_;
    std::vector<Replica> replicas_;
    std::vector<std::uint32_t> reported_;
    std::vector<std::vector<Own>> own_;
    std::vector<std::deque<Millis>> held_;
    std::vector<Millis> waits_;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    Millis now_ = 0;
    double exact_ = 0;
    std::uint64_t arrived_ = 0;
    HerdingResult result_;
};

inline auto runHerding(const HerdingOptions &options, ChoiceKind kind, std::uint64_t seed)
        -> HerdingResult
{
    return HerdingRun { options, kind, seed }.run();
}

} // namespace figrack::policy::testing

#endif // FIGRACK_POLICY_TESTING_HERDING_H
