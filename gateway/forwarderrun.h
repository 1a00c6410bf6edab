// State of one request in the Forwarder. Lives in the server's coroutine as long as the request.
//
// The request repeats placement, dispatch and relay until one of these steps settles it.
//
// The head of a stream is sent to the caller together with the first complete event. Until then
// the caller has received nothing, so a dispatch that breaks off can still be followed by
// another one if the route allows it.
//
// Internal to the forwarder (gateway/forwarder.h).

#ifndef FIGRACK_GATEWAY_FORWARDERRUN_H
#define FIGRACK_GATEWAY_FORWARDERRUN_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/boottimer.h"
#include "core/error.h"
#include "endpoint/ssestream.h"
#include "gateway/callerstream.h"
#include "gateway/chooser.h"
#include "gateway/dispatchend.h"
#include "gateway/forwarder.h"
#include "gateway/foundorigin.h"
#include "gateway/streamposition.h"

namespace figrack::gateway {

/// Initial time for which endpoints that failed or rejected a request are excluded from its next
/// choices. Doubles before each use.
constexpr auto firstAvoidPause = std::chrono::milliseconds { 125 };

/// Longer IDs of events are cut off in log lines.
constexpr auto maxLoggedEventId = std::size_t { 32 };
/// Longer IDs that callers name of their earlier attempts are cut off in log lines.
constexpr auto maxLoggedAttempt = std::size_t { 64 };

class Forwarder::Run
{
public:
    /// @param terms of a request that another gateway has handed over; else null
    Run(Forwarder &owner, const http::Request &request, http::Responder &responder,
        const proto::HandoffTerms *terms);
    ~Run() { finishWaiting(); }
    Run(const Run &) = delete;
    auto operator=(const Run &) -> Run & = delete;

    auto execute() -> boost::asio::awaitable<void>;
    /// Called when the path to the endpoint of the dispatch in progress is lost.
    /// @return true if another dispatch may follow, for which a retry is needed
    auto mayMove() const -> bool;
    /// Ends the dispatch in progress, since the request goes on elsewhere.
    auto moveElsewhere(Retry retry) -> void;
    auto service() const -> const ServiceId & { return service_; }

private:
    /// For how long nothing has been received from endpoints with requests in progress.
    struct Silence
    {
        Duration endpoint {};
        Duration group {}; ///< From any endpoint of its group.
        Duration all {};   ///< From any endpoint.
    };
    /// Result of one dispatch, or of waiting for one.
    enum class Step : std::uint8_t {
        Settled, ///< The request has reached its final outcome.
        NotRun,  ///< The endpoint certainly did not run the request.
        Broken,  ///< The dispatch broke off; the endpoint may have run the request.
    };

    // ---- admission (forwarderadmission.cpp)

    /// Right after the start of the gateway, waits for the first document and the proof of its
    /// keys.
    auto awaitDocument() -> boost::asio::awaitable<void>;
    /// Reads the request and finds its route, account and service.
    /// @return the refusal of a request that cannot be forwarded at all
    auto prepare() -> std::optional<Refusal>;
    /// Sets the service and all that depends on it.
    auto setService(const ServiceId &id) -> void;
    /// Finds the account of the caller's key.
    /// @return a refusal if the route requires an account and the caller has none
    auto identify() -> std::optional<Refusal>;
    auto rank() const -> std::uint32_t;
    /// @return what the request is charged against its account's limit; nullopt if nothing
    auto charge() const -> std::optional<catalogue::AccountCharge>;
    /// @return cost of the request to its account, in the account's units; there must be one
    auto costToAccount() const -> std::uint64_t;
    /// Refuses a request that waits for a model if its account is over its limit, so that it does
    /// not cause a load.
    /// @return true if the request was refused
    auto refuseOverLimit() -> boost::asio::awaitable<bool>;
    auto overLimitError() const -> absl::Status;
    /// Holds the request's body in the gateway's memory.
    /// @return why the request must be refused, and sets the Retry-After time; nullopt if there is
    /// room for the body
    auto memoryRefusal() -> std::optional<absl::Status>;
    /// @return when held bytes can be expected to be released, by what recent ones took, but not
    /// more than a third of the request's time left
    auto memoryRetryAfter() const -> Duration;
    /// Counts a refusal for want of memory, and logs it at most once a second.
    auto noteMemoryRefused() -> void;
    auto setCriteria() -> void;
    auto verdict() const -> policy::Verdict;
    /// @return why the request may not run, and sets the Retry-After time; nullopt if it may run
    auto quarantineRefusal() -> std::optional<absl::Status>;
    auto quarantinedError(std::uint32_t ends) const -> absl::Status;

