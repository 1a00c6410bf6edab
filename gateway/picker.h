// Which of the endpoints that can take a request it goes to.
//
//   auto picked = co_await picker.pick(able, wish, terms);
//   if (auto *entry = view.find(picked.endpoint)) ...     // may have changed meanwhile
//   // the booking ends with picked.booking
//
// A balancer (fleet/balancer.h) knows what all gateways have sent where and is
// asked first. When none can be asked, or it does not answer in time, the gateway
// chooses by its own knowledge: a request never waits longer than askTimeout, and
// never fails, for the balancer's sake. Only what must be counted over all gateways
// is asked of a second one, and refused beyond this gateway's own part: requests of
// accounts with a limit (gateway/loneadmission.h), and those that only endpoints can
// take that named a rate (gateway/lonerates.h). Not thread-safe.

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
#include "gateway/loneadmission.h"
#include "gateway/lonerates.h"
#include "gateway/metrics.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct PickerOptions
{
    /// A balancer answers within 2 to 6 ms; longer than this costs a request more than a worse
    /// choice does.
    Duration askTimeout = std::chrono::milliseconds { 40 };
    /// No advice holds a request back for longer; as much as a balancer asks for at most.
    Duration longestHold = std::chrono::milliseconds { 500 };
    /// Candidates that a balancer is told at most; more add to its work and little to the choice.
    std::size_t maxCandidates = 16;
    LoneAdmissionOptions lone;
};

/// How a balancer is reached; empty functions: there is none.
struct BalancerLink
{
    using Done = std::function<void(std::optional<proto::PickReply>)>;
    /// Asks a balancer. @return its address, or nothing (and done is dropped) when none is
    /// connected
    std::function<std::optional<Address>(proto::PickRequest, Duration timeout, Done done)> ask;
    /// Tells a balancer of a choice that was made without it. @return as above
    std::function<std::optional<Address>(proto::PickRequest)> tell;
    std::function<void(const Address &balancer, proto::PickEnd)> end;
};

/// A request's place in a balancer's account; ends with this object.
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
    /// @param start from the request's sending to its first event; zero when there was none
    /// @param mayHaveRun otherwise its account gets its charge back
    auto end(Duration start = {}, proto::PickOutcome outcome = proto::PickOutcome::Unknown,
             bool mayHaveRun = false) -> void;

private:
    OnEnd onEnd_; ///< Empty: nothing is booked.
    std::uint64_t ticket_ = 0;
};

/// Who chose an endpoint.
enum class PickedBy : std::uint8_t {
    Nobody,   ///< There was only one, or none yet.
    Balancer, ///< It knows what all gateways have sent where.
    Gateway,  ///< By its own knowledge: no balancer answered in time.
};

/// @return "nobody", "balancer" or "gateway"
auto pickedByName(PickedBy by) -> std::string_view;

struct Picked
{
    EndpointId endpoint;
    Booking booking;
    PickedBy by = PickedBy::Nobody;
    std::uint32_t startMs = 0; ///< Until the prompt is read there, by the balancer's account.
    std::uint32_t running = 0; ///< Requests there, by the same.
    Duration hold {};          ///< To be waited before the dispatch, for the streams there.
    EndpointId fetchFrom;      ///< Keeps more of the prompt; empty: none does.
    /// It may go to none of the endpoints now, and when it may; then endpoint is empty.
    std::optional<Duration> comeBack;
    Lack lack = Lack::Nothing; ///< With comeBack: why.
};

/// What a request puts on an endpoint.
struct PickTerms
{
    std::uint64_t model = 0; ///< Hash of service and model; 0: none.
    std::vector<proto::PromptSpan> shared;
    std::uint64_t ownTokens = 0;
    std::uint64_t outputTokens = 0;
    double fetchTokensPerMs = 0; ///< Between two endpoints; 0: not possible.
    Duration left {};            ///< Until nobody waits for the request any more.
    std::uint32_t places = 0;    ///< Requests that an engine runs at once; 0: a plain service.
    std::uint32_t rank = 0;      ///< 0 is the most urgent.
    bool hasBegun = false;       ///< Part of its answer was given: it goes on, or is cut off.
    Duration startTarget {};     ///< Zero: none.
    Duration gapTarget {};       ///< Zero: none.
    catalogue::WorkIds works;    ///< Suspected work runs one at a time.
    /// Of an account with a limit; absent: none, or the request was counted before.
    std::optional<catalogue::AccountCharge> charge;
};

/// @return what the caller's request puts on an endpoint
auto pickTerms(const ServiceId &service, const CallerRequest &request, Duration left) -> PickTerms;

class Picker
{
public:
    Picker(PickerOptions options, BalancerLink link, Metrics &metrics, Random &random,
           const Clock &clock);
    /// @param gateways how many there are, this one included; at least 1
    auto setGateways(std::uint32_t gateways) -> void { loneRates_.setGateways(gateways); }
    /// @param able one endpoint at least
    auto pick(const std::vector<EndpointEntry *> &able, const Wish &wish, const PickTerms &terms)
            -> boost::asio::awaitable<Picked>;
    /// Asks whether an account has room for a charge, and counts nothing.
    /// @return when it will have; nullopt: it has, or nobody could say
    auto roomIn(catalogue::AccountCharge charge, const catalogue::WorkIds &works)
            -> boost::asio::awaitable<std::optional<Duration>>;

private:
    /// A balancer's answer to one request.
    struct Answer
    {
        std::optional<proto::PickReply> advice; ///< Nothing: none came in time.
        std::optional<Address> balancer;        ///< That was asked last.
        std::uint64_t ticket = 0;
    };
    /// What this gateway would choose by itself.
    struct OwnChoice
    {
        EndpointId endpoint;
        std::optional<double> ratePerSecond; ///< That the endpoint takes; absent: any.
    };
    static auto requestOf(const PickTerms &terms) -> proto::PickRequest;
    /// @return what the candidates ever named, so that a question stays bounded
    auto ratesOf(const std::vector<EndpointEntry *> &able,
                 const std::vector<EndpointId> &candidates) const
            -> std::vector<proto::CandidateRate>;
    auto chooseAlone(const std::vector<EndpointEntry *> &able, const Wish &wish) -> OwnChoice;
    /// No balancer chose: the gateway's own choice is taken, if its rate allows it.
    auto followOwn(const OwnChoice &own, Picked &picked) -> void;
    auto askOneOrTwo(proto::PickRequest request, bool mustBeCounted)
            -> boost::asio::awaitable<Answer>;
    auto bookingAt(const Address &balancer, std::uint64_t ticket) const -> Booking;
    auto admitAlone(const catalogue::AccountCharge &charge, Picked &picked) -> bool;
    auto noteCounted(const catalogue::AccountCharge &charge, const proto::PickReply &advice)
            -> void;
    auto follow(const proto::PickReply &advice, Picked &picked) const -> void;
    auto candidatesOf(const std::vector<EndpointEntry *> &able, const EndpointId &local)
            -> std::vector<EndpointId>;
    auto ask(proto::PickRequest request, std::optional<Address> &balancer)
            -> boost::asio::awaitable<std::optional<proto::PickReply>>;

    PickerOptions options_;
    std::shared_ptr<const BalancerLink> link_;
    Metrics &metrics_;
    Random &random_;
    const Clock &clock_;
    LoneRates loneRates_;
    std::shared_ptr<LoneAdmission> lone_; ///< Shared with bookings, which may end later.
    std::uint64_t lastTicket_ = 0;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_PICKER_H
