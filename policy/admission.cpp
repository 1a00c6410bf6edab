// Each model has one lane per class: an order-statistic tree ordered by start deadline. The
// position of a new request is the sum of its ranks in the lanes, so its start is predicted in
// O(classes x log n) without walking the queue.
//
// Pure earliest-deadline-first has two problems: once arrivals exceed capacity it serves every
// request just before its deadline, and it lets requests with close deadlines pass those with
// later ones until the latter are late too. Therefore:
//   1. A request that cannot be served in time is not admitted.
//   2. A new request that would be in time if less urgent requests were removed displaces
//      them, newest first, since those have waited least.
//   3. A lane that was passed over minShareDivisor times is served next, and is never shed
//      below that share.
// A request of a less urgent class is refused at once, not after a long wait, if more urgent
// requests will take its slot: its position includes the more urgent requests that are
// expected, at their recent rate, to arrive in time to be dispatched first.
//
// recheck() drops as few requests as possible by the Moore-Hodgson rule for equal service
// times: walk in deadline order and, whenever a request would be late, drop one of those kept
// so far. The rule leaves open which one, so the least urgent is dropped.

#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include "core/check.h"
#include "policy/waiting.h"

namespace figrack::policy {
namespace {

using ClassIndex = std::size_t;

constexpr auto maxPopsRemembered = std::size_t { 64 };

/// Order of dispatch: by deadline, then by ticket.
struct Key
{
    Millis deadline = 0;
    std::uint64_t ticket = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): version 14 mistakes a defaulted <=>.
    auto operator<=>(const Key &) const = default;
};

using RankedKeys
        = __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                           __gnu_pbds::tree_order_statistics_node_update>;

/// The recent rate of events, computed from an exponentially decaying sum.
class RecentRate
{
public:
    auto add(Millis now) -> void
    {
        sum_ = 1 + sum_ * decay(now);
        at_ = now;
    }
    /// @return events per millisecond
    auto perMilli(Millis now) const -> double { return sum_ * decay(now) / memory; }

private:
    static constexpr auto memory = 10000.0; ///< ms

    auto decay(Millis now) const -> double
    {
        return std::exp(-static_cast<double>(std::max<Millis>(now - at_, 0)) / memory);
    }

    double sum_ = 0;
    Millis at_ = 0;
};

/// The requests of one class for one model.
struct Lane
{
    ClassIndex classIndex = 0;
    RankedKeys keys;
    std::uint32_t passedOver = 0; ///< Dispatches of other lanes since this lane's last one.
    RecentRate admitted;
};

/// What a pop() changed in addition to the queue, so that putBack() can undo it.
struct PopRecord
{
    std::uint64_t ticket = 0;
    std::uint32_t passedOver = 0; ///< Value of its lane before the pop().
    bool counted = false;         ///< Whether DrainShare counted it.
};

struct ModelQueue
{
    std::vector<Lane> lanes;
    std::size_t size = 0;
    DrainShare drain;
    std::deque<PopRecord> lastPops; ///< The newest last; bounded.
    Millis lastRetryAt = 0;         ///< Latest retry time that was given to a caller.
};

struct ClassQueue
{
    ClassId id;
    Millis startTarget = 0; ///< Of its last request; a larger target is less urgent.
    std::set<Key> keys;     ///< Over all models.
};

struct Entry
{
    QueuedRequest request;
    ClassIndex classIndex = 0;
};

auto deadlineOf(const QueuedRequest &request) -> Millis
{
    return std::min(request.startBy, request.finishBy);
}

auto keyOf(const QueuedRequest &request) -> Key
{
    return { deadlineOf(request), request.ticket };
}

auto rankIn(const RankedKeys &keys, const Key &key) -> std::size_t
{
    return keys.order_of_key(key);
}

/// @return by how much a request that starts at `start` would miss its deadlines, ms; 0 or less
/// if it meets them
auto lateness(const QueuedRequest &request, Millis start, Millis service) -> Millis
{
    if (start == never)
        return never;
    return std::max(start - request.startBy, start + service - request.finishBy);
}

/// Adds up to a tenth to a capped retry time, derived from the seed, to spread callers.
auto spread(Millis retry, std::uint64_t seed) -> Millis
{
    constexpr auto goldenRatio = std::uint64_t { 0x9E3779B97F4A7C15 };
    const auto part = static_cast<Millis>(((seed + 1) * goldenRatio) >> 54); // 0..1023
    return retry + retry * part / 10240;
}

} // namespace

