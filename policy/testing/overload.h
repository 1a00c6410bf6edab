// Discrete-event simulation of one model behind the admission queue, in virtual time.
//
//   auto result = runOverload({ .load = 4.0 }, seed);
//
// Requests of three classes arrive at random at a multiple of what the model's slots can
// serve. A refused caller may retry at the time it was given. For tests and the benchmark.

#ifndef FIGRACK_POLICY_TESTING_OVERLOAD_H
#define FIGRACK_POLICY_TESTING_OVERLOAD_H

#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "policy/admission.h"

namespace figrack::policy::testing {

struct WorkClass
{
    const char *name;
    Millis start;
    Millis finish;
    double part; ///< Share of the arrivals.
};

constexpr auto workClasses = std::array<WorkClass, 3> { {
        { "urgent", 2000, 20000, 0.3 },
        { "routine", 10000, 60000, 0.4 },
        { "patient", 60000, 600000, 0.3 },
} };

enum class QueueKind : std::uint8_t {
    Admission, ///< RequestQueue.
    Fifo,      ///< Baseline: first come first served, refused at the deadline.
    Deadline,  ///< Baseline: earliest deadline first, refused at the deadline.
};

struct OverloadOptions
{
    double load = 1.0; ///< Arrivals over capacity.
    QueueKind kind = QueueKind::Admission;
    std::uint32_t slots = 32;
    Millis service = 1000; ///< Mean, ms; each request takes 0.5 to 1.5 times this.
    Millis duration = 300000;
    std::size_t routers = 1; ///< Share the slots; each sees only its own queue.
    int returns = 2;         ///< How often a refused caller retries.
    QueueOptions queue {};
};

struct ClassResult
{
    std::uint64_t offered = 0; ///< Callers, without retries.
    std::uint64_t served = 0;  ///< Started within the target.
    std::uint64_t late = 0;    ///< Started after it.
    std::uint64_t refusals = 0;
    std::uint64_t returned = 0;
    std::uint64_t returnedServed = 0;
    std::uint64_t heldMs = 0; ///< Sum of the times from arrival to refusal.
    Millis longestHeld = 0;
};

struct OverloadResult
{
    std::array<ClassResult, workClasses.size()> classes {};
    double capacity = 0; ///< Requests that the slots can serve in the run.
    std::uint64_t endings = 0;
    std::uint64_t admitted = 0;
    std::uint64_t servedInRun = 0; ///< In time, before the arrivals end.
    auto goodput() const -> double { return static_cast<double>(servedInRun) / capacity; }
};

class OverloadRun
{
public:
    OverloadRun(OverloadOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
        , free_(options.slots)
    {
        for (auto i = std::size_t { 0 }; i < options.routers; ++i)
            queues_.emplace_back(options.queue);
    }

    auto run() -> OverloadResult
    {
        const auto perMs
                = static_cast<double>(options_.slots) / static_cast<double>(options_.service);
        result_.capacity = perMs * static_cast<double>(options_.duration);
        scheduleArrival(perMs * options_.load);
        events_.push({ 50, Kind::Tick, 0 });
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at;
            handle(event, perMs * options_.load);
            dispatch();
        }
        return result_;
    }

private:
    enum class Kind : std::uint8_t { Arrival, Return, End, Tick };
    struct Event
    {
        Millis at = 0;
        Kind kind = Kind::Arrival;
        std::uint64_t caller = 0;
        auto operator<(const Event &other) const -> bool
        {
            return std::pair { other.at, other.caller } < std::pair { at, caller };
        }
    };
    struct Caller
    {
        std::size_t classNumber = 0;
        int returns = 0;
    };

    auto scheduleArrival(double perMs) -> void
    {
        exact_ += -std::log(1.0 - random_.unit()) / perMs;
        const auto at = static_cast<Millis>(exact_);
        if (at < options_.duration)
            events_.push({ at, Kind::Arrival, ++callerNumber_ });
    }

    auto handle(const Event &event, double perMs) -> void
    {
        switch (event.kind) {
        case Kind::Arrival:
            scheduleArrival(perMs);
            callers_[event.caller] = { drawClass(), 0 };
            ++resultOf(event.caller).offered;
            return arrive(event.caller);
        case Kind::Return:
            ++resultOf(event.caller).returned;
            return arrive(event.caller);
        case Kind::End:
            ++free_;
            return;
        case Kind::Tick:
            tick();
            if (now_ < options_.duration || waiting() > 0)
                events_.push({ now_ + 50, Kind::Tick, 0 });
            return;
        }
    }

    auto drawClass() -> std::size_t
    {
        auto draw = random_.unit();
        for (auto i = std::size_t { 0 }; i + 1 < workClasses.size(); ++i) {
            if (draw < workClasses[i].part)
                return i;
            draw -= workClasses[i].part;
        }
        return workClasses.size() - 1;
    }

