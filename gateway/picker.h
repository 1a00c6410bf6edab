// Chooses which of the endpoints that can take a request receives it.
//
//   auto picked = co_await picker.pick(able, criteria, terms);
//   if (auto *entry = view.find(picked.endpoint)) ...     // the view may have changed meanwhile
//   // the booking ends with picked.booking
//
// The picker first asks a balancer (fleet/balancer.h), which knows what all gateways have sent to
// each endpoint. If no balancer is connected, or none answers in time, the gateway chooses by its
// own information: a request never waits longer than askTimeout for a balancer, and never fails
// because there is none. Two kinds of requests must be counted across all gateways: those of
// accounts with a limit (gateway/localadmission.h), and those for which only endpoints that named
// a rate are available (gateway/localrates.h). For these, a second balancer is asked if the first
// does not answer, and without an answer the gateway admits only its own part.
//
// An ordered request may be queued by the balancer (gateway/grantwaits.h):
//
//   if (picked.wait) { ... wait for its end ...; picker.settle(picked, defaultRetryAfter); }
//
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_PICKER_H
#define FIGRACK_GATEWAY_PICKER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/random.h"
#include "gateway/chooser.h"
#include "gateway/dialect.h"
#include "gateway/fleetview.h"
#include "gateway/grantwaits.h"
#include "gateway/localadmission.h"
#include "gateway/localrates.h"
#include "gateway/metrics.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct PickerOptions
{
    /// How long to wait for a balancer, which normally answers within 2 to 6 ms. Waiting longer
    /// costs a request more than a worse choice does.
    Duration askTimeout = std::chrono::milliseconds { 40 };
    /// Maximum time a request is delayed on the advice of a balancer. This is also the most a
    /// balancer asks for.
    Duration longestHold = std::chrono::milliseconds { 500 };
    /// Maximum number of candidates sent to a balancer. More candidates increase its work but
    /// hardly improve the choice.
    std::size_t maxCandidates = 16;
    LocalAdmissionOptions localAdmission;
};

/// Connection to a balancer. If the functions are empty, there is none.
struct BalancerLink
{
    using Done = std::function<void(std::optional<proto::PickReply>)>;
    /// Asks a balancer.
    /// @return its address, or nullopt if none is connected; then done is not called
    std::function<std::optional<Address>(proto::PickRequest, Duration timeout, Done done)> ask;
    /// Reports to a balancer a choice that was made without it.
    /// @return as for ask
    std::function<std::optional<Address>(proto::PickRequest)> tell;
    /// Tells the balancer that a booking has ended.
    std::function<void(const Address &balancer, proto::PickEnd)> end;
};

/// A request's entry in a balancer's record of running requests. It ends with this object.
class Booking
{
public:
    using OnEnd = std::function<void(const proto::PickEnd &)>;
    Booking() = default;
    /// @param onEnd called once, with the ticket
    Booking(OnEnd onEnd, std::uint64_t ticket);
    ~Booking();
    Booking(Booking &&other) noexcept;
    auto operator=(Booking &&other) noexcept -> Booking &;
    Booking(const Booking &) = delete;
    auto operator=(const Booking &) -> Booking & = delete;
    /// @param start time from sending the request to its first event; zero if there was none
    /// @param mayHaveRun if false, the charge is returned to the account
    auto end(Duration start = {}, proto::PickOutcome outcome = proto::PickOutcome::Unknown,
             bool mayHaveRun = false) -> void;

private:
    OnEnd onEnd_; ///< Empty if nothing is booked.
    std::uint64_t ticket_ = 0;
};

/// Who chose an endpoint.
enum class PickedBy : std::uint8_t {
    Nobody,   ///< There was only one candidate, or none has been chosen yet.
    Balancer, ///< A balancer, which knows what all gateways have sent to each endpoint.
    Gateway,  ///< This gateway, because no balancer answered in time.
};

/// @return "nobody", "balancer" or "gateway"
auto pickedByName(PickedBy by) -> std::string_view;

struct Picked
{
    EndpointId endpoint;
    Booking booking;
    PickedBy by = PickedBy::Nobody;
    std::uint32_t startMs = 0; ///< Balancer's estimate of the time until the prompt has been read.
    std::uint32_t running = 0; ///< Requests running at the endpoint, as counted by the balancer.
    Duration hold {};          ///< Delay before the dispatch, to protect the streams running there.
    EndpointId fetchFrom;      ///< Endpoint that caches more of the prompt; empty if none does.
    /// Set if the request may currently go to none of the endpoints: the time after which it may.
    /// Then endpoint is empty.
    std::optional<Duration> retryAfter;
    BlockedBy blockedBy = BlockedBy::Nothing; ///< The reason if retryAfter is set.
    /// Present if the balancer has queued the request. Then endpoint is empty until the wait has
    /// ended and Picker::settle() was called.
    std::optional<GrantWait> wait;
    std::vector<EndpointId> candidates; ///< Endpoints that a queued request may be granted.
    bool hasAllCandidates = false;      ///< Every endpoint that could take it is a candidate.
    /// Charge that the balancer has counted for a queued request.
    std::optional<catalogue::AccountCharge> queuedCharge;
    bool isNearLimit = false; ///< Of the balancer's reply to a queued request.
};

/// Terms of a request in a configuration that asks for ordered admission
/// (catalogue/contention.h). The balancer orders the requests of all gateways by them.
struct OrderedTerms
{
    Duration startWithin {};     ///< Time left until the request's first event is late.
    Duration waited {};          ///< Time since the request arrived here.
    AccountId account;           ///< Empty if the caller has none.
    std::uint64_t cost = 0;      ///< To the account, in its units.
    double accountPerSecond = 0; ///< Limit of the account; 0 if it has none.
};

