// Who waits at this router, and which replica each request gets.
//
//   auto ticket = scheduler.submit(work, [](Placement placement) { ... });
//   ... dispatch to the replica granted ...
//   scheduler.end(ticket, policy::DispatchResult::Finished);
//
// The deadline queue and the replica chooser of policy/ under one mutex, fed
// from the view. Grants are made when a request comes, a stream ends, a load
// report or a change of the tables arrives, and on tick().
//
// Guarantees: each submit() and requeue() is answered exactly once, by a grant
// or a refusal; tick() refuses what has run out of time and, while the router
// is not current, everything that waits; nothing is granted while it is not
// current. Callbacks run outside the mutex. Thread-safe.

#ifndef FIGRACK_ROUTER_SCHEDULER_H
#define FIGRACK_ROUTER_SCHEDULER_H

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "policy/admission.h"
#include "policy/choice.h"
#include "proto/messages.h"
#include "router/view.h"

namespace figrack::router {

using policy::Millis;

/// What the scheduler needs to know of a request.
struct Waiting
{
    Target target;
    ClassId classId;
    std::string caller;
    std::vector<std::uint64_t> prefix;
    Millis startTarget = 0;  ///< From now.
    Millis finishTarget = 0; ///< From now.
};

struct Granted
{
    Candidate replica;
    bool cold = false; ///< No replica was ready when the request came.
    Millis waited = 0;
};
struct Refused
{
    ErrorKind kind = ErrorKind::QueueFull;
    Millis retryAfter = 0; ///< ms from now; negative: do not come back.
};
using Placement = std::variant<Granted, Refused>;
using Ticket = std::uint64_t;

struct SchedulerOptions
{
    policy::QueueOptions queue;
    policy::ChoiceOptions choice;
    Millis expectedLoad = 2000; ///< Until the view has seen loads.
    std::uint64_t seed = 1;
};

/// What the scheduler asks of the rest of the router. Called outside its mutex.
struct SchedulerHooks
{
    std::function<bool()> isCurrent;    ///< Whether new work may start.
    std::function<void()> onWantedCold; ///< A model without a ready replica is wanted.
};

class Scheduler
{
public:
    using Done = std::function<void(Placement)>;

    Scheduler(SchedulerOptions options, const Clock &clock, const View &view, SchedulerHooks hooks);

    /// @param done called once, perhaps before submit() returns
    /// @return the ticket, also of a request that was refused
    auto submit(const Waiting &waiting, Done done) -> Ticket;
    /// A dispatch ended without an answer and another try is wanted.
    /// @param result what became of the dispatch
    /// @param startBy ms from now that it may wait
    auto requeue(Ticket ticket, policy::DispatchResult result, Millis startBy, Done done) -> void;
    /// The caller went away. A waiting request is answered Cancelled.
    auto cancel(Ticket ticket) -> void;
    auto onFirstToken(Ticket ticket) -> void;
    /// The request is over; its slot is free.
    auto end(Ticket ticket, policy::DispatchResult result) -> void;

    auto tick() -> void;
    auto onViewChanged() -> void;
    auto onLoad(const proto::LoadDigest &digest) -> void;
    auto onCacheEvents(const policy::CacheEvents &events) -> void;
    auto wantsCacheSnapshot(const EndpointId &endpoint) const -> bool;

    /// @return rows for the demand report; arrivals count from the last call
    auto takeDemand() -> std::vector<proto::DemandRow>;
    auto waiting() const -> std::size_t;
    auto running() const -> std::size_t;
    /// @return engines that this router dispatched to, the latest last; forgets them
    auto takeUsedEngines() -> std::map<EndpointId, Address>;

private:
    struct Entry
    {
        Waiting waiting;
        policy::QueuedRequest queued;
        Done done;                               ///< Set while it waits.
        Candidate replica;                       ///< While it runs.
        std::map<EndpointId, Millis> avoidUntil; ///< Replicas that failed this very request.
        Millis dispatchedAt = 0;
        bool isRunning = false;
        bool cold = false;
    };
    struct Call
    {
        Done done;
        Placement placement;
    };
    using Calls = std::vector<Call>;
    struct CachedTarget
    {
        std::uint64_t version = 0;
        TargetView view;
    };
    struct DemandCount
    {
        std::uint32_t arrived = 0;
        std::vector<Millis> comingBack; ///< Refused while cold, till when each is expected back.
    };
    struct TargetState
    {
        Target target;
        CachedTarget cached;
        std::size_t waiting = 0;
        std::size_t running = 0;
        double serviceMs = 0; ///< Mean time that a stream holds a slot.
        std::map<ClassId, DemandCount> demand;
    };

    auto now() const -> Millis;
    auto state(const Target &target) -> TargetState &;
    auto refresh(TargetState &state) -> const TargetView &;
    auto freeSlots(const TargetView &target) const -> std::uint32_t;
    auto modelView(TargetState &state) -> policy::ModelView;
    auto pump(TargetState &state, Calls &calls) -> void;
    enum class Step : std::uint8_t { Granted, Skipped, Nothing };
    auto grantOne(TargetState &state, std::vector<policy::QueuedRequest> &skipped, Calls &calls)
            -> Step;
    auto chooseFor(const Entry &entry, TargetState &state) -> std::optional<std::size_t>;
    auto avoidsSome(const Entry &entry) const -> bool;
    auto release(Entry &entry, policy::DispatchResult result) -> void;
    auto refuse(Ticket ticket, Refused refused, Calls &calls) -> void;
    auto refuseAll(ErrorKind kind, Calls &calls) -> void;
    auto expire(Calls &calls) -> void;
    auto recheckAll(Calls &calls) -> void;
    auto retryAfter(TargetState &state) -> Millis;
    auto noteArrival(TargetState &state, const ClassId &classId) -> void;
    auto noteComingBack(TargetState &state, const ClassId &classId, Millis after) -> void;
    auto dropIdleStates() -> void;
    static auto deliver(Calls &calls) -> void;

    SchedulerOptions options_;
    const Clock &clock_;
    const View &view_;
    SchedulerHooks hooks_;
    mutable std::mutex mutex_; ///< Lock order: 1, before View::mutex_.
    policy::RequestQueue queue_;
    policy::ReplicaChooser chooser_;
    std::unordered_map<Ticket, Entry> entries_;
    std::map<ModelId, TargetState> states_; ///< By Target::queueKey().
    std::map<EndpointId, Address> usedEngines_;
    Ticket nextTicket_ = 1;
    std::size_t running_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_SCHEDULER_H
