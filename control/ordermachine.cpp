// A Boost.MSM state machine. The transition table has one row per state and event; the guards
// check what the event shows.
//
// The answers prove the following. Taken and Already: the order arrived, so it cannot arrive
// later. Refused and StaleFence: it arrived and was not carried out. NotSent: no byte was sent.
// After each of these only an *earlier* order for the replica may still arrive. Unknown proves
// nothing.

#include "control/ordermachine.h"

#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace figrack::control {
namespace {

namespace msm = boost::msm;
using endpoint::OrderReply;
using state::OrderAction;
using state::OrderResult;

struct Answered
{
    OrderReply reply = OrderReply::Unknown;
    Instant at;
};
struct MarkedInDoubt
{
    Instant at;
};
struct Observation
{
    Observed observed = Observed::Absent;
    Instant askedAt;
};

struct MachineDef : msm::front::state_machine_def<MachineDef>
{
    struct Sending : msm::front::state<>
    { };
    struct Working : msm::front::state<>
    { };
    struct InDoubt : msm::front::state<>
    { };
    struct Settled : msm::front::state<>
    { };
    using initial_state = Sending;

    MachineDef() = default;
    MachineDef(OrderAction wanted, OrderMachineOptions times, bool earlierOrder)
        : action(wanted)
        , options(times)
        , earlierInFlight(earlierOrder)
    { }

    auto isLoad() const -> bool { return action == OrderAction::Load; }

    // --- guards ---

    struct Arrived
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &, Source &, Target &) const -> bool
        {
            return event.reply == OrderReply::Taken || event.reply == OrderReply::Already;
        }
    };
    /// The order was certainly not carried out, and no earlier order may still arrive.
    struct Declined
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            const auto certain = event.reply == OrderReply::Refused
                    || event.reply == OrderReply::StaleFence || event.reply == OrderReply::NotSent;
            return certain && !machine.earlierInFlight;
        }
    };
    struct IsNew
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            return event.askedAt >= machine.validFrom;
        }
    };
    /// In Working: the observation shows that the endpoint has finished the order.
    struct ShowsEnd
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            if (event.askedAt < machine.validFrom)
                return false;
            if (machine.isLoad())
                return event.observed == Observed::Ready || event.observed == Observed::Absent;
            const auto waited = event.askedAt - machine.validFrom >= machine.options.unloadTimeout;
            return event.observed == Observed::Absent
                    || (event.observed == Observed::Ready && waited);
        }
    };
    /// In InDoubt: the observation shows that a load has arrived but not finished.
    struct ShowsArrival
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            return event.askedAt >= machine.validFrom && machine.isLoad()
                    && event.observed == Observed::Loading;
        }
    };
    /// In InDoubt: the observed state can no longer change because of this order.
    struct ResolvesDoubt
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            if (event.askedAt < machine.validFrom)
                return false;
            if (machine.isLoad() && event.observed == Observed::Ready)
                return true;
            if (event.observed != Observed::Absent && event.observed != Observed::Ready)
                return false;
            return machine.unchangedSince && *machine.unchangedValue == event.observed
                    && event.askedAt - *machine.unchangedSince >= machine.options.maxOrderDelay;
        }
    };

    // --- actions ---

    struct ResetObservations
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            machine.validFrom = event.at;
            machine.unchangedSince.reset();
        }
    };
    struct RecordArrival
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            machine.validFrom = event.askedAt;
            machine.earlierInFlight = false;
        }
    };
    struct Decline
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            const auto unsent = event.reply == OrderReply::NotSent && machine.isLoad();
            machine.result = unsent ? OrderResult::Failed : OrderResult::Refused;
        }
    };
    struct Settle
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            const auto present = event.observed == Observed::Ready;
            if (machine.isLoad())
                machine.result = present ? OrderResult::Loaded : OrderResult::Failed;
            else
                machine.result = present ? OrderResult::Refused : OrderResult::Unloaded;
        }
    };
    /// Records since when successive observations have agreed.
    struct TrackAgreement
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            if (event.askedAt < machine.validFrom)
                return;
            if (machine.unchangedSince && *machine.unchangedValue == event.observed)
                return;
            machine.unchangedSince = event.askedAt;
            machine.unchangedValue = event.observed;
        }
    };

    template<typename Source, typename Event, typename Target, typename Action, typename Guard>
    using Row = msm::front::Row<Source, Event, Target, Action, Guard>;
    using None = msm::front::none;

    // If several rows match a state and event, the last row whose guard holds is taken.
    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for.
    struct transition_table : boost::mpl::vector<
        //  from      event          to        action             guard
        Row<Sending,  Answered,      InDoubt,  ResetObservations, None>,
        Row<Sending,  Answered,      Settled,  Decline,           Declined>,
        Row<Sending,  Answered,      Working,  ResetObservations, Arrived>,
        Row<Sending,  MarkedInDoubt, InDoubt,  ResetObservations, None>,
        Row<Working,  Observation,   Settled,  Settle,            ShowsEnd>,
        Row<Working,  MarkedInDoubt, InDoubt,  ResetObservations, None>,
        Row<InDoubt,  Observation,   None,     TrackAgreement,    IsNew>,
        Row<InDoubt,  Observation,   Working,  RecordArrival,     ShowsArrival>,
        Row<InDoubt,  Observation,   Settled,  Settle,            ResolvesDoubt>,
        Row<InDoubt,  MarkedInDoubt, InDoubt,  ResetObservations, None>
    > { };
    // clang-format on

    template<typename Machine, typename Event>
    auto no_transition(const Event &, Machine &, int) -> void
    { }

    OrderAction action = OrderAction::Load;
    OrderMachineOptions options;
    bool earlierInFlight = false;
    Instant validFrom; ///< Observations requested before this time are ignored.
    std::optional<Instant> unchangedSince;
    std::optional<Observed> unchangedValue;
    std::optional<OrderResult> result;
};