/// The load that a request puts on an endpoint, and its constraints.
struct PickTerms
{
    std::uint64_t model = 0; ///< Hash of service and model; 0 if the request needs none.
    std::vector<proto::PromptSpan> shared;
    std::uint64_t ownTokens = 0;
    std::uint64_t outputTokens = 0;
    double fetchTokensPerMs = 0; ///< Rate of fetching cached prompt parts between two endpoints; 0
                                 ///< if that is not possible.
    Duration left {};            ///< Time until the caller stops waiting.
    std::uint32_t places = 0; ///< Requests that an engine runs concurrently; 0 for a plain service.
    std::uint32_t rank = 0;   ///< 0 is the most urgent.
    bool hasBegun
            = false; ///< An earlier dispatch was sent, so part of the answer may have been given.
    Duration startTarget {}; ///< Target time to the first event; zero if there is none.
    Duration gapTarget {};   ///< Target time between events; zero if there is none.
    /// Rate that a cold endpoint of the service accepts from all gateways together; 0: any.
    double coldPerSecond = 0;
    catalogue::WorkIds works; ///< For quarantine: suspected work runs one attempt at a time.
    std::vector<catalogue::WorkId> suspectedParts; ///< Parts of the prompt, likewise.
    /// Charge against an account with a limit; absent if there is none, or the request has been
    /// counted already.
    std::optional<catalogue::AccountCharge> charge;
    std::optional<OrderedTerms> ordered; ///< Absent if the request must not be queued.
};

/// @return the load that the caller's request puts on an endpoint
auto pickTerms(const ServiceId &service, const CallerRequest &request, Duration left) -> PickTerms;

class Picker
{
public:
    Picker(PickerOptions options, BalancerLink link, Metrics &metrics, Random &random,
           const Clock &clock);
    /// @param gateways number of gateways, including this one; at least 1
    auto setGateways(std::uint32_t gateways) -> void { localRates_.setGateways(gateways); }
    /// @param able endpoints that can take the request; must not be empty
    auto pick(const std::vector<EndpointEntry *> &able, const Criteria &criteria,
              const PickTerms &terms) -> boost::asio::awaitable<Picked>;
    /// Uses the answer that ended a wait.
    /// @param picked its wait was granted or refused
    /// @param defaultRetryAfter for a refusal that names no retry time
    auto settle(Picked &picked, Duration defaultRetryAfter) -> void;
    /// @return where answers for queued requests are passed to
    auto waits() -> GrantWaits & { return waits_; }
    /// Asks whether an account has room for a charge, without counting the charge.
    /// @return time until it has room; nullopt if it has room now, or no balancer answered
    auto roomIn(catalogue::AccountCharge charge, const catalogue::WorkIds &works)
            -> boost::asio::awaitable<std::optional<Duration>>;

private:
    /// A balancer's answer to one request.
    struct Answer
    {
        std::optional<proto::PickReply> advice; ///< Empty if no answer came in time.
        std::optional<Address> balancer;        ///< The balancer that was asked last.
        std::uint64_t ticket = 0;
        std::optional<GrantWait> wait; ///< Of an ordered request.
    };
    /// The endpoint that this gateway would choose by its own information.
    struct LocalChoice
    {
        EndpointId endpoint;
        /// Rate that the endpoint named; absent if it takes any rate.
        std::optional<double> ratePerSecond;
    };
    static auto requestOf(const PickTerms &terms) -> proto::PickRequest;
    /// @return the rates of the candidates that have had one; only candidates are listed, so that
    /// the size of a request to a balancer is bounded
    auto ratesOf(const std::vector<EndpointEntry *> &able,
                 const std::vector<EndpointId> &candidates, double coldPerSecond) const
            -> std::vector<proto::CandidateRate>;
    auto chooseLocally(const std::vector<EndpointEntry *> &able, const Criteria &criteria,
                       double coldPerSecond) -> LocalChoice;
    /// Uses the gateway's own choice if its rate allows it. Called when no balancer chose.
    auto applyLocalChoice(const LocalChoice &localChoice, Picked &picked) -> void;
    auto askWithRetry(proto::PickRequest request, bool mustBeCounted)
            -> boost::asio::awaitable<Answer>;
    auto bookingAt(const Address &balancer, std::uint64_t ticket) const -> Booking;
    auto admitLocally(const catalogue::AccountCharge &charge, Picked &picked) -> bool;
    auto noteCounted(const catalogue::AccountCharge &charge, const proto::PickReply &advice)
            -> void;
    auto applyAdvice(const proto::PickReply &advice, Picked &picked) const -> void;
    auto candidatesOf(const std::vector<EndpointEntry *> &able, const EndpointId &local)
            -> std::vector<EndpointId>;
    auto ask(proto::PickRequest request, Answer &answer)
            -> boost::asio::awaitable<std::optional<proto::PickReply>>;

    PickerOptions options_;
    std::shared_ptr<const BalancerLink> link_;
    Metrics &metrics_;
    Random &random_;
    const Clock &clock_;
    LocalRates localRates_;
    /// Shared with bookings, which may outlive the picker.
    std::shared_ptr<LocalAdmission> localAdmission_;
    GrantWaits waits_;
    std::uint64_t lastTicket_ = 0;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_PICKER_H
