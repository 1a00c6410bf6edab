// Picks an endpoint for each request, for all gateways.
//
//   auto balancer = Balancer { options, clock, random };
//   const auto reply = balancer.pick(gateway, request);   // also books the request there
//   balancer.onEnd(gateway, end);
//
// In a large fleet, a single gateway sends an endpoint one request in a hundred
// and learns about the others' requests a second late. Prompts that arrive at one
// endpoint at the same time make its streams pause. A single process that books
// every request knows at any moment how many prompt tokens each endpoint still
// has to read. This is soft state: a balancer that restarts, or that sees only
// some of the requests, picks less well but never wrongly. Gateways check every
// pick and may overrule it.
//
// "Reading" a prompt means prefill: computing the attention cache of its tokens.
//
// The cost of a candidate, in milliseconds, is the sum of the time until the
// request's own prompt is read there, the delay that this reading causes to the
// endpoint's other streams, and the delay that later prompts will cause to a long
// stream.
//
// Prompts that an endpoint reads one after another are spaced out. After a run of
// reading as long as streams tolerate, the gateway holds the next prompt back for
// a decode interval, in which every stream gets its next tokens. The prompt would
// have waited behind the others anyway, so the hold delays it only by the decode
// intervals.
//
// An endpoint that advertises a request rate is sent no more than that, whichever
// gateway asks and even if the request has already started elsewhere. Gateways
// include the rates they know in each request, so a balancer that takes over from
// another one learns them from the first request.
//
// Requests with isOrdered that find no slot wait in a PlaceQueue (fleet/placequeue.h).
// Slots are offered to them when a request ends, when a gateway is lost, and by
// recheckWaiting(), which the owner calls at intervals while requests wait:
//
//   for (auto &grant : balancer.queue().takeGrants()) ...   // after each call
//
// For ordered requests (proto::PickRequest::isOrdered), two more things are learned.
// Endpoints that read slowly get fewer of them (fleet/endpointspeed.h), and while
// requests find no place, those of accounts that got more than their share leave
// places to the others (policy/fairshare.h). All other requests are neither placed
// by this nor learned from for it.
//
// Deterministic except for the clock and the random choice among equal candidates.
// Not thread-safe.

