#include "gateway/keylease.h"

#include <algorithm>

namespace figrack::gateway {

KeyLease::KeyLease(KeyLeaseOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
    , provenAt_(clock.now())
{ }

auto KeyLease::part(double share) const -> Duration
{
    return std::chrono::duration_cast<Duration>(options_.revokeWithin * share);
}

auto KeyLease::renewEvery() const -> Duration
{
    return part(options_.renewPart);
}

auto KeyLease::answerWithin() const -> Duration
{
    return part(options_.answerPart);
}

auto KeyLease::age() const -> Duration
{
    return clock_.now() - provenAt_;
}

auto KeyLease::isCurrent() const -> bool
{
    return !isStrict() || (hasProof_ && age() < part(options_.lengthPart));
}

auto KeyLease::ask() -> std::uint64_t
{
    const auto now = clock_.now();
    const auto limit = now - part(options_.lengthPart);
    std::erase_if(askedAt_, [limit](const auto &item) { return item.second <= limit; });
    std::erase_if(waiting_, [limit](const auto &item) { return item.second <= limit; });
    askedAt_[++lastQuestion_] = now;
    return lastQuestion_;
}

auto KeyLease::onProof(std::uint64_t question, Revision demanded) -> void
{
    const auto found = askedAt_.find(question);
    if (found == askedAt_.end())
        return;
    const auto askedAt = found->second;
    askedAt_.erase(found);
    if (demanded == Revision {})
        return;
    auto &newest = waiting_.try_emplace(demanded, askedAt).first->second;
    newest = std::max(newest, askedAt);
    settle();
}

auto KeyLease::onInForce(Revision version) -> void
{
    inForce_ = std::max(inForce_, version);
    settle();
}

auto KeyLease::settle() -> void
{
    const auto end = waiting_.upper_bound(inForce_);
    for (auto item = waiting_.begin(); item != end; item = waiting_.erase(item)) {
        provenAt_ = hasProof_ ? std::max(provenAt_, item->second) : item->second;
        hasProof_ = true;
    }
}

} // namespace figrack::gateway
