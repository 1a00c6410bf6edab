// Forwards a caller's request to an endpoint and relays the answer back.
//
//   auto forwarder = Forwarder { options, parts };
//   co_await forwarder.handle(request, responder);
//
// What happens after a dispatch that returned no complete answer:
//
//   no byte was sent, or the endpoint states that it did not run the request
//                                                            try another endpoint
//   it may have run, nothing was sent to the caller, and the route allows repeats
//                                                            try another endpoint
//   part of a stream was sent to the caller, its last data has a number, and the stream is
//   resumable                                                resume at another endpoint
//   anything else                                            give up
//
// If the catalogue defines accounts, the API key alone identifies a caller. A caller without
// an account, or whose account has used up its limit, is refused before the request reaches an
// endpoint or counts as demand. Keys are accepted only while the gateway can prove that its
// list of keys is recent enough (gateway/keylease.h).
//
// If the gateway has no path to the endpoints that could take a request (gateway/endpointpaths.h),
// it hands the request to another gateway and relays that one's answer. A request that was handed
// over is not handed on.
//
// Work that has crashed several endpoints is refused before it reaches another endpoint
// (policy/quarantine.h), and does not count as demand for its model.
//
// Guarantees:
// - Each request gets exactly one final answer. A stream that has begun either ends completely
//   or has its connection closed.
// - Only complete events of a stream are forwarded, and none twice. Where their IDs are numbers,
//   these increase, and no number is left out where a stream is resumed.
// - A refusal that is marked as not run is for a request that has not run.
// - A request that is given up is answered immediately.
// - Retries are bounded by the budget of all gateways (gateway/retrybudget.h), of which each is
//   taken again if its request has waited for too long, and by the route's maximum attempts.
// - If the caller disconnects, the connection to the endpoint is closed.
//
// Not thread-safe: runs on one thread.

#ifndef FIGRACK_GATEWAY_FORWARDER_H
#define FIGRACK_GATEWAY_FORWARDER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "catalogue/homes.h"
#include "core/clock.h"
#include "core/random.h"
#include "gateway/answertimes.h"
#include "gateway/crashdetector.h"
#include "gateway/demand.h"
#include "gateway/dialect.h"
#include "gateway/endpointpaths.h"
#include "gateway/fleetview.h"
#include "gateway/handoffs.h"
#include "gateway/heldbytes.h"
#include "gateway/keylease.h"
#include "gateway/loadwatch.h"
#include "gateway/metrics.h"
#include "gateway/picker.h"
#include "gateway/retrybudget.h"
#include "gateway/splithistory.h"
#include "gateway/waiters.h"
#include "http/client.h"
#include "http/server.h"
#include "policy/quarantine.h"

