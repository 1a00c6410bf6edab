// Which endpoint each request of all gateways should go to.
//
//   auto balancer = Balancer { options, clock, random };
//   const auto reply = balancer.pick(gateway, request);   // books it there
//   balancer.onEnd(gateway, end);
//
// A gateway of a large fleet sends an endpoint one request in a hundred, and
// hears of the others' a second late; prompts that meet at one endpoint make its
// streams pause. One process that books every request knows at each moment how
// much each endpoint still has to read. What it knows is soft: a balancer that
// begins anew, or hears of a part of the requests only, picks less well and
// nothing else. Gateways check and may overrule every pick.
//
// The cost of a candidate, in milliseconds: the time until the request's own
// prompt is read there; what that reading does to the streams beside it; what
// others' reading will do to a long stream.
//
// Prompts that an endpoint reads one after another are paced: after a run of
// reading as long as a stream bears, the next prompt is held back by its gateway
// for a rest in which every stream gets its next tokens. Behind the others it
// would have waited anyhow, so a hold costs it the rests alone.
//
// An endpoint that names the rate of requests that it takes gets no more, whoever asks
// and whatever has begun elsewhere. Gateways tell with each question what they have heard,
// so that a balancer that takes another's place knows it with the first.
//
// Pure but for the clock and the draw among equals. Not thread-safe.

#ifndef FIGRACK_FLEET_BALANCER_H
#define FIGRACK_FLEET_BALANCER_H

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "fleet/admission.h"
#include "policy/ratelimiter.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct BalancerOptions
{
    /// Prompt tokens that an engine reads in a millisecond, with the steps of its batch around
    /// them.
    double tokensPerMs = 28;
    /// Time from a request's sending to its first event that no prompt takes: the engine's first
    /// steps and the way there.
    Duration startOverhead = std::chrono::milliseconds { 45 };
    /// Part of a newly seen reading speed that goes into the one that is expected.
    double learning = 0.15;
    /// Prompts that are read faster than this tell little of the speed.
    Duration tellingRead = std::chrono::milliseconds { 30 };
    /// Bounds of what is learned, as multiples of the usual reading time: small models read faster,
    /// endpoints that turn slow take much longer.
    double fastest = 0.2;
    double slowest = 8;
    /// Time an engine takes for one token of each stream in its batch, when it reads nothing.
    double msPerToken = 6;
    /// Reading that a stream beside it bears without a noticeable pause, where streams have no
    /// target for their pauses.
    Duration bearable = std::chrono::milliseconds { 300 };
    /// The same, as a part of the target.
    double bearablePart = 0.6;
    /// Between two runs of reading: in it each stream gets its next event, of nine tokens at most.
    Duration rest = std::chrono::milliseconds { 60 };
    /// A prompt is held back for this long at most, and for no longer than this part of its own
    /// start target. Where it would have to be, it finds no room: held for longer, or sent without
    /// a rest, prompts make each other and all streams there late.
    Duration longestHold = std::chrono::milliseconds { 500 };
    double longestHoldPart = 0.1;
    /// A prompt that is read faster than this goes where there is a place, however much is to be
    /// read there: as long as a rest, it costs the streams one event at most.
    Duration shortRead = std::chrono::milliseconds { 50 };
    /// What each running request loses by a millisecond of reading beyond what is bearable,
    /// compared with a millisecond that the new request waits.
    double pauseWeight = 0.3;
    /// What a millisecond of generating loses at an endpoint that reads all the time.
    double exposureWeight = 0.5;
    /// Longest time of generating that is foreseen: what comes later is not known.
    Duration foreseen = std::chrono::seconds { 4 };
    /// A running request costs a new one so much: all streams of a batch share its steps.
    double msPerRunning = 2;
    /// Over which an endpoint's reading is averaged.
    Duration readWindow = std::chrono::seconds { 4 };
    /// Beginnings of prompts that an endpoint is taken to keep, in tokens; running requests take
    /// the rest of its cache.
    std::uint64_t keptTokens = 100'000;
    /// Less than this is read again rather than fetched from another endpoint's cache: some 20 ms.
    std::uint64_t worthFetching = 500;
    /// A fetch takes so much beside its tokens: to the other endpoint and back.
    Duration fetchOverhead = std::chrono::milliseconds { 5 };
    PlaceLimitOptions places;
    /// Retry-After of the first request that finds no room. Those that follow it are told later and
    /// later, one place apart, so that they do not come back together.
    Duration soonestReturn = std::chrono::milliseconds { 500 };
    Duration latestReturn = std::chrono::milliseconds { 4000 };
    /// What a place is expected to be taken for before any end was seen.
    Duration usualStay = std::chrono::milliseconds { 1500 };
    /// An endpoint that nothing was booked at for so long is forgotten.
    Duration forgetAfter = std::chrono::seconds { 60 };
};

