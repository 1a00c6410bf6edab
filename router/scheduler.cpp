// Each target has one state with its cached view and its counters, so that the
// cost of a request depends only on the number of its own target's replicas. A
// request that was refused while its model was cold was told when to retry. It is
// counted as demand until then, because otherwise the model would still be cold
// when the request returns.

#include "router/scheduler.h"

#include <algorithm>

#include "core/check.h"

namespace figrack::router {
namespace {

constexpr auto serviceMeanWeight = 0.1;
/// Added to the time at which a refused request is expected to return, ms.
constexpr auto expectedRetryGrace = Millis { 500 };
/// The most expected retries recorded per class of a target.
constexpr auto maxExpectedRetries = std::size_t { 64 };
constexpr auto maxIdleStates = std::size_t { 4096 };
/// How long, in ms, a request avoids a replica that refused it, or on which its dispatch failed.
constexpr auto avoidRefused = Millis { 100 };
constexpr auto avoidFailed = Millis { 1000 };
/// The most requests skipped in one pass because they avoid the replicas with free slots.
constexpr auto maxSkipped = std::size_t { 16 };

using policy::DispatchResult;

auto remaining(const std::vector<Millis> &times, Millis now) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
            std::count_if(times.begin(), times.end(), [now](Millis until) { return until > now; }));
}

} // namespace

Scheduler::Scheduler(SchedulerOptions options, const Clock &clock, const View &view,
                     SchedulerHooks hooks)
    : options_(options)
    , clock_(clock)
    , view_(view)
    , hooks_(std::move(hooks))
    , queue_(options.queue)
    , chooser_(options.choice, options.seed)
{ }

auto Scheduler::now() const -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now().time_since_epoch())
            .count();
}

auto Scheduler::deliver(Calls &calls) -> void
{
    for (auto &call : calls)
        call.done(std::move(call.placement));
    calls.clear();
}

auto Scheduler::state(const Target &target) -> TargetState &
{
    auto &state = states_[target.queueKey()];
    state.target = target;
    return state;
}

auto Scheduler::refresh(TargetState &state) -> const TargetView &
{
    const auto version = view_.version();
    if (state.cached.version != version) {
        state.cached.view = view_.target(state.target);
        state.cached.version = version;
    }
    return state.cached.view;
}

/// Returns the number of free slots over all replicas. Above maxExactReplicas replicas it is
/// computed from the total load, without iterating over the replicas for each request. This
/// estimate is too low when some replicas are overloaded, because their excess is deducted from the
/// free slots of the others.
auto Scheduler::freeSlots(const TargetView &target) const -> std::uint32_t
{
    constexpr auto maxExactReplicas = std::size_t { 64 };
    auto free = std::uint32_t { 0 };
    if (target.replicas.size() > maxExactReplicas) {
        const auto all = static_cast<std::uint32_t>(target.replicas.size()) * target.slots;
        return all - std::min(all, chooser_.estimatedLoad(target.replicas.front().model));
    }
    for (const auto &replica : target.replicas) {
        const auto load = chooser_.estimatedLoad(replica.endpoint, replica.model);
        free += target.slots - std::min(load, target.slots);
    }
    return free;
}

auto Scheduler::modelView(TargetState &state) -> policy::ModelView
{
    const auto &target = refresh(state);
    auto view = policy::ModelView {};
    view.ready = static_cast<std::uint32_t>(target.replicas.size());
    view.totalSlots = view.ready * target.slots;
    view.slotsPerReplica = target.slots;
    view.freeSlots = freeSlots(target);
    view.loading = target.loading;
    if (target.loading > 0) {
        // The tables hold the leader's wall time; the queue uses this router's monotonic time.
        const auto wall = clock_.wallNow().time_since_epoch().count();
        view.nextReady = now() + std::max<Millis>(target.nextReadyWall - wall, 0);
    }
    const auto seen = view_.meanLoadMs();
    view.predictedLoad = seen > 0 ? seen : options_.expectedLoad;
    view.serviceTime = static_cast<Millis>(state.serviceMs);
    view.canEverLoad = target.canEverLoad;
    return view;
}

