#include "fleet/loadorder.h"

#include <algorithm>

namespace figrack::fleet {
namespace {

/// How long a model counts as fresh at most: the report interval of gateways in a large fleet plus
/// the transmission.
constexpr auto freshFor = std::chrono::milliseconds { 1500 };
/// A pass may come this much later than its interval says: it is started by a tick of 10 ms, on a
/// control with a small share of a core.
constexpr auto passDelaySeconds = 0.1;

} // namespace

auto precedes(const LoadWish &one, const LoadWish &other) -> bool
{
    if (one.spareSeconds.has_value() != other.spareSeconds.has_value())
        return one.spareSeconds.has_value();
    if (one.spareSeconds && *one.spareSeconds != *other.spareSeconds)
        return *one.spareSeconds < *other.spareSeconds;
    return one.score > other.score;
}

auto spareFor(std::optional<double> startWithin, double readySeconds) -> std::optional<double>
{
    if (!startWithin || *startWithin < readySeconds)
        return std::nullopt;
    return *startWithin - readySeconds;
}

auto canWaitForNextPass(std::optional<double> spareSeconds, double passSeconds) -> bool
{
    return spareSeconds && *spareSeconds >= passSeconds + passDelaySeconds;
}

auto shorterStart(std::optional<Duration> one, std::optional<Duration> other)
        -> std::optional<Duration>
{
    const auto isLate = [](const auto &time) { return !time || *time <= Duration::zero(); };
    if (isLate(one) || isLate(other))
        return isLate(one) ? (other ? other : one) : one;
    return std::min(*one, *other);
}

auto FreshLoads::onPass(const std::map<ModelId, RequestDemand> &models,
                        const std::set<ModelId> &held, Instant now) -> std::set<ModelId>
{
    for (const auto &model : lacked_) {
        if (held.contains(model))
            loadedAt_[model] = now;
    }
    lacked_.clear();
    for (const auto &[model, want] : models) {
        if (want.unserved() > 0 && !held.contains(model))
            lacked_.insert(model);
    }
    std::erase_if(loadedAt_, [&](const auto &item) {
        const auto &[model, at] = item;
        const auto want = models.find(model);
        const auto isServed
                = want != models.end() && want->second.waiting == 0 && want->second.servedAt > at;
        return now - at >= freshFor || !held.contains(model) || isServed;
    });
    auto result = std::set<ModelId> {};
    for (const auto &[model, at] : loadedAt_)
        result.insert(model);
    return result;
}

} // namespace figrack::fleet
