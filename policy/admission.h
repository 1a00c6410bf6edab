// Admission and queueing at a router: who waits, in which order, who is refused.
//
//   auto queue = RequestQueue { options };
//   auto verdict = queue.admit(request, view, now);   // queued, or refused with a retry time
//   auto next = queue.pop(model, now);                // most urgent that still can be served
//   auto expired = queue.expire(now);                 // to be refused at once
//
// Earliest start deadline first across classes, with a bounded share kept for
// patient classes so that urgent work cannot starve them. Nothing waits past
// its deadline; queues are bounded per class and per caller; overload sheds the
// least urgent first. Not thread-safe.

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
};

class RequestQueue
{
public:
    explicit RequestQueue(QueueOptions options);
    ~RequestQueue();
    auto admit(const QueuedRequest &request, const ModelView &view, Millis now) -> Verdict;
    /// @return the request to dispatch next for a model
    auto pop(const ModelId &model, Millis now) -> std::optional<QueuedRequest>;
    /// Puts back a request whose dispatch certainly did not run.
    auto putBack(const QueuedRequest &request) -> void;
    /// Removes one request: the caller went away. @return false when it was not queued
    auto cancel(std::uint64_t ticket) -> bool;
    /// Removes requests whose time has run out, or that a new prediction shows cannot start.
    auto expire(Millis now) -> std::vector<QueuedRequest>;
    auto recheck(const ModelId &model, const ModelView &view, Millis now)
            -> std::vector<QueuedRequest>;
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