auto Scheduler::submit(const SchedulingRequest &waiting, Done done) -> Ticket
{
    const auto current = hooks_.isCurrent();
    auto calls = Calls {};
    auto coldDemand = false;
    auto ticket = Ticket {};
    {
        const auto lock = std::scoped_lock { mutex_ };
        ticket = nextTicket_++;
        auto &target = state(waiting.target);
        recordArrival(target, waiting.classId);
        auto entry = Entry {};
        entry.waiting = waiting;
        entry.done = std::move(done);
        const auto at = now();
        entry.queued
                = { ticket, waiting.target.queueKey(), waiting.classId,          waiting.caller,
                    at,     at + waiting.startTarget,  at + waiting.finishTarget };
        const auto view = modelView(target);
        entry.cold = view.ready == 0;
        coldDemand = entry.cold && !waiting.target.isService();
        if (!current) {
            calls.push_back({ std::move(entry.done), Refused { ErrorKind::NotCurrent, 0 } });
        } else {
            const auto queued = entry.queued;
            entries_.emplace(ticket, std::move(entry));
            ++target.waiting;
            const auto verdict = queue_.admit(queued, view, at);
            for (const auto shed : verdict.shed)
                refuse(shed, { ErrorKind::Overloaded, verdict.shedRetryAfter }, calls);
            if (verdict.refusal)
                refuse(ticket, { verdict.refusal->kind, verdict.refusal->retryAfter }, calls);
            else
                grantWaiting(target, calls);
        }
    }
    deliver(calls);
    if (coldDemand)
        hooks_.onColdDemand();
    return ticket;
}

auto Scheduler::requeue(Ticket ticket, policy::DispatchResult result, Millis startBy, Done done)
        -> void
{
    const auto current = hooks_.isCurrent();
    auto calls = Calls {};
    auto coldDemand = false;
    {
        const auto lock = std::scoped_lock { mutex_ };
        const auto found = entries_.find(ticket);
        FIGRACK_CHECK(found != entries_.end() && found->second.isRunning,
                      "only a dispatched request can be queued again");
        auto &entry = found->second;
        const auto aside = result == DispatchResult::Refused ? avoidRefused : avoidFailed;
        entry.avoidUntil[entry.replica.id] = now() + aside;
        release(entry, result);
        entry.done = std::move(done);
        entry.queued.startBy = now() + startBy;
        entry.queued.finishBy = std::max(entry.queued.finishBy, entry.queued.startBy);
        auto &target = state(entry.waiting.target);
        ++target.waiting;
        if (current) {
            queue_.putBack(entry.queued);
            grantWaiting(target, calls);
            coldDemand = refresh(target).replicas.empty() && !entry.waiting.target.isService();
        } else {
            refuse(ticket, { ErrorKind::NotCurrent, 0 }, calls);
        }
    }
    deliver(calls);
    if (coldDemand)
        hooks_.onColdDemand();
}

auto Scheduler::cancel(Ticket ticket) -> void
{
    auto calls = Calls {};
    {
        const auto lock = std::scoped_lock { mutex_ };
        const auto found = entries_.find(ticket);
        if (found == entries_.end() || found->second.isRunning)
            return;
        queue_.cancel(ticket);
        refuse(ticket, { ErrorKind::Cancelled, -1 }, calls);
    }
    deliver(calls);
}

auto Scheduler::onFirstToken(Ticket ticket) -> void
{
    const auto lock = std::scoped_lock { mutex_ };
    const auto found = entries_.find(ticket);
    if (found == entries_.end() || !found->second.isRunning)
        return;
    const auto at = now();
    chooser_.onFirstToken(found->second.replica.id, at - found->second.dispatchedAt, at);
}

auto Scheduler::end(Ticket ticket, policy::DispatchResult result) -> void
{
    auto calls = Calls {};
    {
        const auto lock = std::scoped_lock { mutex_ };
        const auto found = entries_.find(ticket);
        if (found == entries_.end())
            return;
        FIGRACK_CHECK(found->second.isRunning, "only a dispatched request can be ended");
        release(found->second, result);
        auto &target = state(found->second.waiting.target);
        entries_.erase(found);
        grantWaiting(target, calls);
    }
    deliver(calls);
}

auto Scheduler::release(Entry &entry, policy::DispatchResult result) -> void
{
    const auto at = now();
    auto &target = state(entry.waiting.target);
    chooser_.onEnd(entry.replica.id, entry.queued.model, result, at);
    if (result == policy::DispatchResult::Finished) {
        const auto held = static_cast<double>(at - entry.dispatchedAt);
        target.serviceMs = target.serviceMs == 0
                ? held
                : target.serviceMs * (1 - serviceMeanWeight) + held * serviceMeanWeight;
    }
    entry.isRunning = false;
    --target.running;
    --running_;
}

auto Scheduler::refuse(Ticket ticket, Refused refused, Calls &calls) -> void
{
    const auto found = entries_.find(ticket);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    auto &target = state(entry.waiting.target);
    --target.waiting;
    const auto willRetry = refused.retryAfter >= 0 && refused.kind != ErrorKind::NotCurrent;
    if (willRetry && refresh(target).replicas.empty())
        recordExpectedRetry(target, entry.waiting.classId, refused.retryAfter);
    calls.push_back({ std::move(entry.done), refused });
    entries_.erase(found);
}

