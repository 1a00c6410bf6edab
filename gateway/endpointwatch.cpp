#include "gateway/endpointwatch.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "core/log.h"

namespace figrack::gateway {
namespace {

/// Interval at which keys are checked for their last use.
constexpr auto forgetEvery = std::chrono::seconds { 1 };

} // namespace

EndpointWatch::EndpointWatch(EndpointWatchOptions options, std::uint64_t key, DomainId domain,
                             const Clock &clock)
    : options_(options)
    , key_(key)
    , domain_(std::move(domain))
    , clock_(clock)
{ }

auto EndpointWatch::onOpen(const Address &control, const NodeId &node) -> void
{
    controls_[control] = Control { node };
}

auto EndpointWatch::onClosed(const Address &control) -> void
{
    controls_.erase(control);
    former_.erase(control);
    abandoned_.erase(control);
    if (chosen_ == control)
        chosen_.reset();
    if (source_ == control)
        source_.reset(); // After a new connection it does not know what is watched.
}

auto EndpointWatch::onControls(const std::vector<coord::Member> &controls) -> void
{
    for (const auto &member : controls)
        domains_[member.address] = member.domain;
}

auto EndpointWatch::onUpdate(const Address &control, const proto::ServingUpdate &update) -> bool
{
    const auto found = controls_.find(control);
    if (found != controls_.end())
        found->second.isCurrent = update.isCurrent;
    if (!isWhole_ || update.endpointsKnown <= options_.wholeUpTo)
        return false;
    LogEvent(LogLevel::Info, "whole_list_given_up")
            .with("control", found == controls_.end() ? NodeId {} : found->second.node)
            .with("endpoints", std::uint64_t { update.endpointsKnown });
    isWhole_ = false;
    return true;
}

auto EndpointWatch::want(const proto::WatchKey &key) -> bool
{
    if (isWhole_)
        return true;
    const auto [item, isNew] = keys_.try_emplace(key);
    item->second.usedAt = clock_.now();
    if (isNew && keys_.size() > options_.maxKeys) {
        const auto oldest = std::min_element(keys_.begin(), keys_.end(),
                                             [](const auto &one, const auto &other) {
                                                 return one.second.usedAt < other.second.usedAt;
                                             });
        if (oldest->second.isAsked)
            removed_.push_back(oldest->first);
        keys_.erase(oldest);
        return false;
    }
    return item->second.isKnown;
}

auto EndpointWatch::onReply(const Address &control, const proto::WatchReply &reply) -> bool
{
    if (chosen_ != control || !askedAt_)
        return false; // Another control has been chosen meanwhile.
    askedAt_.reset();
    controls_.at(control).isCurrent = reply.isCurrent;
    for (auto &[key, state] : keys_)
        state.isKnown = state.isKnown || state.isAsked;
    if (source_ == control)
        return false;
    LogEvent(LogLevel::Info, "endpoint_source")
            .with("control", controls_.at(control).node)
            .with("current", reply.isCurrent)
            .with("keys", static_cast<std::uint64_t>(keys_.size()))
            .with("endpoints", static_cast<std::uint64_t>(reply.endpoints.size()));
    if (source_)
        abandoned_.insert(*source_);
    former_.merge(abandoned_);
    abandoned_.clear();
    former_.erase(control);
    source_ = control;
    return true;
}

auto EndpointWatch::watchesAt() const -> NodeId
{
    const auto found = chosen_ && !isWhole_ ? controls_.find(*chosen_) : controls_.end();
    return found == controls_.end() ? NodeId {} : found->second.node;
}

auto EndpointWatch::onFailed(const Address &control) -> void
{
    if (chosen_ == control && askedAt_)
        giveUp(control);
}

auto EndpointWatch::giveUp(const Address &control) -> void
{
    LogEvent(LogLevel::Warning, "endpoint_source_failed").with("control", control.text());
    if (const auto found = controls_.find(control); found != controls_.end())
        found->second.notBefore = clock_.now() + options_.failedPause;
    if (source_ == control)
        source_.reset(); // It may or may not have received the request.
    abandoned_.insert(control);
    chosen_.reset();
    askedAt_.reset();
}

auto EndpointWatch::next() -> std::vector<WatchAsk>
{
    auto asks = std::vector<WatchAsk> {};
    if (isWhole_)
        return asks;
    const auto now = clock_.now();
    forgetOldKeys();
    if (askedAt_ && now - *askedAt_ >= options_.answerTimeout && chosen_)
        giveUp(*chosen_);
    const auto isStale = chosen_ && !askedAt_ && !controls_.at(*chosen_).isCurrent
            && now - chosenAt_ >= options_.retryCurrentEvery;
    if (isStale) {
        controls_.at(*chosen_).notBefore = now + options_.failedPause;
        chosen_.reset();
    }
    const auto isNewChoice = !chosen_;
    if (isNewChoice) {
        askedAt_.reset();
        chosen_ = choose();
        chosenAt_ = now;
    }
    for (const auto &control : std::exchange(former_, {}))
        asks.push_back({ control, { true, {}, {} } });
    if (!chosen_ || askedAt_)
        return asks;
    auto request = proto::WatchRequest {};
    request.isReset = isNewChoice && source_ != chosen_;
    if (!request.isReset)
        request.removed = std::exchange(removed_, {});
    removed_.clear();
    for (auto &[key, state] : keys_) {
        if (!request.isReset && state.isAsked)
            continue;
        state.isAsked = true;
        request.added.push_back(key);
    }
    if (!request.isReset && request.added.empty() && request.removed.empty())
        return asks;
    askedAt_ = now;
    asks.push_back({ *chosen_, std::move(request) });
    return asks;
}

auto EndpointWatch::nextCheckAt() const -> std::optional<Instant>
{
    if (isWhole_)
        return std::nullopt;
    const auto later = clock_.now() + forgetEvery;
    return askedAt_ ? std::min(later, *askedAt_ + options_.answerTimeout) : later;
}

/// @return the control to watch at: a current one that has not failed recently, and of those one in
/// the gateway's own failure domain, by the highest weight
auto EndpointWatch::choose() const -> std::optional<Address>
{
    const auto now = clock_.now();
    auto best = std::optional<Address> {};
    auto bestRank = std::tuple<bool, bool, bool, std::uint64_t> {};
    for (const auto &[address, control] : controls_) {
        const auto domain = domains_.find(address.text());
        const auto isNear = domain != domains_.end() && domain->second == domain_;
        const auto rank = std::tuple { now >= control.notBefore, control.isCurrent, isNear,
                                       rendezvousWeight(key_, control.node.value()) };
        if (!best || rank > bestRank) {
            best = address;
            bestRank = rank;
        }
    }
    return best;
}

auto EndpointWatch::forgetOldKeys() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + forgetEvery;
    std::erase_if(keys_, [&](const auto &item) {
        if (now - item.second.usedAt < options_.keepKeys)
            return false;
        if (item.second.isAsked)
            removed_.push_back(item.first);
        return true;
    });
}

} // namespace figrack::gateway
