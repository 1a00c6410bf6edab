// Holds the requests that wait at this router and assigns a replica to each.
//
//   auto ticket = scheduler.submit(request, [](Placement placement) { ... });
//   ... dispatch to the replica granted ...
//   scheduler.end(ticket, policy::DispatchResult::Finished);
//
// Combines the deadline queue and the replica chooser of policy/ under one mutex
// and supplies them with data from the view. Replicas are granted when a request
// arrives, when a stream ends, when a load report or a table change arrives, and
// on tick().
//
// Guarantees: each submit() and requeue() is answered exactly once, by a grant or
// a refusal. tick() refuses requests whose time has run out and, while the
// router's configuration is not known to be current, all waiting requests. Nothing
// is granted while the configuration is not current. Callbacks run outside the
// mutex. Thread-safe.

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

/// The properties of a request that the scheduler uses.
struct SchedulingRequest
{
    Target target;
    ClassId classId;
    std::string caller;
    std::vector<std::uint64_t> prefix;
    Millis startTarget = 0;  ///< ms from now.
    Millis finishTarget = 0; ///< ms from now.
};

struct Granted
{
    Candidate replica;
    bool cold = false; ///< No replica was ready when the request arrived.
    Millis waited = 0; ///< ms from arrival to the grant.
};
struct Refused
{
    ErrorKind kind = ErrorKind::QueueFull;
    Millis retryAfter = 0; ///< ms from now; negative: the caller should not retry.
};
using Placement = std::variant<Granted, Refused>;
using Ticket = std::uint64_t;

struct SchedulerOptions
{
    policy::QueueOptions queue;
    policy::ChoiceOptions choice;
    Millis expectedLoad = 2000; ///< ms; used until the view has observed model loads.
    std::uint64_t seed = 1;
};

/// Callbacks into the rest of the router. Called outside the scheduler's mutex.
struct SchedulerHooks
{
    std::function<bool()> isCurrent;    ///< Returns whether new work may start.
    std::function<void()> onColdDemand; ///< A request arrived for a model without a ready replica.
};

class Scheduler
{
public:
    using Done = std::function<void(Placement)>;

    Scheduler(SchedulerOptions options, const Clock &clock, const View &view, SchedulerHooks hooks);

    /// @param done called once, possibly before submit() returns
    /// @return the ticket, which is also assigned to a request that is refused
    auto submit(const SchedulingRequest &waiting, Done done) -> Ticket;
    /// Queues a request again after its dispatch ended without an answer.
    /// @param result how the dispatch ended
    /// @param startBy how long the request may wait, in ms from now
    auto requeue(Ticket ticket, policy::DispatchResult result, Millis startBy, Done done) -> void;
    /// Call when the caller has disconnected. A waiting request is answered with Cancelled; a
    /// running one is left alone.
    auto cancel(Ticket ticket) -> void;
    auto onFirstToken(Ticket ticket) -> void;
    /// Call when the request has ended. Frees its slot.
    auto end(Ticket ticket, policy::DispatchResult result) -> void;

    auto tick() -> void;
    auto onViewChanged() -> void;
    auto onLoad(const proto::LoadDigest &digest) -> void;
    auto onCacheEvents(const policy::CacheEvents &events) -> void;
    auto wantsCacheSnapshot(const EndpointId &endpoint) const -> bool;

    /// @return the rows of the demand report; arrivals are counted since the previous call
    auto takeDemand() -> std::vector<proto::DemandRow>;
    auto waiting() const -> std::size_t;
    auto running() const -> std::size_t;
    /// @return the engines that this router dispatched to since the previous call
    auto takeUsedEngines() -> std::map<EndpointId, Address>;

private:
    struct Entry
    {
        SchedulingRequest waiting;
        policy::QueuedRequest queued;
        Done done;                               ///< Set while the request waits.
        Candidate replica;                       ///< Valid while the request runs.
        std::map<EndpointId, Millis> avoidUntil; ///< Replicas that failed this request.
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
        std::vector<Millis> expectedRetries; ///< For requests refused while the model
                                             ///< was cold: when each is expected back at
                                             ///< the latest.
    };
    struct TargetState
    {
        Target target;
        CachedTarget cached;
        std::size_t waiting = 0;
        std::size_t running = 0;
        double serviceMs = 0; ///< Mean time in ms that a request holds a slot.
        std::map<ClassId, DemandCount> demand;
    };

    auto now() const -> Millis;
    auto state(const Target &target) -> TargetState &;
    auto refresh(TargetState &state) -> const TargetView &;
    auto freeSlots(const TargetView &target) const -> std::uint32_t;
    auto modelView(TargetState &state) -> policy::ModelView;
    auto grantWaiting(TargetState &state, Calls &calls) -> void;
    enum class Step : std::uint8_t { Granted, Skipped, Nothing };
    auto grantOne(TargetState &state, std::vector<policy::QueuedRequest> &skipped, Calls &calls)
            -> Step;
    auto chooseFor(const Entry &entry, TargetState &state) -> std::optional<std::size_t>;
    auto avoidsAnyReplica(const Entry &entry) const -> bool;
    auto release(Entry &entry, policy::DispatchResult result) -> void;
    auto refuse(Ticket ticket, Refused refused, Calls &calls) -> void;
    auto refuseAll(ErrorKind kind, Calls &calls) -> void;
    auto expire(Calls &calls) -> void;
    auto recheckAll(Calls &calls) -> void;
    auto retryAfter(TargetState &state) -> Millis;
    auto recordArrival(TargetState &state, const ClassId &classId) -> void;
    auto recordExpectedRetry(TargetState &state, const ClassId &classId, Millis after) -> void;
    auto dropIdleStates() -> void;
    static auto deliver(Calls &calls) -> void;

    SchedulerOptions options_;
    const Clock &clock_;
    const View &view_;
    SchedulerHooks hooks_;
    mutable std::mutex mutex_; ///< Lock order: 1, taken before View::mutex_.
    policy::RequestQueue queue_;
    policy::ReplicaChooser chooser_;
    std::unordered_map<Ticket, Entry> entries_;
    std::map<ModelId, TargetState> states_; ///< Keyed by Target::queueKey().
    std::map<EndpointId, Address> usedEngines_;
    Ticket nextTicket_ = 1;
    std::size_t running_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_SCHEDULER_H