auto Scheduler::refuseAll(ErrorKind kind, Calls &calls) -> void
{
    auto tickets = std::vector<Ticket> {};
    for (const auto &[ticket, entry] : entries_) {
        if (!entry.isRunning)
            tickets.push_back(ticket);
    }
    for (const auto ticket : tickets) {
        queue_.cancel(ticket);
        refuse(ticket, { kind, 0 }, calls);
    }
}

auto Scheduler::grantWaiting(TargetState &state, Calls &calls) -> void
{
    auto skipped = std::vector<policy::QueuedRequest> {};
    while (state.waiting > skipped.size() && skipped.size() < maxSkipped) {
        if (grantOne(state, skipped, calls) == Step::Nothing)
            break;
    }
    for (const auto &request : skipped)
        queue_.putBack(request);
}

auto Scheduler::grantOne(TargetState &state, std::vector<policy::QueuedRequest> &skipped,
                         Calls &calls) -> Step
{
    if (refresh(state).replicas.empty())
        return Step::Nothing;
    const auto at = now();
    const auto next = queue_.pop(state.target.queueKey(), at);
    if (!next)
        return Step::Nothing;
    const auto found = entries_.find(next->ticket);
    FIGRACK_CHECK(found != entries_.end() && !found->second.isRunning,
                  "the queue holds only waiting requests");
    auto &entry = found->second;
    const auto index = chooseFor(entry, state);
    if (!index) {
        skipped.push_back(*next);
        // A request that avoids a replica must not block the requests queued behind it.
        return avoidsAnyReplica(entry) ? Step::Skipped : Step::Nothing;
    }
    entry.replica = state.cached.view.candidates[*index];
    entry.isRunning = true;
    entry.dispatchedAt = at;
    --state.waiting;
    ++state.running;
    ++running_;
    chooser_.onDispatch(entry.replica.id, entry.queued.model, at);
    if (!entry.waiting.target.isService())
        usedEngines_[entry.replica.id] = entry.replica.address;
    calls.push_back({ std::move(entry.done),
                      Granted { entry.replica, entry.cold, at - entry.queued.arrived } });
    return Step::Granted;
}

auto Scheduler::avoidsAnyReplica(const Entry &entry) const -> bool
{
    const auto at = now();
    return std::any_of(entry.avoidUntil.begin(), entry.avoidUntil.end(),
                       [at](const auto &avoided) { return avoided.second > at; });
}

auto Scheduler::chooseFor(const Entry &entry, TargetState &state) -> std::optional<std::size_t>
{
    const auto &view = state.cached.view;
    auto request = policy::ChoiceRequest {};
    request.model = entry.queued.model;
    request.prefix = entry.waiting.prefix;
    if (!avoidsAnyReplica(entry))
        return chooser_.choose(request, view.replicas, view.slots, now());
    // Retrying immediately on the replica that just failed would only use up the request's
    // attempts.
    auto others = std::vector<policy::ReplicaInfo> {};
    auto indexes = std::vector<std::size_t> {};
    for (auto i = std::size_t { 0 }; i < view.replicas.size(); ++i) {
        const auto avoided = entry.avoidUntil.find(view.replicas[i].endpoint);
        if (avoided != entry.avoidUntil.end() && avoided->second > now())
            continue;
        others.push_back(view.replicas[i]);
        indexes.push_back(i);
    }
    if (others.empty())
        return std::nullopt;
    const auto chosen = chooser_.choose(request, others, view.slots, now());
    return chosen ? std::optional { indexes[*chosen] } : std::nullopt;
}

auto Scheduler::tick() -> void
{
    const auto current = hooks_.isCurrent();
    auto calls = Calls {};
    {
        const auto lock = std::scoped_lock { mutex_ };
        if (!current) {
            refuseAll(ErrorKind::NotCurrent, calls);
        } else {
            expire(calls);
            recheckAll(calls);
        }
        if (states_.size() > maxIdleStates)
            dropIdleStates();
    }
    deliver(calls);
}

auto Scheduler::expire(Calls &calls) -> void
{
    for (const auto &request : queue_.expire(now())) {
        const auto found = entries_.find(request.ticket);
        if (found == entries_.end())
            continue;
        auto &target = state(found->second.waiting.target);
        refuse(request.ticket, { ErrorKind::DeadlineExceeded, retryAfter(target) }, calls);
    }
}

auto Scheduler::recheckAll(Calls &calls) -> void
{
    for (auto &[key, target] : states_) {
        if (target.waiting == 0)
            continue;
        grantWaiting(target, calls);
        if (target.waiting == 0)
            continue;
        const auto view = modelView(target);
        for (const auto &request : queue_.recheck(key, view, now()))
            refuse(request.ticket, { ErrorKind::TargetUnreachable, retryAfter(target) }, calls);
    }
}