class RequestQueue::Impl
{
public:
    explicit Impl(QueueOptions options)
        : options_(options)
    {
        FIGRACK_CHECK(options_.minShareDivisor > 0, "minShareDivisor must be positive");
    }

    auto admit(const QueuedRequest &request, const ModelView &view, Millis now) -> Verdict;
    auto pop(const ModelId &model, Millis now) -> std::optional<QueuedRequest>;
    auto insert(const QueuedRequest &request) -> void;
    auto putBack(const QueuedRequest &request) -> void;
    auto cancel(std::uint64_t ticket) -> bool;
    auto expire(Millis now) -> std::vector<QueuedRequest>;
    auto nextExpiry() const -> Millis;
    auto recheck(const ModelId &model, const ModelView &view, Millis now)
            -> std::vector<QueuedRequest>;
    auto retryAfter(const ModelId &model, const ModelView &view, Millis earliest, Millis now)
            -> Millis;
    auto firstSlotAt(const ModelId &model, const ModelView &view, Millis now) -> Millis;
    auto size() const -> std::size_t { return entries_.size(); }
    auto queuedFor(const ModelId &model) const -> std::size_t;
    auto demand() const -> std::vector<DemandInfo>;

private:
    auto startAt(const ModelQueue &model, const ModelView &view, std::size_t ahead,
                 Millis now) const -> Millis;
    auto shareOf(const ModelQueue &model, const ModelView &view) const -> double;
    auto updateDrainShare(ModelQueue &model, const ModelView &view, Millis now) const -> void;
    auto classIndexOf(const ClassId &id) -> ClassIndex;
    auto laneOf(ModelQueue &model, ClassIndex classIndex) -> Lane &;
    auto boundReached(const QueuedRequest &request) -> bool;
    auto positionOf(const ModelQueue &model, ClassIndex classIndex, const Key &key,
                    Millis now) const -> std::size_t;
    auto isSheddable(const ModelQueue &model, const Lane &lane, Millis startTarget) const -> bool;
    auto victimsAhead(const ModelQueue &model, Millis startTarget, const Key &key,
                      std::size_t count) const -> std::vector<std::uint64_t>;
    auto findVictims(const QueuedRequest &request, ClassIndex classIndex, const ModelView &view,
                     Millis now, std::vector<std::uint64_t> &victims) -> Millis;
    auto globalVictim(Millis startTarget) const -> std::optional<std::uint64_t>;
    auto findLateAfterInsert(const ModelId &model, const Key &arrival, Millis startTarget,
                             const ModelView &view, Millis now) const
            -> std::optional<std::uint64_t>;
    auto remove(std::uint64_t ticket) -> QueuedRequest;
    auto refuse(const QueuedRequest &request, const ModelView &view, ErrorKind kind,
                Millis earliest, Millis now) -> Verdict;
    auto pruneModels(Millis now) -> void;

    QueueOptions options_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::unordered_map<ModelId, ModelQueue> models_;
    std::unordered_map<ClassId, ClassIndex> classIndexes_;
    std::vector<ClassQueue> classes_;
    std::unordered_map<std::string, std::size_t> callers_;
    std::set<Key> deadlines_;
    std::size_t prunedAt_ = 0;
};

auto RequestQueue::Impl::classIndexOf(const ClassId &id) -> ClassIndex
{
    const auto [found, added] = classIndexes_.try_emplace(id, classes_.size());
    if (added)
        classes_.push_back(ClassQueue { id, 0, {} });
    return found->second;
}