    // ---- placing (forwarderplacing.cpp)

    /// Waits for an endpoint that can take the request.
    /// @return the endpoint, or nullptr if the request has been settled instead
    auto place() -> boost::asio::awaitable<EndpointEntry *>;
    static auto blockedError(BlockedBy blockedBy) -> absl::Status;
    /// Waits until the view contains the endpoints that could take the request, but not for long:
    /// without an answer, the request is placed by what the gateway knows.
    auto awaitEndpoints() -> boost::asio::awaitable<void>;
    /// @return the endpoints that accept new requests, and where the request may be served or its
    /// stream may go on
    auto candidates() const -> std::vector<EndpointEntry *>;
    /// Counts the request for the retry budget of its service, once over all gateways.
    auto countAsWork() -> void;
    /// @return true if new requests can be sent to the endpoint over the network
    auto isReached(const EndpointEntry &entry) const -> bool;
    /// @return true if the endpoint refuses connections that others of its group accept, so that no
    /// gateway reaches it
    auto hasEndedByItself(const EndpointEntry &entry) const -> bool;
    /// Drops endpoints whose path is being probed, if there are others.
    auto preferOpenPaths(std::vector<EndpointEntry *> &able) const -> void;
    /// Waits while the paths to all of the endpoints are being probed.
    /// @return false if there was nothing to wait for
    auto awaitProbes(const std::vector<EndpointEntry *> &able) -> boost::asio::awaitable<bool>;
    /// Looks for an endpoint and stores the result in picked_.
    /// @return why there is none, or BlockedBy::Nothing if picked_ names a known endpoint
    auto pick() -> boost::asio::awaitable<BlockedBy>;
    /// Drops the endpoints that hold too many bytes of this gateway's requests.
    /// @return false if none is left; picked_ then names the time after which one may have room
    auto keepThoseWithRoom(std::vector<EndpointEntry *> &able) -> bool;
    /// @return what the balancer orders the request by; nullopt if it must not be queued
    auto orderedTerms() const -> std::optional<OrderedTerms>;
    /// Waits until the balancer that queued the request grants it a place, and stores the result in
    /// picked_.
    /// @return why there is none, or BlockedBy::Nothing; nullopt if a balancer must be asked again
    auto awaitGrant() -> boost::asio::awaitable<std::optional<BlockedBy>>;
    /// Waits until the balancer's answer, or until another reason ends the wait.
    auto awaitWaitEnd(GrantWait &wait) -> boost::asio::awaitable<WaitEnd>;
    /// @return true if none of the endpoints that the request was queued for can take it any more,
    /// or if another one can
    auto areCandidatesOutdated() const -> bool;
    /// @return true if the request may be sent to the endpoint of a grant
    auto mayUse(const EndpointId &granted) const -> bool;
    /// @return those of the endpoints that can take the request now
    auto ableAmong(const std::vector<EndpointEntry *> &candidates) const -> Able;
    /// Delays the dispatch for as long as the balancer asked, or less if the request has less time
    /// left.
    auto hold() -> boost::asio::awaitable<void>;
    /// @return how long to wait before asking for a place again; nullopt if a request that starts
    /// after that would be late
    auto waitTimeForPlace(BlockedBy blockedBy) -> std::optional<Duration>;
    /// @return how long to wait before looking for an endpoint again; nullopt if waiting cannot
    /// help
    auto waitTimeFor(BlockedBy blockedBy) -> std::optional<Duration>;
    /// @return when the missing model, adapter or endpoint is expected to be available; nullopt if
    /// waiting cannot help
    auto readyAt(BlockedBy blockedBy) -> std::optional<Instant>;
    /// @return how long loading the missing model or adapter takes from the time on at which
    /// requests began to wait for it; nullopt if no load would help
    auto expectedLoad(BlockedBy blockedBy) -> std::optional<Duration>;
    /// @return expectedLoad() by what the gateway knows alone
    auto guessedLoad(BlockedBy blockedBy) -> std::optional<Duration>;
    /// @return what the leader's schedule says of the missing model or adapter
    auto scheduledLoad(BlockedBy blockedBy) const -> std::optional<ScheduledReady>;
    /// @return the time since which requests wait for the missing model or adapter
    auto waitingSince() const -> Instant;
    auto avoid(const EndpointId &id) -> void;
    /// Makes endpoints that rejected the request earlier eligible again once the avoidance period
    /// has expired. The period grows each time, so that an endpoint that rejects everything
    /// receives few dispatches of this request.
    auto clearExpiredAvoidance() -> void;
    /// Counts the request as demand for its model, once.
    auto noteDemand() -> void;
    /// @return the reading that the request gives a replica; none where the configuration does not
    /// ask for ordered admission
    auto readWork() const -> ReadWork;
    auto beginWaiting() -> void;
    /// @return when the request has to be dispatched to start on time; nullopt if its route has no
    /// start target, or loads of its service are not ordered by it
    auto latestStart() const -> std::optional<Instant>;
    auto finishWaiting() -> void;

