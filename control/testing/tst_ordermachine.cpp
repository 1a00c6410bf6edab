// Tests of which answers and observations settle an order.

#include <doctest/doctest.h>

#include "control/ordermachine.h"

namespace figrack::control {
namespace {

using endpoint::OrderReply;
using state::OrderAction;
using state::OrderResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto options = OrderMachineOptions { seconds { 10 }, seconds { 30 } };

auto at(double time) -> Instant
{
    const auto nanos = static_cast<std::int64_t>(time * 1e9);
    return Instant { Duration { nanos } };
}

TEST_CASE("an accepted load is settled by an observation requested after the answer")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.onObservation(Observed::Ready, at(0.5));
    CHECK(machine.phase() == OrderPhase::Sending);
    machine.onAnswer(OrderReply::Taken, at(1));
    CHECK(machine.phase() == OrderPhase::Working);
    machine.onObservation(Observed::Absent, at(0.9));
    machine.onObservation(Observed::Loading, at(2));
    CHECK_FALSE(machine.result().has_value());
    machine.onObservation(Observed::Ready, at(3));
    CHECK(machine.result() == OrderResult::Loaded);
    CHECK(machine.phase() == OrderPhase::Settled);
}

TEST_CASE("an accepted load whose model is absent has failed")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.onAnswer(OrderReply::Taken, at(1));
    machine.onObservation(Observed::Absent, at(1.1));
    CHECK(machine.result() == OrderResult::Failed);
}

TEST_CASE("an order that was declined or not sent is settled by the answer")
{
    const auto resultOf = [](OrderAction action, OrderReply reply) {
        auto machine = OrderMachine { action, options };
        machine.onAnswer(reply, at(1));
        return machine.result();
    };
    CHECK(resultOf(OrderAction::Load, OrderReply::Refused) == OrderResult::Refused);
    CHECK(resultOf(OrderAction::Load, OrderReply::StaleFence) == OrderResult::Refused);
    CHECK(resultOf(OrderAction::Load, OrderReply::NotSent) == OrderResult::Failed);
    CHECK(resultOf(OrderAction::Unload, OrderReply::NotSent) == OrderResult::Refused);
    CHECK_FALSE(resultOf(OrderAction::Load, OrderReply::Unknown).has_value());
}

TEST_CASE("while an earlier order may arrive, only an answer that proves arrival avoids doubt")
{
    for (const auto reply : { OrderReply::Refused, OrderReply::StaleFence, OrderReply::NotSent,
                              OrderReply::Unknown }) {
        auto machine = OrderMachine { OrderAction::Load, options, true };
        machine.onAnswer(reply, at(1));
        CHECK(machine.phase() == OrderPhase::InDoubt);
        CHECK_FALSE(machine.result().has_value());
    }
}

TEST_CASE("in doubt, presence settles a load at once")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.onAnswer(OrderReply::Unknown, at(1));
    machine.onObservation(Observed::Ready, at(0.5));
    CHECK_FALSE(machine.result().has_value());
    machine.onObservation(Observed::Loading, at(2));
    CHECK(machine.phase() == OrderPhase::Working);
    machine.onObservation(Observed::Ready, at(3));
    CHECK(machine.result() == OrderResult::Loaded);
}

TEST_CASE("in doubt, absence settles a load only after the maximum order delay")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.onAnswer(OrderReply::Unknown, at(1));
    machine.onObservation(Observed::Absent, at(8));
    machine.onObservation(Observed::Absent, at(17.9));
    CHECK_FALSE(machine.result().has_value());
    machine.onObservation(Observed::Absent, at(18));
    CHECK(machine.result() == OrderResult::Failed);
}

TEST_CASE("in doubt, an order that arrives late ends the period of absence")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.onAnswer(OrderReply::Unknown, at(1));
    machine.onObservation(Observed::Absent, at(2));
    machine.onObservation(Observed::Loading, at(11.9));
    machine.onObservation(Observed::Absent, at(12.5));
    CHECK(machine.result() == OrderResult::Failed); // It arrived, so it cannot arrive later.
}

TEST_CASE("when doubt begins again, the full delay applies again")
{
    auto machine = OrderMachine { OrderAction::Load, options };
    machine.markInDoubt(at(0));
    machine.onObservation(Observed::Absent, at(1));
    machine.markInDoubt(at(5));
    machine.onObservation(Observed::Absent, at(12));
    CHECK_FALSE(machine.result().has_value());
    machine.onObservation(Observed::Absent, at(22));
    CHECK(machine.result() == OrderResult::Failed);
}

TEST_CASE("an unload ends when the model is gone, or counts as refused when it stays")
{
    auto gone = OrderMachine { OrderAction::Unload, options };
    gone.onAnswer(OrderReply::Taken, at(1));
    gone.onObservation(Observed::Unloading, at(2));
    gone.onObservation(Observed::Absent, at(3));
    CHECK(gone.result() == OrderResult::Unloaded);
    auto stays = OrderMachine { OrderAction::Unload, options };
    stays.onAnswer(OrderReply::Taken, at(1));
    stays.onObservation(Observed::Ready, at(30));
    CHECK_FALSE(stays.result().has_value());
    stays.onObservation(Observed::Ready, at(31));
    CHECK(stays.result() == OrderResult::Refused);
}

} // namespace
} // namespace figrack::control