/// @return the share of the model's slots that this queue gets; other routers use the rest
auto RequestQueue::Impl::shareOf(const ModelQueue &model, const ModelView &view) const -> double
{
    const auto service = static_cast<double>(serviceTimeOf(view, options_.assumedServiceTime));
    return model.drain.value(service / std::max<std::uint32_t>(view.totalSlots, 1));
}

auto RequestQueue::Impl::startAt(const ModelQueue &model, const ModelView &view, std::size_t ahead,
                                 Millis now) const -> Millis
{
    return predictStart(view, ahead, options_.assumedServiceTime, now, shareOf(model, view));
}

auto RequestQueue::Impl::updateDrainShare(ModelQueue &model, const ModelView &view,
                                          Millis now) const -> void
{
    if (view.ready == 0)
        model.drain.discard(now);
    model.drain.advance(model.size > 0, now);
}

auto RequestQueue::Impl::laneOf(ModelQueue &model, ClassIndex classIndex) -> Lane &
{
    for (auto &lane : model.lanes) {
        if (lane.classIndex == classIndex)
            return lane;
    }
    model.lanes.push_back(Lane { classIndex, {}, 0, {} });
    return model.lanes.back();
}

auto RequestQueue::Impl::insert(const QueuedRequest &request) -> void
{
    const auto classIndex = classIndexOf(request.classId);
    const auto key = keyOf(request);
    const auto added = entries_.try_emplace(request.ticket, Entry { request, classIndex }).second;
    FIGRACK_CHECK(added, "a request is queued once");
    auto &model = models_[request.model];
    laneOf(model, classIndex).keys.insert(key);
    ++model.size;
    auto &ofClass = classes_[classIndex];
    ofClass.startTarget = request.startBy - request.arrived;
    ofClass.keys.insert(key);
    ++callers_[request.caller];
    deadlines_.insert(key);
}

auto RequestQueue::Impl::remove(std::uint64_t ticket) -> QueuedRequest
{
    auto node = entries_.extract(ticket);
    FIGRACK_CHECK(!node.empty(), "only queued requests are removed");
    const auto &entry = node.mapped();
    const auto key = keyOf(entry.request);
    auto &model = models_.at(entry.request.model);
    laneOf(model, entry.classIndex).keys.erase(key);
    --model.size;
    classes_[entry.classIndex].keys.erase(key);
    const auto caller = callers_.find(entry.request.caller);
    if (--caller->second == 0)
        callers_.erase(caller);
    deadlines_.erase(key);
    return std::move(node.mapped().request);
}

auto RequestQueue::Impl::boundReached(const QueuedRequest &request) -> bool
{
    const auto caller = callers_.find(request.caller);
    if (caller != callers_.end() && caller->second >= options_.maxPerCaller)
        return true;
    return classes_[classIndexOf(request.classId)].keys.size() >= options_.maxPerClass;
}

/// Returns how many requests are dispatched before this one: those with earlier deadlines, expected
/// ones that will have earlier deadlines, and those that the minimum share of lanes wholly behind
/// it lets pass. The result is at most what the minimum share of its own lane allows.
auto RequestQueue::Impl::positionOf(const ModelQueue &model, ClassIndex classIndex, const Key &key,
                                    Millis now) const -> std::size_t
{
    auto ahead = std::size_t { 0 };
    auto aheadInOwn = std::size_t { 0 };
    auto others = std::size_t { 0 };
    auto expected = 0.0;
    for (const auto &lane : model.lanes) {
        const auto rank = rankIn(lane.keys, key);
        ahead += rank;
        if (lane.classIndex == classIndex) {
            aheadInOwn = rank;
            continue;
        }
        others += lane.keys.empty() ? 0 : 1;
        const auto window = key.deadline - classes_[lane.classIndex].startTarget - now;
        if (window > 0)
            expected += lane.admitted.perMilli(now) * static_cast<double>(window);
    }
    ahead += static_cast<std::size_t>(expected);
    auto taken = std::size_t { 0 };
    for (const auto &lane : model.lanes) {
        if (lane.classIndex != classIndex && rankIn(lane.keys, key) == 0)
            taken += std::min(lane.keys.size(), ahead / options_.minShareDivisor);
    }
    if (others == 0 && expected < 1)
        return ahead;
    const auto byShare
            = (aheadInOwn + 1) * (options_.minShareDivisor + std::max(others, std::size_t { 1 }))
            - 1;
    return std::min(ahead + taken, byShare);
}

