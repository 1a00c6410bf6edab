// Admission and queueing at a router: who waits, in which order, who is refused.
//
//   auto queue = RequestQueue { options };
//   auto verdict = queue.admit(request, view, now);   // queued, or refused with a retry time
//   auto next = queue.pop(model, now);                // most urgent that still can be served
//   auto expired = queue.expire(now);                 // to be refused at once
//
// Earliest start deadline first across classes, with a bounded share kept for
// patient classes so that urgent work cannot starve them: of a model's dispatches,
// a class that waits gets at least one in patientShare plus the classes waiting.
// Nothing waits past its deadline; queues are bounded per class and per caller;
// overload sheds the least urgent first.
//
// Guarantees: each operation costs O(log n) in the requests queued times the few
// classes that wait for the model, but for recheck() and demand(), which walk what
// they report on. A request leaves by exactly one of pop(), cancel(), expire(),
// recheck() or Verdict::shed. pop() never returns one past its time. The caller of
// the queue answers what expire(), recheck() and shed give back at once: nothing is
// held until its deadline in order to slow its caller. Not thread-safe.

#ifndef FIGRACK_POLICY_ADMISSION_H
#define FIGRACK_POLICY_ADMISSION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "policy/tables.h"

namespace figrack::policy {

struct QueueOptions
{
    std::size_t maxPerClass = 2048;
    std::size_t maxPerCaller = 256;
    std::size_t maxTotal = 8192;
    std::uint32_t patientShare = 8;   ///< A class passed over this often is served next.
    std::size_t maxShedPerAdmit = 16; ///< Less urgent requests that one newcomer may displace.
    Millis assumedServiceTime = 1000; ///< For a ModelView that does not know it.
    Millis minRetry = 50;             ///< Least retry time given.
    Millis maxRetry = 60000;          ///< Most, but for a spread of a tenth.
    Millis noCapacityRetry = 10000;   ///< When no endpoint can ever hold the model.
};

/// A request as the queue sees it.
struct QueuedRequest
{
    std::uint64_t ticket = 0; ///< The router's own number of the request.
    ModelId model;
    ClassId classId;
    std::string caller; ///< Address or token id.
    Millis arrived = 0;
    Millis startBy = 0;  ///< Absolute deadline to start.
    Millis finishBy = 0; ///< Absolute deadline to finish.
};

/// What the router knows of a model when a request for it arrives.
struct ModelView
{
    std::uint32_t ready = 0;     ///< Replicas that can take work.
    std::uint32_t freeSlots = 0; ///< Over those replicas, after own dispatches.
    std::uint32_t totalSlots = 0;
    std::uint32_t loading = 0;
    Millis nextReady = 0;     ///< Predicted end of the earliest load, absolute; 0 when none.
    Millis predictedLoad = 0; ///< If none is loading: how long one would take.
    Millis serviceTime = 0;   ///< Usual time a stream holds a slot.
    bool canEverLoad = true;  ///< Some usable endpoint is large enough.
    std::uint32_t slotsPerReplica = 8; ///< Of replicas that load or could be loaded.
    std::uint32_t mayAdd = 0; ///< Further replicas that room allows; counted as ready after
                              ///< predictedLoad. With none ready or loading the wake-up itself
                              ///< is decided by demand, and any number is assumed.
};

struct Refusal
{
    ErrorKind kind = ErrorKind::QueueFull;
    Millis retryAfter = 0; ///< From now.
};

struct Verdict
{
    std::optional<Refusal> refusal;  ///< Empty: queued.
    std::vector<std::uint64_t> shed; ///< Less urgent requests that gave way; refuse them now.
    Millis shedRetryAfter = 0;       ///< From now, for those.
};

class RequestQueue
{
public:
    explicit RequestQueue(QueueOptions options);
    ~RequestQueue();
    RequestQueue(RequestQueue &&) noexcept;
    auto operator=(RequestQueue &&) noexcept -> RequestQueue &;
    /// Queues a request, or refuses it at once when its predicted start or finish is past its
    /// deadline or a bound is reached.
    /// @param request a ticket not queued now
    /// @param view what the router knows of its model
    /// @return queued or refused; and which less urgent requests gave way
    auto admit(const QueuedRequest &request, const ModelView &view, Millis now) -> Verdict;
    /// @return the request to dispatch next for a model; never one past its time
    auto pop(const ModelId &model, Millis now) -> std::optional<QueuedRequest>;
    /// Puts back a request whose dispatch certainly did not run, or that found no replica to take
    /// it: its pop() then counts for nothing. It was admitted: no bound is
    /// tested again. Past its time it comes out of the next expire().
    auto putBack(const QueuedRequest &request) -> void;
    /// Removes one request: the caller went away. @return false when it was not queued
    auto cancel(std::uint64_t ticket) -> bool;
    /// Removes requests whose time has run out.
    auto expire(Millis now) -> std::vector<QueuedRequest>;
    /// @return the earliest time at which expire() will have something; 0 when nothing is queued
    auto nextExpiry() const -> Millis;
    /// Removes requests of a model that a new prediction shows cannot be served in time: as few
    /// as possible, the least urgent first.
    auto recheck(const ModelId &model, const ModelView &view, Millis now)
            -> std::vector<QueuedRequest>;
    /// An honest time to come back: when the model is predicted to have a place, each caller told
    /// a later one than the caller before, so that they do not come back together.
    /// @return from now, ms
    auto retryAfter(const ModelId &model, const ModelView &view, Millis now) -> Millis;
    auto size() const -> std::size_t;
    auto queuedFor(const ModelId &model) const -> std::size_t;
    /// @return rows for the demand report
    auto demand() const -> std::vector<DemandInfo>;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_ADMISSION_H
