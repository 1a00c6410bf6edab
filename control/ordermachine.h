// OrderMachine is the state machine of one order to one endpoint, from sending to settlement.
//
//   auto machine = OrderMachine { state::OrderAction::Load, options };
//   machine.onAnswer(endpoint::OrderReply::Taken, now);
//   machine.onObservation(Observed::Ready, askedAt);
//   if (auto result = machine.result()) ...            // Propose it as the outcome.
//
// An order is in phase Sending until the endpoint answers, in Working while the endpoint
// carries it out, and in InDoubt while it is unknown whether the order arrived or may still
// arrive. The machine ignores observations that were requested before the last phase change,
// since they may show the state before the order.
//
// In doubt, the presence of the model proves that a load arrived. Its absence proves nothing
// until the order can no longer be in transit. This is the case once observations requested
// over a span of options.maxOrderDelay, all of them after the doubt began, have shown the
// model absent. docs/design/orders.md contains the proof.
//
// The class performs no I/O and reads no clock; callers pass all times.

#ifndef FIGRACK_CONTROL_ORDERMACHINE_H
#define FIGRACK_CONTROL_ORDERMACHINE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "endpoint/orders.h"
#include "state/commands.h"

namespace figrack::control {

/// State of a model on an endpoint, according to an observation.
enum class Observed : std::uint8_t { Absent, Loading, Ready, Unloading };

enum class OrderPhase : std::uint8_t { Sending, Working, InDoubt, Settled };

/// @return "sending", "working", "doubtful" or "settled"
auto orderPhaseName(OrderPhase phase) -> std::string_view;

struct OrderMachineOptions
{
    /// Longest time for which an order may still arrive after its connection was aborted.
    Duration maxOrderDelay = std::chrono::seconds { 10 };
    /// An accepted unload that has no effect for this long counts as refused.
    Duration unloadTimeout = std::chrono::seconds { 30 };
};

class OrderMachine
{
public:
    /// @param action the ordered action
    /// @param options the time limits
    /// @param earlierInFlight true if an earlier order for the same replica may still arrive
    OrderMachine(state::OrderAction action, OrderMachineOptions options,
                 bool earlierInFlight = false);
    ~OrderMachine();
    OrderMachine(OrderMachine &&) noexcept;
    auto operator=(OrderMachine &&) noexcept -> OrderMachine &;

    /// Takes the result of sending the order.
    auto onAnswer(endpoint::OrderReply reply, Instant now) -> void;
    /// Puts the order in doubt: its sender no longer exists, or its endpoint has restarted.
    auto markInDoubt(Instant now) -> void;
    /// @param observed the state of the model on the endpoint
    /// @param askedAt when the observation was requested
    auto onObservation(Observed observed, Instant askedAt) -> void;

    auto phase() const -> OrderPhase;
    /// @return the outcome of the order, or nullopt while it is not settled
    auto result() const -> std::optional<state::OrderResult>;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERMACHINE_H