auto Scheduler::onViewChanged() -> void
{
    const auto current = hooks_.isCurrent();
    if (!current)
        return;
    auto calls = Calls {};
    {
        const auto lock = std::scoped_lock { mutex_ };
        for (auto &[key, target] : states_)
            grantWaiting(target, calls);
    }
    deliver(calls);
}

auto Scheduler::onLoad(const proto::LoadDigest &digest) -> void
{
    auto calls = Calls {};
    const auto current = hooks_.isCurrent();
    {
        const auto lock = std::scoped_lock { mutex_ };
        const auto at = now();
        for (const auto &row : digest.rows) {
            for (const auto &replica : row.replicas) {
                chooser_.onReport(row.endpoint, replica.model, replica.running, replica.waiting,
                                  at - row.ageMs);
            }
        }
        if (current) {
            for (auto &[key, target] : states_)
                grantWaiting(target, calls);
        }
    }
    deliver(calls);
}

auto Scheduler::onCacheEvents(const policy::CacheEvents &events) -> void
{
    const auto lock = std::scoped_lock { mutex_ };
    chooser_.onCacheEvents(events, now());
}

auto Scheduler::wantsCacheSnapshot(const EndpointId &endpoint) const -> bool
{
    const auto lock = std::scoped_lock { mutex_ };
    return chooser_.wantsCacheSnapshot(endpoint);
}

auto Scheduler::retryAfter(TargetState &state) -> Millis
{
    // The queue returns a later time to each caller, so that they do not all retry together.
    return queue_.retryAfter(state.target.queueKey(), modelView(state), now());
}

auto Scheduler::recordArrival(TargetState &state, const ClassId &classId) -> void
{
    ++state.demand[classId].arrived;
}

auto Scheduler::recordExpectedRetry(TargetState &state, const ClassId &classId, Millis after)
        -> void
{
    auto &times = state.demand[classId].expectedRetries;
    const auto at = now();
    std::erase_if(times, [at](Millis until) { return until <= at; });
    if (times.size() < maxExpectedRetries)
        times.push_back(at + after + expectedRetryGrace);
}

auto Scheduler::takeDemand() -> std::vector<proto::DemandRow>
{
    const auto lock = std::scoped_lock { mutex_ };
    const auto at = now();
    auto rows = std::map<std::pair<ModelId, ClassId>, proto::DemandRow> {};
    const auto row = [&rows](const ModelId &model, const ClassId &classId) -> proto::DemandRow & {
        auto &found = rows[{ model, classId }];
        found.model = model;
        found.classId = classId;
        return found;
    };
    for (const auto &[ticket, entry] : entries_) {
        if (entry.waiting.target.isService())
            continue;
        auto &out = row(entry.waiting.target.model, entry.waiting.classId);
        if (entry.isRunning) {
            ++out.running;
            continue;
        }
        const auto slack = entry.queued.startBy - at;
        out.tightestSlackMs = out.queued == 0 ? slack : std::min(out.tightestSlackMs, slack);
        out.oldestWaitMs = std::max(out.oldestWaitMs, at - entry.queued.arrived);
        ++out.queued;
    }
    for (auto &[key, target] : states_) {
        if (target.target.isService())
            continue;
        for (auto &[classId, count] : target.demand) {
            std::erase_if(count.expectedRetries, [at](Millis until) { return until <= at; });
            const auto returning = remaining(count.expectedRetries, at);
            if (count.arrived == 0 && returning == 0)
                continue;
            auto &out = row(target.target.model, classId);
            out.arrived = std::exchange(count.arrived, 0);
            out.queued += returning;
        }
    }
    auto list = std::vector<proto::DemandRow> {};
    for (auto &[key, value] : rows)
        list.push_back(std::move(value));
    return list;
}

auto Scheduler::dropIdleStates() -> void
{
    std::erase_if(states_, [](const auto &entry) {
        const auto &state = entry.second;
        return state.waiting == 0 && state.running == 0
                && std::all_of(state.demand.begin(), state.demand.end(), [](const auto &demand) {
                       return demand.second.arrived == 0 && demand.second.expectedRetries.empty();
                   });
    });
}

auto Scheduler::waiting() const -> std::size_t
{
    const auto lock = std::scoped_lock { mutex_ };
    return entries_.size() - running_;
}

auto Scheduler::running() const -> std::size_t
{
    const auto lock = std::scoped_lock { mutex_ };
    return running_;
}

auto Scheduler::takeUsedEngines() -> std::map<EndpointId, Address>
{
    const auto lock = std::scoped_lock { mutex_ };
    return std::exchange(usedEngines_, {});
}

} // namespace figrack::router
