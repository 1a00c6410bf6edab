// Rules for which replicas stay loaded, and the price of a missed target of a class.
//
//   auto price = MissPrice {};
//   price.note(missed, allowedShare);      // for each arrival of the class
//   auto worth = price.value() * missProbability(load, target.start);
//
// A class's targets say which share of its requests may miss. The price of one miss, in
// accelerator-milliseconds, rises while the class misses more often than that and falls while
// it misses less. It is the Lagrange multiplier of the class's constraint, so operators need
// not set a weight. A replica is kept while the misses it is expected to save, at that price,
// are worth more than the accelerator time it takes. The other rules are baselines for the
// benchmark.

#ifndef FIGRACK_POLICY_KEEPWARM_H
#define FIGRACK_POLICY_KEEPWARM_H

#include <functional>
#include <variant>

#include "policy/tables.h"

namespace figrack::policy {

/// The rule used in production: by expected target misses saved per accelerator hour.
struct KeepByTarget
{ };
/// Keeps a replica for a fixed time after its last use; 0 keeps nothing.
struct KeepFixed
{
    Millis span = 600000;
};
/// Keeps a replica until its memory is needed; evicts the least recently used first.
struct KeepUntilNeeded
{ };
/// As KeepUntilNeeded, and also loads every model that fits without waiting for a request.
struct KeepEverything
{ };
/// Knows all future arrivals: the upper bound for the benchmark.
struct KeepByOracle
{
    /// Returns the time of a model's next arrival after a time; negative when there is none.
    std::function<Millis(const ModelId &, Millis)> nextUse;
};
using KeepRule
        = std::variant<KeepByTarget, KeepFixed, KeepUntilNeeded, KeepEverything, KeepByOracle>;

/// The price of one missed target of a class, in accelerator-ms.
class MissPrice
{
public:
    /// Records one arrival.
    /// @param allowed the share of arrivals that may miss
    auto note(bool missed, double allowed) -> void;
    auto value() const -> double;
    /// @return decayed share of arrivals that missed
    auto missShare() const -> double { return share_; }

private:
    double logPrice_ = 0;
    double share_ = 0;
};

/// @return probability that a load of a predicted duration ends after the start target
auto missProbability(Millis load, Millis startTarget) -> double;

} // namespace figrack::policy

#endif // FIGRACK_POLICY_KEEPWARM_H