/// A lane may be shed for more urgent work as long as it keeps its share of the queue.
auto RequestQueue::Impl::isSheddable(const ModelQueue &model, const Lane &lane,
                                     Millis startTarget) const -> bool
{
    const auto kept = std::max<std::size_t>(1, model.size / options_.minShareDivisor);
    return classes_[lane.classIndex].startTarget > startTarget && lane.keys.size() > kept;
}

/// @return up to count tickets that are less urgent than startTarget and ahead of the key: the
///         least urgent class first, and its newest first
auto RequestQueue::Impl::victimsAhead(const ModelQueue &model, Millis startTarget, const Key &key,
                                      std::size_t count) const -> std::vector<std::uint64_t>
{
    auto lanes = std::vector<const Lane *> {};
    for (const auto &lane : model.lanes) {
        if (isSheddable(model, lane, startTarget))
            lanes.push_back(&lane);
    }
    std::ranges::sort(lanes, std::ranges::greater {},
                      [this](const Lane *lane) { return classes_[lane->classIndex].startTarget; });
    const auto kept = std::max<std::size_t>(1, model.size / options_.minShareDivisor);
    auto victims = std::vector<std::uint64_t> {};
    for (const auto *lane : lanes) {
        const auto spare = std::min(lane->keys.size() - kept, rankIn(lane->keys, key));
        auto next = lane->keys.lower_bound(key);
        for (auto i = std::size_t { 0 }; i < spare && victims.size() < count; ++i)
            victims.push_back((--next)->ticket);
    }
    return victims;
}

/// Finds the smallest set of requests to remove so that a new request can be served in time.
/// @return the lateness of the new request if that is not possible, otherwise 0 or less
auto RequestQueue::Impl::findVictims(const QueuedRequest &request, ClassIndex classIndex,
                                     const ModelView &view, Millis now,
                                     std::vector<std::uint64_t> &victims) -> Millis
{
    const auto &model = models_[request.model];
    const auto service = serviceTimeOf(view, options_.assumedServiceTime);
    const auto position = positionOf(model, classIndex, keyOf(request), now);
    const auto lateAt = [&](std::size_t ahead) {
        return lateness(request, startAt(model, view, ahead, now), service);
    };
    const auto late = lateAt(position);
    const auto most = std::min(options_.maxShedPerAdmit, position);
    if (late <= 0 || lateAt(position - most) > 0)
        return late;
    const auto startTarget = request.startBy - request.arrived;
    auto candidates = victimsAhead(model, startTarget, keyOf(request), most);
    for (auto count = std::size_t { 1 }; count <= candidates.size(); ++count) {
        if (lateAt(position - count) > 0)
            continue;
        candidates.resize(count);
        victims = std::move(candidates);
        return 0;
    }
    return late;
}

/// @return the newest request of the least urgent class that holds more than its share of the
///         whole queue and is less urgent than the new request
auto RequestQueue::Impl::globalVictim(Millis startTarget) const -> std::optional<std::uint64_t>
{
    const auto kept = std::max<std::size_t>(1, entries_.size() / options_.minShareDivisor);
    const ClassQueue *victim = nullptr;
    for (const auto &candidate : classes_) {
        if (candidate.startTarget <= startTarget || candidate.keys.size() <= kept)
            continue;
        if (victim == nullptr || candidate.startTarget > victim->startTarget)
            victim = &candidate;
    }
    if (victim == nullptr)
        return std::nullopt;
    return victim->keys.rbegin()->ticket;
}

