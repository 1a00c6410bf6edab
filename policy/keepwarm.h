// What stays warm: the rule, and the price a class pays for a saved miss.
//
//   auto price = MissPrice {};
//   price.note(missed, allowedShare);      // for each arrival of the class
//   auto worth = price.value() * missProbability(load, target.start);
//
// A class's targets say which share of its requests may miss. The price of one
// miss, in accelerator-milliseconds, rises while the class misses more often
// than that and falls while it misses less: it is the multiplier of the class's
// own constraint, so that no operator sets a weight. A replica is kept while
// the misses it is expected to save, at that price, are worth more than the
// accelerator time it takes. The other rules are what the benchmark compares with.

#ifndef FIGRACK_POLICY_KEEPWARM_H
#define FIGRACK_POLICY_KEEPWARM_H

#include <functional>
#include <variant>

#include "policy/tables.h"

namespace figrack::policy {

/// The product's rule: by expected target misses saved per accelerator hour.
struct KeepByTarget
{ };
/// Kept for a fixed time after the last use; 0 keeps nothing.
struct KeepFixed
{
    Millis span = 600000;
};
/// Kept until its memory is needed; the longest unused goes first.
struct KeepUntilNeeded
{ };
/// As KeepUntilNeeded, and whatever fits is loaded without being asked for.
struct KeepEverything
{ };
/// Knows the arrivals: the bound for the benchmark.
struct KeepByOracle
{
    /// The time of a model's next arrival after now; negative when none.
    std::function<Millis(const ModelId &, Millis)> nextUse;
};
using KeepRule
        = std::variant<KeepByTarget, KeepFixed, KeepUntilNeeded, KeepEverything, KeepByOracle>;

/// The price of one missed target of a class, accelerator-ms.
class MissPrice
{
public:
    /// One arrival. @param allowed the share that may miss
    auto note(bool missed, double allowed) -> void;
    auto value() const -> double;
    /// @return decayed share of arrivals that missed
    auto missShare() const -> double { return share_; }

private:
    double logPrice_ = 0;
    double share_ = 0;
};

/// @return probability that a load of a predicted length ends after the start target
auto missProbability(Millis load, Millis startTarget) -> double;

} // namespace figrack::policy

#endif // FIGRACK_POLICY_KEEPWARM_H