    // ---- dispatch (forwarderdispatch.cpp)

    /// Called after a dispatch that did not settle the request.
    /// @return true if another dispatch may follow; otherwise the request has been settled
    auto mayTryAgain(Step step) -> boost::asio::awaitable<bool>;
    /// @return true if another endpoint may go on with the stream that the caller has begun to
    /// receive
    auto isResumable() const -> bool;
    /// Called after a dispatch that broke off.
    /// @return true if the work has crashed so many endpoints that the gateway must not retry it
    auto hasTooManyCrashes() -> boost::asio::awaitable<bool>;
    /// @return true if an endpoint has received the request, so that the next dispatch is a retry
    auto hasArrived() const -> bool;
    /// Takes a retry from the budget, unless a valid one is held.
    /// @return false if there is none
    auto takeRetry() -> boost::asio::awaitable<bool>;
    auto dispatch(EndpointEntry &entry) -> boost::asio::awaitable<Step>;
    /// Records how the latest dispatch ended.
    /// @return what follows for the request
    auto endDispatch(DispatchEnd end) -> Step;
    /// Logs and counts the end of a dispatch that did not settle the request.
    auto reportDispatchEnd(Step step) -> void;
    /// Records how long the latest dispatch took, if its answer was whole or its time ran out.
    auto noteAnswerTime(Step step) -> void;
    /// @return whether the endpoint met the route's latency targets, as far as this dispatch shows
    /// it
    auto outcomeOf(bool hasStarted) const -> proto::PickOutcome;
    auto makeDispatch(const EndpointEntry &entry) -> http::ClientRequest;
    /// @return how long a kept connection may have been idle to be used for the request
    auto maxIdleAge() const -> Duration;
    auto exchange(http::ClientRequest out, Duration left, const EndpointId &id)
            -> boost::asio::awaitable<Step>;
    /// @return true if the answer has the signature that a success needs
    auto isSigned(const http::ClientStream &stream) const -> bool;
    /// Handles what the head of an answer says about the endpoint itself (rate, backoff, draining),
    /// whatever the answer is.
    auto noteNotice(const EndpointId &id, const catalogue::EndpointNotice &notice) -> void;
    auto noteRejection(const EndpointId &id, const catalogue::EndpointNotice &notice) -> void;
    auto noteFailure(const EndpointId &id, const absl::Status &status, bool reached) -> void;
    /// Notes that a connection to the endpoint could not be made.
    auto noteUnconnected(const EndpointId &id, const absl::Status &status) -> void;
    /// Called when a dispatch broke off. Records the work that was in progress, in case the
    /// endpoint has crashed: a retry may arrive at another gateway, which knows nothing of this
    /// failure.
    auto noteBroken(const EndpointId &id, const absl::Status &status, bool hasBegun) -> void;
    auto noteCompleted() -> void;
    /// Notes that the answer goes on, so that no part of the prompt is harmful.
    auto notePartsGoOn() -> void;
    /// @return true if the answer began so long ago that an end of its endpoint has another cause
    auto hasGoneOn() const -> bool;
    /// Notes that bytes of the endpoint's answer have been received.
    auto noteHeard() -> void;
    /// Has the rest of an answer read away, so that its connection can be kept. Does not wait.
    auto discard(std::unique_ptr<http::ClientStream> stream) -> void;