/// The new request moved all requests behind it back by one position, so the last request of a less
/// urgent lane may now be late. recheck() finds the rarer cases in the middle of a lane.
auto RequestQueue::Impl::findLateAfterInsert(const ModelId &modelId, const Key &arrival,
                                             Millis startTarget, const ModelView &view,
                                             Millis now) const -> std::optional<std::uint64_t>
{
    const auto &model = models_.at(modelId);
    const auto service = serviceTimeOf(view, options_.assumedServiceTime);
    for (const auto &lane : model.lanes) {
        if (!isSheddable(model, lane, startTarget))
            continue;
        const auto last = *lane.keys.rbegin();
        if (last < arrival)
            continue;
        const auto position = positionOf(model, lane.classIndex, last, now);
        const auto start = startAt(model, view, position, now);
        if (lateness(entries_.at(last.ticket).request, start, service) > 0)
            return last.ticket;
    }
    return std::nullopt;
}

auto RequestQueue::Impl::refuse(const QueuedRequest &request, const ModelView &view, ErrorKind kind,
                                Millis earliest, Millis now) -> Verdict
{
    auto verdict = Verdict {};
    verdict.refusal = Refusal { kind, retryAfter(request.model, view, earliest, now) };
    return verdict;
}

auto RequestQueue::Impl::admit(const QueuedRequest &request, const ModelView &view, Millis now)
        -> Verdict
{
    updateDrainShare(models_[request.model], view, now);
    if (deadlineOf(request) < now)
        return refuse(request, view, ErrorKind::DeadlineExceeded, now, now);
    if (!view.canEverLoad && view.ready == 0 && view.loading == 0)
        return refuse(request, view, ErrorKind::NoCapacity, now + options_.noCapacityRetry, now);
    if (boundReached(request))
        return refuse(request, view, ErrorKind::QueueFull, now, now);
    const auto startTarget = request.startBy - request.arrived;
    auto verdict = Verdict {};
    const auto late = findVictims(request, classIndexOf(request.classId), view, now, verdict.shed);
    if (late > 0) {
        const auto outOfReach = late == never || late >= options_.maxRetry;
        const auto earliest = now + (outOfReach ? options_.maxRetry : late);
        return refuse(request, view, ErrorKind::TargetUnreachable, earliest, now);
    }
    if (entries_.size() >= options_.maxTotal && verdict.shed.empty()) {
        const auto victim = globalVictim(startTarget);
        if (!victim)
            return refuse(request, view, ErrorKind::QueueFull, now, now);
        verdict.shed.push_back(*victim);
    }
    for (const auto ticket : verdict.shed)
        remove(ticket);
    insert(request);
    laneOf(models_.at(request.model), classIndexOf(request.classId)).admitted.add(now);
    if (const auto late
        = findLateAfterInsert(request.model, keyOf(request), startTarget, view, now)) {
        remove(*late);
        verdict.shed.push_back(*late);
    }
    if (!verdict.shed.empty())
        verdict.shedRetryAfter = retryAfter(request.model, view, now, now);
    return verdict;
}

auto RequestQueue::Impl::pop(const ModelId &modelId, Millis now) -> std::optional<QueuedRequest>
{
    const auto found = models_.find(modelId);
    if (found == models_.end())
        return std::nullopt;
    Lane *chosen = nullptr;
    auto chosenKey = Key {};
    auto chosenStarves = false;
    for (auto &lane : found->second.lanes) {
        const auto head = lane.keys.lower_bound(Key { now, 0 });
        if (head == lane.keys.end())
            continue;
        const auto starves = lane.passedOver >= options_.minShareDivisor;
        const auto better = chosen == nullptr || (starves && !chosenStarves)
                || (starves == chosenStarves && *head < chosenKey);
        if (!better)
            continue;
        chosen = &lane;
        chosenKey = *head;
        chosenStarves = starves;
    }
    if (chosen == nullptr)
        return std::nullopt;
    found->second.drain.advance(true, now);
    auto record = PopRecord { chosenKey.ticket, chosen->passedOver, false };
    for (auto &lane : found->second.lanes)
        lane.passedOver = lane.keys.empty() ? 0 : lane.passedOver + 1;
    chosen->passedOver = 0;
    auto request = remove(chosenKey.ticket);
    FIGRACK_CHECK(request.startBy >= now && request.finishBy >= now, "nothing waits past its time");
    found->second.drain.advance(found->second.size > 0, now);
    record.counted = request.arrived < now;
    if (record.counted)
        found->second.drain.onPop();
    auto &lastPops = found->second.lastPops;
    lastPops.push_back(record);
    if (lastPops.size() > maxPopsRemembered)
        lastPops.pop_front();
    return request;
}