namespace figrack::gateway {

class StreamOrigins;

struct ForwarderOptions
{
    /// Maximum body size of an answer that is not a stream.
    std::size_t maxAnswerBytes = 16U << 20;
    /// Part of a request's time that is reserved for the final answer to reach the caller.
    Duration answerMargin = std::chrono::milliseconds { 20 };
    /// Minimum time an endpoint needs to produce the first event of a stream. A request with less
    /// time than this before its caller leaves is not dispatched.
    Duration minTimeToFirstEvent = std::chrono::milliseconds { 200 };
    /// Maximum idle time of a pooled connection for a request that must not run twice: the peer may
    /// be about to close a connection that has been idle for longer.
    Duration maxIdleForSingleRun = std::chrono::seconds { 2 };
    /// Retry-After when no better estimate is known.
    Duration defaultRetryAfter = std::chrono::milliseconds { 300 };
    /// How long after its start the gateway holds requests until the first configuration document
    /// arrives. This takes 0.1 to 0.2 s if at least one control can be reached.
    Duration awaitDocument = std::chrono::milliseconds { 250 };
    /// How long after its start the gateway holds requests until the document's keys are proved
    /// current. The proof takes one more round of requests among the controls.
    Duration awaitKeys = std::chrono::milliseconds { 600 };
    /// How long a request waits for the endpoints that its model needs, if the gateway has to ask
    /// for them first. They arrive within a few milliseconds, and if a control fails, from another
    /// one after EndpointWatchOptions::answerTimeout.
    Duration awaitEndpoints = std::chrono::milliseconds { 400 };
    /// Retry-After of a request that this gateway cannot complete before it stops: the other
    /// gateways can take it at once.
    Duration retryAfterWhenStopping {};
    /// How long a request is expected to take, of a route that had none lately, if it may be
    /// repeated where it is cut off.
    Duration assumedAnswerTime = std::chrono::milliseconds { 2500 };
    /// Retry-After while no configuration or no endpoint is known. After a start, the gateway
    /// learns of all endpoints within one announcement interval.
    Duration retryAfterAtStart = std::chrono::milliseconds { 1200 };
    /// Number of endpoint crashes under the same work after which the gateway no longer retries a
    /// request by itself. The next attempt may be the one that puts the work in quarantine, so it
    /// is left to the caller, which makes one attempt at a time.
    std::uint32_t crashLimitForRetry = 2;
    /// How long an endpoint is asked whether it outlived the end of an answer that only the end of
    /// its connection marks. It takes two round trips, of a tenth of a second between regions.
    Duration endProofTimeout = std::chrono::milliseconds { 500 };
    NodeId self; ///< This gateway, for requests that it hands over.
    /// Longest time between the last event of a stream and its resumption by the caller.
    Duration resumptionWindow = std::chrono::seconds { 60 };
    /// Time until a configuration is in force at all gateways.
    Duration configurationDelay = std::chrono::seconds { 4 };
    /// Retry-After where no endpoint of the version that began a stream is left. An endpoint that
    /// restarts is back by then.
    Duration versionRetryAfter = std::chrono::seconds { 1 };
    /// Decides which endpoints are in the homes of a route or an account.
    catalogue::RegionMap regions = {};
    HeldBytesOptions heldBytes = {};
};

/// Dependencies of the Forwarder. All of them must outlive it.
struct ForwarderParts
{
    boost::asio::io_context &context;
    const Clock &clock;
    const Dialect &dialect;
    FleetView &view;
    RetryBudget &retries;
    Demand &demand;
    Waiters &waiters;
    Metrics &metrics;
    http::Client &client;
    Picker &picker;
    Random &random;
    policy::Quarantine &quarantine;
    CrashDetector &crashDetector;
    EndpointPaths &paths;
    const KeyLease &keys;
    /// Asks for the endpoints of a key. @return true when the view contains them; waiters are woken
    /// when it does. May be empty: the view contains all endpoints
    std::function<bool(const proto::WatchKey &)> wantEndpoints = {};
    /// When missing models are expected; null: the forwarder estimates it.
    const LoadWatch *loadWatch = nullptr;
    /// Other gateways for requests that cannot be served here; null: there are none.
    Handoffs *handoffs = nullptr;
    /// Where streams have begun that callers take up again; null: any endpoint may go on with them.
    StreamOrigins *origins = nullptr;
    /// Sums what callers make the process hold; null: it is not summed.
    std::shared_ptr<PeerBudget> budget = nullptr;
};

class Forwarder
{
public:
    Forwarder(ForwarderOptions options, ForwarderParts parts);
    /// Puts a configuration into force for all later requests.
    auto setCatalogue(std::shared_ptr<const catalogue::Catalogue> catalogue) -> void;
    /// @return the configuration version in force; 0 before the first one
    auto version() const -> Revision;
    /// Refuses all later requests as not run.
    auto refuseNew() -> void { refusing_ = true; }
    /// Sets the time at which the process ends. From now on a request is dispatched only if it is
    /// expected to end before that, and is refused as not run otherwise.
    auto setStopTime(Instant stopsAt) -> void;
    auto handle(const http::Request &request, http::Responder &responder)
            -> boost::asio::awaitable<void>;
    /// Handles a request that another gateway has handed over.
    auto handleHandedOver(const http::Request &request, const proto::HandoffTerms &terms,
                          http::Responder &responder) -> boost::asio::awaitable<void>;
    /// Moves the dispatches to a group of endpoints whose path is lost elsewhere, as far as their
    /// routes and the retry budget allow. The others go on, since the path may return in time.
    auto onPathLost(const EndpointGroup &group) -> void;
    /// Cancels the dispatches to an endpoint that is known to have ended. Each request is retried
    /// at another endpoint if its route allows that.
    auto endDispatches(const EndpointId &endpoint) -> void;
    /// @return the catalogue in force, or nullptr
    auto catalogue() const -> const catalogue::Catalogue *;
    /// @return the number of dispatches in progress
    auto dispatching() const -> std::size_t { return dispatches_.size(); }
    /// @return the bytes of the requests in progress
    auto heldBytes() const -> const HeldBytes & { return heldBytes_; }

private:
    class Run;
    friend class Run;
    class ActiveDispatch;
    friend class ActiveDispatch;
    /// @return the request whose dispatch has the canceller; nullptr if it has ended
    auto runOf(const EndpointId &endpoint, const std::weak_ptr<http::Canceller> &canceller) const
            -> Run *;
    ForwarderOptions options_;
    ForwarderParts parts_;
    std::shared_ptr<const catalogue::RouteTable> routes_;
    /// From the same catalogue as routes_.
    std::shared_ptr<const catalogue::AccountTable> accounts_;
    SplitHistory splits_; ///< Of all documents that were in force here.
    /// The same catalogue asks for ordered admission (catalogue/contention.h).
    bool isOrdered_ = false;
    std::set<ServiceId> deferrable_; ///< Services with a deferrable route, of the same catalogue.
    const Instant startedAt_;
    HeldBytes heldBytes_;
    /// Requests refused for want of memory since the last log line about it, and its time.
    std::uint64_t memoryRefusals_ = 0;
    std::optional<Instant> memoryLoggedAt_;
    struct Dispatch
    {
        Run *run = nullptr;  ///< Outlives the dispatch.
        EndpointGroup group; ///< Of the endpoint.
        std::shared_ptr<http::Canceller> canceller;
    };
    std::multimap<EndpointId, Dispatch> dispatches_; ///< In progress.
    AnswerTimes answerTimes_;
    Instant stopsAt_ = Instant::max(); ///< The process cuts off what is in progress then.
    bool refusing_ = false;
    /// Expires with this object, since a retry may be granted later.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FORWARDER_H
