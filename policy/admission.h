// Admission control and queueing at a router: decides which requests wait, in which order they
// are dispatched, and which are refused.
//
//   auto queue = RequestQueue { options };
//   auto verdict = queue.admit(request, view, now);   // queued, or refused with a retry time
//   auto next = queue.pop(model, now);                // most urgent that still can be served
//   auto expired = queue.expire(now);                 // to be refused at once
//
// Requests are dispatched by earliest start deadline across classes. Each class keeps a
// bounded share so that urgent work cannot starve classes with later deadlines: of a model's
// dispatches, a class with queued requests gets at least one in (minShareDivisor plus the
// number of classes that have requests queued). No request waits past its deadline. Queues
// are bounded per class and per caller. Under overload the least urgent requests are shed
// first.
//
// Guarantees: each operation costs O(log n) in the number of queued requests times the small
// number of classes queued for the model, except recheck() and demand(), which walk the
// requests or models they report on. A request leaves through exactly one of pop(), cancel(),
// expire(), recheck() or Verdict::shed. pop() never returns a request past its deadline. The
// user of the queue must answer the requests returned by expire(), recheck() and shed at once:
// no request is held until its deadline merely to slow down its caller. Not thread-safe.

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
    std::uint32_t minShareDivisor = 8; ///< A class passed over this many times is served next.
    std::size_t maxShedPerAdmit = 16;  ///< Less urgent requests that one new request may displace.
    Millis assumedServiceTime = 1000;  ///< Used when ModelView::serviceTime is unknown.
    Millis minRetry = 50;              ///< Shortest retry time returned.
    Millis maxRetry = 60000;           ///< Longest, plus up to a tenth of jitter.
    Millis noCapacityRetry = 10000;    ///< Retry time when no endpoint can hold the model.
};

/// A request as the queue sees it.
struct QueuedRequest
{
    std::uint64_t ticket = 0; ///< The router's own id for the request.
    ModelId model;
    ClassId classId;
    std::string caller; ///< Network address or token id.
    Millis arrived = 0;
    Millis startBy = 0;  ///< Absolute deadline to start.
    Millis finishBy = 0; ///< Absolute deadline to finish.
};

/// What the router knows about a model when a request for it arrives.
struct ModelView
{
    std::uint32_t ready = 0;     ///< Replicas that can take work.
    std::uint32_t freeSlots = 0; ///< Over those replicas, less own dispatches.
    std::uint32_t totalSlots = 0;
    std::uint32_t loading = 0;
    Millis nextReady = 0;     ///< Predicted end of the earliest load, absolute; 0 when none.
    Millis predictedLoad = 0; ///< Duration of a load if none is in progress.
    Millis serviceTime = 0;   ///< Usual time a stream holds a slot.
    bool canEverLoad = true;  ///< Some usable endpoint is large enough.
    std::uint32_t slotsPerReplica = 8; ///< For replicas loading or that could be loaded.
    std::uint32_t mayAdd = 0; ///< Further replicas that fit in memory; counted as ready after
                              ///< predictedLoad. When none is ready or loading, the planner
                              ///< sizes the load by demand, so any number is assumed.
};

struct Refusal
{
    ErrorKind kind = ErrorKind::QueueFull;
    Millis retryAfter = 0; ///< From now.
};

struct Verdict
{
    std::optional<Refusal> refusal;  ///< Empty: queued.
    std::vector<std::uint64_t> shed; ///< Less urgent requests displaced; refuse them now.
    Millis shedRetryAfter = 0;       ///< From now, for the requests in shed.
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
    /// @param request its ticket must not be queued already
    /// @param view what the router knows about the request's model
    /// @return whether the request was queued or refused, and which less urgent requests it
    ///         displaced
    auto admit(const QueuedRequest &request, const ModelView &view, Millis now) -> Verdict;
    /// @return the request to dispatch next for a model; never one past its deadline
    auto pop(const ModelId &model, Millis now) -> std::optional<QueuedRequest>;
    /// Puts back a request whose dispatch certainly did not run, or for which no replica was
    /// available, and undoes the accounting of its pop(). The request was already admitted, so no
    /// bound is tested again. If its deadline has passed, the next expire() returns it.
    auto putBack(const QueuedRequest &request) -> void;
    /// Removes one request whose caller disconnected. @return false when it was not queued
    auto cancel(std::uint64_t ticket) -> bool;
    /// Removes and returns the requests whose deadline has passed.
    auto expire(Millis now) -> std::vector<QueuedRequest>;
    /// @return the earliest time at which expire() will return a request; 0 when nothing is queued
    auto nextExpiry() const -> Millis;
    /// Removes and returns requests of a model that, by a new prediction, cannot be served in time:
    /// as few as possible, the least urgent first.
    auto recheck(const ModelId &model, const ModelView &view, Millis now)
            -> std::vector<QueuedRequest>;
    /// Returns the time after which a refused caller should retry: when the model is predicted to
    /// have a free slot. Each caller gets a later time than the one before, so that callers do
    /// not retry together.
    /// @return time from now, ms
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