/// Nothing was dispatched, so neither share may count the pop(). Otherwise a queue whose dispatches
/// all fail would appear to drain, and a lane whose dispatches fail would appear to be served.
auto RequestQueue::Impl::putBack(const QueuedRequest &request) -> void
{
    insert(request);
    auto &model = models_.at(request.model);
    const auto record = std::ranges::find(model.lastPops, request.ticket, &PopRecord::ticket);
    if (record == model.lastPops.end())
        return;
    for (auto &lane : model.lanes)
        lane.passedOver -= lane.passedOver > 0 ? 1 : 0;
    laneOf(model, classIndexOf(request.classId)).passedOver = record->passedOver;
    if (record->counted)
        model.drain.onRequeue();
    model.lastPops.erase(record);
}

auto RequestQueue::Impl::cancel(std::uint64_t ticket) -> bool
{
    if (!entries_.contains(ticket))
        return false;
    remove(ticket);
    return true;
}

auto RequestQueue::Impl::expire(Millis now) -> std::vector<QueuedRequest>
{
    auto expired = std::vector<QueuedRequest> {};
    while (!deadlines_.empty() && deadlines_.begin()->deadline < now)
        expired.push_back(remove(deadlines_.begin()->ticket));
    pruneModels(now);
    return expired;
}

/// Erases models without requests whose assigned retry times have passed. Runs only when the number
/// of models has doubled since the last run, so the amortized cost per call is constant.
auto RequestQueue::Impl::pruneModels(Millis now) -> void
{
    constexpr auto leastModels = std::size_t { 64 };
    if (models_.size() < std::max(leastModels, 2 * prunedAt_))
        return;
    std::erase_if(models_, [now](const auto &item) {
        return item.second.size == 0 && item.second.lastRetryAt <= now;
    });
    prunedAt_ = models_.size();
}

auto RequestQueue::Impl::nextExpiry() const -> Millis
{
    return deadlines_.empty() ? 0 : deadlines_.begin()->deadline + 1;
}

auto RequestQueue::Impl::recheck(const ModelId &modelId, const ModelView &view, Millis now)
        -> std::vector<QueuedRequest>
{
    const auto found = models_.find(modelId);
    if (found == models_.end() || found->second.size == 0)
        return {};
    updateDrainShare(found->second, view, now);
    const auto service = serviceTimeOf(view, options_.assumedServiceTime);
    auto inOrder = std::vector<std::pair<Key, std::size_t>> {};
    const auto &lanes = found->second.lanes;
    for (auto i = std::size_t { 0 }; i < lanes.size(); ++i) {
        for (const auto &key : lanes[i].keys)
            inOrder.emplace_back(key, i);
    }
    std::ranges::sort(inOrder);
    auto keptByLane = std::vector<std::vector<std::uint64_t>>(lanes.size());
    auto kept = std::size_t { 0 };
    auto dropped = std::vector<std::uint64_t> {};
    for (const auto &[key, own] : inOrder) {
        keptByLane[own].push_back(key.ticket);
        ++kept;
        const auto start = startAt(found->second, view, kept - 1, now);
        if (lateness(entries_.at(key.ticket).request, start, service) <= 0)
            continue;
        auto victim = own;
        const auto share = std::max<std::size_t>(1, kept / options_.minShareDivisor);
        for (auto i = std::size_t { 0 }; i < lanes.size(); ++i) {
            const auto lessUrgent = classes_[lanes[i].classIndex].startTarget
                    > classes_[lanes[victim].classIndex].startTarget;
            if (lessUrgent && keptByLane[i].size() > share)
                victim = i;
        }
        dropped.push_back(keptByLane[victim].back());
        keptByLane[victim].pop_back();
        --kept;
    }
    auto removed = std::vector<QueuedRequest> {};
    for (const auto ticket : dropped)
        removed.push_back(remove(ticket));
    return removed;
}

