// A Boost.MSM machine. Its transition table is the page to read: one row a state and
// event, guards for what the event must show.
//
// What an answer proves. Taken and Already: the order arrived, and so it cannot arrive
// later. Refused and StaleFence: it arrived and was not carried out. NotSent: no byte
// left. In all of these only an *earlier* order for the replica may still be under way.
// Unknown proves nothing.

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
struct Doubted
{
    Instant at;
};
struct Seen
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
    struct Doubtful : msm::front::state<>
    { };
    struct Settled : msm::front::state<>
    { };
    using initial_state = Sending;

    MachineDef() = default;
    MachineDef(OrderAction wanted, OrderMachineOptions times, bool earlierOrder)
        : action(wanted)
        , options(times)
        , earlier(earlierOrder)
    { }

    auto loads() const -> bool { return action == OrderAction::Load; }

    // --- guards ---

    struct Arrived
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &, Source &, Target &) const -> bool
        {
            return event.reply == OrderReply::Taken || event.reply == OrderReply::Already;
        }
    };
    /// Certainly not carried out, and no other order is under way.
    struct Declined
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            const auto certain = event.reply == OrderReply::Refused
                    || event.reply == OrderReply::StaleFence || event.reply == OrderReply::NotSent;
            return certain && !machine.earlier;
        }
    };
    struct IsNew
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            return event.askedAt >= machine.since;
        }
    };
    /// Working: the observation shows the end of it.
    struct ShowsEnd
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            if (event.askedAt < machine.since)
                return false;
            if (machine.loads())
                return event.observed == Observed::Ready || event.observed == Observed::Absent;
            const auto waited = event.askedAt - machine.since >= machine.options.unloadPatience;
            return event.observed == Observed::Absent
                    || (event.observed == Observed::Ready && waited);
        }
    };
    /// Doubtful: a load shows that it has arrived but not yet ended.
    struct ShowsArrival
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            return event.askedAt >= machine.since && machine.loads()
                    && event.observed == Observed::Loading;
        }
    };
    /// Doubtful: nothing can change any more what the observation shows.
    struct EndsDoubt
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> bool
        {
            if (event.askedAt < machine.since)
                return false;
            if (machine.loads() && event.observed == Observed::Ready)
                return true;
            if (event.observed != Observed::Absent && event.observed != Observed::Ready)
                return false;
            return machine.steadySince && *machine.steadyAs == event.observed
                    && event.askedAt - *machine.steadySince >= machine.options.doubt;
        }
    };

    // --- actions ---

    struct Restart
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            machine.since = event.at;
            machine.steadySince.reset();
        }
    };
    struct TakeArrival
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            machine.since = event.askedAt;
            machine.earlier = false;
        }
    };
    struct Decline
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            const auto unsent = event.reply == OrderReply::NotSent && machine.loads();
            machine.result = unsent ? OrderResult::Failed : OrderResult::Refused;
        }
    };
    struct Settle
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            const auto present = event.observed == Observed::Ready;
            if (machine.loads())
                machine.result = present ? OrderResult::Loaded : OrderResult::Failed;
            else
                machine.result = present ? OrderResult::Refused : OrderResult::Unloaded;
        }
    };
    /// Remembers since when the observations agree.
    struct Watch
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        auto operator()(const Event &event, Machine &machine, Source &, Target &) const -> void
        {
            if (event.askedAt < machine.since)
                return;
            if (machine.steadySince && *machine.steadyAs == event.observed)
                return;
            machine.steadySince = event.askedAt;
            machine.steadyAs = event.observed;
        }
    };

    template<typename Source, typename Event, typename Target, typename Action, typename Guard>
    using Row = msm::front::Row<Source, Event, Target, Action, Guard>;
    using None = msm::front::none;

    // Of rows for one state and event, the last whose guard holds is taken.
    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for.
    struct transition_table : boost::mpl::vector<
        //  from      event     to        action       guard
        Row<Sending,  Answered, Doubtful, Restart,     None>,
        Row<Sending,  Answered, Settled,  Decline,     Declined>,
        Row<Sending,  Answered, Working,  Restart,     Arrived>,
        Row<Sending,  Doubted,  Doubtful, Restart,     None>,
        Row<Working,  Seen,     Settled,  Settle,      ShowsEnd>,
        Row<Working,  Doubted,  Doubtful, Restart,     None>,
        Row<Doubtful, Seen,     None,     Watch,       IsNew>,
        Row<Doubtful, Seen,     Working,  TakeArrival, ShowsArrival>,
        Row<Doubtful, Seen,     Settled,  Settle,      EndsDoubt>,
        Row<Doubtful, Doubted,  Doubtful, Restart,     None>
    > { };
    // clang-format on

    template<typename Machine, typename Event>
    auto no_transition(const Event &, Machine &, int) -> void
    { }

    OrderAction action = OrderAction::Load;
    OrderMachineOptions options;
    bool earlier = false;
    Instant since; ///< Observations asked for before it say nothing.
    std::optional<Instant> steadySince;
    std::optional<Observed> steadyAs;
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
    case OrderPhase::Doubtful:
        return "doubtful";
    case OrderPhase::Settled:
        return "settled";
    }
    return "settled";
}

class OrderMachine::Impl
{
public:
    Impl(OrderAction action, OrderMachineOptions options, bool earlier)
        : machine(action, options, earlier)
    {
        machine.start();
    }
    Machine machine;
};

OrderMachine::OrderMachine(OrderAction action, OrderMachineOptions options, bool earlier)
    : impl_(std::make_unique<Impl>(action, options, earlier))
{ }
OrderMachine::~OrderMachine() = default;
OrderMachine::OrderMachine(OrderMachine &&) noexcept = default;
auto OrderMachine::operator=(OrderMachine &&) noexcept -> OrderMachine & = default;

auto OrderMachine::onAnswer(OrderReply reply, Instant now) -> void
{
    impl_->machine.process_event(Answered { reply, now });
}

auto OrderMachine::onDoubt(Instant now) -> void
{
    impl_->machine.process_event(Doubted { now });
}

auto OrderMachine::onObservation(Observed observed, Instant askedAt) -> void
{
    impl_->machine.process_event(Seen { observed, askedAt });
}

auto OrderMachine::phase() const -> OrderPhase
{
    // The back end numbers states in the order in which the table names them.
    constexpr auto order = std::array { OrderPhase::Sending, OrderPhase::Working,
                                        OrderPhase::Doubtful, OrderPhase::Settled };
    return order[static_cast<std::size_t>(impl_->machine.current_state()[0])];
}

auto OrderMachine::result() const -> std::optional<OrderResult>
{
    return impl_->machine.result;
}

} // namespace figrack::control
