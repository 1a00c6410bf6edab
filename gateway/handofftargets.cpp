#include "gateway/handofftargets.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace figrack::gateway {
namespace {

/// @return true if the gateway reaches one of the groups
auto reachesOneOf(const proto::HandoffTarget &target,
                  const std::set<catalogue::EndpointGroup> &groups) -> bool
{
    const auto &unreached = target.unreached;
    return groups.empty() || std::any_of(groups.begin(), groups.end(), [&](const auto &group) {
               return std::find(unreached.begin(), unreached.end(), group) == unreached.end();
           });
}

} // namespace

HandoffTargets::HandoffTargets(HandoffTargetsOptions options, const Clock &clock, Random &random)
    : options_(std::move(options))
    , clock_(clock)
    , random_(random)
{ }

auto HandoffTargets::onTargets(std::vector<proto::HandoffTarget> targets) -> void
{
    targets_ = std::move(targets);
    receivedAt_ = clock_.now();
    std::erase_if(pausedUntil_, [this](const auto &item) { return item.second <= clock_.now(); });
}

auto HandoffTargets::isDue() const -> bool
{
    return !receivedAt_ || clock_.now() - *receivedAt_ >= options_.refreshAfter;
}

auto HandoffTargets::isUsable() const -> bool
{
    return receivedAt_ && !targets_.empty() && clock_.now() - *receivedAt_ < options_.staleAfter;
}

auto HandoffTargets::choose(const std::set<catalogue::EndpointGroup> &groups,
                            const std::set<NodeId> &tried, const catalogue::HomeRule &homes)
        -> std::optional<proto::HandoffTarget>
{
    if (!isUsable())
        return std::nullopt;
    auto able = std::vector<const proto::HandoffTarget *> {};
    for (const auto &target : targets_) {
        const auto paused = pausedUntil_.find(target.node);
        const auto isPaused = paused != pausedUntil_.end() && clock_.now() < paused->second;
        const auto isAllowed = homes.allows(target.domain) && !tried.contains(target.node);
        if (!isPaused && isAllowed && reachesOneOf(target, groups))
            able.push_back(&target);
    }
    if (able.empty())
        return std::nullopt;
    const auto *one = draw(able);
    const auto *other = draw(able);
    return loadOf(*other) < loadOf(*one) ? *other : *one;
}

auto HandoffTargets::draw(const std::vector<const proto::HandoffTarget *> &able)
        -> const proto::HandoffTarget *
{
    const auto sum = std::accumulate(
            able.begin(), able.end(), 0.0,
            [this](double before, const auto *target) { return before + weightOf(*target); });
    auto left = random_.unit() * sum;
    for (const auto *target : able) {
        left -= weightOf(*target);
        if (left < 0)
            return target;
    }
    return able.back();
}

auto HandoffTargets::weightOf(const proto::HandoffTarget &target) const -> double
{
    const auto capacity = std::max<std::uint32_t>(target.capacity, 1);
    return capacity * (target.domain == options_.domain ? options_.nearWeight : 1.0);
}

auto HandoffTargets::loadOf(const proto::HandoffTarget &target) const -> double
{
    const auto found = running_.find(target.node);
    const auto running = found == running_.end() ? 0U : found->second;
    return (running + 1) / weightOf(target);
}

auto HandoffTargets::onBegin(const NodeId &node) -> void
{
    ++running_[node];
}

auto HandoffTargets::onEnd(const NodeId &node) -> void
{
    const auto found = running_.find(node);
    if (found != running_.end() && --found->second == 0)
        running_.erase(found);
}

auto HandoffTargets::onFailed(const NodeId &node) -> void
{
    pausedUntil_[node] = clock_.now() + options_.pauseAfterFailure;
}

auto HandoffTargets::inProgress() const -> std::size_t
{
    return std::accumulate(
            running_.begin(), running_.end(), std::size_t { 0 },
            [](std::size_t before, const auto &item) { return before + item.second; });
}

} // namespace figrack::gateway
