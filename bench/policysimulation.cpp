// Events in order of time, then of making. Callers: one that is refused comes back
// after the time it was told, a few times, while its finish target still stands;
// its times run from its first try. Engines: a first token takes a fixed prefill
// plus a little a stream, a stream its decode time; past its slots an engine queues.
// Control: a plan every tick, orders carried out at once.

#include "bench/policysimulation.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <tuple>

#include "bench/policysimfleet.h"
#include "bench/policysimstore.h"
#include "core/random.h"
#include "policy/admission.h"
#include "policy/choice.h"
#include "policy/planner.h"

namespace figrack::bench {

namespace {

using namespace policy;

constexpr auto planEvery = Millis { 100 };
constexpr auto reportEvery = Millis { 1000 };
constexpr auto unloadTakes = Millis { 300 };
constexpr auto prefill = Millis { 200 };
constexpr auto prefillPerStream = Millis { 10 };
constexpr auto diskShare = 0.4;
constexpr auto memoryShare = 0.12;
constexpr auto leastLoad = 150.0; ///< ms: an adapter's load, nearly.
constexpr auto maxReturns = 3;
constexpr auto outage = hour / 2;
constexpr auto lateBy = Millis { 5000 };

enum class EventKind : std::uint8_t {
    Arrive,
    FirstToken,
    Finish,
    StoreRead,
    LocalRead,
    Unloaded,
    Plan,
    Report,
    FaultBegins,
    FaultEnds,
};

struct Event
{
    Millis at = 0;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Plan;
    std::uint64_t subject = 0; ///< A request or a replica's key.
    std::uint64_t version = 0; ///< Tells a stale event from a current one.
    auto operator>(const Event &other) const -> bool
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct Request
{
    const Arrival *arrival = nullptr;
    SimKey replica = 0;
    std::uint32_t returns = 0;
    std::uint32_t attempt = 0; ///< Version of its stream events.
    bool wasCold = false;
    bool started = false;
};

struct Router
{
    RequestQueue queue;
    ReplicaChooser chooser;
};

using DemandKey = std::pair<std::uint32_t, std::uint32_t>; ///< Model, class.

class Simulation
{
public:
    Simulation(const Scenario &scenario, const std::vector<Arrival> &arrivals, KeepRule keep,
               std::uint64_t seed);
    auto run() -> SimReport;

private:
    auto push(Millis at, EventKind kind, std::uint64_t subject = 0, std::uint64_t version = 0)
            -> void;
    auto handle(const Event &event) -> void;
    auto arrive(std::uint32_t id) -> void;
    auto admit(std::uint32_t id) -> void;
    auto refused(std::uint32_t id, Millis retryAfter) -> void;
    auto view(const Router &router, std::uint32_t model) const -> ModelView;
    auto dispatch(Router &router, std::uint32_t model) -> void;
    auto dispatchAll(std::uint32_t model) -> void;
    auto startStream(SimReplica &replica, std::uint32_t id) -> void;
    auto firstToken(std::uint32_t id) -> void;
    auto finishStream(std::uint32_t id) -> void;
    auto endRunning(const Arrival &arrival) -> void;
    auto scheduleStore() -> void;
    auto readDone(SimKey key) -> void;
    auto unloaded(SimKey key) -> void;
    auto plan() -> void;
    auto report() -> void;
    auto reportDemand() -> void;
    auto applyLoad(const Decision &decision) -> void;
    auto applyUnload(const Decision &decision) -> void;
    auto loadWork(std::uint32_t model, Tier tier) -> double;
    auto tellCached(std::uint32_t endpoint, const std::vector<TierChange> &changes) -> void;
    auto tellEndpoint(std::uint32_t endpoint) -> void;
    auto faultBegins() -> void;
    auto faultEnds() -> void;
    auto isHit(std::uint32_t endpoint) const -> bool;
    auto lose(std::uint32_t endpoint) -> void;
    auto cutOff(SimReplica &replica) -> void;

