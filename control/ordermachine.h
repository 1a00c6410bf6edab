// The life of one order to one endpoint, from its sending to what settles it.
//
//   auto machine = OrderMachine { state::OrderAction::Load, options, clock.now() };
//   machine.onAnswer(endpoint::OrderReply::Taken, now);
//   machine.onObservation(Observed::Ready, askedAt);
//   if (auto result = machine.result()) ...            // propose it as the outcome
//
// Sending until the endpoint answered; Working while it carries the order out;
// Doubtful while nobody knows whether the order arrived or still may. Only an
// observation that was asked for after the last such change counts, since an
// older one may be a picture of the time before the order.
//
// In doubt, presence proves that a load arrived. Absence proves nothing until the
// order can no longer be under way: options.doubt after the doubt began, and so
// long after the first absence was seen. docs/design/orders.md has the argument.
//
// Pure: no I/O, no clock; times are the caller's.

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

/// A model on an endpoint, as an observation shows it.
enum class Observed : std::uint8_t { Absent, Loading, Ready, Unloading };

enum class OrderPhase : std::uint8_t { Sending, Working, InDoubt, Settled };

/// @return "sending", "working", "doubtful" or "settled"
auto orderPhaseName(OrderPhase phase) -> std::string_view;

struct OrderMachineOptions
{
    /// How long an order whose connection was aborted may still arrive.
    Duration maxOrderDelay = std::chrono::seconds { 10 };
    /// An unload that was taken and shows no effect for so long counts as refused.
    Duration unloadTimeout = std::chrono::seconds { 30 };
};

class OrderMachine
{
public:
    /// @param action what is ordered
    /// @param options the times
    /// @param earlier an order before this one for the same replica may still be under way
    OrderMachine(state::OrderAction action, OrderMachineOptions options,
                 bool earlierInFlight = false);
    ~OrderMachine();
    OrderMachine(OrderMachine &&) noexcept;
    auto operator=(OrderMachine &&) noexcept -> OrderMachine &;

    /// The sender is done with the order.
    auto onAnswer(endpoint::OrderReply reply, Instant now) -> void;
    /// Nobody here knows the order's fate: its sender is gone, or its endpoint has restarted.
    auto markInDoubt(Instant now) -> void;
    /// @param observed the model there
    /// @param askedAt when the observation was asked for
    auto onObservation(Observed observed, Instant askedAt) -> void;

    auto phase() const -> OrderPhase;
    /// @return what settles the order, once known
    auto result() const -> std::optional<state::OrderResult>;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERMACHINE_H
