// The states and the only allowed transitions are defined by a Boost.MSM table.
// Times are kept outside the state machine, which does not use a clock.

#include "router/drain.h"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "core/log.h"

namespace figrack::router {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct StopAsked
{ };
struct LifetimeOver
{ };
struct Idle
{ };

struct DrainDefinition : public msm::front::state_machine_def<DrainDefinition>
{
    struct Serving : public msm::front::state<>
    { };
    struct Leaving : public msm::front::state<>
    { };
    struct Refusing : public msm::front::state<>
    { };
    struct Stopped : public msm::front::state<>
    { };

    using initial_state = Serving; // NOLINT(readability-identifier-naming)
    // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
    struct transition_table
        : boost::mpl::vector<
                  //   from      event         to        action guard
                  Row<Serving, StopAsked, Leaving, none, none>,
                  Row<Leaving, LifetimeOver, Refusing, none, none>,
                  Row<Refusing, Idle, Stopped, none, none>>
    { };

    /// Ignores an event that has no row for the current state, so that no step is skipped or
    /// undone.
    template<typename Fsm, typename Event>
    auto no_transition(const Event &, Fsm &, int) -> void
    { }
};

constexpr auto phaseNames
        = std::array<std::string_view, 4> { "serving", "leaving", "refusing", "stopped" };

} // namespace

/// MSM numbers its states in the order of the table, which is the order of DrainPhase.
class Drain::Machine : public msm::back::state_machine<DrainDefinition>
{
public:
    auto phase() const -> DrainPhase { return static_cast<DrainPhase>(*current_state()); }
    template<typename Event>
    auto handle(const Event &event) -> void
    {
        const auto before = phase();
        process_event(event);
        if (phase() == before)
            return;
        LogEvent(LogLevel::Info, "drain_phase")
                .with("from", drainPhaseName(before))
                .with("to", drainPhaseName(phase()));
    }
};

auto drainPhaseName(DrainPhase phase) -> std::string_view
{
    return phaseNames[static_cast<std::size_t>(phase) % phaseNames.size()];
}

Drain::Drain(DrainOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
    , machine_(std::make_unique<Machine>())
{
    machine_->start();
}

Drain::~Drain() = default;

auto Drain::onStop() -> bool
{
    const auto lock = std::scoped_lock { mutex_ };
    if (machine_->phase() != DrainPhase::Serving)
        return false;
    refuseAt_ = clock_.now() + options_.noticeTimeout + options_.propagationTime
            + options_.addressLifetime;
    machine_->handle(StopAsked {});
    return true;
}

auto Drain::onNoticeConfirmed() -> void
{
    const auto lock = std::scoped_lock { mutex_ };
    if (confirmed_ || machine_->phase() != DrainPhase::Leaving)
        return;
    confirmed_ = true;
    refuseAt_ = clock_.now() + options_.propagationTime + options_.addressLifetime;
}

auto Drain::tick(std::size_t inProgress) -> DrainPhase
{
    const auto lock = std::scoped_lock { mutex_ };
    if (machine_->phase() == DrainPhase::Leaving && clock_.now() >= refuseAt_)
        machine_->handle(LifetimeOver {});
    else if (machine_->phase() == DrainPhase::Refusing && inProgress == 0)
        machine_->handle(Idle {});
    return machine_->phase();
}

auto Drain::phase() const -> DrainPhase
{
    const auto lock = std::scoped_lock { mutex_ };
    return machine_->phase();
}

} // namespace figrack::router
