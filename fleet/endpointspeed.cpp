#include "fleet/endpointspeed.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace figrack::fleet {
namespace {

/// Sets of endpoints that are connected by common models (union-find).
class Groups
{
public:
    explicit Groups(std::size_t count)
        : parents_(count)
    {
        std::iota(parents_.begin(), parents_.end(), std::size_t { 0 });
    }
    auto rootOf(std::size_t item) -> std::size_t
    {
        while (parents_[item] != item)
            item = parents_[item] = parents_[parents_[item]];
        return item;
    }
    auto join(std::size_t first, std::size_t second) -> void
    {
        parents_[rootOf(first)] = rootOf(second);
    }

private:
    std::vector<std::size_t> parents_;
};

} // namespace

EndpointSpeeds::EndpointSpeeds(const EndpointSpeedOptions &options)
    : options_(options)
{ }

auto EndpointSpeeds::learn(const EndpointId &endpoint, std::uint64_t model, double seen,
                           Instant now) -> void
{
    maintain(now);
    const auto isKnown = endpoints_.contains(endpoint) && models_.contains(model);
    if (!isKnown
        && (endpoints_.size() >= options_.maxEndpoints || models_.size() >= options_.maxModels))
        return;
    auto &speed = endpoints_.try_emplace(endpoint).first->second;
    if (!isLearned(speed, now))
        speed.factor = 1;
    speed.sampledAt = now;
    auto &read = models_[model];
    read.sampledAt = now;
    read.endpoints[endpoint] = now;
    // At first the mean of the samples, with the initial value as one of them.
    const auto rate = std::max(options_.learningRate, 1.0 / (read.samples + 2));
    read.factor += rate * (clampModel(seen / speed.factor) - read.factor);
    ++read.samples;
    // A model that only one endpoint serves cannot tell which of the two is slow.
    if (read.samples <= options_.minModelSamples || read.endpoints.size() < 2)
        return;
    speed.factor += options_.learningRate * (clampEndpoint(seen / read.factor) - speed.factor);
}

auto EndpointSpeeds::modelFactor(std::uint64_t model) const -> double
{
    const auto found = models_.find(model);
    return found == models_.end() ? 1 : found->second.factor;
}

auto EndpointSpeeds::clampModel(double factor) const -> double
{
    return std::clamp(factor, options_.minModelFactor, options_.maxModelFactor);
}

auto EndpointSpeeds::clampEndpoint(double factor) const -> double
{
    return std::clamp(factor, options_.minFactor, options_.maxFactor);
}

auto EndpointSpeeds::isLearned(const Endpoint &endpoint, Instant now) const -> bool
{
    return now - endpoint.sampledAt <= options_.forgetAfter;
}

auto EndpointSpeeds::isInBand(double factor) const -> bool
{
    return factor >= options_.bandBegin && factor <= options_.bandEnd;
}

auto EndpointSpeeds::factorOf(const Endpoint &endpoint, Instant now) const -> double
{
    const auto factor = isLearned(endpoint, now) ? endpoint.factor : 1;
    return isInBand(factor) ? 1 : factor;
}

auto EndpointSpeeds::factorOf(const EndpointId &endpoint, Instant now) const -> double
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 1 : factorOf(found->second, now);
}

auto EndpointSpeeds::learnedFactor(const EndpointId &endpoint, Instant now) const -> double
{
    const auto found = endpoints_.find(endpoint);
    const auto isKnown = found != endpoints_.end() && isLearned(found->second, now);
    return isKnown ? found->second.factor : 1;
}

auto EndpointSpeeds::classOf(const Endpoint &endpoint, Instant now) const -> SpeedClass
{
    const auto factor = factorOf(endpoint, now);
    if (factor == 1)
        return SpeedClass::Usual;
    return factor < 1 ? SpeedClass::Fast : SpeedClass::Slow;
}

auto EndpointSpeeds::countByClass(Instant now) const
        -> std::array<std::size_t, speedClassNames.size()>
{
    auto counts = std::array<std::size_t, speedClassNames.size()> {};
    for (const auto &item : endpoints_)
        ++counts.at(static_cast<std::size_t>(classOf(item.second, now)));
    return counts;
}

auto EndpointSpeeds::maintain(Instant now) -> void
{
    if (now < nextMaintenance_)
        return;
    nextMaintenance_ = now + options_.centreInterval;
    forget(now);
    centreFactors(now);
}

auto EndpointSpeeds::forget(Instant now) -> void
{
    std::erase_if(endpoints_, [&](const auto &item) { return !isLearned(item.second, now); });
    std::erase_if(models_, [&](const auto &item) {
        return now - item.second.sampledAt > options_.forgetModelAfter;
    });
    for (auto &item : models_) {
        std::erase_if(item.second.endpoints, [&](const auto &sample) {
            return now - sample.second > options_.forgetAfter;
        });
    }
}

/// Moves what the endpoints of a group have in common to the factors of their models, so the
/// products, which predict the samples, stay as they are.
auto EndpointSpeeds::centreFactors(Instant now) -> void
{
    auto learned = std::vector<Endpoint *> {};
    auto indices = std::map<EndpointId, std::size_t> {};
    for (auto &item : endpoints_) {
        if (!isLearned(item.second, now))
            continue;
        indices.emplace_hint(indices.end(), item.first, learned.size());
        learned.push_back(&item.second);
    }
    auto groups = Groups { learned.size() };
    for (const auto &model : models_) {
        const auto &sampled = model.second.endpoints;
        for (const auto &item : sampled)
            groups.join(indices.at(item.first), indices.at(sampled.begin()->first));
    }
    auto sums = std::vector<double>(learned.size());
    auto counts = std::vector<double>(learned.size());
    for (auto i = std::size_t { 0 }; i < learned.size(); ++i) {
        sums[groups.rootOf(i)] += learned[i]->factor;
        ++counts[groups.rootOf(i)];
    }
    const auto meanAt = [&](std::size_t index) {
        const auto root = groups.rootOf(index);
        return sums[root] / counts[root];
    };
    for (auto &model : models_) {
        if (model.second.endpoints.empty())
            continue;
        const auto mean = meanAt(indices.at(model.second.endpoints.begin()->first));
        model.second.factor = clampModel(model.second.factor * mean);
    }
    for (auto i = std::size_t { 0 }; i < learned.size(); ++i)
        learned[i]->factor = clampEndpoint(learned[i]->factor / meanAt(i));
}

} // namespace figrack::fleet
