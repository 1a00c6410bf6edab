#include "fleet/placepromises.h"

namespace figrack::fleet {

PlacePromises::PlacePromises(PlacePromiseOptions options)
    : options_(options)
{ }

auto PlacePromises::add(std::uint64_t key, std::uint64_t work, Instant retryAt) -> bool
{
    if (work == 0 || size_ >= options_.maxPromises)
        return false;
    promises_[key].emplace(retryAt, work);
    ++size_;
    return true;
}

auto PlacePromises::take(std::uint64_t key, std::uint64_t work, Instant now) -> bool
{
    const auto queue = promises_.find(key);
    if (work == 0 || queue == promises_.end())
        return false;
    auto item = queue->second.lower_bound(now - options_.lateBy);
    while (item != queue->second.end() && item->first <= now + options_.earlyBy) {
        if (item->second != work) {
            ++item;
            continue;
        }
        queue->second.erase(item);
        --size_;
        return true;
    }
    return false;
}

auto PlacePromises::of(std::uint64_t key) const -> const ByTime &
{
    const auto queue = promises_.find(key);
    return queue == promises_.end() ? none_ : queue->second;
}

auto PlacePromises::expire(Instant now) -> std::vector<std::uint64_t>
{
    auto expired = std::vector<std::uint64_t> {};
    for (auto &[key, byTime] : promises_) {
        const auto end = byTime.lower_bound(now - options_.lateBy);
        for (auto item = byTime.begin(); item != end; ++item)
            expired.push_back(item->second);
        byTime.erase(byTime.begin(), end);
    }
    std::erase_if(promises_, [](const auto &item) { return item.second.empty(); });
    size_ -= expired.size();
    return expired;
}

} // namespace figrack::fleet