    // ---- handing over to another gateway (forwarderhandoff.cpp)

    /// Hands the request to another gateway, and relays its answer.
    auto handOver() -> boost::asio::awaitable<Step>;
    /// @return NotRun if the gateway could not take the request
    auto handTo(const proto::HandoffTarget &target) -> boost::asio::awaitable<Step>;
    /// Sends the request to the gateway and relays its answer.
    auto exchangeWith(const proto::HandoffTarget &target, http::ClientRequest out)
            -> boost::asio::awaitable<Step>;
    auto reachesOneOf(const std::vector<EndpointEntry *> &entries) const -> bool;
    auto relayHandedAnswer(const proto::HandoffTarget &target,
                           std::unique_ptr<http::ClientStream> stream)
            -> boost::asio::awaitable<Step>;
    auto handedRequest() const -> proto::HandedRequest;
    /// @return the groups of the endpoints that could take the request and are not reached
    auto groupsOfCandidates() const -> std::set<EndpointGroup>;
    /// @return the header that tells the first gateway how the request ended here
    auto handoffOutcome() const -> http::Header;

    // ---- relay (forwarderrelay.cpp)

    /// @return the next bytes of the answer; Timeout if the request's deadline has passed
    auto readAnswer(http::ClientStream &stream)
            -> boost::asio::awaitable<absl::StatusOr<std::string>>;
    /// An answer without a length or chunks is whole only if its endpoint outlived its end: the
    /// connections of a process that is killed end in order as well.
    /// @return true if the answer that has just ended is known to be whole
    auto isWhole(const http::ClientStream &stream) -> boost::asio::awaitable<bool>;
    /// @return true if the endpoint has answered a question that was sent after its answer's end
    auto hasOutlivedEnd() -> boost::asio::awaitable<bool>;
    auto relayWhole(http::ClientStream &stream) -> boost::asio::awaitable<Step>;
    /// Retries once more after an endpoint answered with a failure. If the retry returns no answer,
    /// the original failure is sent to the caller.
    auto retryAfterFault(http::Response failure) -> boost::asio::awaitable<Step>;
    auto sendWhole(http::Response answer) -> boost::asio::awaitable<Step>;
    auto relayStream(http::ClientStream &stream) -> boost::asio::awaitable<Step>;
    /// Forwards complete events that the caller has not received yet.
    /// @return a step if the request is settled
    auto forwardEvents(const std::vector<endpoint::SseEvent> &events, http::ClientStream &stream)
            -> boost::asio::awaitable<std::optional<Step>>;
    auto judgeEvent(const endpoint::SseEvent &event) -> EventVerdict;
    /// Sends the LF of a CRLF within which an earlier endpoint's stream has ended, so that no event
    /// of the next one joins that line end. @return false if the caller has disconnected
    auto completeLineEnd() -> boost::asio::awaitable<bool>;
    auto noteEvents() -> void;
    /// Reports to the leader, once, that an endpoint did not serve a stream in time.
    auto noteLateness(Instant now) -> void;
    /// Sends the head of a stream, once. @return false if the caller has disconnected
    auto startResponse(http::ClientStream &stream) -> boost::asio::awaitable<bool>;

    // ---- overall control and completion (forwarder.cpp)