    auto resultOf(std::uint64_t caller) -> ClassResult &
    {
        return result_.classes[callers_.at(caller).classNumber];
    }

    auto view() const -> ModelView
    {
        auto view = ModelView {};
        view.ready = options_.slots / 8;
        view.freeSlots = free_;
        view.totalSlots = options_.slots;
        view.serviceTime = options_.service;
        return view;
    }

    auto arrive(std::uint64_t caller) -> void
    {
        const auto &work = workClasses[callers_.at(caller).classNumber];
        const auto request = QueuedRequest { caller,
                                             model_,
                                             ClassId { work.name },
                                             std::to_string(caller),
                                             now_,
                                             now_ + work.start,
                                             now_ + work.finish };
        if (options_.kind != QueueKind::Admission) {
            plain_.emplace(options_.kind == QueueKind::Fifo ? now_ : request.startBy, request);
            return;
        }
        const auto verdict = queueOf(caller).admit(request, view(), now_);
        for (const auto ticket : verdict.shed)
            refuse(ticket, arrivals_.at(ticket), verdict.shedRetryAfter);
        if (verdict.refusal)
            return refuse(caller, now_, verdict.refusal->retryAfter);
        arrivals_[caller] = now_;
        ++result_.admitted;
    }

    auto refuse(std::uint64_t caller, Millis arrived, Millis retryAfter) -> void
    {
        arrivals_.erase(caller);
        ++result_.endings;
        auto &result = resultOf(caller);
        ++result.refusals;
        result.heldMs += static_cast<std::uint64_t>(now_ - arrived);
        result.longestHeld = std::max(result.longestHeld, now_ - arrived);
        auto &state = callers_.at(caller);
        if (state.returns++ < options_.returns && now_ < options_.duration)
            events_.push({ now_ + retryAfter, Kind::Return, caller });
    }

    auto tick() -> void
    {
        if (options_.kind != QueueKind::Admission)
            return expirePlain();
        for (auto &queue : queues_) {
            for (const auto &request : queue.expire(now_))
                refuse(request.ticket, request.arrived, queue.retryAfter(model_, view(), now_));
            for (const auto &request : queue.recheck(model_, view(), now_))
                refuse(request.ticket, request.arrived, queue.retryAfter(model_, view(), now_));
        }
    }

    auto expirePlain() -> void
    {
        for (auto it = plain_.begin(); it != plain_.end();) {
            if (it->second.startBy >= now_) {
                ++it;
                continue;
            }
            const auto request = it->second;
            it = plain_.erase(it);
            refuse(request.ticket, request.arrived, 1000);
        }
    }

    auto waiting() const -> std::size_t
    {
        auto all = plain_.size();
        for (const auto &queue : queues_)
            all += queue.size();
        return all;
    }

    auto queueOf(std::uint64_t caller) -> RequestQueue &
    {
        return queues_[caller % queues_.size()];
    }

    auto next() -> std::optional<QueuedRequest>
    {
        // A random router gets the slot: the first to learn of it.
        const auto first = random_.below(queues_.size());
        for (auto i = std::size_t { 0 }; i < queues_.size(); ++i) {
            if (auto request = queues_[(first + i) % queues_.size()].pop(model_, now_))
                return request;
        }
        if (plain_.empty())
            return std::nullopt;
        auto request = plain_.begin()->second;
        plain_.erase(plain_.begin());
        return request;
    }

    auto dispatch() -> void
    {
        while (free_ > 0) {
            const auto request = next();
            if (!request)
                return;
            --free_;
            ++result_.endings;
            arrivals_.erase(request->ticket);
            auto &result = resultOf(request->ticket);
            const auto inTime = now_ <= request->startBy;
            ++(inTime ? result.served : result.late);
            result_.servedInRun += inTime && now_ < options_.duration ? 1 : 0;
            if (inTime && callers_.at(request->ticket).returns > 0)
                ++result.returnedServed;
            const auto half = static_cast<std::uint64_t>(options_.service / 2);
            const auto took = options_.service / 2 + static_cast<Millis>(random_.below(2 * half));
            events_.push({ now_ + took, Kind::End, 0 });
        }
    }

    OverloadOptions options_;
    Random random_;
    std::vector<RequestQueue> queues_;
    std::uint32_t free_;
    ModelId model_ { "m" };
    Millis now_ = 0;
    double exact_ = 0;
    std::uint64_t callerNumber_ = 0;
    std::priority_queue<Event> events_;
    std::unordered_map<std::uint64_t, Caller> callers_;
    std::unordered_map<std::uint64_t, Millis> arrivals_;
    std::multimap<Millis, QueuedRequest> plain_;
    OverloadResult result_;
};

inline auto runOverload(const OverloadOptions &options, std::uint64_t seed) -> OverloadResult
{
    return OverloadRun { options, seed }.run();
}

} // namespace figrack::policy::testing

#endif // FIGRACK_POLICY_TESTING_OVERLOAD_H