class Balancer
{
public:
    Balancer(BalancerOptions options, const Clock &clock, Random &random);
    /// @param gateway that asks @param request with one candidate at least
    /// @return the candidate that costs least, and why; none when there is no candidate, or none
    /// has room for the request: then with the time to come back
    auto pick(const NodeId &gateway, const proto::PickRequest &request) -> proto::PickReply;
    auto onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void;
    /// The gateway's bookings end: it is gone, and its requests with it.
    auto onGatewayLost(const NodeId &gateway) -> void;
    /// @return requests that are booked at the endpoint
    auto runningAt(const EndpointId &id) const -> std::uint32_t;
    /// @return requests that are booked
    auto booked() const -> std::size_t { return bookings_.size(); }

private:
    struct Endpoint
    {
        explicit Endpoint(const PlaceLimitOptions &places)
            : limit(places)
        { }
        PlaceLimit limit;
        policy::RateLimiter rate; ///< What it named, and what it was sent of late.
        Instant readUntil {};     ///< When all booked prompts will have been read.
        Instant readSince {};     ///< Begin of the last run of reading without a rest.
        double reading = 0;       ///< Milliseconds of reading, decayed to averagedAt.
        Instant averagedAt {};
        std::uint32_t running = 0;          ///< Booked and not ended.
        std::deque<proto::PromptSpan> kept; ///< Most recently used last.
        std::uint64_t keptTokens = 0;
    };
    struct Booking
    {
        EndpointId endpoint;
        std::uint64_t model = 0;
        Duration usualRead {}; ///< Of its prompt, by tokensPerMs alone.
        bool isAlone = false;  ///< No other prompt was to be read before it.
        Instant bookedAt {};
        Instant expiresAt {};
    };
    using BookingKey = std::pair<NodeId, std::uint64_t>;

    /// When a prompt would be read.
    struct Slot
    {
        Instant runBegin {}; ///< Of the run of reading that it belongs to; not sent before.
        Instant begin {};
        Instant end {};
    };
    auto slotFor(const Endpoint &endpoint, const proto::PickRequest &request) const -> Slot;
    /// @return what the endpoint needs to read, or fetch, of the request's prompt
    auto readTime(const Endpoint &endpoint, const proto::PickRequest &request) const -> Duration;
    auto isReadBehind(const Endpoint &endpoint, const proto::PickRequest &request) const -> bool;
    /// @return reading that the streams of the request's kind bear
    auto bearableFor(const proto::PickRequest &request) const -> Duration;
    auto longestHoldFor(const proto::PickRequest &request) const -> Duration;
    auto usualRead(std::uint64_t tokens) const -> Duration;
    /// @return the reading time of the model as a multiple of the usual one
    auto paceOf(std::uint64_t model) const -> double;
    auto learnPace(const Booking &booking, Duration start) -> void;
    auto learnRoom(const Booking &booking, proto::PickOutcome outcome) -> void;
    auto costAt(const Endpoint &endpoint, const proto::PickRequest &request) const -> double;
    /// What of a prompt an endpoint has to get, and how.
    struct Missing
    {
        std::uint64_t toRead = 0;
        std::uint64_t toFetch = 0;
        EndpointId from; ///< Empty: nothing is fetched.
    };
    auto missing(const Endpoint &endpoint, const proto::PickRequest &request) const -> Missing;
    static auto keeps(const Endpoint &endpoint, std::uint64_t key) -> bool;
    /// @return the endpoint that was last seen to keep the span and has read it; nullptr: none
    auto keeperOf(std::uint64_t key) const -> const EndpointId *;
    /// @return the part of its time, from 0 on, that the endpoint has been reading of late
    auto readShare(const Endpoint &endpoint) const -> double;
    auto book(const NodeId &gateway, const proto::PickRequest &request, const EndpointId &id)
            -> proto::PickReply;
    auto keep(const EndpointId &id, const std::vector<proto::PromptSpan> &spans) -> void;
    auto release(const EndpointId &id) -> void;
    auto endpointOf(const EndpointId &id) -> Endpoint &;
    auto hasRoom(Endpoint &endpoint, const proto::PickRequest &request) -> bool;
    auto learnRates(const proto::PickRequest &request) -> void;
    /// @return true when each candidate has been sent all that it takes
    auto areRatesUsed(const proto::PickRequest &request) const -> bool;
    auto turnAway(const proto::PickRequest &request) -> proto::PickReply;
    /// To the candidate that takes another request first.
    auto turnAwayForRate(const proto::PickRequest &request) -> proto::PickReply;
    auto expire() -> void;

    BalancerOptions options_;
    const Clock &clock_;
    Random &random_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<BookingKey, Booking> bookings_;
    std::map<std::uint64_t, double> paces_;    ///< By model; learned.
    std::map<std::uint64_t, Instant> returns_; ///< By model: when the last refused one comes back.
    double stayMs_;                            ///< How long a request takes a place, averaged.
    std::unordered_map<std::uint64_t, EndpointId> lastKeepers_; ///< By the key of a span.
    Instant nextExpiry_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_BALANCER_H