    /// Serves the request up to its final answer.
    auto serve() -> boost::asio::awaitable<void>;
    auto dispatchUntilSettled() -> boost::asio::awaitable<void>;
    /// Counts an exception that has ended the request, and sets the outcome accordingly.
    auto noteInternalError(const std::exception &error) -> void;
    /// Waits until the caller has taken what is buffered for it, and ends a whole stream.
    auto finishStream() -> boost::asio::awaitable<void>;
    auto timeLeft() const -> Duration;
    /// @return the time after which the request would not end before the gateway stops;
    /// Instant::max() unless it is stopping
    auto latestDispatch() const -> Instant;
    auto isTooLateToDispatch() const -> bool;
    /// While the gateway is stopping, has the caller send its next request to another one.
    auto endConnectionIfStopping(http::Headers &headers) const -> void;
    /// Refuses a request that would be cut off when the gateway stops.
    auto giveUpForStop() -> boost::asio::awaitable<void>;
    auto onCallerGone() -> void;
    /// Stops trying: answers with an error, or lets the server close a stream that has begun.
    auto giveUp(absl::Status status) -> boost::asio::awaitable<void>;
    auto refuse(Refusal refusal) -> boost::asio::awaitable<void>;
    auto report() -> void;

    // ---- streams that callers take up again (forwarderresumption.cpp)

    /// @return true if the caller takes up a stream that one of its earlier attempts has begun
    auto isResumption() const -> bool;
    /// @return the service of the split that the request goes to. All attempts at a stream go to
    /// the same one, at any gateway, as long as the split stays the same
    auto chooseService() -> ServiceId;
    /// Binds a resumption to the service and the software version that began its stream.
    /// @return false if the version is not known, so that the request has been refused
    auto bindOrigin() -> boost::asio::awaitable<bool>;
    /// Finds out the version that began the caller's stream. Sets the service that began it.
    auto findOrigin() -> boost::asio::awaitable<FoundOrigin>;
    /// @return the services that may have begun the caller's stream, the chosen one first
    auto servicesOfStream() const -> std::vector<ServiceId>;
    /// Tells the owners of the stream which version has begun it, with its first event, and again
    /// while it goes on.
    auto noteStreamBegun() -> void;
    /// @param left endpoint that the request leaves; empty if none
    /// @return true if another endpoint, or another gateway, may go on with the stream
    auto hasEndpointLeft(const EndpointId &left = {}) const -> bool;
    auto resumptionOutcome() const -> ResumptionOutcome;
    /// Counts how a resumption of the caller ended, at the gateway to which it is connected.
    auto countResumption() -> void;