#ifndef FIGRACK_FLEET_BALANCER_H
#define FIGRACK_FLEET_BALANCER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "fleet/admission.h"
#include "fleet/endpointspeed.h"
#include "fleet/placequeue.h"
#include "policy/fairshare.h"
#include "policy/ratelimiter.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct BalancerOptions
{
    /// Prompt tokens that an engine reads per millisecond, including the decode steps in between.
    double tokensPerMs = 28;
    /// Time from sending a request to its first event that does not depend on the prompt: the
    /// engine's first steps and the network delay.
    Duration startOverhead = std::chrono::milliseconds { 45 };
    /// Weight of a new sample in the moving averages.
    double learningRate = 0.15;
    /// Shorter expected reading times are too imprecise to learn the reading speed from.
    Duration minInformativeRead = std::chrono::milliseconds { 30 };
    /// Bounds of the learned factor on the usual reading time. Small models read faster; endpoints
    /// that become slow take much longer.
    double minReadFactor = 0.2;
    double maxReadFactor = 8;
    /// Time an engine takes for one token of each stream in its batch when it reads no prompt.
    double msPerToken = 6;
    /// Longest run of reading that causes no noticeable pause in the other streams, where the
    /// request has no target for pauses.
    Duration maxReadRun = std::chrono::milliseconds { 300 };
    /// The same, as a fraction of the target for pauses.
    double maxReadRunShare = 0.6;
    /// Time between two runs of reading. In it each stream gets its next event, of at most nine
    /// tokens.
    Duration decodeInterval = std::chrono::milliseconds { 60 };
    /// A prompt is held back for at most this time, and at most this fraction of its own start
    /// target. If a longer hold would be needed, the endpoint has no room for it: prompts that are
    /// held longer, or sent without a decode interval, delay each other and all streams there.
    Duration longestHold = std::chrono::milliseconds { 500 };
    double longestHoldPart = 0.1;
    /// A prompt with a shorter reading time is sent wherever the endpoint accepts requests,
    /// however much is to be read there: it takes no longer than a decode interval and delays the
    /// streams by one event at most.
    Duration shortRead = std::chrono::milliseconds { 50 };
    /// Cost to each running request of a millisecond of reading beyond the tolerated run, relative
    /// to a millisecond that the new request waits.
    double pauseWeight = 0.3;
    /// Cost of a millisecond of generation at an endpoint that reads prompts all the time.
    double exposureWeight = 0.5;
    /// Longest generation time that is taken into account; later load is unknown.
    Duration generationHorizon = std::chrono::seconds { 4 };
    /// Cost of each running request to a new one: all streams of a batch share its steps.
    double msPerRunning = 2;
    /// Averaging window of an endpoint's reading time.
    Duration readWindow = std::chrono::seconds { 4 };
    /// Tokens of prompt prefixes that an endpoint is assumed to keep cached; running requests use
    /// the rest of its cache.
    std::uint64_t cachedTokens = 100'000;
    /// Fewer tokens are read again instead of fetched from another endpoint's cache: about 20 ms.
    std::uint64_t minFetchTokens = 500;
    /// Time of a fetch in addition to its tokens: the round trip to the other endpoint.
    Duration fetchOverhead = std::chrono::milliseconds { 5 };
    ConcurrencyLimitOptions places;
    /// Retry-After of the first request that finds no room. Later ones get increasing values, one
    /// place apart, so that their callers do not retry at the same time.
    Duration minRetryAfter = std::chrono::milliseconds { 500 };
    Duration maxRetryAfter = std::chrono::milliseconds { 4000 };
    /// Expected time that a request occupies a place, until the first one has ended.
    Duration initialOccupancy = std::chrono::milliseconds { 1500 };
    /// Requests that a plain service's endpoint is sent, as a multiple of its slots. Those beyond
    /// its slots wait there for less than the time of a request, and keep it busy while an end is
    /// reported and the next request is on its way. More for those that return at the time they
    /// were told.
    double plainLimit = 2;
    double plainLimitForReturned = 2.5;
    /// Longest hold of a prompt that may wait for a slot here instead, so that a request with much
    /// time does not fill the endpoint's reading before one with little time arrives: a decode
    /// interval, and time to find the room while the prompt before it is still read.
    Duration longestOrderedHold = std::chrono::milliseconds { 100 };
    PlaceQueueOptions queue {};
    /// Endpoints without a booking for this time are forgotten.
    Duration forgetAfter = std::chrono::seconds { 60 };
    /// Speeds of endpoints, for ordered requests (proto::PickRequest::isOrdered) only.
    EndpointSpeedOptions speeds {};
    /// An endpoint's speed is logged at most once in this interval, so that factors which move
    /// around a threshold do not fill the log.
    Duration speedLogInterval = std::chrono::seconds { 5 };
    /// Shares of accounts, for ordered requests only.
    policy::FairShareOptions shares {};
    /// There is contention for this time after a request was refused for want of a place. Endpoints
    /// evaluate their limits as often.
    Duration contentionTime = std::chrono::milliseconds { 500 };
    /// While there is contention, accounts over their share use an endpoint up to this fraction of
    /// its learned limit; the rest is left to the others.
    double overShareLimit = 0.8;
};

/// What operators see of the picks for ordered requests.
struct BalancerStatus
{
    /// Endpoints by the class of their speed, indexed by SpeedClass.
    std::array<std::size_t, speedClassNames.size()> endpointsBySpeed {};
    std::size_t accountsOverShare = 0;
    /// Requests of accounts with limits that got a place since the start.
    std::uint64_t grantsWithinShare = 0;
    std::uint64_t grantsOverShare = 0;
};

