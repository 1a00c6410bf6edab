// Computes what a warm replica is worth: the expected target misses saved, at each class's
// price, relative to the accelerator time it takes.
//
//   auto value = Valuation { fleet, times };
//   value.setClass(target); value.noteArrivals(row, classId, count, now);
//   if (value.keepRatio(row, spent, now) < 1) ... unload it
//
// Holds the classes' targets, prices and shared histograms of gaps.

#ifndef FIGRACK_POLICY_VALUATION_H
#define FIGRACK_POLICY_VALUATION_H

#include "policy/fleet.h"
#include "policy/keepwarm.h"
#include "policy/loadtime.h"

namespace figrack::policy {

class Valuation
{
public:
    Valuation(const Fleet &fleet, const LoadTimes &times)
        : fleet_(fleet)
        , times_(times)
    { }
    auto setClass(const ClassTarget &target) -> void { classes_[target.id].target = target; }
    auto removeClass(const ClassId &id) -> void { classes_.erase(id); }
    /// Records arrivals of a class for a model in the model's history, the class's gaps and price.
    auto noteArrivals(ModelRow &model, const ClassId &classId, std::uint32_t count, Millis now)
            -> void;
    /// @return ms until a request for a model without a ready replica could start
    auto coldStart(const ModelRow &model, Millis now) const -> Millis;
    /// Computes the ratio of the worth of keeping the model warm over the best future span to its
    /// cost.
    /// @param spent ms of accelerator time spent in advance in any case
    /// @return above 1 when keeping it is worth the cost
    auto keepRatio(const ModelRow &model, double spent, Millis now) const -> double;

private:
    struct ClassState
    {
        ClassTarget target;
        MissPrice price;
        GapHistogram gaps;
    };
    auto loadHere(const ModelRow &model, Millis now) const -> Millis;
    auto savedWorth(const ModelRow &model, Millis cold, Millis warm) const -> double;
    auto useRate(const ModelRow &model, double spent, Millis now) const -> double;

    const Fleet &fleet_;
    const LoadTimes &times_;
    std::map<ClassId, ClassState> classes_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_VALUATION_H