    Forwarder &owner_;
    ForwarderParts &parts_;
    const http::Request &request_;
    http::Responder &responder_;
    /// Null unless another gateway has handed the request over.
    const proto::HandoffTerms *const handoffTerms_;
    const Instant arrived_; ///< At the first gateway.
    Instant deadline_;      ///< The request must be finished by then.
    Instant startBy_;       ///< The request must be dispatched by then.
    std::shared_ptr<const catalogue::RouteTable> routes_; ///< In force when the request arrived.
    /// From the same catalogue as routes_.
    std::shared_ptr<const catalogue::AccountTable> accounts_;
    bool isOrdered_ = false; ///< The same catalogue asks for ordered admission.
    CallerRequest caller_;
    /// Account of the caller's key; null if there is none.
    const catalogue::Account *account_ = nullptr;
    const catalogue::Route *route_ = nullptr;
    const catalogue::EngineSpec *engine_ = nullptr; ///< Null for a plain service.
    ServiceId service_;
    catalogue::HomeRule homes_; ///< Of the route and of the account.
    double coldPerSecond_ = 0;  ///< Rate that a cold endpoint of the service accepts; 0: any.
    DemandTarget target_;       ///< The model is empty if the request needs none.
    Criteria criteria_;
    catalogue::WorkIds works_;                   ///< Empty until the request has been read.
    std::vector<catalogue::WorkId> promptParts_; ///< Those that other requests may share.
    std::shared_ptr<http::Canceller> canceller_; ///< Cancels the dispatch in progress.
    StreamPosition position_;                    ///< Of the caller's stream.
    /// Of the software of the endpoint that began the stream which the caller receives.
    std::optional<std::string> streamVersion_;
    /// How the origin of a stream that the caller takes up again was found; absent if nobody was
    /// asked.
    std::optional<OriginSource> originSource_;
    std::optional<Instant> originToldAt_; ///< Latest time.
    bool hasStreamBegun_ = false;         ///< An event, not only comments, is sent to the caller.
    EndpointId endpoint_;                 ///< Endpoint of the latest dispatch.
    Address endpointAddress_;             ///< The same endpoint's.
    std::string softwareVersion_;         ///< Of its software.
    Picked picked_;       ///< The latest choice; its booking ends with the dispatch.
    BootTimer holdTimer_; ///< For a delay that the balancer asked for, and for a wait for a place.
    HeldBytes::Share bodyShare_;
    CallerStream callerStream_;
    Duration queuedFor_ {};                 ///< Total time in balancers' queues.
    std::optional<WaitEnd> waitEnd_;        ///< Of the latest wait for a place.
    std::optional<Duration> predictedWait_; ///< First prediction; absent if it was never queued.
    Duration held_ {}; ///< Total delay that balancers asked for to protect running streams.
    std::uint32_t status_ = 0;
    std::uint32_t finalStatus_ = 0;
    std::uint32_t sent_ = 0;   ///< Dispatches of which at least one byte was sent.
    std::uint32_t ran_ = 0;    ///< Dispatches that may have run.
    std::uint32_t unsent_ = 0; ///< Dispatches of which no byte was sent.
    Duration avoidPause_ = firstAvoidPause;
    Instant avoidUntil_ {};
    Instant backoffUntil_ {}; ///< Earliest end of a backoff among the endpoints that could take the
                              ///< request.
    std::optional<Duration> retryAfter_;
    std::optional<Duration> loadReady_; ///< Time that the leader's schedule named first.
    Instant sentAt_ {};                 ///< Time of the latest dispatch.
    Instant heardAt_ {};                ///< When its endpoint last sent anything, or sentAt_.
    EndpointGroup group_;               ///< Of the endpoint of the latest dispatch.
    DispatchEnd dispatchEnd_ = DispatchEnd::Settled; ///< Of the latest dispatch.
    std::vector<http::ConnectionNumber> answeredOn_; ///< Connections on which it was answered.
    bool isReused_ = false;            ///< The latest dispatch used a kept connection.
    bool isUnreached_ = false;         ///< Only another gateway can reach the endpoints.
    bool isToGateway_ = false;         ///< The dispatch in progress is to another gateway.
    bool hasAwaitedProbe_ = false;     ///< It has waited for the probe of a path.
    bool hasAnswerBegun_ = false;      ///< The dispatch in progress counts in ran_.
    bool isPathGivenUp_ = false;       ///< No other gateway could take the request.
    bool isMoved_ = false;             ///< The dispatch was ended because its path is lost.
    Retry retry_;                      ///< For the next dispatch.
    std::uint32_t grantedRetries_ = 0; ///< Retries that the leader granted.
    NodeId handedTo_;                  ///< The latest gateway that the request was handed to.
    std::optional<Silence> silence_;   ///< At the end of a dispatch that broke off.
    std::optional<Instant> firstByteAt_;
    std::optional<Instant> lastEventAt_;
    std::optional<Instant> begunAt_; ///< First event of the latest dispatch.
    bool hasNotedParts_ = false;     ///< The latest dispatch has cleared the prompt's parts.
    bool isDelimited_ = true;        ///< See http::ClientStream, for the latest answer.
    Duration longestGap_ {};         ///< Longest time between two events of the stream.
    absl::Status lastError_ = makeError(ErrorKind::NoCapacity, "endpoint");
    BlockedBy blockedBy_ = BlockedBy::Nothing;
    RequestOutcome outcome_ = RequestOutcome::Refused;
    bool waiting_ = false;
    std::optional<Instant> reportedStart_; ///< Latest start, as reported for the wait.
    bool callerGone_ = false;
    bool mayHaveRun_ = false;
    bool budgetSpent_ = false;
    bool isEventSent_ = false;   ///< The latest event was sent to the caller, not dropped.
    bool isLineEndOpen_ = false; ///< What was sent to the caller ends within a CRLF.
    bool lateReported_ = false;  ///< A late stream has been reported to the leader.
    bool isDemand_ = false;      ///< The request has been counted as demand.
    bool isCountedAsWork_ = false;
    /// Its account has been charged, and does not get the charge back: the request may have run, or
    /// the balancer that counted it was lost.
    bool isCounted_ = false;
    bool hasCheckedLimit_ = false;
    bool needsFinish_ = false; ///< The stream is whole, and its end has not been written yet.
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FORWARDERRUN_H