class Balancer
{
public:
    Balancer(BalancerOptions options, const Clock &clock, Random &random);
    /// @param gateway the gateway that asks
    /// @param request the request, with its candidate endpoints
    /// @return the candidate with the lowest cost, and the details of the pick; no endpoint when
    /// there are no candidates, or none has room, in which case the reply has the time to retry, or
    /// says that the request is queued
    auto pick(const NodeId &gateway, const proto::PickRequest &request) -> proto::PickReply;
    /// Ends a booking, or the wait of a queued request.
    auto onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void;
    /// Ends the bookings of a gateway that is gone, together with its requests.
    auto onGatewayLost(const NodeId &gateway) -> void;
    /// Refuses the queued requests that cannot be served in time any more, and offers slots to the
    /// others. Prompts that are being read and bookings that expire free slots without an event.
    auto recheckWaiting() -> void;
    auto queue() -> PlaceQueue & { return queue_; }
    /// @return the number of requests booked at the endpoint
    auto runningAt(const EndpointId &id) const -> std::uint32_t;
    /// @return the number of all booked requests
    auto booked() const -> std::size_t { return bookings_.size(); }
    /// @return the figures for the page of metrics
    auto status() const -> BalancerStatus;

private:
    struct Endpoint
    {
        explicit Endpoint(const ConcurrencyLimitOptions &places)
            : limit(places)
        { }
        ConcurrencyLimit limit;
        policy::RateLimiter rate; ///< The rate that the endpoint advertised, and its recent use.
        Instant readUntil {};     ///< When all booked prompts will have been read.
        Instant readSince {};     ///< Start of the last run of reading without a decode interval.
        double reading = 0;       ///< Milliseconds of reading, decayed to averagedAt.
        Instant averagedAt {};
        std::uint32_t running = 0;            ///< Requests that are booked and have not ended.
        double occupancyMs = 0;               ///< Average time of a request here; 0: not learned.
        std::deque<proto::PromptSpan> cached; ///< The most recently used span is last.
        std::uint64_t cachedTokens = 0;
        double speed = 1;       ///< From speeds_; updated when an ordered request is placed.
        double loggedSpeed = 1; ///< As last logged.
        Instant speedLoggedAt {};
    };
    struct Booking
    {
        EndpointId endpoint;
        std::uint64_t model = 0;
        Duration usualRead {}; ///< Reading time of its prompt, by tokensPerMs alone.
        bool isAlone = false;  ///< No other prompt had to be read before it.
        Instant bookedAt {};
        Instant expiresAt {};
        bool isOrdered = false;
        AccountId account; ///< Whose share it counts for; empty: nobody's.
        std::uint64_t cost = 0;
    };
    using BookingKey = std::pair<NodeId, std::uint64_t>;

    /// When a prompt would be read.
    struct Slot
    {
        Instant runBegin {}; ///< Start of its run of reading; the prompt is not sent earlier.
        Instant begin {};
        Instant end {};
    };
    auto slotFor(const Endpoint &endpoint, const proto::PickRequest &request) const -> Slot;
    /// @return the time the endpoint needs to read or fetch the request's prompt
    auto readTime(const Endpoint &endpoint, const proto::PickRequest &request) const -> Duration;
    auto exceedsReadQueue(const Endpoint &endpoint, const proto::PickRequest &request) const
            -> bool;
    /// @return the longest run of reading that streams of the request's kind tolerate
    auto maxReadRunFor(const proto::PickRequest &request) const -> Duration;
    auto longestHoldFor(const proto::PickRequest &request) const -> Duration;
    /// @return the longest hold with which the endpoint has room for the request
    auto admittedHoldFor(const proto::PickRequest &request) const -> Duration;
    auto usualRead(std::uint64_t tokens) const -> Duration;
    /// @return the request's reading time at the endpoint as a multiple of the usual one
    auto readFactorOf(const Endpoint &endpoint, const proto::PickRequest &request) const -> double;
    /// @return how much slower than others the endpoint is; 1 for requests that are not ordered
    static auto speedOf(const Endpoint &endpoint, const proto::PickRequest &request) -> double;
    auto decodeIntervalOf(const Endpoint &endpoint, const proto::PickRequest &request) const
            -> Duration;
    /// Looks up the endpoint's speed before an ordered request is placed, and logs changes.
    auto updateSpeed(const EndpointId &id, Endpoint &endpoint, const proto::PickRequest &request)
            -> void;
    auto learnReadFactor(const Booking &booking, Duration start) -> void;
    auto learnLimit(const Booking &booking, proto::PickOutcome outcome) -> void;
    auto costAt(const Endpoint &endpoint, const proto::PickRequest &request) const -> double;
    /// The tokens of a prompt that an endpoint does not have cached, and how it gets them.
    struct Missing
    {
        std::uint64_t toRead = 0;
        std::uint64_t toFetch = 0;
        EndpointId from; ///< Where toFetch is fetched from; empty: nothing is fetched.
    };
    auto missing(const Endpoint &endpoint, const proto::PickRequest &request) const -> Missing;
    static auto isCached(const Endpoint &endpoint, std::uint64_t key) -> bool;
    /// @return the endpoint that last had the span cached and has finished reading it; nullptr:
    /// none
    auto cachedAt(std::uint64_t key) const -> const EndpointId *;
    /// @return the fraction of its recent time that the endpoint spent reading, from 0 on
    auto readShare(const Endpoint &endpoint) const -> double;
    auto book(const NodeId &gateway, const proto::PickRequest &request, const EndpointId &id)
            -> proto::PickReply;
    auto recordCached(const EndpointId &id, const std::vector<proto::PromptSpan> &spans) -> void;
    /// Frees the place of a booking that is over.
    auto release(const Booking &booking) -> void;
    auto endpointOf(const EndpointId &id) -> Endpoint &;
    /// @return true when the request is of an account that shares are kept for
    static auto countsForShare(const proto::PickRequest &request) -> bool;
    /// Tells shares_ of the request, and logs the accounts that it reports.
    auto recordAsked(const proto::PickRequest &request) -> void;
    /// Counts a request that was booked for its account's share.
    auto recordGranted(const proto::PickRequest &request) -> void;
    /// Call when a request finds no place.
    auto noteContention(const proto::PickRequest &request) -> void;
    /// @return 0 for a request to an engine, 1 for one to a plain service
    static auto kindOf(const proto::PickRequest &request) -> std::size_t
    {
        return request.model == 0 ? 1 : 0;
    }
    /// @return true while ordered requests to the same kind of service find no place
    auto isContended(const proto::PickRequest &request) const -> bool;
    /// @return true when the request goes behind those of other accounts
    auto mustYield(const proto::PickRequest &request) const -> bool;
    /// Call when hasRoom() is true, which also sets up the endpoint's limit.
    /// @return true when the endpoint has room for a request that must yield
    auto hasRoomBesideOthers(const Endpoint &endpoint, const proto::PickRequest &request) const
            -> bool;
    /// @param isReturned the request has returned at the time that it was told
    auto hasRoom(Endpoint &endpoint, const proto::PickRequest &request, bool isReturned) -> bool;
    /// @return the candidate with the lowest cost among those that have room; nullptr: none
    auto bestOf(const proto::PickRequest &request, bool isReturned) -> const EndpointId *;
    auto learnRates(const proto::PickRequest &request) -> void;
    /// @return true when each candidate has been sent all requests that its rate allows
    auto areRatesUsed(const proto::PickRequest &request) const -> bool;
    auto refuseNoRoom(const proto::PickRequest &request) -> proto::PickReply;
    /// Refuses the request until the first candidate's rate allows another one.
    auto refuseRateUsed(const proto::PickRequest &request) -> proto::PickReply;
    auto expire() -> void;