using Machine = msm::back::state_machine<MachineDef>;

} // namespace

auto orderPhaseName(OrderPhase phase) -> std::string_view
{
    switch (phase) {
    case OrderPhase::Sending:
        return "sending";
    case OrderPhase::Working:
        return "working";
    case OrderPhase::InDoubt:
        return "doubtful";
    case OrderPhase::Settled:
        return "settled";
    }
    return "settled";
}

class OrderMachine::Impl
{
public:
    Impl(OrderAction action, OrderMachineOptions options, bool earlierInFlight)
        : machine(action, options, earlierInFlight)
    {
        machine.start();
    }
    Machine machine;
};

OrderMachine::OrderMachine(OrderAction action, OrderMachineOptions options, bool earlierInFlight)
    : impl_(std::make_unique<Impl>(action, options, earlierInFlight))
{ }
OrderMachine::~OrderMachine() = default;
OrderMachine::OrderMachine(OrderMachine &&) noexcept = default;
auto OrderMachine::operator=(OrderMachine &&) noexcept -> OrderMachine & = default;

auto OrderMachine::onAnswer(OrderReply reply, Instant now) -> void
{
    impl_->machine.process_event(Answered { reply, now });
}

auto OrderMachine::markInDoubt(Instant now) -> void
{
    impl_->machine.process_event(MarkedInDoubt { now });
}

auto OrderMachine::onObservation(Observed observed, Instant askedAt) -> void
{
    impl_->machine.process_event(Observation { observed, askedAt });
}

auto OrderMachine::phase() const -> OrderPhase
{
    // The back end numbers the states in the order of their first use in the table.
    constexpr auto order = std::array { OrderPhase::Sending, OrderPhase::Working,
                                        OrderPhase::InDoubt, OrderPhase::Settled };
    return order[static_cast<std::size_t>(impl_->machine.current_state()[0])];
}

auto OrderMachine::result() const -> std::optional<OrderResult>
{
    return impl_->machine.result;
}

} // namespace figrack::control