    const Scenario &scenario_;
    const std::vector<Arrival> &arrivals_;
    Random random_;
    Planner planner_;
    SimFleet fleet_;
    SimStore store_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::vector<Request> requests_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::map<DemandKey, std::uint32_t> running_;
    std::map<DemandKey, DemandInfo> told_;
    std::map<DemandKey, std::uint32_t> newArrivals_;
    std::deque<std::pair<Millis, DemandInfo>> late_;
    std::set<SimKey> changed_; ///< Replicas whose load the next report carries.
    SimReport report_;
    Millis now_ = 0;
    Millis reportLag_ = 0;
    double meanMb_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t storeVersion_ = 0;
    bool dropEvents_ = false;
};

Simulation::Simulation(const Scenario &scenario, const std::vector<Arrival> &arrivals,
                       KeepRule keep, std::uint64_t seed)
    : scenario_(scenario)
    , arrivals_(arrivals)
    , random_(seed)
    , planner_({ scenario.storeConcurrency, scenario.storeLoadsPerSecond, 64, std::move(keep) })
    , fleet_(scenario)
    , store_(scenario.storeConcurrency)
    , requests_(arrivals.size())
{
    for (const auto &entry : scenario.classes) {
        planner_.setClass(entry.target);
        report_.classNames.push_back(entry.target.id.value());
    }
    report_.classes.resize(scenario.classes.size());
    for (const auto &model : scenario.models) {
        planner_.setModel(model.info);
        meanMb_ += static_cast<double>(model.info.memoryMb);
    }
    meanMb_ /= static_cast<double>(scenario.models.size());
    for (auto i = std::uint32_t { 0 }; i < fleet_.endpointCount(); ++i)
        tellEndpoint(i);
    for (auto i = std::uint32_t { 0 }; i < scenario.routers; ++i)
        routers_.push_back(std::make_unique<Router>(
                Router { RequestQueue { {} }, ReplicaChooser { {}, seed + i + 1 } }));
    if (scenario.fault == Fault::ReportsLate)
        reportLag_ = lateBy;
    dropEvents_ = scenario.fault == Fault::EventsDropped;
}

auto Simulation::push(Millis at, EventKind kind, std::uint64_t subject, std::uint64_t version)
        -> void
{
    events_.push({ at, ++order_, kind, subject, version });
}

auto Simulation::run() -> SimReport
{
    if (!arrivals_.empty())
        push(arrivals_[0].at, EventKind::Arrive, 0, 0);
    push(0, EventKind::Plan);
    push(0, EventKind::Report);
    if (scenario_.fault == Fault::StoreSlow) {
        push(scenario_.duration / 3, EventKind::FaultBegins);
        push(scenario_.duration * 2 / 3, EventKind::FaultEnds);
    }
    if (scenario_.fault == Fault::Reclaimed || scenario_.fault == Fault::DomainLost) {
        push(scenario_.duration / 2, EventKind::FaultBegins);
        push(scenario_.duration / 2 + std::min(outage, scenario_.duration / 6),
             EventKind::FaultEnds);
    }
    while (!events_.empty()) {
        const auto event = events_.top();
        events_.pop();
        if (event.at > scenario_.duration + 10 * 60000)
            break;
        now_ = event.at;
        handle(event);
    }
    fleet_.finish(now_);
    report_.idleHours = fleet_.idleHours();
    report_.usedHours = fleet_.usedHours();
    report_.fault = faultName(scenario_.fault);
    report_.scenario = scenario_.name;
    return std::move(report_);
}

auto Simulation::handle(const Event &event) -> void
{
    const auto id = static_cast<std::uint32_t>(event.subject);
    switch (event.kind) {
    case EventKind::Arrive:
        return arrive(id);
    case EventKind::FirstToken:
        if (requests_[id].attempt == event.version)
            firstToken(id);
        return;
    case EventKind::Finish:
        if (requests_[id].attempt == event.version)
            finishStream(id);
        return;
    case EventKind::StoreRead:
        if (event.version != storeVersion_)
            return;
        for (const auto key : store_.takeEnded(now_))
            readDone(key);
        return scheduleStore();
    case EventKind::LocalRead:
        if (const auto *replica = fleet_.find(event.subject);
            replica != nullptr && static_cast<std::uint64_t>(replica->orderedAt) == event.version)
            readDone(event.subject);
        return;
    case EventKind::Unloaded:
        if (const auto *replica = fleet_.find(event.subject);
            replica != nullptr && replica->phase == ReplicaPhase::Unloading)
            unloaded(event.subject);
        return;
    case EventKind::Plan:
        plan();
        return push(now_ + planEvery, EventKind::Plan);
    case EventKind::Report:
        report();
        return push(now_ + reportEvery, EventKind::Report);
    case EventKind::FaultBegins:
        return faultBegins();
    case EventKind::FaultEnds:
        return faultEnds();
    }
}

auto Simulation::arrive(std::uint32_t id) -> void
{
    auto &request = requests_[id];
    if (request.arrival == nullptr) {
        request.arrival = &arrivals_[id];
        request.wasCold = fleet_.ready(request.arrival->model).empty();
        ++report_.classes[request.arrival->classIndex].requests;
        if (id + 1 < arrivals_.size())
            push(arrivals_[id + 1].at, EventKind::Arrive, id + 1);
    }
    ++newArrivals_[{ request.arrival->model, request.arrival->classIndex }];
    admit(id);
}

auto Simulation::admit(std::uint32_t id) -> void
{
    const auto &arrival = *requests_[id].arrival;
    const auto &target = scenario_.classes[arrival.classIndex].target;
    auto &router = *routers_[arrival.router];
    const auto request = QueuedRequest { id,
                                         scenario_.models[arrival.model].info.id,
                                         target.id,
                                         "caller" + std::to_string(id % 97),
                                         now_,
                                         now_ + target.start,
                                         now_ + target.finish };
    const auto verdict = router.queue.admit(request, view(router, arrival.model), now_);
    for (const auto ticket : verdict.shed)
        refused(static_cast<std::uint32_t>(ticket), verdict.shedRetryAfter);
    if (verdict.refusal)
        return refused(id, verdict.refusal->retryAfter);
    dispatch(router, arrival.model);
}

auto Simulation::refused(std::uint32_t id, Millis retryAfter) -> void
{
    auto &request = requests_[id];
    const auto &target = scenario_.classes[request.arrival->classIndex].target;
    ++report_.refusals;
    const auto back = now_ + retryAfter
            + static_cast<Millis>(random_.unit() * 0.2 * static_cast<double>(retryAfter));
    if (request.returns++ < maxReturns && back - request.arrival->at <= target.finish)
        return push(back, EventKind::Arrive, id);
    auto &entry = report_.classes[request.arrival->classIndex];
    ++entry.refused;
    if (request.wasCold)
        ++entry.coldMissed;
}

auto Simulation::view(const Router &router, std::uint32_t model) const -> ModelView
{
    const auto &info = scenario_.models[model].info;
    auto result = ModelView {};
    const auto &ready = fleet_.ready(model);
    result.ready = static_cast<std::uint32_t>(ready.size());
    result.totalSlots = result.ready * info.slots;
    for (const auto &replica : ready) {
        const auto load = router.chooser.estimatedLoad(replica.endpoint, info.id);
        result.freeSlots += load < info.slots ? info.slots - load : 0;
    }
    result.serviceTime = scenario_.service;
    result.slotsPerReplica = info.slots;
    result.mayAdd = 1;
    const auto wake = planner_.readinessOf(info.id, now_);
    result.loading = wake.loading;
    result.nextReady = wake.nextReady;
    result.predictedLoad = wake.load;
    return result;
}

auto Simulation::dispatch(Router &router, std::uint32_t model) -> void
{
    const auto &info = scenario_.models[model].info;
    while (router.queue.queuedFor(info.id) > 0) {
        const auto &ready = fleet_.ready(model);
        const auto index = router.chooser.choose({ info.id, {} }, ready, info.slots, now_);
        if (!index)
            return;
        const auto request = router.queue.pop(info.id, now_);
        if (!request)
            return;
        const auto endpoint = ready[*index].endpoint;
        router.chooser.onDispatch(endpoint, info.id, now_);
        const auto id = static_cast<std::uint32_t>(request->ticket);
        auto &replica = *fleet_.find(simKey(fleet_.endpointIndex(endpoint), model));
        requests_[id].replica = replica.key;
        ++running_[{ model, requests_[id].arrival->classIndex }];
        changed_.insert(replica.key);
        if (replica.running.size() < info.slots)
            startStream(replica, id);
        else
            replica.waiting.push_back(id);
    }
}

auto Simulation::dispatchAll(std::uint32_t model) -> void
{
    const auto first = random_.below(routers_.size());
    for (auto i = std::size_t { 0 }; i < routers_.size(); ++i)
        dispatch(*routers_[(first + i) % routers_.size()], model);
}

auto Simulation::startStream(SimReplica &replica, std::uint32_t id) -> void
{
    fleet_.start(replica, id, now_);
    auto &request = requests_[id];
    ++request.attempt;
    const auto streams = static_cast<Millis>(replica.running.size());
    const auto token = now_ + prefill + prefillPerStream * streams;
    push(token, EventKind::FirstToken, id, request.attempt);
    push(token + request.arrival->service, EventKind::Finish, id, request.attempt);
}

auto Simulation::firstToken(std::uint32_t id) -> void
{
    auto &request = requests_[id];
    auto &entry = report_.classes[request.arrival->classIndex];
    if (request.started)
        return;
    request.started = true;
    const auto took = now_ - request.arrival->at;
    const auto met = took <= scenario_.classes[request.arrival->classIndex].target.start;
    if (met)
        ++entry.metStart;
    entry.starts.push_back(took);
    if (!request.wasCold)
        return;
    entry.coldStarts.push_back(took);
    if (!met)
        ++entry.coldMissed;
}

auto Simulation::endRunning(const Arrival &arrival) -> void
{
    const auto found = running_.find({ arrival.model, arrival.classIndex });
    if (--found->second == 0)
        running_.erase(found);
}

auto Simulation::finishStream(std::uint32_t id) -> void
{
    auto &request = requests_[id];
    const auto &arrival = *request.arrival;
    const auto &info = scenario_.models[arrival.model].info;
    auto &replica = *fleet_.find(request.replica);
    if (now_ - arrival.at <= scenario_.classes[arrival.classIndex].target.finish)
        ++report_.classes[arrival.classIndex].metFinish;
    fleet_.stop(replica, id, now_);
    endRunning(arrival);
    changed_.insert(replica.key);
    const auto &endpoint = fleet_.endpoint(endpointOf(replica.key)).info.id;
    routers_[arrival.router]->chooser.onEnd(endpoint, info.id, DispatchResult::Finished, now_);
    if (!replica.waiting.empty()) {
        const auto next = replica.waiting.front();
        replica.waiting.pop_front();
        startStream(replica, next);
    }
    dispatchAll(arrival.model);
}

auto Simulation::loadWork(std::uint32_t model, Tier tier) -> double
{
    const auto &info = scenario_.models[model].info;
    const auto full = 1000.0 * scenario_.storeConcurrency / scenario_.storeLoadsPerSecond
            * static_cast<double>(info.memoryMb) / meanMb_;
    const auto share = tier == Tier::Remote ? 1.0 : tier == Tier::Disk ? diskShare : memoryShare;
    return std::max(leastLoad, full * share) * (0.85 + 0.3 * random_.unit());
}

auto Simulation::applyLoad(const Decision &decision) -> void
{
    const auto endpoint = fleet_.endpointIndex(decision.endpoint);
    const auto model = fleet_.modelIndex(decision.model);
    if (!fleet_.endpoint(endpoint).present)
        return;
    auto &replica = fleet_.add(simKey(endpoint, model), now_);
    replica.expectedReady = decision.expectedReady;
    replica.from = fleet_.endpoint(endpoint).cache.tier(model);
    ++report_.loads;
    planner_.setReplica(fleet_.info(replica));
    tellEndpoint(endpoint);
    if (replica.from == Tier::Remote) {
        ++report_.storeLoads;
        store_.start(replica.key, loadWork(model, Tier::Remote), now_);
        return scheduleStore();
    }
    push(now_ + static_cast<Millis>(loadWork(model, replica.from)), EventKind::LocalRead,
         replica.key, static_cast<std::uint64_t>(now_));
}

auto Simulation::applyUnload(const Decision &decision) -> void
{
    const auto endpoint = fleet_.endpointIndex(decision.endpoint);
    const auto model = fleet_.modelIndex(decision.model);
    auto *replica = fleet_.find(simKey(endpoint, model));
    if (replica == nullptr || !fleet_.endpoint(endpoint).present)
        return;
    if (!replica->running.empty() || !replica->waiting.empty() || replica->beside > 0) {
        planner_.setReplica(fleet_.info(*replica)); // Refused: it is in use again.
        return;
    }
    ++report_.unloads;
    if (decision.reason == "room")
        ++report_.evictions;
    fleet_.setPhase(*replica, ReplicaPhase::Unloading, now_);
    planner_.setReplica(fleet_.info(*replica));
    push(now_ + unloadTakes, EventKind::Unloaded, replica->key);
}

auto Simulation::scheduleStore() -> void
{
    ++storeVersion_;
    if (const auto next = store_.nextEnd())
        push(std::max(*next, now_), EventKind::StoreRead, 0, storeVersion_);
}

auto Simulation::readDone(SimKey key) -> void
{
    auto *replica = fleet_.find(key);
    const auto model = modelOf(key);
    const auto &info = scenario_.models[model].info;
    fleet_.setPhase(*replica, ReplicaPhase::Ready, now_);
    planner_.onLoadDone(info.id, replica->from, now_ - replica->orderedAt, now_);
    planner_.setReplica(fleet_.info(*replica));
    tellCached(endpointOf(key), fleet_.endpoint(endpointOf(key)).cache.use(model, info.memoryMb));
    dispatchAll(model);
}

auto Simulation::unloaded(SimKey key) -> void
{
    fleet_.remove(key, now_);
    planner_.removeReplica(scenario_.models[modelOf(key)].info.id,
                           fleet_.endpoint(endpointOf(key)).info.id);
    tellEndpoint(endpointOf(key));
}

auto Simulation::tellCached(std::uint32_t endpoint, const std::vector<TierChange> &changes) -> void
{
    for (const auto &change : changes) {
        if (dropEvents_ && random_.chance(0.5))
            continue;
        planner_.setCached(fleet_.endpoint(endpoint).info.id,
                           scenario_.models[change.model].info.id, change.tier);
    }
}

auto Simulation::tellEndpoint(std::uint32_t endpoint) -> void
{
    planner_.setEndpoint(fleet_.endpoint(endpoint).info);
}

auto Simulation::reportDemand() -> void
{
    auto current = std::map<DemandKey, DemandInfo> {};
    const auto row = [&](std::uint32_t model, std::uint32_t classIndex) -> DemandInfo & {
        auto &entry = current[{ model, classIndex }];
        entry.model = scenario_.models[model].info.id;
        entry.classId = scenario_.classes[classIndex].target.id;
        return entry;
    };
    for (const auto &router : routers_) {
        if (router->queue.size() == 0)
            continue;
        for (const auto &waiting : router->queue.demand()) {
            const auto model = fleet_.modelIndex(waiting.model);
            const auto found = std::find_if(
                    scenario_.classes.begin(), scenario_.classes.end(),
                    [&](const SimClass &entry) { return entry.target.id == waiting.classId; });
            auto &entry = row(model, static_cast<std::uint32_t>(found - scenario_.classes.begin()));
            entry.tightestStart = entry.queued == 0
                    ? waiting.tightestStart
                    : std::min(entry.tightestStart, waiting.tightestStart);
            entry.queued += waiting.queued;
        }
    }
    for (const auto &[key, count] : running_)
        row(key.first, key.second).running = count;
    for (const auto &[key, entry] : told_)
        if (current.count(key) == 0) {
            auto &gone = row(key.first, key.second);
            gone.queued = gone.running = 0;
        }
    for (auto it = current.begin(); it != current.end();) {
        const auto &entry = it->second;
        const auto before = told_.find(it->first);
        const auto same = before != told_.end() && before->second.queued == entry.queued
                && before->second.running == entry.running
                && before->second.tightestStart == entry.tightestStart;
        if (!same)
            late_.emplace_back(now_ + reportLag_, entry);
        it = entry.queued + entry.running == 0 ? current.erase(it) : std::next(it);
    }
    told_ = std::move(current);
    while (!late_.empty() && late_.front().first <= now_) {
        planner_.setDemand(late_.front().second);
        late_.pop_front();
    }
}

auto Simulation::plan() -> void
{
    for (auto &router : routers_)
        for (const auto &request : router->queue.expire(now_)) {
            const auto id = static_cast<std::uint32_t>(request.ticket);
            const auto &arrival = *requests_[id].arrival;
            refused(id,
                    router->queue.retryAfter(request.model, view(*router, arrival.model), now_));
        }
    reportDemand();
    for (const auto &[key, count] : newArrivals_)
        planner_.onArrivals(scenario_.models[key.first].info.id,
                            scenario_.classes[key.second].target.id, count, now_);
    newArrivals_.clear();
    for (const auto &decision : planner_.plan(now_)) {
        if (decision.kind == DecisionKind::Load)
            applyLoad(decision);
        else
            applyUnload(decision);
    }
}

auto Simulation::report() -> void
{
    for (const auto key : changed_) {
        const auto *replica = fleet_.find(key);
        if (replica == nullptr || replica->phase != ReplicaPhase::Ready)
            continue;
        const auto info = fleet_.info(*replica);
        planner_.setReplica(info);
        for (auto &router : routers_)
            router->chooser.onReport(info.endpoint, info.model, info.running, info.waiting,
                                     now_ - reportLag_);
    }
    changed_.clear();
    auto waiting = std::set<std::uint32_t> {};
    for (const auto &[key, entry] : told_)
        if (entry.queued > 0)
            waiting.insert(key.first);
    for (const auto model : waiting)
        for (auto &router : routers_) {
            const auto &id = scenario_.models[model].info.id;
            if (router->queue.queuedFor(id) == 0)
                continue;
            const auto seen = view(*router, model);
            for (const auto &request : router->queue.recheck(id, seen, now_))
                refused(static_cast<std::uint32_t>(request.ticket),
                        router->queue.retryAfter(id, seen, now_));
            dispatch(*router, model);
        }
}

auto Simulation::isHit(std::uint32_t endpoint) const -> bool
{
    if (scenario_.fault == Fault::Reclaimed)
        return (endpoint / scenario_.domains) % 3 == 0;
    return endpoint % scenario_.domains == 0;
}

auto Simulation::faultBegins() -> void
{
    if (scenario_.fault == Fault::StoreSlow) {
        store_.setSlowness(10, now_);
        return scheduleStore();
    }
    for (auto i = std::uint32_t { 0 }; i < fleet_.endpointCount(); ++i)
        if (isHit(i))
            lose(i);
    scheduleStore();
}

auto Simulation::faultEnds() -> void
{
    if (scenario_.fault == Fault::StoreSlow) {
        store_.setSlowness(1, now_);
        return scheduleStore();
    }
    for (auto i = std::uint32_t { 0 }; i < fleet_.endpointCount(); ++i)
        if (isHit(i)) {
            fleet_.endpoint(i).present = true;
            fleet_.endpoint(i).cache = SimCache { scenario_.diskMb, scenario_.hostMemoryMb };
            tellEndpoint(i);
        }
}

/// The streams on a lost replica break off; their callers come back soon.
auto Simulation::cutOff(SimReplica &replica) -> void
{
    auto lost = std::vector<std::uint32_t>(replica.running.begin(), replica.running.end());
    for (const auto id : lost)
        fleet_.stop(replica, id, now_);
    lost.insert(lost.end(), replica.waiting.begin(), replica.waiting.end());
    for (const auto id : lost) {
        auto &request = requests_[id];
        ++request.attempt;
        ++report_.failed;
        endRunning(*request.arrival);
        refused(id, 200);
    }
}

auto Simulation::lose(std::uint32_t endpoint) -> void
{
    auto &row = fleet_.endpoint(endpoint);
    row.present = false;
    auto keys = std::vector<SimKey> {};
    for (const auto &[key, replica] : fleet_.replicas())
        if (endpointOf(key) == endpoint)
            keys.push_back(key);
    for (const auto key : keys) {
        cutOff(*fleet_.find(key));
        store_.cancel(key, now_);
    }
    for (const auto key : keys) {
        fleet_.remove(key, now_);
        changed_.erase(key);
    }
    planner_.removeEndpoint(row.info.id);
    for (auto &router : routers_)
        router->chooser.forget(row.info.id);
}

} // namespace

auto simulate(const Scenario &scenario, const std::vector<Arrival> &arrivals,
              const std::string &policyName, const KeepRule &keep, std::uint64_t seed) -> SimReport
{
    auto report = Simulation { scenario, arrivals, keep, seed }.run();
    report.policy = policyName;
    return report;
}

auto foreseen(const Scenario &scenario, const std::vector<Arrival> &arrivals) -> KeepByOracle
{
    auto times = std::map<ModelId, std::vector<Millis>> {};
    for (const auto &arrival : arrivals) {
        const auto &info = scenario.models[arrival.model].info;
        times[info.id].push_back(arrival.at);
        if (!info.base.empty())
            times[info.base].push_back(arrival.at);
    }
    const auto shared
            = std::make_shared<const std::map<ModelId, std::vector<Millis>>>(std::move(times));
    return { [shared](const ModelId &model, Millis now) -> Millis {
        const auto found = shared->find(model);
        if (found == shared->end())
            return -1;
        const auto next = std::upper_bound(found->second.begin(), found->second.end(), now);
        return next == found->second.end() ? -1 : *next;
    } };
}

} // namespace figrack::bench