    // Requests that may wait for a slot (balancerordered.cpp).
    auto pickOrdered(const NodeId &gateway, const proto::PickRequest &request) -> proto::PickReply;
    auto waitingPick(const NodeId &gateway, const proto::PickRequest &request) const -> WaitingPick;
    /// @return the time left in which the request must be granted a slot
    auto timeToLatestStart(const proto::PickRequest &request) const -> Duration;
    /// @return the time from the grant of a slot to the request's first event
    auto leadTime(const proto::PickRequest &request) const -> Duration;
    auto occupancyOf(const Endpoint &endpoint) const -> double;
    auto supplyFor(const proto::PickRequest &request) -> PlaceSupply;
    /// Offers slots to the queued requests. @param freed the endpoint with a free slot; nullptr:
    /// any
    auto grantPlaces(const EndpointId *freed) -> void;

    BalancerOptions options_;
    const Clock &clock_;
    Random &random_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<BookingKey, Booking> bookings_;
    std::map<std::uint64_t, double> readFactors_; ///< Learned, by model; not of ordered requests.
    EndpointSpeeds speeds_;                       ///< Learned from ordered requests.
    policy::FairShare shares_;                    ///< Of the accounts of ordered requests.
    /// By kind of service (kindOf): engines may be short of places while plain services are not.
    std::array<Instant, 2> contendedUntil_ {};
    std::uint64_t grantsWithinShare_ = 0;
    std::uint64_t grantsOverShare_ = 0;
    std::map<std::uint64_t, Instant>
            lastRetryAt_; ///< By model: the retry time given to the last refused request.
    double occupancyMs_;  ///< Average time that a request occupies a place.
    std::unordered_map<std::uint64_t, EndpointId> lastCachedAt_; ///< By the key of a span.
    Instant nextExpiry_ {};
    PlaceQueue queue_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_BALANCER_H