auto RequestQueue::Impl::retryAfter(const ModelId &modelId, const ModelView &view, Millis earliest,
                                    Millis now) -> Millis
{
    auto &model = models_[modelId];
    const auto nominal = static_cast<double>(slotInterval(view, options_.assumedServiceTime));
    const auto interval = static_cast<Millis>(nominal / shareOf(model, view));
    const auto limit = now + options_.maxRetry;
    const auto retryAt = std::max(model.lastRetryAt, earliest) + interval;
    model.lastRetryAt = std::min(retryAt, limit);
    const auto retry = std::max(model.lastRetryAt - now, options_.minRetry);
    if (retryAt <= limit)
        return retry;
    return spread(retry, static_cast<std::uint64_t>(retryAt));
}

/// @return when a model without a ready replica is predicted to have one; `now` if it has one
auto RequestQueue::Impl::firstSlotAt(const ModelId &model, const ModelView &view, Millis now)
        -> Millis
{
    if (view.ready > 0)
        return now;
    const auto start = startAt(models_[model], view, 0, now);
    return start == never ? now + options_.noCapacityRetry : start;
}

auto RequestQueue::Impl::queuedFor(const ModelId &model) const -> std::size_t
{
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second.size;
}

auto RequestQueue::Impl::demand() const -> std::vector<DemandInfo>
{
    auto rows = std::vector<DemandInfo> {};
    for (const auto &[id, model] : models_) {
        for (const auto &lane : model.lanes) {
            if (lane.keys.empty())
                continue;
            rows.push_back({ id, classes_[lane.classIndex].id,
                             static_cast<std::uint32_t>(lane.keys.size()), 0,
                             lane.keys.begin()->deadline });
        }
    }
    return rows;
}

RequestQueue::RequestQueue(QueueOptions options)
    : impl_(std::make_unique<Impl>(options))
{ }

RequestQueue::~RequestQueue() = default;
RequestQueue::RequestQueue(RequestQueue &&) noexcept = default;
auto RequestQueue::operator=(RequestQueue &&) noexcept -> RequestQueue & = default;

auto RequestQueue::admit(const QueuedRequest &request, const ModelView &view, Millis now) -> Verdict
{
    return impl_->admit(request, view, now);
}

auto RequestQueue::pop(const ModelId &model, Millis now) -> std::optional<QueuedRequest>
{
    return impl_->pop(model, now);
}

auto RequestQueue::putBack(const QueuedRequest &request) -> void
{
    impl_->putBack(request);
}

auto RequestQueue::cancel(std::uint64_t ticket) -> bool
{
    return impl_->cancel(ticket);
}

auto RequestQueue::expire(Millis now) -> std::vector<QueuedRequest>
{
    return impl_->expire(now);
}

auto RequestQueue::nextExpiry() const -> Millis
{
    return impl_->nextExpiry();
}

auto RequestQueue::recheck(const ModelId &model, const ModelView &view, Millis now)
        -> std::vector<QueuedRequest>
{
    return impl_->recheck(model, view, now);
}

auto RequestQueue::retryAfter(const ModelId &model, const ModelView &view, Millis now) -> Millis
{
    return impl_->retryAfter(model, view, impl_->firstSlotAt(model, view, now), now);
}

auto RequestQueue::size() const -> std::size_t
{
    return impl_->size();
}

auto RequestQueue::queuedFor(const ModelId &model) const -> std::size_t
{
    return impl_->queuedFor(model);
}

auto RequestQueue::demand() const -> std::vector<DemandInfo>
{
    return impl_->demand();
}

} // namespace figrack::policy
