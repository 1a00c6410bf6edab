// One request on its way, alive in the server's coroutine for as long as the request.
//
// It goes round placing, dispatch and relay until one of them settles the request.
//
// A stream's head goes out with its first whole event and not before: until then
// nothing has been given to the caller, and a dispatch that breaks can still be
// followed by another where the route allows it.
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
#include "gateway/chooser.h"
#include "gateway/forwarder.h"

namespace figrack::gateway {

/// How long endpoints that rejected a request are left out of its next choices; doubles.
constexpr auto firstAvoidPause = std::chrono::milliseconds { 125 };

class Forwarder::Run
{
public:
    Run(Forwarder &owner, const http::Request &request, http::Responder &responder);
    ~Run() { finishWaiting(); }
    Run(const Run &) = delete;
    auto operator=(const Run &) -> Run & = delete;

    auto execute() -> boost::asio::awaitable<void>;

private:
    /// How one dispatch, or the wait for one, came out.
    enum class Step : std::uint8_t {
        Settled, ///< The request has its end.
        NotRun,  ///< Certainly not run there.
        Broken,  ///< It may have run there.
    };

    // ---- admission (forwarderadmission.cpp)

    /// Right after the start: waits for the first document.
    auto awaitDocument() -> boost::asio::awaitable<void>;
    /// @return the refusal of a request that cannot be carried at all
    auto prepare() -> std::optional<Refusal>;
    /// Finds the account of the caller's key. @return the refusal of a caller that has none
    auto identify() -> std::optional<Refusal>;
    auto rank() const -> std::uint32_t;
    /// @return what the request takes of its account's limit; nullopt: nothing
    auto charge() const -> std::optional<catalogue::AccountCharge>;
    /// A request that waits for a model must not have it loaded when its account has no room.
    /// @return true when it was refused
    auto refuseOverLimit() -> boost::asio::awaitable<bool>;
    auto overLimitError() const -> absl::Status;
    auto makeWish() -> void;
    auto verdict() const -> policy::Verdict;
    /// @return why the request may not run, and sets when to come back; nullopt: it may
    auto quarantineRefusal() -> std::optional<absl::Status>;
    auto quarantinedError(std::uint32_t ends) const -> absl::Status;

    // ---- placing (forwarderplacing.cpp)

    /// Waits for an endpoint that can take the request.
    /// @return nullptr when the request has been settled instead
    auto place() -> boost::asio::awaitable<EndpointEntry *>;
    static auto lackError(Lack lack) -> absl::Status;
    /// Looks for an endpoint; it is in picked_ then, and known. @return what lacks
    auto pick() -> boost::asio::awaitable<Lack>;
    /// Waits as long as the balancer asked for, less when the request has not so much time.
    auto hold() -> boost::asio::awaitable<void>;
    /// @return how long to wait before asking for a place again; empty when a request that began
    /// after that would be late
    auto patienceForPlace(Lack lack) -> std::optional<Duration>;
    /// @return how long to wait before looking again; empty when waiting is of no use
    auto patienceFor(Lack lack) -> std::optional<Duration>;
    /// @return when what is lacking will be there; empty when waiting is of no use
    auto readyAt(Lack lack) -> std::optional<Instant>;
    /// @return how long a load of what is lacking takes; empty when no load would help
    auto expectedLoad(Lack lack) -> std::optional<Duration>;
    auto avoid(const EndpointId &id) -> void;
    /// What rejected the request a while ago may take it now. Each time it waits longer, so that an
    /// endpoint that rejects all gets few of its requests.
    auto forgiveRejections() -> void;
    /// Once: the request is demand for its model.
    auto noteDemand() -> void;
    auto beginWaiting() -> void;
    auto finishWaiting() -> void;

    // ---- dispatch (forwarderdispatch.cpp)

    /// After a dispatch that brought no end. @return true when another may follow
    auto mayGoOn(Step step) -> boost::asio::awaitable<bool>;
    /// After a dispatch that broke off. @return true when the work has cost endpoints enough
    auto endsTooMany() -> boost::asio::awaitable<bool>;
    auto takeRepeat() -> bool;
    auto dispatch(EndpointEntry &entry) -> boost::asio::awaitable<Step>;
    /// @return whether the endpoint kept the route's targets, as far as this dispatch shows it
    auto outcomeOf(bool hasStarted) const -> proto::PickOutcome;
    auto makeDispatch(const EndpointEntry &entry) -> http::ClientRequest;
    auto exchange(http::ClientRequest out, Duration left, const EndpointId &id)
            -> boost::asio::awaitable<Step>;
    /// Whatever the endpoint answered, it may have said something of itself.
    auto noteNotice(const EndpointId &id, const catalogue::EndpointNotice &notice) -> void;
    auto noteRejection(const EndpointId &id, const catalogue::EndpointNotice &notice) -> void;
    auto noteFailure(const EndpointId &id, const absl::Status &status, bool reached) -> void;
    /// The dispatch broke off. What an endpoint was doing as it ended is noted: the next gateway
    /// that the request comes to knows nothing of this one's failure.
    auto noteBroken(const EndpointId &id, const absl::Status &status, bool hasBegun) -> void;
    auto noteCompleted() -> void;
    /// Reads a small answer to its end, so that its connection can be kept.
    auto discard(http::ClientStream &stream) -> boost::asio::awaitable<void>;

    // ---- relay (forwarderrelay.cpp)

    auto relayWhole(http::ClientStream &stream) -> boost::asio::awaitable<Step>;
    /// One more dispatch after an endpoint's own failure; that failure is the answer when the
    /// repeat brings none.
    auto repeatFault(http::Response failure) -> boost::asio::awaitable<Step>;
    auto sendWhole(http::Response answer) -> boost::asio::awaitable<Step>;
    auto relayStream(http::ClientStream &stream) -> boost::asio::awaitable<Step>;
    /// @return a step when the request has come to its end
    auto giveEvents(const std::vector<endpoint::SseEvent> &events, http::ClientStream &stream)
            -> boost::asio::awaitable<std::optional<Step>>;
    auto noteEvents() -> void;
    /// Tells the leader, once, of a stream that its endpoint did not serve in time.
    auto noteLateness(Instant now) -> void;
    /// Sends the head of a stream, once. @return false when the caller is gone
    auto begin(http::ClientStream &stream) -> boost::asio::awaitable<bool>;

    // ---- the whole of it, and its end (forwarder.cpp)

    auto carry() -> boost::asio::awaitable<void>;
    auto timeLeft() const -> Duration;
    auto onCallerGone() -> void;
    /// Nothing more is tried: says so at once, or cuts a stream that has begun.
    auto giveUp(absl::Status status) -> boost::asio::awaitable<void>;
    auto refuse(Refusal refusal) -> boost::asio::awaitable<void>;
    auto report() -> void;

    Forwarder &owner_;
    ForwarderParts &parts_;
    const http::Request &request_;
    http::Responder &responder_;
    const Instant arrived_;
    Instant deadline_;                                        ///< Nothing is waited for beyond it.
    Instant startBy_;                                         ///< Nor an endpoint beyond this.
    std::shared_ptr<const catalogue::RouteTable> routes_;     ///< In force when the request came.
    std::shared_ptr<const catalogue::AccountTable> accounts_; ///< The same.
    CallerRequest caller_;
    const catalogue::Account *account_ = nullptr; ///< Of the caller's key; null: nobody's.
    const catalogue::Route *route_ = nullptr;
    const catalogue::EngineSpec *engine_ = nullptr; ///< Null for a plain service.
    ServiceId service_;
    DemandTarget target_; ///< Empty model: none.
    Wish wish_;
    catalogue::WorkIds works_;                   ///< None before the request was read.
    std::shared_ptr<http::Canceller> canceller_; ///< Of the dispatch under way.
    std::string lastEvent_;
    EndpointId endpoint_; ///< Of the latest dispatch.
    Picked picked_;       ///< The latest; its booking ends with the dispatch.
    BootTimer holdTimer_;
    Duration held_ {}; ///< For the sake of the streams at its endpoints.
    std::uint32_t status_ = 0;
    std::uint32_t finalStatus_ = 0;
    std::uint32_t sent_ = 0;   ///< Dispatches of which bytes left.
    std::uint32_t ran_ = 0;    ///< Those that may have run.
    std::uint32_t unsent_ = 0; ///< Those of which none left.
    Duration avoidPause_ = firstAvoidPause;
    Instant avoidUntil_ {};
    Instant backoffUntil_ {}; ///< The first to end, of those that could take it.
    std::optional<Duration> comeBack_;
    Instant sentAt_ {}; ///< The latest dispatch.
    std::optional<Instant> firstByteAt_;
    std::optional<Instant> lastEventAt_;
    Duration longestGap_ {}; ///< Between events of a stream.
    absl::Status lastError_ = makeError(ErrorKind::NoCapacity, "endpoint");
    Lack lack_ = Lack::Nothing;
    Ending ending_ = Ending::Refused;
    bool waiting_ = false;
    bool callerGone_ = false;
    bool mayHaveRun_ = false;
    bool budgetSpent_ = false;
    bool lateTold_ = false;  ///< To the leader.
    bool isDemand_ = false;  ///< Told to the leader.
    bool isCounted_ = false; ///< It may have run, and its account was charged.
    bool hasAskedRoom_ = false;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FORWARDERRUN_H
